//! Callers that were told when to come back.
//!
//! The load: more requests arrive than are served, and callers that were turned away come back with the
//! same request when they were told to. Without precedence they would meet a queue of newcomers and be
//! turned away again, until their time is over.
//!
//! Another gateway and the next process do not know them, and treat them as newcomers.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Callers that are remembered; further ones displace those that were told first.
const CALLERS_MAX: usize = 4_096;
/// Lower bound on the time after the one that was told in which a caller still is in time.
const LATENESS_MIN: Duration = Duration::from_millis(500);

/// Times at which callers were told to come back, by the fingerprint of the request.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    /// Interval in which the caller is in time.
    times: HashMap<u64, (Duration, Duration)>,
    /// Fingerprints in the order in which their callers were told.
    told: VecDeque<u64>,
}

impl Returns {
    /// Records that a caller was told to come back after `wait`.
    pub fn record(&mut self, fingerprint: u64, wait: Duration, now: Duration) {
        let at = now + wait;
        if self.times.insert(fingerprint, (at, at + wait.max(LATENESS_MIN))).is_none() {
            self.told.push_back(fingerprint);
        }
        while self.told.len() > CALLERS_MAX {
            let oldest = self.told.pop_front();
            oldest.and_then(|fingerprint| self.times.remove(&fingerprint));
        }
        while let Some(oldest) = self.told.front() {
            if self.times.get(oldest).is_some_and(|(_, end)| *end >= now) {
                break;
            }
            self.times.remove(oldest);
            self.told.pop_front();
        }
    }

    /// Returns whether the caller comes back in time, and forgets it.
    pub fn take(&mut self, fingerprint: u64, now: Duration) -> bool {
        // Its place in the order of `told` is dropped when its turn comes.
        let time = self.times.remove(&fingerprint);
        time.is_some_and(|(at, end)| at <= now && now <= end)
    }

    /// Returns the number of callers that are remembered.
    pub fn len(&self) -> usize {
        self.times.len()
    }

    /// Returns whether no caller is remembered.
    pub fn is_empty(&self) -> bool {
        self.times.is_empty()
    }
}
