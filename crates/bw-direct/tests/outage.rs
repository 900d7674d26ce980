//! Entries that are missing from the endpoint list: expired in an outage of the store, or removed.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bw_direct::endpoint::Endpoint;
use bw_direct::endpoint::EndpointChange;
use bw_direct::endpoint::Phase;
use bw_direct::endpoint::Table;
use bw_direct::outage::LAPSE_GRACE;
use bw_direct::outage::OUTAGE_MIN;
use bw_model::Position;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns a table with the endpoint `e` and answers of the store every half second up to `until`.
fn table(until: u64) -> Table {
    let mut table = Table::new();
    table.upsert(Endpoint {
        name: "e".to_string(),
        service: "s".to_string(),
        address: ([127, 0, 0, 1], 80).into(),
        centre: "a".to_string(),
        slots: 1,
        phase: Phase::Ready,
        cold: Duration::ZERO,
        born: 1,
        member: None,
    });
    for at in (0..=until).step_by(500) {
        table.record_store_answer(ms(at));
    }
    table
}

fn is_usable(table: &Table, now: Duration) -> bool {
    table.is_usable(table.find("e").unwrap(), now)
}

/// Guards against endpoints that get requests after their removal because the gateway that reads the list was cut
/// off from the store, while the store answered others.
#[test]
fn a_removal_after_a_cut_of_one_gateway_counts_at_once() {
    let mut table = table(10_000);
    // Own calls failed from 9.2 to 10 s; other gateways had answers meanwhile.
    assert_eq!(table.remove("e", ms(10_700)), EndpointChange::Removed);
    assert!(!is_usable(&table, ms(10_700)));
}

#[test]
fn an_entry_that_expired_in_an_outage_stays_usable_for_the_grace_time() {
    let mut table = table(10_000);
    let returned = ms(10_000) + OUTAGE_MIN;
    table.record_store_answer(returned);
    assert_eq!(table.remove("e", returned + ms(500)), EndpointChange::Lapsed);
    assert!(is_usable(&table, returned + LAPSE_GRACE - ms(1)));
    assert!(!is_usable(&table, returned + LAPSE_GRACE));
    assert_eq!(table.remove("e", returned + LAPSE_GRACE), EndpointChange::Removed);
}

/// A follower hears of the missing entry before it hears from the others that the store has returned.
#[test]
fn an_entry_found_missing_before_the_return_is_known_stays_usable() {
    let mut table = table(10_000);
    let now = ms(10_000) + OUTAGE_MIN;
    assert_eq!(table.remove("e", now), EndpointChange::Lapsed);
    assert!(is_usable(&table, now + LAPSE_GRACE - ms(1)));
}

/// Guards against followers that take the store for down for ever after an outage, and give each removed endpoint
/// the grace time.
#[test]
fn a_removal_after_the_grace_time_counts_at_once() {
    let mut table = table(10_000);
    let returned = ms(10_000) + OUTAGE_MIN;
    table.record_store_answer(returned);
    // News of an answer before the return arrive late.
    table.record_store_answer(ms(10_400));
    for later in (500..=3_000).step_by(500) {
        table.record_store_answer(returned + ms(later));
    }
    assert_eq!(table.remove("e", returned + LAPSE_GRACE), EndpointChange::Removed);
}

#[test]
fn entries_that_a_restored_store_lacks_stay_usable_for_the_grace_time() {
    let mut table = table(10_000);
    table.record_store_restore(Position::new(1, 7), ms(10_100));
    assert_eq!(table.remove("e", ms(10_100)), EndpointChange::Lapsed);
    assert!(!is_usable(&table, ms(10_100) + LAPSE_GRACE));
}
