//! What a play measures, and the table of all plays.

use indexmap::IndexMap;
use serde::Serialize;
use stoatjunction_core::time::{Span, Time};

use super::load::{ARRIVALS_END, COUNT_FROM, FAULT_AT, START};

/// Length of the intervals in which recovery is looked for.
const INTERVAL: Span = Span::from_millis(500);
/// Share of the usual share in time below which an interval is not recovered.
const RECOVERED_SHARE: f64 = 0.9;

/// What callers of one kind got.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct Outcomes {
    /// Requests.
    pub calls: u32,
    /// Requests whose first event, or whole response, met the target latency.
    pub in_time: u32,
    /// Requests that were served at all.
    pub served: u32,
}

impl Outcomes {
    /// Returns the share in time.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.calls.max(1))
    }

    /// Returns the share that was served.
    pub fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.calls.max(1))
    }

    fn add(&mut self, other: &Outcomes) {
        self.calls += other.calls;
        self.in_time += other.in_time;
        self.served += other.served;
    }
}

/// Results of plays of one variant.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// Outcomes by kind.
    pub by_kind: IndexMap<&'static str, Outcomes>,
    /// Outcomes by interval of arrival.
    intervals: Vec<Outcomes>,
    /// Runs sent to upstreams.
    pub runs: u32,
    /// Runs that waited inside an upstream.
    pub queued_upstream: u32,
    /// Runs that an upstream refused.
    pub refused_upstream: u32,
    /// Sum and number of samples of the requests that wait inside an upstream.
    queue_samples: (u64, u64),
    /// Requests in the whole play.
    pub calls: u32,
    /// Requests that were decided on by their host since no owner replied.
    pub alone: u32,
    /// Longest time in milliseconds until such a request was decided on by its host.
    pub alone_after_ms: f64,
    /// Messages a second of the busiest host.
    pub messages: f64,
    /// Kilobytes a second of the busiest host.
    pub kilobytes: f64,
    /// Milliseconds of processor time a second of the busiest host, estimated.
    pub cpu_ms: f64,
    /// Requests that were sent to two upstreams without a refusal of the first; has to be zero.
    pub sent_twice: u32,
}

impl Measures {
    pub(super) fn record_call(
        &mut self,
        kind: &'static str,
        at: Time,
        in_time: bool,
        served: bool,
    ) {
        let outcome = Outcomes {
            calls: 1,
            in_time: u32::from(in_time),
            served: u32::from(served),
        };
        if at >= COUNT_FROM {
            self.by_kind.entry(kind).or_default().add(&outcome);
        }
        let index = (at.since(START).0 / INTERVAL.0) as usize;
        if self.intervals.len() <= index {
            self.intervals.resize(index + 1, Outcomes::default());
        }
        self.intervals[index].add(&outcome);
    }

    pub(super) fn record_queue(&mut self, length: usize) {
        self.queue_samples.0 += length as u64;
        self.queue_samples.1 += 1;
    }

    /// Returns the outcomes of all kinds.
    pub fn all(&self) -> Outcomes {
        let mut all = Outcomes::default();
        self.by_kind.values().for_each(|o| all.add(o));
        all
    }

    /// Returns the mean number of requests that wait inside an upstream.
    pub fn mean_queue(&self) -> f64 {
        self.queue_samples.0 as f64 / self.queue_samples.1.max(1) as f64
    }

    /// Returns the seconds from the failure to the end of the last interval in which clearly fewer requests than usual were
    /// in time.
    pub fn recovery_s(&self) -> f64 {
        let index = |at: Time| (at.since(START).0 / INTERVAL.0) as usize;
        let mut usual = Outcomes::default();
        let before = self.intervals.iter().take(index(FAULT_AT));
        before.skip(2).for_each(|o| usual.add(o));
        let bound = RECOVERED_SHARE * usual.in_time_share();
        let after = index(FAULT_AT)..index(ARRIVALS_END).min(self.intervals.len());
        let last = after
            .rev()
            .find(|i| self.intervals[*i].in_time_share() < bound);
        last.map_or(0.0, |i| {
            (i + 1 - index(FAULT_AT)) as f64 * INTERVAL.as_secs_f64()
        })
    }

    /// Adds the results of another seed.
    pub fn add(&mut self, other: &Measures) {
        for (kind, outcomes) in &other.by_kind {
            self.by_kind.entry(kind).or_default().add(outcomes);
        }
        let length = self.intervals.len().max(other.intervals.len());
        self.intervals.resize(length, Outcomes::default());
        for (sum, interval) in self.intervals.iter_mut().zip(&other.intervals) {
            sum.add(interval);
        }
        self.runs += other.runs;
        self.queued_upstream += other.queued_upstream;
        self.refused_upstream += other.refused_upstream;
        self.queue_samples.0 += other.queue_samples.0;
        self.queue_samples.1 += other.queue_samples.1;
        self.calls += other.calls;
        self.alone += other.alone;
        self.sent_twice += other.sent_twice;
        self.alone_after_ms = self.alone_after_ms.max(other.alone_after_ms);
        self.messages = self.messages.max(other.messages);
        self.kilobytes = self.kilobytes.max(other.kilobytes);
        self.cpu_ms = self.cpu_ms.max(other.cpu_ms);
    }
}

/// Returns the head of the table.
pub(super) fn table_head() -> String {
    "| hosts | service | load | scenario | variant | in time % | by kind % | served % | queue | queued % | refused % | alone % | \
     messages/s | kB/s | CPU ms/s | recovery s |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
        .to_owned()
}

/// Returns the cells of a row that `measures` fill.
pub(super) fn table_cells(measures: &Measures) -> String {
    let all = measures.all();
    let by_kind = measures.by_kind.iter();
    let by_kind: Vec<String> = by_kind
        .map(|(kind, o)| format!("{kind} {:.1}", o.in_time_share() * 100.0))
        .collect();
    let of_runs = |n: u32| f64::from(n) * 100.0 / f64::from(measures.runs.max(1));
    format!(
        "{:.1} | {} | {:.1} | {:.3} | {:.1} | {:.1} | {:.1} | {:.0} | {:.1} | {:.1} | {:.1}",
        all.in_time_share() * 100.0,
        by_kind.join(", "),
        all.served_share() * 100.0,
        measures.mean_queue(),
        of_runs(measures.queued_upstream),
        of_runs(measures.refused_upstream),
        f64::from(measures.alone) * 100.0 / f64::from(measures.calls.max(1)),
        measures.messages,
        measures.kilobytes,
        measures.cpu_ms,
        measures.recovery_s(),
    )
}
