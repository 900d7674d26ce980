//! Admission queue of one pool: weighted fair queueing among workspaces, with deadlines.
//!
//! The algorithm is start-time fair queueing. Each request gets a start tag, which is the maximum
//! of the virtual time and the finish tag of its workspace's previous request. The virtual time
//! advances to the start tags of admitted requests. A request whose start tag is not beyond the
//! virtual time is within its workspace's share; among these the lower service order goes first.
//! Requests beyond the share follow by start tag, regardless of their service order, so that a
//! workspace that exceeds its share does not delay one that stays within its own.
//!
//! Among requests of equal rank, those that can still meet their latency target go before those
//! that can't. Serving in order of arrival would make every answer late while a backlog drains.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

/// Maximum number of waiting requests in one pool.
const QUEUE_MAX: usize = 4_096;
/// Weight of the newest sample in the moving average of the time between two admissions.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Identifies a waiting request.
pub type Ticket = u64;

/// A request to be queued for admission.
#[derive(Clone, Copy, Debug)]
pub struct Offer<K> {
    /// Identifies the request.
    pub ticket: Ticket,
    /// Workspace that sent the request.
    pub workspace: K,
    /// Service order of the workspace; lower numbers go first.
    pub order: u8,
    /// Weight of the workspace in fair queueing; 0 counts as 1.
    pub share: u32,
    /// Latest start at which the answer still meets its latency target.
    pub target_start: Duration,
    /// Latest start at which the answer is still of use.
    pub deadline: Duration,
}

/// Result of [`Admission::offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The request was queued.
    Queued,
    /// The request would start after its deadline; the caller may retry after this time.
    Refused(Duration),
}

/// Waiting requests of one workspace, in order of arrival.
#[derive(Clone, Debug)]
struct WorkspaceQueue<K> {
    waiting: VecDeque<Offer<K>>,
    /// Start tags, as many as waiting requests. Whichever request is admitted next consumes the
    /// first tag.
    start_tags: VecDeque<f64>,
    /// Finish tag of the last request.
    finish_tag: f64,
}

impl<K> Default for WorkspaceQueue<K> {
    fn default() -> Self {
        Self { waiting: VecDeque::new(), start_tags: VecDeque::new(), finish_tag: 0.0 }
    }
}

impl<K> WorkspaceQueue<K> {
    /// Returns the position of the request to admit next: the first that can still meet its
    /// latency target, or else the first.
    fn next_position(&self, now: Duration) -> usize {
        self.waiting.iter().position(|offer| now <= offer.target_start).unwrap_or(0)
    }

    /// Removes the request at `position` and the first start tag.
    fn remove(&mut self, position: usize) -> Option<(Offer<K>, f64)> {
        Some((self.waiting.remove(position)?, self.start_tags.pop_front()?))
    }

    /// Removes the requests that match `predicate`, and as many start tags from the back. Returns
    /// the number of requests removed.
    fn remove_where<F>(&mut self, mut predicate: F) -> usize
    where
        F: FnMut(&Offer<K>) -> bool,
    {
        let before = self.waiting.len();
        self.waiting.retain(|offer| !predicate(offer));
        self.start_tags.truncate(self.waiting.len());
        before - self.waiting.len()
    }
}

/// The queues of one pool, by workspace.
#[derive(Clone, Debug)]
pub struct Admission<K> {
    queues: BTreeMap<K, WorkspaceQueue<K>>,
    /// Highest start tag admitted so far.
    virtual_time: f64,
    /// Number of requests in all queues.
    waiting: usize,
    /// Moving average of the time between two admissions while requests wait, in seconds.
    mean_interval: f64,
    last_admitted: Option<Duration>,
}

impl<K> Default for Admission<K> {
    fn default() -> Self {
        Self {
            queues: BTreeMap::new(),
            virtual_time: 0.0,
            waiting: 0,
            mean_interval: 0.0,
            last_admitted: None,
        }
    }
}

impl<K> Admission<K>
where
    K: Copy + Ord,
{
    /// Creates an admission queue without requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting
    }

    /// Returns true if no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Queues a request, or refuses it at once if its expected start is after its deadline.
    pub fn offer(&mut self, offer: Offer<K>, now: Duration) -> OfferOutcome {
        let wait = self.expected_wait(&offer, now);
        if now + wait > offer.deadline {
            return OfferOutcome::Refused(wait);
        }
        let virtual_time = self.virtual_time;
        let queue = self.queues.entry(offer.workspace).or_default();
        let start_tag = queue.finish_tag.max(virtual_time);
        queue.finish_tag = start_tag + 1.0 / f64::from(offer.share.max(1));
        queue.waiting.push_back(offer);
        queue.start_tags.push_back(start_tag);
        self.waiting += 1;
        OfferOutcome::Queued
    }

    /// Removes and returns the request to admit next.
    pub fn next(&mut self, now: Duration) -> Option<Ticket> {
        let workspace = self.next_workspace(now)?;
        let queue = self.queues.get_mut(&workspace)?;
        let (offer, start_tag) = queue.remove(queue.next_position(now))?;
        self.waiting -= 1;
        self.virtual_time = self.virtual_time.max(start_tag);
        if queue.waiting.is_empty() && queue.finish_tag <= self.virtual_time {
            self.queues.remove(&workspace);
        }
        self.record_admission(now);
        Some(offer.ticket)
    }

    /// Returns the request to admit next, without removing it.
    pub fn peek(&self, now: Duration) -> Option<Ticket> {
        let queue = self.queues.get(&self.next_workspace(now)?)?;
        queue.waiting.get(queue.next_position(now)).map(|offer| offer.ticket)
    }

    /// Removes a request, for example because its caller disconnected. Returns false if no such
    /// request waits.
    pub fn cancel(&mut self, workspace: K, ticket: Ticket) -> bool {
        let Some(queue) = self.queues.get_mut(&workspace) else {
            return false;
        };
        let removed = queue.remove_where(|offer| offer.ticket == ticket);
        self.waiting -= removed;
        removed > 0
    }

    /// Removes and returns the requests that the caller must refuse.
    ///
    /// These are requests whose deadline has passed and, while more than `QUEUE_MAX` requests
    /// wait, the newest request of the workspace that is furthest beyond its share.
    pub fn shed(&mut self, now: Duration) -> Vec<Ticket> {
        let mut shed = Vec::new();
        for queue in self.queues.values_mut() {
            queue.remove_where(|offer| {
                let late = offer.deadline <= now;
                if late {
                    shed.push(offer.ticket);
                }
                late
            });
        }
        self.waiting -= shed.len();
        while self.waiting > QUEUE_MAX {
            let last_tag =
                |queue: &WorkspaceQueue<K>| queue.start_tags.back().copied().unwrap_or(f64::MIN);
            let furthest =
                self.queues.values_mut().max_by(|a, b| last_tag(a).total_cmp(&last_tag(b)));
            let Some(queue) = furthest else { break };
            let Some(offer) = queue.waiting.pop_back() else { break };
            queue.start_tags.pop_back();
            shed.push(offer.ticket);
            self.waiting -= 1;
        }
        shed
    }

    /// Estimates the time until a new request of this workspace would be admitted.
    ///
    /// The estimate is the number of requests ahead times the mean interval between admissions. It
    /// is at least the time since the last admission while requests wait: a stall is expected to
    /// last as long again.
    pub fn expected_wait(&self, offer: &Offer<K>, now: Duration) -> Duration {
        let queue = self.queues.get(&offer.workspace);
        let start_tag =
            queue.map_or(self.virtual_time, |queue| queue.finish_tag.max(self.virtual_time));
        let count_ahead = |queue: &WorkspaceQueue<K>| {
            queue.start_tags.iter().filter(|tag| **tag <= start_tag).count()
        };
        let ahead: usize = self.queues.values().map(count_ahead).sum();
        let stall = match self.last_admitted {
            Some(last) if self.waiting > 0 => now.saturating_sub(last),
            _ => Duration::ZERO,
        };
        Duration::from_secs_f64(self.mean_interval * ahead as f64).max(stall)
    }

    /// Returns the workspace whose request is admitted next.
    fn next_workspace(&self, now: Duration) -> Option<K> {
        let candidates = self.queues.iter().filter_map(|(key, queue)| {
            let offer = queue.waiting.get(queue.next_position(now))?;
            let start_tag = *queue.start_tags.front()?;
            let within = start_tag <= self.virtual_time;
            let order = if within { offer.order } else { u8::MAX };
            Some((*key, (!within, order, now > offer.target_start), start_tag))
        });
        let first = candidates.min_by(|(_, a_rank, a_tag), (_, b_rank, b_tag)| {
            a_rank.cmp(b_rank).then(a_tag.total_cmp(b_tag))
        });
        first.map(|(key, _, _)| key)
    }

    /// Updates the mean interval between admissions.
    fn record_admission(&mut self, now: Duration) {
        if let Some(last) = self.last_admitted {
            let interval = now.saturating_sub(last).as_secs_f64();
            // Without waiting requests the interval depends on arrivals, not on how fast a queue
            // would drain.
            if self.waiting > 0 || self.mean_interval == 0.0 {
                self.mean_interval =
                    self.mean_interval * (1.0 - INTERVAL_WEIGHT) + interval * INTERVAL_WEIGHT;
            }
        }
        self.last_admitted = Some(now);
    }
}
