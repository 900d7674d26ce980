//! News that are sent only while there is something to tell, each kind in datagrams of its own.

use std::time::Duration;

use bw_direct::candidates::CapacityNews;
use bw_direct::cold::ColdNews;
use bw_direct::evacuations::EvacuationNews;
use bw_direct::limits::LimitNews;
use bw_direct::notices::LeavingNews;
use bw_direct::peers::news_interval;
use bw_proto::codec::CodecError;
use bw_proto::decode;
use bw_proto::encode;
use log::warn;
use serde::Serialize;

use super::gossip::Gossip;

/// Items in one datagram, which fits into the largest datagram that gateways receive with them.
const ITEMS_MAX: usize = 512;

/// Kind of a datagram, told by its first byte. The codec of the regular news starts with its format
/// number, which is lower than all of these.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum RareKind {
    /// Parts of prompts that may crash endpoints.
    Parts = 255,
    /// Limits that endpoints have named.
    Limits = 254,
    /// Endpoints that are leaving.
    Leaving = 253,
    /// Capacity of the sender.
    Capacity = 252,
    /// Data centres that operators have evacuated.
    Evacuations = 251,
    /// Endpoints that the sender has seen start without the list.
    Cold = 250,
    /// Requests that wait at the sender, by service order.
    Waiting = 249,
    /// Load and gateways of the sender's data centre.
    Centre = 248,
}

impl RareKind {
    const ALL: [Self; 8] = [
        Self::Parts,
        Self::Limits,
        Self::Leaving,
        Self::Capacity,
        Self::Evacuations,
        Self::Cold,
        Self::Waiting,
        Self::Centre,
    ];

    /// Splits a datagram into its kind and the rest; `None` for a datagram with the regular news.
    pub fn split(datagram: &[u8]) -> Option<(Self, &[u8])> {
        let (mark, rest) = datagram.split_first()?;
        Self::ALL.into_iter().find(|kind| *kind as u8 == *mark).map(|kind| (kind, rest))
    }
}

impl Gossip {
    /// Returns the datagrams with all that is to be told at present; `with_addresses` in rounds that also
    /// list addresses.
    pub(super) fn encode_rare_news(&self, with_addresses: bool, now: Duration) -> Vec<Vec<u8>> {
        let mut datagrams = Vec::new();
        let parts = self.suspects.part_news();
        if !parts.is_empty() {
            datagrams.extend(encode_rare(RareKind::Parts, &parts));
        }
        datagrams.extend(encode_items(RareKind::Limits, &self.endpoints.limit_news(now)));
        datagrams.extend(encode_items(RareKind::Leaving, &self.endpoints.leaving_news(now)));
        datagrams.extend(encode_items(RareKind::Cold, &self.endpoints.cold_news(now)));
        let waiting = self.waiting.waiting_news(&self.peers.address.instance);
        datagrams.extend(waiting.and_then(|news| encode_rare(RareKind::Waiting, &news)));
        datagrams.extend(self.encode_evacuations(with_addresses, now));
        if with_addresses {
            datagrams.extend(self.encode_capacity());
        }
        datagrams
    }

    /// Returns the datagram with this gateway's capacity.
    pub(super) fn encode_capacity(&self) -> Option<Vec<u8>> {
        let instance = self.peers.address.instance.clone();
        let capacity = self.peers.lock().capacities.get(&instance).copied().unwrap_or_default();
        encode_rare(RareKind::Capacity, &CapacityNews { instance, capacity })
    }

    /// Returns the datagram with the evacuated data centres, if there is something to tell; in `full` rounds
    /// what is known in any case.
    pub(super) fn encode_evacuations(&self, full: bool, now: Duration) -> Option<Vec<u8>> {
        let news = self.endpoints.evacuation_news(full, now)?;
        encode_rare(RareKind::Evacuations, &news)
    }

    /// Decodes and applies the content of a datagram of a kind.
    pub(super) fn receive_rare(&self, kind: RareKind, bytes: &[u8]) -> Result<(), CodecError> {
        let now = self.clock.now();
        match kind {
            RareKind::Parts => self.suspects.receive_parts(&decode(bytes)?),
            RareKind::Limits => {
                self.endpoints.receive_limits(&decode::<Vec<LimitNews>>(bytes)?, now);
            }
            RareKind::Leaving => {
                self.endpoints.receive_leaving(&decode::<Vec<LeavingNews>>(bytes)?, now);
            }
            RareKind::Capacity => {
                let news: CapacityNews = decode(bytes)?;
                self.peers.lock().capacities.insert(news.instance, news.capacity);
            }
            RareKind::Cold => {
                self.endpoints.receive_cold(&decode::<Vec<ColdNews>>(bytes)?, now);
            }
            RareKind::Waiting => {
                let round = news_interval(self.peers.live_count(now));
                self.waiting.receive_waiting(decode(bytes)?, round);
            }
            RareKind::Evacuations => {
                if self.endpoints.receive_evacuations(&decode::<EvacuationNews>(bytes)?, now) {
                    self.waiting.apply_eligibility();
                }
            }
            RareKind::Centre => self.receive_centre(decode(bytes)?, now),
        }
        Ok(())
    }
}

/// Returns datagrams of a kind with all items; none if there are no items.
fn encode_items<T>(kind: RareKind, items: &[T]) -> Vec<Vec<u8>>
where
    T: Clone + Serialize,
{
    items.chunks(ITEMS_MAX).filter_map(|part| encode_rare(kind, &part.to_vec())).collect()
}

/// Returns a datagram of a kind; `None` if its content cannot be encoded, which is logged.
pub(super) fn encode_rare<T>(kind: RareKind, news: &T) -> Option<Vec<u8>>
where
    T: Serialize,
{
    match encode(news) {
        Ok(bytes) => Some([&[kind as u8], bytes.as_slice()].concat()),
        Err(error) => {
            warn!("event=news_unsent kind={kind:?} reason=\"{error}\"");
            None
        }
    }
}
