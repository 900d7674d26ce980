//! Counters and histograms of the gateway.

use std::time::Duration;

use bw_direct::attempts::SendEnd;
use bw_direct::place::SlotKind;
use bw_kernel::KernelError;
use bw_kernel::Metrics;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;

/// Metrics of requests, of the configuration and of switches of expert maps.
#[derive(Clone)]
pub struct GatewayMetrics {
    requests: IntCounterVec,
    sends: IntCounterVec,
    priorities: IntCounterVec,
    slots: IntCounterVec,
    waits: HistogramVec,
    first_bytes: HistogramVec,
    totals: HistogramVec,
    waiting: IntGaugeVec,
    version: IntGaugeVec,
    proof: IntGaugeVec,
    era: IntGaugeVec,
    evacuated: IntGaugeVec,
    evacuation_age: IntGaugeVec,
    switches: IntCounterVec,
    cold: IntGaugeVec,
    news: IntCounterVec,
    invalid: IntCounterVec,
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// [`KernelError::Metric`] if a metric cannot be registered.
    pub fn new(metrics: &Metrics) -> Result<Self, KernelError> {
        Ok(Self {
            requests: metrics.counter(
                "bw_gateway_requests_total",
                "Requests of callers by service and result.",
                &["service", "result"],
            )?,
            sends: metrics.counter(
                "bw_gateway_sends_total",
                "Sends to endpoints by service and end.",
                &["service", "end"],
            )?,
            priorities: metrics.counter(
                "bw_gateway_priorities_total",
                "Sends to endpoints by service and priority at the endpoint.",
                &["service", "priority"],
            )?,
            slots: metrics.counter(
                "bw_gateway_slots_total",
                "Sends to endpoints by service and kind of slot: home or borrowed.",
                &["service", "kind"],
            )?,
            waits: metrics.seconds(
                "bw_gateway_wait_seconds",
                "Time until a request had an endpoint.",
                &["service"],
            )?,
            first_bytes: metrics.seconds(
                "bw_gateway_first_seconds",
                "Time from a request to the first byte of its answer.",
                &["service"],
            )?,
            totals: metrics.seconds(
                "bw_gateway_request_seconds",
                "Time from a request to the end of its answer.",
                &["service"],
            )?,
            waiting: metrics.gauge(
                "bw_gateway_waiting",
                "Requests that wait for an endpoint.",
                &[],
            )?,
            version: metrics.gauge(
                "bw_gateway_config_version",
                "Configuration version in force; 0 for none.",
                &[],
            )?,
            proof: metrics.gauge(
                "bw_gateway_proof_age_milliseconds",
                "Age of the proof that the configuration is the newest; -1 for none.",
                &[],
            )?,
            era: metrics.gauge(
                "bw_gateway_store_era",
                "Highest era of the store that was seen; it rises when the store is restored.",
                &[],
            )?,
            evacuated: metrics.gauge(
                "bw_gateway_evacuated_centres",
                "Data centres whose endpoints get nothing, since they are evacuated.",
                &[],
            )?,
            evacuation_age: metrics.gauge(
                "bw_gateway_evacuations_age_milliseconds",
                "Time since the evacuations were last read from the store; -1 if not known.",
                &[],
            )?,
            switches: metrics.counter(
                "bw_gateway_map_switches_total",
                "Switches of expert maps by the phase that they reached last.",
                &["phase"],
            )?,
            cold: metrics.gauge(
                "bw_gateway_cold",
                "Endpoints that are cold, and this gateway's parts of what they may get.",
                &["what"],
            )?,
            news: metrics.counter(
                "bw_gateway_news_bytes_total",
                "Bytes of news sent to gateways of the own data centre and of others.",
                &["scope"],
            )?,
            invalid: metrics.counter(
                "bw_gateway_invalid_total",
                "Items from the store, peers, endpoints and ranks that were discarded as invalid, by what they are.",
                &["what"],
            )?,
        })
    }

    /// Counts a request that was answered or refused.
    pub fn record_request(&self, service: &str, result: &str) {
        self.requests.with_label_values(&[service, result]).inc();
    }

    /// Counts a send and records the time that the request waited for its endpoint. `end` is
    /// `None` if the send was answered.
    pub fn record_send(&self, service: &str, end: Option<SendEnd>, waited: Duration) {
        let end = match end {
            None => "answered",
            Some(SendEnd::NotSent) => "not_sent",
            Some(SendEnd::NotRun) => "not_run",
            Some(SendEnd::Failed) => "failed",
            Some(SendEnd::MayHaveRun) => "may_have_run",
        };
        self.sends.with_label_values(&[service, end]).inc();
        self.waits.with_label_values(&[service]).observe(waited.as_secs_f64());
    }

    /// Counts a send with a priority, if it has one.
    pub fn record_priority(&self, service: &str, priority: Option<u8>) {
        if let Some(priority) = priority {
            self.priorities.with_label_values(&[service, &priority.to_string()]).inc();
        }
    }

    /// Counts a send by the kind of slot that it was placed on.
    pub fn record_slot(&self, service: &str, kind: SlotKind) {
        let kind = match kind {
            SlotKind::Home => "home",
            SlotKind::Borrowed => "borrowed",
        };
        self.slots.with_label_values(&[service, kind]).inc();
    }

    /// Records the time from a request to the first byte of its answer.
    pub fn record_first_byte(&self, service: &str, took: Duration) {
        self.first_bytes.with_label_values(&[service]).observe(took.as_secs_f64());
    }

    /// Records the time from a request to the end of its answer.
    pub fn record_total(&self, service: &str, took: Duration) {
        self.totals.with_label_values(&[service]).observe(took.as_secs_f64());
    }

    /// Counts that a switch of an expert map ended or entered another phase.
    pub fn record_switch(&self, phase: &str) {
        self.switches.with_label_values(&[phase]).inc();
    }

    /// Sets the gauges of cold endpoints, which are only updated when the metrics are read.
    pub fn set_cold_gauges(&self, (endpoints, parts): (usize, usize)) {
        self.cold.with_label_values(&["endpoints"]).set(endpoints as i64);
        self.cold.with_label_values(&["parts"]).set(parts as i64);
    }

    /// Counts bytes of news that were sent within the data centre or to another one.
    pub fn record_news(&self, remote: bool, bytes: usize) {
        let scope = if remote { "other_centres" } else { "own_centre" };
        self.news.with_label_values(&[scope]).inc_by(bytes as u64);
    }

    /// Counts an item that was discarded because it is not valid.
    pub fn record_invalid(&self, what: &str) {
        self.invalid.with_label_values(&[what]).inc();
    }

    /// Sets the gauges, which are only updated when the metrics are read.
    pub fn set_gauges(&self, waiting: usize, version: u64, proof: Option<Duration>, era: u64) {
        self.waiting.with_label_values::<&str>(&[]).set(waiting as i64);
        self.version.with_label_values::<&str>(&[]).set(version as i64);
        let proof = proof.map_or(-1, |age| age.as_millis() as i64);
        self.proof.with_label_values::<&str>(&[]).set(proof);
        self.era.with_label_values::<&str>(&[]).set(era as i64);
    }

    /// Sets the gauges of evacuated data centres, as [`Self::set_gauges`] does the others.
    pub fn set_evacuations(&self, evacuated: usize, age: Option<Duration>) {
        self.evacuated.with_label_values::<&str>(&[]).set(evacuated as i64);
        let age = age.map_or(-1, |age| age.as_millis() as i64);
        self.evacuation_age.with_label_values::<&str>(&[]).set(age);
    }
}
