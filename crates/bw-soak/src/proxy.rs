//! A TCP proxy on a loopback address that delays, resets, silences and cuts a link.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

const BUFFER_BYTES: usize = 16_384;

/// Fault of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// Bytes arrive this many milliseconds later.
    Delay(u64),
    /// Open connections are reset, and new ones too.
    Reset,
    /// Bytes from the side that connects do not arrive.
    CutThere,
    /// Bytes to the side that connects do not arrive.
    CutBack,
    /// No bytes arrive in either direction.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    target: Option<SocketAddr>,
    fault: Option<LinkFault>,
}

/// A proxy of one link, which refuses connections while it has no target; dropping it closes its listener.
pub struct Proxy {
    /// Address that takes the place of the target.
    pub address: SocketAddr,
    link: watch::Sender<Link>,
    acceptor: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy with this address and target.
    pub fn start(address: SocketAddr, target: SocketAddr) -> Self {
        let link = watch::Sender::new(Link { target: Some(target), fault: None });
        let links = link.subscribe();
        let acceptor = tokio::spawn(async move {
            if let Err(error) = accept(address, links).await {
                eprintln!("bw-soak: the proxy {address} ended: {error}");
            }
        });
        Self { address, link, acceptor }
    }

    /// Replaces the target of new connections.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        self.link.send_modify(|link| link.target = target);
    }

    /// Sets the fault of the link; `None` ends it.
    pub fn set_fault(&self, fault: Option<LinkFault>) {
        self.link.send_modify(|link| link.fault = fault);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.acceptor.abort();
    }
}

/// Accepts connections while the link has a target.
async fn accept(address: SocketAddr, mut link: watch::Receiver<Link>) -> io::Result<()> {
    while link.wait_for(|link| link.target.is_some()).await.is_ok() {
        let listener = TcpListener::bind(address).await?;
        loop {
            let (stream, _) = tokio::select! {
                stream = listener.accept() => stream?,
                _ = link.wait_for(|link| link.target.is_none()) => break,
            };
            tokio::spawn(carry(stream, link.clone()));
        }
    }
    Ok(())
}

/// Carries a connection until one of its sides closes it.
async fn carry(near: TcpStream, mut link: watch::Receiver<Link>) {
    let Link { target, fault } = *link.borrow();
    let far = match target.filter(|_| fault != Some(LinkFault::Reset)) {
        Some(target) => TcpStream::connect(target).await.ok(),
        None => None,
    };
    let Some(far) = far else {
        reset(&near);
        return;
    };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (mut there, mut back) = (link.clone(), link.clone());
    let end = tokio::select! {
        _ = link.wait_for(|link| link.fault == Some(LinkFault::Reset)) => {
            Err(io::ErrorKind::ConnectionReset.into())
        }
        end = pump(&near, &far, &mut there, LinkFault::CutThere) => end,
        end = pump(&far, &near, &mut back, LinkFault::CutBack) => end,
    };
    if end.is_err() {
        reset(&near);
        reset(&far);
    }
}

/// Makes the coming close of a connection a reset.
fn reset(stream: &TcpStream) {
    // Fails only if the connection is gone already.
    let _ = stream.set_zero_linger();
}

/// Carries bytes in one direction, which `cut` stops, until `from` ends.
async fn pump(
    from: &TcpStream,
    to: &TcpStream,
    link: &mut watch::Receiver<Link>,
    cut: LinkFault,
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        from.readable().await?;
        let length = match from.try_read(&mut buffer) {
            Ok(0) => return Ok(()),
            Ok(length) => length,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
            Err(error) => return Err(error),
        };
        let held = |fault| fault == Some(cut) || fault == Some(LinkFault::Silent);
        let fault = link.wait_for(|link| !held(link.fault)).await.map_err(io::Error::other)?.fault;
        if let Some(LinkFault::Delay(millis)) = fault {
            tokio::time::sleep(Duration::from_millis(millis)).await;
        }
        let mut rest = &buffer[..length];
        while !rest.is_empty() {
            to.writable().await?;
            match to.try_write(rest) {
                Ok(length) => rest = &rest[length..],
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }
}
