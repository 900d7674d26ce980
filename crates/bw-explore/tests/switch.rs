//! Exploration of the map switch by messages: small configurations exhaustively, larger ones up to
//! a number of states and by random walks.

use bw_explore::explore;
use bw_explore::switch::Bounds;
use bw_explore::switch::NoHold;
use bw_explore::switch::NoIncarnation;
use bw_explore::switch::Sound;
use bw_explore::switch::SwitchModel;
use bw_explore::walk;
use bw_explore::Model;

const STATES_MAX: usize = 150_000;
const STATES_ALL: usize = 1_000_000;

/// Two steps without faults.
const NO_FAULTS: Bounds = Bounds {
    steps: 2,
    failovers: 0,
    restarts: 0,
    switches: 0,
    cancels: 0,
    duplicates: 0,
    resends: 0,
    queries: 0,
    old_coordinators: true,
};

#[test]
fn no_order_starts_a_step_with_two_maps() {
    let bounds =
        Bounds { failovers: 1, restarts: 1, duplicates: 1, resends: 1, queries: 1, ..NO_FAULTS };
    let exploration = explore(SwitchModel::<Sound>::prepared(3, bounds), STATES_MAX);
    assert_eq!(exploration.violation(), None, "{:#?}", exploration.counterexample);
    assert!(exploration.states >= 100_000, "only {} states", exploration.states);
}

#[test]
fn two_ranks_are_explored_to_the_end_with_each_fault() {
    let faults = [
        NO_FAULTS,
        Bounds { restarts: 1, ..NO_FAULTS },
        Bounds { cancels: 1, ..NO_FAULTS },
        Bounds { duplicates: 1, ..NO_FAULTS },
        Bounds { queries: 1, resends: 1, ..NO_FAULTS },
    ];
    for bounds in faults {
        let exploration = explore(SwitchModel::<Sound>::prepared(2, bounds), STATES_ALL);
        assert_eq!(exploration.violation(), None, "{bounds:?}: {:#?}", exploration.counterexample);
        assert!(exploration.complete, "{bounds:?}: cut off after {} states", exploration.states);
    }
}

#[test]
fn a_new_coordinator_is_explored_to_the_end() {
    let bounds = Bounds { failovers: 1, old_coordinators: false, ..NO_FAULTS };
    let exploration = explore(SwitchModel::<Sound>::decided(2, bounds), STATES_ALL);
    assert_eq!(exploration.violation(), None, "{:#?}", exploration.counterexample);
    assert!(exploration.complete, "cut off after {} states", exploration.states);
}

#[test]
fn late_decisions_of_an_old_coordinator_change_nothing() {
    let bounds = Bounds { restarts: 1, queries: 1, ..NO_FAULTS };
    for ranks in [2, 3] {
        let exploration = explore(SwitchModel::<Sound>::recovered(ranks, bounds), STATES_MAX);
        assert_eq!(
            exploration.violation(),
            None,
            "{ranks} ranks: {:#?}",
            exploration.counterexample
        );
    }
}

#[test]
fn engines_without_holds_are_caught() {
    let exploration = explore(SwitchModel::<NoHold>::prepared(2, NO_FAULTS), STATES_ALL);
    assert!(exploration.violation().is_some(), "{} states without a violation", exploration.states);
}

#[test]
fn agents_without_incarnations_are_caught() {
    let bounds = Bounds { restarts: 1, queries: 1, ..NO_FAULTS };
    let exploration = explore(SwitchModel::<NoIncarnation>::recovered(2, bounds), STATES_ALL);
    assert!(exploration.violation().is_some(), "{} states without a violation", exploration.states);
}

#[test]
fn random_walks_keep_one_map_and_can_finish() {
    let bounds = Bounds {
        steps: 40,
        failovers: 3,
        restarts: 6,
        switches: 4,
        cancels: 2,
        duplicates: 20,
        resends: 20,
        queries: 10,
        old_coordinators: true,
    };
    for seed in 0..60 {
        let mut state = SwitchModel::<Sound>::new(8, bounds);
        for round in 0..12 {
            let next = walk_end(state, seed * 100 + round, 25);
            assert_eq!(next.violation(), None, "seed {seed}");
            assert!(next.can_finish(), "seed {seed} round {round} is stuck: {next:#?}");
            state = next;
        }
    }
}

/// Returns the state at the end of a random walk.
fn walk_end(start: SwitchModel<Sound>, seed: u64, steps: usize) -> SwitchModel<Sound> {
    bw_explore::search::walk_end(start, seed, steps)
}

#[test]
fn a_switch_can_take_place() {
    let bounds = Bounds { steps: 6, failovers: 0, restarts: 0, switches: 1, ..NO_FAULTS };
    let switched = (0..200).any(|seed| {
        let state = bw_explore::search::walk_end(SwitchModel::<Sound>::new(3, bounds), seed, 400);
        state.maps_used() == 2
    });
    assert!(switched, "no walk switched the map");
    assert!(walk(SwitchModel::<Sound>::new(3, bounds), 1, 400).is_none());
}
