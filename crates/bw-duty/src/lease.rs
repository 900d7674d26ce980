//! Leases, by which one process at a time performs a duty.
//!
//! The holder renews the lease object by conditional writes. Another process may take over the
//! lease when it has read the same renewal for a whole lease term by its own clock; a takeover
//! increments the fencing number. Clocks only decide when to try: when a holder continues after a
//! pause of its process, its renewal fails on the object's version and its orders fail on the
//! fencing number.
//!
//! A store that returns from an older copy may have lost the lease, and gives versions out again. Each era
//! of the store therefore has a lease object of its own, so that no write is conditional on a version of an
//! earlier era, and the era is part of the fencing number.

use std::time::Duration;

use bw_model::Fence;
use serde::Deserialize;
use serde::Serialize;

/// The lease object in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Instance that holds the duty; empty when there is none.
    pub holder: String,
    /// Fencing number, incremented by every new holder.
    pub fence: Fence,
    /// Incremented by every renewal; 0 after a takeover.
    pub renewal: u64,
}

/// Returns the name of the object for lease `name` in an era of the store.
pub fn object_name(name: &str, era: u64) -> String {
    match era {
        0 => name.to_string(),
        era => format!("era{era}-{name}"),
    }
}

/// Next action of a lease candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Do nothing yet.
    Wait,
    /// Write this lease conditionally on the version last read.
    Write(Lease),
}

/// A process that competes for the lease of a duty, or holds it.
#[derive(Clone, Debug)]
pub struct LeaseCandidate {
    instance: String,
    term: Duration,
    /// Additional wait before a takeover, by the process's position in the order of candidates.
    delay: Duration,
    /// The lease last read or written, and the time since which it is unchanged.
    observed: Option<(Lease, Duration)>,
    /// Era of the store in which the lease was read.
    era: u64,
    /// Fencing number of the held lease, and the start of its last successful write.
    held: Option<(Fence, Duration)>,
}

impl LeaseCandidate {
    /// Creates a candidate that tries `delay` after a lease of length `term` has expired.
    pub fn new(instance: String, term: Duration, delay: Duration) -> Self {
        Self { instance, term, delay, observed: None, era: 0, held: None }
    }

    /// Records the lease as read from the store in `era`; `None` when the object does not exist.
    pub fn observe(&mut self, lease: Option<Lease>, era: u64, now: Duration) {
        let lease = lease.unwrap_or_default();
        self.era = self.era.max(era);
        if lease.holder != self.instance || Some(lease.fence) != self.held.map(|held| held.0) {
            self.held = None;
        }
        match &self.observed {
            Some((observed, _)) if *observed == lease => {}
            _ => self.observed = Some((lease, now)),
        }
    }

    /// Returns the action to take at `now`. A holder renews after a third of the term.
    pub fn step(&self, now: Duration) -> LeaseStep {
        let Some((lease, since)) = &self.observed else {
            return LeaseStep::Wait;
        };
        if let Some((fence, renewed_at)) = self.held {
            let due = now.saturating_sub(renewed_at) >= self.term / 3;
            let renewal = lease.renewal + 1;
            let next = Lease { holder: self.instance.clone(), fence, renewal };
            return if due { LeaseStep::Write(next) } else { LeaseStep::Wait };
        }
        let free = lease.holder.is_empty();
        let wait = if free { self.delay } else { self.term + self.delay };
        if now.saturating_sub(*since) < wait {
            return LeaseStep::Wait;
        }
        let fence = Fence::new(self.era.max(lease.fence.era()), lease.fence.holder() + 1);
        LeaseStep::Write(Lease { holder: self.instance.clone(), fence, renewal: 0 })
    }

    /// Records that the conditional write of `lease`, started at `started`, succeeded.
    pub fn confirm_write(&mut self, lease: Lease, started: Duration) {
        self.held = Some((lease.fence, started));
        self.observed = Some((lease, started));
    }

    /// Returns the fencing number, while this process believes that it holds the lease.
    ///
    /// After a pause of the process the belief may be wrong; orders then fail where the number is
    /// checked.
    pub fn fence(&self, now: Duration) -> Option<Fence> {
        let (fence, renewed_at) = self.held?;
        (now.saturating_sub(renewed_at) < self.term).then_some(fence)
    }
}
