//! A request that crashes servers comes again, while sound requests of the same caller differ from it in their
//! query only. With `CONTROL=1` the sound requests have another path.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

use crate::record::Record;
use crate::server::POISON_QUERY;
use crate::world::send;
use crate::world::World;

const CONTACT_MS: u64 = 3_000;
/// Retries that may reach servers after the third crash.
const RETRIES_MAX: usize = 3;
/// Times that the request comes again, first at any gateway, then later than contact_ms after the third crash.
const TIMES: usize = 6;
/// Interval between two sound requests.
const SOUND_MS: u64 = 100;

fn pause(millis: u64) {
    sleep(Duration::from_millis(millis));
}

/// Sends the request that crashes servers, and brings back the one that it crashed after some seconds.
fn send_poison(world: &mut World, number: usize, name: &str) {
    let gateway = number % world.gateways.len();
    let path = format!("/confirm/2f?{POISON_QUERY}");
    world.send(gateway, &path, &format!("{name}-{number}"), "");
    pause(2_000);
    let _ = world.replace_crashed();
    pause(1_000);
}

/// Returns whether the rule held; `None` if the case could not run.
pub fn run(record: &Record, trouble: bool) -> Option<bool> {
    let mut world = World::start(record, 3, 3).ok()?;
    if !world.wait_ready() {
        record.note("not all gateways became ready");
        return None;
    }
    pause(4_000);
    let control = std::env::var("CONTROL").is_ok_and(|value| value == "1");
    let path = if control { "/confirm/30?order=7" } else { "/confirm/2f?order=7" };
    let stop: Arc<AtomicBool> = Arc::default();
    let callers: Vec<_> = world.gateways.iter().map(|gateway| gateway.callers).collect();
    let (ended, sound_record) = (stop.clone(), record.clone());
    let sound = std::thread::spawn(move || {
        let mut number = 0;
        let mut served = 0;
        while !ended.load(Ordering::SeqCst) {
            let at = callers[number % callers.len()];
            let status = send(&sound_record, at, path, &format!("sound-{number}"), "");
            served += usize::from(status == 200);
            number += 1;
            pause(SOUND_MS);
        }
        (number, served)
    });
    pause(1_000);
    let mut third = None;
    if trouble {
        for number in 0..TIMES {
            send_poison(&mut world, number, "first");
        }
        third = world.arrivals.lock().unwrap().iter().filter(|one| one.poison).nth(2).map(|one| one.at);
        pause(CONTACT_MS);
        for number in 0..TIMES {
            send_poison(&mut world, number, "again");
        }
    } else {
        pause(10_000);
    }
    stop.store(true, Ordering::SeqCst);
    let (sent, served) = sound.join().ok()?;
    let arrivals = world.arrivals.lock().unwrap();
    let crashes = arrivals.iter().filter(|one| one.poison).count();
    let after = third.map_or(u64::MAX, |at| at + CONTACT_MS);
    let late = arrivals.iter().filter(|one| one.poison && one.at > after).count();
    record.note(&format!("sound requests: {sent}, answered with 200: {served}; crashes: {crashes}"));
    record.note(&format!("retries that reached servers after the third crash: {late}"));
    Some(late <= RETRIES_MAX)
}
