//! Fair shares, deadlines, budgets and load under late reports.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_model::fleet::WorkspaceKey;
use bw_model::Key;
use bw_route::admission::Offered;
use bw_route::eject::Ejection;
use bw_route::load::LoadTrack;
use bw_route::load::Report;
use bw_route::Admission;
use bw_route::Offer;
use bw_route::RetryBudget;
use proptest::prelude::*;

fn offer(ticket: u64, workspace: u32, order: u8, share: u32) -> Offer<WorkspaceKey> {
    let deadline = Duration::from_secs(100);
    let workspace = WorkspaceKey::from_index(workspace);
    Offer { ticket, workspace, order, share, timely: deadline, deadline }
}

#[test]
fn a_workspace_within_its_share_passes_one_beyond_it() {
    let mut admission = Admission::new();
    for ticket in 0..100 {
        admission.offer(offer(ticket, 1, 0, 1), Duration::ZERO);
    }
    admission.next(Duration::ZERO);
    admission.offer(offer(1_000, 2, 9, 1), Duration::ZERO);
    // The queue of the first, whatever its order, does not come before the second's request.
    let next: Vec<_> = (0..2).filter_map(|_| admission.next(Duration::ZERO)).collect();
    assert!(next.contains(&1_000), "{next:?}");
}

#[test]
fn shares_hold_while_both_are_backlogged() {
    let mut admission = Admission::new();
    for ticket in 0..400 {
        admission.offer(offer(ticket, 1, 5, 3), Duration::ZERO);
        admission.offer(offer(1_000 + ticket, 2, 5, 1), Duration::ZERO);
    }
    let served: Vec<_> = (0..200).filter_map(|_| admission.next(Duration::ZERO)).collect();
    let first = served.iter().filter(|ticket| **ticket < 1_000).count();
    assert!((148..=152).contains(&first), "{first} of 200 for three quarters");
}

#[test]
fn a_request_that_would_start_too_late_is_refused_at_once() {
    let mut admission = Admission::new();
    for ticket in 0..50 {
        admission.offer(offer(ticket, 1, 0, 1), Duration::ZERO);
    }
    for second in 0..10 {
        admission.next(Duration::from_secs(second));
    }
    let now = Duration::from_secs(10);
    let late = Offer { deadline: now + Duration::from_secs(2), ..offer(99, 1, 0, 1) };
    assert!(matches!(admission.offer(late, now), Offered::Refused(_)));
    let other = Offer { deadline: now + Duration::from_secs(2), ..offer(100, 2, 0, 1) };
    assert_eq!(admission.offer(other, now), Offered::Queued);
}

#[test]
fn retries_end_when_everything_fails() {
    let mut budget = RetryBudget::default();
    let taken = (0..1_000).filter(|_| budget.take()).count();
    assert!(taken <= 20, "{taken} retries without one success");
    for _ in 0..100 {
        budget.succeed();
    }
    assert!(budget.take());
}

#[test]
fn an_endpoint_that_fails_in_a_row_returns_slowly() {
    let mut ejection = Ejection::default();
    for _ in 0..3 {
        ejection.fail(Duration::ZERO);
    }
    assert!(ejection.is_ejected(Duration::from_secs(1)));
    assert!(!ejection.is_ejected(Duration::from_secs(3)));
    assert!(ejection.load_factor(Duration::from_secs(3)) > 1.8);
    assert_eq!(ejection.load_factor(Duration::from_secs(60)), 1.0);
}

#[test]
fn a_late_report_is_corrected_by_what_was_sent_since() {
    let mut track = LoadTrack::default();
    let at = Duration::from_millis;
    track.start(at(10));
    track.start(at(20));
    track.report(Report { time: at(15), load: 5, slots: 8, service: 100 });
    assert_eq!(track.expected(), 4.0 + 2.0);
    track.end(at(30));
    track.report(Report { time: at(5), load: 90, slots: 8, service: 100 });
    assert_eq!(track.expected(), 4.0 + 1.0, "an older report is ignored");
}

proptest! {
    #[test]
    fn every_ticket_is_served_or_shed_once(
        offers in prop::collection::vec((0u32..5, 0u8..3, 1u32..9), 0..200),
    ) {
        let mut admission = Admission::new();
        let count = offers.len();
        for (ticket, (workspace, order, share)) in offers.into_iter().enumerate() {
            admission.offer(offer(ticket as u64, workspace, order, share), Duration::ZERO);
        }
        let mut served = Vec::new();
        while let Some(ticket) = admission.next(Duration::ZERO) {
            served.push(ticket);
        }
        served.sort_unstable();
        prop_assert_eq!(served, (0..count as u64).collect::<Vec<_>>());
    }
}

/// A backlog that takes longer to drain than answers may take, while requests go on arriving as
/// fast as they are served: the load that follows each recovery.
#[test]
fn a_backlog_does_not_make_all_later_answers_late() {
    let target = Duration::from_millis(400);
    let step = Duration::from_millis(20);
    let mut admission = Admission::new();
    let arrived = |ticket: u64| step * ticket.saturating_sub(1_000) as u32;
    let arrive = |ticket: u64, admission: &mut Admission<WorkspaceKey>| {
        let ask = offer(ticket, (ticket % 3) as u32, 0, 1);
        admission.offer(Offer { timely: arrived(ticket) + target, ..ask }, arrived(ticket));
    };
    for ticket in 0..60 {
        arrive(ticket, &mut admission);
    }
    let mut late = 0;
    for turn in 0..300 {
        let now = step * turn;
        arrive(1_000 + u64::from(turn), &mut admission);
        let ticket = admission.next(now).unwrap();
        late += usize::from(now > arrived(ticket) + target);
    }
    assert!(late <= 40, "{late} of 300 late for a backlog of 60 of which 20 could be in time");
}

#[test]
fn requests_that_are_late_go_when_none_can_be_in_time() {
    let mut admission = Admission::new();
    for ticket in 0..3 {
        let ask = offer(ticket, 1, 0, 1);
        admission.offer(Offer { timely: Duration::from_millis(400), ..ask }, Duration::ZERO);
    }
    let now = Duration::from_secs(1);
    let ask = offer(9, 1, 0, 1);
    admission.offer(Offer { timely: now + Duration::from_millis(400), ..ask }, now);
    let order: Vec<_> = std::iter::from_fn(|| admission.next(now)).collect();
    assert_eq!(order, [9, 0, 1, 2]);
}
