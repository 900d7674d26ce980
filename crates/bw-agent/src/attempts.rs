//! Attempts that are running or have run at the agent's backend, with their answers.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_once::gate::AttemptStatus;
use bw_once::gate::GateDispatch;
use bw_once::gate::Verdict;
use bw_once::Answer;
use bw_once::Chunk;
use bw_once::End;
use bw_once::Gate;
use bw_once::Head;
use tokio::sync::watch;
use tokio::time::Instant;

/// Bytes of one answer buffered for its reader; above this limit the engine's stream is not read.
pub const BUFFERED_MAX: usize = 4 * 1024 * 1024;
/// Bytes of a delivered answer that are kept for repeated reads; a longer one is dropped.
const RETAINED_MAX: usize = 256 * 1024;
/// Bytes in one chunk.
const CHUNK_MAX: usize = 256 * 1024;
/// Time without a read after which an attempt counts as abandoned. The answer of an ended attempt
/// is kept for the same time, unless the request may run only once.
const ABANDONED_AFTER: Duration = Duration::from_secs(15);

/// An admitted attempt and its answer.
struct Attempt {
    answer: Answer,
    fingerprint: u64,
    once: bool,
    /// Counter of changes of the answer, which wakes waiting readers.
    changed: watch::Sender<u64>,
    /// Set when no reader waits for the attempt any more.
    cancelled: watch::Sender<bool>,
    last_read: Instant,
    ended_at: Option<Instant>,
    /// Whether a reader has received the end of the answer.
    delivered: bool,
}

struct State {
    gate: Gate,
    attempts: HashMap<AttemptId, Attempt>,
    /// Tombstones of barred attempts, with their times. They are kept for the retention window.
    tombstones: Vec<(Instant, AttemptId)>,
}

/// The attempts of one incarnation of an agent.
#[derive(Clone)]
pub struct Attempts {
    state: Arc<Mutex<State>>,
    retention: Duration,
    /// Largest answer of a request that may run only once, in bytes.
    answer_max: usize,
}

/// An answer that has to be kept whole is larger than allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerTooLarge;

/// Result of a read.
pub enum ReadResult {
    /// A chunk of the answer, which may be empty after the longest wait.
    Chunk(Chunk),
    /// The requested bytes are not held here; the status of the attempt says why.
    Lost(AttemptStatus),
}

/// Becomes true when no reader waits for the attempt any more.
pub type Cancelled = watch::Receiver<bool>;

impl Attempts {
    /// Creates the attempts of a new incarnation, which has no slots until [`Attempts::set_slots`]. The records
    /// of requests that may run only once are kept for `retention`, with answers of at most `answer_max` bytes.
    pub fn new(incarnation: Incarnation, retention: Duration, answer_max: usize) -> Self {
        let gate = Gate::new(incarnation, 0);
        let state = State { gate, attempts: HashMap::new(), tombstones: Vec::new() };
        Self { state: Arc::new(Mutex::new(state)), retention, answer_max }
    }

    /// Returns the current incarnation of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.lock().gate.incarnation()
    }

    /// Changes the number of concurrent attempts. Running attempts are not affected.
    pub fn set_slots(&self, slots: usize) {
        self.lock().gate.set_slots(slots);
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        self.lock().gate.running()
    }

    /// Marks the endpoint as leaving: no attempt starts from now on.
    pub fn leave(&self) {
        self.lock().gate.leave();
    }

    /// Returns true if the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.lock().gate.is_leaving()
    }

    /// Returns the number of attempts that are running, or that have ended but whose reader has
    /// neither received the whole answer nor abandoned the attempt.
    pub fn unfinished(&self) -> usize {
        let state = self.lock();
        let unfinished = state.attempts.values().filter(|attempt| {
            let has_reader = attempt.last_read.elapsed() < ABANDONED_AFTER;
            attempt.ended_at.is_none() || (!attempt.delivered && has_reader)
        });
        unfinished.count()
    }

    /// Decides on a dispatch. Returns the verdict, the number of running attempts and, with
    /// [`Verdict::Run`], the receiver of the attempt's cancellation.
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
                state.tombstones.push((Instant::now(), dispatch.attempt));
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
            last_read: Instant::now(),
            ended_at: None,
            delivered: false,
        };
        state.attempts.insert(dispatch.attempt, attempt);
        (verdict, running, Some(receiver))
    }

    /// Returns the status of an attempt, and bars it if the agent has no record of it.
    pub fn query(&self, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus {
        let mut state = self.lock();
        let status = state.gate.query(attempt, incarnation);
        if status == AttemptStatus::NeverRuns {
            state.tombstones.push((Instant::now(), attempt));
        }
        status
    }

    /// Reads an answer from `offset` on, waiting up to `wait` for more of it. Bytes before `offset`
    /// are acknowledged and dropped, unless the request may run only once.
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
                    let status = state.gate.query(attempt, incarnation);
                    return ReadResult::Lost(status);
                };
                found.last_read = Instant::now();
                if !found.once {
                    found.answer.trim(offset);
                }
                let expired = Instant::now() >= deadline;
                if expired || found.answer.is_ready(offset, head_known) {
                    return found.read_chunk(attempt, offset);
                }
                found.changed.subscribe()
            };
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }

    /// Records the answer's status and headers.
    pub fn set_head(&self, attempt: AttemptId, head: Head) {
        self.change(attempt, |found| found.answer.set_head(head));
    }

    /// Appends bytes to the answer. Returns the number of bytes buffered for the reader, or 0 for a
    /// request that may run only once, to which no backpressure applies.
    ///
    /// # Errors
    /// [`AnswerTooLarge`] for a request that may run only once. The answer is dropped.
    pub fn append(&self, attempt: AttemptId, bytes: &[u8]) -> Result<usize, AnswerTooLarge> {
        let mut buffered = Ok(0);
        self.change(attempt, |found| {
            if !found.once {
                found.answer.append(bytes);
                buffered = Ok(found.answer.buffered());
            } else if found.answer.buffered() + bytes.len() > self.answer_max {
                let end = found.answer.length();
                found.answer.trim(end);
                buffered = Err(AnswerTooLarge);
            } else {
                found.answer.append(bytes);
            }
        });
        buffered
    }

    /// Records the end of an attempt and frees its slot.
    pub fn finish(&self, attempt: AttemptId, end: End) {
        self.lock().gate.finish(attempt);
        self.change(attempt, |found| {
            found.answer.finish(end);
            found.ended_at = Some(Instant::now());
        });
    }

    /// Bars an admitted attempt whose request never reached the backend.
    pub fn revoke(&self, attempt: AttemptId) {
        let mut state = self.lock();
        state.gate.revoke(attempt);
        state.tombstones.push((Instant::now(), attempt));
        if let Some(found) = state.attempts.remove(&attempt) {
            found.changed.send_modify(|number| *number += 1);
        }
    }

    /// Cancels an attempt that no reader waits for, and removes it if it has ended. A request that
    /// may run only once goes on, and its record is kept.
    pub fn release(&self, attempt: AttemptId) {
        let mut state = self.lock();
        let Some(found) = state.attempts.get_mut(&attempt) else {
            return;
        };
        found.delivered |= found.ended_at.is_some();
        if found.once {
            return;
        }
        found.cancelled.send_replace(true);
        if found.ended_at.is_some() {
            state.attempts.remove(&attempt);
            state.gate.forget(attempt);
        }
    }

    /// Returns the distinct fingerprints of the running attempts, in ascending order.
    pub fn running_fingerprints(&self) -> Vec<u64> {
        let state = self.lock();
        let running = state.attempts.values().filter(|attempt| attempt.ended_at.is_none());
        let mut fingerprints: Vec<u64> = running.map(|attempt| attempt.fingerprint).collect();
        fingerprints.sort_unstable();
        fingerprints.dedup();
        fingerprints
    }

    /// Cancels abandoned attempts, and removes records and tombstones past their retention.
    pub fn sweep(&self) {
        let mut state = self.lock();
        let retention = self.retention;
        let mut expired = Vec::new();
        state.attempts.retain(|id, attempt| {
            let abandoned = attempt.last_read.elapsed() >= ABANDONED_AFTER;
            if abandoned && !attempt.once {
                attempt.cancelled.send_replace(true);
            }
            let limit = if attempt.once { retention } else { ABANDONED_AFTER };
            let is_expired = attempt.ended_at.is_some_and(|ended_at| ended_at.elapsed() >= limit);
            if is_expired {
                expired.push(*id);
            } else if attempt.delivered && attempt.answer.buffered() > RETAINED_MAX {
                let end = attempt.answer.length();
                attempt.answer.trim(end);
            }
            !is_expired
        });
        state.tombstones.retain(|(barred_at, id)| {
            let is_expired = barred_at.elapsed() >= retention;
            if is_expired {
                expired.push(*id);
            }
            !is_expired
        });
        for id in expired {
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
