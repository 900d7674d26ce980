//! Exploration of requests that may run once: two calls breadth first, three calls by random walks.

use bw_explore::explore;
use bw_explore::once::Faults;
use bw_explore::once::NoIncarnation;
use bw_explore::once::NoTombstone;
use bw_explore::once::OnceModel;
use bw_explore::once::Sound;
use bw_explore::walk;

const STATES_MAX: usize = 400_000;

const FAULTS: Faults =
    Faults { timeouts: 1, duplicates: 1, restarts: 1, outages: 1, departures: 0, crashes: 0 };

#[test]
fn no_order_of_two_calls_runs_a_request_twice() {
    let exploration = explore(OnceModel::<Sound>::new(2, 2, FAULTS), STATES_MAX);
    assert_eq!(exploration.violation(), None, "{:#?}", exploration.counterexample);
    assert!(exploration.states >= 100_000, "only {} states", exploration.states);
}

#[test]
fn leaving_agents_and_crashed_entries_do_not_run_a_request_twice() {
    let faults =
        Faults { timeouts: 1, duplicates: 0, restarts: 0, outages: 0, departures: 2, crashes: 1 };
    let exploration = explore(OnceModel::<Sound>::new(2, 2, faults), STATES_MAX);
    assert_eq!(exploration.violation(), None, "{:#?}", exploration.counterexample);
}

#[test]
fn random_walks_of_three_calls_keep_the_invariants() {
    let faults =
        Faults { timeouts: 6, duplicates: 3, restarts: 3, outages: 3, departures: 1, crashes: 1 };
    for seed in 0..2_000 {
        let path = walk(OnceModel::<Sound>::new(3, 3, faults), seed, 200);
        assert!(path.is_none(), "seed {seed}: {:#?}", path.unwrap_or_default().last());
    }
}

#[test]
fn agents_without_tombstones_are_caught() {
    let exploration = explore(OnceModel::<NoTombstone>::new(2, 2, FAULTS), STATES_MAX);
    assert!(exploration.violation().is_some(), "{} states without a violation", exploration.states);
}

#[test]
fn agents_without_incarnations_are_caught() {
    let exploration = explore(OnceModel::<NoIncarnation>::new(2, 2, FAULTS), STATES_MAX);
    assert!(exploration.violation().is_some(), "{} states without a violation", exploration.states);
}
