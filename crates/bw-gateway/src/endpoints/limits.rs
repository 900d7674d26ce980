//! Limits that endpoints in need name, as the gateway learns, passes on and divides them.

use std::time::Duration;

use bw_direct::endpoint::EndpointKey;
use bw_direct::limits::LimitChange;
use bw_direct::limits::LimitNews;
use bw_direct::limits::Statement;
use bw_direct::limits::Told;
use bw_model::Key;
use log::info;
use log::warn;

use super::Endpoints;

impl Endpoints {
    /// Records what an answer of an endpoint says about its limit, and logs a change. The request was sent
    /// at `sent_at`.
    pub fn record_limit(
        &self,
        key: EndpointKey,
        statement: Statement,
        sent_at: Duration,
        now: Duration,
    ) {
        let mut state = self.lock();
        let state = &mut *state;
        let Some(record) = state.standings.table.get(key) else { return };
        let name = &record.endpoint.name;
        let ignored = &mut state.extras[key.index()].ignored_limit;
        let rate = match statement {
            Statement::Named(rate) => Some(rate),
            Statement::NoLimit => None,
            Statement::Invalid(error) => {
                if ignored.replace(error) != Some(error) {
                    warn!("event=endpoint_limit_ignored endpoint={name} reason=\"{error}\"");
                }
                return;
            }
        };
        *ignored = None;
        let change = state.standings.limits.record_answer(key, name, rate, sent_at, now);
        log_limit(name, change, "answer");
    }

    /// Applies the limits that endpoints have named to a peer; unknown endpoints are ignored.
    pub fn receive_limits(&self, news: &[LimitNews], now: Duration) {
        let mut state = self.lock();
        let state = &mut *state;
        for news in news {
            let key = state.by_hash.get(&news.endpoint).copied();
            let Some(record) = key.and_then(|key| state.standings.table.get(key)) else { continue };
            let (Some(key), Ok(told)) = (key, Told::try_from(*news)) else { continue };
            let change = state.standings.limits.receive(key, &record.endpoint.name, told, now);
            log_limit(&record.endpoint.name, change, "peer");
        }
    }

    /// Returns the limits that endpoints have named to this gateway, for the news to peers.
    pub fn limit_news(&self, now: Duration) -> Vec<LimitNews> {
        let state = self.lock();
        let news = state.standings.limits.news(now).into_iter();
        news.map(|(key, told)| LimitNews::new(state.extras[key.index()].name_hash, told)).collect()
    }

    /// Sets the gateways that may have parts of limits, by their instances; none while this gateway may
    /// have none.
    pub fn set_part_owners(&self, owners: Vec<String>, now: Duration) {
        self.lock().standings.limits.set_members(owners, now);
    }
}

/// Logs a change of an endpoint's limit; `source` tells who reported it.
fn log_limit(endpoint: &str, change: Option<LimitChange>, source: &str) {
    match change {
        Some(LimitChange::Named(rate, part)) => info!(
            "event=endpoint_limit endpoint={endpoint} per_second={rate} part_per_second={:.3} \
             parts={} gateways={} source={source}",
            part.per_second,
            part.count,
            part.place.map_or(0, |(_, gateways)| gateways)
        ),
        Some(LimitChange::Ended) => {
            info!("event=endpoint_limit_ended endpoint={endpoint} source={source}");
        }
        None => {}
    }
}
