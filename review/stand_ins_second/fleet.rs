//! The gateways as processes, started with the command of the deploy file.

use std::fs::File;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use crate::http::exchange;
use crate::proxy::Proxy;
use crate::record::Record;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// Zones of the installation.
pub const ZONES: [&str; 3] = ["hall-press", "hall-office", "hall-store"];

/// Returns a loopback address whose network follows from the process id, so that runs do not meet.
pub fn address(host: u8, port: u16) -> SocketAddr {
    let id = std::process::id();
    let ip = Ipv4Addr::new(127, 20 + (id >> 8) as u8 % 200, id as u8, host);
    SocketAddr::new(IpAddr::V4(ip), port)
}

pub struct Gateway {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    /// Link to the store.
    pub link: Proxy,
    settings: PathBuf,
    folder: PathBuf,
    lives: u32,
    process: Option<Child>,
}

impl Gateway {
    /// Writes the settings of gateway `index` of `count`, as the platform renders `deploy/gateway.ini`, and
    /// starts its link to the store.
    pub fn new(
        index: u8,
        count: u8,
        zone: &str,
        store: SocketAddr,
        folder: &PathBuf,
    ) -> std::io::Result<Self> {
        let name = format!("edge-{index}");
        let at = |port| address(index + 1, port);
        let link = Proxy::start(address(index + 101, 8223), store)?;
        let seeds: Vec<String> =
            (0..count.min(3)).map(|index| address(index + 1, 8229).to_string()).collect();
        let regions: Vec<String> = ZONES.iter().map(|zone| format!("{zone}:thies")).collect();
        let text = format!(
            "[gateway]\ninstance = {name}\ndata-centre = {zone}\nregion = thies\nregions = {}\n\
             callers = {}\nready = {}\nmetrics = {}\ndirectory = {}\nnews = {}\nseeds = {}\n\
             platform = http://{}\nmemory-mb = 260\ndescriptors = 4100\nlink-mbps = 1000\n\
             processor-share = 0.25\ngrace-s = 8\ndrain-ms = 2000\nconfig-apply-ms = 2000\n\
             revoke-ms = 5000\nevacuation-ms =\nretry-ratio = 0.2\nretry-slack = 92\n\
             retry-window-s = 10\naddress-lifetime-s = 5\ncold-overshoot =\ncold-slack =\n",
            regions.join(","),
            at(8227),
            at(8220),
            at(9464),
            at(8224),
            at(7340),
            seeds.join(","),
            link.address
        );
        let settings = folder.join(format!("{name}.ini"));
        std::fs::write(&settings, text)?;
        Ok(Self {
            name,
            callers: at(8227),
            ready: at(8220),
            link,
            settings,
            folder: folder.clone(),
            lives: 0,
            process: None,
        })
    }

    pub fn start(&mut self, record: &Record) -> std::io::Result<()> {
        self.lives += 1;
        let log = File::create(self.folder.join(format!("{}.{}.log", self.name, self.lives)))?;
        let program = std::env::var("GATEWAY").unwrap_or("target/release/bw-gateway".to_string());
        let process = Command::new(program)
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        record.note(&format!("{} starts", self.name));
        self.process = Some(process);
        Ok(())
    }

    pub fn signal(&self, signal: i32) {
        if let Some(process) = &self.process {
            // SAFETY: sends a signal to a child that has not been waited for.
            unsafe { kill(process.id() as i32, signal) };
        }
    }

    pub fn wait_end(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.wait();
        }
    }

    /// Waits until the gateway says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        let head = "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n";
        while Instant::now() < end {
            let answer = exchange(self.ready, head, b"", Duration::from_millis(500));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}
