//! An agent whose engine sends what is no answer.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bw_agent::attempts::Attempts;
use bw_agent::attempts::ReadResult;
use bw_agent::heartbeat::Crashes;
use bw_agent::runner::Runner;
use bw_agent::runner::ServiceTime;
use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_model::Version;
use bw_once::gate::GateDispatch;
use bw_once::Chunk;
use bw_once::End;
use bw_proto::agent::Dispatch;
use bw_proto::AgentView;
use bw_proto::Call;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const INCARNATION: Incarnation = Incarnation(1);
const ATTEMPT: AttemptId = AttemptId(7);
/// Largest answer of a request that may run only once.
const ANSWER_MAX: usize = 1 << 20;

/// Starts an engine that answers each connection with `head`, then with `rest` until the connection breaks.
async fn start_engine(head: String, rest: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let (head, rest) = (head.clone(), rest.clone());
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                let _ = stream.read(&mut request).await;
                let mut sent = stream.write_all(head.as_bytes()).await;
                while sent.is_ok() && !rest.is_empty() {
                    sent = stream.write_all(rest.as_bytes()).await;
                }
            });
        }
    });
    address
}

/// Runs one attempt to its end and returns the last chunk of its answer, if the answer is held.
async fn run(backend: SocketAddr, once: bool) -> (Option<Chunk>, Runner) {
    let attempts = Attempts::new(INCARNATION, Duration::from_secs(60), ANSWER_MAX);
    attempts.set_slots(1);
    let runner = Runner::new(attempts.clone(), ServiceTime::default(), Crashes::default());
    let dispatch = Dispatch {
        attempt: ATTEMPT,
        incarnation: INCARNATION,
        entry: "entry-1".to_string(),
        request: "r-1".to_string(),
        workspace: "orders".to_string(),
        order: 0,
        limit: 20_000,
        fingerprint: 1,
        suspect: false,
        once,
        call: Call {
            method: "POST".to_string(),
            path: "/run".to_string(),
            headers: Vec::new(),
            body: Vec::new(),
        },
    };
    let view = AgentView {
        version: Version(1),
        instance: "agent-1".to_string(),
        backend,
        endpoint: "e-1".to_string(),
        rank: 0,
        slots: 1,
        fenced: true,
        shape: None,
        ranks: Vec::new(),
        entries: Vec::new(),
    };
    let gate = GateDispatch { attempt: ATTEMPT, incarnation: INCARNATION, suspect: false };
    let (_, _, cancelled) = attempts.dispatch(gate, 1, once);
    let running = runner.clone().run(dispatch, Arc::new(view), cancelled.unwrap());
    tokio::time::timeout(Duration::from_secs(15), running).await.unwrap();
    let read = attempts.read(ATTEMPT, INCARNATION, 0, true, Duration::ZERO).await;
    match read {
        ReadResult::Chunk(chunk) => (Some(chunk), runner),
        ReadResult::Lost(_) => (None, runner),
    }
}

/// Guards against a status that is no answer as an answer, and against an engine that sends one taken for dead.
#[tokio::test]
async fn a_status_that_ends_no_exchange_fails_the_attempt() {
    for status in [101, 600, 999] {
        let head = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 3\r\n\r\nodd");
        for once in [false, true] {
            let (chunk, runner) = run(start_engine(head.clone(), String::new()).await, once).await;
            let chunk = chunk.unwrap();
            assert_eq!(chunk.end, Some(End::Failed), "{status}");
            assert_eq!(chunk.head, None, "{status}");
            assert!(!runner.is_dead());
        }
    }
}

/// Guards against an engine whose endless answer fills the memory of its agent, which keeps the answers of requests
/// that may run only once.
#[tokio::test]
async fn an_endless_answer_ends_the_attempt() {
    let part = "x".repeat(0x1_0000);
    let endless = [
        ("HTTP/1.1 200 OK\r\n\r\n".to_string(), part.clone()),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string(),
            format!("10000\r\n{part}\r\n"),
        ),
        ("HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n".to_string(), part.clone()),
    ];
    for (head, rest) in endless {
        let (chunk, runner) = run(start_engine(head, rest).await, true).await;
        assert_eq!(chunk, None, "the answer is still held");
        assert!(!runner.is_dead());
    }
    // A head without an end is no answer, whatever the request.
    let (chunk, _) =
        run(start_engine("HTTP/1.1 200 OK\r\n".to_string(), "x-y: z\r\n".repeat(99)).await, true)
            .await;
    assert_eq!(chunk.unwrap().head, None);
}
