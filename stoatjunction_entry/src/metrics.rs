//! Metrics of the daemon, in the text form that monitoring tools read.

use std::cell::{Cell, RefCell};
use std::fmt::Write;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{Request, Response};
use hyper::body::Incoming;
use indexmap::{IndexMap, IndexSet};
use stoatjunction_core::entry::capacity_reports::CapacitySummary;
use stoatjunction_core::entry::config::RouteKind;
use stoatjunction_core::entry::query_limit::QueryLimit;
use stoatjunction_core::entry::start_trace::StartPhase;
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::metrics::Metrics;
use tokio::net::TcpListener;

use crate::body::Body;
use crate::clock;
use crate::explain_placement;
use crate::host_protocols;
use crate::probe_server;
use crate::rollouts;
use crate::state::{Context, SharedState};

/// Upper bounds of the buckets of durations, in milliseconds.
const BUCKETS_MS: [u64; 13] = [
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000, 2_000, 5_000, 10_000,
];
/// Organisations that have a label of their own; a fleet may serve tens of thousands.
const MAX_ORGANISATIONS: usize = 32;
/// Label of all other organisations.
const OTHER: &str = "other";

/// What a request is counted under.
#[derive(Clone, Debug)]
pub(crate) struct RequestLabels {
    pub(crate) kind: &'static str,
    pub(crate) priority: String,
    pub(crate) organisation: String,
}

impl Default for RequestLabels {
    fn default() -> RequestLabels {
        RequestLabels {
            kind: "none",
            priority: "none".to_owned(),
            organisation: "none".to_owned(),
        }
    }
}

/// Numbers of requests that have ended, by what their callers got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct EndedRequests {
    /// Whole responses of upstreams.
    pub(crate) answered: u64,
    /// Refusals of this host.
    pub(crate) refused: u64,
    /// Responses that broke off, and requests that their callers gave up.
    pub(crate) other: u64,
}

impl EndedRequests {
    /// Returns what has ended since `before`.
    pub(crate) fn since(self, before: EndedRequests) -> EndedRequests {
        EndedRequests {
            answered: self.answered - before.answered,
            refused: self.refused - before.refused,
            other: self.other - before.other,
        }
    }

    fn add(&mut self, outcome: &str) {
        match outcome {
            "answered" => self.answered += 1,
            "refused" => self.refused += 1,
            _ => self.other += 1,
        }
    }
}

/// Counters and durations since the start of the daemon.
#[derive(Debug)]
pub(crate) struct EntryMetrics {
    metrics: Metrics,
    ended: Cell<EndedRequests>,
    organisations: RefCell<IndexSet<String>>,
}

impl EntryMetrics {
    /// # Errors
    ///
    /// An I/O error if the metrics cannot be set up.
    pub(crate) fn start() -> io::Result<EntryMetrics> {
        Ok(EntryMetrics {
            metrics: Metrics::start("entry", None)?,
            ended: Cell::default(),
            organisations: RefCell::default(),
        })
    }

    /// Returns the numbers of requests that have ended since the start.
    pub(crate) fn ended(&self) -> EndedRequests {
        self.ended.get()
    }

    /// Adds one to a counter.
    pub(crate) fn count(&self, name: &str, tags: &[(&str, &str)]) {
        self.metrics.count(name, 1, tags);
    }

    /// Counts a request that has ended: `outcome` is what its caller got, `code` the status or the
    /// number of the refusal.
    pub(crate) fn count_request(&self, labels: &RequestLabels, outcome: &str, code: &str) {
        let mut ended = self.ended.get();
        ended.add(outcome);
        self.ended.set(ended);
        let organisation = self.organisation_label(&labels.organisation);
        let tags = [
            ("outcome", outcome),
            ("code", code),
            ("kind", labels.kind),
            ("priority", &labels.priority),
            ("organisation", &organisation),
        ];
        self.count("requests", &tags);
    }

    /// Records a duration of a request of a kind.
    pub(crate) fn record_duration(&self, name: &str, kind: &str, duration: Span) {
        let ms = duration.as_millis();
        let bound = BUCKETS_MS.iter().find(|bound| ms <= **bound);
        let le = bound.map_or("+Inf".to_owned(), u64::to_string);
        let bucket = format!("{name}_ms_bucket");
        self.count(&bucket, &[("kind", kind), ("le", &le)]);
        let sum = format!("{name}_ms_sum");
        self.metrics.count(&sum, ms as i64, &[("kind", kind)]);
    }

    fn organisation_label(&self, name: &str) -> String {
        let mut known = self.organisations.borrow_mut();
        let is_known = known.contains(name);
        if !is_known && known.len() >= MAX_ORGANISATIONS {
            return OTHER.to_owned();
        }
        if !is_known {
            known.insert(name.to_owned());
        }
        name.to_owned()
    }
}

/// Counts a request once it has ended, also when its caller leaves before there is a response.
#[derive(Debug)]
pub(crate) struct CountedRequest<'a> {
    metrics: &'a EntryMetrics,
    pub(crate) labels: RequestLabels,
    is_counted: bool,
}

impl<'a> CountedRequest<'a> {
    pub(crate) fn new(metrics: &'a EntryMetrics) -> CountedRequest<'a> {
        CountedRequest {
            metrics,
            labels: RequestLabels::default(),
            is_counted: false,
        }
    }

    /// Counts the request.
    pub(crate) fn count(mut self, outcome: &str, code: &str) {
        self.metrics.count_request(&self.labels, outcome, code);
        self.is_counted = true;
    }

    /// Leaves the request to its stream, which counts it at its end.
    pub(crate) fn leave_to_stream(mut self) {
        self.is_counted = true;
    }
}

impl Drop for CountedRequest<'_> {
    fn drop(&mut self) {
        if !self.is_counted {
            self.metrics
                .count_request(&self.labels, "caller_left", "none");
        }
    }
}

/// Returns the label of a kind.
pub(crate) fn kind_label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Safe => "safe",
        RouteKind::Once => "once",
        RouteKind::Stream => "stream",
        RouteKind::Resumable => "resumable",
    }
}

/// Serves the metrics for as long as the daemon runs.
pub(crate) async fn serve(cx: Rc<Context>, listener: TcpListener) {
    let limit = Rc::new(RefCell::new(QueryLimit::default()));
    let max_open = cx.file_shares.checks;
    let respond = move |req: &Request<Incoming>| match req.uri().path() {
        explain_placement::PATH => explain_placement::respond(&cx, &limit, req.uri().query()),
        _ => respond(&cx),
    };
    probe_server::serve(&listener, "metrics", max_open, respond).await;
}

fn respond(cx: &Context) -> Response<Body> {
    let mut res = Response::new(Body::full(Bytes::from(render(cx))));
    let content_type = http::HeaderValue::from_static("text/plain; version=0.0.4");
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    res
}

/// Returns all metrics as text, a line each.
fn render(cx: &Context) -> String {
    let mut text = String::new();
    let totals = cx.metrics.metrics.totals();
    for (key, value) in cumulate(totals) {
        let (name, tags) = key.split_once('{').unwrap_or((&key, ""));
        let name = name.replace('.', "_");
        let _never_fails = writeln!(text, "{name}{} {value}", labels(tags.trim_end_matches('}')));
    }
    for (name, value) in gauges(cx) {
        let _never_fails = writeln!(text, "stoatjunction_entry_{name} {value}");
    }
    text
}

/// Adds to each bucket of a duration those below it, as readers of the text form expect.
fn cumulate(totals: IndexMap<String, i64>) -> IndexMap<String, i64> {
    let mut out = IndexMap::new();
    for (key, value) in totals {
        let Some((series, _)) = key.rsplit_once(",le:") else {
            out.insert(key, value);
            continue;
        };
        let all = BUCKETS_MS.iter().map(u64::to_string);
        let from = key[series.len() + 4..].trim_end_matches('}').to_owned();
        let bounds: Vec<String> = all.chain(["+Inf".to_owned()]).collect();
        let first = bounds.iter().position(|b| *b == from).unwrap_or_default();
        for bound in &bounds[first..] {
            *out.entry(format!("{series},le:{bound}}}")).or_default() += value;
        }
    }
    out.sort_keys();
    out
}

/// Converts tags `k:v,k:v` to labels.
fn labels(tags: &str) -> String {
    if tags.is_empty() {
        return String::new();
    }
    let pairs = tags.split(',').filter_map(|t| t.split_once(':'));
    let pairs = pairs.map(|(k, v)| format!("{k}=\"{}\"", label_value(v)));
    let pairs: Vec<String> = pairs.collect();
    format!("{{{}}}", pairs.join(","))
}

/// Returns a text as the value of a label.
pub(crate) fn label_value(text: &str) -> String {
    let text = text.replace('\\', "\\\\");
    text.replace('"', "\\\"").replace('\n', "\\n")
}

/// Returns the present state of the daemon.
fn gauges(cx: &Context) -> Vec<(String, String)> {
    let now = clock::now();
    let state = cx.state.borrow();
    let (reachable, known) = state.reachable_hosts(now);
    let draining = state.upstream_list.upstreams().filter(|l| l.draining);
    let version = state.routes.as_ref().map_or(0, |r| r.cfg().version);
    let barred = state.crash_causes.barred_count();
    let mut all = vec![
        ("hosts_reachable".to_owned(), reachable.to_string()),
        ("hosts_known".to_owned(), known.to_string()),
        (
            "limit_share".to_owned(),
            state.rate_limiter.share().to_string(),
        ),
        ("configuration_version".to_owned(), version.to_string()),
        (
            "upstreams_listed".to_owned(),
            state.upstream_list.upstreams().count().to_string(),
        ),
        (
            "upstreams_draining".to_owned(),
            draining.count().to_string(),
        ),
        (
            "requests_in_progress".to_owned(),
            cx.in_progress.get().to_string(),
        ),
        ("requests_barred".to_owned(), barred.to_string()),
    ];
    all.extend(memory_gauges(cx));
    all.extend(protocol_gauges(cx, &state, now));
    for phase in StartPhase::ALL {
        if let Some(after) = state.start_trace.reached(phase) {
            let name = format!("start_phase_ms{{phase=\"{}\"}}", phase.label());
            all.push((name, after.as_millis().to_string()));
        }
    }
    for (service, scheduler) in &state.schedulers {
        let service = &label_value(service);
        let pool = &scheduler.pool;
        let waiting: u32 = pool.waiting().iter().map(|(_, n)| u32::from(*n)).sum();
        all.push((
            format!("waiting{{service=\"{service}\"}}"),
            waiting.to_string(),
        ));
        let free = pool.free_slots(now).to_string();
        all.push((format!("free_slots{{service=\"{service}\"}}"), free));
        let borrowed = pool.borrowed_slots().to_string();
        all.push((format!("slots_borrowed{{service=\"{service}\"}}"), borrowed));
        let limited = pool.limits().count().to_string();
        all.push((
            format!("upstreams_limited{{service=\"{service}\"}}"),
            limited,
        ));
        if let Some(capacity) = pool.capacity_summary(now) {
            all.extend(capacity_gauges(service, &capacity));
        }
    }
    all.extend(rollouts::gauges(&state, now));
    all
}

/// Returns what takes memory, and how much of it may.
fn memory_gauges(cx: &Context) -> [(String, String); 4] {
    let values = [
        ("callers_open", cx.callers.count()),
        ("callers_max", cx.callers.max()),
        ("bodies_held_bytes", cx.memory.held()),
        ("bodies_max_bytes", cx.memory.limit()),
    ];
    values.map(|(name, value)| (name.to_owned(), value.to_string()))
}

/// Returns what the other hosts speak.
fn protocol_gauges(cx: &Context, state: &SharedState, now: Time) -> [(String, String); 3] {
    let own = cx.settings.protocol();
    let counts = host_protocols::counts(state, own, now);
    let common = host_protocols::common(state, own, now).unwrap_or_default();
    [
        ("protocol_common".to_owned(), common.to_string()),
        (
            "hosts_of_other_protocol".to_owned(),
            counts.of_other_protocol.to_string(),
        ),
        ("hosts_unreadable".to_owned(), counts.unreadable.to_string()),
    ]
}

/// Returns the learned capacity of the upstreams of a service that state a pace.
fn capacity_gauges(service: &str, capacity: &CapacitySummary) -> Vec<(String, String)> {
    let values = [
        ("upstreams_stating_pace", capacity.upstreams.to_string()),
        ("learned_slots", capacity.runs.to_string()),
        ("learned_slots_lowest", capacity.lowest_runs.to_string()),
        ("pace", format!("{:.0}", capacity.pace)),
        ("pace_lowest", format!("{:.0}", capacity.lowest_pace)),
        ("pace_highest", format!("{:.0}", capacity.highest_pace)),
    ];
    let gauge = |(name, value): (&str, String)| (format!("{name}{{service=\"{service}\"}}"), value);
    values.into_iter().map(gauge).collect()
}
