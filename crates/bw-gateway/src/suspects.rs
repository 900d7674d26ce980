//! Detection of requests that crash the endpoints they run on, by the evidence of all gateways.

use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bw_direct::part_news::CrashNews;
use bw_direct::part_news::PartNews;
use bw_direct::part_news::QuarantineNews;
use bw_direct::peers::SuspectNews;
use bw_direct::request::CallerHead;
use bw_direct::request::PartIds;
use bw_kernel::BootClock;
use bw_model::hash::rendezvous_weight;
use bw_model::hash::Fingerprints;
use bw_model::Incarnation;
use bw_once::evidence::Suspicion;
use bw_once::parts::CrashedRequest;
use bw_once::parts::QUARANTINE_DURATION;
use bw_once::Crash;
use bw_once::Evidence;
use bw_once::PartEvidence;
use bw_platform::Quarantine;
use bw_platform::Subject;
use log::info;
use log::warn;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::endpoints::ChosenEndpoint;

/// Crashes after which a request is not sent again. Requests that merely ran beside the one that
/// caused a crash get a strike as well, so one or two strikes prove nothing.
const STRIKES_MAX: usize = 3;
/// Time before the end of an endpoint's check within which broken connections are attributed to
/// the same crash.
const CRASH_WINDOW: Duration = Duration::from_millis(600);
/// Time for which evidence is included in the news to peers.
const NEWS_DURATION: Duration = Duration::from_secs(3);
/// Upper bound on the crashed requests, parts and quarantines in the news of one datagram.
const NEWS_MAX: usize = 64;
/// Upper bound on the fingerprints in the news of one datagram.
const FINGERPRINTS_MAX: usize = 3 * NEWS_MAX;
/// Timeout of the connection that checks whether an endpoint still listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);

/// Result of the check of an endpoint to which a connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Check {
    /// It accepts connections.
    Listens,
    /// Its instance is up and refuses connections: the process has ended.
    Refuses,
    /// It does not answer: it may be cut off from this gateway only.
    Silent,
}

/// A request whose connection broke.
struct BrokenRequest {
    /// Time at which the connection broke.
    at: Duration,
    /// The caller's id of the attempt.
    attempt: String,
    /// Fingerprints of the request.
    fingerprints: Fingerprints,
    /// Parts of the prompt that other requests may share.
    parts: PartIds,
}

struct State {
    evidence: Evidence,
    parts: PartEvidence,
    /// Requests whose connections broke and whose endpoint is being checked, by the endpoint's
    /// name and start time.
    broken: HashMap<(String, u64), Vec<BrokenRequest>>,
    /// Suspects of recent crashes at this gateway, oldest first, with the time of their recording.
    recent: VecDeque<(Duration, SuspectNews)>,
    /// Requests in flight at recent crashes at this gateway, as above.
    crashed: VecDeque<(Duration, CrashNews)>,
    /// Parts and requests against which the evidence was dropped, as above.
    cleared: VecDeque<(Duration, u64)>,
    /// Quarantines that the store is known to have.
    stored: HashSet<Subject>,
    /// Quarantined requests of which this gateway has seen the last crash itself.
    witnessed: HashSet<u64>,
    /// Quarantines that have ended, and that the store may still have.
    ended: Vec<Subject>,
    /// Time until which the news list what is quarantined.
    announce_until: Duration,
}

/// Handle to the evidence, shared by the gateway's services.
#[derive(Clone)]
pub struct Suspects {
    state: Arc<Mutex<State>>,
    clock: BootClock,
    /// Signals that quarantines have started or ended.
    changed: Arc<Notify>,
}

impl Suspects {
    /// Creates an empty collection of evidence.
    pub fn new(clock: BootClock) -> Self {
        let state = State {
            evidence: Evidence::with_limit(STRIKES_MAX),
            parts: PartEvidence::new(),
            broken: HashMap::new(),
            recent: VecDeque::new(),
            crashed: VecDeque::new(),
            cleared: VecDeque::new(),
            stored: HashSet::new(),
            witnessed: HashSet::new(),
            ended: Vec::new(),
            announce_until: Duration::ZERO,
        };
        Self { state: Arc::new(Mutex::new(state)), clock, changed: Arc::default() }
    }

    /// Records the arrival of a request. Quarantines the parts of its prompt against which the
    /// evidence suffices.
    pub fn record_arrival(&self, parts: &[u64]) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.parts.record_arrival(parts);
        let verdict = state.parts.quarantine_new(parts, now);
        if verdict.is_empty() {
            return;
        }
        for part in verdict.quarantined {
            warn!("event=part_quarantined part={part:016x} reason=crashes");
        }
        for part in verdict.released {
            state.record_cleared(part, now);
        }
        state.announce_until = now + NEWS_DURATION;
        drop(state);
        self.changed.notify_one();
    }

    /// Returns the quarantine for which a request must not be sent: that of one of its fingerprints or of a part of its
    /// prompt.
    pub fn find_quarantine(&self, fingerprints: &Fingerprints, parts: &[u64]) -> Option<Subject> {
        let state = self.lock();
        let mut distinct = fingerprints.distinct().into_iter();
        let request = distinct.find(|fingerprint| state.is_quarantined(*fingerprint));
        let part = || state.parts.quarantined(parts).map(Subject::Part);
        request.map(Subject::Request).or_else(part)
    }

    /// Records that a request was answered completely, and removes the evidence against its fingerprints, but for
    /// those that are quarantined.
    pub fn clear(&self, fingerprints: &Fingerprints) {
        let now = self.clock.now();
        let mut state = self.lock();
        for fingerprint in fingerprints.distinct() {
            if state.evidence.clear(fingerprint) {
                info!("event=request_cleared fingerprint={fingerprint:016x} reason=answered");
                state.recent.retain(|(_, suspect)| suspect.fingerprint != fingerprint);
                state.cleared.push_back((now, fingerprint));
            }
        }
    }

    /// Removes the evidence against the parts of a prompt that was answered completely and with
    /// success.
    pub fn clear_parts(&self, head: &CallerHead) {
        let now = self.clock.now();
        let mut state = self.lock();
        for part in state.parts.record_answer(&head.shared_parts()) {
            state.record_cleared(part, now);
        }
        if !state.ended.is_empty() {
            self.changed.notify_one();
        }
    }

    /// Records that a connection broke while a request ran, and starts a check of whether the
    /// endpoint crashed.
    pub fn record_broken(
        &self,
        chosen: &ChosenEndpoint,
        head: &CallerHead,
        fingerprints: Fingerprints,
    ) {
        let request = BrokenRequest {
            at: self.clock.now(),
            attempt: head.attempt.clone(),
            fingerprints,
            parts: head.shared_parts(),
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
            let check = check(address).await;
            suspects.finish_check(&incarnation, check);
        });
    }

    /// Records the crashes that a peer reported.
    pub fn receive(&self, news: &[SuspectNews]) {
        let now = self.clock.now();
        let mut state = self.lock();
        let mut quarantined = false;
        for suspect in news {
            quarantined |= state.record_strike(suspect, "peer", now);
        }
        if quarantined {
            self.changed.notify_one();
        }
    }

    /// Records what a peer reported about parts of prompts.
    pub fn receive_parts(&self, news: &PartNews) {
        let now = self.clock.now();
        let mut state = self.lock();
        for crash in &news.crashes {
            state.parts.record_crash(&to_crashed(crash), now);
        }
        for part in &news.cleared {
            state.stored.remove(&Subject::Part(*part));
            state.parts.clear(*part);
            state.absolve(*part);
        }
        if !state.ended.is_empty() {
            self.changed.notify_one();
        }
        for quarantine in &news.quarantined {
            let part = quarantine.part;
            // The peer may not have heard yet that the part was cleared.
            if news.cleared.contains(&part) || state.was_cleared(part, now) {
                continue;
            }
            if quarantine.stored {
                state.stored.insert(Subject::Part(part));
            }
            if state.parts.adopt(part, now) {
                warn!("event=part_quarantined part={part:016x} reason=peer");
                self.changed.notify_one();
            }
        }
    }

    /// Quarantines what the store lists as quarantined.
    pub fn restore(&self, quarantine: &Quarantine) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.stored.insert(quarantine.subject());
        match quarantine {
            Quarantine::Part { part } => {
                if state.parts.adopt(*part, now) {
                    warn!("event=part_quarantined part={part:016x} reason=store");
                    self.changed.notify_one();
                }
            }
            Quarantine::Request { request, crashes } => {
                let known = state.is_quarantined(*request);
                state.evidence.restore(*request, crashes, now);
                if !known && state.is_quarantined(*request) {
                    warn!("event=request_quarantined fingerprint={request:016x} reason=store");
                }
            }
        }
    }

    /// Waits until quarantines have started or ended.
    pub async fn quarantines_changed(&self) {
        self.changed.notified().await;
    }

    /// Returns the quarantined requests whose last crash this gateway has seen itself, and that the store is not
    /// known to have. The gateways may all be killed soon after such a crash, so that it is written at once.
    pub fn urgent(&self) -> Vec<Quarantine> {
        let state = self.lock();
        let requests = state.witnessed.iter().copied();
        requests.filter_map(|request| state.unstored_request(request)).collect()
    }

    /// Returns the quarantines that the store is not known to have; those of requests only if `with_requests`.
    pub fn unstored(&self, with_requests: bool) -> Vec<Quarantine> {
        let state = self.lock();
        let parts = state.parts.quarantined_parts().map(|part| Quarantine::Part { part });
        let parts = parts.filter(|quarantine| !state.stored.contains(&quarantine.subject()));
        let requests = state.evidence.quarantined().filter(|_| with_requests);
        parts.chain(requests.filter_map(|request| state.unstored_request(request))).collect()
    }

    /// Records that the store has a quarantine, and announces it to the peers if it is that of a part.
    pub fn record_stored(&self, subject: Subject) {
        let mut state = self.lock();
        state.stored.insert(subject);
        if matches!(subject, Subject::Part(_)) {
            state.announce_until = self.clock.now() + NEWS_DURATION;
        }
    }

    /// Records that the store may have lost all quarantines, since it has returned from an older copy.
    pub fn forget_stored(&self) {
        self.lock().stored.clear();
    }

    /// Ends the quarantines that have lasted long enough. Returns what the store may still have of these and
    /// of quarantines that have ended otherwise.
    pub fn take_ended(&self) -> Vec<Subject> {
        let now = self.clock.now();
        let mut state = self.lock();
        for part in state.parts.expire(now) {
            info!("event=part_released part={part:016x}");
            state.end(Subject::Part(part));
        }
        for request in state.evidence.expire(now) {
            info!("event=request_released fingerprint={request:016x}");
            state.witnessed.remove(&request);
            state.end(Subject::Request(request));
        }
        std::mem::take(&mut state.ended)
    }

    /// Returns the time until the next quarantine ends.
    pub fn next_expiry(&self) -> Option<Duration> {
        let state = self.lock();
        let at = state.parts.next_expiry().into_iter().chain(state.evidence.next_expiry()).min()?;
        Some(at.saturating_sub(self.clock.now()))
    }

    /// Lists what is suspected or quarantined in the next news, for a peer that may not know it.
    pub fn announce(&self) {
        self.lock().announce_until = self.clock.now() + NEWS_DURATION;
    }

    /// Returns the suspects of recent crashes for the news to peers, newest first; for a peer that may not
    /// know them, also those of the crashes behind quarantines and of crashes that still may lead to one.
    pub fn news(&self) -> Vec<SuspectNews> {
        let now = self.clock.now();
        let mut state = self.lock();
        drop_old(&mut state.recent, now);
        let recent = state.recent.iter().rev().map(|(_, suspect)| suspect.clone());
        let announced = now < state.announce_until;
        let since = now.saturating_sub(QUARANTINE_DURATION);
        let known = state.evidence.quarantined().chain(state.evidence.suspected(since));
        let known = known.filter(|_| announced).flat_map(|fingerprint| {
            state.evidence.crashes(fingerprint).iter().map(move |crash| SuspectNews {
                endpoint: crash.endpoint.clone(),
                born: crash.incarnation.0,
                fingerprint,
            })
        });
        recent.chain(known).take(FINGERPRINTS_MAX).collect()
    }

    /// Returns the recent evidence about parts of prompts for the peers, newest first.
    pub fn part_news(&self) -> PartNews {
        let now = self.clock.now();
        let mut state = self.lock();
        drop_old(&mut state.crashed, now);
        drop_old(&mut state.cleared, now);
        let crashes = state.crashed.iter().rev().take(NEWS_MAX);
        let cleared = state.cleared.iter().rev().take(FINGERPRINTS_MAX);
        let listed = if now < state.announce_until { NEWS_MAX } else { 0 };
        let quarantined = state.parts.quarantined_parts().take(listed);
        PartNews {
            crashes: crashes.map(|(_, crash)| crash.clone()).collect(),
            cleared: cleared.map(|(_, part)| *part).collect(),
            quarantined: quarantined
                .map(|part| {
                    let stored = state.stored.contains(&Subject::Part(part));
                    QuarantineNews { part, stored }
                })
                .collect(),
        }
    }

    /// Records a crash if the endpoint no longer listens.
    fn finish_check(&self, incarnation: &(String, u64), check: Check) {
        let now = self.clock.now();
        let mut state = self.lock();
        let broken = state.broken.remove(incarnation).unwrap_or_default();
        if check == Check::Listens {
            return;
        }
        let (endpoint, born) = incarnation;
        let is_same = |request: &&BrokenRequest| now.saturating_sub(request.at) <= CRASH_WINDOW;
        let in_flight: Vec<&BrokenRequest> = broken.iter().filter(is_same).collect();
        warn!(
            "event=crash_recorded endpoint={endpoint} suspects={} check={check:?}",
            in_flight.len()
        );
        for request in in_flight {
            info!(
                "event=crash_suspect endpoint={endpoint} request={} fingerprint={:016x} \
                 caller_fingerprint={:016x} exact_fingerprint={:016x} parts={:x?}",
                request.attempt,
                request.fingerprints.shared,
                request.fingerprints.caller,
                request.fingerprints.exact,
                request.parts
            );
            for fingerprint in request.fingerprints.distinct() {
                let suspect = SuspectNews { endpoint: endpoint.clone(), born: *born, fingerprint };
                if state.record_strike(&suspect, "crashes", now) {
                    state.witnessed.insert(fingerprint);
                    self.changed.notify_one();
                }
                state.recent.push_back((now, suspect));
            }
            // A gateway that is cut off loses many endpoints at once, whatever runs there.
            if check == Check::Refuses && !request.parts.is_empty() {
                let crash = CrashNews {
                    crash: rendezvous_weight(endpoint, &born.to_string()),
                    request: rendezvous_weight("request", &request.attempt),
                    parts: request.parts.clone(),
                };
                state.parts.record_crash(&to_crashed(&crash), now);
                state.crashed.push_back((now, crash));
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn is_quarantined(&self, fingerprint: u64) -> bool {
        self.evidence.suspicion(fingerprint) == Suspicion::Quarantined
    }

    /// Records that a request was in flight at a crash. Returns whether it is quarantined for that.
    fn record_strike(&mut self, suspect: &SuspectNews, reason: &str, now: Duration) -> bool {
        let fingerprint = suspect.fingerprint;
        let known = self.is_quarantined(fingerprint);
        self.evidence.record(&to_crash(suspect), now);
        let quarantined = !known && self.is_quarantined(fingerprint);
        if quarantined {
            warn!("event=request_quarantined fingerprint={fingerprint:016x} reason={reason}");
        }
        quarantined
    }

    /// Returns the quarantine of a request that the store is not known to have.
    fn unstored_request(&self, request: u64) -> Option<Quarantine> {
        let wanted =
            self.is_quarantined(request) && !self.stored.contains(&Subject::Request(request));
        let crashes = || self.evidence.crashes(request).to_vec();
        wanted.then(|| Quarantine::Request { request, crashes: crashes() })
    }

    /// Drops the evidence against a request that a peer has seen answered.
    fn absolve(&mut self, fingerprint: u64) {
        let quarantined = self.is_quarantined(fingerprint);
        if self.evidence.absolve(fingerprint) && quarantined {
            info!("event=request_released fingerprint={fingerprint:016x} reason=peer");
            self.witnessed.remove(&fingerprint);
            self.end(Subject::Request(fingerprint));
        }
    }

    /// Records that a quarantine has ended, so that it is deleted from the store.
    fn end(&mut self, subject: Subject) {
        if self.stored.remove(&subject) {
            self.ended.push(subject);
        }
    }

    fn record_cleared(&mut self, part: u64, now: Duration) {
        info!("event=part_cleared part={part:016x}");
        self.end(Subject::Part(part));
        self.cleared.push_back((now, part));
    }

    fn was_cleared(&self, part: u64, now: Duration) -> bool {
        let is_recent = |at: Duration| now.saturating_sub(at) <= NEWS_DURATION;
        self.cleared.iter().any(|(at, other)| *other == part && is_recent(*at))
    }
}

/// Checks whether an endpoint listens.
async fn check(address: SocketAddr) -> Check {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => Check::Listens,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Check::Refuses,
        Ok(Err(_)) | Err(_) => Check::Silent,
    }
}

/// Drops the entries that are too old for the news.
fn drop_old<T>(entries: &mut VecDeque<(Duration, T)>, now: Duration) {
    while entries.front().is_some_and(|(at, _)| now.saturating_sub(*at) > NEWS_DURATION) {
        entries.pop_front();
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

fn to_crashed(news: &CrashNews) -> CrashedRequest {
    CrashedRequest { crash: news.crash, request: news.request, parts: news.parts.clone() }
}
