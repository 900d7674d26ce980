//! The store cuts off the waiting watches once; then a server leaves and another one registers.

use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::world::send;
use crate::world::World;

const DRAIN_MS: u64 = 2_000;
const CONTACT_MS: u64 = 3_000;

fn pause(millis: u64) {
    sleep(Duration::from_millis(millis));
}

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Record, trouble: bool) -> Option<bool> {
    let mut world = World::start(record, 3, 8).ok()?;
    if !world.wait_ready() {
        record.note("not all gateways became ready");
        return None;
    }
    pause(4_000);
    for round in 0..3 {
        for gateway in 0..world.gateways.len() {
            let status = world.send(gateway, "/status/2f", &format!("warm-{round}-{gateway}"), "q");
            if status != 200 {
                record.note("a request before the disruption was not served");
                return None;
            }
        }
    }
    pause(1_000);
    if trouble {
        world.store.cut_watches();
        record.note("the store cuts off the watches that are waiting");
    }
    let cut_at = record.millis();
    pause(100);
    let leaver = world.servers[0].clone();
    leaver.leave();
    world.store.remove("servers", leaver.id());
    let left_at = record.note(&format!("the store has removed {}, which serves on", leaver.id()));
    pause(1_200);
    let added = world.add_server().ok()?;
    record.note(&format!("the store has the new server {}", added.id()));
    let from = left_at.max(cut_at + CONTACT_MS) + DRAIN_MS + 1_000;
    pause(from.saturating_sub(record.millis()));
    record.note("requesters come back; all machines are in touch");
    for round in 0..4 {
        let mut threads = Vec::new();
        for (index, gateway) in world.gateways.iter().enumerate() {
            for part in 0..3 {
                let (record, callers) = (record.clone(), gateway.callers);
                let attempt = format!("late-{round}-{index}-{part}");
                threads.push(std::thread::spawn(move || {
                    send(&record, callers, "/status/2f", &attempt, "q")
                }));
            }
        }
        for thread in threads {
            let _ = thread.join();
        }
        pause(500);
    }
    let arrivals = world.arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|one| one.server == leaver.id() && one.at > left_at + DRAIN_MS);
    let late = late.count();
    record.note(&format!("requests at {} later than drain_ms after the ack: {late}", leaver.id()));
    Some(late == 0)
}
