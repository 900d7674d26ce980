//! Processes that end by themselves.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::fleet::Requesters;
use crate::rank::Group;
use crate::world::World;
use crate::Verdict;

/// Ranks that spoil one answer each: less than half of the sixteen.
const SPOILERS: usize = 6;
/// Time for which the gateways are watched.
const WATCHED: Duration = Duration::from_secs(75);
/// Pause after which the platform starts a process again.
const RESTART_PAUSE: Duration = Duration::from_secs(1);
/// A process that ends sooner after its start has not started, for example since its address is in use.
const LIFE_MIN: Duration = Duration::from_secs(1);
/// Machines on which processes may not end by themselves, and how often.
const MACHINES: usize = 2;
const ENDS: usize = 3;

/// Model servers of a group spoil one byte of one answer each, to gateways that plan the expert maps.
pub fn after_spoiled_lists(trouble: bool, folder: &Path) -> Result<Verdict, String> {
    let zones = ["hall-a", "hall-b"];
    let mut world = World::start(&zones, 6, folder)?;
    let begin = Instant::now() + Duration::from_secs(6);
    let spoilers = if trouble { SPOILERS } else { 0 };
    let group = Group::start(begin, spoilers).map_err(|error| error.to_string())?;
    group.list(&world.store, "assistant-llm", &zones);
    let requesters = Requesters::start(&world.gateways, 12, Duration::from_millis(100));
    let mut ends = vec![0; zones.len()];
    let mut ended_at = vec![None; zones.len()];
    let mut started_at = vec![Instant::now(); zones.len()];
    let until = begin + WATCHED;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(100));
        for number in 0..zones.len() {
            match ended_at[number] {
                None if world.gateways[number].has_ended() => {
                    if started_at[number].elapsed() < LIFE_MIN {
                        return Err("a process could not start again".to_string());
                    }
                    ends[number] += 1;
                    ended_at[number] = Some(Instant::now());
                    let name = world.gateways[number].name.clone();
                    world.note(&format!("the process of {name} has ended by itself"));
                }
                Some(at) if at.elapsed() > RESTART_PAUSE => {
                    world.gateways[number].restart().map_err(|error| error.to_string())?;
                    (ended_at[number], started_at[number]) = (None, Instant::now());
                }
                _ => {}
            }
        }
    }
    let outcomes = requesters.finish();
    let good = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    let machines = ends.iter().filter(|count| **count >= ENDS).count();
    let mut record = vec![
        format!("requests {} answered with 200: {good}", outcomes.len()),
        format!("ends of processes by themselves, by machine: {ends:?}"),
        format!("machines with {ENDS} or more: {machines}"),
    ];
    for (rank, answers) in group.answers.iter().enumerate() {
        let spoiled = usize::from(rank < group.spoiled.lock().unwrap().0);
        record.push(format!("model server {rank}: {} answers, {spoiled} spoiled", answers.load(Ordering::SeqCst)));
    }
    record.append(&mut world.record);
    Ok(Verdict { held: machines < MACHINES, record })
}
