//! Estimates an endpoint's current load from its last report, which arrives late, and from the
//! requests that this process started and ended there since.

use std::collections::VecDeque;
use std::time::Duration;

/// Service time assumed before any report, in milliseconds.
const DEFAULT_SERVICE_MS: f64 = 200.0;

/// A report of an endpoint's load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// Time at which the endpoint measured its load.
    pub measured_at: Duration,
    /// Requests running and waiting at the endpoint.
    pub load: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Mean service time in milliseconds; 0 if unknown.
    pub service_ms: u32,
}

/// What one entry knows about the load of an endpoint.
#[derive(Clone, Debug, Default)]
pub struct LoadTrack {
    report: Option<Report>,
    /// Mean service time of the last report that contained one, in milliseconds; 0 if none did.
    service_ms: u32,
    /// Requests of this entry that run at the endpoint now.
    own: u32,
    /// Requests of this entry that ran at the endpoint when the report was measured.
    own_at_report: u32,
    /// Starts (+1) and ends (-1) of this entry's requests since the report.
    changes: VecDeque<(Duration, i8)>,
}

impl LoadTrack {
    /// Applies a report, unless one at least as new is known.
    pub fn report(&mut self, report: Report) {
        if self.report.is_some_and(|known| known.measured_at >= report.measured_at) {
            return;
        }
        while let Some((time, change)) = self.changes.front().copied() {
            if time > report.measured_at {
                break;
            }
            self.own_at_report = self.own_at_report.saturating_add_signed(i32::from(change));
            self.changes.pop_front();
        }
        if report.service_ms > 0 {
            self.service_ms = report.service_ms;
        }
        self.report = Some(report);
    }

    /// Records that a request of this entry started at the endpoint.
    pub fn start(&mut self, now: Duration) {
        self.own += 1;
        self.changes.push_back((now, 1));
    }

    /// Records that a request of this entry ended at the endpoint.
    pub fn end(&mut self, now: Duration) {
        self.own = self.own.saturating_sub(1);
        self.changes.push_back((now, -1));
    }

    /// Returns the number of this entry's requests that run at the endpoint.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Returns the load expected now: the load by other entries, assumed unchanged since the
    /// report, plus this entry's running requests.
    pub fn expected(&self) -> f64 {
        let reported = self.report.map_or(0, |report| report.load);
        f64::from(reported.saturating_sub(self.own_at_report)) + f64::from(self.own)
    }

    /// Returns the mean service time in milliseconds, or a default before the first report.
    pub fn service_ms(&self) -> f64 {
        if self.service_ms > 0 {
            f64::from(self.service_ms)
        } else {
            DEFAULT_SERVICE_MS
        }
    }

    /// Clears all state when the endpoint has a new incarnation: earlier reports are void, and
    /// this entry's requests there ended with the previous incarnation.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
