//! The agent's side: what may run behind it.
//!
//! A record is kept for each attempt that ran, and for each attempt that must never run (a
//! tombstone). Both are kept for the retention window of idempotency keys.

use std::collections::BTreeMap;

use bw_model::AttemptId;
use bw_model::Incarnation;
use serde::Deserialize;
use serde::Serialize;

/// What the gate knows of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Record {
    Running { suspect: bool },
    Ended,
    Barred,
}

/// Why an attempt does not run here.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Refusal {
    /// The endpoint is leaving.
    Leaving,
    /// All slots are taken.
    Full,
    /// A suspected request is running already, and two must not run side by side.
    Suspect,
    /// An earlier message barred this attempt.
    Barred,
    /// The dispatch is meant for another life of this agent.
    OtherIncarnation,
}

impl Refusal {
    /// True when this very refusal barred the attempt, so that it had not run before.
    pub fn is_fresh(self) -> bool {
        matches!(self, Self::Leaving | Self::Full | Self::Suspect)
    }

    /// Short text for logs and answers.
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

/// Verdict on a dispatch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Verdict {
    /// Run it now; this verdict is given once for each attempt.
    Run,
    /// It runs or ran already; read its answer.
    Joined,
    /// It does not run.
    Refused(Refusal),
}

/// What has become of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It is running.
    Running,
    /// It ended; its answer is kept.
    Ended,
    /// It has not run and never will.
    NeverRuns,
    /// This life of the agent cannot know.
    OtherIncarnation,
}

/// A dispatch as the gate sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// Life of the agent it is meant for.
    pub incarnation: Incarnation,
    /// Whether its request is suspected of crashing endpoints.
    pub suspect: bool,
}

/// Decides what runs behind one agent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gate {
    incarnation: Incarnation,
    slots: usize,
    leaving: bool,
    records: BTreeMap<AttemptId, Record>,
}

impl Gate {
    /// The gate of a new life of an agent with `slots` concurrent requests.
    pub fn new(incarnation: Incarnation, slots: usize) -> Self {
        Self { incarnation, slots, leaving: false, records: BTreeMap::new() }
    }

    /// This life of the agent.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Changes the number of concurrent requests; running ones stay.
    pub fn set_slots(&mut self, slots: usize) {
        self.slots = slots;
    }

    /// Starts leaving: nothing new runs from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the endpoint is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Number of attempts running.
    pub fn running(&self) -> usize {
        let running = |record: &&Record| matches!(record, Record::Running { .. });
        self.records.values().filter(running).count()
    }

    /// Decides on a dispatch. A refusal bars the attempt for good.
    pub fn dispatch(&mut self, dispatch: Dispatch) -> Verdict {
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

    /// Tells what has become of an attempt; one that was not seen is barred first.
    pub fn ask(&mut self, attempt: AttemptId, incarnation: Incarnation) -> Standing {
        if incarnation != self.incarnation {
            return Standing::OtherIncarnation;
        }
        match self.records.entry(attempt).or_insert(Record::Barred) {
            Record::Running { .. } => Standing::Running,
            Record::Ended => Standing::Ended,
            Record::Barred => Standing::NeverRuns,
        }
    }

    /// Notes that an attempt ended, whatever its result.
    pub fn finish(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&attempt) {
            *record = Record::Ended;
        }
    }

    /// Bars a running attempt that turned out not to have reached the endpoint.
    pub fn revoke(&mut self, attempt: AttemptId) {
        if let Some(record) = self.records.get_mut(&attempt) {
            *record = Record::Barred;
        }
    }

    /// Drops the record of an attempt whose retention window is over.
    pub fn forget(&mut self, attempt: AttemptId) {
        if !matches!(self.records.get(&attempt), Some(Record::Running { .. })) {
            self.records.remove(&attempt);
        }
    }

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
