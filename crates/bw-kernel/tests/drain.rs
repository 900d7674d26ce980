//! What a stopping process may still start.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_kernel::BootClock;
use bw_kernel::Drain;
use tokio::time::timeout;

const SOON: Duration = Duration::from_millis(200);

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Returns whether work with this deadline is turned away soon.
async fn is_closed(drain: &Drain, deadline: Duration) -> bool {
    timeout(SOON, drain.closed_to(deadline)).await.is_ok()
}

#[tokio::test]
async fn a_process_that_is_not_stopping_starts_everything() {
    let drain = Drain::new(BootClock::start());
    assert!(drain.admits(Duration::MAX));
    assert!(!is_closed(&drain, Duration::MAX).await);
    assert!(timeout(SOON, drain.over()).await.is_err());
}

#[tokio::test]
async fn only_work_that_ends_in_time_starts_late_in_a_stop() {
    let drain = Drain::new(BootClock::start());
    drain.begin(ms(0), ms(60_000));
    let (short, long) = (drain.after(ms(1_000)), drain.after(ms(120_000)));
    assert!(drain.admits(short));
    assert!(!drain.admits(long));
    assert!(is_closed(&drain, long).await);
    assert!(!is_closed(&drain, short).await);
}

#[tokio::test]
async fn everything_starts_early_in_a_stop() {
    let drain = Drain::new(BootClock::start());
    drain.begin(ms(60_000), ms(90_000));
    let long = drain.after(ms(120_000));
    assert!(drain.admits(long));
    assert!(!is_closed(&drain, long).await);
}

/// A wait that began before the stop ends with it.
#[tokio::test]
async fn waits_see_a_stop_that_begins_later() {
    let drain = Drain::new(BootClock::start());
    let (closed, over) = (drain.clone(), drain.clone());
    let closed = tokio::spawn(async move { closed.closed_to(Duration::MAX).await });
    let over = tokio::spawn(async move { over.over().await });
    tokio::task::yield_now().await;
    drain.begin(ms(0), ms(0));
    timeout(Duration::from_secs(5), closed).await.unwrap().unwrap();
    timeout(Duration::from_secs(5), over).await.unwrap().unwrap();
}
