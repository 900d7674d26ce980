//! A proxy between one gateway and the store, which can cut or silence the path.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Bytes pass in both directions.
pub const PASS: u8 = 0;
/// Connections stay open and carry nothing any more; also after the end of the silence.
pub const SILENT: u8 = 1;
/// Open connections are closed, and new ones at once.
pub const CUT: u8 = 2;

/// Interval at which a connection looks at the mode.
const POLL: Duration = Duration::from_millis(10);

/// Handle to the proxy.
#[derive(Clone)]
pub struct Proxy {
    mode: Arc<AtomicU8>,
    /// Address at which the proxy listens.
    pub address: SocketAddr,
}

impl Proxy {
    /// Starts a proxy to `target`.
    pub fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self { mode: Arc::default(), address: listener.local_addr()? };
        let mode = proxy.mode.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if mode.load(Ordering::SeqCst) == CUT {
                    continue;
                }
                let Ok(other) = TcpStream::connect(target) else { continue };
                let _ = (stream.set_nodelay(true), other.set_nodelay(true));
                let dead = Arc::new(AtomicBool::new(mode.load(Ordering::SeqCst) == SILENT));
                for (from, to) in [(&stream, &other), (&other, &stream)] {
                    let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
                    let (mode, dead) = (mode.clone(), dead.clone());
                    thread::spawn(move || pump(from, to, &mode, &dead));
                }
            }
        });
        Ok(proxy)
    }

    /// Sets the mode.
    pub fn set(&self, mode: u8) {
        self.mode.store(mode, Ordering::SeqCst);
    }
}

fn pump(mut from: TcpStream, mut to: TcpStream, mode: &AtomicU8, dead: &AtomicBool) {
    let _ = from.set_read_timeout(Some(POLL));
    let mut buffer = [0; 65_536];
    loop {
        let read = from.read(&mut buffer);
        match mode.load(Ordering::SeqCst) {
            CUT => break,
            // Whatever is open in the silence stays silent.
            SILENT => dead.store(true, Ordering::SeqCst),
            _ => {}
        }
        match read {
            Ok(0) => break,
            Ok(length) if !dead.load(Ordering::SeqCst) => {
                if to.write_all(&buffer[..length]).is_err() {
                    break;
                }
            }
            Ok(_) => {}
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
