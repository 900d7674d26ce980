//! Requests that a sound server has answered, and whose requesters get no answer.

use std::collections::HashSet;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::fleet::Requesters;
use crate::world::World;
use crate::Verdict;

/// Requests from kept channels that one gateway may lose.
const LOST_MAX: usize = 3;
/// Lost requests of each gateway in the record.
const LOST_SHOWN: usize = 10;
/// The longest idle timeout that a server can state in 64 bits.
const LONG: &str = "timeout=18446744073709551615";

/// One of twelve servers states an idle timeout that never ends.
pub fn after_long_keep_alive(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let zones = ["hall-a", "hall-a", "hall-b", "hall-b", "hall-c", "hall-c"];
    let mut world = World::start(&zones, 12, folder)?;
    thread::sleep(Duration::from_secs(3));
    let requesters = Requesters::start(&world.gateways, 12, Duration::from_millis(100));
    thread::sleep(Duration::from_secs(5));
    if trouble {
        let id = world.servers[0].id.clone();
        world.note(&format!("server {id} states Keep-Alive: {LONG}"));
        world.servers[0].set_keep_alive(LONG);
    }
    thread::sleep(Duration::from_secs(15));
    Ok(judge(world, requesters))
}

/// Judges the requests from kept channels that a server has answered.
fn judge(mut world: World, requesters: Requesters) -> Verdict {
    let outcomes = requesters.finish();
    let mut answered = HashSet::new();
    for server in &world.servers {
        let whole = server.arrivals().into_iter().filter(|arrival| arrival.answered && !arrival.misdirected);
        answered.extend(whole.map(|arrival| arrival.attempt));
    }
    let mut held = true;
    let mut lines = Vec::new();
    for (number, gateway) in world.gateways.iter().enumerate() {
        let prefix = format!("{number}.");
        let own = outcomes.iter().filter(|outcome| outcome.attempt.starts_with(&prefix));
        let lost = own.filter(|outcome| outcome.status == 0 && outcome.kept && answered.contains(&outcome.attempt));
        let lost: Vec<_> = lost.collect();
        held &= lost.len() <= LOST_MAX;
        lines.push(format!("{}: {} requests from kept channels answered by a server and lost", gateway.name, lost.len()));
        for outcome in lost.iter().take(LOST_SHOWN) {
            lines.push(format!(
                "{:8.3} s {} {} was answered by its server; its channel was closed without an answer",
                (outcome.sent - world.begin).as_secs_f64(),
                outcome.method,
                outcome.attempt
            ));
        }
    }
    let good = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    let mut record = vec![format!("requests {} answered with 200: {good}", outcomes.len())];
    record.append(&mut world.record);
    record.append(&mut lines);
    Verdict { held, record }
}
