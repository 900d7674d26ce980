//! Seeded schedule of faults, in series that overlap.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::proxy::LinkFault;

/// Time before the first fault, in milliseconds.
const START_MS: u64 = 1_500;
/// Longest time from one fault to the next one of its series, and to the next series, in milliseconds.
const GAPS_MS: (u64, u64) = (300, 2_000);
/// Probability that the next fault belongs to the same series.
const SERIES: f64 = 0.5;

/// What is done from outside; numbers are those of gateways and endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Pauses a gateway's process.
    Pause(usize),
    /// Kills a gateway's process and starts it again.
    Kill(usize),
    /// Stops a gateway by SIGTERM and starts it again.
    Stop(usize),
    /// The store answers every call with an error.
    StoreDown,
    /// The store answers no call.
    StoreSilent,
    /// The store answers late.
    StoreSlow,
    /// The store loses the answers of some writes.
    StoreLost,
    /// The store comes back from the copy that was made when the fault began.
    StoreRestore,
    /// The link from a gateway to the store fails.
    StoreLink(usize, LinkFault),
    /// The links from all gateways to an endpoint fail.
    EndpointLink(usize, LinkFault),
    /// An endpoint leaves, and returns as another life.
    EndpointLeave(usize),
    /// An endpoint crashes with the requests that it runs, and returns as another life, which is cold.
    EndpointCrash(usize),
    /// An endpoint rejects some requests as not run.
    EndpointReject(usize),
    /// The configuration changes.
    Configure,
    /// Stops a gateway by SIGTERM and starts it with the program of a release.
    Replace(usize, Release),
}

/// Release of a gateway's program in a run with upgrades.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Release {
    /// The release that runs at first.
    Old,
    /// The release under test.
    New,
}

/// One fault of the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Time since the start of the run.
    pub at: Duration,
    /// Duration of what lasts.
    pub length: Duration,
    /// What happens.
    pub action: Action,
}

/// Draws the faults of a run of this length.
pub fn draw(seed: u64, length: Duration, gateways: usize, endpoints: usize) -> Vec<Fault> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(START_MS);
    while at < length {
        let duration = Duration::from_millis(rng.random_range(200..3_000));
        let action = draw_action(&mut rng, gateways, endpoints);
        faults.push(Fault { at, length: duration, action });
        let gap = if rng.random_bool(SERIES) { GAPS_MS.0 } else { GAPS_MS.1 };
        at += Duration::from_millis(rng.random_range(0..gap));
    }
    faults
}

/// Returns the replacements of a run with upgrades: the gateways are replaced one after the other, first forward,
/// then back, then forward again.
pub fn upgrades(length: Duration, gateways: usize) -> Vec<Fault> {
    let rounds = [Release::New, Release::Old, Release::New];
    let gap = length / (rounds.len() * gateways + 1) as u32;
    let replacements = rounds
        .into_iter()
        .flat_map(|release| (0..gateways).map(move |gateway| Action::Replace(gateway, release)));
    let fault = |(index, action): (u32, Action)| Fault {
        at: gap * (index + 1),
        length: Duration::ZERO,
        action,
    };
    (0..).zip(replacements).map(fault).collect()
}

fn draw_action(rng: &mut ChaCha8Rng, gateways: usize, endpoints: usize) -> Action {
    let gateway = rng.random_range(0..gateways);
    let endpoint = rng.random_range(0..endpoints);
    let link = match rng.random_range(0..5) {
        0 => LinkFault::Delay(rng.random_range(20..500)),
        1 => LinkFault::Reset,
        2 => LinkFault::CutThere,
        3 => LinkFault::CutBack,
        _ => LinkFault::Silent,
    };
    match rng.random_range(0..16) {
        0 => Action::Pause(gateway),
        1 => Action::Kill(gateway),
        2 | 3 => Action::Stop(gateway),
        4 => Action::StoreDown,
        5 => Action::StoreSilent,
        6 => Action::StoreSlow,
        7 => Action::StoreLost,
        8 => Action::StoreRestore,
        9 => Action::StoreLink(gateway, link),
        10 => Action::EndpointLink(endpoint, link),
        11 => Action::EndpointLeave(endpoint),
        12 => Action::EndpointCrash(endpoint),
        13 => Action::EndpointReject(endpoint),
        _ => Action::Configure,
    }
}
