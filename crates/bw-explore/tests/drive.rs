//! Exploration of map switches by remote commands: small configurations exhaustively, larger ones
//! up to a number of states and by random walks.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_explore::drive::AnyArm;
use bw_explore::drive::AnyVersion;
use bw_explore::drive::CheckedSharedRank;
use bw_explore::drive::DriveModel;
use bw_explore::drive::DriveRules;
use bw_explore::drive::Faults;
use bw_explore::drive::Fenced;
use bw_explore::drive::FencedLostLeases;
use bw_explore::drive::LostLeases;
use bw_explore::drive::NoClaim;
use bw_explore::drive::NoHold;
use bw_explore::drive::NoSuperseding;
use bw_explore::drive::PartialReports;
use bw_explore::drive::Restored;
use bw_explore::drive::ReusedLease;
use bw_explore::drive::SharedRank;
use bw_explore::drive::UncheckedLostLeases;
use bw_explore::drive::Unfenced;
use bw_explore::explore;
use bw_explore::search::walk_end;
use bw_explore::walk;
use bw_explore::Model;

const STATES_MAX: usize = 150_000;
const STATES_ALL: usize = 1_000_000;
const WALKS_MAX: u64 = 50_000;

/// One driver and one switch without faults.
const NO_FAULTS: Faults = Faults { timeouts: 0, takeovers: 0, restarts: 0, steps: 2, switches: 1 };

#[test]
fn small_groups_are_explored_to_the_end_with_each_fault() {
    let cases = [
        (3, NO_FAULTS),
        (3, Faults { timeouts: 2, ..NO_FAULTS }),
        (3, Faults { restarts: 1, ..NO_FAULTS }),
        (2, Faults { takeovers: 1, ..NO_FAULTS }),
        (2, Faults { takeovers: 1, timeouts: 1, steps: 1, ..NO_FAULTS }),
    ];
    for (ranks, faults) in cases {
        let exploration = explore(DriveModel::<Unfenced>::new(ranks, faults), STATES_ALL);
        assert_eq!(exploration.violation(), None, "{faults:?}: {:#?}", exploration.counterexample);
        assert!(exploration.complete, "{faults:?}: cut off after {} states", exploration.states);
    }
}

/// Explores cases with several faults at once up to a number of states.
fn explore_mixed_faults<R>()
where
    R: DriveRules + std::fmt::Debug,
{
    let cases = [
        Faults { timeouts: 2, takeovers: 1, ..NO_FAULTS },
        Faults { timeouts: 1, takeovers: 1, switches: 2, steps: 3, ..NO_FAULTS },
        Faults { timeouts: 1, takeovers: 1, restarts: 1, steps: 3, ..NO_FAULTS },
        Faults { timeouts: 2, switches: 2, steps: 3, ..NO_FAULTS },
    ];
    for faults in cases {
        let exploration = explore(DriveModel::<R>::new(3, faults), STATES_MAX);
        assert_eq!(exploration.violation(), None, "{faults:?}: {:#?}", exploration.counterexample);
        assert!(
            exploration.complete || exploration.states >= 100_000,
            "only {} states",
            exploration.states
        );
    }
}

#[test]
fn no_order_of_faults_starts_a_step_with_two_maps() {
    explore_mixed_faults::<Unfenced>();
}

#[test]
fn no_order_of_faults_starts_a_step_with_two_maps_where_fencing_is_enforced() {
    explore_mixed_faults::<Fenced>();
}

#[test]
fn long_walks_with_many_faults_keep_one_map() {
    let faults = Faults { timeouts: 6, takeovers: 2, restarts: 1, steps: 8, switches: 4 };
    for seed in 0..4_000 {
        let path = walk(DriveModel::<Unfenced>::new(5, faults), seed, 600);
        let violation = path.as_ref().and_then(|path| path.last()?.violation());
        assert_eq!(violation, None, "seed {seed}: {path:#?}");
    }
}

#[test]
fn a_switch_comes_into_force_when_nothing_fails() {
    // A random walk starts steps at any time, so many walks pass the first step of the new map
    // before all ranks are armed.
    let faults = Faults { steps: 10, ..NO_FAULTS };
    let model = DriveModel::<Unfenced>::new(3, faults);
    let switched = (0..500).any(|seed| walk_end(model.clone(), seed, 200).has_switched());
    assert!(switched);
}

/// Returns true if the exploration or a random walk finds a counterexample for a faulty variant.
fn is_caught<R>(faults: Faults) -> bool
where
    R: DriveRules,
{
    let model = DriveModel::<R>::new(3, faults);
    let walked = (0..WALKS_MAX).any(|seed| {
        let path = walk(model.clone(), seed, 400);
        path.and_then(|path| path.last()?.violation()).is_some()
    });
    walked || explore(model, STATES_ALL).violation().is_some()
}

/// Two drivers with a late command each.
const TAKEOVER: Faults = Faults { timeouts: 3, takeovers: 1, steps: 4, switches: 2, ..NO_FAULTS };

#[test]
fn ranks_that_start_held_steps_are_caught() {
    assert!(is_caught::<NoHold>(NO_FAULTS));
}

#[test]
fn ranks_that_arm_any_version_are_caught() {
    assert!(is_caught::<AnyArm>(TAKEOVER));
}

#[test]
fn ranks_that_prepare_any_version_are_caught() {
    assert!(is_caught::<AnyVersion>(Faults { switches: 4, ..TAKEOVER }));
}

/// Safety does not rest on reports: a driver that sees no armed map and no hold still prepares a
/// version at every rank before it arms one, and armed ranks refuse that.
#[test]
fn reports_that_omit_armed_maps_mix_no_maps() {
    let exploration = explore(DriveModel::<PartialReports>::new(3, TAKEOVER), STATES_MAX);
    assert!(!exploration.violation().is_some_and(|found| found.contains("two maps")));
    for seed in 0..5_000 {
        let path = walk(DriveModel::<PartialReports>::new(3, TAKEOVER), seed, 400);
        let violation = path.and_then(|path| path.last()?.violation());
        let mixed = violation.is_some_and(|found| found.contains("two maps"));
        assert!(!mixed, "seed {seed}");
    }
}

#[test]
fn drivers_that_hold_at_the_same_rank_are_caught() {
    assert!(is_caught::<SharedRank>(TAKEOVER));
}

#[test]
fn drivers_that_cancel_a_switch_without_their_own_hold_are_caught() {
    assert!(is_caught::<NoClaim>(TAKEOVER));
}

#[test]
fn drivers_that_only_disarm_a_cancelled_switch_are_caught() {
    assert!(is_caught::<NoSuperseding>(TAKEOVER));
}

/// A store that returns from an older copy hands the number of a lease out again. Drivers that follow it
/// issue the same versions for different maps, and hold at the same rank.
#[test]
fn drivers_with_the_same_lease_are_caught() {
    assert!(is_caught::<ReusedLease>(TAKEOVER));
}

#[test]
fn drivers_that_acquire_their_leases_in_different_eras_of_the_store_mix_no_maps() {
    explore_mixed_faults::<Restored>();
}

/// The store returns without the lease of a driver whose release is still under way. A new driver that has
/// heard of nobody starts to count the holders again and would hold at the same rank.
#[test]
fn drivers_whose_leases_the_store_has_lost_mix_no_maps() {
    explore_mixed_faults::<LostLeases>();
    explore_mixed_faults::<FencedLostLeases>();
    walk_mixed_faults::<LostLeases>(3);
    walk_mixed_faults::<LostLeases>(5);
}

#[test]
fn drivers_that_do_not_check_their_rank_after_a_loss_are_caught() {
    assert!(is_caught::<UncheckedLostLeases>(TAKEOVER));
}

/// Counts of holders repeat after as many leases as the group has ranks.
#[test]
fn drivers_that_find_their_rank_in_use_mix_no_maps() {
    explore_mixed_faults::<CheckedSharedRank>();
    walk_mixed_faults::<CheckedSharedRank>(3);
}

/// Walks with several takeovers and late commands.
fn walk_mixed_faults<R>(ranks: u16)
where
    R: DriveRules + std::fmt::Debug,
{
    let faults = Faults { timeouts: 4, takeovers: 2, restarts: 0, steps: 6, switches: 3 };
    for seed in 0..10_000 {
        let path = walk(DriveModel::<R>::new(ranks, faults), seed, 400);
        let violation = path.as_ref().and_then(|path| path.last()?.violation());
        assert_eq!(violation, None, "seed {seed}: {path:#?}");
    }
}
