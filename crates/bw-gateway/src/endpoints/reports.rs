//! Work and outcomes at endpoints, as gateways report them to each other.

use std::collections::BTreeMap;
use std::time::Duration;

use bw_direct::centre_news::CentreNews;
use bw_direct::health::Counts;
use bw_direct::load::gateway_hash;
use bw_direct::load::Work;
use bw_direct::peers::WorkNews;
use bw_direct::reports::EndpointReport;
use bw_direct::reports::GatewayKey;
use bw_direct::reports::Report;

use super::Endpoints;
use super::State;

/// Longest time between two choices of the reports to count, which look at all of them. A report that only
/// replaces one of the same gateways needs none.
const COUNT_INTERVAL: Duration = Duration::from_millis(50);

impl Endpoints {
    /// Returns this gateway's work and outcomes by endpoint, for the news to peers.
    pub fn work_news(&self, now: Duration) -> Vec<WorkNews> {
        let state = self.lock();
        state.encode_works(state.own_works(now))
    }

    /// Returns the sums of the work and the outcomes of this gateway and of `peers`, by endpoint.
    pub fn summed_news<'a, I>(&self, peers: I, now: Duration) -> Vec<WorkNews>
    where
        I: Iterator<Item = &'a str>,
    {
        let state = self.lock();
        let mut sums = state.reports.sum(peers, now);
        for (index, (work, counts)) in state.own_works(now) {
            let (sum, outcomes) = sums.entry(index).or_default();
            sum.add(work);
            outcomes.add(counts);
        }
        state.encode_works(sums)
    }

    /// Replaces the work and outcomes reported by a peer; unknown endpoints are ignored. `round` is the time
    /// between rounds of news.
    pub fn receive_work(
        &self,
        peer: &str,
        key: GatewayKey,
        works: &[WorkNews],
        round: Duration,
        now: Duration,
    ) {
        let report = Report {
            gateways: vec![key],
            hashes: vec![gateway_hash(peer)],
            lag: Duration::ZERO,
            endpoints: Vec::new(),
        };
        self.lock().receive_report(peer, report, works, (round, now));
    }

    /// Replaces the sums reported by a representative of another data centre. `hashes` are those of the
    /// gateways there that are present.
    pub fn receive_sums(
        &self,
        news: &CentreNews,
        hashes: Vec<u64>,
        round: Duration,
        now: Duration,
    ) {
        let gateways = news.gateways.iter().map(|sighting| sighting.gateway).collect();
        let lag = news.gateways.iter().map(|sighting| sighting.age).max().unwrap_or_default();
        let lag = Duration::from_millis(u64::from(lag));
        // No instance has such a name.
        let source = format!("sums of {}", news.sender);
        let report = Report { gateways, hashes, lag, endpoints: Vec::new() };
        self.lock().receive_report(&source, report, &news.works, (round, now));
    }
}

impl State {
    fn own_works(&self, now: Duration) -> BTreeMap<usize, (Work, Counts)> {
        let mut works: BTreeMap<usize, (Work, Counts)> = BTreeMap::new();
        for (index, work) in self.loads.own() {
            works.entry(index).or_default().0 = work;
        }
        for (index, counts) in self.standings.health.own(now) {
            works.entry(index).or_default().1 = counts;
        }
        works
    }

    fn encode_works(&self, works: BTreeMap<usize, (Work, Counts)>) -> Vec<WorkNews> {
        let news = works.into_iter().map(|(index, (work, counts))| WorkNews {
            endpoint: self.extras[index].name_hash,
            requests: work.requests,
            prompt: work.prompt,
            ended: counts.ended,
            failed: counts.failed,
        });
        news.collect()
    }

    fn receive_report(
        &mut self,
        source: &str,
        report: Report,
        works: &[WorkNews],
        (round, now): (Duration, Duration),
    ) {
        let endpoints = works.iter().filter_map(|news| {
            let key = *self.by_hash.get(&news.endpoint)?;
            Some(EndpointReport { key, work: news.work(), counts: news.counts() })
        });
        let report = Report { endpoints: endpoints.collect(), ..report };
        let replaces = self.loads.received_at(source).is_some()
            && self.reports.gateways(source) == Some(report.gateways.as_slice());
        let recent = now.saturating_sub(self.counted_at) < COUNT_INTERVAL.min(round);
        if replaces && recent {
            self.count_report(source, &report, now);
            self.reports.insert(source, report, now);
            return;
        }
        self.counted_at = now;
        self.reports.insert(source, report, now);
        let reports = std::mem::take(&mut self.reports);
        let counted = reports.counted(round, now);
        let is_counted = |source: &str| counted.iter().any(|(other, _, _)| *other == source);
        self.loads.retain_sources(is_counted);
        self.standings.health.retain_sources(is_counted);
        for (source, at, report) in counted {
            if self.loads.received_at(source) != Some(at) {
                self.count_report(source, report, at);
            }
        }
        self.reports = reports;
    }

    /// Replaces what is counted of a source by its report, which arrived at `at`.
    fn count_report(&mut self, source: &str, report: &Report, at: Duration) {
        let endpoints = &report.endpoints;
        let works = endpoints.iter().map(|endpoint| (endpoint.key, endpoint.work)).collect();
        let hashes = report.hashes.clone();
        self.loads.update_source(source, hashes, works, (report.lag, at));
        let counts = endpoints.iter().map(|endpoint| (endpoint.key, endpoint.counts));
        self.standings.health.update_peer(source, counts.collect(), at);
    }
}
