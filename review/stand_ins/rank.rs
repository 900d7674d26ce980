//! Stand-in for the model servers of one group, as far as the planning of expert maps asks them.
//!
//! Another planner has given the group map 5, which assigns the experts in turn. Its requests begin at a given
//! time, and choose all experts equally often.

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::store::Store;

/// Ranks of the group.
pub const RANKS: usize = 16;
/// Sets of layers, and experts in each.
const SETS: usize = 4;
const EXPERTS: usize = 64;
/// Length of a pass.
const PASS_MS: u64 = 40;
/// Least time between two spoiled answers.
const SPOIL_PAUSE: Duration = Duration::from_secs(2);

/// The model servers of a group.
pub struct Group {
    addresses: Vec<SocketAddr>,
    /// Answers of each rank.
    pub answers: Arc<Vec<AtomicU64>>,
    /// Ranks that have spoiled an answer, with the last time.
    pub spoiled: Arc<Mutex<(usize, Option<Instant>)>>,
}

impl Group {
    /// Starts the ranks. Requests begin at `begin`. The first `spoil` ranks spoil one byte of one answer each, one
    /// after the other: an answer with the lists of their experts.
    pub fn start(begin: Instant, spoil: usize) -> std::io::Result<Self> {
        let answers: Vec<AtomicU64> = (0..RANKS).map(|_| AtomicU64::new(0)).collect();
        let mut group = Self { addresses: Vec::new(), answers: Arc::new(answers), spoiled: Arc::default() };
        for rank in 0..RANKS {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            group.addresses.push(listener.local_addr()?);
            let (answers, spoiled) = (group.answers.clone(), group.spoiled.clone());
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (answers, spoiled) = (answers.clone(), spoiled.clone());
                    thread::spawn(move || {
                        let mut connection = Connection::new(stream);
                        while let Ok(request) = connection.read() {
                            let mut status = 200;
                            let mut body = match (request.method(), request.target()) {
                                ("GET", ("/v1/report", _)) => report(rank, begin),
                                ("GET", ("/v1/picked", "")) => counts(begin),
                                ("GET", ("/v1/picked", _)) => lists(rank),
                                _ => {
                                    status = 409;
                                    String::new()
                                }
                            };
                            let listed = request.target().1.starts_with("lists");
                            let mut turn = spoiled.lock().unwrap();
                            let pause = turn.1.is_none_or(|last| last.elapsed() > SPOIL_PAUSE);
                            if listed && rank == turn.0 && rank < spoil && pause {
                                *turn = (rank + 1, Some(Instant::now()));
                                // The first digit of the last expert of the first set becomes a 9.
                                let last = rank + EXPERTS - RANKS;
                                body = body.replacen(&last.to_string(), &format!("9{}", last % 10), 1);
                            }
                            drop(turn);
                            answers[rank].fetch_add(1, Ordering::SeqCst);
                            let first = format!("HTTP/1.1 {status} Status");
                            let headers = [("Content-Type", "application/json")];
                            if connection.write(&first, &headers, body.as_bytes()).is_err() {
                                return;
                            }
                        }
                    });
                }
            });
        }
        Ok(group)
    }

    /// Writes the entries of all ranks.
    pub fn list(&self, store: &Store, service: &str, zones: &[&str]) {
        for (rank, address) in self.addresses.iter().enumerate() {
            let zone = zones[rank % zones.len()];
            let content = format!(
                "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":1,\"slots\":12,\
                 \"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":1,\"size\":{RANKS},\
                 \"group\":{{\"name\":\"g-1\",\"epoch\":1,\"rank\":{rank},\"state\":\"open\"}}}}"
            );
            store.put("servers", &format!("m-{rank:02}"), &content);
        }
    }
}

/// Returns the time since the group's requests have begun.
fn busy(begin: Instant) -> Duration {
    Instant::now().saturating_duration_since(begin)
}

fn step(begin: Instant) -> u64 {
    1_000 + busy(begin).as_millis() as u64 / PASS_MS
}

fn report(rank: usize, begin: Instant) -> String {
    format!(
        "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
         \"sequence\":2,\"waiting\":0,\"running\":3,\"kv_used\":4000,\"kv_total\":372000,\"handles\":0,\
         \"group\":{{\"name\":\"g-1\",\"epoch\":1,\"rank\":{rank},\"state\":\"open\"}},\"size\":{RANKS},\"pace\":1,\
         \"step\":{},\"mapping\":5}}",
        step(begin)
    )
}

fn counts(begin: Instant) -> String {
    let count = (busy(begin).as_millis() as u64 / PASS_MS * 4).to_string();
    let counts = vec![count; SETS * EXPERTS].join(",");
    format!("{{\"step\":{},\"epoch\":1,\"counts\":[{counts}]}}", step(begin))
}

fn lists(rank: usize) -> String {
    let experts: Vec<String> = (rank..EXPERTS).step_by(RANKS).map(|expert| expert.to_string()).collect();
    let sets = vec![format!("[{}]", experts.join(",")); SETS].join(",");
    format!("{{\"epoch\":1,\"mapping\":{{\"version\":5,\"experts\":[{sets}]}},\"prepared\":null}}")
}
