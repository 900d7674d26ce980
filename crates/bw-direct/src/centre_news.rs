//! News between data centres: few representatives of each data centre send the sums of its gateways.
//!
//! Load pattern: dozens to hundreds of gateways in several data centres, each of which must know the load that
//! all others put on the endpoints, while bytes between data centres are scarce and those within one are not.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use bw_model::Fence;
use bw_model::Position;
use bw_model::Version;
use serde::Deserialize;
use serde::Serialize;

use crate::candidates;
use crate::candidates::Capacity;
use crate::peers::news_interval;
use crate::peers::News;
use crate::peers::PaceNews;
use crate::peers::WorkNews;
use crate::reports::GatewayKey;

/// Representatives of each data centre; one more than may be lost without a gap in the sums.
pub const REPRESENTATIVES: usize = 2;
/// Longest time between two sums that a representative sends, below the rounds of large deployments, since
/// their age adds to that of the news that they sum up.
const SUM_INTERVAL_MAX: Duration = Duration::from_millis(400);
/// Time without sums after which gateways send their whole news to a data centre again; shorter than the
/// time for which the last sum is counted, so that no load is lost in between.
const SUM_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Shortest and longest time between two briefs of a pair of gateways. The longest is far below the time
/// after which a silent gateway is no longer sent news.
const BRIEF_INTERVAL: (Duration, Duration) =
    (Duration::from_millis(1_000), Duration::from_millis(8_000));
/// Time that each gateway in other data centres adds to that interval, so that the rate at which one gateway
/// sends briefs stays bounded.
const BRIEF_INTERVAL_PER_GATEWAY: Duration = Duration::from_millis(25);
/// Endpoints in one datagram with sums, which fits into the largest datagram that gateways receive.
const WORKS_MAX: usize = 512;

/// Returns whether a deployment has so many gateways that their rounds of news are longer than the shortest
/// ones. In smaller ones all gateways send their whole news everywhere.
pub fn needs_sums(gateways: usize) -> bool {
    news_interval(gateways) > news_interval(1)
}

/// Returns the time between two sums that a representative sends, given the time between rounds of news.
pub fn sum_interval(round: Duration) -> Duration {
    round.min(SUM_INTERVAL_MAX)
}

/// Returns the time between two briefs of a pair of gateways, each of which has `others` gateways in other
/// data centres.
pub fn brief_interval(others: usize) -> Duration {
    (BRIEF_INTERVAL_PER_GATEWAY * others as u32).clamp(BRIEF_INTERVAL.0, BRIEF_INTERVAL.1)
}

/// Returns the representatives among the gateways of one data centre: those with the widest links.
pub fn representatives<'a, I>(gateways: I, capacities: &HashMap<String, Capacity>) -> Vec<&'a str>
where
    I: Iterator<Item = &'a str>,
{
    let mut order = candidates::order(gateways, capacities);
    order.truncate(REPRESENTATIVES);
    order
}

/// News of one gateway to another data centre, without what the sums contain.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Brief {
    /// Sender.
    pub gateway: GatewayKey,
    /// Number of the news, as in the sender's whole news.
    pub seq: u64,
    /// Whether callers should be sent to the sender.
    pub ready: bool,
    /// Whether the sender is leaving.
    pub leaving: bool,
    /// Configuration version in force at the sender.
    pub version: Version,
    /// Clock of the sender in milliseconds, which the receiver echoes.
    pub stamp: u64,
    /// Last stamp of the receiver that has arrived.
    pub echo: u64,
    /// Age in milliseconds of the sender's proof that its configuration is the newest.
    pub proof: Option<u32>,
    /// Time in milliseconds since the store last answered the sender directly.
    pub store: Option<u32>,
    /// Position of the last change to the endpoint list that the sender knows.
    pub listing: Position,
    /// Fencing number of the planning duty, while the sender holds it.
    pub duty: Option<Fence>,
    /// Slow endpoints as determined by the holder of the planning duty.
    pub paces: Vec<PaceNews>,
}

impl Brief {
    /// Returns the brief for whole news, with the last stamp of the receiver.
    pub fn new(news: &News, echo: u64) -> Self {
        Self {
            gateway: GatewayKey::new(&news.state.instance, news.state.incarnation),
            seq: news.state.seq,
            ready: news.ready,
            leaving: news.state.leaving,
            version: news.state.version,
            stamp: news.stamp,
            echo,
            proof: news.proof,
            store: news.store,
            listing: news.listing,
            duty: news.duty,
            paces: news.paces.clone(),
        }
    }
}

/// State of a gateway, as another gateway of its data centre has heard it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sighting {
    /// The gateway.
    pub gateway: GatewayKey,
    /// Number of its last news.
    pub seq: u64,
    /// Whether callers should be sent to it.
    pub ready: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Age of its last news in milliseconds.
    pub age: u32,
}

/// Sums over the gateways that a representative hears in its data centre, or a part of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CentreNews {
    /// Instance of the representative.
    pub sender: String,
    /// Life of the representative.
    pub gateway: GatewayKey,
    /// Number of the sums within that life.
    pub seq: u64,
    /// Number of this part, and of all parts.
    pub part: (u16, u16),
    /// Data centre of the representative.
    pub centre: String,
    /// Data centres whose sums the representative receives.
    pub hears: Vec<String>,
    /// Gateways whose work is in the sums.
    pub gateways: Vec<Sighting>,
    /// Sums of work and outcomes by endpoint.
    pub works: Vec<WorkNews>,
}

impl CentreNews {
    /// Splits sums into parts that each fit into a datagram.
    pub fn split(self) -> Vec<Self> {
        let count = self.works.len().div_ceil(WORKS_MAX).max(1);
        let part = |index: usize| Self {
            part: (index as u16, count as u16),
            gateways: if index == 0 { self.gateways.clone() } else { Vec::new() },
            works: self.works.iter().skip(index * WORKS_MAX).take(WORKS_MAX).copied().collect(),
            ..self.clone()
        };
        (0..count).map(part).collect()
    }
}

/// Content of a datagram about data centres.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CentreMessage {
    /// The sender understands briefs and sums, and knows this life of the receiver.
    Hello {
        /// Instance of the sender.
        sender: String,
        /// Life of the receiver; `None` if the sender has not heard it.
        receiver: Option<GatewayKey>,
    },
    /// News of the sender.
    Brief(Brief),
    /// Sums for a data centre. The receiver of a `direct` one repeats it to its data centre.
    Sums {
        /// Whether the message comes from the representative itself.
        direct: bool,
        /// The sums.
        news: CentreNews,
    },
}

/// What was last received of one data centre.
#[derive(Clone, Debug, Default)]
struct Exchange {
    /// Time of the last sums that were received whole.
    heard: Option<Duration>,
    /// Whether their representative receives the sums of this data centre.
    acknowledged: bool,
}

impl Exchange {
    fn is_heard(&self, now: Duration) -> bool {
        self.heard.is_some_and(|at| now.saturating_sub(at) <= SUM_TIMEOUT)
    }
}

/// Sums of one representative of which parts are missing.
#[derive(Clone, Debug)]
struct Partial {
    gateway: GatewayKey,
    seq: u64,
    parts: BTreeMap<u16, CentreNews>,
    complete: bool,
}

/// Sums received from the representatives of other data centres.
#[derive(Clone, Debug, Default)]
pub struct Exchanges {
    centres: BTreeMap<String, Exchange>,
    partials: BTreeMap<String, Partial>,
}

impl Exchanges {
    /// Applies a part of sums that reached data centre `own`, and returns the sums once they are whole.
    /// Repeated and older ones are ignored.
    pub fn receive(&mut self, news: CentreNews, own: &str, now: Duration) -> Option<CentreNews> {
        let known = self.partials.get(&news.sender);
        let same = known.filter(|known| known.gateway == news.gateway);
        if same.is_some_and(|known| known.seq > news.seq || known.seq == news.seq && known.complete)
        {
            return None;
        }
        let (gateway, seq, count) = (news.gateway, news.seq, news.part.1);
        let sender = news.sender.clone();
        let empty = || Partial { gateway, seq, parts: BTreeMap::new(), complete: false };
        let partial = self.partials.entry(sender).or_insert_with(empty);
        if (partial.gateway, partial.seq) != (gateway, seq) {
            *partial = empty();
        }
        partial.parts.insert(news.part.0, news);
        if partial.parts.len() < usize::from(count) {
            return None;
        }
        partial.complete = true;
        let mut parts = std::mem::take(&mut partial.parts).into_values();
        let mut whole = parts.next()?;
        parts.for_each(|part| whole.works.extend(part.works));
        let exchange = self.centres.entry(whole.centre.clone()).or_default();
        exchange.heard = Some(now);
        exchange.acknowledged = whole.hears.iter().any(|centre| centre == own);
        Some(whole)
    }

    /// Returns the data centres whose sums arrive.
    pub fn heard(&self, now: Duration) -> Vec<String> {
        let centres = self.centres.iter().filter(|(_, exchange)| exchange.is_heard(now));
        centres.map(|(centre, _)| centre.clone()).collect()
    }

    /// Returns whether briefs suffice for a data centre: its sums arrive here, and those of this data
    /// centre arrive there.
    pub fn is_mutual(&self, centre: &str, now: Duration) -> bool {
        let exchange = self.centres.get(centre);
        exchange.is_some_and(|exchange| exchange.acknowledged && exchange.is_heard(now))
    }
}
