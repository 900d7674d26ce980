//! How much a new map has to save.
//!
//! Steps that are short against the longest timely pause of a stream harm no caller, and copying
//! experts lengthens them; the closer steps come to it, the less a map has to save.

use std::time::Duration;

/// Part of a rank's mean load that a new map has to save on the busiest rank, averaged over the
/// sets, while steps are short: only a map that doubles the length of steps is worth a switch then.
const GAIN_CALM: f64 = 2.0;
/// The same while steps are so long that streams are close to being late.
const GAIN_URGENT: f64 = 0.20;
/// Parts of the longest timely pause that steps take, between which the gain falls; see
/// `docs/design/platform.md` for the alternatives that were measured.
const URGENCY: (f64, f64) = (0.45, 0.65);

/// Whether steps are so short that no map could bring callers enough, whatever demand is.
pub fn is_calm(step: Option<Duration>, pause: Duration) -> bool {
    step.is_none_or(|step| pause.is_zero() || step < pause.mul_f64(URGENCY.0))
}

/// Gain for which a switch is made at steps of this length, `None` where no stream shows it; `pause`
/// is the longest timely pause between events, zero where none is set.
pub fn gain_needed(step: Option<Duration>, pause: Duration) -> f64 {
    let Some(step) = step.filter(|_| !pause.is_zero()) else { return GAIN_CALM };
    let part = step.as_secs_f64() / pause.as_secs_f64();
    let urgency = ((part - URGENCY.0) / (URGENCY.1 - URGENCY.0)).clamp(0.0, 1.0);
    GAIN_CALM + (GAIN_URGENT - GAIN_CALM) * urgency
}
