//! Servers that leave, and the requests that still reach them.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::fleet::Outcome;
use crate::fleet::Requesters;
use crate::proxy::CUT;
use crate::proxy::PASS;
use crate::proxy::SILENT;
use crate::world::Leaver;
use crate::world::World;
use crate::world::DRAIN;
use crate::Verdict;

/// Length of an outage of the store.
const OUTAGE: Duration = Duration::from_millis(8_000);
/// Time beyond drain_ms for which servers serve on that leave after an outage.
const SHORT: Duration = Duration::from_millis(60);
/// Failed requests of each status in the record.
const FAILED_SHOWN: usize = 20;

impl World {
    /// Judges the requests that gateways in touch have sent to servers that had left. `exempt` is the gateway that
    /// is not in touch.
    fn judge(mut self, outcomes: &[Outcome], exempt: Option<usize>) -> Verdict {
        let mut late = 0;
        let mut lost = 0;
        let mut most = Duration::ZERO;
        let mut lines = Vec::new();
        for Leaver { server, acked, told } in &self.left {
            let bound = *acked + DRAIN;
            for arrival in server.arrivals() {
                let number = arrival.attempt.split('.').next().and_then(|number| number.parse::<usize>().ok());
                if arrival.at <= bound || arrival.misdirected || number == exempt {
                    continue;
                }
                late += 1;
                most = most.max(arrival.at - bound);
                let outcome = outcomes.iter().find(|outcome| outcome.attempt == arrival.attempt);
                let status = outcome.map_or(0, |outcome| outcome.status);
                lost += usize::from(!(200..300).contains(&status));
                lines.push(format!(
                    "{:8.3} s server {} (told={told}) reads {} {} from {} {} ms after drain_ms; the requester gets {status}",
                    (arrival.at - self.begin).as_secs_f64(),
                    server.id,
                    arrival.method,
                    arrival.attempt,
                    number.and_then(|number| self.gateways.get(number)).map_or("?", |gateway| gateway.name.as_str()),
                    (arrival.at - bound).as_millis()
                ));
            }
        }
        let good = outcomes.iter().filter(|outcome| outcome.status == 200).count();
        let foreign = outcomes.iter().filter(|outcome| outcome.foreign).count();
        let mut record = vec![
            format!("requests {} answered with 200: {good}, foreign answers: {foreign}", outcomes.len()),
            format!("servers that left: {}", self.left.len()),
            format!(
                "requests that reached a server later than drain_ms after the ack, from gateways in touch: {late}, \
                 the latest {} ms after it; without a success for the requester: {lost}",
                most.as_millis()
            ),
        ];
        record.append(&mut self.record);
        record.append(&mut lines);
        for status in [0, 502, 503, 504] {
            let failed: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.status == status).collect();
            record.push(format!("requests that end with {status}: {}", failed.len()));
            for outcome in failed.iter().take(FAILED_SHOWN) {
                let sent = (outcome.sent - self.begin).as_secs_f64();
                record.push(format!("{sent:8.3} s {} {} ends with {status}", outcome.method, outcome.attempt));
            }
        }
        Verdict { held: late == 0, record }
    }
}

/// One gateway loses its path to the store for a moment. Just after it is back, servers leave.
pub fn after_hiccup(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let zones = ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"];
    let mut world = World::start(&zones, 12, folder)?;
    thread::sleep(Duration::from_secs(3));
    let requesters = Requesters::start(&world.gateways, 12, Duration::from_millis(100));
    thread::sleep(Duration::from_secs(2));
    for _ in 0..6 {
        if trouble {
            world.note("the first gateway is cut off from the store");
            world.gateways[0].proxy.set(CUT);
            thread::sleep(Duration::from_millis(1_000));
            world.gateways[0].proxy.set(PASS);
            world.note("its path is back");
        }
        thread::sleep(Duration::from_millis(450));
        world.leave(true);
        thread::sleep(Duration::from_millis(30));
        world.leave(false);
        thread::sleep(Duration::from_millis(30));
        world.leave(true);
        thread::sleep(Duration::from_millis(3_500));
        for _ in 0..3 {
            world.add_server()?;
        }
        thread::sleep(Duration::from_millis(4_000));
    }
    let outcomes = requesters.finish();
    Ok(world.judge(&outcomes, Some(0)))
}

/// Another writer adds an entry that cannot be read. Then the servers are replaced one after the other.
pub fn after_foreign_entry(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let zones = ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"];
    let mut world = World::start(&zones, 6, folder)?;
    thread::sleep(Duration::from_secs(3));
    let requesters = Requesters::start(&world.gateways, 12, Duration::from_millis(100));
    thread::sleep(Duration::from_secs(2));
    if trouble {
        world.note("another writer adds an entry with bytes that are no text");
        let content = r#"{"service":"order-tools","address":"\udcff\udcfe","zone":"hall-a","state":"ready"}"#;
        world.store.put("servers", "x-other-writer", content);
    }
    thread::sleep(Duration::from_secs(5));
    for _ in 0..6 {
        world.add_server()?;
        thread::sleep(Duration::from_millis(1_000));
        world.leave(true);
    }
    thread::sleep(Duration::from_secs(6));
    let ready = world.gateways.iter().filter(|gateway| gateway.is_ready()).count();
    world.note(&format!("{ready} of {} gateways say that they are ready", zones.len()));
    let outcomes = requesters.finish();
    Ok(world.judge(&outcomes, None))
}

/// The store is silent for a time, several times. Long after it is back, servers leave without a word.
pub fn after_outage(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let zones = ["hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c"];
    let mut world = World::start(&zones, 12, folder)?;
    world.longer = SHORT;
    thread::sleep(Duration::from_secs(3));
    let requesters = Requesters::start(&world.gateways, 16, Duration::from_millis(100));
    thread::sleep(Duration::from_secs(2));
    for _ in 0..5 {
        if trouble {
            world.note("the store falls silent");
            world.gateways.iter().for_each(|gateway| gateway.proxy.set(SILENT));
            thread::sleep(OUTAGE);
            world.gateways.iter().for_each(|gateway| gateway.proxy.set(PASS));
            world.note("the store is back");
        }
        thread::sleep(Duration::from_millis(6_000));
        for _ in 0..2 {
            for _ in 0..3 {
                world.leave(false);
                thread::sleep(Duration::from_millis(50));
            }
            thread::sleep(Duration::from_millis(2_600));
            for _ in 0..3 {
                world.add_server()?;
            }
            thread::sleep(Duration::from_millis(300));
        }
    }
    let outcomes = requesters.finish();
    Ok(world.judge(&outcomes, None))
}
