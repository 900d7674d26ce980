//! Keys that were taken away, around the return of the store from an older copy.

use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http::Connection;
use crate::proxy::CUT;
use crate::proxy::PASS;
use crate::world::World;
use crate::world::MANIFEST;
use crate::Verdict;

/// The bound `revoke_ms`.
const REVOKE: Duration = Duration::from_millis(5_000);
/// Time from the copy to the manifest that takes the key away.
const COPY_LEAD: Duration = Duration::from_millis(500);
/// Time from the ack of that manifest to the drill.
const DRILL_DELAY: Duration = Duration::from_millis(5_500);
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(500);
/// Time from the store's return until the operator has written again.
const REWRITE_DELAY: Duration = Duration::from_millis(1_500);
/// Late requests in the record.
const LATE_SHOWN: usize = 40;

/// A request with the key of the second tenant.
struct Call {
    attempt: String,
    sent: Instant,
    status: u16,
}

/// All processes are killed while the store returns from a copy that has a key which was taken away since.
pub fn after_drill(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let zones = ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"];
    let mut world = World::start(&zones, 6, folder)?;
    let calls: Arc<Mutex<Vec<Call>>> = Arc::default();
    let stop: Arc<AtomicBool> = Arc::default();
    let mut threads = Vec::new();
    for (number, gateway) in world.gateways.iter().enumerate() {
        let (address, calls, stop) = (gateway.callers, calls.clone(), stop.clone());
        threads.push(thread::spawn(move || {
            let mut count = 0;
            while !stop.load(Ordering::SeqCst) {
                thread::sleep(Duration::from_millis(20));
                count += 1;
                let (attempt, sent) = (format!("{number}.{count}"), Instant::now());
                let status = call(address, &attempt).unwrap_or(0);
                calls.lock().unwrap().push(Call { attempt, sent, status });
            }
        }));
    }
    thread::sleep(Duration::from_secs(3));
    let copy = world.store.copy();
    thread::sleep(COPY_LEAD);
    let newer = MANIFEST.replace("\"version\":7", "\"version\":9").replace("[\"key-2\"]", "[]");
    let acked = world.store.put("config", "main", &newer);
    world.note("the store acknowledges version 9, which takes key-2 away");
    thread::sleep(DRILL_DELAY);
    if trouble {
        world.note("the store is away, and all processes are killed");
        world.gateways.iter().for_each(|gateway| gateway.proxy.set(CUT));
        world.gateways.iter_mut().for_each(|gateway| gateway.kill());
        thread::sleep(AWAY);
        world.store.restore(copy);
        world.gateways.iter().for_each(|gateway| gateway.proxy.set(PASS));
        for gateway in &mut world.gateways {
            gateway.restart().map_err(|error| error.to_string())?;
        }
        world.note("the store is back from the copy of version 7; the processes start");
        for server in world.servers.clone() {
            server.list(&world.store, "order-tools", "ready");
        }
        thread::sleep(REWRITE_DELAY);
        world.store.put("config", "main", &newer);
        world.note("the operator has written version 9 again");
    }
    thread::sleep(Duration::from_secs(6));
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    let calls = calls.lock().unwrap();
    let ran: Vec<String> =
        world.servers.iter().flat_map(|server| server.arrivals()).map(|arrival| arrival.attempt).collect();
    let late: Vec<&Call> =
        calls.iter().filter(|call| call.sent > acked + REVOKE && ran.contains(&call.attempt)).collect();
    let mut record = vec![
        format!("requests with key-2: {}", calls.len()),
        format!("sent later than revoke_ms after the ack, and run: {}", late.len()),
    ];
    record.append(&mut world.record);
    for call in late.iter().take(LATE_SHOWN) {
        record.push(format!(
            "{:8.3} s request {} is sent {} ms after the ack; a server runs it; the requester gets {}",
            (call.sent - world.begin).as_secs_f64(),
            call.attempt,
            (call.sent - acked).as_millis(),
            call.status
        ));
    }
    Ok(Verdict { held: late.is_empty(), record })
}

/// Sends a request with the second key on a new connection, and returns the status of the answer.
fn call(address: std::net::SocketAddr, attempt: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
    stream.set_read_timeout(Some(Duration::from_millis(1_500))).ok()?;
    let mut connection = Connection::new(stream);
    let headers =
        [("Host", "orders.example"), ("Attempt-Id", attempt), ("Deadline-Ms", "1500"), ("X-Api-Key", "key-2")];
    connection.write("GET /status/2 HTTP/1.1", &headers, b"").ok()?;
    Some(connection.read().ok()?.status())
}
