//! The address for callers.

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
use crate::reply::HeldBody;

/// Time for a request's head before a configuration names one.
const HEAD_TIME: Duration = Duration::from_secs(3);
/// Time for which a connection may stay idle before a configuration names one.
const IDLE_TIME: Duration = Duration::from_secs(15);
/// Added to the idle time, so that a caller that uses all of it does not meet the end.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
/// Bytes that are read ahead on a connection.
const READ_BYTES_MAX: usize = 65_536;
/// Part of the descriptors that callers may take; the rest is for endpoints, peers and the store.
const CALLERS_PART: f64 = 0.6;
/// Pause after an accept error such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// What a caller gets whose connection would be one too many.
const TOO_MANY: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n\
Connection: close\r\nContent-Length: 0\r\n\r\n";
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
    let settings = forwarder.settings.get();
    let places = (settings.descriptors as f64 * CALLERS_PART) as usize;
    let places = Arc::new(Semaphore::new(places));
    let leave = async {
        stop.wait().await;
        tokio::time::sleep(settings.linger).await;
    };
    tokio::pin!(leave);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut leave => break,
        };
        match accepted {
            Ok((stream, _)) => match places.clone().try_acquire_owned() {
                Ok(place) => serve_caller(stream, place, forwarder.clone(), &graceful),
                Err(_) => turn_away(stream),
            },
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

/// Tells a caller beyond the limit to come back, and closes its connection.
fn turn_away(mut stream: TcpStream) {
    warn!("event=connection_refused reason=too_many");
    tokio::spawn(async move {
        // Who has left already needs no answer.
        let _ = stream.write_all(TOO_MANY).await;
    });
}

fn serve_caller(
    stream: TcpStream,
    place: OwnedSemaphorePermit,
    forwarder: Forwarder,
    graceful: &GracefulShutdown,
) {
    if let Err(error) = set_liveness(&stream, CALLER_LIVENESS) {
        warn!("event=socket_options_failed reason=\"{error}\"");
    }
    let limits = forwarder.config.current().map(|catalog| catalog.limits);
    let (head, idle) = limits.map_or((HEAD_TIME, IDLE_TIME), |limits| (limits.time, limits.idle));
    let guard = HeadGuard::new();
    let stream = guard.watch(stream);
    let accepted = guard.clone();
    let service = service_fn(move |request| {
        let (forwarder, busy) = (forwarder.clone(), accepted.begin_request());
        async move {
            let response = forwarder.serve(request).await;
            Ok::<_, Infallible>(response.map(|body| HeldBody::new(body, busy)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle + head + IDLE_MARGIN)
        .max_buf_size(READ_BYTES_MAX)
        .serve_connection(TokioIo::new(stream), service);
    let connection = graceful.watch(connection);
    tokio::spawn(async move {
        let _place = place;
        tokio::select! {
            // An error is a caller that left or broke off; the request's own line tells which.
            _ = connection => {}
            () = guard.expired(head) => info!("event=connection_closed reason=slow_head"),
        }
    });
}
