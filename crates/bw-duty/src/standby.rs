//! Decides when a process should try to take over a duty whose holder is silent.
//!
//! Load pattern: the holder is killed, suspended or cut off, or instances restart one after another, while
//! what the duty is for cannot wait, such as maps that no longer fit demand.
//!
//! The decision is only about when to try. A conditional write grants the duty, and the work that the
//! duty permits must be safe beside a former holder that goes on.

use std::time::Duration;

use bw_model::Fence;

/// Silence of the holder, in rounds of news, after which the first process in the order of candidates
/// tries.
const SILENCE_ROUNDS: u32 = 5;
/// Bounds of that silence.
const SILENCE_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_millis(900));
/// Least additional time for each further position in the order.
const POSITION_STEP: Duration = Duration::from_millis(300);
/// Time between a failed try and the next one.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Time for which a process does not try after it was replaced or had to resign.
const COOLDOWN: Duration = Duration::from_secs(4);

/// A process that is ready to take over a duty.
#[derive(Clone, Debug)]
pub struct Standby {
    /// Start of the current silence of the holder.
    silent_since: Duration,
    /// Instance of the last known holder.
    holder: Option<String>,
    /// Time since which the holder is known to leave or to have given the duty up.
    vacant_since: Option<Duration>,
    /// The highest fencing number received or acquired.
    known: Fence,
    /// The highest number of holders received or acquired, in any era.
    holders: u64,
    held: Option<Fence>,
    /// Whether the duty was given up only to be acquired again with a higher count of holders.
    renews: bool,
    /// Earliest time of the next try.
    retry_at: Duration,
}

impl Standby {
    /// Creates a process that has received nothing from a holder; the silence starts at `now`.
    pub fn new(now: Duration) -> Self {
        Self {
            silent_since: now,
            holder: None,
            vacant_since: None,
            known: Fence(0),
            holders: 0,
            held: None,
            renews: false,
            retry_at: Duration::ZERO,
        }
    }

    /// Records news of another process: the fencing number with which it holds the duty, if it does,
    /// and whether it is leaving.
    ///
    /// Announcements with a lower number than the highest known are ignored.
    pub fn observe(&mut self, instance: &str, duty: Option<Fence>, leaving: bool, now: Duration) {
        let was_holder = self.holder.as_deref() == Some(instance);
        self.holders = self.holders.max(duty.map_or(0, Fence::holder));
        match duty {
            Some(fence) if fence >= self.known => {
                if fence > self.known || !was_holder {
                    self.vacant_since = None;
                }
                self.known = fence;
                self.holder = Some(instance.to_string());
                self.silent_since = now;
                if self.held.is_some_and(|held| held < fence) {
                    self.held = None;
                }
                self.renews = false;
                if leaving {
                    self.vacant_since.get_or_insert(now);
                }
            }
            None if was_holder => {
                self.vacant_since.get_or_insert(now);
            }
            _ => {}
        }
    }

    /// Returns the instance of the last known holder other than this process.
    pub fn holder(&self) -> Option<&str> {
        self.holder.as_deref()
    }

    /// Returns whether to try now, with `position` other processes ahead of this one in the order, when the
    /// holder's news arrive every `round`.
    ///
    /// Processes further down also wait for a round of news each, so that one that missed news of the holder
    /// does not take the duty from it.
    pub fn should_try(&self, position: usize, round: Duration, now: Duration) -> bool {
        let (least, most) = SILENCE_RANGE;
        let silent_at = self.silent_since + (round * SILENCE_ROUNDS).clamp(least, most);
        let vacant_at = self.vacant_since.map_or(silent_at, |at| at.min(silent_at));
        let turn_at = vacant_at + POSITION_STEP.max(round) * position as u32;
        self.held.is_none() && (self.renews || now >= turn_at.max(self.retry_at))
    }

    /// Returns the fencing number for this process to acquire the duty with, given the one in the lease
    /// and the era of the store in which the lease was read.
    ///
    /// The number is unique if the lease is then written in the same era, on the condition that it has
    /// not changed: within an era the store loses nothing, and numbers that it lost before have a lower
    /// era. The holder count also exceeds all that are known here, since it selects the rank for holds.
    pub fn next_fence(&self, lease: Fence, era: u64) -> Fence {
        let holder = lease.holder().max(self.holders) + 1;
        Fence::new(era.max(lease.era()), holder)
    }

    /// Records that this process acquired the duty with this fencing number.
    pub fn acquire(&mut self, fence: Fence) {
        self.holders = self.holders.max(fence.holder());
        self.known = self.known.max(fence);
        self.held = Some(fence);
        self.renews = false;
        self.holder = None;
        self.vacant_since = None;
    }

    /// Records that a try failed because another process was first.
    pub fn record_failure(&mut self, now: Duration) {
        self.silent_since = now;
        self.renews = false;
        self.vacant_since = None;
        self.retry_at = now + RETRY_PAUSE;
    }

    /// Gives up the duty to acquire it again at once with a count of holders above `holders`, which was
    /// found where the work is done: the store has lost the leases that counted them.
    pub fn renew(&mut self, holders: u64, now: Duration) {
        self.holders = self.holders.max(holders);
        self.held = None;
        self.renews = true;
        self.silent_since = now;
    }

    /// Gives up the duty, for example when orders fail because of a higher fencing number.
    pub fn resign(&mut self, now: Duration) {
        self.held = None;
        self.renews = false;
        self.silent_since = now;
        self.retry_at = now + COOLDOWN;
    }

    /// Returns the fencing number, while this process believes that it holds the duty.
    pub fn held(&self) -> Option<Fence> {
        self.held
    }
}
