//! The table of endpoints that the gateway's services share, with the load, the health and the
//! idle connections of each endpoint.

mod choice;
pub mod cold;
mod evacuations;
mod groups;
mod idle;
mod limits;
mod notices;
mod paces;
mod preview;
mod reports;
mod steps;

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::eligibility::Bar;
use bw_direct::eligibility::Outlook;
use bw_direct::eligibility::Standings;
use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::EndpointChange;
use bw_direct::endpoint::EndpointKey;
use bw_direct::endpoint::Table;
use bw_direct::evacuations::Evacuations;
use bw_direct::homes::Homes;
use bw_direct::limits::LimitError;
use bw_direct::load::gateway_hash;
use bw_direct::load::Loads;
use bw_direct::notices::WaitError;
use bw_direct::reports::Reports;
use bw_direct::steps::StepTracker;
use bw_http::Channel;
use bw_model::hash::rendezvous_weight;
use bw_model::Key;
use bw_model::Position;
use log::info;
use rand::rngs::SmallRng;
use rand::SeedableRng;

pub use self::choice::ChosenEndpoint;
pub use self::groups::GroupView;
pub use self::groups::ListedRank;
pub use self::preview::Preview;
use crate::reload::LiveSettings;
use crate::settings::Settings;

/// Age beyond which a peer's report of slow endpoints is ignored.
const PACE_AGE_MAX: Duration = Duration::from_millis(2_500);

/// A connection that is open but carries no request.
struct IdleConnection {
    channel: Channel,
    expires_at: Duration,
}

/// Data of an endpoint that the table does not hold.
#[derive(Default)]
struct EndpointExtras {
    idle: Vec<IdleConnection>,
    /// Hash of the endpoint's name, which identifies the endpoint in news.
    name_hash: u64,
    /// Why the limit that the endpoint's last answer named is ignored.
    ignored_limit: Option<LimitError>,
    /// Why the time that the endpoint's last rejection asked for is ignored.
    ignored_wait: Option<WaitError>,
}

struct State {
    /// What is known of the endpoints, by which requests are allowed.
    standings: Standings,
    loads: Loads,
    /// Hash of this gateway, by which the others order it.
    hash: u64,
    /// Time at which the log last said that free slots were left to other gateways.
    left_logged: Duration,
    /// What was last reported of the work of other gateways.
    reports: Reports,
    /// Time of the last choice of the reports to count.
    counted_at: Duration,
    /// Extras by the index of the endpoint's key.
    extras: Vec<EndpointExtras>,
    by_hash: HashMap<u64, EndpointKey>,
    random: SmallRng,
    /// Position of this gateway among the live gateways in the order of their instances, and the
    /// number of live gateways.
    position: (usize, usize),
    /// Positions of the live gateways by their hashes.
    positions: HashMap<u64, usize>,
    /// Step lengths of each group, as observed from the pauses in its streams.
    steps: HashMap<String, StepTracker>,
    /// Slow endpoints as determined by this gateway's planner.
    local_paces: Vec<(EndpointKey, f64)>,
    /// Slow endpoints as last reported by the gateway that holds the planning duty, and the time
    /// of that report.
    peer_paces: (Duration, Vec<(EndpointKey, f64)>),
}

/// Handle to the endpoints, shared by the gateway's services.
#[derive(Clone)]
pub struct Endpoints {
    state: Arc<Mutex<State>>,
    settings: LiveSettings,
}

impl Endpoints {
    /// Creates an empty table for a gateway with these settings; `seed` seeds the random choice between
    /// endpoints.
    pub fn new(settings: LiveSettings, seed: u64) -> Self {
        let mut standings = Standings::new(settings.get().instance.to_string());
        standings.evacuations = Evacuations::new(settings.get().evacuation);
        let state = State {
            standings,
            loads: Loads::default(),
            hash: gateway_hash(settings.get().instance.as_str()),
            left_logged: Duration::ZERO,
            reports: Reports::default(),
            counted_at: Duration::ZERO,
            extras: Vec::new(),
            by_hash: HashMap::new(),
            random: SmallRng::seed_from_u64(seed),
            position: (0, 1),
            positions: HashMap::new(),
            steps: HashMap::new(),
            local_paces: Vec::new(),
            peer_paces: (Duration::ZERO, Vec::new()),
        };
        Self { state: Arc::new(Mutex::new(state)), settings }
    }

    /// Replaces the whole list.
    pub fn replace(&self, list: Vec<Endpoint>, now: Duration) {
        let mut state = self.lock();
        // The first list has endpoints that may have started long ago.
        let first = state.standings.table.is_empty();
        for (key, change) in state.standings.table.replace(list, now) {
            state.apply_change(key, change, now);
            state.observe_cold(key, change, !first, now);
        }
    }

    /// Adds or updates an endpoint from one entry of the list.
    pub fn upsert(&self, endpoint: Endpoint, now: Duration) {
        let mut state = self.lock();
        let (key, change) = state.standings.table.upsert(endpoint);
        state.apply_change(key, change, now);
        state.observe_cold(key, change, true, now);
    }

    /// Records that the list no longer contains an endpoint, or that its entry cannot be decoded.
    pub fn remove(&self, name: &str, now: Duration) -> EndpointChange {
        let mut state = self.lock();
        let change = state.standings.table.remove(name, now);
        if let Some(key) = state.standings.table.find(name) {
            state.apply_change(key, change, now);
        }
        change
    }

    /// Returns the names of endpoints whose list entries have lapsed and may be listed again.
    pub fn lapsed(&self) -> Vec<String> {
        self.lock().standings.table.lapsed().map(|(name, _)| name.to_string()).collect()
    }

    /// Returns whether a lapsed list entry was not listed again in time.
    pub fn has_overdue_lapse(&self, now: Duration) -> bool {
        self.lock().standings.table.lapsed().any(|(_, until)| until <= now)
    }

    /// Records that the store answered this gateway or another one at `at`.
    pub fn record_store_answer(&self, at: Duration) {
        self.lock().standings.table.record_store_answer(at);
    }

    /// Records that the store has returned from an older copy, whose list was read at `position`.
    pub fn record_store_restore(&self, position: Position, now: Duration) {
        self.lock().standings.table.record_store_restore(position, now);
    }

    /// Returns whether an entry that was written at `written` is an older copy's, as [`Table::is_outdated`] tells.
    pub fn is_outdated(&self, endpoint: &Endpoint, written: Position) -> bool {
        self.lock().standings.table.is_outdated(endpoint, written)
    }

    /// Returns the number of endpoints ever listed.
    pub fn len(&self) -> usize {
        self.lock().standings.table.len()
    }

    /// Returns true if no endpoint was ever listed.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sets the position of this gateway among the live gateways, and the hashes of these in order.
    pub fn set_position(&self, position: usize, order: &[u64]) {
        let mut state = self.lock();
        state.position = (position, order.len());
        let hashes = order.iter().enumerate();
        state.positions = hashes.map(|(position, hash)| (*hash, position)).collect();
    }

    /// Returns when a service may take a request that must not be sent to the endpoints in `exclude`, nor
    /// outside of `homes`, whether or not the groups of the others accept requests.
    pub fn outlook(
        &self,
        service: &str,
        exclude: &[EndpointKey],
        homes: &Homes,
        now: Duration,
    ) -> Outlook {
        let settings = self.settings.get();
        let standings = &self.lock().standings;
        if homes.is_any() {
            return standings.outlook(service, exclude, settings.drain, now);
        }
        let outside = |key: &EndpointKey| !is_home(standings, &settings, homes, *key);
        let mut barred: Vec<EndpointKey> = standings.table.usable(service, now).collect();
        barred.retain(outside);
        barred.extend_from_slice(exclude);
        standings.outlook(service, &barred, settings.drain, now)
    }

    /// Returns why a request that was placed at an endpoint may no longer be sent to it; `None` if it may.
    pub fn bar_to_send(&self, key: EndpointKey, now: Duration) -> Option<Bar> {
        let drain = self.settings.get().drain;
        self.lock().standings.bar_to_send(key, drain, now)
    }

    /// Records that the answer to a request started.
    pub fn start_answer(&self, key: EndpointKey, prompt: u32) {
        self.lock().loads.start_answer(key, prompt);
    }

    /// Records that a request ended; `prompt` is zero if the answer had started.
    pub fn finish(&self, key: EndpointKey, prompt: u32) {
        self.lock().loads.finish(key, prompt);
    }

    /// Records a complete answer from an endpoint.
    pub fn record_success(&self, key: EndpointKey, now: Duration) {
        self.lock().standings.health.record_success(key, now);
    }

    /// Records a failure that is attributed to the endpoint, and ejects the service's outliers.
    pub fn record_failure(&self, key: EndpointKey, now: Duration) {
        let mut state = self.lock();
        state.standings.health.record_failure(key, now);
        let service = state.standings.table.get(key).map(|record| record.endpoint.service.clone());
        if let Some(service) = service {
            state.eject_outliers(&service, now);
        }
    }

    /// Ejects the outliers of all services, judged by the counts of all gateways.
    pub fn eject_all_outliers(&self, now: Duration) {
        let mut state = self.lock();
        let services: Vec<String> = state.standings.table.services().map(str::to_string).collect();
        for service in services {
            state.eject_outliers(&service, now);
        }
    }

    /// Disables an endpoint whose address turned out to be used by another endpoint.
    pub fn disable(&self, key: EndpointKey) {
        let mut state = self.lock();
        state.standings.table.disable(key);
        state.extras[key.index()].idle.clear();
    }

    /// Returns whether the list entry of an endpoint allows new work at `now`, whether or not the
    /// endpoint's group accepts requests.
    pub fn is_usable(&self, key: EndpointKey, now: Duration) -> bool {
        self.lock().standings.table.is_usable(key, now)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a request with `homes` may be sent to an endpoint.
fn is_home(standings: &Standings, settings: &Settings, homes: &Homes, key: EndpointKey) -> bool {
    let centre = || standings.table.get(key).map(|record| record.endpoint.centre.as_str());
    homes.is_any() || homes.allows(centre().and_then(|centre| settings.region_of(centre)))
}

impl State {
    /// Updates the extras and health of an endpoint after a change of the table, and logs the
    /// change.
    fn apply_change(&mut self, key: EndpointKey, change: EndpointChange, now: Duration) {
        while self.extras.len() < self.standings.table.len() {
            let key = Table::key_at(self.extras.len());
            let name = self.standings.table.get(key).map_or("", |record| &record.endpoint.name);
            let name_hash = rendezvous_weight("endpoint", name);
            self.by_hash.insert(name_hash, key);
            self.extras.push(EndpointExtras { name_hash, ..EndpointExtras::default() });
        }
        let Some(record) = self.standings.table.get(key) else { return };
        let extras = &mut self.extras[key.index()];
        match change {
            EndpointChange::Same => return,
            EndpointChange::Restarted => {
                extras.idle.clear();
                self.standings.health.reset(key);
                self.standings.limits.reset(key);
                self.standings.notices.reset(key);
            }
            EndpointChange::Removed => extras.idle.clear(),
            EndpointChange::Added | EndpointChange::Changed | EndpointChange::Lapsed => {}
        }
        let endpoint = &record.endpoint;
        info!(
            "event=endpoint change={change:?} endpoint={} service={} address={} born={} at_ms={}",
            endpoint.name,
            endpoint.service,
            endpoint.address,
            endpoint.born,
            now.as_millis()
        );
    }

    fn group_of(&self, key: EndpointKey) -> Option<&str> {
        let member = self.standings.table.get(key)?.endpoint.member.as_ref()?;
        Some(&member.group)
    }

    /// Ejects the endpoints of a service that fail more often than the others, and logs each of
    /// them.
    fn eject_outliers(&mut self, service: &str, now: Duration) {
        let keys: Vec<EndpointKey> = self.standings.table.accepting(service, now).collect();
        for (key, counts) in self.standings.health.eject_outliers(&keys, now) {
            let name = self.standings.table.get(key).map_or("", |record| &record.endpoint.name);
            info!(
                "event=endpoint_ejected endpoint={name} failed={} ended={} at_ms={}",
                counts.failed,
                counts.ended,
                now.as_millis()
            );
        }
    }

    /// Returns the factor by which an endpoint is slower than it should be; 1 if it is not slower.
    /// The local planner's report takes precedence over that of a peer.
    fn pace(&self, key: EndpointKey, now: Duration) -> f64 {
        let (at, paces) = &self.peer_paces;
        let reported = if now.saturating_sub(*at) <= PACE_AGE_MAX { paces.as_slice() } else { &[] };
        let known = self.local_paces.iter().chain(reported).find(|(other, _)| *other == key);
        known.map_or(1.0, |(_, pace)| *pace)
    }
}
