//! Fake of an endpoint that is called over HTTP directly, with scripted responses.
//!
//! The fake writes raw bytes to its connections, since no HTTP library sends most of the faulty
//! responses that it injects: truncated answers, answers to other requests, bytes after the end.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_adapter::stand_in::endpoint::decode_received;
use bw_adapter::stand_in::endpoint::encode_reply_metadata;
use bw_adapter::stand_in::endpoint::ReceivedRequest;
use bw_adapter::stand_in::endpoint::ReplyMetadata;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Largest size of a request's head, in bytes.
const HEAD_BYTES_MAX: usize = 65_536;
/// Largest number of header fields of a request.
const HEADERS_MAX: usize = 64;
/// Bytes that are written at once without end.
const ENDLESS_BLOCK: usize = 16_384;

/// A scripted response: how the endpoint handles one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs the request and answers with a status and a body.
    Answer(u16, String),
    /// Handles the request by the entry with the first prefix that its path has; closes the connection
    /// without running it if there is none.
    ByPath(Vec<(String, Behaviour)>),
    /// Runs the request and answers after the given milliseconds with the attempt's id, the endpoint's name
    /// and whether the endpoint is leaving.
    Echo(u64),
    /// Runs the request and answers with a chunked body without the last chunk, then closes.
    Unterminated(String),
    /// Runs the request and answers without a length; the body ends when the connection closes.
    CloseDelimited(String),
    /// Runs the request and sends half of the announced body, then closes.
    Truncated(String),
    /// Runs the request and sends the answer twice on the connection.
    Duplicate(String),
    /// Runs the request and sends the answer to the connection's last request once more, with the given body,
    /// before the answer to this one.
    LateDuplicate(String),
    /// Runs the request. On a connection that has carried another one, writes a refusal with this status and
    /// without an attempt's id, as of the earlier request, before the answer to this one.
    LateRefusal(u16),
    /// Runs the request and answers with another attempt's id.
    WrongAttempt(String),
    /// Runs the request and resets the connection.
    Reset,
    /// Runs the request and crashes: stops listening, then resets this connection.
    Crash,
    /// Runs the request; crashes as [`Self::Crash`] if its prompt has the given part, and otherwise
    /// streams two events.
    CrashOnPart(u64),
    /// Runs the request; crashes as [`Self::Crash`] if its attempt's id has the given prefix, and otherwise
    /// answers `fine`.
    CrashOnAttempt(String),
    /// Closes the connection without running the request.
    Close,
    /// Runs the request and never answers.
    Hang,
    /// Rejects the request with 503 and marks it as not run.
    Shed,
    /// Rejects the request as [`Self::Shed`], and asks for a time in which no requests are sent: the texts of
    /// its `Retry-After` fields.
    ShedFor(Vec<String>),
    /// Rejects the request with 421 under the name of another endpoint.
    Misdirect,
    /// Answers a health check with this name of the endpoint and the time until which it is cold.
    Health(String, Instant),
    /// Runs the request and streams events up to the given number.
    Stream(u64),
    /// Runs the request, streams events up to the given number, and closes within the next one.
    BrokenStream(u64),
    /// Runs the request, streams events up to the given number, and closes between two events.
    CutStream(u64),
    /// Runs the request and streams the events from the first to the second number, wherever the caller wants
    /// to go on.
    StreamFrom(u64, u64),
    /// Runs the request and streams one event without an id, with the given text.
    StreamText(String),
    /// Handles a request that goes on with a stream by the second entry, and any other by the first one.
    Resumed(Vec<Behaviour>),
    /// Runs the request, streams events up to number 1, and then keeps the stream open.
    SilentStream,
    /// Runs the request, streams events up to number 1, and then sends a byte of the next event at each
    /// interval in milliseconds.
    TricklingStream(u64),
    /// Runs the request, streams events up to the given number at this interval in milliseconds.
    SlowStream(u64, u64),
    /// Runs the request, sends the given bytes, and then repeats the last part without end.
    Endless(String, String),
}

impl Behaviour {
    /// Returns whether the request runs.
    fn runs(&self) -> bool {
        !matches!(
            self,
            Self::Close | Self::Shed | Self::ShedFor(_) | Self::Misdirect | Self::Health(..)
        )
    }
}

/// Requests and connections that the endpoint has observed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observations {
    /// Requests in the order in which they arrived.
    pub requests: Vec<ReceivedRequest>,
    /// Ids of the attempts that ran; empty for a request without one.
    pub runs: Vec<String>,
    /// Number of connections opened.
    pub connections: u32,
    /// Number of requests whose caller closed the connection before the answer was complete.
    pub abandoned: u32,
    /// Bytes that were written without end.
    pub endless: u64,
}

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Behaviour>,
    /// Text of the limit that all answers name.
    limit: Option<String>,
    /// Whether all answers say that the endpoint is leaving.
    leaving: bool,
    observed: Observations,
}

/// A fake endpoint on a loopback address. Clones share script and observations.
#[derive(Clone, Debug)]
pub struct FakeEndpoint {
    /// Name in the directory of endpoints.
    pub name: String,
    /// Listening address.
    pub address: SocketAddr,
    default: Behaviour,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    /// Signals the accept loop to end.
    crashed: Arc<Notify>,
    /// Signals that the accept loop has ended and the listening socket is closed.
    listener_closed: Arc<Notify>,
}

impl FakeEndpoint {
    /// Starts an endpoint that handles requests by `default` while its script is empty.
    ///
    /// # Errors
    /// The operating system's error.
    pub async fn start(name: &str, default: Behaviour) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let endpoint = Self {
            name: name.to_string(),
            address: listener.local_addr()?,
            default,
            state: Arc::default(),
            changed: Arc::default(),
            crashed: Arc::default(),
            listener_closed: Arc::default(),
        };
        endpoint.accept(listener);
        Ok(endpoint)
    }

    /// Listens at the same address again, after a crash.
    ///
    /// # Errors
    /// The operating system's error.
    pub async fn listen_again(&self) -> io::Result<()> {
        self.accept(TcpListener::bind(self.address).await?);
        Ok(())
    }

    fn accept(&self, listener: TcpListener) {
        let acceptor = self.clone();
        tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    Ok((stream, _)) = listener.accept() => stream,
                    () = acceptor.crashed.notified() => break,
                };
                let endpoint = acceptor.clone();
                endpoint.update(|state| state.observed.connections += 1);
                tokio::spawn(async move {
                    // An error means that the caller closed the connection.
                    let _ = endpoint.serve(stream).await;
                });
            }
            drop(listener);
            acceptor.listener_closed.notify_one();
        });
    }

    /// Appends a behaviour to the script; each entry applies to one request.
    pub fn script(&self, behaviour: Behaviour) {
        self.lock().script.push_back(behaviour);
    }

    /// Sets the limit on requests a second that all answers name from now on; `None` for no limit.
    pub fn name_limit(&self, limit: Option<&str>) {
        self.lock().limit = limit.map(str::to_string);
    }

    /// Sets whether all answers say from now on that the endpoint is leaving.
    pub fn set_leaving(&self, leaving: bool) {
        self.lock().leaving = leaving;
    }

    /// Returns the observations so far.
    pub fn observed(&self) -> Observations {
        self.lock().observed.clone()
    }

    /// Waits until the observations satisfy `test`.
    pub async fn wait_for<F>(&self, test: F)
    where
        F: Fn(&Observations) -> bool,
    {
        loop {
            let notified = self.changed.notified();
            if test(&self.lock().observed) {
                return;
            }
            notified.await;
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        let mut last: Option<String> = None;
        while let Some(request) = read_request(&mut stream, &mut buffer).await? {
            let behaviour = {
                let mut state = self.lock();
                state.script.pop_front().unwrap_or_else(|| self.default.clone())
            };
            let behaviour = match behaviour {
                Behaviour::CrashOnPart(part) if request.parts.contains(&part) => Behaviour::Crash,
                Behaviour::CrashOnPart(_) => Behaviour::Stream(2),
                Behaviour::CrashOnAttempt(prefix) => {
                    let attempt = request.attempt.as_deref().unwrap_or_default();
                    match attempt.starts_with(&prefix) {
                        true => Behaviour::Crash,
                        false => Behaviour::Answer(200, "fine".to_string()),
                    }
                }
                Behaviour::Resumed(mut cases) => {
                    let index = usize::from(request.last_event.is_some());
                    cases.swap_remove(index.min(cases.len() - 1))
                }
                Behaviour::ByPath(cases) => {
                    let case = cases.into_iter().find(|(path, _)| request.path.starts_with(path));
                    case.map_or(Behaviour::Close, |(_, behaviour)| behaviour)
                }
                behaviour => behaviour,
            };
            let attempt = request.attempt.clone().unwrap_or_default();
            self.update(|state| {
                state.observed.requests.push(request.clone());
                if behaviour.runs() {
                    state.observed.runs.push(attempt.clone());
                }
            });
            if !self.respond(&mut stream, &behaviour, &request, last.as_deref()).await? {
                return Ok(());
            }
            last = Some(attempt);
        }
        Ok(())
    }

    /// Handles one request; returns false if the connection is to be closed. `last` is the attempt of the
    /// connection's last request.
    async fn respond(
        &self,
        stream: &mut TcpStream,
        behaviour: &Behaviour,
        request: &ReceivedRequest,
        last: Option<&str>,
    ) -> io::Result<bool> {
        let (limit, leaving) = {
            let state = self.lock();
            (state.limit.clone(), state.leaving)
        };
        let metadata = ReplyMetadata {
            attempt: request.attempt.clone(),
            stamped: true,
            limit,
            leaving,
            ..ReplyMetadata::default()
        };
        let ok_head = |extra: &str| head(200, &metadata, extra);
        match behaviour {
            Behaviour::Answer(status, body) => {
                let head = head(*status, &metadata, &content_length(body));
                stream.write_all(format!("{head}{body}").as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::Unterminated(body) => {
                let head = ok_head("Transfer-Encoding: chunked\r\n");
                let text = format!("{head}{:x}\r\n{body}\r\n", body.len());
                stream.write_all(text.as_bytes()).await?;
            }
            Behaviour::CloseDelimited(body) => {
                stream.write_all(format!("{}{body}", ok_head("")).as_bytes()).await?;
            }
            Behaviour::Truncated(body) => {
                let part = &body[..body.len() / 2];
                stream
                    .write_all(format!("{}{part}", ok_head(&content_length(body))).as_bytes())
                    .await?;
            }
            Behaviour::Duplicate(body) => {
                let head = ok_head(&content_length(body));
                stream.write_all(format!("{head}{body}{head}{body}").as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::LateDuplicate(body) => {
                if let Some(last) = last {
                    let attempt = Some(last.to_string());
                    let metadata = ReplyMetadata { attempt, ..metadata.clone() };
                    let head = head(200, &metadata, &content_length(body));
                    stream.write_all(format!("{head}{body}").as_bytes()).await?;
                }
                let head = ok_head(&content_length("fine"));
                stream.write_all(format!("{head}fine").as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::LateRefusal(status) => {
                if last.is_some() {
                    let metadata = ReplyMetadata {
                        attempt: None,
                        stamped: false,
                        not_run: true,
                        ..metadata.clone()
                    };
                    let head = head(*status, &metadata, &content_length(""));
                    stream.write_all(head.as_bytes()).await?;
                }
                let head = ok_head(&content_length("fine"));
                stream.write_all(format!("{head}fine").as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::WrongAttempt(body) => {
                let metadata =
                    ReplyMetadata { attempt: Some("another".to_string()), ..metadata.clone() };
                let head = head(200, &metadata, &content_length(body));
                stream.write_all(format!("{head}{body}").as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::Reset => stream.set_zero_linger()?,
            Behaviour::Echo(millis) => {
                tokio::time::sleep(Duration::from_millis(*millis)).await;
                let attempt = request.attempt.as_deref().unwrap_or_default();
                let body = format!("{attempt} {} {leaving}", self.name);
                let head = ok_head(&content_length(&body));
                stream.write_all(format!("{head}{body}").as_bytes()).await?;
                return Ok(true);
            }
            // `serve` has replaced them by what they stand for.
            Behaviour::CrashOnPart(_)
            | Behaviour::CrashOnAttempt(_)
            | Behaviour::ByPath(_)
            | Behaviour::Resumed(_) => {}
            Behaviour::Crash => {
                stream.set_zero_linger()?;
                self.crashed.notify_one();
                self.listener_closed.notified().await;
            }
            Behaviour::Close => {}
            Behaviour::Hang => self.wait_for_close(stream).await?,
            Behaviour::Shed => {
                let metadata = ReplyMetadata { stamped: false, not_run: true, ..metadata.clone() };
                let head = head(503, &metadata, &content_length(""));
                stream.write_all(head.as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::ShedFor(waits) => {
                let metadata = ReplyMetadata {
                    stamped: false,
                    not_run: true,
                    waits: waits.clone(),
                    ..metadata.clone()
                };
                let head = head(503, &metadata, &content_length(""));
                stream.write_all(head.as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::Misdirect => {
                let metadata = ReplyMetadata {
                    stamped: false,
                    endpoint: Some("another".to_string()),
                    ..metadata.clone()
                };
                let head = head(421, &metadata, &content_length(""));
                stream.write_all(head.as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::Health(name, until) => {
                let cold = until.saturating_duration_since(Instant::now());
                let metadata = ReplyMetadata {
                    endpoint: Some(name.clone()),
                    cold: Some(cold.as_millis() as u64),
                    ..metadata.clone()
                };
                let head = head(200, &metadata, &content_length(""));
                stream.write_all(head.as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::Stream(last) => {
                self.write_events(stream, &ok_head(STREAM_HEADERS), request, *last).await?;
                stream.write_all(b"0\r\n\r\n").await?;
                return Ok(true);
            }
            Behaviour::BrokenStream(last) => {
                self.write_events(stream, &ok_head(STREAM_HEADERS), request, *last).await?;
                let part = format!("id: {}\ndata: pa", last + 1);
                stream.write_all(chunk(&part).as_bytes()).await?;
            }
            Behaviour::CutStream(last) => {
                self.write_events(stream, &ok_head(STREAM_HEADERS), request, *last).await?;
            }
            Behaviour::StreamFrom(first, last) => {
                stream.write_all(ok_head(STREAM_HEADERS).as_bytes()).await?;
                for id in *first..=*last {
                    stream.write_all(chunk(&event_text(id)).as_bytes()).await?;
                }
                stream.write_all(b"0\r\n\r\n").await?;
                return Ok(true);
            }
            Behaviour::StreamText(text) => {
                let event = chunk(&format!("data: {text}\n\n"));
                let head = ok_head(STREAM_HEADERS);
                stream.write_all(format!("{head}{event}0\r\n\r\n").as_bytes()).await?;
                return Ok(true);
            }
            Behaviour::SilentStream => {
                self.write_events(stream, &ok_head(STREAM_HEADERS), request, 1).await?;
                self.wait_for_close(stream).await?;
            }
            Behaviour::TricklingStream(interval) => {
                self.write_events(stream, &ok_head(STREAM_HEADERS), request, 1).await?;
                loop {
                    tokio::time::sleep(Duration::from_millis(*interval)).await;
                    stream.write_all(chunk(":").as_bytes()).await?;
                }
            }
            Behaviour::SlowStream(last, interval) => {
                stream.write_all(ok_head(STREAM_HEADERS).as_bytes()).await?;
                for id in request.last_event.unwrap_or(0) + 1..=*last {
                    tokio::time::sleep(Duration::from_millis(*interval)).await;
                    stream.write_all(chunk(&event_text(id)).as_bytes()).await?;
                }
                stream.write_all(b"0\r\n\r\n").await?;
                return Ok(true);
            }
            Behaviour::Endless(start, part) => {
                let start = start.replace("{head}", &ok_head("").replace("\r\n\r\n", "\r\n"));
                stream.write_all(start.as_bytes()).await?;
                let block = part.repeat((ENDLESS_BLOCK / part.len().max(1)).max(1));
                loop {
                    stream.write_all(block.as_bytes()).await?;
                    self.update(|state| state.observed.endless += block.len() as u64);
                }
            }
        }
        Ok(false)
    }

    async fn write_events(
        &self,
        stream: &mut TcpStream,
        head: &str,
        request: &ReceivedRequest,
        last: u64,
    ) -> io::Result<()> {
        stream.write_all(head.as_bytes()).await?;
        for id in request.last_event.unwrap_or(0) + 1..=last {
            stream.write_all(chunk(&event_text(id)).as_bytes()).await?;
        }
        Ok(())
    }

    /// Waits until the caller closes the connection, and counts the request as abandoned.
    async fn wait_for_close(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut byte = [0];
        let closed = matches!(stream.read(&mut byte).await, Ok(0) | Err(_));
        if closed {
            self.update(|state| state.observed.abandoned += 1);
        }
        Ok(())
    }

    fn update<F>(&self, update: F)
    where
        F: FnOnce(&mut State),
    {
        update(&mut self.lock());
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const STREAM_HEADERS: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/// Returns the text of one server-sent event.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn content_length(body: &str) -> String {
    format!("Content-Length: {}\r\n", body.len())
}

fn head(status: u16, metadata: &ReplyMetadata, extra: &str) -> String {
    let mut head = format!("HTTP/1.1 {status} Played\r\n{extra}");
    for (name, value) in encode_reply_metadata(metadata) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    head
}

/// Reads one request with its body; `None` if the caller closes the connection.
async fn read_request(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<Option<ReceivedRequest>> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut request = httparse::Request::new(&mut fields);
        let parsed = request.parse(buffer).map_err(io::Error::other)?;
        if let httparse::Status::Complete(start) = parsed {
            let headers = request.headers.iter();
            let headers = headers
                .filter_map(|header| Some((header.name, std::str::from_utf8(header.value).ok()?)));
            let method = request.method.unwrap_or_default();
            let request = decode_received(method, request.path.unwrap_or_default(), headers);
            let end = start + request.length;
            while buffer.len() < end {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            buffer.drain(..end);
            return Ok(Some(request));
        }
        if buffer.len() > HEAD_BYTES_MAX {
            return Err(io::Error::other("the request head is too large"));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}
