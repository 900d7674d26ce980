//! The agent's admission of attempts to its endpoint.
//!
//! The gate keeps a record of each attempt that ran, and a tombstone of each attempt that must
//! never run. Both are kept for the retention window of idempotency keys.

use std::collections::BTreeMap;

use bw_model::AttemptId;
use bw_model::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// What the gate knows about an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Record {
    Running {
        suspect: bool,
    },
    Ended,
    /// Tombstone: the attempt has not run and must never run.
    Barred,
}

/// Reason for which an attempt does not run at this endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The endpoint is leaving.
    Leaving,
    /// All slots are in use.
    Full,
    /// Another suspect request is running, and two must not run side by side.
    Suspect,
    /// An earlier dispatch or query barred the attempt.
    Barred,
    /// The dispatch is addressed to another incarnation of this agent.
    OtherIncarnation,
}

impl Refusal {
    /// Returns true if the attempt was barred by this refusal and not by an earlier message, which
    /// proves that it has not run.
    pub fn is_fresh(self) -> bool {
        matches!(self, Self::Leaving | Self::Full | Self::Suspect)
    }

    /// Returns a short code for logs and answers.
    pub fn reason(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Full => "full",
            Self::Suspect => "suspect",
            Self::Barred => "barred",
            Self::OtherIncarnation => "other_incarnation",
        }
    }
}

/// Decision on a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// The attempt starts now; returned at most once for each attempt.
    Run,
    /// The attempt is running or has ended; its answer can be read.
    Joined,
    /// The attempt does not run.
    Refused(Refusal),
}

/// Status of an attempt, as reported by the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum AttemptStatus {
    /// The attempt is running.
    Running,
    /// The attempt has ended. In the reply to a query, its answer may still be readable; in the
    /// reply to a read, the requested bytes are no longer held.
    Ended,
    /// The attempt has not run and never will.
    NeverRuns,
    /// The attempt belongs to another incarnation of the agent, so its status is unknown.
    OtherIncarnation,
}

/// The properties of a dispatch that the gate decides by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct GateDispatch {
    /// Attempt to run.
    pub attempt: AttemptId,
    /// Incarnation of the agent to which the dispatch is addressed.
    pub incarnation: Incarnation,
    /// Whether the request is suspected of crashing endpoints.
    pub suspect: bool,
}

/// Decides which attempts run at the endpoint of one agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    incarnation: Incarnation,
    slots: usize,
    leaving: bool,
    records: BTreeMap<AttemptId, Record>,
}

impl Gate {
    /// Creates the gate of a new incarnation, which admits `slots` concurrent attempts.
    pub fn new(incarnation: Incarnation, slots: usize) -> Self {
        Self { incarnation, slots, leaving: false, records: BTreeMap::new() }
    }

    /// Returns the current incarnation of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Changes the number of concurrent attempts. Running attempts are not affected.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Marks the endpoint as leaving: no attempt starts from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns true if the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns the number of running attempts.
    pub fn running(&self) -> usize {
        let running = |record: &&Record| matches!(record, Record::Running { .. });
        self.records.values().filter(running).count()
    }

    /// Decides on a dispatch. A refusal bars the attempt permanently, except that a dispatch to
    /// another incarnation leaves no record.
    pub fn dispatch(&mut self, dispatch: GateDispatch) -> Verdict {
        if dispatch.incarnation != self.incarnation {
            return Verdict::Refused(Refusal::OtherIncarnation);
        }
        match self.records.get(&dispatch.attempt) {
            Some(Record::Running { .. } | Record::Ended) => return Verdict::Joined,
            Some(Record::Barred) => return Verdict::Refused(Refusal::Barred),
            None => {}
        }
        let (record, verdict) = match self.refusal(dispatch.suspect) {
            Some(refusal) => (Record::Barred, Verdict::Refused(refusal)),
            None => (Record::Running { suspect: dispatch.suspect }, Verdict::Run),
        };
        self.records.insert(dispatch.attempt, record);
        verdict
    }

    /// Returns the status of an attempt. An unknown attempt is barred first, so that the status
    /// stays true if its dispatch arrives later.
    pub fn query(&mut self, attempt: AttemptId, incarnation: Incarnation) -> AttemptStatus {
        if incarnation != self.incarnation {
            return AttemptStatus::OtherIncarnation;
        }
        match self.records.entry(attempt).or_insert(Record::Barred) {
            Record::Running { .. } => AttemptStatus::Running,
            Record::Ended => AttemptStatus::Ended,
            Record::Barred => AttemptStatus::NeverRuns,
        }
    }

    /// Records that an attempt ended, regardless of its result.
    pub fn finish(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&attempt) {
            *record = Record::Ended;
        }
    }

    /// Bars a running attempt whose request did not reach the endpoint.
    pub fn revoke(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&attempt) {
            *record = Record::Barred;
        }
    }

    /// Removes the record of an attempt after its retention window, unless the attempt is running.
    pub fn forget(&mut self, attempt: AttemptId) {
        if !matches!(self.records.get(&attempt), Some(Record::Running { .. })) {
            self.records.remove(&attempt);
        }
    }

    /// Returns the reason for which a new attempt can't start, if any.
    fn refusal(&self, suspect: bool) -> Option<Refusal> {
        if self.leaving {
            return Some(Refusal::Leaving);
        }
        if self.running() >= self.slots {
            return Some(Refusal::Full);
        }
        let other_suspect = self.records.values().any(|r| *r == Record::Running { suspect: true });
        (suspect && other_suspect).then_some(Refusal::Suspect)
    }
}
