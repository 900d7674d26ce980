//! What the heads of answers say.

#![allow(clippy::unwrap_used, clippy::panic)]

use bw_direct::limits::LimitError;
use bw_direct::limits::Rate;
use bw_direct::limits::Statement;
use bw_direct::request::ReplyHead;

fn head(stamped: bool, limit: Option<Result<Rate, LimitError>>) -> ReplyHead {
    ReplyHead { attempt: Some("a-1".to_string()), stamped, limit, ..ReplyHead::default() }
}

#[test]
fn only_an_endpoints_answer_to_the_request_tells_that_it_names_no_limit() {
    assert_eq!(head(true, None).limit_statement("a-1"), Some(Statement::NoLimit));
    assert_eq!(head(false, None).limit_statement("a-1"), None);
    assert_eq!(head(true, None).limit_statement("a-2"), None);
}

/// Guards against "not run" for a request that runs, taken from a refusal of an earlier one.
#[test]
fn a_refusal_without_an_attempt_counts_on_a_new_connection_only() {
    let named = |attempt: Option<&str>| attempt.map(str::to_string);
    for (status, not_run) in [(400, true), (408, true), (421, false), (429, true), (503, true)] {
        let refusal = |attempt| ReplyHead {
            status,
            not_run,
            attempt: named(attempt),
            ..ReplyHead::default()
        };
        assert!(refusal(None).refuses("a-1", true));
        assert!(!refusal(None).refuses("a-1", false));
        for first in [false, true] {
            assert!(refusal(Some("a-1")).refuses("a-1", first));
            assert!(!refusal(Some("a-2")).refuses("a-1", first));
        }
    }
    let failure = ReplyHead { status: 503, ..ReplyHead::default() };
    assert!(!failure.refuses("a-1", true));
}

#[test]
fn a_rejection_may_name_a_limit() {
    let rate = Rate::try_from(1.1).unwrap();
    let rejection = head(false, Some(Ok(rate)));
    assert_eq!(rejection.limit_statement("a-1"), Some(Statement::Named(rate)));
    assert_eq!(rejection.limit_statement("a-2"), None);
    let invalid = head(true, Some(Err(LimitError::Negative)));
    assert_eq!(invalid.limit_statement("a-1"), Some(Statement::Invalid(LimitError::Negative)));
}
