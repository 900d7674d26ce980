//! Plans expert maps of groups under leases.
//!
//! Each group has a lease. The entry that holds it asks the group's gate agent for demand and
//! orders a switch when a new map is worth it. Rendezvous hashing says who tries first; the lease's
//! conditional write says who plans, and its fencing number makes a late planner harmless.

use std::collections::HashMap;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bw_duty::Lease;
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
use bw_platform::Object;
use bw_platform::Purpose;
use bw_platform::Store;
use bw_platform::StoreError;
use bw_proto::AgentReply;
use bw_proto::AgentRequest;
use log::warn;

use crate::agents::Agents;
use crate::config::Config;
use crate::config::Current;
use crate::decisions::Decisions;
use crate::members::Members;

/// Kind of lease objects.
const LEASES: &str = "leases";
/// Lease terms in plan intervals.
const TERM_INTERVALS: u32 = 6;
/// Extra wait of each later candidate, in plan intervals.
const PATIENCE_INTERVALS: u32 = 1;
/// Entries that stand ready to plan for a group.
const CANDIDATES: usize = 3;
const AGENT_LIMIT: Duration = Duration::from_secs(2);
/// Time for which a demand pattern is expected to last.
const HORIZON: Duration = Duration::from_secs(900);
/// Moves in one plan; the weight store gives their bytes at its own rate.
const MOVES_MAX: usize = 64;

/// Plans for the groups whose leases this entry holds.
pub struct PlanService {
    /// Instance of the entry.
    pub instance: String,
    /// Time between two plans; zero for no planning.
    pub interval: Duration,
    /// Object API.
    pub store: Store,
    /// Agents.
    pub agents: Agents,
    /// Configuration.
    pub config: Config,
    /// Membership.
    pub members: Members,
    /// Decisions.
    pub decisions: Decisions,
}

/// One group as this entry plans for it.
struct Duty {
    tenant: LeaseCandidate,
    planner: Planner,
    /// Revision of the lease object as last read or written; 0 where it does not exist.
    object: u64,
}

impl PlanService {
    /// Plans until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, mut stop: Stop) -> Result<(), Infallible> {
        let mut duties = HashMap::new();
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
                self.plan_all(&current, &mut duties).await;
            }
        }
    }

    async fn plan_all(&self, current: &Current, duties: &mut HashMap<String, Duty>) {
        let names = self.members.live_entries_all(&current.fleet);
        for (_, endpoint) in current.fleet.endpoints.iter() {
            if endpoint.shape.is_none() {
                continue;
            }
            let name = endpoint.name.as_str();
            let order = rendezvous_order(name, names.iter().map(String::as_str));
            let mut candidates = order.iter().take(CANDIDATES);
            let Some(place) = candidates.position(|one| *one == self.instance) else {
                duties.remove(name);
                continue;
            };
            let tuning = tuning_of(current);
            let duty = duties.entry(name.to_string()).or_insert_with(|| {
                let patience = self.interval * PATIENCE_INTERVALS * place as u32;
                let term = self.interval * TERM_INTERVALS;
                Duty {
                    tenant: LeaseCandidate::new(self.instance.clone(), term, patience),
                    planner: Planner::new(tuning),
                    object: 0,
                }
            });
            duty.planner.set_tuning(tuning);
            match self.hold_lease(name, duty).await {
                Ok(Some(fence)) => self.plan_group(current, endpoint, duty, fence).await,
                Ok(None) => {}
                Err(error) => warn!("event=lease_unsettled group={name} reason=\"{error}\""),
            }
        }
    }

    /// Reads, takes or renews the lease; returns the fencing number while it is held.
    async fn hold_lease(&self, group: &str, duty: &mut Duty) -> Result<Option<Fence>, StoreError> {
        let name = format!("plan-{group}");
        let now = self.members.now();
        if duty.tenant.fence(now).is_none() {
            let object = self.store.get(Purpose::Lease, LEASES, &name).await?;
            duty.object = object.as_ref().map_or(0, |object| object.revision);
            let lease = object.map(|object| object.content::<Lease>()).transpose()?;
            duty.tenant.observe(lease, now);
        }
        if let LeaseStep::Write(lease) = duty.tenant.step(now) {
            let object = Object::new(LEASES, &name, duty.object, &lease)?;
            match self.store.put(Purpose::Lease, &object).await {
                Ok(written) => {
                    duty.object = written.revision;
                    let fence = lease.fence;
                    let line = format!(
                        "event=lease_written group={group} holder={} fence={fence} renewal={}",
                        self.instance, lease.renewal
                    );
                    self.decisions.note(group, line);
                    duty.tenant.confirm_write(lease, now);
                }
                // Somebody else wrote, or an own write whose answer was lost: read it next time.
                Err(StoreError::Conflict | StoreError::Unknown(_)) => {
                    duty.tenant.observe(None, now);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(duty.tenant.fence(self.members.now()))
    }

    async fn plan_group(
        &self,
        current: &Current,
        endpoint: &Endpoint,
        duty: &mut Duty,
        fence: Fence,
    ) {
        let Some(gate) = endpoint.gate() else { return };
        let agent = current.fleet.instances[gate].link;
        let Some(report) = self.ask_demand(agent).await else { return };
        duty.planner.add_report(&report.demand);
        let Some(map) = report.map.filter(|_| !report.busy) else { return };
        let now = self.members.now();
        let Some(plan) = duty.planner.plan(&map, now) else { return };
        let order = Order { fence, map: plan.map.clone() };
        let reply = self.agents.call(agent, &AgentRequest::Order(order), AGENT_LIMIT).await;
        let result = match reply {
            Ok(AgentReply::Order(reply)) => {
                if matches!(reply, OrderReply::Begun(_)) {
                    duty.planner.record_switch(now);
                }
                format!("{reply:?}")
            }
            Ok(_) => "unfit".to_string(),
            Err(error) => error.to_string(),
        };
        self.note_plan(endpoint.name.as_str(), current, &plan, fence, &result);
    }

    async fn ask_demand(&self, agent: SocketAddr) -> Option<GroupReport> {
        match self.agents.call(agent, &AgentRequest::Demand, AGENT_LIMIT).await {
            Ok(AgentReply::Demand(report)) => Some(report),
            _ => None,
        }
    }

    fn note_plan(&self, group: &str, current: &Current, plan: &Plan, fence: Fence, result: &str) {
        let cost = current.fleet.balance.move_price * plan.moves as f64;
        let line = format!(
            "event=place group={group} fence={fence} skew_before={:.3} skew_after={:.3} moves={} \
             cost_seconds={cost:.1} result=\"{result}\"",
            plan.before, plan.after, plan.moves
        );
        self.decisions.note(group, line);
    }
}

fn tuning_of(current: &Current) -> Tuning {
    let balance = current.fleet.balance;
    Tuning {
        price: balance.move_price,
        pause: Duration::from_secs_f64(balance.switch_interval),
        horizon: HORIZON,
        moves: MOVES_MAX,
    }
}
