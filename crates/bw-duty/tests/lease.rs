//! Leases and fencing numbers when processes pause or compete.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_duty::fencing::FenceVerdict;
use bw_duty::FenceGuard;
use bw_duty::Lease;
use bw_duty::LeaseCandidate;
use bw_duty::LeaseStep;
use bw_model::Fence;

const TERM: Duration = Duration::from_secs(10);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn candidate(name: &str) -> LeaseCandidate {
    LeaseCandidate::new(name.to_string(), TERM, Duration::ZERO)
}

fn acquire(candidate: &mut LeaseCandidate, lease: Option<Lease>, now: Duration) -> Lease {
    candidate.observe(lease, 0, now);
    let LeaseStep::Write(next) = candidate.step(now) else { panic!("the lease is not acquired") };
    candidate.confirm_write(next.clone(), now);
    next
}

#[test]
fn a_renewed_lease_is_not_taken_over() {
    let (mut first, mut second) = (candidate("entry-1"), candidate("entry-2"));
    let lease = acquire(&mut first, None, seconds(0));
    second.observe(Some(lease.clone()), 0, seconds(1));
    assert_eq!(second.step(seconds(9)), LeaseStep::Wait);
    let LeaseStep::Write(renewed) = first.step(seconds(5)) else { panic!("not renewed") };
    first.confirm_write(renewed.clone(), seconds(5));
    second.observe(Some(renewed), 0, seconds(10));
    assert_eq!(second.step(seconds(19)), LeaseStep::Wait);
}

#[test]
fn a_takeover_raises_the_fencing_number_and_the_old_one_fails() {
    let (mut first, mut second) = (candidate("entry-1"), candidate("entry-2"));
    let lease = acquire(&mut first, None, seconds(0));
    second.observe(Some(lease.clone()), 0, seconds(0));
    let LeaseStep::Write(next) = second.step(seconds(10)) else { panic!("not taken over") };
    second.confirm_write(next.clone(), seconds(10));
    let mut guard = FenceGuard::new();
    assert_eq!(guard.check(next.fence), FenceVerdict::Unlearned);
    guard.learn(lease.fence);
    assert_eq!(guard.check(next.fence), FenceVerdict::Pass);
    // The first holder continues after a pause and still believes that it holds the lease.
    assert_eq!(guard.check(lease.fence), FenceVerdict::Stale(next.fence));
    assert!(next.fence > Fence(1));
}

#[test]
fn a_holder_that_could_not_renew_no_longer_has_a_fencing_number() {
    let mut first = candidate("entry-1");
    let lease = acquire(&mut first, None, seconds(0));
    assert_eq!(first.fence(seconds(9)), Some(lease.fence));
    assert_eq!(first.fence(seconds(10)), None);
}

/// The holder of each era believes that it still holds the duty.
#[test]
fn a_lease_lost_by_a_restored_store_is_not_granted_with_the_same_number() {
    let mut numbers = Vec::new();
    for era in 0..3 {
        let mut candidate = candidate(&format!("entry-{era}"));
        candidate.observe(None, era, seconds(era));
        let LeaseStep::Write(lease) = candidate.step(seconds(era)) else { panic!("not acquired") };
        numbers.push(lease.fence);
    }
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
}
