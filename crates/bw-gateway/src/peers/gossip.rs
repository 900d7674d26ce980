//! Service that exchanges news with the other gateways as UDP datagrams.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use bw_direct::candidates::WATCHERS;
use bw_direct::centre_news::sum_interval;
use bw_direct::centre_news::Brief;
use bw_direct::centre_news::CentreMessage;
use bw_direct::centre_plan::Form;
use bw_direct::centre_plan::Hurry;
use bw_direct::centre_plan::Target;
use bw_direct::load::gateway_hash;
use bw_direct::peers::add_echo;
use bw_direct::peers::news_interval;
use bw_direct::peers::split_echo;
use bw_direct::peers::News;
use bw_direct::peers::NewsOutcome;
use bw_direct::reports::GatewayKey;
use bw_kernel::BootClock;
use bw_kernel::Stop;
use bw_model::Position;
use bw_proto::decode;
use bw_proto::encode;
use log::info;
use log::warn;
use tokio::net::UdpSocket;
use tokio::time::Instant;

use super::rare::encode_rare;
use super::rare::RareKind;
use super::SharedPeers;
use super::BEAT_INTERVAL;
use crate::config::Config;
use crate::endpoints::Endpoints;
use crate::metrics::GatewayMetrics;
use crate::reload::LiveSettings;
use crate::suspects::Suspects;
use crate::waiting::WaitQueues;

/// Number of rounds from one whose news list addresses of other gateways to the next such round.
const ADDRESS_PERIOD: u64 = 40;
/// Addresses of other gateways in one datagram, which fits into [`DATAGRAM_MAX`] with them.
const OTHERS_MAX: usize = 64;
/// Echo for a peer that has sent no stamp yet. No incarnation uses zero as a stamp, since no stamp
/// base is zero.
const NO_STAMP: u64 = 0;
/// Delay of a round of news from which the process is logged as stalled: other work kept it from
/// running for at least that long.
const STALL_MIN: Duration = Duration::from_millis(250);
/// Largest datagram, in bytes, that is received whole.
const DATAGRAM_MAX: usize = 16_384;

/// Service that sends news to the peers and applies the news received from them.
pub struct Gossip {
    /// State of this gateway and of its peers.
    pub peers: SharedPeers,
    /// Configuration in force.
    pub config: Config,
    /// Endpoints with their load and health.
    pub endpoints: Endpoints,
    /// Queues of requests that wait for endpoints.
    pub waiting: WaitQueues,
    /// Evidence against requests that crash endpoints.
    pub suspects: Suspects,
    /// Counters of the bytes sent.
    pub metrics: GatewayMetrics,
    /// Clock of the process.
    pub clock: BootClock,
    /// News addresses of gateways to contact before any peer is known.
    pub seeds: Vec<SocketAddr>,
    /// Settings, which may be reloaded while the process runs.
    pub settings: LiveSettings,
}

impl Gossip {
    /// Exchanges news with the peers until `stop`.
    ///
    /// # Errors
    /// None.
    pub async fn run(self, socket: UdpSocket, mut stop: Stop) -> Result<(), Infallible> {
        let mut buffer = vec![0; DATAGRAM_MAX];
        let mut rounds = 0;
        let mut next = Instant::now();
        let mut beat = next;
        let mut sums = next;
        let mut turn = 0;
        let mut round = Duration::ZERO;
        let mut represents = false;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(next) => {
                    let late = next.elapsed();
                    if late >= STALL_MIN {
                        warn!("event=stalled late_ms={}", late.as_millis());
                    }
                    self.send_news(&socket, rounds, false);
                    // An endpoint with a limit may take one more request, which no other event shows.
                    self.waiting.dispatch();
                    rounds += 1;
                    round = news_interval(self.peers.live_count(self.clock.now()));
                    next = Instant::now() + round;
                    represents = self.represents();
                }
                () = tokio::time::sleep_until(sums), if represents => {
                    self.send_sums(&socket, turn);
                    turn += 1;
                    sums = Instant::now() + sum_interval(round);
                }
                () = tokio::time::sleep_until(beat), if self.peers.duty().is_some() => {
                    self.send_beat(&socket);
                    beat = Instant::now() + BEAT_INTERVAL;
                }
                () = self.peers.urgent.notified() => self.send_news(&socket, rounds, true),
                received = socket.recv_from(&mut buffer) => match received {
                    Ok((length, _)) => {
                        self.receive(&buffer[..length]);
                        self.send_greetings(&socket);
                        self.send_repeats(&socket);
                    }
                    Err(error) => warn!("event=news_unreceived reason=\"{error}\""),
                },
                () = stop.wait() => {
                    self.send_news(&socket, rounds, true);
                    return Ok(());
                }
            }
        }
    }

    /// Sends news to all peers, `at_once` also to those that are not yet due; every [`ADDRESS_PERIOD`]
    /// rounds with addresses of peers, and also to the seeds.
    fn send_news(&self, socket: &UdpSocket, round: u64, at_once: bool) {
        let now = self.clock.now();
        self.update_position(now);
        self.update_centres(now);
        self.endpoints.eject_all_outliers(now);
        let with_addresses = round % ADDRESS_PERIOD == 0;
        let news = self.news(with_addresses, now);
        let mut targets = self.targets(Hurry { all: at_once, addresses: with_addresses }, now);
        if !news.suspects.is_empty() {
            targets.iter_mut().for_each(|target| target.form = Form::Whole);
        }
        let known: Vec<SocketAddr> = targets.iter().map(|target| target.address).collect();
        self.send_hellos(socket, with_addresses, now);
        if with_addresses {
            let own = self.peers.address.news;
            let unknown = |seed: &&SocketAddr| **seed != own && !known.contains(seed);
            let seeds = self.seeds.iter().filter(unknown);
            // Whether an unknown gateway is in another data centre is not known.
            targets.extend(seeds.map(|seed| Target {
                address: *seed,
                remote: false,
                form: Form::Whole,
            }));
        }
        let rare_news = self.encode_rare_news(with_addresses, now);
        self.send_to(socket, &news, &targets);
        for target in targets {
            for news in &rare_news {
                self.send_datagram(socket, news, target.address, target.remote);
            }
        }
    }

    /// Sends news to the peers that were just heard for the first time, so that they do not learn of this
    /// gateway only in the next round.
    fn send_greetings(&self, socket: &UdpSocket) {
        let targets = std::mem::take(&mut self.peers.lock().greetings);
        if targets.is_empty() {
            return;
        }
        let now = self.clock.now();
        let targets: Vec<Target> = targets.into_iter().map(|at| self.target(at, now)).collect();
        self.send_to(socket, &self.news(false, now), &targets);
        let rare_news = [self.encode_capacity(), self.encode_evacuations(true, now)];
        for news in rare_news.iter().flatten() {
            for target in &targets {
                self.send_datagram(socket, news, target.address, target.remote);
            }
        }
    }

    /// Sends news to the first candidates for the planning duty, which this gateway holds.
    fn send_beat(&self, socket: &UdpSocket) {
        let now = self.clock.now();
        let targets: Vec<SocketAddr> = {
            let state = self.peers.lock();
            let own = self.peers.address.instance.as_str();
            let order = state.candidates(own, now).into_iter().filter(|instance| *instance != own);
            order.take(WATCHERS).filter_map(|instance| state.peers.news_address(instance)).collect()
        };
        let targets: Vec<Target> = targets.into_iter().map(|at| self.target(at, now)).collect();
        self.send_to(socket, &self.news(false, now), &targets);
    }

    /// Sends news to each target in the form that it gets, with the echo of its last stamp.
    fn send_to(&self, socket: &UdpSocket, news: &News, targets: &[Target]) {
        let bytes = match encode(news) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!("event=news_unsent reason=\"{error}\"");
                return;
            }
        };
        let stamps = self.peers.lock().stamps.clone();
        for target in targets {
            let echo = stamps.get(&target.address).copied().unwrap_or(NO_STAMP);
            let datagram = match target.form {
                Form::Whole => Some(add_echo(&bytes, echo)),
                Form::Brief => {
                    let brief = CentreMessage::Brief(Brief::new(news, echo));
                    encode_rare(RareKind::Centre, &brief)
                }
                Form::Nothing => None,
            };
            if let Some(datagram) = datagram {
                self.send_datagram(socket, &datagram, target.address, target.remote);
            }
        }
    }

    /// Sends a datagram and counts its bytes. One that the kernel does not accept at once is dropped, like one
    /// that is lost in the network.
    pub(super) fn send_datagram(
        &self,
        socket: &UdpSocket,
        bytes: &[u8],
        target: SocketAddr,
        remote: bool,
    ) {
        if socket.try_send_to(bytes, target).is_ok() {
            self.metrics.record_news(remote, bytes.len());
        }
    }

    /// Returns this gateway's news, with addresses of other gateways if wanted.
    fn news(&self, with_addresses: bool, now: Duration) -> News {
        let works = self.endpoints.work_news(now);
        let paces = self.endpoints.pace_news();
        let suspects = self.suspects.news();
        let proof = self.config.proof_age(now).map(|age| age.as_millis() as u32);
        let mut state = self.peers.lock();
        state.own.seq += 1;
        state.own.version = self.config.version();
        let others = if with_addresses {
            state.peers.draw_peers(OTHERS_MAX, &mut rand::rng(), now)
        } else {
            Vec::new()
        };
        News {
            state: state.own.clone(),
            address: self.peers.address.clone(),
            stamp: self.peers.stamp_base + now.as_millis() as u64,
            ready: state.ready,
            proof,
            store: state.store_answer.map(|at| now.saturating_sub(at).as_millis() as u32),
            listing: state.listing.0,
            duty: state.duty.held(),
            paces,
            works,
            suspects,
            others,
        }
    }

    /// Applies a peer's proof that its configuration is the newest.
    ///
    /// The peer sent its news after it had received the echoed stamp from this gateway. The proof
    /// is therefore no older than the time of the stamp minus the reported age, however long the
    /// datagram was in transit.
    fn apply_proof(&self, news: &News, echo: u64) {
        let Some(age) = news.proof else { return };
        let Some(echo) = echo.checked_sub(self.peers.stamp_base) else { return };
        let stamped = Duration::from_millis(echo);
        if stamped > self.clock.now() {
            return;
        }
        if let Some(time) = stamped.checked_sub(Duration::from_millis(u64::from(age))) {
            self.config.prove(news.state.version, time);
        }
    }

    /// Updates this gateway's position among the live gateways, which determines its home slots, and
    /// forgets gateways that are gone.
    fn update_position(&self, now: Duration) {
        let mut state = self.peers.lock();
        state.peers.forget_gone(self.settings.get().retry_window, now);
        let own = &self.peers.address.instance;
        let position = state.peers.live(now).filter(|peer| peer.instance < *own).count();
        let live = state.peers.live(now).map(|peer| gateway_hash(&peer.instance));
        let mut order: Vec<u64> = live.collect();
        order.insert(position, gateway_hash(own));
        let owners = state.peers.part_owners(self.settings.get().retry_window, now);
        let owners = owners.unwrap_or_default();
        let all_known = state.peers.is_listed();
        drop(state);
        self.endpoints.set_position(position, &order);
        let cold_owners = if all_known { owners.as_slice() } else { &[] };
        self.endpoints.set_cold_owners(cold_owners, news_interval(order.len()), now);
        self.endpoints.set_part_owners(owners, now);
        // The settings may have been reloaded.
        if let Some(catalog) = self.config.current() {
            self.endpoints.set_cold_rules(&catalog, now);
        }
    }

    /// Decodes a datagram and applies its news.
    fn receive(&self, bytes: &[u8]) {
        if let Some((kind, rest)) = RareKind::split(bytes) {
            if let Err(error) = self.receive_rare(kind, rest) {
                warn!("event=news_unreadable kind={kind:?} reason=\"{error}\"");
            }
            return;
        }
        let Some((bytes, echo)) = split_echo(bytes) else {
            warn!("event=news_unreadable reason=too_short");
            return;
        };
        let news: News = match decode(bytes) {
            Ok(news) => news,
            Err(error) => {
                warn!("event=news_unreadable reason=\"{error}\"");
                return;
            }
        };
        let now = self.clock.now();
        if !self.apply_news(&news, echo, now) {
            return;
        }
        self.suspects.receive(&news.suspects);
        let key = GatewayKey::new(&news.state.instance, news.state.incarnation);
        let round = news_interval(self.peers.live_count(now));
        self.endpoints.receive_work(&news.state.instance, key, &news.works, round, now);
        self.waiting.dispatch();
    }

    /// Applies what whole news and briefs have in common, with the echoed stamp; returns false if newer news
    /// of the sender are known.
    pub(super) fn apply_news(&self, news: &News, echo: u64, now: Duration) -> bool {
        let instance = &news.state.instance;
        let outcome = self.peers.lock().peers.receive(news, now);
        match outcome {
            NewsOutcome::Stale => return false,
            NewsOutcome::First => {
                info!("event=peer_heard peer={} life={}", instance, news.state.incarnation);
                self.suspects.announce();
                let mut state = self.peers.lock();
                state.centres.record_new_life(instance);
                state.greetings.push(news.address.news);
            }
            NewsOutcome::Known => {}
        }
        self.peers.lock().stamps.insert(news.address.news, news.stamp);
        if news.listing != Position::default() {
            self.config.observe_era(news.listing.era(), instance, now);
        }
        if let Some(age) = news.store {
            let age = Duration::from_millis(u64::from(age));
            self.endpoints.record_store_answer(now.saturating_sub(age));
        }
        self.apply_proof(news, echo);
        self.peers.lock().duty.observe(instance, news.duty, news.state.leaving, now);
        if news.duty.is_some() {
            self.endpoints.receive_paces(&news.paces, now);
        }
        self.config.record_peer_version(news.state.version, news.address.news, now);
        self.peers.record_peer_listing(news.listing, news.address.news);
        true
    }
}
