//! Metrics of one process in the Prometheus text format.

use prometheus::Encoder;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounterVec;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::TextEncoder;

use crate::error::KernelError;

/// Creates metrics and renders them.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    registry: prometheus::Registry,
}

impl Metrics {
    /// A counter with labels.
    ///
    /// # Errors
    /// [`KernelError::Metric`] when the name is taken or not valid.
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

    /// A gauge with labels.
    ///
    /// # Errors
    /// [`KernelError::Metric`] when the name is taken or not valid.
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

    /// A histogram of seconds with labels; buckets double from 0.5 ms.
    ///
    /// # Errors
    /// [`KernelError::Metric`] when the name is taken or not valid.
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

    /// All metrics as text.
    pub fn render(&self) -> String {
        let mut buffer = Vec::new();
        // Writing to a vector does not fail; an encoding error leaves the text short.
        let _ = TextEncoder::new().encode(&self.registry.gather(), &mut buffer);
        String::from_utf8_lossy(&buffer).into_owned()
    }
}

fn metric_error(error: prometheus::Error) -> KernelError {
    KernelError::Metric(error.to_string())
}
