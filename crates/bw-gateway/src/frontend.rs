//! The address for callers.

use std::convert::Infallible;
use std::time::Duration;

use bw_http::channel::watch_peer;
use bw_http::Liveness;
use bw_kernel::Stop;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use crate::forward::Forwarder;

/// Time for which a connection may stay without a whole head.
const HEAD_LIMIT: Duration = Duration::from_secs(20);
/// Bytes that are read ahead on a connection.
const READ_BYTES_MAX: usize = 65_536;
/// Pause after an accept error such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How vanished callers are found.
const CALLER_LIVENESS: Liveness = Liveness {
    connect: Duration::from_millis(1_000),
    unacknowledged: Duration::from_millis(5_000),
    probe: Duration::from_millis(2_000),
};

/// Serves callers until `stop`, then lets open requests finish. The kernel bounds the wait.
///
/// # Errors
/// None.
pub async fn serve(
    listener: TcpListener,
    forwarder: Forwarder,
    mut stop: Stop,
) -> Result<(), Infallible> {
    let graceful = GracefulShutdown::new();
    let leave = async {
        stop.wait().await;
        tokio::time::sleep(forwarder.settings.get().linger).await;
    };
    tokio::pin!(leave);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut leave => break,
        };
        match accepted {
            Ok((stream, _)) => serve_caller(stream, forwarder.clone(), &graceful),
            Err(error) => {
                warn!("event=accept_failed reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    info!("event=draining connections={}", graceful.count());
    graceful.shutdown().await;
    Ok(())
}

fn serve_caller(stream: TcpStream, forwarder: Forwarder, graceful: &GracefulShutdown) {
    if let Err(error) = watch_peer(&stream, CALLER_LIVENESS) {
        warn!("event=socket_options_failed reason=\"{error}\"");
    }
    let service = service_fn(move |request| {
        let forwarder = forwarder.clone();
        async move { Ok::<_, Infallible>(forwarder.serve(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_LIMIT)
        .max_buf_size(READ_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        // An error is a caller that left or broke off; the request's own line tells which.
        let _ = connection.await;
    });
}
