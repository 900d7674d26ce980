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
//!
//! A pool whose kinds of requests differ in urgency ([`Admission::set_urgent_first`]) has another load:
//! 1.1 to 1.6 times its capacity for some seconds, most of it from a kind that can wait. If shares went
//! first, urgent requests of a busy workspace would wait behind all others; if urgency alone decided, the
//! kind that can wait would starve. Here the service order decides among workspaces that are at most
//! `LEAD_MAX` requests ahead of another one that waits, and a kind that is served much less often than all
//! goes first ([`Kinds`]). The expected wait counts the more urgent requests that will arrive meanwhile.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::kinds::Kinds;

/// Maximum number of waiting requests in one pool.
const QUEUE_MAX: usize = 4_096;
/// Weight of the newest sample in the moving average of the time between two admissions.
const INTERVAL_WEIGHT: f64 = 0.1;

/// Requests of average share that a workspace may be ahead of another one before its urgent requests wait
/// for less urgent ones of that workspace.
const LEAD_MAX: f64 = 8.0;
/// Part of the admissions that less urgent requests get at least.
const LEAST_PART: f64 = 0.25;

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
    /// Whether the caller was turned away before and has come back at the time that it was told.
    pub returned: bool,
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
    /// Returns the request to admit next among those of service order `order_max` or lower: the first of
    /// the highest rank if requests differ in urgency, or else the first that can still meet its latency
    /// target, or else the first.
    fn next_offer(
        &self,
        ranking: Option<&Kinds>,
        order_max: u8,
        now: Duration,
    ) -> Option<&Offer<K>> {
        let mut offers = self.waiting.iter().filter(|offer| offer.order <= order_max);
        match ranking {
            // Of requests of equal rank, this returns the first.
            Some(kinds) => offers.min_by_key(|offer| rank(offer, kinds, now)),
            None => {
                let first = offers.clone().find(|offer| now <= offer.target_start);
                first.or_else(|| offers.next())
            }
        }
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

/// Returns the rank of a request among those that differ in urgency; the lowest goes first.
fn rank<K>(offer: &Offer<K>, kinds: &Kinds, now: Duration) -> (bool, bool, u8, bool) {
    let late = now > offer.target_start;
    (!kinds.is_neglected(offer.order), late, offer.order, !offer.returned)
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
    /// Whether requests differ in urgency.
    urgent_first: bool,
    kinds: Kinds,
}

impl<K> Default for Admission<K> {
    fn default() -> Self {
        Self {
            queues: BTreeMap::new(),
            virtual_time: 0.0,
            waiting: 0,
            mean_interval: 0.0,
            last_admitted: None,
            urgent_first: false,
            kinds: Kinds::default(),
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

    /// Sets whether the pool's requests differ in urgency.
    pub fn set_urgent_first(&mut self, urgent_first: bool) {
        self.urgent_first = urgent_first;
    }

    /// Returns the counts of the kinds, to be kept by the caller: also of requests that need not wait.
    pub fn kinds_mut(&mut self) -> &mut Kinds {
        &mut self.kinds
    }

    /// Returns the counts of the kinds.
    pub fn kinds(&self) -> &Kinds {
        &self.kinds
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
        self.next_of(u8::MAX, now)
    }

    /// Removes and returns the request to admit next among those of service order `order_max` or lower.
    pub fn next_of(&mut self, order_max: u8, now: Duration) -> Option<Ticket> {
        let (workspace, ticket) = self.peek_of(order_max, now)?;
        let queue = self.queues.get_mut(&workspace)?;
        let position = queue.waiting.iter().position(|offer| offer.ticket == ticket)?;
        let (offer, start_tag) = queue.remove(position)?;
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
        self.peek_of(u8::MAX, now).map(|(_, ticket)| ticket)
    }

    /// Returns the request to admit next among those of service order `order_max` or lower, and its
    /// workspace, without removing it.
    pub fn peek_of(&self, order_max: u8, now: Duration) -> Option<(K, Ticket)> {
        let ranking = self.urgent_first.then_some(&self.kinds);
        let tags = self.queues.values().filter_map(|queue| queue.start_tags.front().copied());
        let least = tags.min_by(f64::total_cmp).unwrap_or(self.virtual_time);
        let candidates = self.queues.iter().filter_map(|(key, queue)| {
            let offer = queue.next_offer(ranking, order_max, now)?;
            let start_tag = *queue.start_tags.front()?;
            let place = match ranking {
                Some(kinds) => (start_tag > least + LEAD_MAX, rank(offer, kinds, now)),
                None => {
                    let within = start_tag <= self.virtual_time;
                    let order = if within { offer.order } else { u8::MAX };
                    (!within, (false, false, order, now > offer.target_start))
                }
            };
            Some(((*key, offer.ticket), place, start_tag))
        });
        let first = candidates.min_by(|(_, a_place, a_tag), (_, b_place, b_tag)| {
            a_place.cmp(b_place).then(a_tag.total_cmp(b_tag))
        });
        first.map(|(found, _, _)| found)
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
        let neglected = self.kinds.is_neglected(offer.order);
        let count_ahead = |queue: &WorkspaceQueue<K>| {
            if self.urgent_first {
                let before = |other: &&Offer<K>| {
                    (other.order == offer.order && (other.returned || !offer.returned))
                        || (other.order < offer.order && !neglected)
                };
                return queue.waiting.iter().filter(before).count();
            }
            queue.start_tags.iter().filter(|tag| **tag <= start_tag).count()
        };
        let ahead: usize = self.queues.values().map(count_ahead).sum();
        let stall = match self.last_admitted {
            Some(last) if self.waiting > 0 => now.saturating_sub(last),
            _ => Duration::ZERO,
        };
        let wait = self.mean_interval * ahead as f64 / self.part_left(offer, now);
        Duration::from_secs_f64(wait).max(stall)
    }

    /// Returns the part of the admissions that the requests leave which go before `offer` and arrive while it
    /// waits.
    fn part_left(&self, offer: &Offer<K>, now: Duration) -> f64 {
        if !self.urgent_first || self.kinds.is_neglected(offer.order) {
            return 1.0;
        }
        let rate = self.kinds.more_urgent(offer.order, now).map_or(0.0, |(rate, _)| rate);
        (1.0 - rate * self.mean_interval).max(LEAST_PART)
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
