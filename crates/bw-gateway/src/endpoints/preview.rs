//! Where a request would be placed, without placing it.

use std::time::Duration;

use bw_direct::eligibility::Bar;
use bw_direct::eligibility::Eligibility;
use bw_direct::endpoint::EndpointKey;
use bw_direct::place::SlotKind;
use bw_proto::explain::EndpointView;
use bw_proto::explain::ENDPOINTS_MAX;

use super::is_home;
use super::Endpoints;
use super::State;
use crate::placement::PlacementRequest;
use crate::settings::Settings;

/// What a placement would find at present.
pub struct Preview {
    /// Name of the endpoint that would be chosen, and the kind of slot.
    pub chosen: Option<(String, SlotKind)>,
    /// Endpoints of the service, by name.
    pub endpoints: Vec<EndpointView>,
    /// Number of endpoints of the service.
    pub endpoint_count: usize,
    /// Age of the oldest news from another gateway that is relied on.
    pub news_age: Duration,
}

impl Endpoints {
    /// Returns where a request would be placed now. No count, no allowance and no later draw changes.
    pub fn preview(&self, request: &PlacementRequest, now: Duration) -> Preview {
        let settings = self.settings.get();
        let state = self.lock();
        let choice = state.choose(request, &settings, &mut state.random.clone(), now);
        let chosen = choice.best.and_then(|(best, kind)| {
            Some((state.standings.table.get(best.key)?.endpoint.name.clone(), kind))
        });
        let mut keys: Vec<EndpointKey> =
            state.standings.table.usable(&request.service, now).collect();
        let endpoint_count = keys.len();
        keys.sort_by_key(|key| {
            state.standings.table.get(*key).map(|record| record.endpoint.name.as_str())
        });
        keys.truncate(ENDPOINTS_MAX);
        let works = state.loads.total(&keys, now);
        let views = keys.iter().zip(works).filter_map(|(key, work)| {
            let endpoint = &state.standings.table.get(*key)?.endpoint;
            let (text, until) = state.describe(*key, request, &settings, now);
            Some(EndpointView {
                name: endpoint.name.clone(),
                centre: endpoint.centre.clone(),
                state: text,
                until_ms: until.map(|until| until.saturating_sub(now).as_millis() as u64),
                requests: work.requests,
                unread: work.prompt,
                slots: endpoint.slots,
                pace: state.pace(*key, now),
            })
        });
        let endpoints = views.collect();
        Preview { chosen, endpoints, endpoint_count, news_age: state.loads.oldest_news(now) }
    }
}

impl State {
    /// Returns whether an endpoint may get a request, in the words of the log, and until when it may not if that
    /// is known.
    fn describe(
        &self,
        key: EndpointKey,
        request: &PlacementRequest,
        settings: &Settings,
        now: Duration,
    ) -> (String, Option<Duration>) {
        if !is_home(&self.standings, settings, &request.homes, key) {
            return ("not_home".to_string(), None);
        }
        let member =
            self.standings.table.get(key).and_then(|record| record.endpoint.member.as_ref());
        if member.is_some_and(|member| !member.open) {
            return ("group_closed".to_string(), None);
        }
        match self.standings.eligibility(key, settings.drain, now) {
            Eligibility::Free => ("free".to_string(), None),
            Eligibility::OneAtATime => ("one_at_a_time".to_string(), None),
            Eligibility::Trial => ("trial".to_string(), None),
            Eligibility::LastResort | Eligibility::LastResortTrial => {
                ("last_resort".to_string(), None)
            }
            Eligibility::Barred(bar @ Bar::AskedToWait(until)) => (bar.to_string(), Some(until)),
            Eligibility::Barred(Bar::Cold) => {
                (Bar::Cold.to_string(), self.standings.cold.opens_at(key, now))
            }
            Eligibility::Barred(bar) => (bar.to_string(), None),
        }
    }
}
