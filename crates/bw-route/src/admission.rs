//! Queues of one pool: weighted fair among workspaces, bounded by deadlines.
//!
//! Start-time fair queueing: each request gets a start tag, the later of the virtual time and the
//! end of its workspace's previous request, and the virtual time follows the tags served. A request
//! whose tag has been reached is within its workspace's share; among those the lower service order
//! goes first. Requests beyond the share follow by tag, whatever their order, so that no workspace
//! harms one that keeps to its share.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Requests that wait in one pool.
const QUEUE_MAX: usize = 4_096;
/// Weight of the newest gap in the mean time between two admissions.
const GAP_WEIGHT: f64 = 0.1;

/// Names a waiting request.
pub type Ticket = u64;

/// A request that asks to be admitted.
#[derive(Clone, Copy, Debug)]
pub struct Offer<K> {
    /// Names the request.
    pub ticket: Ticket,
    /// Its workspace.
    pub workspace: K,
    /// Service order of the workspace; a lower number goes first.
    pub order: u8,
    /// Weight of the workspace.
    pub share: u32,
    /// Latest useful start.
    pub deadline: Duration,
}

/// What became of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offered {
    /// It waits.
    Queued,
    /// It would start too late; come back after this time.
    Refused(Duration),
}

#[derive(Clone, Copy, Debug)]
struct Waiting<K> {
    offer: Offer<K>,
    start: f64,
}

#[derive(Clone, Debug)]
struct Lane<K> {
    waiting: VecDeque<Waiting<K>>,
    /// End tag of the last request.
    finish: f64,
}

impl<K> Default for Lane<K> {
    fn default() -> Self {
        Self { waiting: VecDeque::new(), finish: 0.0 }
    }
}

/// The queues of one pool, by the key of the workspace.
#[derive(Clone, Debug)]
pub struct Admission<K> {
    lanes: BTreeMap<K, Lane<K>>,
    virtual_time: f64,
    waiting: usize,
    /// Mean time between two admissions while requests wait, in seconds.
    gap: f64,
    admitted: Option<Duration>,
}

impl<K> Default for Admission<K> {
    fn default() -> Self {
        Self { lanes: BTreeMap::new(), virtual_time: 0.0, waiting: 0, gap: 0.0, admitted: None }
    }
}

impl<K> Admission<K>
where
    K: Copy + Ord,
{
    /// Queues without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests that wait.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// True when no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Queues a request, or refuses it at once when it would start after its deadline.
    pub fn offer(&mut self, offer: Offer<K>, now: Duration) -> Offered {
        let wait = self.expected_wait(&offer, now);
        if now + wait > offer.deadline {
            return Offered::Refused(wait);
        }
        let virtual_time = self.virtual_time;
        let lane = self.lanes.entry(offer.workspace).or_default();
        let start = lane.finish.max(virtual_time);
        lane.finish = start + 1.0 / f64::from(offer.share.max(1));
        lane.waiting.push_back(Waiting { offer, start });
        self.waiting += 1;
        Offered::Queued
    }

    /// Takes the request that goes next.
    pub fn next(&mut self, now: Duration) -> Option<Ticket> {
        let workspace = self.next_lane()?;
        let lane = self.lanes.get_mut(&workspace)?;
        let waiting = lane.waiting.pop_front()?;
        self.waiting -= 1;
        self.virtual_time = self.virtual_time.max(waiting.start);
        if lane.waiting.is_empty() && lane.finish <= self.virtual_time {
            self.lanes.remove(&workspace);
        }
        self.note_admission(now);
        Some(waiting.offer.ticket)
    }

    /// The request that goes next.
    pub fn peek(&self) -> Option<Ticket> {
        let lane = self.lanes.get(&self.next_lane()?)?;
        lane.waiting.front().map(|waiting| waiting.offer.ticket)
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, workspace: K, ticket: Ticket) -> bool {
        let Some(lane) = self.lanes.get_mut(&workspace) else {
            return false;
        };
        let before = lane.waiting.len();
        lane.waiting.retain(|waiting| waiting.offer.ticket != ticket);
        let removed = before - lane.waiting.len();
        self.waiting -= removed;
        removed > 0
    }

    /// Takes out requests whose deadline has passed, and the newest of the workspace that is the
    /// furthest beyond its share while too many wait. They are to be refused.
    pub fn shed(&mut self, now: Duration) -> Vec<Ticket> {
        let mut shed = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.waiting.retain(|waiting| {
                let late = waiting.offer.deadline <= now;
                if late {
                    shed.push(waiting.offer.ticket);
                }
                !late
            });
        }
        self.waiting -= shed.len();
        while self.waiting > QUEUE_MAX {
            let last =
                |lane: &Lane<K>| lane.waiting.back().map_or(f64::MIN, |waiting| waiting.start);
            let furthest = self.lanes.values_mut().max_by(|a, b| last(a).total_cmp(&last(b)));
            let Some(waiting) = furthest.and_then(|lane| lane.waiting.pop_back()) else {
                break;
            };
            shed.push(waiting.offer.ticket);
            self.waiting -= 1;
        }
        shed
    }

    /// Time until a new request of this workspace would be admitted.
    ///
    /// While requests wait and none is admitted, the standstill is expected to last as long again.
    pub fn expected_wait(&self, offer: &Offer<K>, now: Duration) -> Duration {
        let lane = self.lanes.get(&offer.workspace);
        let start = lane.map_or(self.virtual_time, |lane| lane.finish.max(self.virtual_time));
        let before = |lane: &Lane<K>| lane.waiting.iter().filter(|w| w.start <= start).count();
        let ahead: usize = self.lanes.values().map(before).sum();
        let standstill = match self.admitted {
            Some(admitted) if self.waiting > 0 => now.saturating_sub(admitted),
            _ => Duration::ZERO,
        };
        Duration::from_secs_f64(self.gap * ahead as f64).max(standstill)
    }

    fn next_lane(&self) -> Option<K> {
        let heads =
            self.lanes.iter().filter_map(|(key, lane)| Some((*key, *lane.waiting.front()?)));
        let rank = |waiting: &Waiting<K>| {
            let within = waiting.start <= self.virtual_time;
            let order = if within { waiting.offer.order } else { u8::MAX };
            (!within, order, waiting.start)
        };
        let less = |a: &(K, Waiting<K>), b: &(K, Waiting<K>)| {
            let ((a_out, a_order, a_start), (b_out, b_order, b_start)) = (rank(&a.1), rank(&b.1));
            (a_out, a_order).cmp(&(b_out, b_order)).then(a_start.total_cmp(&b_start))
        };
        heads.min_by(less).map(|(key, _)| key)
    }

    fn note_admission(&mut self, now: Duration) {
        if let Some(last) = self.admitted {
            let gap = now.saturating_sub(last).as_secs_f64();
            // Gaps without a queue say nothing of the time a queue would take.
            if self.waiting > 0 || self.gap == 0.0 {
                self.gap = self.gap * (1.0 - GAP_WEIGHT) + gap * GAP_WEIGHT;
            }
        }
        self.admitted = Some(now);
    }
}
