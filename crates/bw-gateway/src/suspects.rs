//! Detection of requests that crash the endpoints they run on, by the evidence of all gateways.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::peers::SuspectNews;
use bw_direct::request::PartIds;
use bw_http::Channel;
use bw_http::Liveness;
use bw_kernel::BootClock;
use bw_model::Incarnation;
use bw_once::evidence::Suspicion;
use bw_once::Crash;
use bw_once::Evidence;
use log::info;
use log::warn;

use crate::endpoints::ChosenEndpoint;
use crate::forward::job::Job;

/// Crashes after which a request is not sent again. Requests that merely ran beside the one that
/// caused a crash get a strike as well, so one or two strikes prove nothing.
const STRIKES_MAX: usize = 3;
/// Time before the end of an endpoint's check within which broken connections are attributed to
/// the same crash.
const CRASH_WINDOW: Duration = Duration::from_millis(600);
/// Time for which a crash is included in the news to peers.
const NEWS_DURATION: Duration = Duration::from_secs(3);
/// Upper bound on the suspects in the news of one datagram.
const NEWS_MAX: usize = 64;
/// Timeouts of the connection that checks whether an endpoint still listens.
const CHECK_LIVENESS: Liveness = Liveness {
    connect: Duration::from_millis(300),
    unacknowledged: Duration::from_millis(1_000),
    probe: Duration::from_millis(1_000),
};

/// A request whose connection broke.
struct BrokenRequest {
    /// Time at which the connection broke.
    at: Duration,
    /// The caller's id of the attempt.
    attempt: String,
    /// Fingerprint of the request.
    fingerprint: u64,
    /// Parts of the prompt that other requests may share.
    parts: PartIds,
}

struct State {
    evidence: Evidence,
    /// Requests whose connections broke and whose endpoint is being checked, by the endpoint's
    /// name and start time.
    broken: HashMap<(String, u64), Vec<BrokenRequest>>,
    /// Suspects of recent crashes at this gateway, oldest first, with the time of their recording.
    recent: VecDeque<(Duration, SuspectNews)>,
}

/// Handle to the evidence, shared by the gateway's services.
#[derive(Clone)]
pub struct Suspects {
    state: Arc<Mutex<State>>,
    clock: BootClock,
}

impl Suspects {
    /// Creates an empty collection of evidence.
    pub fn new(clock: BootClock) -> Self {
        let evidence = Evidence::with_limit(STRIKES_MAX);
        let state = State { evidence, broken: HashMap::new(), recent: VecDeque::new() };
        Self { state: Arc::new(Mutex::new(state)), clock }
    }

    /// Returns whether a request is quarantined and must not be sent.
    pub fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.lock().evidence.suspicion(fingerprint) == Suspicion::Quarantined
    }

    /// Removes the evidence against a request that was answered completely, unless the request is
    /// quarantined.
    pub fn clear(&self, fingerprint: u64) {
        self.lock().evidence.clear(fingerprint);
    }

    /// Records that a connection broke while a request ran, and starts a check of whether the
    /// endpoint crashed.
    pub fn record_broken(&self, chosen: &ChosenEndpoint, job: &Job) {
        let request = BrokenRequest {
            at: self.clock.now(),
            attempt: job.head.attempt.clone(),
            fingerprint: job.fingerprint,
            parts: job.head.shared_parts(),
        };
        let incarnation = (chosen.name.clone(), chosen.born);
        {
            let mut state = self.lock();
            let broken = state.broken.entry(incarnation.clone()).or_default();
            broken.push(request);
            if broken.len() > 1 {
                // The check that the first broken connection started is still running.
                return;
            }
        }
        let (suspects, address) = (self.clone(), chosen.address);
        tokio::spawn(async move {
            let listens = Channel::connect(address, CHECK_LIVENESS).await.is_ok();
            suspects.finish_check(&incarnation, listens);
        });
    }

    /// Records the crashes that a peer reported.
    pub fn receive(&self, news: &[SuspectNews]) {
        let mut state = self.lock();
        for suspect in news {
            state.evidence.record(&to_crash(suspect));
        }
    }

    /// Returns the suspects of recent crashes for the news to peers, newest first.
    pub fn news(&self) -> Vec<SuspectNews> {
        let now = self.clock.now();
        let mut state = self.lock();
        while state.recent.front().is_some_and(|(at, _)| now.saturating_sub(*at) > NEWS_DURATION) {
            state.recent.pop_front();
        }
        state.recent.iter().rev().take(NEWS_MAX).map(|(_, suspect)| suspect.clone()).collect()
    }

    /// Records a crash if the endpoint no longer listens.
    fn finish_check(&self, incarnation: &(String, u64), listens: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        let broken = state.broken.remove(incarnation).unwrap_or_default();
        if listens {
            return;
        }
        let is_same = |request: &&BrokenRequest| now.saturating_sub(request.at) <= CRASH_WINDOW;
        let in_flight: Vec<&BrokenRequest> = broken.iter().filter(is_same).collect();
        warn!("event=crash_recorded endpoint={} suspects={}", incarnation.0, in_flight.len());
        for request in in_flight {
            info!(
                "event=crash_suspect endpoint={} request={} fingerprint={:016x} parts={:x?}",
                incarnation.0, request.attempt, request.fingerprint, request.parts
            );
            let suspect = SuspectNews {
                endpoint: incarnation.0.clone(),
                born: incarnation.1,
                fingerprint: request.fingerprint,
            };
            state.evidence.record(&to_crash(&suspect));
            state.recent.push_back((now, suspect));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn to_crash(suspect: &SuspectNews) -> Crash {
    Crash {
        endpoint: suspect.endpoint.clone(),
        incarnation: Incarnation(suspect.born),
        number: 0,
        fingerprints: vec![suspect.fingerprint],
    }
}
