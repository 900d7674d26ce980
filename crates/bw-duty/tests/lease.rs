//! Leases and fencing numbers under pauses and races.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_duty::fencing::Passage;
use bw_duty::FenceGuard;
use bw_duty::Lease;
use bw_duty::LeaseStep;
use bw_duty::Tenant;
use bw_model::Fence;

const TERM: Duration = Duration::from_secs(10);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn tenant(name: &str) -> Tenant {
    Tenant::new(name.to_string(), TERM, Duration::ZERO)
}

fn take(tenant: &mut Tenant, lease: Option<Lease>, now: Duration) -> Lease {
    tenant.read(lease, now);
    let LeaseStep::Write(next) = tenant.step(now) else { panic!("the lease is not taken") };
    tenant.written(next.clone(), now);
    next
}

#[test]
fn a_lease_that_is_renewed_is_not_taken() {
    let (mut first, mut second) = (tenant("entry-1"), tenant("entry-2"));
    let lease = take(&mut first, None, seconds(0));
    second.read(Some(lease.clone()), seconds(1));
    assert_eq!(second.step(seconds(9)), LeaseStep::Wait);
    let LeaseStep::Write(renewed) = first.step(seconds(5)) else { panic!("not renewed") };
    first.written(renewed.clone(), seconds(5));
    second.read(Some(renewed), seconds(10));
    assert_eq!(second.step(seconds(19)), LeaseStep::Wait);
}

#[test]
fn a_taken_lease_has_a_higher_number_and_the_old_one_fails() {
    let (mut first, mut second) = (tenant("entry-1"), tenant("entry-2"));
    let lease = take(&mut first, None, seconds(0));
    second.read(Some(lease.clone()), seconds(0));
    let LeaseStep::Write(next) = second.step(seconds(10)) else { panic!("not taken") };
    second.written(next.clone(), seconds(10));
    let mut guard = FenceGuard::new();
    assert_eq!(guard.check(next.fence), Passage::Unlearned);
    guard.learn(lease.fence);
    assert_eq!(guard.check(next.fence), Passage::Pass);
    // The first holder wakes from a pause and still believes.
    assert_eq!(guard.check(lease.fence), Passage::Stale(next.fence));
    assert!(next.fence > Fence(1));
}

#[test]
fn a_holder_that_could_not_renew_stops_believing() {
    let mut first = tenant("entry-1");
    let lease = take(&mut first, None, seconds(0));
    assert_eq!(first.fence(seconds(9)), Some(lease.fence));
    assert_eq!(first.fence(seconds(10)), None);
}
