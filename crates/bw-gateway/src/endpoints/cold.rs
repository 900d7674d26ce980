//! Cold endpoints, as the gateway learns of them and divides what they may get.

use std::net::SocketAddr;
use std::time::Duration;

use bw_direct::cold::ColdChange;
use bw_direct::cold::ColdNews;
use bw_direct::cold::ColdRule;
use bw_direct::cold::ColdSign;
use bw_direct::eligibility::Bar;
use bw_direct::endpoint::EndpointChange;
use bw_direct::endpoint::EndpointKey;
use bw_direct::Catalog;
use bw_model::Key;
use log::info;

use super::Endpoints;
use super::State;

/// An endpoint to ask whether it is cold.
#[derive(Clone, Debug)]
pub struct ColdCheck {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Name of the endpoint.
    pub name: String,
    /// Service of the endpoint.
    pub service: String,
    /// Address of the endpoint.
    pub address: SocketAddr,
}

impl Endpoints {
    /// Sets what cold endpoints of each service may get, by the configuration and the settings in force.
    pub fn set_cold_rules(&self, catalog: &Catalog, now: Duration) {
        let settings = self.settings.get();
        let (Some(overshoot), slack) = (settings.cold_overshoot, settings.cold_slack) else {
            self.lock().standings.cold.set_rules(Default::default(), now);
            return;
        };
        let services = catalog.services.iter().filter_map(|(_, service)| {
            let cold = service.cold?;
            let allowance = cold.rate * overshoot + slack.unwrap_or(0.0);
            Some((service.name.clone(), ColdRule::new(allowance, cold.start)))
        });
        let rules = services.collect();
        self.lock().standings.cold.set_rules(rules, now);
    }

    /// Sets the gateways that share what cold endpoints may get; none while some may not be known. `round` is
    /// the time between two rounds of news.
    pub fn set_cold_owners(&self, owners: &[String], round: Duration, now: Duration) {
        self.lock().standings.cold.set_members(owners, round, now);
    }

    /// Returns why a request that was placed at an endpoint at `placed_at` may not be written now; `None` if
    /// it may.
    pub fn confirm_send(
        &self,
        key: EndpointKey,
        placed_at: Duration,
        now: Duration,
    ) -> Option<Bar> {
        let drain = self.settings.get().drain;
        let mut state = self.lock();
        let bar = state.standings.bar_to_send(key, drain, now);
        bar.or_else(|| {
            let confirmed = state.standings.cold.confirm_send(key, placed_at, now);
            (!confirmed).then_some(Bar::Cold)
        })
    }

    /// Records that no process listens at the address of an endpoint.
    pub fn record_refused(&self, key: EndpointKey, now: Duration) {
        self.lock().observe_sign(key, ColdSign::Refused, "refused", now);
    }

    /// Records an answer of an endpoint, which may have started since it refused connections.
    pub fn record_alive(&self, key: EndpointKey, now: Duration) {
        self.lock().observe_sign(key, ColdSign::Answered, "answer", now);
    }

    /// Records that an endpoint has said that it stays cold for `remaining`.
    pub fn record_cold(&self, key: EndpointKey, remaining: Duration, now: Duration) {
        self.lock().observe_sign(key, ColdSign::Said(remaining), "health", now);
    }

    /// Returns whether endpoints of any service may be cold.
    pub fn has_cold_rules(&self) -> bool {
        self.lock().standings.cold.has_rules()
    }

    /// Returns the time since the store last answered any gateway; `None` before the first answer.
    pub fn store_silence(&self, now: Duration) -> Option<Duration> {
        self.lock().standings.table.store_silence(now)
    }

    /// Returns the endpoints that this gateway has to ask whether they are cold, as
    /// [`bw_direct::cold::ColdEndpoints::to_check`].
    pub fn cold_checks(&self, position: usize, count: usize, now: Duration) -> Vec<ColdCheck> {
        let state = self.lock();
        let keys = state.standings.cold.to_check(position, count, now);
        let checks = keys.into_iter().filter_map(|key| {
            let endpoint = &state.standings.table.get(key)?.endpoint;
            Some(ColdCheck {
                key,
                name: endpoint.name.clone(),
                service: endpoint.service.clone(),
                address: endpoint.address,
            })
        });
        checks.collect()
    }

    /// Applies the cold endpoints that a peer has seen start; endpoints that are unknown, or of which this
    /// gateway knows another life, are ignored.
    pub fn receive_cold(&self, news: &[ColdNews], now: Duration) {
        let mut state = self.lock();
        for news in news {
            let Some(key) = state.by_hash.get(&news.endpoint).copied() else { continue };
            let born = state.standings.table.get(key).map(|record| record.endpoint.born);
            if born == Some(news.born) {
                let remaining = Duration::from_millis(u64::from(news.remaining));
                state.observe_sign(key, ColdSign::Told(remaining), "peer", now);
            }
        }
    }

    /// Returns the cold endpoints that this gateway has seen start, for the news to peers.
    pub fn cold_news(&self, now: Duration) -> Vec<ColdNews> {
        let state = self.lock();
        let news = state.standings.cold.news(now).into_iter().filter_map(|(key, remaining)| {
            Some(ColdNews {
                endpoint: state.extras[key.index()].name_hash,
                born: state.standings.table.get(key)?.endpoint.born,
                remaining: u32::try_from(remaining.as_millis()).unwrap_or(u32::MAX),
            })
        });
        news.collect()
    }

    /// Returns the number of cold endpoints, and this gateway's parts of them.
    pub fn cold_totals(&self, now: Duration) -> (usize, usize) {
        self.lock().standings.cold.totals(now)
    }
}

impl State {
    /// Records what a change of an endpoint's list entry says of the endpoint's cold time. `started` tells whether an endpoint that is new has started just now.
    pub(super) fn observe_cold(
        &mut self,
        key: EndpointKey,
        change: EndpointChange,
        started: bool,
        now: Duration,
    ) {
        let Some(record) = self.standings.table.get(key) else { return };
        let endpoint = &record.endpoint;
        let told = endpoint.cold;
        // It counts requests from now on, cold or not.
        self.standings.cold.record(key, (&endpoint.name, &endpoint.service), None, now);
        let is_start = match change {
            EndpointChange::Added => started,
            EndpointChange::Restarted => true,
            _ => false,
        };
        if is_start {
            self.observe_sign(key, ColdSign::Started, "start", now);
        }
        if !told.is_zero() {
            self.observe_sign(key, ColdSign::Told(told), "list", now);
        }
    }

    /// Records a sign that an endpoint is cold, and logs that it has turned cold by it.
    fn observe_sign(&mut self, key: EndpointKey, sign: ColdSign, source: &str, now: Duration) {
        let Some(record) = self.standings.table.get(key) else { return };
        let endpoint = &record.endpoint;
        let name = (endpoint.name.as_str(), endpoint.service.as_str());
        let change = self.standings.cold.record(key, name, Some(sign), now);
        if let Some(ColdChange { remaining, parts, count }) = change {
            info!(
                "event=endpoint_cold endpoint={} remaining_ms={} told_ms={} parts={parts} of={count} \
                 source={source}",
                endpoint.name,
                remaining.as_millis(),
                endpoint.cold.as_millis()
            );
        }
    }
}
