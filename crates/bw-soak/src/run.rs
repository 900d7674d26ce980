//! One run: starts the processes and the load, applies the schedule, and checks the end.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::load;
use crate::schedule;
use crate::settings::Options;
use crate::world::World;
use crate::world::ENDPOINTS;

const CALLERS: u64 = 10;
/// Time within which each gateway answers once all faults have ended.
const RECOVERY: Duration = Duration::from_secs(20);
/// Time for which endpoints are watched after the last gateway has ended.
const AFTER: Duration = Duration::from_secs(1);

/// Plays one run; returns the number of failed checks and of requests answered with 200.
///
/// # Errors
/// What kept the run from being played.
pub async fn play(options: Options) -> io::Result<(u32, u32)> {
    let mut faults = schedule::draw(options.seed, options.length, options.gateways, ENDPOINTS);
    if options.old_program.is_some() {
        faults.extend(schedule::upgrades(options.length, options.gateways));
        faults.sort_by_key(|fault| fault.at);
    }
    println!("seed={} gateways={} faults:", options.seed, options.gateways);
    for fault in &faults {
        let (at, length) = (fault.at.as_secs_f64(), fault.length.as_secs_f64());
        println!("    at={at:.3} length={length:.3} {:?}", fault.action);
    }
    let (seed, length) = (options.seed, options.length);
    let world = Arc::new(World::start(options).await?);
    for index in 0..world.gateways.len() {
        if timeout(RECOVERY, world.wait_answer(index)).await.is_err() {
            world.recorder.fail(&format!("gateway {index} does not answer after its start"));
        }
    }
    let mut callers = JoinSet::new();
    for number in 0..CALLERS {
        let world = Arc::clone(&world);
        callers.spawn(async move { load::call(&world, seed.wrapping_add(number)).await });
    }
    let mut played = JoinSet::new();
    for fault in faults {
        let world = Arc::clone(&world);
        played.spawn(async move {
            sleep(fault.at).await;
            world.recorder.note(&format!("begins: {:?}", fault.action));
            let result = world.apply(fault).await;
            world.recorder.note(&format!("ended: {:?}", fault.action));
            result
        });
    }
    sleep(length).await;
    while let Some(result) = played.join_next().await {
        result.map_err(io::Error::other)??;
    }
    for index in 0..world.gateways.len() {
        if timeout(RECOVERY, world.wait_answer(index)).await.is_err() {
            world.recorder.fail(&format!("gateway {index} does not recover from the faults"));
        }
    }
    let mut stops = JoinSet::new();
    for index in 0..world.gateways.len() {
        let world = Arc::clone(&world);
        stops.spawn(async move { world.stop_gateway(index).await });
    }
    while let Some(result) = stops.join_next().await {
        result.map_err(io::Error::other)??;
    }
    world.end_load();
    while callers.join_next().await.is_some() {}
    sleep(AFTER).await;
    Ok(world.recorder.totals())
}
