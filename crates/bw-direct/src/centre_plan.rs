//! Which news a gateway sends to which data centre, and who represents a data centre.
//!
//! Load pattern: as for [`crate::centre_news`]. Representatives follow from what each gateway has heard, so
//! that views may differ; no message is lost or counted twice by that, since a gateway repeats whatever is
//! sent to it, and [`crate::reports`] counts each gateway once.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use bw_member::PeerState;
use rand::Rng;

use crate::candidates::Capacity;
use crate::centre_news::brief_interval;
use crate::centre_news::needs_sums;
use crate::centre_news::representatives;
use crate::centre_news::CentreMessage;
use crate::centre_news::CentreNews;
use crate::centre_news::Exchanges;
use crate::centre_news::Sighting;
use crate::peers::PeerAddress;
use crate::peers::Peers;
use crate::reports::GatewayKey;

/// Capacity of each gateway that has told it.
pub type Capacities = HashMap<String, Capacity>;

/// What a peer gets in a round of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// The whole news.
    Whole,
    /// The news without what the sums contain.
    Brief,
    /// No regular news.
    Nothing,
}

/// A receiver of news.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Target {
    /// Address of the receiver.
    pub address: SocketAddr,
    /// Whether the receiver is in another data centre.
    pub remote: bool,
    /// What the receiver gets.
    pub form: Form,
}

/// Briefs of one round that do not wait until they are due.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hurry {
    /// All briefs: there is something that all gateways must know soon.
    pub all: bool,
    /// The round lists addresses of gateways, which representatives tell each other.
    pub addresses: bool,
}

/// A data centre to which another form of news is sent from now on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FormChange {
    /// The data centre.
    pub centre: String,
    /// The new form.
    pub form: Form,
}

/// State of the exchange of news with other data centres.
#[derive(Debug)]
pub struct CentrePlan {
    own: PeerAddress,
    key: GatewayKey,
    exchanges: Exchanges,
    /// Peers that understand sums and briefs, and know this life of the gateway.
    understanding: HashSet<String>,
    /// Life of each peer that was last told that this gateway understands them.
    greeted: HashMap<String, GatewayKey>,
    /// Time of the last brief to each peer.
    briefed: HashMap<String, Duration>,
    /// Position among the representatives of the data centre; `None` while this gateway is none of them.
    rank: Option<usize>,
    /// Data centres to which briefs suffice at present.
    mutual: Vec<String>,
    /// Number of the last sums.
    seq: u64,
}

impl CentrePlan {
    /// Creates the plan of the gateway with this address and state.
    pub fn new(own: PeerAddress, state: &PeerState) -> Self {
        Self {
            own,
            key: GatewayKey::new(&state.instance, state.incarnation),
            exchanges: Exchanges::default(),
            understanding: HashSet::new(),
            greeted: HashMap::new(),
            briefed: HashMap::new(),
            rank: None,
            mutual: Vec::new(),
            seq: 0,
        }
    }

    /// Returns whether this gateway represents its data centre.
    pub fn represents(&self) -> bool {
        self.rank.is_some()
    }

    /// Determines whether this gateway represents its data centre, and the data centres to which briefs
    /// suffice; returns what has changed of the latter.
    pub fn update(
        &mut self,
        peers: &Peers,
        capacities: &Capacities,
        now: Duration,
    ) -> Vec<FormChange> {
        let needed = is_needed(peers, now);
        let local = self.able(&self.own.centre, peers, now).into_keys();
        let order = representatives(local.chain([self.own.instance.as_str()]), capacities);
        let rank = order.iter().position(|instance| *instance == self.own.instance);
        self.rank = rank.filter(|_| needed);
        let mut mutual = self.exchanges.heard(now);
        mutual.retain(|centre| needed && self.exchanges.is_mutual(centre, now));
        let change =
            |form: Form| move |centre: &String| FormChange { centre: centre.clone(), form };
        let started = mutual.iter().filter(|centre| !self.mutual.contains(centre));
        let ended = self.mutual.iter().filter(|centre| !mutual.contains(centre));
        let changes = started.map(change(Form::Brief)).chain(ended.map(change(Form::Whole)));
        let changes = changes.collect();
        self.mutual = mutual;
        changes
    }

    /// Returns whether a peer gets briefs, since sums tell it the rest.
    pub fn takes_briefs(&self, peer: &PeerAddress) -> bool {
        peer.centre != self.own.centre
            && self.understanding.contains(&peer.instance)
            && self.mutual.contains(&peer.centre)
    }

    /// Returns the target for news that one peer gets at once.
    pub fn target(&self, address: SocketAddr, peers: &Peers, now: Duration) -> Target {
        let peer = peers.receivers(now).find(|peer| peer.news == address);
        let brief = peer.is_some_and(|peer| self.takes_briefs(peer));
        let remote = peer.is_some_and(|peer| peer.centre != self.own.centre);
        Target { address, remote, form: if brief { Form::Brief } else { Form::Whole } }
    }

    /// Returns the receivers of a round of news.
    ///
    /// Representatives also send briefs to those of other data centres in each round, so that proofs and
    /// changes of the configuration are in each data centre a round later than if all sent them to all.
    pub fn targets<R>(
        &mut self,
        hurry: Hurry,
        (peers, capacities): (&Peers, &Capacities),
        random: &mut R,
        now: Duration,
    ) -> Vec<Target>
    where
        R: Rng,
    {
        let others = peers.receivers(now).filter(|peer| peer.centre != self.own.centre).count();
        let interval = brief_interval(others);
        let mutual = self.mutual.iter().filter(|_| self.rank.is_some());
        let correspondents: Vec<SocketAddr> = mutual
            .flat_map(|centre| self.representatives(centre, peers, capacities, now))
            .collect();
        let mut targets = Vec::new();
        for peer in peers.receivers(now) {
            let corresponds = correspondents.contains(&peer.news);
            let form = if !self.takes_briefs(peer) || corresponds && hurry.addresses {
                Form::Whole
            } else {
                // The first interval is drawn so that the briefs of all pairs spread over it.
                let first = || now.saturating_sub(interval.mul_f64(random.random()));
                let last = self.briefed.entry(peer.instance.clone()).or_insert_with(first);
                if hurry.all || corresponds || now.saturating_sub(*last) >= interval {
                    *last = now;
                    Form::Brief
                } else {
                    Form::Nothing
                }
            };
            let remote = peer.centre != self.own.centre;
            targets.push(Target { address: peer.news, remote, form });
        }
        targets
    }

    /// Returns sums over this gateway, whose state is `own`, and the peers that it hears in its data centre,
    /// still without work, and the instances of these peers.
    pub fn sums(
        &mut self,
        own: &PeerState,
        ready: bool,
        peers: &Peers,
        now: Duration,
    ) -> (CentreNews, Vec<String>) {
        self.seq += 1;
        let (seq, leaving) = (own.seq, own.leaving);
        let own = Sighting { gateway: self.key, seq, ready, leaving, age: 0 };
        let (instances, mut gateways): (Vec<String>, Vec<Sighting>) =
            peers.sightings(&self.own.centre, now).into_iter().unzip();
        gateways.push(own);
        let news = CentreNews {
            sender: self.own.instance.clone(),
            gateway: self.key,
            seq: self.seq,
            part: (0, 1),
            centre: self.own.centre.clone(),
            hears: self.exchanges.heard(now),
            gateways,
            works: Vec::new(),
        };
        (news, instances)
    }

    /// Returns the address in each other data centre that this gateway sends its sums to. They go to the
    /// representatives there in turn, so that the loss of one does not stop them.
    pub fn sum_targets(
        &self,
        turn: usize,
        peers: &Peers,
        capacities: &Capacities,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let Some(rank) = self.rank else { return Vec::new() };
        let mut centres: Vec<&str> = peers.present(now).map(|peer| peer.centre.as_str()).collect();
        centres.sort_unstable();
        centres.dedup();
        let others = centres.into_iter().filter(|centre| *centre != self.own.centre);
        let targets = others.filter_map(|centre| {
            let targets = self.representatives(centre, peers, capacities, now);
            targets.get((turn + rank) % targets.len().max(1)).copied()
        });
        targets.collect()
    }

    /// Returns the addresses of the peers in the own data centre that sums are repeated to.
    pub fn repeat_targets(&self, peers: &Peers, now: Duration) -> Vec<SocketAddr> {
        let local = peers.receivers(now).filter(|peer| peer.centre == self.own.centre);
        let able = local.filter(|peer| self.understanding.contains(&peer.instance));
        able.map(|peer| peer.news).collect()
    }

    /// Applies sums from another data centre, and returns them once they are whole and if they are new.
    pub fn receive_sums(
        &mut self,
        news: CentreNews,
        peers: &mut Peers,
        now: Duration,
    ) -> Option<CentreNews> {
        let news = self.exchanges.receive(news, &self.own.centre, now)?;
        peers.apply_sightings(&news.gateways, now);
        Some(news)
    }

    /// Returns the hellos for the peers that were heard since the last round, or for all peers, and whether the
    /// receiver is in another data centre. A deployment that needs no sums needs none.
    pub fn hellos(
        &mut self,
        all: bool,
        peers: &Peers,
        now: Duration,
    ) -> Vec<(SocketAddr, bool, CentreMessage)> {
        let mut hellos = Vec::new();
        if !is_needed(peers, now) {
            return hellos;
        }
        for peer in peers.receivers(now) {
            let receiver = peers.key(&peer.instance);
            let is_new =
                receiver.is_some() && self.greeted.get(&peer.instance) != receiver.as_ref();
            if let Some(key) = receiver {
                self.greeted.insert(peer.instance.clone(), key);
            }
            if all || is_new {
                let hello = CentreMessage::Hello { sender: self.own.instance.clone(), receiver };
                hellos.push((peer.news, peer.centre != self.own.centre, hello));
            }
        }
        hellos
    }

    /// Records that a peer understands sums and briefs, and which life of this gateway it knows.
    pub fn record_hello(&mut self, sender: String, receiver: Option<GatewayKey>) {
        if receiver == Some(self.key) {
            self.understanding.insert(sender);
        } else {
            self.understanding.remove(&sender);
        }
    }

    /// Records that a new life of a peer was heard, which may be of another release.
    pub fn record_new_life(&mut self, instance: &str) {
        self.understanding.remove(instance);
        self.briefed.remove(instance);
    }

    /// Returns the peers in a data centre that can represent it, by instance.
    fn able<'a>(
        &self,
        centre: &str,
        peers: &'a Peers,
        now: Duration,
    ) -> BTreeMap<&'a str, &'a PeerAddress> {
        let present = peers.present(now).filter(|peer| peer.centre == centre);
        let able = present.filter(|peer| self.understanding.contains(&peer.instance));
        able.map(|peer| (peer.instance.as_str(), peer)).collect()
    }

    fn representatives(
        &self,
        centre: &str,
        peers: &Peers,
        capacities: &Capacities,
        now: Duration,
    ) -> Vec<SocketAddr> {
        let able = self.able(centre, peers, now);
        let order = representatives(able.keys().copied(), capacities);
        order.into_iter().filter_map(|instance| Some(able.get(instance)?.news)).collect()
    }
}

/// Returns whether the deployment has so many gateways that sums replace whole news between data centres.
fn is_needed(peers: &Peers, now: Duration) -> bool {
    needs_sums(1 + peers.receivers(now).count())
}
