//! Tells an outage of the store from a cut between one gateway and the store.
//!
//! The entries of living endpoints expire in an outage and return shortly after it, so that they stay usable
//! for a grace time. An entry that is removed while the store answers anyone is removed for good. A gateway
//! whose own calls fail cannot tell the two apart; the times at which the store last answered the others,
//! which are part of the news, can.

use std::time::Duration;

/// Time after the store's return within which endpoints whose entries expired may be listed again.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2_000);
/// Shortest outage in which entries expire: endpoints renew them several times in the time that an entry
/// lasts. It exceeds the longest wait of a watch, in which no answer arrives either.
pub const OUTAGE_MIN: Duration = Duration::from_millis(2_000);

/// Answers of the store to all gateways, as far as this one knows of them.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreOutages {
    /// Time of the last answer; `None` before the first one.
    answered_at: Option<Duration>,
    /// Time at which the store returned from the last outage.
    returned_at: Option<Duration>,
}

impl StoreOutages {
    /// Records that the store answered this gateway or another one at `at`.
    pub fn record_answer(&mut self, at: Duration) {
        if let Some(before) = self.answered_at {
            if at.saturating_sub(before) >= OUTAGE_MIN {
                self.returned_at = Some(at);
            }
        }
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Records that the store has returned from an older copy, which lacks entries.
    pub fn record_restore(&mut self, now: Duration) {
        self.answered_at = self.answered_at.max(Some(now));
        self.returned_at = Some(now);
    }

    /// Returns the time since the last answer; `None` before the first one.
    pub fn silence(&self, now: Duration) -> Option<Duration> {
        self.answered_at.map(|answered| now.saturating_sub(answered))
    }

    /// Returns until when an endpoint stays usable whose entry is found missing at `now`; `None` if it has
    /// been removed.
    pub fn grace_end(&self, now: Duration) -> Option<Duration> {
        let away =
            self.answered_at.is_some_and(|answered| now.saturating_sub(answered) >= OUTAGE_MIN);
        let returned_at = if away { Some(now) } else { self.returned_at };
        returned_at.map(|returned| returned + LAPSE_GRACE).filter(|end| now < *end)
    }
}
