//! Plans the expert maps of groups under leases.
//!
//! Each group has a lease. The entry that holds the lease queries the agent of the group's gate for
//! demand and orders a switch when a new map is worth its cost. Rendezvous hashing determines which
//! entry tries first. The conditional write of the lease decides which entry plans, and the fencing
//! number makes orders of an earlier holder harmless.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bw_duty::LeaseCandidate;
use bw_duty::LeaseStep;
use bw_expert::policy::Plan;
use bw_expert::policy::Planner;
use bw_expert::policy::Tuning;
use bw_expert::GroupReport;
use bw_expert::Order;
use bw_expert::OrderReply;
use bw_kernel::Stop;
use bw_model::fleet::Endpoint;
use bw_model::hash::rendezvous_order;
use bw_model::Fence;
use bw_platform::LeaseObject;
use bw_platform::Purpose;
use bw_platform::Store;
use bw_platform::StoreError;
use bw_proto::AgentReply;
use bw_proto::AgentRequest;
use log::warn;

use crate::agents::Agents;
use crate::config::Config;
use crate::config::CurrentConfig;
use crate::decisions::Decisions;
use crate::members::Members;

/// Length of a lease term, in plan intervals.
const TERM_INTERVALS: u32 = 6;
/// Additional delay of each later candidate before it tries to take the lease, in plan intervals.
const DELAY_INTERVALS: u32 = 1;
/// Number of entries that compete for the lease of a group.
const CANDIDATES: usize = 3;
const AGENT_TIMEOUT: Duration = Duration::from_secs(2);
/// Expected duration of a demand pattern.
const HORIZON: Duration = Duration::from_secs(900);
/// Maximum number of moves in one plan; the weight store delivers their bytes at its own rate.
const MOVES_MAX: usize = 64;

/// Plans for the groups whose leases this entry holds.
pub struct PlanService {
    /// Instance of this entry.
    pub instance: String,
    /// Time between two plans; zero disables planning.
    pub interval: Duration,
    /// Object store that holds the leases.
    pub store: Store,
    /// Calls to the agents of the gates.
    pub agents: Agents,
    /// Configuration with the groups to plan for.
    pub config: Config,
    /// Membership, from which the candidates for a lease follow.
    pub members: Members,
    /// Record of lease writes and plans.
    pub decisions: Decisions,
}

/// A group for which this entry plans or may take over planning.
struct PlannedGroup {
    candidate: LeaseCandidate,
    planner: Planner,
    lease: LeaseObject,
}

impl PlanService {
    /// Plans at each interval until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        let mut groups = HashMap::new();
        if self.interval.is_zero() {
            stop.wait().await;
            return Ok(());
        }
        loop {
            tokio::select! {
                () = tokio::time::sleep(self.interval) => {}
                () = stop.wait() => return Ok(()),
            }
            if let Some(current) = self.config.current() {
                self.plan_all(&current, &mut groups).await;
            }
        }
    }

    async fn plan_all(&self, current: &CurrentConfig, groups: &mut HashMap<String, PlannedGroup>) {
        let names = self.members.live_entries_all(&current.fleet);
        for (_, endpoint) in current.fleet.endpoints.iter() {
            if endpoint.shape.is_none() {
                continue;
            }
            let name = endpoint.name.as_str();
            let order = rendezvous_order(name, names.iter().map(String::as_str));
            let mut candidates = order.iter().take(CANDIDATES);
            let Some(position) = candidates.position(|name| *name == self.instance) else {
                groups.remove(name);
                continue;
            };
            let tuning = planner_tuning(current);
            let planned = groups.entry(name.to_string()).or_insert_with(|| {
                let delay = self.interval * DELAY_INTERVALS * position as u32;
                let term = self.interval * TERM_INTERVALS;
                PlannedGroup {
                    candidate: LeaseCandidate::new(self.instance.clone(), term, delay),
                    planner: Planner::new(tuning),
                    lease: LeaseObject::new(format!("plan-{name}")),
                }
            });
            planned.planner.set_tuning(tuning);
            match self.acquire_lease(name, planned).await {
                Ok(Some(fence)) => self.plan_group(current, endpoint, planned, fence).await,
                Ok(None) => {}
                Err(error) => warn!("event=lease_unsettled group={name} reason=\"{error}\""),
            }
        }
    }

    /// Reads, takes over or renews the lease. Returns the fencing number while this entry holds it.
    async fn acquire_lease(
        &self,
        group: &str,
        planned: &mut PlannedGroup,
    ) -> Result<Option<Fence>, StoreError> {
        let now = self.members.now();
        if planned.candidate.fence(now).is_none() {
            let lease = planned.lease.read(&self.store, Purpose::Lease).await?;
            planned.candidate.observe(lease, planned.lease.era(), now);
        }
        if let LeaseStep::Write(lease) = planned.candidate.step(now) {
            match planned.lease.write(&self.store, &lease).await {
                Ok(true) => {
                    let fence = lease.fence;
                    let line = format!(
                        "event=lease_written group={group} holder={} fence={fence} renewal={}",
                        self.instance, lease.renewal
                    );
                    self.decisions.record(group, line);
                    planned.candidate.confirm_write(lease, now);
                }
                // Another entry has written the lease, the answer to this entry's write was lost, or
                // the store was restored. The lease is read again at the next interval.
                Ok(false) | Err(StoreError::Conflict | StoreError::Unknown(_)) => {
                    planned.candidate.observe(None, planned.lease.era(), now);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(planned.candidate.fence(self.members.now()))
    }

    async fn plan_group(
        &self,
        current: &CurrentConfig,
        endpoint: &Endpoint,
        planned: &mut PlannedGroup,
        fence: Fence,
    ) {
        let Some(gate) = endpoint.gate() else { return };
        let agent = current.fleet.instances[gate].link;
        let Some(report) = self.query_demand(agent).await else { return };
        planned.planner.add_report(&report.demand);
        let Some(map) = report.map.filter(|_| !report.busy) else { return };
        let now = self.members.now();
        let Some(plan) = planned.planner.plan(&map, now) else { return };
        let order = Order { fence, map: plan.map.clone() };
        let reply = self.agents.call(agent, &AgentRequest::Order(order), AGENT_TIMEOUT).await;
        let result = match reply {
            Ok(AgentReply::Order(reply)) => {
                if matches!(reply, OrderReply::Begun(_)) {
                    planned.planner.record_switch(now);
                }
                format!("{reply:?}")
            }
            Ok(_) => "unfit".to_string(),
            Err(error) => error.to_string(),
        };
        self.record_plan(endpoint.name.as_str(), current, &plan, fence, &result);
    }

    async fn query_demand(&self, agent: SocketAddr) -> Option<GroupReport> {
        match self.agents.call(agent, &AgentRequest::Demand, AGENT_TIMEOUT).await {
            Ok(AgentReply::Demand(report)) => Some(report),
            _ => None,
        }
    }

    fn record_plan(
        &self,
        group: &str,
        current: &CurrentConfig,
        plan: &Plan,
        fence: Fence,
        result: &str,
    ) {
        let cost = current.fleet.balance.move_price * plan.moves as f64;
        let line = format!(
            "event=place group={group} fence={fence} skew_before={:.3} skew_after={:.3} moves={} \
             cost_seconds={cost:.1} result=\"{result}\"",
            plan.before, plan.after, plan.moves
        );
        self.decisions.record(group, line);
    }
}

fn planner_tuning(current: &CurrentConfig) -> Tuning {
    let balance = current.fleet.balance;
    Tuning {
        move_price: balance.move_price,
        switch_interval: Duration::from_secs_f64(balance.switch_interval),
        horizon: HORIZON,
        moves: MOVES_MAX,
    }
}
