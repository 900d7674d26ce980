//! The budget for sending requests once more, as a share of recent requests.

use std::collections::HashMap;
use std::time::Duration;

/// Slots that the window is divided into.
const SLOTS: usize = 20;
/// Part of the allowance that is used; the rest covers entries that count differently.
const MARGIN: f64 = 0.8;

/// What the deployment allows in one window, over all entries.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Repeats that each request earns.
    pub ratio: f64,
    /// Repeats beyond those.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    requests: u32,
    repeats: u32,
}

/// Counts of one service, in a ring of slots.
#[derive(Clone, Debug, Default)]
struct Window {
    slots: [Counts; SLOTS],
    /// Number of the newest slot since the process started.
    newest: u64,
}

impl Window {
    fn slot(&mut self, now: Duration, length: Duration) -> &mut Counts {
        let number = (now.as_nanos() / length.as_nanos().max(1)) as u64;
        let passed = number.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=passed {
            self.slots[((self.newest + step) % SLOTS as u64) as usize] = Counts::default();
        }
        self.newest = self.newest.max(number);
        &mut self.slots[(self.newest % SLOTS as u64) as usize]
    }
}

/// The repeats of one entry, for each service.
#[derive(Clone, Debug, Default)]
pub struct RepeatBudget {
    services: HashMap<String, Window>,
}

impl RepeatBudget {
    /// Counts a request of a caller.
    pub fn note_request(&mut self, service: &str, window: Duration, now: Duration) {
        self.slot(service, window, now).requests += 1;
    }

    /// Takes one repeat when this entry, one of `entries`, has any left.
    pub fn take(
        &mut self,
        service: &str,
        allowance: Allowance,
        entries: usize,
        now: Duration,
    ) -> bool {
        let Allowance { ratio, slack, window: length } = allowance;
        self.slot(service, length, now);
        let Some(window) = self.services.get(service) else { return false };
        let requests: u32 = window.slots.iter().map(|slot| slot.requests).sum();
        let repeats: u32 = window.slots.iter().map(|slot| slot.repeats).sum();
        let own = MARGIN * (ratio * f64::from(requests) + slack / entries.max(1) as f64);
        if f64::from(repeats + 1) > own {
            return false;
        }
        self.slot(service, length, now).repeats += 1;
        true
    }

    fn slot(&mut self, service: &str, window: Duration, now: Duration) -> &mut Counts {
        let length = window / (SLOTS as u32 - 1);
        let window = self.services.entry(service.to_string()).or_default();
        window.slot(now, length)
    }
}
