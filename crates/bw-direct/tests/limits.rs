//! Replays of load at an endpoint that names a limit, with gateways that restart, fall silent and join.

#![allow(clippy::unwrap_used, clippy::panic)]

use std::time::Duration;

use bw_direct::endpoint::EndpointKey;
use bw_direct::limits::LimitChange;
use bw_direct::limits::LimitError;
use bw_direct::limits::Limits;
use bw_direct::limits::Permission;
use bw_direct::limits::Rate;
use bw_direct::limits::Told;
use bw_model::Key;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;

const ENDPOINT: &str = "e-0";
/// Time between two steps of a replay, in milliseconds.
const STEP: u64 = 10;
/// Time from a request to the head of its answer, in milliseconds.
const ANSWER: u64 = 150;
/// Time after the limit is first named from which it must be kept, in milliseconds.
const CONTACT: u64 = 3_000;
/// Length of the time in which arrivals are counted, in milliseconds.
const COUNTED: u64 = 4_000;

fn key() -> EndpointKey {
    EndpointKey::from_index(0)
}

fn rate(per_second: f64) -> Rate {
    Rate::try_from(per_second).unwrap()
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

struct Gateway {
    name: String,
    limits: Limits,
    /// Whether the others hear the gateway, and it them.
    connected: bool,
    /// Times at which answers arrive, and at which their requests were sent.
    answers: Vec<(u64, u64)>,
}

/// What happens to gateways in a replay.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Trouble {
    None,
    /// One gateway restarts every 300 ms.
    Restarts,
    /// A third of the gateways is cut off from all others.
    Cut,
}

struct Replay {
    gateways: Vec<Gateway>,
    random: SmallRng,
    limit: f64,
    /// Times of arrivals at the endpoint, from gateways that have been told of its limit.
    arrivals: Vec<u64>,
}

impl Replay {
    fn new(count: usize, limit: f64, seed: u64) -> Self {
        let names: Vec<String> = (0..count).map(|number| format!("gateway-{number}")).collect();
        let gateways = names.iter().map(|name| {
            let mut limits = Limits::new(name.clone());
            limits.set_members(names.clone(), Duration::ZERO);
            Gateway { name: name.clone(), limits, connected: true, answers: Vec::new() }
        });
        let random = SmallRng::seed_from_u64(seed);
        Self { gateways: gateways.collect(), random, limit, arrivals: Vec::new() }
    }

    /// Plays `end` milliseconds in which the callers of each gateway want four times what the endpoint
    /// permits.
    fn run(&mut self, trouble: Trouble, end: u64) {
        let names: Vec<String> = self.gateways.iter().map(|one| one.name.clone()).collect();
        let round = 100.max(5 * names.len() as u64);
        if trouble == Trouble::Cut {
            self.gateways.iter_mut().step_by(3).for_each(|gateway| gateway.connected = false);
        }
        let wanted = 4.0 * self.limit * STEP as f64 / 1_000.0;
        for now in (0..end).step_by(STEP as usize) {
            let at = Duration::from_millis(now);
            if trouble == Trouble::Restarts && now % 300 == 0 {
                let restarted = (now / 300) as usize % names.len();
                let mut limits = Limits::new(names[restarted].clone());
                limits.set_members(names.clone(), at);
                self.gateways[restarted].limits = limits;
                self.gateways[restarted].answers.clear();
                self.exchange_news(at);
            }
            if now % round == 0 {
                self.exchange_news(at);
            }
            for gateway in &mut self.gateways {
                let named = Some(rate(self.limit));
                let limits = &mut gateway.limits;
                gateway.answers.retain(|(answered, sent)| {
                    if *answered <= now {
                        let sent = Duration::from_millis(*sent);
                        limits.record_answer(key(), ENDPOINT, named, sent, at);
                    }
                    *answered > now
                });
                let wants = wanted as u32 + u32::from(self.random.random_bool(wanted.fract()));
                for _ in 0..wants {
                    let permission = limits.permission(key(), at);
                    if !permission.allows() {
                        break;
                    }
                    limits.record_send(key(), at);
                    gateway.answers.push((now + ANSWER, now));
                    // A gateway that has just restarted is not bound until somebody has told it.
                    if permission == Permission::Granted {
                        self.arrivals.push(now);
                    }
                }
            }
        }
    }

    /// Sends the news of all gateways; one datagram in ten is lost.
    fn exchange_news(&mut self, now: Duration) {
        let news: Vec<(usize, Vec<(EndpointKey, Told)>)> = self
            .gateways
            .iter()
            .enumerate()
            .filter(|(_, gateway)| gateway.connected)
            .map(|(sender, gateway)| (sender, gateway.limits.news(now)))
            .collect();
        for (receiver, gateway) in self.gateways.iter_mut().enumerate() {
            for (sender, news) in &news {
                let lost = !gateway.connected || self.random.random_bool(0.1);
                if *sender != receiver && !lost {
                    for (key, told) in news {
                        gateway.limits.receive(*key, ENDPOINT, *told, now);
                    }
                }
            }
        }
    }

    /// Returns the most arrivals in [`COUNTED`] milliseconds, from [`CONTACT`] on.
    fn most_arrivals(&self) -> usize {
        let counted: Vec<u64> =
            self.arrivals.iter().copied().filter(|at| *at >= CONTACT + ANSWER).collect();
        let within =
            |from: &u64| counted.iter().filter(|at| (*from..from + COUNTED).contains(at)).count();
        counted.iter().map(within).max().unwrap_or(0)
    }

    fn allowed(&self) -> f64 {
        1.5 * self.limit * COUNTED as f64 / 1_000.0 + 5.0
    }
}

const RATES: [f64; 5] = [0.2, 1.1, 4.0, 20.0, 150.0];

#[test]
fn all_gateways_together_keep_to_the_limit_of_an_endpoint() {
    for trouble in [Trouble::None, Trouble::Restarts, Trouble::Cut] {
        for count in [1, 3, 8, 46] {
            for limit in RATES {
                let mut replay = Replay::new(count, limit, count as u64);
                replay.run(trouble, 30_000);
                let (most, allowed) = (replay.most_arrivals(), replay.allowed());
                assert!(
                    most as f64 <= allowed,
                    "{most} of {allowed}: {count} gateways, {limit}/s, {trouble:?}"
                );
            }
        }
    }
}

/// Shows that the replay notices gateways which do not divide the limit.
#[test]
fn gateways_that_each_keep_to_the_limit_alone_exceed_it_together() {
    let mut replay = Replay::new(8, 1.1, 1);
    for gateway in &mut replay.gateways {
        gateway.limits.set_members(vec![gateway.name.clone()], Duration::ZERO);
    }
    replay.run(Trouble::None, 30_000);
    assert!(replay.most_arrivals() as f64 > replay.allowed(), "{}", replay.most_arrivals());
}

#[test]
fn four_fifths_of_a_limit_are_used_where_callers_want_more() {
    for count in [1, 8, 46] {
        for limit in RATES {
            let mut replay = Replay::new(count, limit, 7);
            replay.run(Trouble::None, 60_000);
            let (from, to) = (10_000, 60_000);
            let used = replay.arrivals.iter().filter(|at| (from..to).contains(*at)).count() as f64;
            let permitted = limit * (to - from) as f64 / 1_000.0;
            assert!(
                used >= 0.8 * permitted - 2.0,
                "{used} of {permitted}: {count} gateways, {limit}/s"
            );
        }
    }
}

#[test]
fn three_hundred_and_eighty_gateways_keep_to_the_limit() {
    let mut replay = Replay::new(380, 2.0, 1);
    replay.run(Trouble::Restarts, 12_000);
    assert!(replay.most_arrivals() as f64 <= replay.allowed(), "{}", replay.most_arrivals());
}

#[test]
fn a_limit_ends_with_an_answer_that_names_none() {
    let mut limits = Limits::new("a".to_string());
    let named = limits.record_answer(key(), ENDPOINT, Some(rate(1.0)), seconds(1), seconds(2));
    assert!(matches!(named, Some(LimitChange::Named(..))));
    assert_eq!(limits.permission(key(), seconds(2)), Permission::Later);
    // The answer to an earlier request came later, on another connection.
    assert_eq!(limits.record_answer(key(), ENDPOINT, None, seconds(1), seconds(3)), None);
    assert_eq!(limits.permission(key(), seconds(2)), Permission::Later);
    let ended = limits.record_answer(key(), ENDPOINT, None, seconds(3), seconds(4));
    assert_eq!(ended, Some(LimitChange::Ended));
    assert_eq!(limits.permission(key(), seconds(4)), Permission::Free);
}

#[test]
fn gateways_learn_of_the_end_of_a_need_from_each_other() {
    let members = vec!["a".to_string(), "b".to_string()];
    let (mut a, mut b) = (Limits::new("a".to_string()), Limits::new("b".to_string()));
    a.set_members(members.clone(), Duration::ZERO);
    b.set_members(members, Duration::ZERO);
    a.record_answer(key(), ENDPOINT, Some(rate(1.0)), seconds(0), seconds(1));
    for (key, told) in a.news(seconds(2)) {
        assert!(b.receive(key, ENDPOINT, told, seconds(2)).is_some());
    }
    assert_ne!(b.permission(key(), seconds(2)), Permission::Free);
    a.record_answer(key(), ENDPOINT, None, seconds(3), seconds(4));
    for (key, told) in a.news(seconds(5)) {
        assert_eq!(b.receive(key, ENDPOINT, told, seconds(5)), Some(LimitChange::Ended));
    }
    assert_eq!(b.permission(key(), seconds(5)), Permission::Free);
    // Only what endpoints have said to a gateway itself is passed on.
    assert_eq!(b.news(seconds(5)), vec![]);
}

/// The gateway may have missed the end of the need. The gateways try in turn, a minute each.
#[test]
fn a_gateway_without_a_part_tries_an_endpoint_that_nobody_has_heard_of_for_long() {
    let members: Vec<String> = (0..8).map(|number| format!("gateway-{number}")).collect();
    let mut all: Vec<Limits> = members.iter().map(|name| Limits::new(name.clone())).collect();
    for limits in &mut all {
        limits.set_members(members.clone(), Duration::ZERO);
        let told = Told { rate: Some(rate(0.0)), age: Duration::ZERO };
        limits.receive(key(), ENDPOINT, told, seconds(1));
    }
    for second in 62..550 {
        let now = seconds(second);
        let allowed = all.iter().filter(|limits| limits.permission(key(), now).allows()).count();
        // One whose turn it is, and the one that has the first part and always tries.
        assert!(allowed <= 2, "{allowed} at {second} s");
    }
    let tried = |limits: &Limits| {
        (62..550).any(|second| limits.permission(key(), seconds(second)).allows())
    };
    assert!(all.iter().all(tried));
}

#[test]
fn a_new_incarnation_has_no_limit() {
    let mut limits = Limits::new("a".to_string());
    limits.record_answer(key(), ENDPOINT, Some(rate(1.0)), seconds(1), seconds(2));
    limits.reset(key());
    assert_eq!(limits.permission(key(), seconds(2)), Permission::Free);
}

#[test]
fn a_rate_must_be_finite_and_not_negative() {
    assert_eq!(Rate::try_from(f64::NAN), Err(LimitError::NotANumber));
    assert_eq!(Rate::try_from(f64::INFINITY), Err(LimitError::NotANumber));
    assert_eq!(Rate::try_from(-0.5), Err(LimitError::Negative));
    assert_eq!(Rate::try_from(0.0).map(Rate::per_second), Ok(0.0));
}

proptest! {
    /// Rates up to the largest number, news of any age and gaps of any length.
    #[test]
    fn no_statement_of_an_endpoint_or_a_peer_makes_a_gateway_exceed_its_part(
        steps in proptest::collection::vec((0u64..100_000, any::<f64>(), any::<u64>(), 0u8..4), 1..60),
    ) {
        let mut limits = Limits::new("a".to_string());
        let mut now = Duration::ZERO;
        for (gap, per_second, age, kind) in steps {
            now += Duration::from_millis(gap);
            let named = Rate::try_from(per_second).ok();
            match kind {
                0 => { limits.record_answer(key(), ENDPOINT, named, now, now); }
                1 => {
                    let told = Told { rate: named, age: Duration::from_millis(age) };
                    limits.receive(key(), ENDPOINT, told, now);
                }
                2 => limits.set_members(vec!["a".to_string(), format!("b-{age}")], now),
                _ => {
                    if limits.permission(key(), now) == Permission::Granted {
                        limits.record_send(key(), now);
                    }
                }
            }
        }
    }
}
