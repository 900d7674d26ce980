//! One gateway is cut off from the store for a moment; then two servers leave, one of
//! them without a word, and another one registers.

use std::thread::sleep;
use std::time::Duration;

use crate::fleet::ZONES;
use crate::record::Record;
use crate::server::Server;
use crate::world::send;
use crate::world::World;
use crate::world::SERVICE;

const DRAIN_MS: u64 = 2_000;
/// Length of the cut.
const CUT_MS: u64 = 800;
/// Time from the end of the cut until servers leave.
const CALM_MS: u64 = 700;
/// Time from the ack of the removal to the first request.
const QUIET_MS: u64 = 4_500;
/// Gateway that is cut off, which watches the store for its zone.
const CUT: usize = 0;

fn pause(millis: u64) {
    sleep(Duration::from_millis(millis));
}

/// A server reports that it is draining.
fn drain(world: &World, server: &Server) {
    server.leave();
    world.store.put("servers", server.id(), &server.entry(SERVICE, ZONES[0], "draining"));
    world.record.note(&format!("the store has accepted that {} is draining", server.id()));
}

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Record, trouble: bool) -> Option<bool> {
    let mut world = World::start(record, 6, 8).ok()?;
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
        world.gateways[CUT].link.cut();
        record.note(&format!("{} is cut off from the store", world.gateways[CUT].name));
    }
    pause(CUT_MS);
    world.gateways[CUT].link.heal();
    record.note("no gateway is cut off");
    pause(CALM_MS);
    let (told, silent) = (world.servers[0].clone(), world.servers[1].clone());
    drain(&world, &told);
    pause(60);
    silent.leave();
    world.store.remove("servers", silent.id());
    let left_at = record.note(&format!("the store has removed {}, which serves on", silent.id()));
    pause(10);
    let added = world.add_server().ok()?;
    record.note(&format!("the store has the new server {}", added.id()));
    pause(left_at + QUIET_MS - record.millis());
    record.note("requesters come back");
    for round in 0..4 {
        let mut threads = Vec::new();
        for (index, gateway) in world.gateways.iter().enumerate() {
            // What the gateway that was cut off sends does not count.
            if index == CUT {
                continue;
            }
            for part in 0..8 {
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
    let late = arrivals.iter().filter(|one| one.server == silent.id() && one.at > left_at + DRAIN_MS);
    let late = late.count();
    record.note(&format!("requests at {} later than drain_ms after the ack: {late}", silent.id()));
    Some(late == 0)
}
