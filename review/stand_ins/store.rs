//! Stand-in for the platform's metadata store: objects by kind and name, lists and watches.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::http::Message;
use crate::json::quote;
use crate::json::Json;

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Object {
    revision: u64,
    content: String,
}

#[derive(Clone)]
struct Event {
    revision: u64,
    kind: String,
    text: String,
}

/// A copy of the store's objects.
pub struct Copy {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
}

#[derive(Default)]
struct State {
    /// Number of times that the store has returned from an older copy.
    era: u64,
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

/// Handle to the store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// Address at which the store listens.
    pub address: SocketAddr,
}

fn encode(name: &str, object: &Object) -> String {
    format!(
        "{{\"metadata\":{{\"name\":{},\"revision\":{},\"finalizers\":[],\"deleting\":false}},\
         \"specification\":{},\"status\":null}}",
        quote(name),
        object.revision,
        object.content
    )
}

impl Store {
    /// Starts the store at a free port of `127.0.0.1`.
    pub fn start() -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self { state: Arc::default(), address: listener.local_addr()? };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.read() {
                        let (status, body) = store.answer(&request);
                        thread::sleep(ANSWER_TIME);
                        let first = format!("HTTP/1.1 {status} Status");
                        let era = store.state.0.lock().unwrap().era.to_string();
                        let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
                        if connection.write(&first, &headers, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(store)
    }

    /// Writes an object, whatever its revision is. Returns the time of the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, content: &str) -> Instant {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.put(kind, name, content.to_string());
        drop(state);
        changed.notify_all();
        // Whoever wrote gets the answer after the usual time.
        Instant::now() + ANSWER_TIME
    }

    /// Removes an object. Returns the time of the acknowledgement.
    pub fn remove(&self, kind: &str, name: &str) -> Instant {
        let (lock, changed) = &*self.state;
        lock.lock().unwrap().remove(kind, name);
        changed.notify_all();
        Instant::now() + ANSWER_TIME
    }

    /// Returns a copy of all objects.
    pub fn copy(&self) -> Copy {
        let state = self.state.0.lock().unwrap();
        Copy { revision: state.revision, objects: state.objects.clone() }
    }

    /// Returns to a copy: what was written since is lost, and its revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let (lock, changed) = &*self.state;
        let mut state = lock.lock().unwrap();
        state.era += 1;
        state.revision = copy.revision;
        state.objects = copy.objects;
        let last = state.revision;
        state.events.retain(|event| event.revision <= last);
        drop(state);
        changed.notify_all();
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (path, query) = request.target();
        let Some(rest) = path.strip_prefix("/v1/objects/") else { return (404, String::new()) };
        let (kind, name) = rest.split_once('/').map_or((rest, None), |(kind, name)| (kind, Some(name)));
        let field = |wanted: &str| {
            query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == wanted).map(|(_, value)| value)
        };
        let (lock, changed) = &*self.state;
        match (request.method(), name) {
            ("GET", Some(name)) => {
                let state = lock.lock().unwrap();
                match state.objects.get(&(kind.to_string(), name.to_string())) {
                    Some(object) => (200, encode(name, object)),
                    None => (404, String::new()),
                }
            }
            ("GET", None) => match field("watch").and_then(|text| text.parse::<u64>().ok()) {
                None => {
                    let after = field("after").unwrap_or("");
                    let state = lock.lock().unwrap();
                    let items = state.objects.iter().filter(|((of, name), _)| of == kind && name.as_str() > after);
                    let items: Vec<String> = items.map(|((_, name), object)| encode(name, object)).collect();
                    (200, format!("{{\"items\":[{}],\"has_more\":false,\"at\":{}}}", items.join(","), state.revision))
                }
                Some(after) => {
                    let wait = field("wait_ms").and_then(|text| text.parse().ok()).unwrap_or(0);
                    let until = Instant::now() + Duration::from_millis(wait);
                    let mut state = lock.lock().unwrap();
                    loop {
                        if after > state.revision {
                            return (410, String::new());
                        }
                        let events = state.events.iter().filter(|event| event.revision > after && event.kind == kind);
                        let events: Vec<String> = events.map(|event| event.text.clone()).collect();
                        let left = until.saturating_duration_since(Instant::now());
                        if !events.is_empty() || left.is_zero() {
                            let text = format!("{{\"events\":[{}],\"at\":{}}}", events.join(","), state.revision);
                            return (200, text);
                        }
                        state = changed.wait_timeout(state, left).unwrap().0;
                    }
                }
            },
            ("POST" | "PUT", _) => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let Some(body) = body else { return (400, String::new()) };
                let meta = body.get("metadata").cloned().unwrap_or(Json::Null);
                let named = meta.get("name").and_then(Json::text).or(name).unwrap_or("").to_string();
                let content = body.get("specification").map_or("null".to_string(), Json::encode);
                let mut state = lock.lock().unwrap();
                let known = state.objects.get(&(kind.to_string(), named.clone())).cloned();
                let wanted = meta.get("revision").and_then(Json::number);
                let conflict = match (request.method(), &known) {
                    ("POST", Some(_)) => true,
                    ("PUT", None) => return (404, String::new()),
                    ("PUT", Some(known)) => wanted.is_some_and(|wanted| wanted != known.revision),
                    _ => false,
                };
                if let (true, Some(known)) = (conflict, &known) {
                    return (409, encode(&named, known));
                }
                if known.as_ref().is_none_or(|known| known.content != content) {
                    state.put(kind, &named, content);
                }
                let text = encode(&named, &state.objects[&(kind.to_string(), named.clone())]);
                drop(state);
                changed.notify_all();
                (200, text)
            }
            ("DELETE", Some(name)) => {
                lock.lock().unwrap().remove(kind, name);
                changed.notify_all();
                (200, String::new())
            }
            _ => (400, String::new()),
        }
    }
}

impl State {
    fn put(&mut self, kind: &str, name: &str, content: String) {
        self.revision += 1;
        let object = Object { revision: self.revision, content };
        let text = format!("{{\"object\":{},\"deleted\":false}}", encode(name, &object));
        self.events.push(Event { revision: self.revision, kind: kind.to_string(), text });
        self.objects.insert((kind.to_string(), name.to_string()), object);
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let Some(mut object) = self.objects.remove(&(kind.to_string(), name.to_string())) else { return };
        self.revision += 1;
        object.revision = self.revision;
        let text = format!("{{\"object\":{},\"deleted\":true}}", encode(name, &object));
        self.events.push(Event { revision: self.revision, kind: kind.to_string(), text });
    }
}
