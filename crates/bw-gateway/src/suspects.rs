//! Requests that crash the endpoints they run on, by the evidence of all gateways.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::peers::SuspectNews;
use bw_http::Channel;
use bw_http::Liveness;
use bw_kernel::BootClock;
use bw_model::Incarnation;
use bw_once::evidence::Suspicion;
use bw_once::Crash;
use bw_once::Evidence;
use log::warn;

use crate::endpoints::Chosen;

/// Crashes after which a request is not sent again. Requests that only died beside a guilty one
/// get a strike, too, so that one or two prove nothing.
const STRIKES_MAX: usize = 3;
/// Time within which connections that broke at one endpoint belong to one crash.
const TOGETHER: Duration = Duration::from_millis(600);
/// Time for which a crash is told to peers.
const TELL_FOR: Duration = Duration::from_secs(3);
/// Crashed requests in the news at most.
const TOLD_MAX: usize = 64;
/// How it is found out whether an endpoint still listens.
const CHECK: Liveness = Liveness {
    connect: Duration::from_millis(300),
    unacknowledged: Duration::from_millis(1_000),
    probe: Duration::from_millis(1_000),
};

struct State {
    evidence: Evidence,
    /// Requests whose connections broke lately, by the endpoint's name and life.
    broken: HashMap<(String, u64), Vec<(Duration, u64)>>,
    fresh: VecDeque<(Duration, SuspectNews)>,
}

/// The evidence as the gateway's services share it.
#[derive(Clone)]
pub struct Suspects {
    state: Arc<Mutex<State>>,
    clock: BootClock,
}

impl Suspects {
    /// No evidence yet.
    pub fn new(clock: BootClock) -> Self {
        let evidence = Evidence::with_limit(STRIKES_MAX);
        let state = State { evidence, broken: HashMap::new(), fresh: VecDeque::new() };
        Self { state: Arc::new(Mutex::new(state)), clock }
    }

    /// Whether a request is not to be sent.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.lock().evidence.suspicion(fingerprint) == Suspicion::Quarantined
    }

    /// Notes that a request was answered whole.
    pub fn clear(&self, fingerprint: u64) {
        self.lock().evidence.clear(fingerprint);
    }

    /// Notes that a connection broke while a request ran; finds out whether the endpoint crashed.
    pub fn note_broken(&self, chosen: &Chosen, fingerprint: u64) {
        let now = self.clock.now();
        let life = (chosen.name.clone(), chosen.born);
        {
            let mut state = self.lock();
            let broken = state.broken.entry(life.clone()).or_default();
            broken.push((now, fingerprint));
            if broken.len() > 1 {
                // The first one is being looked into.
                return;
            }
        }
        let (suspects, address) = (self.clone(), chosen.address);
        tokio::spawn(async move {
            let listens = Channel::connect(address, CHECK).await.is_ok();
            suspects.conclude(&life, listens);
        });
    }

    /// Takes the crashes that a peer tells.
    pub fn hear(&self, news: &[SuspectNews]) {
        let mut state = self.lock();
        for suspect in news {
            state.evidence.record(&crash(suspect));
        }
    }

    /// Crashes for the news to peers.
    pub fn news(&self) -> Vec<SuspectNews> {
        let now = self.clock.now();
        let mut state = self.lock();
        while state.fresh.front().is_some_and(|(at, _)| now.saturating_sub(*at) > TELL_FOR) {
            state.fresh.pop_front();
        }
        state.fresh.iter().rev().take(TOLD_MAX).map(|(_, suspect)| suspect.clone()).collect()
    }

    fn conclude(&self, life: &(String, u64), listens: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let broken = state.broken.remove(life).unwrap_or_default();
        if listens {
            return;
        }
        let together = broken.iter().filter(|(at, _)| now.saturating_sub(*at) <= TOGETHER);
        let suspects: Vec<SuspectNews> = together
            .map(|(_, fingerprint)| SuspectNews {
                endpoint: life.0.clone(),
                born: life.1,
                fingerprint: *fingerprint,
            })
            .collect();
        warn!("event=crash_recorded endpoint={} suspects={}", life.0, suspects.len());
        for suspect in suspects {
            state.evidence.record(&crash(&suspect));
            state.fresh.push_back((now, suspect));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn crash(suspect: &SuspectNews) -> Crash {
    Crash {
        endpoint: suspect.endpoint.clone(),
        incarnation: Incarnation(suspect.born),
        number: 0,
        fingerprints: vec![suspect.fingerprint],
    }
}
