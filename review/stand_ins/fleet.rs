//! Gateways as processes of their own, and requesters that call them.

use std::fs::File;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::proxy::Proxy;

/// Program of the deploy file, relative to the repository's root.
const PROGRAM: &str = "target/release/bw-gateway";
/// Time after which a requester gives a request up.
const TIME_LIMIT: Duration = Duration::from_millis(1_500);

/// A gateway process with its path to the store.
pub struct Gateway {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Address for requesters.
    pub callers: SocketAddr,
    /// Address of the readiness check.
    pub ready: SocketAddr,
    /// Path to the store.
    pub proxy: Proxy,
    child: Child,
    settings: PathBuf,
    log: File,
}

impl Gateway {
    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) -> std::io::Result<()> {
        self.child = spawn(&self.settings, &self.log)?;
        Ok(())
    }

    /// Ends the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the gateway says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect(self.ready) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut connection = Connection::new(stream);
        let sent = connection.write("GET /v1/readiness HTTP/1.1", &[("Host", "ready")], b"");
        sent.is_ok() && connection.read().is_ok_and(|answer| answer.status() == 200)
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Starts a gateway process.
fn spawn(settings: &Path, log: &File) -> std::io::Result<Child> {
    let (output, errors) = (log.try_clone()?, log.try_clone()?);
    Command::new(PROGRAM).arg(settings).stdin(Stdio::null()).stdout(output).stderr(errors).spawn()
}

/// Returns a free address at `ip`.
fn free(ip: &str) -> std::io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// Returns a port that is free at all addresses, for datagrams and connections.
fn shared_port(ips: &[String]) -> std::io::Result<u16> {
    loop {
        let port = free(&ips[0])?.port();
        let usable = |ip: &String| {
            TcpListener::bind((ip.as_str(), port)).is_ok() && UdpSocket::bind((ip.as_str(), port)).is_ok()
        };
        if ips.iter().all(usable) {
            return Ok(port);
        }
    }
}

/// Starts one gateway for each zone in `zones`, named by its zone and place; the order of the names is the order
/// of `zones`. `bounds` are further lines of the settings.
pub fn start(
    zones: &[&str],
    store: SocketAddr,
    folder: &Path,
    bounds: &str,
) -> std::io::Result<Vec<Gateway>> {
    let ips: Vec<String> = (0..zones.len()).map(|index| format!("127.0.1.{}", index + 1)).collect();
    let news = shared_port(&ips)?;
    let mut names: Vec<&str> = zones.to_vec();
    names.sort_unstable();
    names.dedup();
    let regions: Vec<String> = names.iter().map(|zone| format!("{zone}:region")).collect();
    let mut gateways = Vec::new();
    for (index, zone) in zones.iter().enumerate() {
        let ip = &ips[index];
        let place = zones[..index].iter().filter(|other| *other == zone).count() + 1;
        let name = format!("edge-{zone}-{place}");
        let (callers, ready, directory) = (free(ip)?, free(ip)?, free(ip)?);
        let proxy = Proxy::start(store)?;
        let seeds: Vec<String> = ips.iter().take(3).map(|ip| format!("{ip}:1")).collect();
        let text = format!(
            "[gateway]\ninstance = {name}\ndata-centre = {zone}\nregion = region\nregions = {}\n\
             callers = {callers}\nready = {ready}\nmetrics =\ndirectory = {directory}\n\
             news = {ip}:{news}\nseeds = {}\nplatform = http://{}\nmemory-mb = 260\n\
             descriptors = 4100\nlink-mbps = 1000\nprocessor-share = 0.25\n{bounds}",
            regions.join(","),
            seeds.join(","),
            proxy.address
        );
        let settings: PathBuf = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text)?;
        let log = File::create(folder.join(format!("{name}.log")))?;
        let child = spawn(&settings, &log)?;
        gateways.push(Gateway { name, zone: zone.to_string(), callers, ready, proxy, child, settings, log });
    }
    Ok(gateways)
}

/// Bounds of the settings, as the sheet of a small deployment gives them.
pub const BOUNDS: &str = "grace-s = 8\ndrain-ms = 2000\nconfig-apply-ms = 2000\nrevoke-ms = 5000\n\
retry-ratio = 0.2\nretry-slack = 92\nretry-window-s = 10\naddress-lifetime-s = 5\n";

/// How a request ended for its requester.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The requester's id of the request; begins with the number of the gateway.
    pub attempt: String,
    /// Method of the request.
    pub method: String,
    /// Time of sending.
    pub sent: Instant,
    /// Status of the answer; 0 if the connection ended without one, or the time limit passed.
    pub status: u16,
    /// Whether the answer is a success of another request.
    pub foreign: bool,
}

/// Requesters, each with a kept connection to one gateway.
pub struct Requesters {
    /// Requests that have ended.
    pub outcomes: Arc<Mutex<Vec<Outcome>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Requesters {
    /// Starts `count` requesters at each gateway, each of which sends a request every `pause`; every fourth
    /// request may run once only.
    pub fn start(gateways: &[Gateway], count: usize, pause: Duration) -> Self {
        let mut requesters = Self { outcomes: Arc::default(), stop: Arc::default(), threads: Vec::new() };
        for (number, gateway) in gateways.iter().enumerate() {
            for one in 0..count {
                let (address, outcomes, stop) =
                    (gateway.callers, requesters.outcomes.clone(), requesters.stop.clone());
                let offset = pause.mul_f64(one as f64 / count as f64);
                let name = format!("{number}.{one}");
                requesters.threads.push(thread::spawn(move || {
                    thread::sleep(offset);
                    requester(address, &name, pause, &outcomes, &stop);
                }));
            }
        }
        requesters
    }

    /// Stops the requesters and returns how all requests ended.
    pub fn finish(self) -> Vec<Outcome> {
        self.stop.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        let outcomes = self.outcomes.lock().unwrap().clone();
        outcomes
    }
}

fn requester(
    address: SocketAddr,
    name: &str,
    pause: Duration,
    outcomes: &Mutex<Vec<Outcome>>,
    stop: &AtomicBool,
) {
    let mut kept: Option<Connection> = None;
    let mut next = Instant::now();
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += pause;
        number += 1;
        let attempt = format!("{name}.{number}");
        let (method, path, body) = if number % 4 == 0 {
            ("POST", "/confirm/1", "a label".to_string())
        } else {
            ("GET", "/status/1", String::new())
        };
        let sent = Instant::now();
        let mut status = 0;
        let mut foreign = false;
        let connection = kept.take().or_else(|| {
            let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
            stream.set_read_timeout(Some(TIME_LIMIT)).ok()?;
            Some(Connection::new(stream))
        });
        if let Some(mut connection) = connection {
            let limit = TIME_LIMIT.as_millis().to_string();
            let headers = [
                ("Host", "orders.example"),
                ("Attempt-Id", attempt.as_str()),
                ("Deadline-Ms", limit.as_str()),
                ("X-Api-Key", "key-1"),
            ];
            let first = format!("{method} {path} HTTP/1.1");
            let answer = connection.write(&first, &headers, body.as_bytes()).and_then(|()| connection.read());
            if let Ok(answer) = answer {
                status = answer.status();
                let text = String::from_utf8_lossy(&answer.body).to_string();
                foreign = status == 200 && !text.starts_with(&format!("answer to {attempt} by"));
                if answer.header("connection").is_none_or(|value| value != "close") {
                    kept = Some(connection);
                }
            }
        }
        let method = method.to_string();
        outcomes.lock().unwrap().push(Outcome { attempt, method, sent, status, foreign });
    }
}
