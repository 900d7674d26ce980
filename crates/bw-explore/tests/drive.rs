//! Exploration of map switches by remote commands: small configurations exhaustively, larger ones
//! up to a number of states and by random walks.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_explore::drive::DriveModel;
use bw_explore::drive::Faults;
use bw_explore::drive::NoFencing;
use bw_explore::drive::NoHold;
use bw_explore::drive::RankRules;
use bw_explore::drive::Sound;
use bw_explore::drive::StaleReports;
use bw_explore::explore;
use bw_explore::search::walk_end;
use bw_explore::walk;
use bw_explore::Model;

const STATES_MAX: usize = 150_000;
const STATES_ALL: usize = 1_000_000;

/// One driver and one switch without faults.
const NO_FAULTS: Faults = Faults { timeouts: 0, takeovers: 0, restarts: 0, steps: 2, switches: 1 };

#[test]
fn two_ranks_are_explored_to_the_end_with_each_fault() {
    let cases = [
        NO_FAULTS,
        Faults { timeouts: 2, ..NO_FAULTS },
        Faults { takeovers: 1, ..NO_FAULTS },
        Faults { restarts: 1, ..NO_FAULTS },
    ];
    for faults in cases {
        let exploration = explore(DriveModel::<Sound>::new(2, faults), STATES_ALL);
        assert_eq!(exploration.violation(), None, "{faults:?}: {:#?}", exploration.counterexample);
        assert!(exploration.complete, "{faults:?}: cut off after {} states", exploration.states);
    }
}

#[test]
fn no_order_of_faults_starts_a_step_with_two_maps() {
    let cases = [
        Faults { timeouts: 2, takeovers: 1, ..NO_FAULTS },
        Faults { timeouts: 1, takeovers: 1, restarts: 1, steps: 3, ..NO_FAULTS },
        Faults { timeouts: 2, switches: 2, steps: 3, ..NO_FAULTS },
    ];
    for faults in cases {
        let exploration = explore(DriveModel::<Sound>::new(3, faults), STATES_MAX);
        assert_eq!(exploration.violation(), None, "{faults:?}: {:#?}", exploration.counterexample);
        assert!(
            exploration.complete || exploration.states >= 100_000,
            "only {} states",
            exploration.states
        );
    }
}

#[test]
fn long_walks_with_many_faults_keep_one_map() {
    let faults = Faults { timeouts: 6, takeovers: 2, restarts: 1, steps: 8, switches: 4 };
    for seed in 0..2_000 {
        let path = walk(DriveModel::<Sound>::new(3, faults), seed, 400);
        let violation = path.as_ref().and_then(|path| path.last()?.violation());
        assert_eq!(violation, None, "seed {seed}: {path:#?}");
    }
}

#[test]
fn a_switch_comes_into_force_when_nothing_fails() {
    // A random walk starts steps at any time, so many walks pass the first step of the new map
    // before all ranks are armed.
    let faults = Faults { steps: 10, ..NO_FAULTS };
    let model = DriveModel::<Sound>::new(3, faults);
    let switched = (0..500).any(|seed| walk_end(model.clone(), seed, 200).has_switched());
    assert!(switched);
}

/// Returns true if the exploration finds a counterexample for ranks that break a rule.
fn is_caught<R>(faults: Faults) -> bool
where
    R: RankRules,
{
    explore(DriveModel::<R>::new(2, faults), STATES_ALL).violation().is_some()
}

#[test]
fn ranks_that_start_held_steps_are_caught() {
    assert!(is_caught::<NoHold>(NO_FAULTS));
}

#[test]
fn ranks_that_accept_commands_of_replaced_drivers_are_caught() {
    assert!(is_caught::<NoFencing>(Faults { timeouts: 1, takeovers: 1, ..NO_FAULTS }));
}

#[test]
fn reports_that_omit_armed_maps_are_caught() {
    assert!(is_caught::<StaleReports>(Faults { takeovers: 1, ..NO_FAULTS }));
}
