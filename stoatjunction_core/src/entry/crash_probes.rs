//! When a barred request is sent once more, to find out whether upstreams still crash under it.
//!
//! What bars a request may be wrong: an upstream that ended for another reason looks the same. Since a barred request is
//! not sent, nothing would ever refute it. All hosts share the records of earlier probes, so that one of them sends one
//! request in a time that grows with each probe.

use super::crash::Cause;
use crate::time::Span;

/// Time after the last crash, or after a probe, in which none is sent; it doubles with each probe.
pub const PROBE_INTERVAL: Span = Span::from_millis(60_000);
/// Probes of a cause. The operators allow as many sendings after a request has crashed three upstreams.
pub const MAX_PROBES: u32 = 3;
/// Age from which on a record no longer counts.
const MAX_AGE: Span = Span::from_millis(86_400_000);
/// Limit on the records; the oldest are dropped.
const MAX_RECORDS: usize = 256;

/// The latest probe of a cause.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeRecord {
    /// The cause.
    pub cause: Cause,
    /// Time since it was granted.
    pub age: Span,
    /// Probes up to it.
    pub count: u32,
}

/// Why no probe is granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeRefusal {
    /// Another one was granted; the next one may be after this time.
    After(Span),
    /// As many were granted as may be.
    Exhausted,
}

/// Grants a probe of all `causes` and returns the records with it. Records of causes that `is_refuted` since begin anew:
/// a request with the cause has run to its end.
///
/// # Errors
///
/// Why one of them must not be probed now.
pub fn grant<F>(
    records: &[ProbeRecord],
    causes: &[Cause],
    is_refuted: F,
) -> Result<Vec<ProbeRecord>, ProbeRefusal>
where
    F: Fn(&ProbeRecord) -> bool,
{
    let counts = |r: &&ProbeRecord| r.age < MAX_AGE && !is_refuted(r);
    let mut granted = Vec::new();
    for cause in causes {
        let of_cause = records.iter().filter(counts).filter(|r| r.cause == *cause);
        let latest = of_cause.min_by_key(|r| r.age);
        granted.push(ProbeRecord {
            cause: *cause,
            age: Span::ZERO,
            count: latest.map_or(Ok(1), next_count)?,
        });
    }
    let others = records.iter().filter(|r| !causes.contains(&r.cause));
    granted.extend(others.filter(counts));
    granted.sort_by_key(|r| r.age);
    granted.truncate(MAX_RECORDS);
    Ok(granted)
}

fn next_count(latest: &ProbeRecord) -> Result<u32, ProbeRefusal> {
    if latest.count >= MAX_PROBES {
        return Err(ProbeRefusal::Exhausted);
    }
    let interval = Span(PROBE_INTERVAL.0 << latest.count);
    match latest.age < interval {
        true => Err(ProbeRefusal::After(interval - latest.age)),
        false => Ok(latest.count + 1),
    }
}
