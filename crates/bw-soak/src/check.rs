//! Checks of the promises, from what callers and endpoints see.

use std::collections::HashMap;
use std::ops::Range;
use std::time::Duration;

use bw_fake::endpoint::event_text;

/// Number of events of each stream.
pub const STREAM_EVENTS: u64 = 5;
/// Length of the window in which requests to a cold endpoint are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// One life of a gateway or an endpoint: a process from its start to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Life {
    /// Number of the gateway or endpoint.
    pub index: usize,
    /// Number of the life.
    pub number: u32,
}

/// A gateway or an endpoint, whatever its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    /// The gateway with this number.
    Gateway(usize),
    /// The endpoint with this number.
    Endpoint(usize),
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// May run at most once.
    Unsafe,
    /// A stream that may be resumed.
    Stream,
    /// May run more than once; its route exists in this version of the configuration only.
    Version(u64),
}

/// How an attempt ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A response with this status and a body that looks complete.
    Whole(u16, String),
    /// The connection broke, or no complete response came in time.
    Broken,
}

/// What was seen, or done from outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A caller is about to send an attempt.
    Sent {
        /// Id of the attempt.
        attempt: u64,
        /// Kind of the request.
        kind: Kind,
        /// The gateway that gets it.
        gateway: Life,
    },
    /// An endpoint reports that it has begun to run an attempt.
    Ran {
        /// Id of the attempt.
        attempt: u64,
        /// The endpoint.
        endpoint: Life,
    },
    /// An attempt ended for its caller.
    Ended {
        /// Id of the attempt.
        attempt: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// A gateway is about to get SIGTERM.
    Stopping(Life),
    /// A fault that may break requests begins at a party.
    Disturbed(Party),
    /// The last fault of a party that began has ended.
    Calm(Party),
    /// An endpoint is cold for this time from now on.
    Cold(Life, Duration),
}

/// A broken promise.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Name of the promise.
    pub rule: &'static str,
    /// Attempt that broke it.
    pub attempt: u64,
}

/// Bounds that promises refer to.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time after an endpoint's notice that it is leaving from which it gets no request.
    pub drain: Duration,
    /// Requests that a cold endpoint may get from all gateways in a second.
    pub cold: usize,
}

#[derive(Debug)]
struct Attempt {
    kind: Kind,
    gateway: Life,
    sent: Duration,
    runs: Vec<Life>,
    ended: Option<Duration>,
    refused: bool,
    broken: bool,
    cut: bool,
}

#[derive(Debug)]
struct Disturbance {
    party: Party,
    from: Duration,
    until: Option<Duration>,
}

/// The checker; it gets events in the order in which they were seen.
#[derive(Debug)]
pub struct Checker {
    bounds: Bounds,
    attempts: HashMap<u64, Attempt>,
    /// When a gateway first passed on an answer in which an endpoint said that it is leaving.
    told: HashMap<(Life, Life), Duration>,
    /// Highest version that a gateway was seen to serve, and when.
    versions: HashMap<Life, (u64, Duration)>,
    stopping: HashMap<Life, Duration>,
    disturbances: Vec<Disturbance>,
    /// Times in which endpoints are cold, and when callers sent the requests that they got in them.
    cold: HashMap<Life, (Range<Duration>, Vec<Duration>)>,
}

impl Checker {
    /// Creates a checker that has seen nothing.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            attempts: HashMap::new(),
            told: HashMap::new(),
            versions: HashMap::new(),
            stopping: HashMap::new(),
            disturbances: Vec::new(),
            cold: HashMap::new(),
        }
    }

    /// Records an event at time `at`, and returns the promises that it shows to be broken.
    pub fn observe(&mut self, at: Duration, event: &Event) -> Vec<Violation> {
        let mut rules: Vec<&'static str> = Vec::new();
        let attempt = match event {
            Event::Sent { attempt, kind, gateway } => {
                let sent = Attempt {
                    kind: *kind,
                    gateway: *gateway,
                    sent: at,
                    runs: Vec::new(),
                    ended: None,
                    refused: false,
                    broken: false,
                    cut: false,
                };
                self.attempts.insert(*attempt, sent);
                *attempt
            }
            Event::Ran { attempt, endpoint } => {
                self.check_run(at, *attempt, *endpoint, &mut rules);
                *attempt
            }
            Event::Ended { attempt, outcome } => {
                self.check_end(at, *attempt, outcome, &mut rules);
                *attempt
            }
            Event::Stopping(life) => {
                self.stopping.insert(*life, at);
                0
            }
            Event::Disturbed(party) => {
                self.disturbances.push(Disturbance { party: *party, from: at, until: None });
                0
            }
            Event::Calm(party) => {
                let open = |one: &&mut Disturbance| one.party == *party && one.until.is_none();
                if let Some(one) = self.disturbances.iter_mut().find(open) {
                    one.until = Some(at);
                }
                0
            }
            Event::Cold(life, time) => {
                self.cold.insert(*life, (at..at + *time, Vec::new()));
                0
            }
        };
        if self.is_cut(attempt) {
            rules.push("a planned stop cuts nothing in flight");
        }
        rules.into_iter().map(|rule| Violation { rule, attempt }).collect()
    }

    fn check_run(&mut self, at: Duration, id: u64, to: Life, rules: &mut Vec<&'static str>) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            rules.push("endpoints run only what callers sent");
            return;
        };
        attempt.runs.push(to);
        if attempt.kind == Kind::Unsafe && attempt.runs.len() > 1 {
            rules.push("a request that may not be repeated runs at most once");
        }
        if attempt.refused {
            rules.push("a refused request never runs");
        }
        let (gateway, sent) = (attempt.gateway, attempt.sent);
        if let Some((cold, times)) = self.cold.get_mut(&to).filter(|(cold, _)| cold.contains(&at)) {
            // What was sent and has arrived in one second, as far as callers can tell.
            times.push(sent);
            times.retain(|sent| cold.contains(sent) && at.saturating_sub(*sent) < COLD_WINDOW);
            if times.len() > self.bounds.cold {
                rules.push("a cold endpoint gets no more than its allowance");
            }
        }
        if let Some(told) = self.told.get(&(gateway, to)).copied() {
            let late = sent > told + self.bounds.drain;
            if late && !self.is_disturbed(Party::Gateway(gateway.index), told, at) {
                rules.push("a leaving endpoint gets no new work");
            }
        }
    }

    fn check_end(
        &mut self,
        at: Duration,
        id: u64,
        outcome: &Outcome,
        rules: &mut Vec<&'static str>,
    ) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        attempt.ended = Some(at);
        let (status, body) = match outcome {
            Outcome::Whole(status, body) => (*status, body),
            Outcome::Broken => {
                attempt.broken = true;
                return;
            }
        };
        attempt.refused = matches!(status, 408 | 421 | 429 | 503);
        if attempt.refused && !attempt.runs.is_empty() {
            rules.push("a refused request has not run");
        }
        if status != 200 {
            return;
        }
        if attempt.kind == Kind::Stream {
            let whole: String = (1..=STREAM_EVENTS).map(event_text).collect();
            if *body != whole {
                rules.push("a complete stream has every event once in order");
            }
            return;
        }
        let Some((echo, endpoint, leaving)) = parse_echo(body) else {
            rules.push("an answer is whole");
            return;
        };
        if echo != id {
            rules.push("an answer belongs to its request");
        }
        let gateway = attempt.gateway;
        if leaving {
            self.told.entry((gateway, endpoint)).or_insert(at);
        }
        if let Kind::Version(version) = attempt.kind {
            let seen = self.versions.entry(gateway).or_insert((version, at));
            if version < seen.0 && attempt.sent > seen.1 {
                rules.push("an accepted configuration does not revert");
            }
            if version > seen.0 {
                *seen = (version, at);
            }
        }
    }

    /// Returns whether an attempt that ran was cut by the stop of its gateway alone, once for each
    /// attempt.
    fn is_cut(&mut self, id: u64) -> bool {
        let Some(attempt) = self.attempts.get(&id) else { return false };
        let (Some(ended), true) = (attempt.ended, attempt.broken && !attempt.cut) else {
            return false;
        };
        let stopping = self.stopping.get(&attempt.gateway).is_some_and(|stop| *stop <= ended);
        let gateway = Party::Gateway(attempt.gateway.index);
        let excused = self.is_disturbed(gateway, attempt.sent, ended)
            || attempt.runs.iter().any(|endpoint| {
                self.is_disturbed(Party::Endpoint(endpoint.index), attempt.sent, ended)
            });
        let cut = stopping && !attempt.runs.is_empty() && !excused;
        if let (true, Some(attempt)) = (cut, self.attempts.get_mut(&id)) {
            attempt.cut = true;
        }
        cut
    }

    fn is_disturbed(&self, party: Party, from: Duration, until: Duration) -> bool {
        self.disturbances.iter().any(|one| {
            one.party == party && one.from <= until && one.until.is_none_or(|end| end >= from)
        })
    }
}

/// Decodes the body of an echo: the attempt, the endpoint, and whether it is leaving.
fn parse_echo(body: &str) -> Option<(u64, Life, bool)> {
    let mut words = body.split(' ');
    let attempt = words.next()?.strip_prefix("a-")?.parse().ok()?;
    let (index, number) = words.next()?.strip_prefix("e-")?.split_once('.')?;
    let life = Life { index: index.parse().ok()?, number: number.parse().ok()? };
    let leaving = words.next()?.parse().ok()?;
    words.next().is_none().then_some((attempt, life, leaving))
}
