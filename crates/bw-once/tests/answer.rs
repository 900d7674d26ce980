//! Tests of answers whose chunks belong to another attempt, repeat or leave gaps, and of crash
//! evidence.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_model::AttemptId;
use bw_model::Incarnation;
use bw_once::answer::Accept;
use bw_once::parts::QUARANTINE_DURATION;
use bw_once::Answer;
use bw_once::Assembler;
use bw_once::Crash;
use bw_once::End;
use bw_once::Evidence;
use bw_once::Suspicion;
use proptest::prelude::*;

const OWN: AttemptId = AttemptId(1);

#[test]
fn an_answer_of_another_attempt_is_dropped() {
    let mut answer = Answer::default();
    answer.append(b"other");
    let mut assembler = Assembler::new(OWN);
    let chunk = answer.read(AttemptId(2), 0, 100).unwrap();
    assert_eq!(assembler.accept(chunk), Accept::OtherAttempt);
    assert_eq!(assembler.offset(), 0);
}

#[test]
fn bytes_that_were_acknowledged_are_freed_and_not_read_again() {
    let mut answer = Answer::default();
    answer.append(b"0123456789");
    answer.trim(4);
    assert_eq!((answer.buffered(), answer.length()), (6, 10));
    assert!(answer.read(OWN, 3, 10).is_none());
    assert_eq!(answer.read(OWN, 4, 10).unwrap().bytes, b"456789");
}

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn crash(number: u32, fingerprints: &[u64]) -> Crash {
    Crash {
        endpoint: format!("group-{number}"),
        incarnation: Incarnation(1),
        number: 1,
        fingerprints: fingerprints.to_vec(),
    }
}

#[test]
fn a_second_crash_distinguishes_the_cause_from_requests_in_flight_with_it() {
    let mut evidence = Evidence::new();
    assert!(evidence.record(&crash(1, &[7, 8, 9]), ms(0)));
    assert!(!evidence.record(&crash(1, &[7, 8, 9]), ms(1)), "the same crash counts once");
    assert_eq!(evidence.suspicion(8), Suspicion::Suspect);
    evidence.clear(8);
    evidence.record(&crash(2, &[7, 10]), ms(2));
    assert_eq!(evidence.suspicion(7), Suspicion::Quarantined);
    assert_eq!(evidence.suspicion(8), Suspicion::Clear);
    assert_eq!(evidence.suspicion(10), Suspicion::Suspect);
    evidence.clear(7);
    assert_eq!(
        evidence.suspicion(7),
        Suspicion::Quarantined,
        "a late answer does not clear a quarantine"
    );
}

/// Guards against a sound request that many callers send at once, and that is quarantined since several endpoints are
/// lost together.
#[test]
fn endpoints_that_are_lost_together_count_once_against_a_request_that_was_answered() {
    let mut evidence = Evidence::with_limit(3);
    assert!(!evidence.clear(7), "it had no strikes");
    for number in 1..=5 {
        evidence.record(&crash(number, &[7, 8]), ms(u64::from(number)));
    }
    assert_eq!(evidence.suspicion(7), Suspicion::Suspect);
    assert_eq!(evidence.suspicion(8), Suspicion::Quarantined, "it was never answered");
    // Crashes one after another show that it crashes endpoints by now.
    evidence.record(&crash(6, &[7]), ms(4_000));
    evidence.record(&crash(7, &[7]), ms(8_000));
    assert_eq!(evidence.suspicion(7), Suspicion::Quarantined);
    assert!(evidence.absolve(7));
    assert_eq!(evidence.suspicion(7), Suspicion::Clear);
}

/// No quarantine lasts for ever, and a request that still crashes endpoints costs one more after it.
#[test]
fn a_quarantine_ends_and_the_next_crash_starts_it_again() {
    let mut evidence = Evidence::with_limit(3);
    for number in 1..=3 {
        evidence.record(&crash(number, &[7]), ms(u64::from(number)));
    }
    let end = ms(3) + QUARANTINE_DURATION;
    assert_eq!(evidence.next_expiry(), Some(end));
    assert!(evidence.expire(end - ms(1)).is_empty());
    assert_eq!(evidence.expire(end), vec![7]);
    assert_eq!(evidence.suspicion(7), Suspicion::Suspect);
    evidence.record(&crash(4, &[7]), end);
    assert_eq!(evidence.suspicion(7), Suspicion::Quarantined);
}

/// What one process has stored quarantines the request in the next one, which may pass it on to others.
#[test]
fn a_quarantine_is_restored_with_its_crashes() {
    let mut evidence = Evidence::with_limit(3);
    for number in 1..=3 {
        evidence.record(&crash(number, &[7]), ms(0));
    }
    let mut next = Evidence::with_limit(3);
    next.restore(7, evidence.crashes(7), ms(0));
    assert_eq!(next.suspicion(7), Suspicion::Quarantined);
    assert_eq!(next.crashes(7), evidence.crashes(7));
}

proptest! {
    #[test]
    fn any_order_of_reads_gives_each_byte_once(
        body in prop::collection::vec(any::<u8>(), 0..200),
        reads in prop::collection::vec((0u64..220, 1usize..50), 0..40),
    ) {
        let mut answer = Answer::default();
        answer.append(&body);
        answer.finish(End::Whole);
        let mut assembler = Assembler::new(OWN);
        let mut received = Vec::new();
        let in_order = std::iter::repeat_n((u64::MAX, 16), 20);
        for (offset, limit) in reads.into_iter().chain(in_order) {
            let offset = if offset == u64::MAX { assembler.offset() } else { offset };
            let Some(chunk) = answer.read(OWN, offset, limit) else { continue };
            if let Accept::New(bytes) = assembler.accept(chunk) {
                received.extend(bytes);
            }
        }
        prop_assert_eq!(received, body);
        prop_assert_eq!(assembler.end(), Some(End::Whole));
    }
}
