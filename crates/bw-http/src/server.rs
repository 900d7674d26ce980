//! An accept loop that stops taking connections on request and lets open ones finish.

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

/// Time in which a caller has to send the head of its request.
const HEAD_LIMIT: Duration = Duration::from_secs(15);
/// Pause after an accept error such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Opens the listening socket.
///
/// # Errors
/// The operating system's, such as an address in use.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address).await;
    listener.map_err(|error| io::Error::new(error.kind(), format!("listen on {address}: {error}")))
}

/// Serves until `stop`, then lets the open requests finish. The caller bounds the wait.
///
/// # Errors
/// None today; the type leaves room for a listener that fails for good.
pub async fn serve(listener: TcpListener, router: Router, mut stop: Stop) -> io::Result<()> {
    let tree: Arc<Tree> = Arc::new(router.into());
    let graceful = GracefulShutdown::new();
    let mut builder = Builder::new(TokioExecutor::new()).http1_only();
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEAD_LIMIT);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.wait() => break,
        };
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("event=accept_failed reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        // Answers are small pieces that must not wait for each other.
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
