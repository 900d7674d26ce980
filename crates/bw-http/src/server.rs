//! A server loop with graceful shutdown.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bw_kernel::Stop;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use hyper_util::server::conn::auto::Builder;
use hyper_util::server::graceful::GracefulShutdown;
use log::debug;
use log::info;
use log::warn;
use tokio::net::TcpListener;
use viz::Responder;
use viz::Router;
use viz::Tree;

/// Time within which a caller must send the head of its request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(15);
/// Delay after an accept error, such as too many open files, before the next attempt.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Opens the listening socket.
///
/// # Errors
/// The operating system's error, such as an address in use, prefixed with the address.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| {
        io::Error::new(error.kind(), format!("cannot listen on {address}: {error}"))
    })
}

/// Serves until `stop`, then accepts no more connections and waits for open requests to finish.
///
/// The caller has to bound that wait.
///
/// # Errors
/// None at present; the return type allows for a listener that fails permanently.
pub async fn serve(listener: TcpListener, router: Router, mut stop: Stop) -> io::Result<()> {
    let tree: Arc<Tree> = Arc::new(router.into());
    let graceful = GracefulShutdown::new();
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEAD_TIMEOUT);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("event=accept_failed reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        // Replies are sent in small pieces, which Nagle's algorithm must not delay.
        let _ = stream.set_nodelay(true);
        let responder = Responder::new(tree.clone(), Some(Arc::new(peer)));
        let connection = builder.serve_connection(TokioIo::new(stream), responder);
        let connection = graceful.watch(connection.into_owned());
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                debug!("event=connection_ended peer={peer} reason=\"{error}\"");
            }
        });
    }
    drop(listener);
    info!("event=draining connections={}", graceful.count());
    graceful.shutdown().await;
    Ok(())
}
