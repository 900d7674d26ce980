//! The map switch under every order of small cases.

use bw_explore::explore;
use bw_explore::switch::Bounds;
use bw_explore::switch::NoIncarnation;
use bw_explore::switch::NoPromise;
use bw_explore::switch::Sound;
use bw_explore::switch::SwitchModel;
use bw_explore::walk;
use bw_explore::Model;

const STATES_MAX: usize = 150_000;
const STATES_ALL: usize = 1_000_000;

/// Nothing fails.
const CALM: Bounds = Bounds {
    steps: 2,
    coordinators: 0,
    restarts: 0,
    switches: 0,
    give_ups: 0,
    repeats: 0,
    resends: 0,
    questions: 0,
    old_lives: true,
};

#[test]
fn no_order_starts_a_step_with_two_maps() {
    let bounds =
        Bounds { coordinators: 1, restarts: 1, repeats: 1, resends: 1, questions: 1, ..CALM };
    let found = explore(SwitchModel::<Sound>::prepared(3, bounds), STATES_MAX);
    assert_eq!(found.violation(), None, "{:#?}", found.trace);
    assert!(found.states >= 100_000, "only {} states", found.states);
}

#[test]
fn two_ranks_are_explored_to_the_end_with_each_fault() {
    let faults = [
        CALM,
        Bounds { restarts: 1, ..CALM },
        Bounds { give_ups: 1, ..CALM },
        Bounds { repeats: 1, ..CALM },
        Bounds { questions: 1, resends: 1, ..CALM },
    ];
    for bounds in faults {
        let found = explore(SwitchModel::<Sound>::prepared(2, bounds), STATES_ALL);
        assert_eq!(found.violation(), None, "{bounds:?}: {:#?}", found.trace);
        assert!(found.complete, "{bounds:?}: cut off after {} states", found.states);
    }
}

#[test]
fn a_new_coordinator_is_explored_to_the_end() {
    let bounds = Bounds { coordinators: 1, old_lives: false, ..CALM };
    let found = explore(SwitchModel::<Sound>::decided(2, bounds), STATES_ALL);
    assert_eq!(found.violation(), None, "{:#?}", found.trace);
    assert!(found.complete, "cut off after {} states", found.states);
}

#[test]
fn late_verdicts_of_an_old_coordinator_change_nothing() {
    let bounds = Bounds { restarts: 1, questions: 1, ..CALM };
    for ranks in [2, 3] {
        let found = explore(SwitchModel::<Sound>::recovered(ranks, bounds), STATES_MAX);
        assert_eq!(found.violation(), None, "{ranks} ranks: {:#?}", found.trace);
    }
}

#[test]
fn engines_without_holds_are_caught() {
    let found = explore(SwitchModel::<NoPromise>::prepared(2, CALM), STATES_ALL);
    assert!(found.violation().is_some(), "{} states without a violation", found.states);
}

#[test]
fn agents_without_incarnations_are_caught() {
    let bounds = Bounds { restarts: 1, questions: 1, ..CALM };
    let found = explore(SwitchModel::<NoIncarnation>::recovered(2, bounds), STATES_ALL);
    assert!(found.violation().is_some(), "{} states without a violation", found.states);
}

#[test]
fn random_walks_hold_and_can_finish() {
    let bounds = Bounds {
        steps: 40,
        coordinators: 3,
        restarts: 6,
        switches: 4,
        give_ups: 2,
        repeats: 20,
        resends: 20,
        questions: 10,
        old_lives: true,
    };
    for seed in 0..60 {
        let mut state = SwitchModel::<Sound>::new(8, bounds);
        for round in 0..12 {
            let next = walk_to(state, seed * 100 + round, 25);
            assert_eq!(next.violation(), None, "seed {seed}");
            assert!(next.can_finish(), "seed {seed} round {round} is stuck: {next:#?}");
            state = next;
        }
    }
}

/// The state at the end of a random walk.
fn walk_to(start: SwitchModel<Sound>, seed: u64, steps: usize) -> SwitchModel<Sound> {
    bw_explore::search::walk_to(start, seed, steps)
}

#[test]
fn a_switch_can_take_place() {
    let bounds = Bounds { steps: 6, coordinators: 0, restarts: 0, switches: 1, ..CALM };
    let switched = (0..200).any(|seed| {
        let state = bw_explore::search::walk_to(SwitchModel::<Sound>::new(3, bounds), seed, 400);
        state.maps_used() == 2
    });
    assert!(switched, "no walk switched the map");
    assert!(walk(SwitchModel::<Sound>::new(3, bounds), 1, 400).is_none());
}
