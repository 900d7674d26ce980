//! Stand-in for an application server, which lists itself in the store and leaves on demand.

use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::store::Store;

/// A request that a server has read.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time at which it had been read.
    pub at: Instant,
    /// The requester's id.
    pub attempt: String,
    /// Method of the request.
    pub method: String,
    /// Whether the server answered 421 since the request is for another server.
    pub misdirected: bool,
    /// Whether the answer was written before the server ended.
    pub answered: bool,
}

/// Handle to a server.
#[derive(Clone)]
pub struct Server {
    /// Id in the store.
    pub id: String,
    /// Address of the server.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    ended: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server whose work on a request takes `work`.
    pub fn start(id: &str, zone: &str, work: Duration) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let server = Self {
            id: id.to_string(),
            address: listener.local_addr()?,
            zone: zone.to_string(),
            arrivals: Arc::default(),
            connections: Arc::default(),
            ended: Arc::default(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(copy);
                }
                let server = serving.clone();
                thread::spawn(move || server.serve(stream, work));
            }
        });
        Ok(server)
    }

    fn serve(&self, stream: TcpStream, work: Duration) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read() {
            let attempt = request.header("attempt-id").unwrap_or("").to_string();
            let misdirected = request.header("expect-instance").is_some_and(|id| id != self.id);
            let index = {
                let mut arrivals = self.arrivals.lock().unwrap();
                arrivals.push(Arrival {
                    at: Instant::now(),
                    attempt: attempt.clone(),
                    method: request.method().to_string(),
                    misdirected,
                    answered: false,
                });
                arrivals.len() - 1
            };
            let stamp = format!("{}.{attempt}", self.id);
            let mut headers = vec![("Attempt-Id", attempt.as_str())];
            let (first, body) = if misdirected {
                headers.push(("Not-Executed", "1"));
                ("HTTP/1.1 421 Misdirected Request", String::new())
            } else {
                thread::sleep(work);
                headers.push(("Server-Stamp", stamp.as_str()));
                ("HTTP/1.1 200 OK", format!("answer to {attempt} by {}", self.id))
            };
            if self.ended.load(Ordering::SeqCst) || connection.write(first, &headers, body.as_bytes()).is_err() {
                return;
            }
            self.arrivals.lock().unwrap()[index].answered = true;
        }
    }

    /// Writes the server's entry with a state.
    pub fn list(&self, store: &Store, service: &str, state: &str) -> Instant {
        let content = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":1,\"slots\":6,\
             \"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":1}}",
            self.address, self.zone
        );
        store.put("servers", &self.id, &content)
    }

    /// Ends the server: its connections close, and no new ones are accepted.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Wakes the listener, which then closes.
        let _ = TcpStream::connect(self.address);
        for stream in self.connections.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Returns the requests that the server has read.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }
}
