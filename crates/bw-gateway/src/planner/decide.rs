//! Decides when to read counts and which map to switch to.

use std::time::Duration;

use bw_adapter::engines;
use bw_expert::drive::Phase;
use bw_expert::policy::maps::MapPlan;
use bw_expert::policy::maps::MapSearch;
use bw_expert::policy::reading::ranks_to_read;
use bw_expert::policy::replicas::RankLimits;
use bw_expert::policy::urgency::gain_needed;
use bw_expert::policy::urgency::is_low_load;
use bw_http::Client;
use log::info;

use super::calls::read_counts;
use super::calls::Call;
use super::calls::Event;
use super::group::Group;
use super::group::Sampling;
use super::PlanService;

/// Interval between two reads of counts.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval between two reads of counts while steps are so short that no map can justify a
/// switch.
const SAMPLE_INTERVAL_LOW_LOAD: Duration = Duration::from_millis(4_000);
/// Interval between the two reads of counts that show the new demand after steps have become
/// longer.
const SAMPLE_INTERVAL_SHIFT: Duration = Duration::from_millis(150);
/// Time from the second read after steps have become longer to the read that refines the estimate
/// of the new demand.
const SAMPLE_INTERVAL_REFINE: Duration = Duration::from_millis(400);
/// Time after a read of counts or the start of a switch during which longer steps are not taken
/// for a shift of demand.
const JUMP_HOLDOFF: Duration = Duration::from_millis(350);
/// Load that each copied expert has to take from the busiest rank of its set, as a fraction of the
/// mean load.
const COPY_PRICE: f64 = 0.015;
/// Minimum time between the starts of two switches.
const SWITCH_INTERVAL_MIN: Duration = Duration::from_millis(300);

impl PlanService {
    /// Samples demand, and starts to compute a plan after each update of the estimate. While the
    /// map in use is unknown, only requests the held experts of the ranks.
    pub(super) fn plan(
        &self,
        group: &mut Group,
        client: &Client,
        now: Duration,
        calls: &mut Vec<Call>,
    ) {
        if group.map.is_none() {
            group.request_held_experts(client, now, calls);
            return;
        }
        if group.pending_counts == 0 && group.driver.phase() == Phase::Idle {
            if let Some(time) = group.sampling.sample_time() {
                if group.sampler.update_estimate(time) {
                    group.sampling = group.sampling.next();
                    calls.extend(self.start_plan(group, now));
                }
            }
        }
        if group.driver.phase() != Phase::Idle || group.planning {
            return;
        }
        if group.replan {
            calls.extend(self.start_plan(group, now));
        }
        if group.pending_counts == 0 && self.is_sample_due(group, now) {
            group.sampled_at = now;
            request_counts(group, client, calls);
        }
    }

    /// Returns whether counts should be read now, and starts a new baseline if demand has shifted.
    fn is_sample_due(&self, group: &mut Group, now: Duration) -> bool {
        let step = self.endpoints.step_length(&group.view.name, now);
        let sample_age = now.saturating_sub(group.sampled_at);
        // Reads of counts and copies of experts lengthen steps as well.
        let undisturbed =
            sample_age >= JUMP_HOLDOFF && now.saturating_sub(group.switched_at) >= JUMP_HOLDOFF;
        match group.sampling {
            // No map can justify a switch now, so an occasional read is enough to keep the estimate
            // current.
            Sampling::Steady if is_low_load(step, group.max_pause) => {
                sample_age >= SAMPLE_INTERVAL_LOW_LOAD
            }
            Sampling::Steady
                if undisturbed && self.endpoints.has_step_jumped(&group.view.name, now) =>
            {
                group.sampling = Sampling::Rebase;
                true
            }
            Sampling::Steady => sample_age >= SAMPLE_INTERVAL,
            // An idle group adds no counts, however often they are read.
            _ if step.is_none() => sample_age >= SAMPLE_INTERVAL,
            Sampling::Rebase | Sampling::Shift => sample_age >= SAMPLE_INTERVAL_SHIFT,
            Sampling::Refine => sample_age >= SAMPLE_INTERVAL_REFINE,
        }
    }

    /// Returns the computation of a plan if a switch may start now.
    fn start_plan(&self, group: &mut Group, now: Duration) -> Option<Call> {
        // Ranks refuse to prepare a map before the armed one is in use. The counts of a rank may show
        // a step that has not started yet, and the expected step may be ahead by one.
        let observed = self.endpoints.step_length(&group.view.name, now);
        let in_force = group.steps.last_step() > group.switch_step
            || group.steps.expected(observed, now) > group.switch_step.saturating_add(1);
        if !in_force
            || now.saturating_sub(group.switched_at) < SWITCH_INTERVAL_MIN
            || group.planning
        {
            return None;
        }
        let (map, demand) = (group.map.clone()?, group.sampler.demand()?.to_vec());
        let limits = RankLimits {
            capacity: group.shape.placements,
            max_received: group.shape.spare,
            copy_price: COPY_PRICE,
        };
        group.planning = true;
        group.replan = false;
        let (name, paces) = (group.view.name.clone(), group.paces.clone());
        Some(Box::pin(compute_plan(name, MapSearch::new(map, demand, paces, limits))))
    }

    /// Starts a switch to the planned map, unless the gain is too small, the map in use is no
    /// longer the one that the plan started from, or the driver is not idle.
    pub(super) fn apply_plan(&self, group: &mut Group, plan: MapPlan, now: Duration) {
        group.planning = false;
        let step = self.endpoints.step_length(&group.view.name, now);
        let needed = gain_needed(step, group.max_pause);
        let is_current = group.map.as_ref() == Some(&plan.before);
        if !is_current || group.driver.phase() != Phase::Idle || plan.gain() < needed {
            return;
        }
        let received = plan.received();
        let copy_time = group.shape.copy_time().saturating_mul(plan.received_most() as u32);
        group.copy_poll = now.saturating_add(copy_time);
        let Some(version) = group.driver.start_switch() else { return };
        info!(
            "event=place group={} version={version} skew_before={:.3} skew_after={:.3} \
             received={received} step={} step_ms={}",
            group.view.name,
            plan.skew_before,
            plan.skew_after,
            group.steps.last_step(),
            step.unwrap_or_default().as_millis()
        );
        group.replan |= plan.partial;
        group.next_map = Some(plan.next);
        group.switched_at = now;
    }
}

/// Requests the counts of one rank, or of several ranks after a shift of demand.
fn request_counts(group: &mut Group, client: &Client, calls: &mut Vec<Call>) {
    let ranks = match group.sampling {
        Sampling::Steady => 1,
        _ => {
            let counts = group.shape.sets * group.shape.experts;
            let rest = engines::REST_PER_COUNT * counts as u32;
            ranks_to_read(group.view.ranks.len(), rest, group.max_pause)
        }
    };
    for (rank, address) in group.view.addresses().into_iter().take(ranks) {
        group.pending_counts += 1;
        let name = group.view.name.clone();
        calls.push(Box::pin(read_counts(client.clone(), name, rank, address)));
    }
}

/// Plans one set after another, and yields after each so that planning does not delay requests.
async fn compute_plan(group: String, mut search: MapSearch) -> Event {
    while search.step() {
        tokio::task::yield_now().await;
    }
    search.add_reserves();
    Event::Planned(group, search.finish())
}
