//! Endpoints that fail more than the others of their service.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_direct::endpoint::EndpointKey;
use bw_direct::health::Counts;
use bw_direct::health::Health;
use bw_direct::health::Verdict;
use bw_model::Key;

fn keys(count: u32) -> Vec<EndpointKey> {
    (0..count).map(EndpointKey::from_index).collect()
}

#[test]
fn an_endpoint_that_fails_at_once_is_left_out_and_comes_back_by_trial() {
    let service = keys(8);
    let mut health = Health::default();
    let mut now = Duration::from_secs(1);
    for key in &service[1..] {
        health.succeed(*key, now);
    }
    for _ in 0..3 {
        health.fail(service[0], now);
    }
    assert_eq!(health.judge(&service, now).len(), 1);
    assert_eq!(health.verdict(service[0], now), Verdict::Ejected);
    now += Duration::from_millis(1_100);
    assert_eq!(health.verdict(service[0], now), Verdict::Trial);
    health.succeed(service[0], now);
    health.succeed(service[0], now);
    assert_eq!(health.verdict(service[0], now), Verdict::Sound);
}

#[test]
fn a_failed_trial_leaves_it_out_for_longer() {
    let service = keys(4);
    let mut health = Health::default();
    let mut now = Duration::from_secs(1);
    (0..3).for_each(|_| health.fail(service[0], now));
    health.judge(&service, now);
    now += Duration::from_millis(1_100);
    health.fail(service[0], now);
    assert_eq!(health.judge(&service, now).len(), 1);
    assert_eq!(health.verdict(service[0], now + Duration::from_millis(1_500)), Verdict::Ejected);
}

#[test]
fn what_all_endpoints_do_leaves_none_out() {
    let service = keys(6);
    let mut health = Health::default();
    let now = Duration::from_secs(1);
    for key in &service {
        (0..10).for_each(|_| health.fail(*key, now));
    }
    assert!(health.judge(&service, now).is_empty());
}

#[test]
fn failures_that_no_entry_sees_enough_of_count_together() {
    let service = keys(3);
    let mut health = Health::default();
    let now = Duration::from_secs(1);
    health.fail(service[2], now);
    health.succeed(service[0], now);
    assert!(health.judge(&service, now).is_empty());
    for peer in ["b", "c"] {
        let news = vec![
            (service[2], Counts { ended: 1, failed: 1 }),
            (service[0], Counts { ended: 5, failed: 0 }),
        ];
        health.hear(peer, news, now);
    }
    assert_eq!(health.judge(&service, now).len(), 1);
    assert_eq!(health.verdict(service[2], now), Verdict::Ejected);
    assert_eq!(health.verdict(service[0], now), Verdict::Sound);
}

#[test]
fn old_failures_do_not_count() {
    let service = keys(3);
    let mut health = Health::default();
    (0..5).for_each(|_| health.fail(service[1], Duration::from_secs(1)));
    health.succeed(service[0], Duration::from_secs(5));
    assert!(health.judge(&service, Duration::from_secs(5)).is_empty());
}
