//! `control`: traffic and processor time of membership at a node, and the time until all entries
//! know of a change.
//!
//! The membership logic of all entries runs in this process. Time advances in rounds of digests;
//! each digest is encoded as on the wire, and one in a hundred is lost.

use std::time::Duration;

use argh::FromArgs;
use bw_member::GossipLimits;
use bw_member::Heartbeat;
use bw_member::Load;
use bw_member::PeerState;
use bw_member::Roster;
use bw_model::Incarnation;
use bw_model::Version;
use bw_proto::encode;
use bw_proto::EntryRequest;
use rand::seq::index::sample;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;

use crate::error::MeasureError;
use crate::output::print_row;

/// Time between two rounds of digests.
const ROUND: Duration = Duration::from_millis(500);
/// Number of measured rounds, after the warm-up.
const ROUNDS: u32 = 80;
const WARM_UP_ROUNDS: u32 = 40;
/// Largest number of entries at which each entry sends digests to all others.
const MESH_MAX: usize = 12;
/// Number of random peers that receive an entry's digest in a round above [`MESH_MAX`].
const FANOUT: usize = 3;
/// Probability that a digest is lost.
const LOSS: f64 = 0.01;
/// Number of entries that receive the heartbeats of an agent.
const HEARTBEAT_TARGETS: usize = 2;

/// bytes and processor time of membership for each node, and the time that a change takes to spread
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "control")]
pub struct Control {
    /// seed of lost digests and of the choice of peers
    #[argh(option, default = "1")]
    seed: u64,
}

/// Size of the simulated system.
#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    servers: usize,
    /// Number of instances that report load.
    gates: usize,
}

const SIZES: [Size; 4] = [
    Size { entries: 8, servers: 19, gates: 7 },
    Size { entries: 64, servers: 1_000, gates: 30 },
    Size { entries: 180, servers: 6_000, gates: 100 },
    Size { entries: 380, servers: 12_000, gates: 200 },
];

/// All entries, and the cost of their messages since the last reset.
struct System {
    rosters: Vec<Roster>,
    rng: ChaCha8Rng,
    bytes: u64,
    messages: u64,
    cpu: Duration,
}

impl Control {
    /// Runs the measurement.
    ///
    /// # Errors
    /// A message cannot be encoded, or a change does not reach all entries.
    pub fn run(&self) -> Result<(), MeasureError> {
        for size in SIZES {
            self.measure(size)?;
        }
        Ok(())
    }

    fn measure(&self, size: Size) -> Result<(), MeasureError> {
        let mut system = System::new(size, self.seed);
        for round in 0..WARM_UP_ROUNDS {
            system.run_round(size, round, None)?;
        }
        system.reset();
        for round in WARM_UP_ROUNDS..WARM_UP_ROUNDS + ROUNDS {
            system.run_round(size, round, None)?;
        }
        let seconds = (ROUND * ROUNDS).as_secs_f64() * size.entries as f64;
        let follower = follower_bytes(size)?;
        let labels = [("entries", size.entries.to_string()), ("servers", size.servers.to_string())];
        let bytes = system.bytes as f64 / seconds + follower;
        print_row("entry_bytes", &labels, format!("{bytes:.0}"), "B/s");
        print_row(
            "entry_messages",
            &labels,
            format!("{:.1}", system.messages as f64 / seconds),
            "1/s",
        );
        let percent = 100.0 * system.cpu.as_secs_f64() / seconds;
        print_row("entry_cpu", &labels, format!("{percent:.3}"), "percent");
        let rounds = system.rounds_until_known(size, WARM_UP_ROUNDS + ROUNDS)?;
        let millis = (ROUND * rounds).as_millis();
        print_row("leave_max", &labels, millis, "ms");
        Ok(())
    }
}

impl System {
    fn new(size: Size, seed: u64) -> Self {
        let own = |number: usize| PeerState {
            instance: format!("entry-{number}"),
            incarnation: Incarnation(1),
            seq: 0,
            leaving: false,
            version: Version(1),
        };
        let limits =
            if size.entries > MESH_MAX { GossipLimits::SPARSE } else { GossipLimits::UNLIMITED };
        let roster = |number: usize| {
            let mut roster = Roster::new(own(number));
            roster.set_limits(limits);
            roster
        };
        Self {
            rosters: (0..size.entries).map(roster).collect(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            bytes: 0,
            messages: 0,
            cpu: Duration::ZERO,
        }
    }

    fn reset(&mut self) {
        (self.bytes, self.messages, self.cpu) = (0, 0, Duration::ZERO);
    }

    /// Delivers the heartbeats of all gates, then runs one round of digests of all entries.
    fn run_round(
        &mut self,
        size: Size,
        round: u32,
        leaving: Option<usize>,
    ) -> Result<(), MeasureError> {
        let now = ROUND * round;
        let started_at = Instant::now();
        for gate in 0..size.gates {
            let heartbeat = gate_heartbeat(gate, u64::from(round), leaving == Some(gate));
            self.bytes +=
                HEARTBEAT_TARGETS as u64 * wire_bytes(&EntryRequest::Heartbeat(heartbeat.clone()))?;
            for target in 0..HEARTBEAT_TARGETS.min(size.entries) {
                let entry = (gate * 7 + target * 13) % size.entries;
                self.rosters[entry].record_heartbeat(heartbeat.clone(), now);
            }
        }
        for entry in 0..size.entries {
            for peer in self.peers_of(entry, size.entries) {
                self.send_digest(entry, peer, now)?;
            }
        }
        self.cpu += started_at.elapsed();
        Ok(())
    }

    fn peers_of(&mut self, entry: usize, entries: usize) -> Vec<usize> {
        if entries <= MESH_MAX {
            return (0..entries).filter(|peer| *peer != entry).collect();
        }
        let sampled = sample(&mut self.rng, entries, FANOUT + 1);
        sampled.into_iter().filter(|peer| *peer != entry).take(FANOUT).collect()
    }

    fn send_digest(
        &mut self,
        entry: usize,
        peer: usize,
        now: Duration,
    ) -> Result<(), MeasureError> {
        let name = format!("entry-{peer}");
        self.rosters[entry].update_own(|_| {});
        let digest = self.rosters[entry].digest_for(&name, now);
        self.bytes += wire_bytes(&EntryRequest::Digest(digest.clone()))?;
        self.messages += 1;
        if self.rng.random_bool(LOSS) {
            self.rosters[entry].reset_sent(&name);
            return Ok(());
        }
        self.rosters[peer].merge_digest(digest, now);
        Ok(())
    }

    /// Returns the number of rounds until every entry knows that gate 0 is leaving.
    fn rounds_until_known(&mut self, size: Size, first: u32) -> Result<u32, MeasureError> {
        const ROUNDS_MAX: u32 = 100;
        for rounds in 1..=ROUNDS_MAX {
            self.run_round(size, first + rounds, Some(0))?;
            let is_informed =
                |roster: &Roster| roster.agent("gate-0").is_some_and(|heartbeat| heartbeat.leaving);
            if self.rosters.iter().all(is_informed) {
                return Ok(rounds);
            }
        }
        Err(MeasureError::Check(format!(
            "not all entries know of a leaving gate after {ROUNDS_MAX} rounds"
        )))
    }
}

fn gate_heartbeat(gate: usize, seq: u64, leaving: bool) -> Heartbeat {
    let load = Load { running: 40, queued: 3, slots: 64, service: 900 };
    Heartbeat {
        instance: format!("gate-{gate}"),
        incarnation: Incarnation(1 << 60),
        seq,
        leaving,
        version: Version(1),
        interval: 500,
        load: Some(load),
    }
}

/// Returns the bytes per second that one entry receives in heartbeats of ranks other than gates.
fn follower_bytes(size: Size) -> Result<f64, MeasureError> {
    const INTERVAL_SECONDS: f64 = 3.0;
    let heartbeat = Heartbeat { load: None, ..gate_heartbeat(10_000, 1 << 20, false) };
    let bytes = wire_bytes(&EntryRequest::Heartbeat(heartbeat))?;
    let followers = size.servers.saturating_sub(size.gates) as f64;
    Ok(followers * bytes as f64 / INTERVAL_SECONDS / size.entries as f64)
}

fn wire_bytes(request: &EntryRequest) -> Result<u64, MeasureError> {
    let bytes = encode(request).map_err(|error| MeasureError::Unexpected(error.to_string()))?;
    Ok(bytes.len() as u64)
}
