//! Tests of the retry budget, over all gateways and any window.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_direct::budget::Allowance;
use bw_direct::budget::RetryBudget;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const ALLOWANCE: Allowance = Allowance { ratio: 0.2, slack: 90.0, window: Duration::from_secs(10) };

/// Grants a retry that arrives at once.
fn try_spend(budget: &mut RetryBudget, service: &str, parts: usize, now: Duration) -> bool {
    let granted = budget.try_grant(service, ALLOWANCE, Some(parts), now);
    if granted {
        budget.settle(service, ALLOWANCE.window, now);
    }
    granted
}

#[test]
fn retries_are_limited_when_every_request_fails() {
    // Eight gateways receive 80 requests per second in total, all fail, and each request needs
    // one retry. They have run for longer than the window.
    let mut gateways: Vec<RetryBudget> = vec![RetryBudget::new(Duration::ZERO); 8];
    let mut retries = 0;
    for step in 0..1_600 {
        let now = ALLOWANCE.window + Duration::from_millis(step * 25 / 2);
        let gateway = &mut gateways[(step % 8) as usize];
        gateway.record_request("s", ALLOWANCE.window, now);
        retries += u32::from(try_spend(gateway, "s", 8, now));
    }
    // 20 s: the allowance of two windows, from 80 requests per second and the slack.
    let allowed = 2.0 * (0.2 * 800.0 + 90.0);
    assert!(f64::from(retries) <= allowed, "{retries} of {allowed}");
    assert!(f64::from(retries) >= allowed * 0.5, "only {retries} of {allowed}");
}

#[test]
fn services_have_separate_budgets() {
    let mut budget = RetryBudget::new(Duration::ZERO);
    let now = Duration::from_secs(11);
    while try_spend(&mut budget, "a", 8, now) {}
    assert!(try_spend(&mut budget, "b", 8, now));
}

#[test]
fn spent_retries_are_restored_after_the_window() {
    let mut budget = RetryBudget::new(Duration::ZERO);
    while try_spend(&mut budget, "a", 8, Duration::from_secs(11)) {}
    assert!(!try_spend(&mut budget, "a", 8, Duration::from_secs(16)));
    assert!(try_spend(&mut budget, "a", 8, Duration::from_secs(22)));
}

#[test]
fn a_retry_that_is_not_sent_returns_to_the_budget() {
    let now = Duration::from_secs(11);
    let mut budget = RetryBudget::new(Duration::ZERO);
    while budget.try_grant("s", ALLOWANCE, Some(8), now) {}
    budget.release("s");
    assert!(budget.try_grant("s", ALLOWANCE, Some(8), now));
    assert!(!budget.try_grant("s", ALLOWANCE, Some(8), now));
}

/// The predecessor may have spent its part in the same window.
#[test]
fn a_new_process_spends_only_what_its_requests_earn_in_its_first_window() {
    let started_at = Duration::from_secs(100);
    let mut budget = RetryBudget::new(started_at);
    for _ in 0..50 {
        budget.record_request("s", ALLOWANCE.window, started_at);
    }
    let mut spend = |now| (0..1_000).filter(|_| try_spend(&mut budget, "s", 1, now)).count();
    assert_eq!(spend(started_at + Duration::from_secs(9)), 8);
    assert!(spend(started_at + Duration::from_secs(21)) > 60);
}

proptest! {
    #[test]
    fn no_window_holds_more_retries_than_allowed(
        steps in proptest::collection::vec((0u64..400, 0usize..4, any::<bool>()), 1..600),
    ) {
        let mut gateways: Vec<RetryBudget> = vec![RetryBudget::new(Duration::ZERO); 4];
        let mut now = 10_000;
        let mut requests = Vec::new();
        let mut retries = Vec::new();
        for (gap, gateway, retry) in steps {
            now += gap;
            let at = Duration::from_millis(now);
            if retry {
                if try_spend(&mut gateways[gateway], "s", 4, at) {
                    retries.push(now);
                }
            } else {
                gateways[gateway].record_request("s", ALLOWANCE.window, at);
                requests.push(now);
            }
        }
        for start in &retries {
            let within = |times: &[u64]| {
                times.iter().filter(|at| **at >= *start && **at < start + 10_000).count() as f64
            };
            // Requests earn retries in the window itself, the window before it, or one that starts
            // half a window earlier.
            let earlier = |times: &[u64], back: u64| {
                let from = start.saturating_sub(back);
                times.iter().filter(|at| **at >= from && **at < from + 10_000).count() as f64
            };
            let most = within(&requests).max(earlier(&requests, 10_000)).max(earlier(&requests, 5_000));
            let limit = 0.2 * (most + earlier(&requests, 10_000)) + 90.0;
            prop_assert!(within(&retries) <= limit, "{} of {limit}", within(&retries));
        }
    }
}

/// Retries wait in a queue for up to 8 s before they are sent, in steps of the load that fail at all
/// endpoints.
#[test]
fn retries_that_wait_arrive_within_the_budget() {
    const WAIT_MAX: u64 = 8_000;
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut budget = RetryBudget::new(Duration::ZERO);
        let (mut arrivals, mut requests, mut waiting) = (Vec::new(), Vec::new(), 0);
        // Endpoints stand still at each multiple of 8 s, when all that wait are sent.
        for now in (10_000..70_000).step_by(25) {
            let at = Duration::from_millis(now);
            budget.record_request("s", ALLOWANCE.window, at);
            requests.push(now);
            if random.random_bool(0.9) && budget.try_grant("s", ALLOWANCE, Some(1), at) {
                waiting += 1;
            }
            if now % WAIT_MAX == 0 {
                for _ in 0..std::mem::take(&mut waiting) {
                    budget.settle("s", ALLOWANCE.window, at);
                    arrivals.push(now);
                }
            }
        }
        for start in (0..70_000).step_by(500) {
            let within = |times: &[u64], from: u64| {
                times.iter().filter(|at| **at >= from && **at < from + 10_000).count() as f64
            };
            let earned = [0, 5_000, 10_000].map(|back| within(&requests, start.max(back) - back));
            let most = earned.into_iter().fold(0.0, f64::max);
            let limit = 0.2 * most + 90.0;
            let seen = within(&arrivals, start);
            assert!(seen <= limit, "{seen} of {limit} from {start} ms, seed {seed}");
        }
    }
}
