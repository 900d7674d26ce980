//! Parts of a stream from several endpoints.

#![allow(clippy::unwrap_used)]

use bw_direct::continuity::Continuity;
use bw_direct::continuity::Discontinuity;

/// Returns a stream whose first part had these events, and broke off within another one if `partial`.
fn broken(ids: &[u64], partial: bool) -> Continuity {
    let mut stream = Continuity::new(None);
    accept(&mut stream, ids).unwrap();
    stream.begin_part(partial);
    stream
}

fn accept(stream: &mut Continuity, ids: &[u64]) -> Result<(), Discontinuity> {
    let ids: Vec<Option<u64>> = ids.iter().copied().map(Some).collect();
    stream.accept(&ids)
}

#[test]
fn ids_that_were_consecutive_stay_so() {
    let mut stream = broken(&[1, 2, 3], true);
    assert_eq!(accept(&mut stream, &[1]), Err(Discontinuity::Repeated(1)));
    assert_eq!(accept(&mut stream, &[3]), Err(Discontinuity::Repeated(3)));
    assert_eq!(accept(&mut stream, &[5]), Err(Discontinuity::Skipped(5)));
    assert_eq!(accept(&mut stream, &[4, 6]), Err(Discontinuity::Skipped(6)));
    assert_eq!(stream.last_event(), Some(3));
    assert_eq!(accept(&mut stream, &[4, 5]), Ok(()));
    assert_eq!(stream.last_event(), Some(5));
}

#[test]
fn ids_with_gaps_may_go_on_with_a_gap() {
    let mut stream = broken(&[10, 20, 30], true);
    assert_eq!(accept(&mut stream, &[30]), Err(Discontinuity::Repeated(30)));
    assert_eq!(accept(&mut stream, &[40]), Ok(()));
    // One event does not tell what the next id is.
    let mut stream = broken(&[10], true);
    assert_eq!(accept(&mut stream, &[20]), Ok(()));
    // The first event of all has number 1.
    let mut stream = broken(&[1], true);
    assert_eq!(accept(&mut stream, &[3]), Err(Discontinuity::Skipped(3)));
}

#[test]
fn events_without_ids_cannot_be_placed() {
    let mut stream = broken(&[1, 2], false);
    assert_eq!(stream.accept(&[None]), Err(Discontinuity::Unnumbered));
    assert!(stream.can_resume());
    let mut stream = Continuity::new(None);
    assert!(stream.can_resume());
    assert_eq!(stream.accept(&[Some(1), None]), Ok(()));
    assert!(!stream.can_resume());
}

#[test]
fn a_stream_is_complete_only_with_the_event_that_was_begun() {
    let mut stream = broken(&[1, 2], true);
    assert_eq!(stream.check_end(), Err(Discontinuity::Unfinished));
    // A part that breaks off between two events does not end the one before.
    stream.begin_part(false);
    assert_eq!(stream.check_end(), Err(Discontinuity::Unfinished));
    assert_eq!(accept(&mut stream, &[3]), Ok(()));
    assert_eq!(stream.check_end(), Ok(()));
    assert_eq!(broken(&[1, 2], false).check_end(), Ok(()));
}

#[test]
fn a_caller_that_goes_on_counts_what_it_has() {
    let mut stream = Continuity::new(Some(7));
    assert_eq!(accept(&mut stream, &[8]), Ok(()));
    stream.begin_part(true);
    assert_eq!(accept(&mut stream, &[10]), Err(Discontinuity::Skipped(10)));
    assert_eq!(accept(&mut stream, &[9]), Ok(()));
}

#[test]
fn ids_of_any_size_are_compared() {
    let mut stream = broken(&[u64::MAX - 1, u64::MAX], true);
    assert_eq!(accept(&mut stream, &[0]), Err(Discontinuity::Repeated(0)));
    assert_eq!(accept(&mut stream, &[u64::MAX]), Err(Discontinuity::Repeated(u64::MAX)));
}
