//! When to read counts, and which map to switch to.

use std::time::Duration;

use bw_expert::drive::Phase;
use bw_expert::policy::replicas::improve;
use bw_expert::policy::replicas::Placement;
use bw_expert::policy::replicas::RankLimits;
use bw_expert::policy::urgency::gain_needed;
use bw_expert::policy::urgency::is_low_load;
use bw_http::Client;
use bw_model::MapVersion;
use log::info;

use super::calls::read_counts;
use super::calls::read_held;
use super::calls::Call;
use super::calls::Event;
use super::group::Group;
use super::group::Sampling;
use super::PlanService;

/// Time between two readings of counts.
const SAMPLE_EVERY: Duration = Duration::from_millis(1_000);
/// The same while steps are so short that no map would follow.
const SAMPLE_CALM: Duration = Duration::from_millis(4_000);
/// Time between the two readings that show the new demand after steps have become longer.
const SAMPLE_SHIFT: Duration = Duration::from_millis(150);
/// Time after those to the one that shows it better.
const SAMPLE_REFINE: Duration = Duration::from_millis(400);
/// Part of the ranks that are read after a shift: one in so many.
const SHIFT_RANKS_PART: usize = 18;
/// Most ranks that are read then.
const SHIFT_RANKS_MAX: usize = 6;
/// Time between two readings of all ranks' reports.
const LOOK_EVERY: Duration = Duration::from_millis(1_500);
/// Time after counts were read or a switch was begun in which longer steps mean no shift.
const JUMP_CALM: Duration = Duration::from_millis(350);
/// Part of the mean load that a received expert has to save on the busiest rank of its set.
const COPY_PRICE: f64 = 0.015;
/// Shortest time between two switches.
const SWITCH_PAUSE: Duration = Duration::from_millis(300);

impl PlanService {
    /// Samples demand and begins a switch that is worth it.
    pub(super) fn plan(
        &self,
        group: &mut Group,
        client: &Client,
        now: Duration,
        calls: &mut Vec<Call>,
    ) {
        if group.map.is_none() {
            ask_held(group, client, calls);
            return;
        }
        if group.counting == 0 && group.driver.phase() == Phase::Idle {
            if let Some(moment) = group.sampling.moment() {
                if group.sampler.update_estimate(moment) {
                    group.sampling = group.sampling.next();
                    calls.extend(self.begin_plan(group, now));
                }
            }
        }
        if group.driver.phase() != Phase::Idle || group.planning {
            return;
        }
        if group.pending == 0 && now.saturating_sub(group.looked) >= LOOK_EVERY {
            group.looked = now;
            group.push_reports(client, calls);
        }
        if group.counting == 0 && self.is_sample_due(group, now) {
            group.sampled = now;
            ask_counts(group, client, calls);
        }
    }

    /// Whether counts should be read now; begins anew where demand has shifted.
    fn is_sample_due(&self, group: &mut Group, now: Duration) -> bool {
        let step = self.endpoints.step_length(&group.view.name, now);
        let since = now.saturating_sub(group.sampled);
        // Reading counts and copying experts make steps longer, too.
        let undisturbed = since >= JUMP_CALM && now.saturating_sub(group.switched) >= JUMP_CALM;
        match group.sampling {
            // Counts are asked for when a map may follow, and now and then to know demand.
            Sampling::Steady if is_low_load(step, group.pause) => since >= SAMPLE_CALM,
            Sampling::Steady
                if undisturbed && self.endpoints.has_step_jumped(&group.view.name, now) =>
            {
                group.sampling = Sampling::Rebase;
                true
            }
            Sampling::Steady => since >= SAMPLE_EVERY,
            // An idle group shows nothing, however often it is asked.
            _ if step.is_none() => since >= SAMPLE_EVERY,
            Sampling::Rebase | Sampling::Shifted => since >= SAMPLE_SHIFT,
            Sampling::Refining => since >= SAMPLE_REFINE,
        }
    }

    /// Begins to plan, if a switch may follow.
    fn begin_plan(&self, group: &mut Group, now: Duration) -> Option<Call> {
        let in_force = group.step.0 >= group.target;
        if !in_force || now.saturating_sub(group.switched) < SWITCH_PAUSE || group.planning {
            return None;
        }
        let (map, demand) = (group.map.clone()?, group.sampler.demand()?.to_vec());
        let room = RankLimits {
            capacity: group.shape.placements,
            max_received: group.shape.spare,
            copy_price: COPY_PRICE,
        };
        group.planning = true;
        let (name, paces) = (group.view.name.clone(), group.paces.clone());
        Some(Box::pin(make_plan(name, map, demand, paces, room)))
    }

    /// Switches to a planned map, unless it brings too little or the group has moved on.
    pub(super) fn take_plan(&self, group: &mut Group, plan: MapPlan, now: Duration) {
        group.planning = false;
        let step = self.endpoints.step_length(&group.view.name, now);
        let needed = gain_needed(step, group.pause);
        let same = group.map.as_ref() == Some(&plan.before);
        if !same || group.driver.phase() != Phase::Idle || plan.gain() < needed {
            return;
        }
        let received: usize =
            plan.next.iter().zip(&plan.before).map(|(next, set)| next.received(set)).sum();
        let copying = group.shape.bytes / group.shape.copy_rate.max(1.0);
        let most = most_received(&plan.next, &plan.before);
        group.copied = now + Duration::from_secs_f64(copying * most as f64);
        let version = MapVersion(group.driver.fence().0.max(group.driver.version().0 + 1));
        info!(
            "event=place group={} version={version} skew_before={:.3} skew_after={:.3} \
             received={received} step={} step_ms={}",
            group.view.name,
            plan.skew_before,
            plan.skew_after,
            group.step.0,
            step.unwrap_or_default().as_millis()
        );
        group.next = Some(plan.next);
        group.switched = now;
        group.driver.begin(version);
    }
}

/// Asks all ranks which experts they hold, unless they are being asked.
fn ask_held(group: &mut Group, client: &Client, calls: &mut Vec<Call>) {
    if group.pending > 0 {
        return;
    }
    group.reading.clear();
    for (rank, address) in group.view.addresses() {
        group.pending += 1;
        let name = group.view.name.clone();
        calls.push(Box::pin(read_held(client.clone(), name, rank, address)));
    }
}

/// Asks one rank for its counts, or some more after a shift.
fn ask_counts(group: &mut Group, client: &Client, calls: &mut Vec<Call>) {
    let ranks = match group.sampling {
        Sampling::Steady => 1,
        _ => (group.view.ranks.len() / SHIFT_RANKS_PART).clamp(1, SHIFT_RANKS_MAX),
    };
    for (rank, address) in group.view.addresses().into_iter().take(ranks) {
        group.counting += 1;
        let name = group.view.name.clone();
        calls.push(Box::pin(read_counts(client.clone(), name, rank, address)));
    }
}

/// A map that was planned, and what it was planned from.
pub struct MapPlan {
    pub before: Vec<Placement>,
    pub next: Vec<Placement>,
    pub skew_before: f64,
    pub skew_after: f64,
}

impl MapPlan {
    /// Part of the mean load that the new map saves on the busiest rank.
    pub fn gain(&self) -> f64 {
        self.skew_before - self.skew_after
    }
}

/// Plans set by set, and lets requests through in between.
async fn make_plan(
    group: String,
    before: Vec<Placement>,
    demand: Vec<Vec<f64>>,
    paces: Vec<f64>,
    room: RankLimits,
) -> Event {
    let sets = before.len().max(1) as f64;
    let (mut skew_before, mut skew_after) = (0.0, 0.0);
    let mut next = Vec::with_capacity(before.len());
    for (set, demand) in before.iter().zip(&demand) {
        let placement = improve(set, demand, &paces, room);
        skew_before += set.skew(demand, &paces) / sets;
        skew_after += placement.skew(demand, &paces) / sets;
        next.push(placement);
        tokio::task::yield_now().await;
    }
    Event::Planned(group, MapPlan { before, next, skew_before, skew_after })
}

/// Experts that the rank with the most of them receives, over all sets.
fn most_received(next: &[Placement], map: &[Placement]) -> usize {
    let ranks = next.first().map_or(0, |set| set.ranks.len());
    let received = |rank: usize| -> usize {
        let sets = next.iter().zip(map);
        let new = sets.map(|(next, set)| {
            let held = &set.ranks[rank];
            next.ranks[rank].iter().filter(|expert| !held.contains(expert)).count()
        });
        new.sum()
    };
    (0..ranks).map(received).max().unwrap_or(0)
}
