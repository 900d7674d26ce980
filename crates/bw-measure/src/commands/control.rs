//! `control`: what membership and configuration cost a node, and how fast news spreads.
//!
//! The cores of all entries run in this process. Time is counted in rounds of digests; each
//! digest is encoded as on the wire, and one in a hundred is lost.

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
/// Rounds that are measured after the first ones.
const ROUNDS: u32 = 80;
const WARM_UP: u32 = 40;
/// Entries up to which digests go to all others.
const MESH_MAX: usize = 12;
const FANOUT: usize = 3;
const LOSS: f64 = 0.01;
/// Entries that hear each agent.
const HEARERS: usize = 2;

/// bytes and time of membership for each node, and how fast news spreads
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "control")]
pub struct Control {
    /// seed of losses and choices
    #[argh(option, default = "1")]
    seed: u64,
}

/// A size of the system: entries, and endpoints that report load.
#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    servers: usize,
    gates: usize,
}

const SIZES: [Size; 4] = [
    Size { entries: 8, servers: 19, gates: 7 },
    Size { entries: 64, servers: 1_000, gates: 30 },
    Size { entries: 180, servers: 6_000, gates: 100 },
    Size { entries: 380, servers: 12_000, gates: 200 },
];

/// All entries with what they sent.
struct System {
    rosters: Vec<Roster>,
    random: ChaCha8Rng,
    bytes: u64,
    messages: u64,
    cpu: Duration,
}

impl Control {
    /// Runs the measurement.
    ///
    /// # Errors
    /// A message that cannot be encoded.
    pub fn run(&self) -> Result<(), MeasureError> {
        for size in SIZES {
            self.measure(size)?;
        }
        Ok(())
    }

    fn measure(&self, size: Size) -> Result<(), MeasureError> {
        let mut system = System::new(size, self.seed);
        for round in 0..WARM_UP {
            system.round(size, round, None)?;
        }
        system.reset();
        for round in WARM_UP..WARM_UP + ROUNDS {
            system.round(size, round, None)?;
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
        let rounds = system.spread(size, WARM_UP + ROUNDS)?;
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
        let spread =
            if size.entries > MESH_MAX { GossipLimits::SPARSE } else { GossipLimits::UNLIMITED };
        let roster = |number: usize| {
            let mut roster = Roster::new(own(number));
            roster.set_limits(spread);
            roster
        };
        Self {
            rosters: (0..size.entries).map(roster).collect(),
            random: ChaCha8Rng::seed_from_u64(seed),
            bytes: 0,
            messages: 0,
            cpu: Duration::ZERO,
        }
    }

    fn reset(&mut self) {
        (self.bytes, self.messages, self.cpu) = (0, 0, Duration::ZERO);
    }

    /// Heartbeats of all gates, then one digest round of all entries.
    fn round(
        &mut self,
        size: Size,
        round: u32,
        leaving: Option<usize>,
    ) -> Result<(), MeasureError> {
        let now = ROUND * round;
        let started = Instant::now();
        for gate in 0..size.gates {
            let beat = gate_beat(gate, u64::from(round), leaving == Some(gate));
            self.bytes += HEARERS as u64 * wire_bytes(&EntryRequest::Heartbeat(beat.clone()))?;
            for hearer in 0..HEARERS.min(size.entries) {
                let entry = (gate * 7 + hearer * 13) % size.entries;
                self.rosters[entry].record_heartbeat(beat.clone(), now);
            }
        }
        for entry in 0..size.entries {
            for peer in self.peers_of(entry, size.entries) {
                self.tell(entry, peer, now)?;
            }
        }
        self.cpu += started.elapsed();
        Ok(())
    }

    fn peers_of(&mut self, entry: usize, entries: usize) -> Vec<usize> {
        if entries <= MESH_MAX {
            return (0..entries).filter(|peer| *peer != entry).collect();
        }
        let drawn = sample(&mut self.random, entries, FANOUT + 1);
        drawn.into_iter().filter(|peer| *peer != entry).take(FANOUT).collect()
    }

    fn tell(&mut self, entry: usize, peer: usize, now: Duration) -> Result<(), MeasureError> {
        let name = format!("entry-{peer}");
        self.rosters[entry].update_own(|_| {});
        let digest = self.rosters[entry].digest_for(&name, now);
        self.bytes += wire_bytes(&EntryRequest::Digest(digest.clone()))?;
        self.messages += 1;
        if self.random.random_bool(LOSS) {
            self.rosters[entry].reset_sent(&name);
            return Ok(());
        }
        self.rosters[peer].merge_digest(digest, now);
        Ok(())
    }

    /// Rounds until every entry knows that gate 0 is leaving.
    fn spread(&mut self, size: Size, first: u32) -> Result<u32, MeasureError> {
        const ROUNDS_MAX: u32 = 100;
        for rounds in 1..=ROUNDS_MAX {
            self.round(size, first + rounds, Some(0))?;
            let knows = |roster: &Roster| roster.agent("gate-0").is_some_and(|beat| beat.leaving);
            if self.rosters.iter().all(knows) {
                return Ok(rounds);
            }
        }
        Err(MeasureError::Check("news does not spread".to_string()))
    }
}

fn gate_beat(gate: usize, seq: u64, leaving: bool) -> Heartbeat {
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

/// Bytes a second at one entry of the heartbeats of ranks that take no requests.
fn follower_bytes(size: Size) -> Result<f64, MeasureError> {
    const INTERVAL_SECONDS: f64 = 3.0;
    let beat = Heartbeat { load: None, ..gate_beat(10_000, 1 << 20, false) };
    let bytes = wire_bytes(&EntryRequest::Heartbeat(beat))?;
    let followers = size.servers.saturating_sub(size.gates) as f64;
    Ok(followers * bytes as f64 / INTERVAL_SECONDS / size.entries as f64)
}

fn wire_bytes(request: &EntryRequest) -> Result<u64, MeasureError> {
    let bytes = encode(request).map_err(|error| MeasureError::State(error.to_string()))?;
    Ok(bytes.len() as u64)
}
