//! Stand-in of an application server, which follows the pages' words on servers.

use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use crate::http::read_message;
use crate::http::Message;
use crate::json::parse;
use crate::json::Value;
use crate::record::Record;

/// Time for which a request runs.
const WORK: Duration = Duration::from_millis(15);
/// Places for requests.
pub const SLOTS: u32 = 6;
/// Body of the request that crashes each server that begins to run it.
pub const POISON: &str = "crash";
/// Query of another such request.
pub const POISON_QUERY: &str = "order=crash";

/// A request that has arrived at a server: when, at which server, and whether it crashed it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: u64,
    pub server: String,
    pub poison: bool,
}

struct Life {
    id: String,
    /// Unix time of the start in milliseconds.
    born: u64,
    crashed: AtomicBool,
    /// Whether the listening socket is closed.
    closed: AtomicBool,
    leaving: AtomicBool,
    running: AtomicU32,
    channels: Mutex<Vec<TcpStream>>,
}

#[derive(Clone)]
pub struct Server {
    life: Arc<Life>,
    pub address: SocketAddr,
    record: Record,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
}

impl Server {
    pub fn start(
        id: &str,
        address: SocketAddr,
        record: &Record,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        let life = Arc::new(Life {
            id: id.to_string(),
            born: since.map_or(0, |time| time.as_millis() as u64),
            crashed: AtomicBool::new(false),
            closed: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            running: AtomicU32::new(0),
            channels: Mutex::default(),
        });
        let server = Self { life, address, record: record.clone(), arrivals: arrivals.clone() };
        let acceptor = server.clone();
        std::thread::spawn(move || {
            while !acceptor.is_crashed() {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let _ = stream.set_nonblocking(false);
                        let Ok(known) = stream.try_clone() else { continue };
                        acceptor.life.channels.lock().unwrap().push(known);
                        let server = acceptor.clone();
                        std::thread::spawn(move || server.serve(stream));
                    }
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            acceptor.life.closed.store(true, Ordering::SeqCst);
        });
        record.note(&format!("server {id} started"));
        Ok(server)
    }

    pub fn id(&self) -> &str {
        &self.life.id
    }

    pub fn is_crashed(&self) -> bool {
        self.life.crashed.load(Ordering::SeqCst)
    }

    /// From now on all answers say that the server is leaving.
    pub fn leave(&self) {
        self.life.leaving.store(true, Ordering::SeqCst);
    }

    /// The server's entry in the store.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> Value {
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"{state}\",\
             \"cold_remaining_ms\":0,\"sequence\":0,\"born\":{}}}",
            self.address, self.life.born
        );
        parse(&text).unwrap()
    }

    /// Ends the server and all its channels at once.
    pub fn end(&self) {
        self.life.crashed.store(true, Ordering::SeqCst);
        while !self.life.closed.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(1));
        }
        for channel in self.life.channels.lock().unwrap().drain(..) {
            let _ = channel.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.is_crashed() || !self.answer(&request, &mut writer) {
                return;
            }
        }
    }

    /// Handles a request; returns whether the channel goes on.
    fn answer(&self, request: &Message, writer: &mut TcpStream) -> bool {
        let attempt = request.header("attempt-id").unwrap_or("").to_string();
        let id = self.id().to_string();
        let mut head = format!("Attempt-Id: {attempt}\r\n");
        if self.life.leaving.load(Ordering::SeqCst) {
            head.push_str("Server-Leaving: 1\r\n");
        }
        if request.header("expect-instance").is_some_and(|expected| expected != id) {
            self.record.note(&format!("server {id} rejected {attempt}: 421"));
            let text = format!("HTTP/1.1 421 X\r\n{head}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
            return writer.write_all(text.as_bytes()).is_ok();
        }
        let poison =
            request.body == POISON.as_bytes() || request.first[1].ends_with(POISON_QUERY);
        let at = self.record.note(&format!("server {id} runs {attempt} poison={poison}"));
        let arrival = Arrival { at, server: id.clone(), poison };
        self.arrivals.lock().unwrap().push(arrival);
        if poison {
            self.record.note(&format!("server {id} crashes"));
            self.end();
            return false;
        }
        let running = self.life.running.fetch_add(1, Ordering::SeqCst) + 1;
        std::thread::sleep(WORK);
        self.life.running.fetch_sub(1, Ordering::SeqCst);
        let body = format!("{attempt} {id} {}", "x".repeat(760));
        let text = format!(
            "HTTP/1.1 200 OK\r\n{head}Server-Stamp: 3e1b.{id}\r\nServer-Load: {running},0,{SLOTS}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        writer.write_all(text.as_bytes()).is_ok()
    }
}
