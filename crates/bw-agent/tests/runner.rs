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

/// Runs one attempt to its end and returns the last chunk of its answer.
async fn run(backend: SocketAddr, once: bool) -> (Chunk, Runner) {
    let attempts = Attempts::new(INCARNATION, Duration::from_secs(60));
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
    let ReadResult::Chunk(chunk) = read else { panic!("the answer is lost") };
    (chunk, runner)
}

/// Guards against a status that is no answer as an answer, and against an engine that sends one taken for dead.
#[tokio::test]
async fn a_status_that_ends_no_exchange_fails_the_attempt() {
    for status in [101, 600, 999] {
        let head = format!("HTTP/1.1 {status} Odd\r\nContent-Length: 3\r\n\r\nodd");
        for once in [false, true] {
            let (chunk, runner) = run(start_engine(head.clone(), String::new()).await, once).await;
            assert_eq!(chunk.end, Some(End::Failed), "{status}");
            assert_eq!(chunk.head, None, "{status}");
            assert!(!runner.is_dead());
        }
    }
}
