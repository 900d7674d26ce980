//! Metrics of one process in the Prometheus text format.

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::TextEncoder;

use crate::error::KernelError;

/// Creates and registers metrics, and renders them for scraping.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: prometheus::Registry,
}

impl Metrics {
    /// Registers a counter with labels.
    ///
    /// # Errors
    /// [`KernelError::Metric`] when the name is already registered or not valid.
    pub fn counter(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, KernelError> {
        let counter = IntCounterVec::new(Opts::new(name, help), labels).map_err(metric_error)?;
        self.registry.register(Box::new(counter.clone())).map_err(metric_error)?;
        Ok(counter)
    }

    /// Registers a gauge with labels.
    ///
    /// # Errors
    /// [`KernelError::Metric`] when the name is already registered or not valid.
    pub fn gauge(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, KernelError> {
        let gauge = IntGaugeVec::new(Opts::new(name, help), labels).map_err(metric_error)?;
        self.registry.register(Box::new(gauge.clone())).map_err(metric_error)?;
        Ok(gauge)
    }

    /// Registers a histogram of durations in seconds with labels.
    ///
    /// It has 18 buckets; their bounds start at 0.5 ms and double.
    ///
    /// # Errors
    /// [`KernelError::Metric`] when the name is already registered or not valid.
    pub fn seconds(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<HistogramVec, KernelError> {
        const FIRST_SECONDS: f64 = 0.000_5;
        const BUCKETS: usize = 18;
        let buckets = prometheus::exponential_buckets(FIRST_SECONDS, 2.0, BUCKETS);
        let options = HistogramOpts::new(name, help).buckets(buckets.map_err(metric_error)?);
        let histogram = HistogramVec::new(options, labels).map_err(metric_error)?;
        self.registry.register(Box::new(histogram.clone())).map_err(metric_error)?;
        Ok(histogram)
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        // Writing to a vector cannot fail; an encoding error truncates the text.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        String::from_utf8_lossy(&buffer).into_owned()
    }
}

fn metric_error(error: prometheus::Error) -> KernelError {
    KernelError::Metric(error.to_string())
}
