//! Counters and histograms of the gateway.

use std::time::Duration;

use bw_direct::attempts::SendEnd;
use bw_kernel::KernelError;
use bw_kernel::Metrics;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;

/// What is measured of requests and of what they depend on.
#[derive(Clone)]
pub struct GatewayMetrics {
    requests: IntCounterVec,
    sends: IntCounterVec,
    waits: HistogramVec,
    firsts: HistogramVec,
    totals: HistogramVec,
    waiting: IntGaugeVec,
    version: IntGaugeVec,
    proof: IntGaugeVec,
    switches: IntCounterVec,
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// [`KernelError::Metric`].
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
            waits: metrics.seconds(
                "bw_gateway_wait_seconds",
                "Time until a request had an endpoint.",
                &["service"],
            )?,
            firsts: metrics.seconds(
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
            switches: metrics.counter(
                "bw_gateway_map_switches_total",
                "Switches of expert maps by the phase that they reached last.",
                &["phase"],
            )?,
        })
    }

    /// Notes a request that has got its answer or refusal.
    pub fn note_request(&self, service: &str, result: &str) {
        self.requests.with_label_values(&[service, result]).inc();
    }

    /// Notes a send; `None` for one that brought an answer.
    pub fn note_send(&self, service: &str, end: Option<SendEnd>, waited: Duration) {
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

    /// Notes the time to an answer's first byte.
    pub fn note_first(&self, service: &str, took: Duration) {
        self.firsts.with_label_values(&[service]).observe(took.as_secs_f64());
    }

    /// Notes the time to an answer's end.
    pub fn note_total(&self, service: &str, took: Duration) {
        self.totals.with_label_values(&[service]).observe(took.as_secs_f64());
    }

    /// Notes that a switch of a map has ended or begun another phase.
    pub fn note_switch(&self, phase: &str) {
        self.switches.with_label_values(&[phase]).inc();
    }

    /// Sets what is measured only when somebody looks.
    pub fn set_state(&self, waiting: usize, version: u64, proof: Option<Duration>) {
        self.waiting.with_label_values::<&str>(&[]).set(waiting as i64);
        self.version.with_label_values::<&str>(&[]).set(version as i64);
        let proof = proof.map_or(-1, |age| age.as_millis() as i64);
        self.proof.with_label_values::<&str>(&[]).set(proof);
    }
}
