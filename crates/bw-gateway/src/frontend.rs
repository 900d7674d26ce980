//! Server of the address for callers, with limits on connections and on the time for a head.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bw_http::channel::set_liveness;
use bw_http::HeadGuard;
use bw_http::Liveness;
use bw_kernel::Stop;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::graceful::GracefulShutdown;
use log::info;
use log::warn;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;

use crate::forward::Forwarder;
use crate::reply::GuardedBody;

/// Maximum time to receive a request's head while no configuration sets a time.
const HEAD_TIME_DEFAULT: Duration = Duration::from_secs(3);
/// Maximum time for which a connection may stay idle while no configuration sets a time.
const IDLE_TIME_DEFAULT: Duration = Duration::from_secs(15);
/// Margin added to the idle time, so that a caller that reuses a connection at the end of its idle
/// time does not find the connection closed.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum size in bytes of a connection's buffer.
const BUFFER_BYTES_MAX: usize = 65_536;
/// Share of the process's file descriptors that callers' connections may use; the rest is for
/// endpoints, peers and the store.
const CALLER_SHARE: f64 = 0.6;
/// Delay after an accept error such as too many open files.
const ACCEPT_DELAY: Duration = Duration::from_millis(50);
/// Answer on a connection beyond the limit.
const LIMIT_ANSWER: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
Connection: close\r\nContent-Length: 0\r\n\r\n";
/// Time before the end of the grace time at which unfinished requests are answered, so that the answers reach the
/// callers before the process ends.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Timeouts that detect callers that have vanished without closing their connections.
const CALLER_LIVENESS: Liveness = Liveness {
    connect: Duration::from_millis(1_000),
    unacknowledged: Duration::from_millis(5_000),
    probe: Duration::from_millis(2_000),
};

/// Serves callers until `stop` and the settings' linger time after it, then waits until open
/// requests have finished. The kernel limits that wait.
///
/// # Errors
/// Never fails; the result has the type that the kernel expects of a service.
pub async fn serve(
    listener: TcpListener,
    forwarder: Forwarder,
    mut stop: Stop,
) -> Result<(), Infallible> {
    let graceful = GracefulShutdown::new();
    let settings = forwarder.settings.get();
    let connections_max = (settings.descriptors as f64 * CALLER_SHARE) as usize;
    let permits = Arc::new(Semaphore::new(connections_max));
    let drain = forwarder.drain.clone();
    let linger_end = async {
        stop.wait().await;
        drain.begin(settings.linger, settings.grace.saturating_sub(ANSWER_MARGIN));
        tokio::time::sleep(settings.linger).await;
    };
    tokio::pin!(linger_end);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut linger_end => break,
        };
        match accepted {
            Ok((stream, _)) => match permits.clone().try_acquire_owned() {
                Ok(permit) => serve_caller(stream, permit, forwarder.clone(), &graceful),
                Err(_) => reject_connection(stream),
            },
            Err(error) => {
                warn!("event=accept_failed reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_DELAY).await;
            }
        }
    }
    drop(listener);
    info!("event=draining connections={}", graceful.count());
    graceful.shutdown().await;
    Ok(())
}

/// Answers a caller beyond the connection limit with a retry-after time, and closes the connection.
fn reject_connection(mut stream: TcpStream) {
    warn!("event=connection_refused reason=too_many");
    tokio::spawn(async move {
        // An error means that the caller has already disconnected.
        let _ = stream.write_all(LIMIT_ANSWER).await;
    });
}

fn serve_caller(
    stream: TcpStream,
    permit: OwnedSemaphorePermit,
    forwarder: Forwarder,
    graceful: &GracefulShutdown,
) {
    if let Err(error) = set_liveness(&stream, CALLER_LIVENESS) {
        warn!("event=socket_options_failed reason=\"{error}\"");
    }
    let limits = forwarder.config.current().map(|catalog| catalog.limits);
    let (head, idle) =
        limits.map_or((HEAD_TIME_DEFAULT, IDLE_TIME_DEFAULT), |limits| (limits.time, limits.idle));
    let guard = HeadGuard::new();
    let stream = guard.watch(stream);
    let accepted = guard.clone();
    let service = service_fn(move |request| {
        let (forwarder, busy) = (forwarder.clone(), accepted.begin_request());
        async move {
            let response = forwarder.serve(request).await;
            Ok::<_, Infallible>(response.map(|body| GuardedBody::new(body, busy)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + head + IDLE_MARGIN)
        .max_buf_size(BUFFER_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        let _permit = permit;
        tokio::select! {
            // An error means that the caller disconnected, or that a stream was broken off; the
            // log line of the request states which.
            _ = connection => {}
            () = guard.expired(head) => info!("event=connection_closed reason=slow_head"),
        }
    });
}
