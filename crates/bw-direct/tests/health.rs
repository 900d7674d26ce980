//! Tests of the ejection of endpoints that fail more often than the others of their service.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_direct::endpoint::EndpointKey;
use bw_direct::health::Counts;
use bw_direct::health::Health;
use bw_direct::health::HealthState;
use bw_model::Key;

fn keys(count: u32) -> Vec<EndpointKey> {
    (0..count).map(EndpointKey::from_index).collect()
}

#[test]
fn an_endpoint_that_fails_fast_is_ejected_and_readmitted_after_a_trial() {
    let service = keys(8);
    let mut health = Health::default();
    let mut now = Duration::from_secs(1);
    for key in &service[1..] {
        health.record_success(*key, now);
    }
    for _ in 0..3 {
        health.record_failure(service[0], now);
    }
    assert_eq!(health.eject_outliers(&service, now).len(), 1);
    assert_eq!(health.state(service[0], now), HealthState::Ejected);
    now += Duration::from_millis(1_100);
    assert_eq!(health.state(service[0], now), HealthState::Trial);
    health.record_success(service[0], now);
    health.record_success(service[0], now);
    assert_eq!(health.state(service[0], now), HealthState::Healthy);
}

#[test]
fn a_failed_trial_extends_the_ejection() {
    let service = keys(4);
    let mut health = Health::default();
    let mut now = Duration::from_secs(1);
    (0..3).for_each(|_| health.record_failure(service[0], now));
    health.eject_outliers(&service, now);
    now += Duration::from_millis(1_100);
    health.record_failure(service[0], now);
    assert_eq!(health.eject_outliers(&service, now).len(), 1);
    assert_eq!(health.state(service[0], now + Duration::from_millis(1_500)), HealthState::Ejected);
}

#[test]
fn failures_common_to_all_endpoints_eject_none() {
    let service = keys(6);
    let mut health = Health::default();
    let now = Duration::from_secs(1);
    for key in &service {
        (0..10).for_each(|_| health.record_failure(*key, now));
    }
    assert!(health.eject_outliers(&service, now).is_empty());
}

#[test]
fn failures_are_summed_over_gateways() {
    let service = keys(3);
    let mut health = Health::default();
    let now = Duration::from_secs(1);
    health.record_failure(service[2], now);
    health.record_success(service[0], now);
    assert!(health.eject_outliers(&service, now).is_empty());
    for peer in ["b", "c"] {
        let news = vec![
            (service[2], Counts { ended: 1, failed: 1 }),
            (service[0], Counts { ended: 5, failed: 0 }),
        ];
        health.update_peer(peer, news, now);
    }
    assert_eq!(health.eject_outliers(&service, now).len(), 1);
    assert_eq!(health.state(service[2], now), HealthState::Ejected);
    assert_eq!(health.state(service[0], now), HealthState::Healthy);
}

#[test]
fn old_failures_do_not_count() {
    let service = keys(3);
    let mut health = Health::default();
    (0..5).for_each(|_| health.record_failure(service[1], Duration::from_secs(1)));
    health.record_success(service[0], Duration::from_secs(5));
    assert!(health.eject_outliers(&service, Duration::from_secs(5)).is_empty());
}
