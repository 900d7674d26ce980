//! The router with what heartbeats tell it, and the retry budgets.

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

/// Time between two looks at the health of endpoints.
const REFRESH: Duration = Duration::from_millis(250);
/// Age of a load report when it arrives.
const REPORT_AGE: Duration = Duration::from_millis(20);

/// The router as all requests share it.
#[derive(Clone)]
pub struct Routing {
    router: Arc<Mutex<Router>>,
    budgets: Arc<Mutex<HashMap<String, RetryBudget>>>,
    members: Members,
    config: Config,
}

/// One own request at an endpoint; dropping it notes the end.
pub struct Sent {
    routing: Routing,
    slot: StateKey,
    whole: bool,
}

impl Routing {
    /// Routing over the members and the configuration.
    pub fn new(seed: u64, members: Members, config: Config) -> Self {
        let router = Arc::new(Mutex::new(Router::new(seed)));
        Self { router, budgets: Arc::default(), members, config }
    }

    /// The router.
    pub fn lock(&self) -> MutexGuard<'_, Router> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Time since the process started.
    pub fn now(&self) -> Duration {
        self.members.now()
    }

    /// Notes that a request is sent to an endpoint.
    pub fn start(&self, slot: StateKey, blocks: &[u64]) -> Sent {
        self.lock().start(slot, blocks, self.now());
        Sent { routing: self.clone(), slot, whole: false }
    }

    /// Takes the load that an agent tells with its verdict, which is fresher than any digest.
    pub fn take_running(&self, slot: StateKey, running: u32) {
        let report = Report { measured_at: self.now(), load: running, slots: 0, service_ms: 0 };
        self.lock().report(slot, report);
    }

    /// Notes a failure that speaks against the endpoint.
    pub fn fail(&self, slot: StateKey) {
        let now = self.now();
        self.lock().record_failure(slot, now);
    }

    /// Takes one retry of the pool's budget; false when none is left.
    pub fn take_retry(&self, pool: &str) -> bool {
        self.budgets().entry(pool.to_string()).or_default().take()
    }

    /// Notes a whole answer of the pool.
    pub fn earn_retry(&self, pool: &str) {
        self.budgets().entry(pool.to_string()).or_default().record_success();
    }

    /// Takes the load and presence of new heartbeats.
    pub fn take_beats(&self, beats: &[Heartbeat]) {
        let Some(current) = self.config.current() else {
            return;
        };
        for beat in beats {
            self.take_beat(&current.fleet, beat);
        }
    }

    /// Free slots expected in a pool.
    pub fn free_slots(&self, fleet: &Fleet, pool: PoolKey) -> f64 {
        self.lock().free_slots(fleet, pool)
    }

    /// Follows configuration and health until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        let mut watched = self.config.subscribe();
        let mut ticks = tokio::time::interval(REFRESH);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                changed = watched.changed() => {
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

    /// Takes the health of every endpoint's gate.
    fn refresh(&self) {
        let Some(current) = self.config.current() else {
            return;
        };
        let now = self.now();
        let fleet = &current.fleet;
        let roster = self.members.lock();
        let mut router = self.lock();
        for (key, endpoint) in fleet.endpoints.iter() {
            let (Some(slot), Some(gate)) = (router.state_key(key), endpoint.gate()) else {
                continue;
            };
            let name = fleet.instances[gate].name.as_str();
            let presence = match roster.agent_health(name, now) {
                Health::Live => Presence::Live,
                Health::Quiet => Presence::Quiet,
                Health::Leaving => Presence::Leaving,
                Health::Gone => Presence::Unknown,
            };
            let incarnation = roster.agent(name).map(|beat| beat.incarnation);
            router.set_presence(slot, presence, incarnation, now);
        }
    }

    fn take_beat(&self, fleet: &Fleet, beat: &Heartbeat) {
        let Some((instance, _)) = fleet.instance(&beat.instance) else {
            return;
        };
        let Some((endpoint, 0)) = fleet.endpoint_of(instance) else {
            return;
        };
        let now = self.now();
        let mut router = self.lock();
        let Some(slot) = router.state_key(endpoint) else {
            return;
        };
        let presence = if beat.leaving { Presence::Leaving } else { Presence::Live };
        router.set_presence(slot, presence, Some(beat.incarnation), now);
        if let Some(load) = beat.load {
            router.report(
                slot,
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

impl Sent {
    /// Notes that the answer was whole.
    pub fn succeed(&mut self) {
        self.whole = true;
    }
}

impl Drop for Sent {
    fn drop(&mut self) {
        let now = self.routing.now();
        self.routing.lock().end(self.slot, self.whole, now);
    }
}
