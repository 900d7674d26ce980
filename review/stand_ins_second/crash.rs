//! A request that crashes servers comes again while the gateways are stopped and started in turn.

use std::thread::sleep;
use std::time::Duration;

use crate::fleet::SIGTERM;
use crate::record::Record;
use crate::server::POISON;
use crate::world::World;

const CONTACT_MS: u64 = 3_000;
/// Retries that may reach servers after the third crash.
const RETRIES_MAX: usize = 3;

fn pause(millis: u64) {
    sleep(Duration::from_millis(millis));
}

/// Sends the request to a gateway, and brings back the server that it crashed after some seconds.
fn send_poison(world: &mut World, gateway: usize, attempt: &str) -> u16 {
    let status = world.send(gateway, "/confirm/2f", attempt, POISON);
    pause(2_000);
    let _ = world.replace_crashed();
    pause(1_000);
    status
}

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Record, trouble: bool) -> Option<bool> {
    let mut world = World::start(record, 3, 3).ok()?;
    if !world.wait_ready() {
        record.note("not all gateways became ready");
        return None;
    }
    pause(4_000);
    for gateway in 0..3 {
        if world.send(gateway, "/status/2f", &format!("warm-{gateway}"), "q") != 200 {
            return None;
        }
    }
    let mut sent = 0;
    while world.arrivals.lock().unwrap().iter().filter(|one| one.poison).count() < 3 {
        send_poison(&mut world, sent % 3, &format!("first-{sent}"));
        sent += 1;
        if sent > 6 {
            record.note("three servers have not crashed");
            return None;
        }
    }
    let third = world.arrivals.lock().unwrap().iter().filter(|one| one.poison).nth(2)?.at;
    record.note("the request has crashed three servers");
    pause(CONTACT_MS);
    for gateway in 0..3 {
        if trouble {
            record.note(&format!("planned stop and start of {}", world.gateways[gateway].name));
            world.gateways[gateway].signal(SIGTERM);
            world.gateways[gateway].wait_end();
            world.gateways[gateway].start(record).ok()?;
            if !world.gateways[gateway].wait_ready(Duration::from_secs(10)) {
                record.note("a gateway did not become ready again");
                return None;
            }
            // The gateway is in touch again.
            pause(CONTACT_MS + 500);
        }
        for round in 0..4 {
            send_poison(&mut world, gateway, &format!("again-{gateway}-{round}"));
        }
    }
    let arrivals = world.arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|one| one.poison && one.at > third + CONTACT_MS).count();
    record.note(&format!("retries that reached servers after the third crash: {late}"));
    Some(late <= RETRIES_MAX)
}
