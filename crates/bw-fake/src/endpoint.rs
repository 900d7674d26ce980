//! Stand-in of an endpoint that is reached over HTTP directly, with answers by script.
//!
//! It writes to its connections itself, since most of what it plays is what no HTTP library would
//! send: answers cut short, answers to other requests, bytes after the end.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bw_adapter::stand_in::endpoint::decode_received;
use bw_adapter::stand_in::endpoint::encode_reply_metadata;
use bw_adapter::stand_in::endpoint::ReceivedRequest;
use bw_adapter::stand_in::endpoint::ReplyMetadata;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Bytes of a request's head at most.
const HEAD_BYTES_MAX: usize = 65_536;
/// Header fields of a request at most.
const HEADERS_MAX: usize = 64;

/// How the endpoint treats one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Act {
    /// Runs it and answers with a status and a body.
    Answer(u16, String),
    /// Runs it and answers in chunks that never end, then closes.
    Unended(String),
    /// Runs it and answers without a length, ending with the connection.
    Unframed(String),
    /// Runs it and answers with part of the promised body.
    Truncated(String),
    /// Runs it, answers, and sends a second answer behind the first.
    Twice(String),
    /// Runs it and answers under another attempt's id.
    Foreign(String),
    /// Runs it and resets the connection.
    Reset,
    /// Runs it and crashes: all connections break, and nothing listens any more.
    Crash,
    /// Closes the connection without reading on.
    Close,
    /// Runs it and never answers.
    Hang,
    /// Turns it away as not run.
    Shed,
    /// Is another endpoint than the one that was meant.
    Misdirect,
    /// Runs it and sends events up to the given number.
    Stream(u64),
    /// Runs it and sends events up to the given number, then breaks off within the next one.
    BrokenStream(u64),
    /// Runs it, sends one event, and nothing more.
    SilentStream,
}

impl Act {
    /// Whether the request runs.
    fn runs(&self) -> bool {
        !matches!(self, Self::Close | Self::Shed | Self::Misdirect)
    }
}

/// What the endpoint has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// Requests in the order of their arrival.
    pub arrivals: Vec<ReceivedRequest>,
    /// Attempts that ran.
    pub runs: Vec<String>,
    /// Connections that were opened.
    pub connections: u32,
    /// Requests whose caller closed the connection before the answer was complete.
    pub abandoned: u32,
}

#[derive(Debug, Default)]
struct State {
    script: VecDeque<Act>,
    seen: Seen,
}

/// One endpoint on a loopback address.
#[derive(Clone, Debug)]
pub struct FakeEndpoint {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    usual: Act,
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
    /// Tells the listener to end.
    crashed: Arc<Notify>,
    /// Tells that it has ended.
    gone: Arc<Notify>,
}

impl FakeEndpoint {
    /// Starts an endpoint that treats requests as `usual` where its script is empty.
    ///
    /// # Errors
    /// The operating system's.
    pub async fn start(name: &str, usual: Act) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let endpoint = Self {
            name: name.to_string(),
            address: listener.local_addr()?,
            usual,
            state: Arc::default(),
            changed: Arc::default(),
            crashed: Arc::default(),
            gone: Arc::default(),
        };
        let serving = endpoint.clone();
        tokio::spawn(async move {
            loop {
                let stream = tokio::select! {
                    Ok((stream, _)) = listener.accept() => stream,
                    () = serving.crashed.notified() => break,
                };
                let endpoint = serving.clone();
                endpoint.change(|state| state.seen.connections += 1);
                tokio::spawn(async move {
                    // A caller that closes ends its connection.
                    let _ = endpoint.serve(stream).await;
                });
            }
            drop(listener);
            serving.gone.notify_one();
        });
        Ok(endpoint)
    }

    /// Treats the next request so, after those that are scripted already.
    pub fn script(&self, act: Act) {
        self.lock().script.push_back(act);
    }

    /// What was seen so far.
    pub fn seen(&self) -> Seen {
        self.lock().seen.clone()
    }

    /// Waits until what was seen satisfies `test`.
    pub async fn wait_for<F>(&self, test: F)
    where
        F: Fn(&Seen) -> bool,
    {
        loop {
            let notified = self.changed.notified();
            if test(&self.lock().seen) {
                return;
            }
            notified.await;
        }
    }

    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(arrival) = read_request(&mut stream, &mut buffer).await? {
            let act = {
                let mut state = self.lock();
                state.script.pop_front().unwrap_or_else(|| self.usual.clone())
            };
            let attempt = arrival.attempt.clone().unwrap_or_default();
            self.change(|state| {
                state.seen.arrivals.push(arrival.clone());
                if act.runs() {
                    state.seen.runs.push(attempt.clone());
                }
            });
            if !self.play(&mut stream, &act, &arrival).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Treats one request; false when the connection ends with it.
    async fn play(
        &self,
        stream: &mut TcpStream,
        act: &Act,
        arrival: &ReceivedRequest,
    ) -> io::Result<bool> {
        let marks = ReplyMetadata {
            attempt: arrival.attempt.clone(),
            stamped: true,
            ..ReplyMetadata::default()
        };
        let own = |extra: &str| head(200, &marks, extra);
        match act {
            Act::Answer(status, body) => {
                let head = head(*status, &marks, &length(body));
                stream.write_all(format!("{head}{body}").as_bytes()).await?;
                return Ok(true);
            }
            Act::Unended(body) => {
                let head = own("Transfer-Encoding: chunked\r\n");
                let text = format!("{head}{:x}\r\n{body}\r\n", body.len());
                stream.write_all(text.as_bytes()).await?;
            }
            Act::Unframed(body) => {
                stream.write_all(format!("{}{body}", own("")).as_bytes()).await?;
            }
            Act::Truncated(body) => {
                let part = &body[..body.len() / 2];
                stream.write_all(format!("{}{part}", own(&length(body))).as_bytes()).await?;
            }
            Act::Twice(body) => {
                let head = own(&length(body));
                stream.write_all(format!("{head}{body}{head}{body}").as_bytes()).await?;
                return Ok(true);
            }
            Act::Foreign(body) => {
                let marks = ReplyMetadata { attempt: Some("another".to_string()), ..marks.clone() };
                let head = head(200, &marks, &length(body));
                stream.write_all(format!("{head}{body}").as_bytes()).await?;
                return Ok(true);
            }
            Act::Reset => stream.set_zero_linger()?,
            Act::Crash => {
                stream.set_zero_linger()?;
                self.crashed.notify_one();
                self.gone.notified().await;
            }
            Act::Close => {}
            Act::Hang => self.wait_for_leave(stream).await?,
            Act::Shed => {
                let marks = ReplyMetadata { stamped: false, not_run: true, ..marks.clone() };
                let head = head(503, &marks, &length(""));
                stream.write_all(head.as_bytes()).await?;
                return Ok(true);
            }
            Act::Misdirect => {
                let marks = ReplyMetadata {
                    stamped: false,
                    endpoint: Some("another".to_string()),
                    ..marks.clone()
                };
                let head = head(421, &marks, &length(""));
                stream.write_all(head.as_bytes()).await?;
                return Ok(true);
            }
            Act::Stream(last) => {
                self.write_events(stream, &own(STREAM_HEADERS), arrival, *last).await?;
                stream.write_all(b"0\r\n\r\n").await?;
                return Ok(true);
            }
            Act::BrokenStream(last) => {
                self.write_events(stream, &own(STREAM_HEADERS), arrival, *last).await?;
                let part = format!("id: {}\ndata: pa", last + 1);
                stream.write_all(chunk(&part).as_bytes()).await?;
            }
            Act::SilentStream => {
                self.write_events(stream, &own(STREAM_HEADERS), arrival, 1).await?;
                self.wait_for_leave(stream).await?;
            }
        }
        Ok(false)
    }

    async fn write_events(
        &self,
        stream: &mut TcpStream,
        head: &str,
        arrival: &ReceivedRequest,
        last: u64,
    ) -> io::Result<()> {
        stream.write_all(head.as_bytes()).await?;
        for id in arrival.last_event.unwrap_or(0) + 1..=last {
            stream.write_all(chunk(&event_text(id)).as_bytes()).await?;
        }
        Ok(())
    }

    /// Waits until the caller closes the connection.
    async fn wait_for_leave(&self, stream: &mut TcpStream) -> io::Result<()> {
        let mut byte = [0];
        let left = matches!(stream.read(&mut byte).await, Ok(0) | Err(_));
        if left {
            self.change(|state| state.seen.abandoned += 1);
        }
        Ok(())
    }

    fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut State),
    {
        change(&mut self.lock());
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const STREAM_HEADERS: &str = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n";

/// The text of one event.
pub fn event_text(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn length(body: &str) -> String {
    format!("Content-Length: {}\r\n", body.len())
}

fn head(status: u16, marks: &ReplyMetadata, extra: &str) -> String {
    let mut head = format!("HTTP/1.1 {status} Played\r\n{extra}");
    for (name, value) in encode_reply_metadata(marks) {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    head
}

/// Reads one request with its body; `None` when the caller closes.
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
            let arrival = decode_received(method, request.path.unwrap_or_default(), headers);
            let end = start + arrival.length;
            while buffer.len() < end {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            buffer.drain(..end);
            return Ok(Some(arrival));
        }
        if buffer.len() > HEAD_BYTES_MAX {
            return Err(io::Error::other("the head is too large"));
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}
