//! A proxy on the link of a gateway to the store, which can be cut.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    is_cut: Arc<AtomicBool>,
    channels: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(address: SocketAddr, target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let proxy = Self { address, is_cut: Arc::default(), channels: Arc::default() };
        let acceptor = proxy.clone();
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if acceptor.is_cut.load(Ordering::SeqCst) {
                    continue;
                }
                let Ok(far) = TcpStream::connect(target) else { continue };
                let _ = (near.set_nodelay(true), far.set_nodelay(true));
                for (from, to) in [(&near, &far), (&far, &near)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    std::thread::spawn(move || forward(from, to));
                }
                acceptor.channels.lock().unwrap().extend([near, far]);
            }
        });
        Ok(proxy)
    }

    /// Closes all channels, and refuses new ones until [`Self::heal`].
    pub fn cut(&self) {
        self.is_cut.store(true, Ordering::SeqCst);
        for channel in self.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    pub fn heal(&self) {
        self.is_cut.store(false, Ordering::SeqCst);
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream) {
    let mut buffer = [0; 16_384];
    loop {
        let read = from.read(&mut buffer).unwrap_or(0);
        if read == 0 || to.write_all(&buffer[..read]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
