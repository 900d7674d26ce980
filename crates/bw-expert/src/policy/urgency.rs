//! Sets the gain that a new map has to bring.
//!
//! Steps that are short compared to the longest timely pause of a stream delay no caller, and
//! copying experts lengthens steps. The closer the length of steps comes to that pause, the smaller
//! the gain that justifies a switch.

use std::time::Duration;

/// Gain required while steps are short. A gain is the load that a new map takes from the busiest
/// rank, relative to the mean load of a rank and averaged over the sets. With this value, a switch
/// is justified only when the current map doubles the length of steps.
const GAIN_LOW_LOAD: f64 = 2.0;
/// Gain required while steps are so long that streams are about to become late.
const GAIN_URGENT: f64 = 0.20;
/// Length of steps relative to the longest timely pause: the required gain falls linearly between
/// these two values. `docs/design/platform.md` lists the measured alternatives.
const URGENCY_RANGE: (f64, f64) = (0.45, 0.65);

/// Returns whether steps are so short that no map can justify a switch, whatever the demand is.
pub fn is_low_load(step: Option<Duration>, max_pause: Duration) -> bool {
    step.is_none_or(|step| max_pause.is_zero() || step < max_pause.mul_f64(URGENCY_RANGE.0))
}

/// Returns the gain that justifies a switch.
///
/// `step` is the length of steps, `None` when no stream shows it; `max_pause` is the longest timely
/// pause between events, zero when none is configured.
pub fn gain_needed(step: Option<Duration>, max_pause: Duration) -> f64 {
    let Some(step) = step.filter(|_| !max_pause.is_zero()) else { return GAIN_LOW_LOAD };
    let ratio = step.as_secs_f64() / max_pause.as_secs_f64();
    let urgency = ((ratio - URGENCY_RANGE.0) / (URGENCY_RANGE.1 - URGENCY_RANGE.0)).clamp(0.0, 1.0);
    GAIN_LOW_LOAD + (GAIN_URGENT - GAIN_LOW_LOAD) * urgency
}
