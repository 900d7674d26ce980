//! Stand-ins that the cases of this folder share: the platform's store, servers, requesters, and a gateway that
//! runs as a process of its own. Only the standard library is used.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

/// Exit code of a case that could not run.
pub const CANNOT_RUN: i32 = 2;

/// Returns whether the disruption is to be played.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// What was sent, answered and run, with the seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(folder: &str) -> Self {
        end_on_panic();
        let path = PathBuf::from(folder).join("record.txt");
        let file = fs::File::create(path).unwrap_or_else(|error| cannot_run(&error.to_string()));
        Self { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Seconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let mut file = self.file.lock().unwrap_or_else(|error| error.into_inner());
        let _ = file.write_all(line.as_bytes());
    }
}

/// Processes that run, with their folders.
static RUNNING: Mutex<Vec<(u32, PathBuf)>> = Mutex::new(Vec::new());

/// Ends a case that could not run, and the processes that it started.
pub fn cannot_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    let running = RUNNING.lock().unwrap_or_else(|error| error.into_inner());
    for (id, folder) in running.iter() {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        let _ = fs::remove_dir_all(folder);
    }
    std::process::exit(CANNOT_RUN)
}

/// Lets a case that panics end as one that could not run.
fn end_on_panic() {
    std::panic::set_hook(Box::new(|info| cannot_run(&info.to_string())));
}

// ---- HTTP ----

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: the target of a request, the status of an answer.
    pub fn word(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of a message; `None` at the end of the channel.
pub fn read_head<R: BufRead>(reader: &mut R) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut first = true;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if first {
            if line.is_empty() {
                continue;
            }
            message.line = line.to_string();
            first = false;
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_string(), value.trim().to_string()));
        }
    }
}

/// Reads one chunk of a body; empty at its end.
pub fn read_chunk<R: BufRead>(reader: &mut R) -> std::io::Result<Vec<u8>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let length = usize::from_str_radix(line.trim(), 16)
        .map_err(|_| std::io::Error::other(format!("no chunk: {line:?}")))?;
    let mut bytes = vec![0; length + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(length);
    Ok(bytes)
}

/// Reads the body that belongs to a head.
pub fn read_body<R: BufRead>(reader: &mut R, message: &mut Message) -> std::io::Result<()> {
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            let chunk = read_chunk(reader)?;
            if chunk.is_empty() {
                return Ok(());
            }
            message.body.extend(chunk);
        }
    }
    let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)
}

// ---- JSON, as much as the store needs ----

/// Returns the members of a JSON object as raw texts.
pub fn members(text: &str) -> Vec<(String, String)> {
    let bytes = text.as_bytes();
    let mut found = Vec::new();
    let (mut depth, mut quoted, mut escaped) = (0, false, false);
    let (mut start, mut key) = (0, None::<String>);
    for (at, byte) in bytes.iter().enumerate() {
        if quoted {
            match byte {
                _ if escaped => escaped = false,
                b'\\' => escaped = true,
                b'"' => quoted = false,
                _ => {}
            }
            continue;
        }
        match byte {
            b'"' => quoted = true,
            b'{' | b'[' => {
                depth += 1;
                if depth == 1 {
                    start = at + 1;
                }
            }
            b':' if depth == 1 && key.is_none() => {
                key = Some(text[start..at].trim().trim_matches('"').to_string());
                start = at + 1;
            }
            b',' | b'}' if depth == 1 => {
                if let Some(key) = key.take() {
                    found.push((key, text[start..at].trim().to_string()));
                }
                start = at + 1;
                if *byte == b'}' {
                    depth -= 1;
                }
            }
            b'}' | b']' => depth -= 1,
            _ => {}
        }
    }
    found
}

pub fn member(text: &str, name: &str) -> Option<String> {
    members(text).into_iter().find(|(key, _)| key == name).map(|(_, value)| value)
}

// ---- The store ----

#[derive(Clone)]
struct Stored {
    revision: u64,
    specification: String,
}

#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    /// Revision, kind, name, and whether the object was removed.
    history: Vec<(u64, String, String, bool)>,
}

impl Contents {
    fn put(&mut self, kind: &str, name: &str, specification: &str) -> u64 {
        let key = (kind.to_string(), name.to_string());
        if let Some(known) = self.objects.get(&key) {
            if known.specification == specification {
                return known.revision;
            }
        }
        self.revision += 1;
        let stored = Stored { revision: self.revision, specification: specification.to_string() };
        self.objects.insert(key, stored);
        self.history.push((self.revision, kind.to_string(), name.to_string(), false));
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if self.objects.remove(&(kind.to_string(), name.to_string())).is_some() {
            self.revision += 1;
            self.history.push((self.revision, kind.to_string(), name.to_string(), true));
        }
    }

    fn object(&self, kind: &str, name: &str) -> String {
        let found = self.objects.get(&(kind.to_string(), name.to_string()));
        let (revision, specification) =
            found.map_or((0, "null"), |one| (one.revision, one.specification.as_str()));
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
             \"finalizers\":[],\"deleting\":false}},\"specification\":{specification},\"status\":null}}"
        )
    }
}

struct StoreState {
    contents: Contents,
    era: u64,
    away: bool,
    /// Whether a store that is away answers nothing, rather than 503.
    silent: bool,
}

/// The platform's store. Clones share its contents.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

/// A copy of the store's contents.
pub struct Copy(Contents);

impl Store {
    pub fn start() -> Self {
        let listener = listen();
        let state = StoreState { contents: Contents { revision: 7, ..Contents::default() }, era: 1, away: false, silent: false };
        let store = Self {
            address: listener.local_addr().unwrap_or_else(|error| cannot_run(&error.to_string())),
            state: Arc::new((Mutex::new(state), Condvar::new())),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || {
                    // An error means that the caller closed the channel.
                    let _ = store.serve(stream);
                });
            }
        });
        store
    }

    fn change<F: FnOnce(&mut StoreState) -> T, T>(&self, change: F) -> T {
        let result = change(&mut self.state.0.lock().unwrap_or_else(|error| error.into_inner()));
        self.state.1.notify_all();
        result
    }

    /// Writes an object as the operator or a server does. Returning is the ack.
    pub fn put(&self, kind: &str, name: &str, specification: &str) {
        self.change(|state| state.contents.put(kind, name, specification));
    }

    /// Writes objects of a kind as servers do that write at the same moment.
    pub fn put_all(&self, kind: &str, objects: &[(String, String)]) {
        self.change(|state| {
            for (name, specification) in objects {
                state.contents.put(kind, name, specification);
            }
        });
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.change(|state| state.contents.remove(kind, name));
    }

    /// Makes a copy of the store.
    pub fn copy(&self) -> Copy {
        self.change(|state| Copy(state.contents.clone()))
    }

    /// Goes away: nothing is answered but 503.
    pub fn leave(&self) {
        self.change(|state| state.away = true);
    }

    /// Goes away: nothing is answered. What is asked meanwhile is never answered on its channel.
    pub fn fall_silent(&self) {
        self.change(|state| (state.away, state.silent) = (true, true));
    }

    /// Comes back from a copy, in the next era.
    pub fn come_back(&self, copy: &Copy) {
        self.change(|state| {
            state.contents = copy.0.clone();
            state.era += 1;
            (state.away, state.silent) = (false, false);
        });
    }

    /// Comes back with all that it had.
    pub fn come_back_whole(&self) {
        self.change(|state| (state.away, state.silent) = (false, false));
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(mut request) = read_head(&mut reader)? {
            read_body(&mut reader, &mut request)?;
            let (status, body) = self.answer(&request);
            if status == 503 && self.change(|state| state.silent) {
                // The channel stays open and hears nothing more.
                let _ = std::io::copy(&mut reader, &mut std::io::sink());
                return Ok(());
            }
            let era = self.change(|state| state.era);
            let head = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nStore-Era: {era}\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all(format!("{head}{body}").as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        const UNAVAILABLE: (u16, &str) = (503, "{}");
        let error = |status: u16| (status, "{}".to_string());
        let target = request.word();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(rest) = path.strip_prefix("/v1/objects/") else { return error(404) };
        let (kind, name) = rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name)));
        let field = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == wanted).map(|(_, value)| value.to_string())
        };
        if self.change(|state| state.away) {
            return (UNAVAILABLE.0, UNAVAILABLE.1.to_string());
        }
        let method = request.line.split(' ').next().unwrap_or("");
        let body = String::from_utf8_lossy(&request.body).to_string();
        match (method, name) {
            ("GET", None) => match field("watch").and_then(|text| text.parse().ok()) {
                Some(after) => {
                    let wait = field("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    self.watch(kind, after, Duration::from_millis(wait))
                }
                None => {
                    let after = field("after").unwrap_or_default();
                    self.change(|state| {
                        let contents = &state.contents;
                        let names = contents.objects.keys();
                        let names = names.filter(|(known, name)| known == kind && *name > after);
                        let items: Vec<String> =
                            names.map(|(kind, name)| contents.object(kind, name)).collect();
                        let (items, at) = (items.join(","), contents.revision);
                        (200, format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}"))
                    })
                }
            },
            ("GET", Some(name)) => self.change(|state| {
                let key = (kind.to_string(), name.to_string());
                match state.contents.objects.contains_key(&key) {
                    true => (200, state.contents.object(kind, name)),
                    false => (404, "{}".to_string()),
                }
            }),
            ("POST", None) | ("PUT", Some(_)) => {
                let metadata = member(&body, "metadata").unwrap_or_default();
                let specification = member(&body, "specification").unwrap_or("null".to_string());
                let stated = member(&metadata, "name").map(|text| text.trim_matches('"').to_string());
                let Some(name) = name.map(str::to_string).or(stated) else { return error(400) };
                let revision: u64 =
                    member(&metadata, "revision").and_then(|text| text.parse().ok()).unwrap_or(0);
                self.change(|state| {
                    let key = (kind.to_string(), name.clone());
                    let known = state.contents.objects.get(&key).map(|one| one.revision);
                    match (method, known) {
                        ("POST", Some(_)) => return (409, state.contents.object(kind, &name)),
                        ("PUT", None) => return (404, "{}".to_string()),
                        ("PUT", Some(known)) if revision > 0 && revision != known => {
                            return (409, state.contents.object(kind, &name))
                        }
                        _ => {}
                    }
                    state.contents.put(kind, &name, &specification);
                    (200, state.contents.object(kind, &name))
                })
            }
            ("DELETE", Some(name)) => self.change(|state| {
                state.contents.remove(kind, name);
                (200, "{}".to_string())
            }),
            _ => error(400),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let deadline = Instant::now() + wait;
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap_or_else(|error| error.into_inner());
        let era = state.era;
        loop {
            if state.away {
                return (503, "{}".to_string());
            }
            let contents = &state.contents;
            if state.era != era || after > contents.revision {
                return (410, "{}".to_string());
            }
            let events = contents.history.iter();
            let events = events.filter(|(revision, known, _, _)| *revision > after && known == kind);
            let events: Vec<String> = events
                .map(|(_, kind, name, removed)| {
                    let object = contents.object(kind, name);
                    format!("{{\"deleted\":{removed},\"object\":{object}}}")
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline {
                let (events, at) = (events.join(","), contents.revision);
                return (200, format!("{{\"events\":[{events}],\"at\":{at}}}"));
            }
            let waited = changed.wait_timeout(state, deadline - now);
            state = waited.unwrap_or_else(|error| error.into_inner()).0;
        }
    }
}

fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| cannot_run(&error.to_string()))
}

// ---- Servers ----

/// A server of a service, which can crash and start again at its address under its id.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    /// Number of its starts.
    starts: Arc<AtomicU64>,
    down: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

/// Handles one request on a channel; returns whether the channel is kept.
pub type Handler = dyn Fn(&Server, &Message, &mut TcpStream) -> std::io::Result<bool> + Send + Sync;

/// Interval at which a server looks for new channels.
const ACCEPT_INTERVAL: Duration = Duration::from_millis(1);

impl Server {
    pub fn start(id: &str, handler: Arc<Handler>) -> Self {
        let listener = listen();
        let server = Self {
            id: id.to_string(),
            address: listener.local_addr().unwrap_or_else(|error| cannot_run(&error.to_string())),
            starts: Arc::new(AtomicU64::new(1)),
            down: Arc::default(),
            open: Arc::default(),
        };
        server.accept(listener, handler);
        server
    }

    fn accept(&self, listener: TcpListener, handler: Arc<Handler>) {
        let server = self.clone();
        if let Err(error) = listener.set_nonblocking(true) {
            cannot_run(&error.to_string());
        }
        thread::spawn(move || {
            let mut listener = Some(listener);
            loop {
                if server.down.load(Ordering::SeqCst) {
                    // Closes the listening socket.
                    listener = None;
                } else if listener.is_none() {
                    listener = TcpListener::bind(server.address).ok();
                    if let Some(listener) = &listener {
                        let _ = listener.set_nonblocking(true);
                    }
                }
                let Some(Ok((stream, _))) = listener.as_ref().map(TcpListener::accept) else {
                    thread::sleep(ACCEPT_INTERVAL);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    server.open.lock().unwrap_or_else(|error| error.into_inner()).push(copy);
                }
                let (server, handler) = (server.clone(), handler.clone());
                thread::spawn(move || {
                    // An error means that the gateway closed the channel, or that the server has crashed.
                    let _ = server.serve(stream, &*handler);
                });
            }
        });
    }

    /// Crashes: closes the listening socket and all channels.
    pub fn crash(&self) {
        Self::crash_all(std::slice::from_ref(self));
    }

    /// Servers crash at the same moment.
    pub fn crash_all(servers: &[Self]) {
        servers.iter().for_each(|server| server.down.store(true, Ordering::SeqCst));
        // The listening sockets are closed before the channels are.
        thread::sleep(ACCEPT_INTERVAL * 5);
        for server in servers {
            let mut open = server.open.lock().unwrap_or_else(|error| error.into_inner());
            for stream in open.drain(..) {
                let _ = stream.shutdown(Shutdown::Both);
            }
        }
    }

    /// Starts again after a crash, as a new incarnation.
    pub fn start_again(&self) {
        self.starts.fetch_add(1, Ordering::SeqCst);
        self.down.store(false, Ordering::SeqCst);
    }

    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Returns the number of the present life.
    pub fn life(&self) -> u64 {
        self.starts.load(Ordering::SeqCst)
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(mut request) = read_head(&mut reader)? {
            read_body(&mut reader, &mut request)?;
            let expected = request.header("expect-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                stream.write_all(head.as_bytes())?;
                continue;
            }
            if !handler(self, &request, &mut stream)? {
                return stream.shutdown(Shutdown::Both);
            }
        }
        Ok(())
    }

    /// Returns the entry of the server in the store.
    pub fn entry(&self, service: &str, slots: u32, cold_ms: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"hall\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":{cold_ms},\"born\":{},\"sequence\":1}}",
            self.address,
            BORN + self.life()
        )
    }

    /// Head of a success, without its end and without what says how long the body is.
    pub fn head(&self, request: &Message) -> String {
        let attempt = request.header("attempt-id").unwrap_or("");
        format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nServer-Stamp: stamp.{}\r\n", self.id)
    }
}

/// Unix millisecond from which the starts of servers count.
const BORN: u64 = 1_790_000_000_000;

// ---- The gateway ----

/// A gateway, run as the deploy file says.
pub struct Gateway {
    folder: PathBuf,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    child: Child,
}

/// Ports that gateways listen on; systems give ports to outgoing channels from higher ones.
const PORTS: std::ops::Range<u16> = 20_000..32_000;
/// Next port to try, as a distance from the first one.
static NEXT_PORT: AtomicU64 = AtomicU64::new(0);

/// Returns an address whose port is free now, over TCP and UDP, and that was not returned before.
pub fn free_address() -> SocketAddr {
    // Cases that run beside each other begin at different ports.
    let first = u64::from(std::process::id()) * 97;
    for _ in PORTS {
        let distance = (first + NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % PORTS.len() as u64;
        let address = SocketAddr::from(([127, 0, 0, 1], PORTS.start + distance as u16));
        if TcpListener::bind(address).is_ok() && std::net::UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
    cannot_run("no port is free")
}

/// Bounds of the sheet of Galle Disques Pressage.
pub const GALLE: &str = "grace-s = 8\ndrain-ms = 2000\nconfig-apply-ms = 2000\nrevoke-ms = 5000\n\
    evacuation-ms =\nretry-ratio = 0.2\nretry-slack = 92\nretry-window-s = 10\naddress-lifetime-s = 5\n\
    cold-overshoot =\ncold-slack =\n";

/// Bounds of the sheet of Banca Viva.
pub const BANCA: &str = "grace-s = 8\ndrain-ms = 3000\nconfig-apply-ms = 3000\nrevoke-ms = 5000\n\
    evacuation-ms = 5000\nretry-ratio = 0.2\nretry-slack = 194\nretry-window-s = 10\n\
    address-lifetime-s = 5\ncold-overshoot = 1.5\ncold-slack = 5\n";

static FOLDERS: AtomicU64 = AtomicU64::new(0);

impl Gateway {
    /// Starts a gateway with the settings of a small deployment: the keys of deploy/gateway.ini, with bounds of
    /// the sheets.
    pub fn start(store: &Store, instance: &str, bounds: &str) -> Self {
        let number = FOLDERS.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("bw-review-{}-{number}", std::process::id()));
        fs::create_dir_all(&folder).unwrap_or_else(|error| cannot_run(&error.to_string()));
        let (callers, ready, directory) = (free_address(), free_address(), free_address());
        let settings = format!(
            "[gateway]\ninstance = {instance}\ndata-centre = hall\nregion = thies\n\
             regions = hall:thies\ncallers = {callers}\nready = {ready}\nmetrics = {}\n\
             directory = {directory}\nnews = {}\nseeds =\nplatform = http://{}\nmemory-mb = 260\n\
             descriptors = 4100\nlink-mbps = 1000.0\nprocessor-share = 0.25\n{bounds}",
            free_address(),
            free_address(),
            store.address,
        );
        let written = fs::write(folder.join("settings.ini"), settings);
        written.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let child = Self::spawn(&folder);
        Self { folder, callers, ready, directory, child }
    }

    fn spawn(folder: &PathBuf) -> Child {
        let log = fs::File::options().create(true).append(true).open(folder.join("log.txt"));
        let log = log.unwrap_or_else(|error| cannot_run(&error.to_string()));
        let mut command = Command::new("target/release/bw-gateway");
        command.arg(folder.join("settings.ini")).stdin(Stdio::null());
        let other = log.try_clone().unwrap_or_else(|error| cannot_run(&error.to_string()));
        command.stdout(other).stderr(log);
        let child = command.spawn();
        let child = child.unwrap_or_else(|error| cannot_run(&format!("bw-gateway: {error}")));
        let running = (child.id(), folder.clone());
        RUNNING.lock().unwrap_or_else(|error| error.into_inner()).push(running);
        child
    }

    /// Sends a signal such as `-TERM`.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        if !sent.is_ok_and(|status| status.success()) {
            cannot_run(&format!("kill {name}"));
        }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let mut running = RUNNING.lock().unwrap_or_else(|error| error.into_inner());
        running.retain(|(id, _)| *id != self.child.id());
    }

    /// Starts the process again with the same settings, after it has ended.
    pub fn start_again(&mut self) {
        let _ = self.child.wait();
        self.child = Self::spawn(&self.folder);
    }

    /// Asks whether the gateway is ready, as the platform does.
    pub fn is_ready(&self) -> bool {
        let request = "GET /v1/readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        let asked = Channel::open(self.ready).and_then(|mut channel| {
            channel.send(request)?;
            channel.answer()
        });
        asked.is_ok_and(|answer| answer.word() == "200")
    }

    /// Waits until the gateway is ready.
    pub fn wait_ready(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() > deadline {
                cannot_run("the gateway does not become ready");
            }
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Returns the lines of the log that contain a text.
    pub fn log_lines(&self, text: &str) -> Vec<String> {
        let log = fs::read_to_string(self.folder.join("log.txt")).unwrap_or_default();
        log.lines().filter(|line| line.contains(text)).map(str::to_string).collect()
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        self.kill();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("{}", self.folder.display());
        }
    }
}

// ---- Requesters ----

/// A requester's channel.
pub struct Channel {
    pub stream: TcpStream,
    pub reader: BufReader<TcpStream>,
}

impl Channel {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    pub fn send(&mut self, text: &str) -> std::io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    /// Reads the head of an answer.
    pub fn head(&mut self) -> std::io::Result<Message> {
        read_head(&mut self.reader)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
    }

    /// Reads a whole answer.
    pub fn answer(&mut self) -> std::io::Result<Message> {
        let mut answer = self.head()?;
        read_body(&mut self.reader, &mut answer)?;
        Ok(answer)
    }
}

/// Text of a request.
pub fn request(method: &str, path: &str, attempt: &str, key: &str, deadline: u64, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {deadline}\r\nX-Api-Key: {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

pub fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}
