//! Reports of the work and the outcomes of other gateways, each of which is counted once.
//!
//! Load pattern: the work of a gateway arrives in its own news and in the sums of several
//! representatives of its data centre, whose views differ while one of them is cut off, starts or stops.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bw_model::hash::rendezvous_weight;
use bw_model::Incarnation;
use bw_model::Key;
use serde::Deserialize;
use serde::Serialize;

use crate::endpoint::EndpointKey;
use crate::health::Counts;
use crate::load::Work;
use crate::load::PEER_AGE_MAX;

/// Rounds after which a report gives way to newer ones that together contain all its gateways.
const FRESH_ROUNDS: u32 = 3;

/// Identifies one life of a gateway in news.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct GatewayKey(u32);

impl GatewayKey {
    /// Returns the key of one life of the gateway on an instance.
    pub fn new(instance: &str, life: Incarnation) -> Self {
        // The low half suffices: a deployment has hundreds of gateways.
        Self(rendezvous_weight(&life.0.to_string(), instance) as u32)
    }
}

/// Work and outcomes at one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointReport {
    /// Key of the endpoint.
    pub key: EndpointKey,
    /// Requests that are running or waiting.
    pub work: Work,
    /// Requests that ended in the last seconds.
    pub counts: Counts,
}

/// What one source has reported of one or several gateways.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Gateways whose work is in the report.
    pub gateways: Vec<GatewayKey>,
    /// Hashes of the names of these gateways, by which gateways order each other.
    pub hashes: Vec<u64>,
    /// Highest age that the work of one of them had when the report arrived.
    pub lag: Duration,
    /// Work and outcomes by endpoint.
    pub endpoints: Vec<EndpointReport>,
}

/// The last report of each source.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    reports: BTreeMap<String, (Duration, Report)>,
}

impl Reports {
    /// Replaces the report of a source.
    pub fn insert(&mut self, source: &str, report: Report, now: Duration) {
        self.reports.retain(|_, (at, _)| now.saturating_sub(*at) <= PEER_AGE_MAX);
        self.reports.insert(source.to_string(), (now, report));
    }

    /// Returns the gateways in the last report of a source.
    pub fn gateways(&self, source: &str) -> Option<&[GatewayKey]> {
        self.reports.get(source).map(|(_, report)| report.gateways.as_slice())
    }

    /// Returns the reports to count, with their sources and the times at which they arrived.
    ///
    /// No two of them contain the same gateway. Those with more gateways come first, then those with newer work: a
    /// representative that hears only a part of its data centre does not replace one that hears all of it.
    /// A report that is older than some rounds of news counts until all its gateways are in newer ones.
    pub fn counted(&self, round: Duration, now: Duration) -> Vec<(&str, Duration, &Report)> {
        let age = |at: Duration| now.saturating_sub(at);
        let is_fresh = |at: Duration| age(at) <= round * FRESH_ROUNDS;
        let mut order: Vec<(&str, Duration, &Report)> = self
            .reports
            .iter()
            .filter(|(_, (at, _))| age(*at) <= PEER_AGE_MAX)
            .map(|(source, (at, report))| (source.as_str(), *at, report))
            .collect();
        let fresh = order.iter().filter(|(_, at, _)| is_fresh(*at));
        let fresh: BTreeSet<GatewayKey> =
            fresh.flat_map(|(_, _, report)| report.gateways.iter().copied()).collect();
        order.retain(|(_, at, report)| {
            is_fresh(*at) || !report.gateways.iter().all(|gateway| fresh.contains(gateway))
        });
        order
            .sort_by_key(|(_, at, report)| (Reverse(report.gateways.len()), age(*at) + report.lag));
        let mut taken = BTreeSet::new();
        order.retain(|(_, _, report)| {
            let disjoint = report.gateways.iter().all(|gateway| !taken.contains(gateway));
            if disjoint {
                taken.extend(report.gateways.iter().copied());
            }
            disjoint
        });
        order
    }

    /// Returns the sums of the last reports of `sources`, by endpoint.
    pub fn sum<'a, I>(&self, sources: I, now: Duration) -> BTreeMap<usize, (Work, Counts)>
    where
        I: Iterator<Item = &'a str>,
    {
        let mut sums: BTreeMap<usize, (Work, Counts)> = BTreeMap::new();
        let reports = sources.filter_map(|source| self.reports.get(source));
        let recent = reports.filter(|(at, _)| now.saturating_sub(*at) <= PEER_AGE_MAX);
        for endpoint in recent.flat_map(|(_, report)| &report.endpoints) {
            let (work, counts) = sums.entry(endpoint.key.index()).or_default();
            work.add(endpoint.work);
            counts.add(endpoint.counts);
        }
        sums
    }

    /// Returns whether a source has reported so recently that it is counted.
    pub fn is_recent(&self, source: &str, now: Duration) -> bool {
        self.reports.get(source).is_some_and(|(at, _)| now.saturating_sub(*at) <= PEER_AGE_MAX)
    }
}
