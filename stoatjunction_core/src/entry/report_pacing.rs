//! How often a host reports to the others.
//!
//! The load is that of a large data centre: each of its 50 hosts, of an eighth of a core, reports to all others
//! and reads their reports. In proportion to the receivers that was 400 reports a second out and as many in,
//! and a day of 295 hosts was given up for its processor time.

use crate::time::Span;

/// Shortest interval between two reports.
const MIN_INTERVAL: Span = Span::from_millis(20);
/// Receivers up to which the shortest interval applies.
const RECEIVERS_AT_MIN_INTERVAL: f64 = 8.0;
/// Power of the receivers with which the interval grows: more than in proportion, since a host of a large
/// data centre fills its own slots first and needs the others' loads less. With it 50 hosts report about as often
/// as they do without changes.
const INTERVAL_GROWTH: f64 = 1.39;

/// Returns the shortest interval between two reports to this many receivers.
pub fn report_interval(receivers: usize) -> Span {
    let growth = (receivers as f64 / RECEIVERS_AT_MIN_INTERVAL).max(1.0);
    Span::from_secs_f64(MIN_INTERVAL.as_secs_f64() * growth.powf(INTERVAL_GROWTH))
}
