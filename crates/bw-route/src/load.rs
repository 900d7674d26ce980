//! The load of an endpoint now, from a late report and from what was sent since.

use std::collections::VecDeque;
use std::time::Duration;

/// Service time assumed before any report, in milliseconds.
const SERVICE_DEFAULT: f64 = 200.0;

/// A report of an endpoint's load at some time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Report {
    /// When the endpoint measured it.
    pub time: Duration,
    /// Requests running and waiting there.
    pub load: u32,
    /// Requests that run at a time.
    pub slots: u32,
    /// Mean service time in milliseconds; 0 when not known.
    pub service: u32,
}

/// What one entry knows of an endpoint's load.
#[derive(Clone, Debug, Default)]
pub struct LoadTrack {
    report: Option<Report>,
    /// Mean service time of the last report that named one, in milliseconds.
    service: u32,
    /// Own requests running there now.
    own: u32,
    /// Own requests running there when the report was measured.
    own_then: u32,
    /// Own starts (+1) and ends (-1) since the report.
    changes: VecDeque<(Duration, i8)>,
}

impl LoadTrack {
    /// Takes a report, unless a newer one is known.
    pub fn report(&mut self, report: Report) {
        if self.report.is_some_and(|known| known.time >= report.time) {
            return;
        }
        while let Some((time, change)) = self.changes.front().copied() {
            if time > report.time {
                break;
            }
            self.own_then = self.own_then.saturating_add_signed(i32::from(change));
            self.changes.pop_front();
        }
        if report.service > 0 {
            self.service = report.service;
        }
        self.report = Some(report);
    }

    /// Notes that an own request started there.
    pub fn start(&mut self, now: Duration) {
        self.own += 1;
        self.changes.push_back((now, 1));
    }

    /// Notes that an own request ended there.
    pub fn end(&mut self, now: Duration) {
        self.own = self.own.saturating_sub(1);
        self.changes.push_back((now, -1));
    }

    /// Own requests running there.
    pub fn own(&self) -> u32 {
        self.own
    }

    /// Load expected now: the others' part of the report, which is taken to last, and the own part.
    pub fn expected(&self) -> f64 {
        let reported = self.report.map_or(0, |report| report.load);
        f64::from(reported.saturating_sub(self.own_then)) + f64::from(self.own)
    }

    /// Mean service time in milliseconds.
    pub fn service(&self) -> f64 {
        if self.service > 0 {
            f64::from(self.service)
        } else {
            SERVICE_DEFAULT
        }
    }

    /// Forgets reports of an earlier life; own requests there have ended with it.
    pub fn reset(&mut self) {
        *self = Self::default();
    }
}
