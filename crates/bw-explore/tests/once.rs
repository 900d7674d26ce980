//! Requests that may run once, under every order of small cases.

use bw_explore::explore;
use bw_explore::once::Faults;
use bw_explore::once::NoIncarnation;
use bw_explore::once::NoTombstone;
use bw_explore::once::OnceModel;
use bw_explore::once::Sound;
use bw_explore::walk;

const STATES_MAX: usize = 400_000;

const FAULTS: Faults =
    Faults { timeouts: 1, repeats: 1, restarts: 1, outages: 1, leavings: 0, deaths: 0 };

#[test]
fn no_order_of_two_calls_runs_a_request_twice() {
    let found = explore(OnceModel::<Sound>::new(2, 2, FAULTS), STATES_MAX);
    assert_eq!(found.violation(), None, "{:#?}", found.trace);
    assert!(found.states >= 100_000, "only {} states", found.states);
}

#[test]
fn leaving_agents_and_dead_entries_do_not_run_it_twice() {
    let faults =
        Faults { timeouts: 1, repeats: 0, restarts: 0, outages: 0, leavings: 2, deaths: 1 };
    let found = explore(OnceModel::<Sound>::new(2, 2, faults), STATES_MAX);
    assert_eq!(found.violation(), None, "{:#?}", found.trace);
}

#[test]
fn random_walks_of_three_calls_hold() {
    let faults =
        Faults { timeouts: 6, repeats: 3, restarts: 3, outages: 3, leavings: 1, deaths: 1 };
    for seed in 0..2_000 {
        let trace = walk(OnceModel::<Sound>::new(3, 3, faults), seed, 200);
        assert!(trace.is_none(), "seed {seed}: {:#?}", trace.unwrap_or_default().last());
    }
}

#[test]
fn agents_without_tombstones_are_caught() {
    let found = explore(OnceModel::<NoTombstone>::new(2, 2, FAULTS), STATES_MAX);
    assert!(found.violation().is_some(), "{} states without a violation", found.states);
}

#[test]
fn agents_without_incarnations_are_caught() {
    let found = explore(OnceModel::<NoIncarnation>::new(2, 2, FAULTS), STATES_MAX);
    assert!(found.violation().is_some(), "{} states without a violation", found.states);
}
