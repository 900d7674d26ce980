//! The shared router, updated from heartbeats and membership, and the retry budgets of the pools.

use std::collections::HashMap;
use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_kernel::Stop;
use bw_member::Health;
use bw_member::Heartbeat;
use bw_model::fleet::PoolKey;
use bw_model::Fleet;
use bw_route::load::Report;
use bw_route::router::Presence;
use bw_route::router::StateKey;
use bw_route::RetryBudget;
use bw_route::Router;

use crate::config::Config;
use crate::members::Members;

/// Interval at which the health of endpoints is updated in the router.
const REFRESH: Duration = Duration::from_millis(250);
/// Assumed age of a load report on arrival.
const REPORT_AGE: Duration = Duration::from_millis(20);

/// The router and the retry budgets, shared by all requests.
#[derive(Clone)]
pub struct Routing {
    router: Arc<Mutex<Router>>,
    budgets: Arc<Mutex<HashMap<String, RetryBudget>>>,
    members: Members,
    config: Config,
}

/// A request of this entry at an endpoint. Dropping the value records the end of the request.
pub struct InFlight {
    routing: Routing,
    state_key: StateKey,
    complete: bool,
}

impl Routing {
    /// Creates the routing over the members and the configuration; `seed` seeds the router.
    pub fn new(seed: u64, members: Members, config: Config) -> Self {
        let router = Arc::new(Mutex::new(Router::new(seed)));
        Self { router, budgets: Arc::default(), members, config }
    }

    /// Locks the router.
    pub fn lock(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the process started.
    pub fn now(&self) -> Duration {
        self.members.now()
    }

    /// Records that a request with these prefix blocks is sent to an endpoint.
    pub fn start(&self, state_key: StateKey, blocks: &[u64]) -> InFlight {
        self.lock().start(state_key, blocks, self.now());
        InFlight { routing: self.clone(), state_key, complete: false }
    }

    /// Records the load that an agent reports with its verdict, which is fresher than any digest.
    pub fn record_running(&self, state_key: StateKey, running: u32) {
        let report = Report { measured_at: self.now(), load: running, slots: 0, service_ms: 0 };
        self.lock().report(state_key, report);
    }

    /// Records a failure that counts towards the endpoint's ejection.
    pub fn record_failure(&self, state_key: StateKey) {
        let now = self.now();
        self.lock().record_failure(state_key, now);
    }

    /// Spends one retry of the pool's budget; returns false if none remains.
    pub fn try_spend_retry(&self, pool: &str) -> bool {
        self.budgets().entry(pool.to_string()).or_default().try_spend()
    }

    /// Records a complete answer in the pool's budget.
    pub fn record_success(&self, pool: &str) {
        self.budgets().entry(pool.to_string()).or_default().record_success();
    }

    /// Updates load and presence from new heartbeats.
    pub fn apply_heartbeats(&self, heartbeats: &[Heartbeat]) {
        let Some(current) = self.config.current() else {
            return;
        };
        for heartbeat in heartbeats {
            self.apply_heartbeat(&current.fleet, heartbeat);
        }
    }

    /// Returns the expected number of free slots of a pool.
    pub fn free_slots(&self, fleet: &Fleet, pool: PoolKey) -> f64 {
        self.lock().free_slots(fleet, pool)
    }

    /// Applies changes of the configuration and of health to the router until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        let mut receiver = self.config.subscribe();
        let mut ticks = tokio::time::interval(REFRESH);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = receiver.changed() => {
                    if changed.is_err() {
                        return Ok(());
                    }
                    self.set_fleet();
                }
                () = stop.wait() => return Ok(()),
            }
            self.refresh();
        }
    }

    fn set_fleet(&self) {
        let Some(current) = self.config.current() else {
            return;
        };
        self.members.set_fleet(&current.fleet);
        let region = self.members.region();
        self.lock().set_fleet(&current.fleet, self.members.centre(), &region);
    }

    /// Updates each endpoint's presence from the health of the agent at its gate.
    fn refresh(&self) {
        let Some(current) = self.config.current() else {
            return;
        };
        let now = self.now();
        let fleet = &current.fleet;
        let roster = self.members.lock();
        let mut router = self.lock();
        for (key, endpoint) in fleet.endpoints.iter() {
            let (Some(state_key), Some(gate)) = (router.state_key(key), endpoint.gate()) else {
                continue;
            };
            let name = fleet.instances[gate].name.as_str();
            let presence = match roster.agent_health(name, now) {
                Health::Live => Presence::Live,
                Health::Quiet => Presence::Quiet,
                Health::Leaving => Presence::Leaving,
                Health::Gone => Presence::Unknown,
            };
            let incarnation = roster.agent(name).map(|heartbeat| heartbeat.incarnation);
            router.set_presence(state_key, presence, incarnation, now);
        }
    }

    fn apply_heartbeat(&self, fleet: &Fleet, heartbeat: &Heartbeat) {
        let Some((instance, _)) = fleet.instance(&heartbeat.instance) else {
            return;
        };
        let Some((endpoint, 0)) = fleet.endpoint_of(instance) else {
            return;
        };
        let now = self.now();
        let mut router = self.lock();
        let Some(state_key) = router.state_key(endpoint) else {
            return;
        };
        let presence = if heartbeat.leaving { Presence::Leaving } else { Presence::Live };
        router.set_presence(state_key, presence, Some(heartbeat.incarnation), now);
        if let Some(load) = heartbeat.load {
            router.report(
                state_key,
                Report {
                    measured_at: now.saturating_sub(REPORT_AGE),
                    load: load.running + load.queued,
                    slots: load.slots,
                    service_ms: load.service,
                },
            );
        }
    }

    fn budgets(&self) -> MutexGuard<'_, HashMap<String, RetryBudget>> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl InFlight {
    /// Records that the answer was complete.
    pub fn succeed(&mut self) {
        self.complete = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let now = self.routing.now();
        self.routing.lock().end(self.state_key, self.complete, now);
    }
}
