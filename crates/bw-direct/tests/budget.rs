//! The budget for repeats, over all entries and any window.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_direct::budget::Allowance;
use bw_direct::budget::RepeatBudget;
use proptest::prelude::*;

const ALLOWANCE: Allowance = Allowance { ratio: 0.2, slack: 90.0, window: Duration::from_secs(10) };

#[test]
fn repeats_end_when_everything_fails() {
    // Eight entries get 80 requests a second, all fail, and each wants one repeat.
    let mut entries: Vec<RepeatBudget> = vec![RepeatBudget::default(); 8];
    let mut repeats = 0;
    for step in 0..1_600 {
        let now = Duration::from_millis(step * 25 / 2);
        let entry = &mut entries[(step % 8) as usize];
        entry.note_request("s", ALLOWANCE.window, now);
        repeats += u32::from(entry.take("s", ALLOWANCE, 8, now));
    }
    // 20 s: two windows' worth of what 80 requests a second and the slack allow.
    let allowed = 2.0 * (0.2 * 800.0 + 90.0);
    assert!(f64::from(repeats) <= allowed, "{repeats} of {allowed}");
    assert!(f64::from(repeats) >= allowed * 0.5, "only {repeats} of {allowed}");
}

#[test]
fn services_have_budgets_of_their_own() {
    let mut budget = RepeatBudget::default();
    let now = Duration::from_secs(1);
    while budget.take("a", ALLOWANCE, 8, now) {}
    assert!(budget.take("b", ALLOWANCE, 8, now));
}

#[test]
fn what_was_spent_comes_back_after_the_window() {
    let mut budget = RepeatBudget::default();
    while budget.take("a", ALLOWANCE, 8, Duration::from_secs(1)) {}
    assert!(!budget.take("a", ALLOWANCE, 8, Duration::from_secs(6)));
    assert!(budget.take("a", ALLOWANCE, 8, Duration::from_secs(12)));
}

proptest! {
    #[test]
    fn no_window_holds_more_repeats_than_allowed(
        steps in proptest::collection::vec((0u64..400, 0usize..4, any::<bool>()), 1..600),
    ) {
        let mut entries: Vec<RepeatBudget> = vec![RepeatBudget::default(); 4];
        let mut now = 0;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (pause, entry, repeat) in steps {
            now += pause;
            let at = Duration::from_millis(now);
            if repeat {
                if entries[entry].take("s", ALLOWANCE, 4, at) {
                    repeats.push(now);
                }
            } else {
                entries[entry].note_request("s", ALLOWANCE.window, at);
                requests.push(now);
            }
        }
        for start in &repeats {
            let within = |times: &[u64]| {
                times.iter().filter(|at| **at >= *start && **at < start + 10_000).count() as f64
            };
            // Requests count in the window itself, the one before it, or half a window before.
            let earlier = |times: &[u64], back: u64| {
                let from = start.saturating_sub(back);
                times.iter().filter(|at| **at >= from && **at < from + 10_000).count() as f64
            };
            let most = within(&requests).max(earlier(&requests, 10_000)).max(earlier(&requests, 5_000));
            let limit = 0.2 * (most + earlier(&requests, 10_000)) + 90.0;
            prop_assert!(within(&repeats) <= limit, "{} of {limit}", within(&repeats));
        }
    }
}
