//! News to other data centres: sums by representatives, and briefs of each gateway.

use std::net::SocketAddr;
use std::time::Duration;

use bw_direct::centre_news::CentreMessage;
use bw_direct::centre_plan::Hurry;
use bw_direct::centre_plan::Target;
use bw_direct::load::gateway_hash;
use bw_direct::peers::news_interval;
use log::info;
use log::warn;
use tokio::net::UdpSocket;

use super::gossip::Gossip;
use super::rare::encode_rare;
use super::rare::RareKind;

impl Gossip {
    /// Returns the receivers of a round of news.
    pub(super) fn targets(&self, hurry: Hurry, now: Duration) -> Vec<Target> {
        let mut state = self.peers.lock();
        let state = &mut *state;
        // The holder of the planning duty is waited for in all data centres.
        let all = hurry.all || state.own.leaving || state.duty.held().is_some();
        let known = (&state.peers, &state.capacities);
        state.centres.targets(Hurry { all, ..hurry }, known, &mut rand::rng(), now)
    }

    /// Returns a target that gets news at once.
    pub(super) fn target(&self, address: SocketAddr, now: Duration) -> Target {
        let state = self.peers.lock();
        state.centres.target(address, &state.peers, now)
    }

    /// Determines the representatives and the data centres to which briefs suffice, and logs changes.
    pub(super) fn update_centres(&self, now: Duration) {
        let mut state = self.peers.lock();
        let state = &mut *state;
        let before = state.centres.represents();
        let changes = state.centres.update(&state.peers, &state.capacities, now);
        let represents = state.centres.represents();
        let gateways = state.peers.live_count(now);
        if represents != before {
            let centre = &self.peers.address.centre;
            info!("event=represents centre={centre} represents={represents} gateways={gateways}");
        }
        for change in changes {
            let (centre, form) = (change.centre, change.form);
            info!("event=centre_news centre={centre} form={form:?} gateways={gateways}");
        }
    }

    /// Returns whether this gateway sends sums of its data centre.
    pub(super) fn represents(&self) -> bool {
        self.peers.lock().centres.represents()
    }

    /// Sends the sums of this data centre to one representative of each other one, in turn.
    pub(super) fn send_sums(&self, socket: &UdpSocket, turn: usize) {
        let now = self.clock.now();
        let (mut news, peers, targets) = {
            let mut state = self.peers.lock();
            let state = &mut *state;
            let targets = state.centres.sum_targets(turn, &state.peers, &state.capacities, now);
            let (news, peers) = state.centres.sums(&state.own, state.ready, &state.peers, now);
            (news, peers, targets)
        };
        if targets.is_empty() {
            return;
        }
        news.works = self.endpoints.summed_news(peers.iter().map(String::as_str), now);
        for news in news.split() {
            self.send_message(socket, &CentreMessage::Sums { direct: true, news }, &targets, true);
        }
    }

    /// Repeats the sums that have arrived from other data centres to the gateways of this one.
    pub(super) fn send_repeats(&self, socket: &UdpSocket) {
        let now = self.clock.now();
        let (repeats, targets) = {
            let mut state = self.peers.lock();
            let repeats = std::mem::take(&mut state.repeats);
            if repeats.is_empty() {
                return;
            }
            (repeats, state.centres.repeat_targets(&state.peers, now))
        };
        for news in repeats {
            let message = CentreMessage::Sums { direct: false, news };
            self.send_message(socket, &message, &targets, false);
        }
    }

    /// Tells the peers that were heard since the last round, or all, that this gateway understands sums and
    /// briefs.
    pub(super) fn send_hellos(&self, socket: &UdpSocket, all: bool, now: Duration) {
        let hellos = {
            let mut state = self.peers.lock();
            let state = &mut *state;
            state.centres.hellos(all, &state.peers, now)
        };
        for (target, remote, hello) in hellos {
            self.send_message(socket, &hello, &[target], remote);
        }
    }

    fn send_message(
        &self,
        socket: &UdpSocket,
        message: &CentreMessage,
        targets: &[SocketAddr],
        remote: bool,
    ) {
        let Some(bytes) = encode_rare(RareKind::Centre, message) else { return };
        for target in targets {
            self.send_datagram(socket, &bytes, *target, remote);
        }
    }

    /// Applies the content of a datagram about data centres.
    pub(super) fn receive_centre(&self, message: CentreMessage, now: Duration) {
        match message {
            CentreMessage::Hello { sender, receiver } => {
                self.peers.lock().centres.record_hello(sender, receiver);
            }
            CentreMessage::Brief(brief) => {
                let news = self.peers.lock().peers.complete(&brief);
                if let Some(news) = news {
                    self.apply_news(&news, brief.echo, now);
                }
            }
            CentreMessage::Sums { direct, news } => {
                if news.centre == self.peers.address.centre {
                    warn!("event=news_unreadable kind=Centre reason=own_centre");
                    return;
                }
                let mut state = self.peers.lock();
                let state_ref = &mut *state;
                if direct {
                    state_ref.repeats.push(news.clone());
                }
                let peers = &mut state_ref.peers;
                let Some(news) = state_ref.centres.receive_sums(news, peers, now) else { return };
                let round = news_interval(peers.live_count(now));
                let present = peers.in_centre(&news.centre, now).into_iter();
                let hashes = present.map(|peer| gateway_hash(&peer.instance)).collect();
                drop(state);
                self.endpoints.receive_sums(&news, hashes, round, now);
                self.waiting.dispatch();
            }
        }
    }
}
