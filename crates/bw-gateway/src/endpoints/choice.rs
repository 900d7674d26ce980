//! Choice of the endpoint that a request is placed at.

use std::net::SocketAddr;
use std::time::Duration;

use bw_direct::eligibility::Bar;
use bw_direct::eligibility::Eligibility;
use bw_direct::endpoint::EndpointKey;
use bw_direct::load::Work;
use bw_direct::place::allow_one_more;
use bw_direct::place::assign_home_slots;
use bw_direct::place::place;
use bw_direct::place::Candidate;
use bw_direct::place::Rivals;
use bw_direct::place::SlotKind;
use bw_direct::room::leave_room;
use bw_model::Key;
use log::info;
use rand::Rng;

use super::is_home;
use super::Endpoints;
use super::State;
use crate::placement::PlacementRequest;
use crate::settings::Settings;

/// Least time between two log lines that say that free slots were left to other gateways.
const LEFT_LOG_INTERVAL: Duration = Duration::from_millis(1_000);

/// An endpoint that was chosen for a request, with the facts that the choice was based on.
#[derive(Clone, Debug)]
pub struct ChosenEndpoint {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Name of the endpoint.
    pub name: String,
    /// Address on which the endpoint listens.
    pub address: SocketAddr,
    /// Start time of the endpoint in Unix milliseconds; distinguishes its incarnations.
    pub born: u64,
    /// Known work at the endpoint without this request.
    pub work: Work,
    /// Kind of slot that the request was placed on.
    pub slot_kind: SlotKind,
    /// Age of the oldest news from another gateway that the choice relied on.
    pub news_age: Duration,
}

impl Endpoints {
    /// Selects an endpoint of a service with a free slot and counts the request there; `None` if
    /// no slot is free.
    pub fn place(&self, request: &PlacementRequest, now: Duration) -> Option<ChosenEndpoint> {
        let settings = self.settings.get();
        let mut state = self.lock();
        let state = &mut *state;
        let mut random = state.random.clone();
        let choice = state.choose(request, &settings, &mut random, now);
        state.random = random;
        let Some((best, slot_kind)) = choice.best else {
            state.log_left_slots(request, &choice, now);
            return None;
        };
        state.loads.start(best.key, request.prompt);
        state.standings.limits.record_send(best.key, now);
        state.standings.cold.record_send(best.key, now);
        let news_age = state.loads.oldest_news(now);
        let endpoint = &state.standings.table.get(best.key)?.endpoint;
        Some(ChosenEndpoint {
            key: best.key,
            name: endpoint.name.clone(),
            address: endpoint.address,
            born: endpoint.born,
            work: best.work,
            slot_kind,
            news_age,
        })
    }
}

/// Outcome of the search for an endpoint.
pub(super) struct Choice {
    /// Endpoint with the kind of slot; `None` if no slot is free for this gateway.
    pub(super) best: Option<(Candidate, SlotKind)>,
    /// Number of other gateways that want the same free slots.
    rivals: usize,
    /// Number of free slots, those of other gateways included.
    free: u32,
}

impl State {
    /// Searches for an endpoint for a request, without counting the request there.
    pub(super) fn choose<R>(
        &self,
        request: &PlacementRequest,
        settings: &Settings,
        random: &mut R,
        now: Duration,
    ) -> Choice
    where
        R: Rng,
    {
        let mut candidates = self.candidates(request, settings, now);
        if let Some(need) = &request.room {
            leave_room(&mut candidates, need, self.position.1);
        }
        if request.displaced {
            allow_one_more(&mut candidates);
        }
        let mut count = 0;
        let rivals = || {
            if request.displaced {
                return Rivals::default();
            }
            let rivals = self.loads.rivals(self.hash, &self.positions, &candidates, now);
            count = rivals.len();
            rivals
        };
        let best = place(&candidates, rivals, random);
        let free = candidates.iter().map(Candidate::free_slots).sum();
        Choice { best, rivals: count, free }
    }

    /// Logs that free slots are left to other gateways, at most once in an interval.
    fn log_left_slots(&mut self, request: &PlacementRequest, choice: &Choice, now: Duration) {
        if choice.rivals == 0 || now.saturating_sub(self.left_logged) < LEFT_LOG_INTERVAL {
            return;
        }
        self.left_logged = now;
        info!(
            "event=slots_left service={} free={} rivals={} news_age_ms={}",
            request.service,
            choice.free,
            choice.rivals,
            self.loads.oldest_news(now).as_millis()
        );
    }

    /// Returns the endpoints of a service that are eligible for a request. The health of endpoints
    /// is ignored if it would leave fewer than half of them, and leaving ones are used if there is no other.
    fn candidates(
        &self,
        request: &PlacementRequest,
        settings: &Settings,
        now: Duration,
    ) -> Vec<Candidate> {
        let (centre, drain) = (settings.centre.as_str(), settings.drain);
        let standings = &self.standings;
        let mut keys: Vec<EndpointKey> = standings.table.accepting(&request.service, now).collect();
        // All gateways assign home slots in the same order of endpoints.
        keys.sort_by_key(|key| self.extras[key.index()].name_hash);
        let slots: Vec<u32> = keys.iter().map(|key| self.slots(*key)).collect();
        let home_slots = assign_home_slots(&slots, self.position.0, self.position.1);
        let works = self.loads.total(&keys, now);
        let mut first_slot = 0;
        let all = keys.iter().zip(slots).zip(home_slots).zip(works);
        let mut healthy = Vec::new();
        let mut ailing = Vec::new();
        let mut leaving = Vec::new();
        for (((key, slots), home_slots), work) in all {
            let first = first_slot;
            first_slot += u64::from(slots);
            if request.exclude.contains(key) || !is_home(standings, settings, &request.homes, *key)
            {
                continue;
            }
            let candidate = Candidate {
                key: *key,
                hash: self.extras[key.index()].name_hash,
                slots,
                work,
                own: self.loads.own_at(*key).requests,
                first_slot: first,
                home_slots,
                remote: standings.table.get(*key).is_some_and(|one| one.endpoint.centre != centre),
                pace: self.pace(*key, now),
            };
            match standings.eligibility(*key, drain, now) {
                Eligibility::Free => healthy.push(candidate),
                Eligibility::OneAtATime | Eligibility::LastResortTrial if candidate.own > 0 => {}
                Eligibility::OneAtATime => healthy.push(candidate),
                Eligibility::Trial if candidate.own == 0 => healthy.push(candidate),
                Eligibility::Trial | Eligibility::Barred(Bar::Ejected) => ailing.push(candidate),
                Eligibility::LastResort | Eligibility::LastResortTrial => leaving.push(candidate),
                Eligibility::Barred(_) => {}
            }
        }
        if healthy.len() < ailing.len() {
            healthy.append(&mut ailing);
        }
        if healthy.is_empty() && ailing.is_empty() {
            return leaving;
        }
        healthy
    }

    fn slots(&self, key: EndpointKey) -> u32 {
        self.standings.table.get(key).map_or(0, |record| record.endpoint.slots)
    }
}
