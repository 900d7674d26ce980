//! What ranks say they hold is checked before the planner uses it.

use std::time::Duration;

use bw_expert::policy::held::complete_map;
use bw_expert::policy::held::HeldError;
use bw_expert::policy::held::HeldSets;
use bw_expert::policy::held::MapShape;
use bw_expert::policy::held::RankLists;
use bw_expert::policy::maps::MapSearch;
use bw_expert::policy::replicas::Placement;
use bw_expert::policy::replicas::RankExperts;
use bw_expert::policy::replicas::RankLimits;
use bw_expert::policy::Planner;
use bw_expert::policy::Tuning;
use bw_expert::ExpertMap;
use proptest::prelude::*;

const SHAPE: MapShape = MapShape { sets: 2, experts: 8 };
const RANKS: usize = 4;

/// Returns what a rank holds in the initial map.
fn initial(rank: usize) -> Vec<RankExperts> {
    let placement = Placement::round_robin(RANKS, SHAPE.experts);
    vec![placement.ranks[rank].clone(); SHAPE.sets]
}

fn check(sets: Vec<RankExperts>) -> Result<HeldSets, HeldError> {
    HeldSets::try_from(RankLists { shape: SHAPE, sets })
}

/// Guards against a planner that ends with an index out of bounds when a digit in a rank's list is wrong.
#[test]
fn a_list_with_an_expert_that_does_not_exist_is_rejected() {
    let mut sets = initial(1);
    sets[1][0] = 8;
    assert_eq!(check(sets), Err(HeldError::Unknown { set: 1, expert: 8 }));
}

#[test]
fn a_list_of_another_shape_is_rejected() {
    assert_eq!(check(initial(0)[..1].to_vec()), Err(HeldError::Sets(1)));
    let mut sets = initial(1);
    sets[0][1] = 1;
    assert_eq!(check(sets), Err(HeldError::Repeated { set: 0, expert: 1 }));
}

/// Guards against maps sent to the ranks in which a wrong digit has taken an expert's only holder.
#[test]
fn a_map_in_which_an_expert_has_no_holder_is_rejected() {
    let mut ranks: Vec<HeldSets> = (0..RANKS).map(|rank| check(initial(rank)).unwrap()).collect();
    let complete = |ranks: &[HeldSets]| complete_map(&ranks.iter().collect::<Vec<_>>(), SHAPE);
    let round_robin = Placement::round_robin(RANKS, SHAPE.experts);
    assert_eq!(complete(&ranks), Ok(vec![round_robin.clone(), round_robin]));
    let mut sets = initial(2);
    sets[0][0] = 3;
    ranks[2] = check(sets).unwrap();
    assert_eq!(complete(&ranks), Err(HeldError::Unheld { set: 0, expert: 2 }));
}

/// Guards against an entry that ends with an index out of bounds because the map that an engine says it uses has an
/// expert that does not exist.
#[test]
fn a_map_that_does_not_fit_its_group_is_not_planned_with() {
    let tuning = Tuning {
        move_price: 0.0,
        switch_interval: Duration::ZERO,
        horizon: Duration::from_secs(900),
        moves: 4,
    };
    let mut planner = Planner::new(tuning);
    for _ in 0..4 {
        planner.add_report(&[vec![1, 1, 1_000, 1]]);
    }
    let map = ExpertMap::initial(2, 3, 1, 4);
    let now = Duration::from_secs(60);
    assert!(planner.plan(&map, now).is_some());
    let mut other = map.clone();
    other.layers[0].experts[5] = 4;
    assert_eq!(planner.plan(&other, now), None);
    let mut other = map;
    other.layers[0].shares.pop();
    assert_eq!(planner.plan(&other, now), None);
}

proptest! {
    /// Guards against any list that passes the checks and ends the planner all the same.
    #[test]
    fn whatever_ranks_list_is_rejected_or_can_be_planned_with(
        lists in prop::collection::vec(
            prop::collection::vec(prop::collection::vec(0u16..10, 0..5), 1..4),
            RANKS,
        ),
        demand in prop::collection::vec(0.0..1.0f64, SHAPE.experts),
    ) {
        let initial = (0..RANKS).map(|rank| check(initial(rank)).unwrap());
        let ranks: Vec<HeldSets> = lists
            .into_iter()
            .zip(initial)
            .map(|(sets, initial)| {
                check(sets.into_iter().map(RankExperts::from_vec).collect()).unwrap_or(initial)
            })
            .collect();
        if let Ok(map) = complete_map(&ranks.iter().collect::<Vec<_>>(), SHAPE) {
            let limits = RankLimits { capacity: 4, max_received: 2, copy_price: 0.0 };
            let demand = vec![demand; SHAPE.sets];
            let mut search = MapSearch::new(map, demand, vec![1.0; RANKS], limits);
            while search.step() {}
            search.add_reserves();
            prop_assert_eq!(search.finish().next.len(), SHAPE.sets);
        }
    }
}
