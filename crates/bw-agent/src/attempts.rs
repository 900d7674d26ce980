//! The attempts that run or ran behind the agent, with their answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_once::gate::AttemptStatus;
use bw_once::gate::Dispatch as GateDispatch;
use bw_once::gate::Verdict;
use bw_once::Answer;
use bw_once::Chunk;
use bw_once::End;
use bw_once::Gate;
use bw_once::Head;
use tokio::sync::watch;
use tokio::time::Instant;

/// Bytes of one answer held for a reader; the engine waits beyond it.
pub const HELD_MAX: usize = 4 * 1024 * 1024;
/// Bytes of a finished answer that are kept for repeats.
const KEPT_MAX: usize = 256 * 1024;
/// Bytes in one piece.
const CHUNK_MAX: usize = 256 * 1024;
/// Silence of the reader after which an attempt is given up.
const ABANDONED_AFTER: Duration = Duration::from_secs(15);

/// One attempt.
struct Attempt {
    answer: Answer,
    fingerprint: u64,
    once: bool,
    /// Raised on each change of the answer.
    changed: watch::Sender<u64>,
    /// Set when nobody waits for the attempt any more.
    cancelled: watch::Sender<bool>,
    read: Instant,
    ended: Option<Instant>,
    /// Whether a reader has had the end.
    delivered: bool,
}

struct State {
    gate: Gate,
    attempts: HashMap<AttemptId, Attempt>,
    /// Attempts that ended and may be forgotten after the retention window.
    barred: Vec<(Instant, AttemptId)>,
}

/// The attempts of one agent.
#[derive(Clone)]
pub struct Attempts {
    state: Arc<Mutex<State>>,
    retention: Duration,
}

/// What a read comes to.
pub enum ReadResult {
    /// A piece of the answer.
    Chunk(Chunk),
    /// No piece can come; what has become of the attempt.
    Lost(AttemptStatus),
}

/// How a runner learns that nobody waits for its attempt.
pub type Cancelled = watch::Receiver<bool>;

impl Attempts {
    /// A new life that takes nothing until [`Attempts::set_slots`].
    pub fn new(incarnation: Incarnation, retention: Duration) -> Self {
        let gate = Gate::new(incarnation, 0);
        let state = State { gate, attempts: HashMap::new(), barred: Vec::new() };
        Self { state: Arc::new(Mutex::new(state)), retention }
    }

    /// This life of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.lock().gate.incarnation()
    }

    /// Changes the number of requests that run at a time.
    pub fn set_slots(&self, slots: usize) {
        self.lock().gate.set_slots(slots);
    }

    /// Requests that run now.
    pub fn running(&self) -> usize {
        self.lock().gate.running()
    }

    /// Starts leaving.
    pub fn leave(&self) {
        self.lock().gate.leave();
    }

    /// Whether the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.lock().gate.is_leaving()
    }

    /// Attempts that run, or whose answer no reader has had in whole.
    pub fn unfinished(&self) -> usize {
        let state = self.lock();
        let waiting = state.attempts.values().filter(|attempt| {
            let unread = attempt.read.elapsed() < ABANDONED_AFTER;
            attempt.ended.is_none() || (!attempt.delivered && unread)
        });
        waiting.count()
    }

    /// Decides on a dispatch. With [`Verdict::Run`] comes the cancellation of the attempt.
    pub fn dispatch(
        &self,
        dispatch: GateDispatch,
        fingerprint: u64,
        once: bool,
    ) -> (Verdict, u32, Option<Cancelled>) {
        let mut state = self.lock();
        let verdict = state.gate.dispatch(dispatch);
        let running = state.gate.running() as u32;
        match verdict {
            Verdict::Run => {}
            Verdict::Refused(_) => {
                state.barred.push((Instant::now(), dispatch.attempt));
                return (verdict, running, None);
            }
            Verdict::Joined => return (verdict, running, None),
        }
        let (cancelled, receiver) = watch::channel(false);
        let attempt = Attempt {
            answer: Answer::default(),
            fingerprint,
            once,
            changed: watch::Sender::new(0),
            cancelled,
            read: Instant::now(),
            ended: None,
            delivered: false,
        };
        state.attempts.insert(dispatch.attempt, attempt);
        (verdict, running, Some(receiver))
    }

    /// Tells what has become of an attempt, and bars one that was not seen.
    pub fn ask(&self, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus {
        let mut state = self.lock();
        let standing = state.gate.query(attempt, incarnation);
        if standing == AttemptStatus::NeverRuns {
            state.barred.push((Instant::now(), attempt));
        }
        standing
    }

    /// Reads an answer from `offset` on, waiting up to `wait` for news.
    pub async fn read(
        &self,
        attempt: AttemptId,
        incarnation: Incarnation,
        offset: u64,
        head_known: bool,
        wait: Duration,
    ) -> ReadResult {
        let deadline = Instant::now() + wait;
        loop {
            let mut changed = {
                let mut state = self.lock();
                if state.gate.incarnation() != incarnation {
                    return ReadResult::Lost(AttemptStatus::OtherIncarnation);
                }
                let Some(found) = state.attempts.get_mut(&attempt) else {
                    let standing = state.gate.query(attempt, incarnation);
                    return ReadResult::Lost(standing);
                };
                found.read = Instant::now();
                if !found.once {
                    found.answer.trim(offset);
                }
                let late = Instant::now() >= deadline;
                if late || found.answer.is_ready(offset, head_known) {
                    return found.read_chunk(attempt, offset);
                }
                found.changed.subscribe()
            };
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }

    /// Notes status and headers.
    pub fn set_head(&self, attempt: AttemptId, head: Head) {
        self.change(attempt, |found| found.answer.set_head(head));
    }

    /// Adds bytes and returns how many are held.
    pub fn append(&self, attempt: AttemptId, bytes: &[u8]) -> usize {
        let mut held = 0;
        self.change(attempt, |found| {
            found.answer.append(bytes);
            held = if found.once { 0 } else { found.answer.buffered() };
        });
        held
    }

    /// Ends an attempt.
    pub fn finish(&self, attempt: AttemptId, end: End) {
        self.lock().gate.finish(attempt);
        self.change(attempt, |found| {
            found.answer.finish(end);
            found.ended = Some(Instant::now());
        });
    }

    /// Bars an attempt whose request never reached the endpoint.
    pub fn revoke(&self, attempt: AttemptId) {
        let mut state = self.lock();
        state.gate.revoke(attempt);
        state.barred.push((Instant::now(), attempt));
        if let Some(found) = state.attempts.remove(&attempt) {
            found.changed.send_modify(|number| *number += 1);
        }
    }

    /// Frees an attempt that nobody waits for, and stops it unless it may run only once.
    pub fn release(&self, attempt: AttemptId) {
        let mut state = self.lock();
        let Some(found) = state.attempts.get_mut(&attempt) else {
            return;
        };
        found.delivered |= found.ended.is_some();
        if found.once {
            return;
        }
        found.cancelled.send_replace(true);
        if found.ended.is_some() {
            state.attempts.remove(&attempt);
            state.gate.forget(attempt);
        }
    }

    /// Fingerprints of the attempts that run.
    pub fn running_fingerprints(&self) -> Vec<u64> {
        let state = self.lock();
        let running = state.attempts.values().filter(|attempt| attempt.ended.is_none());
        let mut fingerprints: Vec<u64> = running.map(|attempt| attempt.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Gives up attempts without a reader and forgets those past their retention.
    pub fn sweep(&self) {
        let mut state = self.lock();
        let retention = self.retention;
        let mut forgotten = Vec::new();
        state.attempts.retain(|id, attempt| {
            let unread = attempt.read.elapsed() >= ABANDONED_AFTER;
            if unread && !attempt.once {
                attempt.cancelled.send_replace(true);
            }
            let kept = if attempt.once { retention } else { ABANDONED_AFTER };
            let over = attempt.ended.is_some_and(|ended| ended.elapsed() >= kept);
            if over {
                forgotten.push(*id);
            } else if attempt.delivered && attempt.answer.buffered() > KEPT_MAX {
                let end = attempt.answer.length();
                attempt.answer.trim(end);
            }
            !over
        });
        state.barred.retain(|(time, id)| {
            let over = time.elapsed() >= retention;
            if over {
                forgotten.push(*id);
            }
            !over
        });
        for id in forgotten {
            state.gate.forget(id);
        }
    }

    fn change<F>(&self, attempt: AttemptId, change: F)
    where
        F: FnOnce(&mut Attempt),
    {
        if let Some(found) = self.lock().attempts.get_mut(&attempt) {
            change(found);
            found.changed.send_modify(|number| *number += 1);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Attempt {
    fn read_chunk(&mut self, attempt: AttemptId, offset: u64) -> ReadResult {
        match self.answer.read(attempt, offset, CHUNK_MAX) {
            Some(chunk) => {
                self.delivered |= chunk.end.is_some();
                ReadResult::Chunk(chunk)
            }
            None => ReadResult::Lost(AttemptStatus::Ended),
        }
    }
}
