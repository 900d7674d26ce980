//! A duty that one process at a time performs, by a lease object.
//!
//! The holder renews by conditional write. Another process may take the lease once it has seen the
//! same renewal for the whole lease time on its own clock; taking raises the fencing number. The
//! clock only decides when to try: a holder that wakes from a pause fails on the object's version,
//! and its orders fail on the fencing number.

use std::time::Duration;

use bw_model::Fence;
use serde::Deserialize;
use serde::Serialize;

/// The lease object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Lease {
    /// Instance that holds the duty; empty when nobody does.
    pub holder: String,
    /// Raised by every new holder.
    pub fence: Fence,
    /// Raised by every renewal.
    pub renewal: u64,
}

/// What a process has to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Nothing yet.
    Wait,
    /// Write this lease at the version last read.
    Write(Lease),
}

/// One process that wants to perform a duty.
#[derive(Clone, Debug)]
pub struct Tenant {
    instance: String,
    term: Duration,
    /// Extra wait before taking over, by the process's place in the order of candidates.
    patience: Duration,
    seen: Option<(Lease, Duration)>,
    held: Option<(Fence, Duration)>,
}

impl Tenant {
    /// A process that tries after `patience` once a lease of length `term` has run out.
    pub fn new(instance: String, term: Duration, patience: Duration) -> Self {
        Self { instance, term, patience, seen: None, held: None }
    }

    /// Takes the lease as read from the store; `None` when the object does not exist.
    pub fn read(&mut self, lease: Option<Lease>, now: Duration) {
        let lease = lease.unwrap_or_default();
        if lease.holder != self.instance || Some(lease.fence) != self.held.map(|held| held.0) {
            self.held = None;
        }
        match &self.seen {
            Some((seen, _)) if *seen == lease => {}
            _ => self.seen = Some((lease, now)),
        }
    }

    /// What to do at `now`.
    pub fn step(&self, now: Duration) -> LeaseStep {
        let Some((lease, since)) = &self.seen else {
            return LeaseStep::Wait;
        };
        if let Some((fence, renewed)) = self.held {
            let due = now.saturating_sub(renewed) >= self.term / 3;
            let renewal = lease.renewal + 1;
            let next = Lease { holder: self.instance.clone(), fence, renewal };
            return if due { LeaseStep::Write(next) } else { LeaseStep::Wait };
        }
        let free = lease.holder.is_empty();
        let wait = if free { self.patience } else { self.term + self.patience };
        if now.saturating_sub(*since) < wait {
            return LeaseStep::Wait;
        }
        let fence = Fence(lease.fence.0 + 1);
        LeaseStep::Write(Lease { holder: self.instance.clone(), fence, renewal: 0 })
    }

    /// Notes that the conditional write of `lease`, started at `started`, took effect.
    pub fn written(&mut self, lease: Lease, started: Duration) {
        self.held = Some((lease.fence, started));
        self.seen = Some((lease, started));
    }

    /// The fencing number, while the lease is believed to be held.
    ///
    /// The belief may be wrong after a pause; the number then fails where it is checked.
    pub fn fence(&self, now: Duration) -> Option<Fence> {
        let (fence, renewed) = self.held?;
        (now.saturating_sub(renewed) < self.term).then_some(fence)
    }
}
