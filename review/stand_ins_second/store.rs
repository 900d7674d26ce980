//! Stand-in of the platform's store: objects by kind and name, lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http::read_message;
use crate::http::Message;
use crate::json::parse;
use crate::json::Value;

/// Time that an answer takes.
const LATENCY: Duration = Duration::from_millis(4);

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, Value)>,
    /// Changes in their order: revision, kind, object and whether it was removed.
    history: Vec<(u64, String, String, bool)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

fn encode(name: &str, revision: u64, content: &Value) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":1,\
         \"finalizers\":[],\"deleting\":false}},\"specification\":{},\"status\":null}}",
        content.write()
    )
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let state = State { revision: 100, ..State::default() };
        let store = Self { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let acceptor = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = acceptor.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes an object as its owner. A write that changes nothing keeps the revision.
    pub fn put(&self, kind: &str, name: &str, content: &Value) -> u64 {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        if let Some((revision, known)) = state.objects.get(&key) {
            if known == content {
                return *revision;
            }
        }
        state.revision += 1;
        let revision = state.revision;
        state.history.push((revision, key.0.clone(), encode(name, revision, content), false));
        state.objects.insert(key, (revision, content.clone()));
        self.state.1.notify_all();
        revision
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) -> Option<u64> {
        let mut state = self.state.0.lock().unwrap();
        let key = (kind.to_string(), name.to_string());
        let (_, content) = state.objects.remove(&key)?;
        state.revision += 1;
        let revision = state.revision;
        state.history.push((revision, key.0, encode(name, revision, &content), true));
        self.state.1.notify_all();
        Some(revision)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(call)) = read_message(&mut reader) {
            let (status, body) = self.answer(&call);
            std::thread::sleep(LATENCY);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nStore-Era: 1\r\n\
                 Content-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all(format!("{head}{body}").as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, String) {
        let method = call.first[0].as_str();
        let (path, query) = call.first[1].split_once('?').unwrap_or((&call.first[1], ""));
        let Some(rest) = path.strip_prefix("/v1/objects/") else {
            return (400, "{}".to_string());
        };
        let (kind, name) = rest.split_once('/').map_or((rest, ""), |(kind, name)| (kind, name));
        let field = |wanted: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.filter(|(key, _)| *key == wanted).map(|(_, value)| value.to_string()).next()
        };
        if let (Some(revision), "GET", "") = (field("watch"), method, name) {
            let wait = field("wait_ms").and_then(|wait| wait.parse().ok()).unwrap_or(0);
            return (200, self.watch(kind, revision.parse().unwrap_or(0), wait));
        }
        match (method, name) {
            ("GET", "") => {
                (200, self.list(kind, &field("after").unwrap_or_default()))
            }
            ("GET", name) => {
                let state = self.state.0.lock().unwrap();
                match state.objects.get(&(kind.to_string(), name.to_string())) {
                    Some((revision, content)) => (200, encode(name, *revision, content)),
                    None => (404, "{}".to_string()),
                }
            }
            ("DELETE", name) => match self.remove(kind, name) {
                Some(_) => (200, "{}".to_string()),
                None => (404, "{}".to_string()),
            },
            ("POST" | "PUT", _) => self.write(method, kind, name, &call.body),
            _ => (400, "{}".to_string()),
        }
    }

    fn write(&self, method: &str, kind: &str, name: &str, body: &[u8]) -> (u16, String) {
        let Some(value) = std::str::from_utf8(body).ok().and_then(parse) else {
            return (400, "{}".to_string());
        };
        let meta = value.get("metadata").cloned().unwrap_or(Value::Null);
        let named = meta.get("name").and_then(Value::text).unwrap_or(name).to_string();
        let name = if name.is_empty() { named } else { name.to_string() };
        let content = value.get("specification").cloned().unwrap_or(Value::Null);
        let known = {
            let state = self.state.0.lock().unwrap();
            state.objects.get(&(kind.to_string(), name.clone())).cloned()
        };
        match (method, &known) {
            ("POST", Some((revision, known))) => return (409, encode(&name, *revision, known)),
            ("PUT", None) => return (404, "{}".to_string()),
            _ => {}
        }
        let expected = meta.get("revision").and_then(Value::number);
        if let (Some(expected), Some((revision, known))) = (expected, &known) {
            if expected != *revision {
                return (409, encode(&name, *revision, known));
            }
        }
        let revision = self.put(kind, &name, &content);
        (200, encode(&name, revision, &content))
    }

    fn list(&self, kind: &str, after: &str) -> String {
        let state = self.state.0.lock().unwrap();
        let items: Vec<String> = state
            .objects
            .iter()
            .filter(|((known, name), _)| known == kind && name.as_str() > after)
            .map(|((_, name), (revision, content))| encode(name, *revision, content))
            .collect();
        let at = state.revision;
        format!("{{\"items\":[{}],\"has_more\":false,\"at\":{at}}}", items.join(","))
    }

    fn watch(&self, kind: &str, after: u64, wait: u64) -> String {
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let changes: Vec<String> = state
                .history
                .iter()
                .filter(|(revision, known, _, _)| *revision > after && known == kind)
                .map(|(_, _, object, deleted)| {
                    format!("{{\"object\":{object},\"deleted\":{deleted}}}")
                })
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let at = state.revision;
                return format!("{{\"events\":[{}],\"at\":{at}}}", changes.join(","));
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }
}
