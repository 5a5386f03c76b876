//! Retry delay recommended to callers whose request was refused.

use crate::time::Span;

/// Minimum retry delay.
pub const RETRY_MIN: Span = Span::from_millis(1_000);
/// Maximum retry delay.
pub const RETRY_MAX: Span = Span::from_millis(60_000);

/// Returns the retry delay for `backlog`, the time needed to process the queued work: 75 % to
/// 150 % of it at random, so that refused callers do not return in one burst. `draw` is uniform
/// in `0.0..1.0`.
pub fn retry_after(backlog: Span, draw: f64) -> Span {
    let base = backlog.max(RETRY_MIN).min(RETRY_MAX);
    let factor = 0.75 + 0.75 * draw.clamp(0.0, 1.0);
    let jittered = Span::from_secs_f64(base.as_secs_f64() * factor);
    jittered.max(RETRY_MIN).min(RETRY_MAX)
}
