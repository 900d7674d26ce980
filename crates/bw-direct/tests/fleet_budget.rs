//! Replays of the retry budget of a whole fleet while endpoints reject all requests and gateways restart, are
//! killed together, leave, or are cut off.

#![allow(clippy::unwrap_used, clippy::panic)]

mod common;

use std::time::Duration;

use bw_direct::budget::Allowance;
use bw_direct::budget::RetryBudget;
use bw_direct::peers::News;
use bw_direct::peers::Peers;
use common::address;
use common::news;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const ALLOWANCE: Allowance = Allowance { ratio: 0.2, slack: 90.0, window: Duration::from_secs(10) };
/// Length of the window in milliseconds.
const WINDOW: u64 = 10_000;
/// Time between two steps, in milliseconds.
const STEP: u64 = 20;
/// Requests a second of all callers.
const REQUESTS: f64 = 120.0;
/// Retries that follow a request at most.
const RETRIES_MAX: u32 = 2;
/// Longest time from the grant of a retry to its arrival, in milliseconds; most arrive at once.
const DELAY_MAX: u64 = 4_000;

/// What happens to the gateways from second 20 on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// All restart in turn, again and again, and announce that they leave.
    Rolling,
    /// All are killed at the same moment, every 4 s.
    Herds,
    /// Half of them neither hear the others nor each other.
    Cut,
}

struct Gateway {
    name: String,
    peers: Peers,
    budget: RetryBudget,
    incarnation: u64,
    connected: bool,
    /// Time until which the gateway is down.
    down_until: u64,
    /// Times at which granted retries arrive.
    waiting: Vec<u64>,
}

struct Fleet {
    gateways: Vec<Gateway>,
    random: SmallRng,
    requests: Vec<u64>,
    arrivals: Vec<u64>,
}

fn at(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Fleet {
    fn new(count: usize, seed: u64) -> Self {
        let names: Vec<String> = (0..count).map(|number| format!("gateway-{number}")).collect();
        let gateways = names.iter().map(|name| Gateway {
            name: name.clone(),
            peers: known(name, &names, 0),
            budget: RetryBudget::new(Duration::ZERO),
            incarnation: 1,
            connected: true,
            down_until: 0,
            waiting: Vec::new(),
        });
        let gateways = gateways.collect();
        let random = SmallRng::seed_from_u64(seed);
        Self { gateways, random, requests: Vec::new(), arrivals: Vec::new() }
    }

    fn run(&mut self, trouble: Trouble, end: u64) {
        let round = 100.max(5 * self.gateways.len() as u64);
        let names: Vec<String> = self.gateways.iter().map(|one| one.name.clone()).collect();
        let mut next = 0;
        for now in (0..end).step_by(STEP as usize) {
            let troubled = now >= 20_000;
            match trouble {
                Trouble::Rolling if troubled && now % 500 == 0 => {
                    self.announce(next % names.len(), now);
                    self.restart(next % names.len(), &names, now, 1_000);
                    next += 1;
                }
                Trouble::Herds if troubled && now % 4_000 == 0 => {
                    (0..names.len()).for_each(|number| self.restart(number, &names, now, 800));
                }
                Trouble::Cut if now == 20_000 => {
                    self.gateways.iter_mut().step_by(2).for_each(|one| one.connected = false);
                }
                _ => {}
            }
            if now % round < STEP {
                self.exchange_news(now);
            }
            self.step(now);
        }
    }

    /// Receives requests, all of which endpoints reject, and sends the retries that are due.
    fn step(&mut self, now: u64) {
        let up: Vec<usize> = (0..self.gateways.len())
            .filter(|number| self.gateways[*number].down_until <= now)
            .collect();
        let wanted = REQUESTS * STEP as f64 / 1_000.0;
        let count = wanted as u32 + u32::from(self.random.random_bool(wanted.fract()));
        for _ in 0..count {
            self.requests.push(now);
            if up.is_empty() {
                continue;
            }
            let gateway = &mut self.gateways[up[self.random.random_range(0..up.len())]];
            gateway.budget.record_request("s", ALLOWANCE.window, at(now));
            for _ in 0..RETRIES_MAX {
                let parts = gateway.peers.part_count(ALLOWANCE.window, at(now));
                if gateway.budget.try_grant("s", ALLOWANCE, parts, at(now)) {
                    let waits = self.random.random_bool(0.3);
                    let delay = if waits { self.random.random_range(0..DELAY_MAX) } else { 0 };
                    gateway.waiting.push(now + delay);
                }
            }
        }
        for gateway in &mut self.gateways {
            let due = gateway.waiting.iter().filter(|arrival| **arrival <= now).count();
            gateway.waiting.retain(|arrival| *arrival > now);
            for _ in 0..due {
                gateway.budget.settle("s", ALLOWANCE.window, at(now));
                self.arrivals.push(now);
            }
        }
    }

    /// Ends a gateway's process, whose waiting retries are lost, and starts it again after `down`.
    fn restart(&mut self, number: usize, names: &[String], now: u64, down: u64) {
        let gateway = &mut self.gateways[number];
        gateway.peers = known(&gateway.name, names, now + down);
        gateway.budget = RetryBudget::new(at(now + down));
        gateway.incarnation += 1;
        gateway.down_until = now + down;
        gateway.waiting.clear();
    }

    /// Tells the others that a gateway leaves.
    fn announce(&mut self, number: usize, now: u64) {
        let news = self.news(number, true, now);
        for gateway in self.gateways.iter_mut().filter(|one| one.down_until <= now) {
            gateway.peers.receive(&news, at(now));
        }
    }

    /// Sends the news of all gateways that run; one datagram in twenty is lost.
    fn exchange_news(&mut self, now: u64) {
        let sends = |gateway: &Gateway| gateway.connected && gateway.down_until <= now;
        let senders: Vec<usize> =
            (0..self.gateways.len()).filter(|number| sends(&self.gateways[*number])).collect();
        let news: Vec<News> = senders.iter().map(|number| self.news(*number, false, now)).collect();
        for gateway in self.gateways.iter_mut().filter(|one| sends(one)) {
            for news in &news {
                if !self.random.random_bool(0.05) {
                    gateway.peers.receive(news, at(now));
                }
            }
            gateway.peers.forget_gone(ALLOWANCE.window, at(now));
        }
    }

    fn news(&self, number: usize, leaving: bool, now: u64) -> News {
        let gateway = &self.gateways[number];
        news(&gateway.name, gateway.incarnation, now + 1 + u64::from(leaving), leaving)
    }

    /// Returns, of all windows, the most that arrived beyond what was allowed; negative if none exceeded it.
    fn worst_excess(&self, end: u64) -> f64 {
        let within = |times: &[u64], from: u64| {
            times.partition_point(|one| *one < from + WINDOW) as f64
                - times.partition_point(|one| *one < from) as f64
        };
        let excess = |start: u64| {
            let earned =
                [0, WINDOW / 2, WINDOW].map(|back| within(&self.requests, start.max(back) - back));
            let most = earned.into_iter().fold(0.0, f64::max);
            within(&self.arrivals, start) - (ALLOWANCE.ratio * most + ALLOWANCE.slack)
        };
        (0..end).step_by(250).map(excess).fold(f64::MIN, f64::max)
    }
}

/// Returns what a process that starts at `now` knows of the others: their names, from the store.
fn known(name: &str, names: &[String], now: u64) -> Peers {
    let mut peers = Peers::new(name.to_string());
    names.iter().for_each(|other| peers.add(address(other), at(now)));
    peers
}

#[test]
fn a_fleet_keeps_to_its_retry_budget_while_gateways_come_and_go() {
    for trouble in [Trouble::None, Trouble::Rolling, Trouble::Herds, Trouble::Cut] {
        for count in [1, 6, 46] {
            for seed in 0..2 {
                let mut fleet = Fleet::new(count, seed);
                fleet.run(trouble, 60_000);
                let excess = fleet.worst_excess(60_000);
                assert!(
                    excess <= 0.0,
                    "{excess:.1} too many: {count} gateways, {trouble:?}, seed {seed}"
                );
            }
        }
    }
}

/// The bound would be kept by sending nothing.
#[test]
fn a_fleet_uses_most_of_its_retry_budget_while_nothing_happens() {
    for count in [1, 6, 46] {
        let mut fleet = Fleet::new(count, 1);
        fleet.run(Trouble::None, 60_000);
        let used = fleet.arrivals.iter().filter(|one| **one >= 30_000).count() as f64;
        let allowed = 3.0 * (ALLOWANCE.ratio * REQUESTS * 10.0 + ALLOWANCE.slack);
        assert!(used >= 0.5 * allowed, "{used} of {allowed}: {count} gateways");
    }
}
