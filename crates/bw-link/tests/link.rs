//! Calls over loopback: replies, long polls, timeouts and reconnecting.

use std::net::SocketAddr;
use std::time::Duration;

use bw_link::serve;
use bw_link::Handler;
use bw_link::LinkError;
use bw_link::Pool;

const LIMIT: Duration = Duration::from_secs(20);

#[allow(clippy::unwrap_used)]
fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// Echoes requests, except that it never replies to `wait`.
#[derive(Clone)]
struct Echo;

impl Handler for Echo {
    async fn handle(&self, request: Vec<u8>) -> Vec<u8> {
        if request == b"wait" {
            std::future::pending::<()>().await;
        }
        request
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_calls_get_their_own_replies() {
    let address = free_address();
    let listener = serve(address, Echo).unwrap();
    let pool = Pool::new();
    let calls = (0..300u32).map(|number| {
        let pool = pool.clone();
        async move {
            let text = format!("request {number}");
            let reply = pool.call(address, text.as_bytes(), LIMIT).await.unwrap();
            assert_eq!(reply, text.as_bytes());
        }
    });
    futures::future::join_all(calls).await;
    drop(listener);
}

#[tokio::test(flavor = "multi_thread")]
async fn long_polls_do_not_block_other_calls() {
    let address = free_address();
    let listener = serve(address, Echo).unwrap();
    let pool = Pool::new();
    for _ in 0..100 {
        let pool = pool.clone();
        tokio::spawn(async move { pool.call(address, b"wait", LIMIT).await });
    }
    let reply = pool.call(address, b"next", LIMIT).await.unwrap();
    assert_eq!(reply, b"next");
    drop(listener);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_link_is_discarded_and_a_new_one_works() {
    let address = free_address();
    let listener = serve(address, Echo).unwrap();
    let pool = Pool::new();
    let timed_out = pool.call(address, b"wait", Duration::from_millis(50)).await;
    assert_eq!(timed_out, Err(LinkError::Timeout(address)));
    assert!(pool.is_empty());
    let reply = pool.call(address, b"again", LIMIT).await.unwrap();
    assert_eq!(reply, b"again");
    drop(listener);
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_that_time_out_as_they_complete_do_not_block() {
    let address = free_address();
    let listener = serve(address, Echo).unwrap();
    let pool = Pool::new();
    // The timeouts expire about when the replies arrive, so some channels are dropped while their
    // nng callbacks run. A callback that dropped the last reference to its Aio would block forever.
    for micros in 0..400 {
        let calls = (0..8).map(|_| {
            let pool = pool.clone();
            async move { pool.call(address, b"now", Duration::from_micros(micros * 2)).await }
        });
        futures::future::join_all(calls).await;
    }
    let reply = pool.call(address, b"after", LIMIT).await.unwrap();
    assert_eq!(reply, b"after");
    drop(listener);
}
