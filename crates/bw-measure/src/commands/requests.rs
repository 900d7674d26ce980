//! `requests`: number of explored states, and bounds on retries and on crashed endpoints.

use std::time::Duration;

use argh::FromArgs;
use bw_explore::explore;
use bw_explore::once::Faults;
use bw_explore::once::NoIncarnation;
use bw_explore::once::NoTombstone;
use bw_explore::once::OnceModel;
use bw_explore::once::Sound;
use bw_explore::once::CROSSED_ANSWER;
use bw_explore::once::FALSE_NOT_RUN;
use bw_explore::once::RAN_LATE;
use bw_explore::once::RAN_TWICE;
use bw_model::Incarnation;
use bw_once::evidence::Suspicion;
use bw_once::Crash;
use bw_once::Evidence;
use bw_route::RetryBudget;

use crate::error::MeasureError;
use crate::output::print_row;

/// Largest number of states that an exploration expands.
const STATES_MAX: usize = 400_000;
const ENTRIES: usize = 8;
/// Names of result lines, with the violations that the lines count.
const INVARIANTS: [(&str, &str); 4] = [
    ("double_runs", RAN_TWICE),
    ("false_not_run", FALSE_NOT_RUN),
    ("late_runs", RAN_LATE),
    ("crossed_answers", CROSSED_ANSWER),
];

/// explored states of requests that run once, retries under total failure, crashed endpoints
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "requests")]
pub struct Requests {}

impl Requests {
    /// Runs the measurement.
    ///
    /// # Errors
    /// [`MeasureError::Check`] if an invariant is violated.
    pub fn run(&self) -> Result<(), MeasureError> {
        let faults = Faults {
            timeouts: 1,
            duplicates: 1,
            restarts: 1,
            outages: 1,
            departures: 0,
            crashes: 0,
        };
        let sound = explore(OnceModel::<Sound>::new(2, 2, faults), STATES_MAX);
        print_row("states_explored", &[], sound.states, "states");
        let violation = sound.violation();
        for (name, text) in INVARIANTS {
            print_row(name, &[], u32::from(violation.as_deref() == Some(text)), "");
        }
        if let Some(violation) = violation {
            return Err(MeasureError::Check(violation));
        }
        let faulty = explore(OnceModel::<NoTombstone>::new(2, 2, faults), STATES_MAX);
        print_caught("no_tombstone", faulty.states, faulty.violation());
        let faulty = explore(OnceModel::<NoIncarnation>::new(2, 2, faults), STATES_MAX);
        print_caught("no_incarnation", faulty.states, faulty.violation());
        for requests in [100, 1_000, 10_000] {
            let labels = [("requests", requests.to_string())];
            let attempts = attempts_under_failure(requests);
            print_row("attempts_per_request_total_failure", &labels, format!("{attempts:.3}"), "");
        }
        let labels = [("repeats", "one_after_another".to_string())];
        print_row("poison_endpoints_lost", &labels, crashed_endpoints(), "endpoints");
        Ok(())
    }
}

fn print_caught(variant: &str, states: usize, violation: Option<String>) {
    let labels = [("variant", variant.to_string())];
    let text = violation.map_or("not_caught".to_string(), |text| text.replace(' ', "_"));
    print_row("broken_variant", &labels, text, &format!("after_{states}_states"));
}

/// Returns the attempts per request when every attempt fails, with up to three retries each.
fn attempts_under_failure(requests: u32) -> f64 {
    const RETRIES: usize = 3;
    let mut budget = RetryBudget::default();
    let retry = |_| (0..RETRIES).take_while(|_| budget.try_spend()).count() + 1;
    let attempts: usize = (0..requests).map(retry).sum();
    attempts as f64 / f64::from(requests)
}

/// Returns the number of endpoints that one request crashes when its caller repeats the request at
/// every entry in turn, and entries share the evidence of a crash before they retry.
fn crashed_endpoints() -> u32 {
    const FINGERPRINT: u64 = 7;
    let mut entries = vec![Evidence::new(); ENTRIES];
    let mut crashed = 0;
    for entry in 0..ENTRIES {
        while entries[entry].suspicion(FINGERPRINT) != Suspicion::Quarantined {
            crashed += 1;
            let crash = Crash {
                endpoint: format!("group-{crashed}"),
                incarnation: Incarnation(1),
                number: 1,
                fingerprints: vec![FINGERPRINT],
            };
            entries.iter_mut().for_each(|evidence| {
                evidence.record(&crash, Duration::ZERO);
            });
        }
    }
    crashed
}
