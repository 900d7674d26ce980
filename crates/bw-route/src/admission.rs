//! Queues of one pool: weighted fair among workspaces, bounded by deadlines.
//!
//! Start-time fair queueing: each request gets a start tag, the later of the virtual time and the
//! end of its workspace's previous request, and the virtual time follows the tags served. A request
//! whose tag has been reached is within its workspace's share; among those the lower service order
//! goes first. Requests beyond the share follow by tag, whatever their order, so that no workspace
//! harms one that keeps to its share.
//!
//! Among requests of equal rank those that can still be answered in time go before those that are
//! late already. First come, first served would make every answer late while a backlog drains.

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
    /// Latest start for an answer in time.
    pub timely: Duration,
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

#[derive(Clone, Debug)]
struct Lane<K> {
    waiting: VecDeque<Offer<K>>,
    /// Start tags, one for each waiting request; whichever goes next takes the first.
    starts: VecDeque<f64>,
    /// End tag of the last request.
    finish: f64,
}

impl<K> Default for Lane<K> {
    fn default() -> Self {
        Self { waiting: VecDeque::new(), starts: VecDeque::new(), finish: 0.0 }
    }
}

impl<K> Lane<K> {
    /// Place of the request that goes next: the first that can be in time, else the first.
    fn head(&self, now: Duration) -> usize {
        self.waiting.iter().position(|offer| now <= offer.timely).unwrap_or(0)
    }

    /// Takes out the request at a place, with the first tag.
    fn take(&mut self, place: usize) -> Option<(Offer<K>, f64)> {
        Some((self.waiting.remove(place)?, self.starts.pop_front()?))
    }

    /// Takes out requests for which `leaves` holds; the last tags go with them.
    fn drain<F>(&mut self, mut leaves: F) -> usize
    where
        F: FnMut(&Offer<K>) -> bool,
    {
        let before = self.waiting.len();
        self.waiting.retain(|offer| !leaves(offer));
        self.starts.truncate(self.waiting.len());
        before - self.waiting.len()
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
        lane.waiting.push_back(offer);
        lane.starts.push_back(start);
        self.waiting += 1;
        Offered::Queued
    }

    /// Takes the request that goes next.
    pub fn next(&mut self, now: Duration) -> Option<Ticket> {
        let workspace = self.next_lane(now)?;
        let lane = self.lanes.get_mut(&workspace)?;
        let (offer, start) = lane.take(lane.head(now))?;
        self.waiting -= 1;
        self.virtual_time = self.virtual_time.max(start);
        if lane.waiting.is_empty() && lane.finish <= self.virtual_time {
            self.lanes.remove(&workspace);
        }
        self.note_admission(now);
        Some(offer.ticket)
    }

    /// The request that goes next.
    pub fn peek(&self, now: Duration) -> Option<Ticket> {
        let lane = self.lanes.get(&self.next_lane(now)?)?;
        lane.waiting.get(lane.head(now)).map(|offer| offer.ticket)
    }

    /// Removes a request whose caller has left.
    pub fn cancel(&mut self, workspace: K, ticket: Ticket) -> bool {
        let Some(lane) = self.lanes.get_mut(&workspace) else {
            return false;
        };
        let removed = lane.drain(|offer| offer.ticket == ticket);
        self.waiting -= removed;
        removed > 0
    }

    /// Takes out requests whose deadline has passed, and the newest of the workspace that is the
    /// furthest beyond its share while too many wait. They are to be refused.
    pub fn shed(&mut self, now: Duration) -> Vec<Ticket> {
        let mut shed = Vec::new();
        for lane in self.lanes.values_mut() {
            lane.drain(|offer| {
                let late = offer.deadline <= now;
                if late {
                    shed.push(offer.ticket);
                }
                late
            });
        }
        self.waiting -= shed.len();
        while self.waiting > QUEUE_MAX {
            let last = |lane: &Lane<K>| lane.starts.back().copied().unwrap_or(f64::MIN);
            let furthest = self.lanes.values_mut().max_by(|a, b| last(a).total_cmp(&last(b)));
            let Some(lane) = furthest else { break };
            let Some(offer) = lane.waiting.pop_back() else { break };
            lane.starts.pop_back();
            shed.push(offer.ticket);
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
        let before = |lane: &Lane<K>| lane.starts.iter().filter(|tag| **tag <= start).count();
        let ahead: usize = self.lanes.values().map(before).sum();
        let standstill = match self.admitted {
            Some(admitted) if self.waiting > 0 => now.saturating_sub(admitted),
            _ => Duration::ZERO,
        };
        Duration::from_secs_f64(self.gap * ahead as f64).max(standstill)
    }

    fn next_lane(&self, now: Duration) -> Option<K> {
        let heads = self.lanes.iter().filter_map(|(key, lane)| {
            let (offer, start) = (lane.waiting.get(lane.head(now))?, *lane.starts.front()?);
            let within = start <= self.virtual_time;
            let order = if within { offer.order } else { u8::MAX };
            Some((*key, (!within, order, now > offer.timely), start))
        });
        let first = heads.min_by(|(_, a_rank, a_start), (_, b_rank, b_start)| {
            a_rank.cmp(b_rank).then(a_start.total_cmp(b_start))
        });
        first.map(|(key, _, _)| key)
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
