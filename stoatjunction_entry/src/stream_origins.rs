//! At which software version streams began: what hosts report to each other, and what a host asks the others when a
//! caller takes a stream up that it does not know.

use std::net::IpAddr;
use std::rc::Rc;

use http::HeaderMap;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use stoatjunction_core::code::Code;
use stoatjunction_core::entry::config::{Route, RouteKind};
use stoatjunction_core::entry::software_version::{MAX_STREAM_AGE, SoftwareVersion};
use stoatjunction_core::entry::stream_origins::{
    BegunStream, Place, Resumption, StreamId, StreamKnowledge,
};
use stoatjunction_core::time::{Span, Time};
use tokio::sync::mpsc;

use crate::attempt::UpstreamRequest;
use crate::clock;
use crate::gossip;
use crate::refusal::Refusal;
use crate::relay;
use crate::state::{Context, SharedState};
use crate::stored_origins::ReadTimes;

/// Number of heartbeats that report a stream, since datagrams are lost occasionally.
const REPORT_COUNT: u8 = 2;
/// Maximum streams in one datagram; larger datagrams get lost.
const MAX_REPORTED: usize = 64;
/// Time for which a relay repeats what began, two of its reports to other data centres.
const RELAYED_AGE: Span = Span::from_millis(600);
/// Time within which other hosts answer, or a report that is under way arrives.
const ANSWER_TIMEOUT: Span = Span::from_millis(400);
/// Time after which hosts that have not answered are asked again.
const ASK_INTERVAL: Span = Span::from_millis(100);
/// Age up to which a read of the store counts beside the answers of other hosts.
const READ_AGE: Span = Span::from_millis(1_000);
/// Shortest time after which a caller may come back with a stream that no host knows; as long again is drawn.
const UNKNOWN_RETRY_AFTER: Span = Span::from_millis(300);
/// The same for a stream whose version has no upstream left.
const GONE_RETRY_AFTER: Span = Span::from_millis(1_000);

/// Streams that began, by version. Encoded by position.
pub(crate) type BegunStreams = Vec<(SoftwareVersion, Vec<StreamId>)>;

/// A question to another host. Encoded by position: the order of the fields is part of the protocol.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OriginQuery {
    stream: StreamId,
    /// Services whose upstreams may have begun the stream.
    services: Vec<String>,
}

/// The answer of another host. Encoded by position: the order of the fields is part of the protocol.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OriginAnswer {
    stream: StreamId,
    version: Option<SoftwareVersion>,
    /// Versions that may have begun the stream as far as the host knows.
    candidates: Vec<SoftwareVersion>,
    /// True if the host has run for so long that these are all.
    is_sure: bool,
}

/// Streams that hosts are being asked about, with the requests that wait for answers.
#[derive(Debug, Default)]
pub(crate) struct OpenQueries {
    waiting: IndexMap<StreamId, Vec<mpsc::UnboundedSender<Answered>>>,
}

/// What a request that waits for answers is told.
#[derive(Clone, Debug)]
enum Answered {
    /// This host knows the stream by now.
    Known,
    /// The host does not know the stream, only these candidates, and whether these are all.
    By(IpAddr, Vec<SoftwareVersion>, bool),
}

impl OpenQueries {
    /// Adds a request that waits for answers, and forgets those that do no longer.
    fn open(&mut self, stream: StreamId) -> mpsc::UnboundedReceiver<Answered> {
        self.waiting.retain(|_, waiting| {
            waiting.retain(|tx| !tx.is_closed());
            !waiting.is_empty()
        });
        let (tx, rx) = mpsc::unbounded_channel();
        self.waiting.entry(stream).or_default().push(tx);
        rx
    }

    fn answer(&mut self, stream: StreamId, answer: &Answered) {
        if let Some(waiting) = self.waiting.get_mut(&stream) {
            waiting.retain(|tx| tx.send(answer.clone()).is_ok());
            if waiting.is_empty() {
                self.waiting.swap_remove(&stream);
            }
        }
    }
}

/// Records that a stream began, and has it reported to the other hosts.
pub(crate) fn record_begun(cx: &Context, request: &UpstreamRequest, version: SoftwareVersion) {
    let Some(id) = &request.id else {
        return;
    };
    let begun = BegunStream {
        stream: StreamId::new(id.as_bytes()),
        version,
    };
    let mut state = cx.state.borrow_mut();
    if state
        .stream_origins
        .record(begun, Place::Here, clock::now())
    {
        let pending = &mut state.pending_updates.begun_streams;
        pending.push((begun, REPORT_COUNT));
        state.origin_log.record(begun, clock::now());
        cx.gossip_wakeup.notify_one();
        cx.origin_wakeup.notify_one();
    }
}

/// Returns the streams that the next heartbeat reports.
pub(crate) fn take_pending(state: &mut SharedState) -> BegunStreams {
    let pending = &mut state.pending_updates.begun_streams;
    let reported = pending.len().min(MAX_REPORTED);
    let by_version = group(pending[..reported].iter().map(|(begun, _)| *begun));
    for (_, remaining) in &mut pending[..reported] {
        *remaining -= 1;
    }
    pending.retain(|(_, remaining)| *remaining > 0);
    by_version
}

/// Returns what began in this data centre lately, in parts that fit a datagram each. It is kept in another data centre
/// too, for the case that this one is lost.
pub(crate) fn build_relayed(state: &SharedState, now: Time) -> Vec<BegunStreams> {
    let since = now.saturating_sub(RELAYED_AGE);
    let begun = state.stream_origins.begun_here_since(since);
    let parts = begun.chunks(MAX_REPORTED);
    parts.map(|part| group(part.iter().copied())).collect()
}

fn group<I>(begun: I) -> BegunStreams
where
    I: Iterator<Item = BegunStream>,
{
    let mut by_version: IndexMap<SoftwareVersion, Vec<StreamId>> = IndexMap::new();
    for b in begun {
        by_version.entry(b.version).or_default().push(b.stream);
    }
    by_version.into_iter().collect()
}

/// Records what began at other hosts.
pub(crate) fn receive_begun(state: &mut SharedState, streams: &BegunStreams, place: Place) {
    let now = clock::now();
    for (version, streams) in streams {
        for stream in streams {
            let begun = BegunStream {
                stream: *stream,
                version: *version,
            };
            if state.stream_origins.record(begun, place, now) {
                state.open_queries.answer(*stream, &Answered::Known);
            }
        }
    }
}

/// Answers a question of another host.
pub(crate) fn answer(cx: &Context, query: &OriginQuery) -> OriginAnswer {
    let state = cx.state.borrow();
    OriginAnswer {
        stream: query.stream,
        version: state.stream_origins.version_of(query.stream),
        candidates: candidates(&state, &query.services, clock::now()),
        is_sure: remembers_versions(cx, &state, clock::now()),
    }
}

/// Returns whether this host has run since before any stream began that a caller may take up.
fn remembers_versions(cx: &Context, state: &SharedState, now: Time) -> bool {
    cx.settings.first_start || now.since(state.started) >= MAX_STREAM_AGE
}

/// Applies the answer of the host at `sender`.
pub(crate) fn receive_answer(cx: &Context, sender: IpAddr, answer: OriginAnswer) {
    let mut state = cx.state.borrow_mut();
    let Some(version) = answer.version else {
        let answered = Answered::By(sender, answer.candidates, answer.is_sure);
        state.open_queries.answer(answer.stream, &answered);
        return;
    };
    let begun = vec![(version, vec![answer.stream])];
    receive_begun(&mut state, &begun, Place::Elsewhere);
}

fn candidates(state: &SharedState, services: &[String], now: Time) -> Vec<SoftwareVersion> {
    let pools = services.iter().filter_map(|s| state.schedulers.get(s));
    let known = pools.flat_map(|s| s.pool.recent_versions(now));
    let stored = services.iter();
    let stored = stored.flat_map(|s| state.stored_versions.recent(s, now));
    let mut versions: Vec<SoftwareVersion> = known.chain(stored).collect();
    versions.sort_unstable();
    versions.dedup();
    versions
}

/// A stream that a caller takes up.
struct TakenUp<'a> {
    /// The stream; `None` if the caller does not name it.
    stream: Option<StreamId>,
    request_id: &'a str,
    services: Vec<String>,
}

/// Returns the version at which the stream that the request takes up has to go on; `None` if it takes up none.
///
/// # Errors
///
/// The refusal of a stream that could be mixed with what another version writes.
pub(crate) async fn resolve(
    cx: &Rc<Context>,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<SoftwareVersion>, Refusal> {
    let first_attempt = headers.get(&cx.names.first_attempt);
    let takes_up = first_attempt.is_some() || headers.contains_key(&cx.names.last_event);
    if route.repeat != RouteKind::Resumable || !takes_up {
        return Ok(None);
    }
    let request_id = headers.get(&cx.names.request_id);
    let taken_up = TakenUp {
        stream: first_attempt.map(|id| StreamId::new(id.as_bytes())),
        request_id: request_id.and_then(|id| id.to_str().ok()).unwrap_or("-"),
        services: route.targets.iter().map(|(s, _)| s.clone()).collect(),
    };
    let mut knowledge = own_knowledge(cx, &taken_up);
    let mut answered_by_hosts = false;
    if knowledge.decide() == Resumption::Ask {
        answered_by_hosts = ask_others(cx, &taken_up, &mut knowledge).await;
    }
    if knowledge.decide() == Resumption::Read {
        read_store(cx, &taken_up, &mut knowledge, answered_by_hosts).await;
    }
    let Resumption::GoOn(version) = knowledge.decide() else {
        log::info!(
            "event=origin_unknown request={} candidates={} sure={}",
            taken_up.request_id,
            knowledge.candidates.len(),
            knowledge.is_sure
        );
        return Err(refuse(Code::OriginUnknown, UNKNOWN_RETRY_AFTER));
    };
    if service_of(cx, route, version).is_none() {
        log::info!("event=version_gone request={}", taken_up.request_id);
        return Err(version_gone());
    }
    Ok(Some(version))
}

/// Returns the service among the route's targets that has upstreams of a version.
pub(crate) fn service_of<'a>(
    cx: &Context,
    route: &'a Route,
    version: SoftwareVersion,
) -> Option<&'a str> {
    let state = cx.state.borrow();
    let serves = |service: &str| {
        let scheduler = state.schedulers.get(service);
        scheduler.is_some_and(|s| s.pool.serves_version(version, clock::now()))
    };
    let used = route.targets.iter().filter(|(_, weight)| *weight > 0);
    let mut services = used.map(|(service, _)| service.as_str());
    services.find(|s| serves(s))
}

/// Returns the refusal of a stream whose version has no upstream left, as far as is known.
pub(crate) fn version_gone() -> Refusal {
    refuse(Code::VersionGone, GONE_RETRY_AFTER)
}

fn refuse(code: Code, shortest: Span) -> Refusal {
    let jitter = Span::from_secs_f64(shortest.as_secs_f64() * fastrand::f64());
    Refusal::with_retry_after(code, shortest + jitter)
}

fn own_knowledge(cx: &Context, taken_up: &TakenUp<'_>) -> StreamKnowledge {
    let state = cx.state.borrow();
    let version = taken_up.stream;
    StreamKnowledge {
        version: version.and_then(|s| state.stream_origins.version_of(s)),
        candidates: candidates(&state, &taken_up.services, clock::now()),
        is_sure: false,
        may_ask: !hosts_to_ask(&state).is_empty(),
        may_read: true,
    }
}

/// Returns the hosts to ask: in a small fleet all that are reachable, in a large one those of each data centre that
/// keep what began in others.
fn hosts_to_ask(state: &SharedState) -> Vec<IpAddr> {
    let now = clock::now();
    let mut hosts = match state.has_many_hosts() {
        true => relay::first_hosts(state).into_values().flatten().collect(),
        false => state.peers.keys().copied().collect::<Vec<IpAddr>>(),
    };
    let is_reachable = |ip: &IpAddr| {
        let peer = state.peers.get(ip);
        peer.is_some_and(|p| !state.is_unreachable(p, now))
    };
    hosts.retain(is_reachable);
    hosts
}

/// Reads the store, and adds what it knows. If no other host has answered, what this host knows may be old, and only
/// what is read from now on counts.
async fn read_store(
    cx: &Rc<Context>,
    taken_up: &TakenUp<'_>,
    knowledge: &mut StreamKnowledge,
    answered_by_hosts: bool,
) {
    knowledge.may_read = false;
    let now = clock::now();
    let started = cx.state.borrow().started;
    let needed = match (answered_by_hosts, knowledge.candidates.len()) {
        (false, _) => ReadTimes {
            origins: now,
            list: now,
        },
        (true, 0 | 1) => ReadTimes {
            origins: started,
            list: Time::default(),
        },
        (true, _) => ReadTimes {
            origins: started.max(now.saturating_sub(READ_AGE)),
            list: Time::default(),
        },
    };
    let is_read = cx.origin_reads.wait(needed).await;
    let state = cx.state.borrow();
    knowledge.is_sure |= is_read;
    knowledge.version = taken_up
        .stream
        .and_then(|s| state.stream_origins.version_of(s));
    let known = candidates(&state, &taken_up.services, clock::now());
    knowledge.candidates.extend(known);
    knowledge.candidates.sort_unstable();
    knowledge.candidates.dedup();
    log::info!(
        "event=origin_read request={} known={} read={is_read} took_ms={}",
        taken_up.request_id,
        knowledge.version.is_some(),
        clock::now().since(now).as_millis()
    );
}

/// Asks other hosts, until one knows the stream, all have answered, or the time is up. Returns whether any has answered.
async fn ask_others(
    cx: &Rc<Context>,
    taken_up: &TakenUp<'_>,
    knowledge: &mut StreamKnowledge,
) -> bool {
    knowledge.may_ask = false;
    // A stream that the caller doesn't name is known to no host, but they may know of further versions.
    let stream = taken_up.stream.unwrap_or(StreamId::new(b""));
    let query = OriginQuery {
        stream,
        services: taken_up.services.clone(),
    };
    let (mut rx, mut unanswered, is_complete, remembers) = {
        let mut state = cx.state.borrow_mut();
        let rx = state.open_queries.open(stream);
        let remembers = remembers_versions(cx, &state, clock::now());
        (rx, hosts_to_ask(&state), !state.has_many_hosts(), remembers)
    };
    let mut has_answer = false;
    let began = clock::now();
    let gives_up_at = began + ANSWER_TIMEOUT;
    while clock::now() < gives_up_at {
        gossip::send_query(cx, &query, &unanswered);
        let asks_again_at = (clock::now() + ASK_INTERVAL).min(gives_up_at);
        let receive = async {
            while let Some(answered) = rx.recv().await {
                let Answered::By(host, candidates, is_sure) = answered else {
                    return true;
                };
                unanswered.retain(|ip| *ip != host);
                has_answer = true;
                knowledge.is_sure |= is_sure || remembers;
                knowledge.candidates.extend(candidates);
                if unanswered.is_empty() && is_complete {
                    return true;
                }
            }
            true
        };
        let asks_again_at = clock::instant(asks_again_at);
        let is_done = tokio::time::timeout_at(asks_again_at, receive).await;
        if is_done.is_ok() {
            break;
        }
    }
    knowledge.candidates.sort_unstable();
    knowledge.candidates.dedup();
    let state = cx.state.borrow();
    knowledge.version = taken_up
        .stream
        .and_then(|s| state.stream_origins.version_of(s));
    log::info!(
        "event=origin_asked request={} known={} unanswered={} took_ms={}",
        taken_up.request_id,
        knowledge.version.is_some(),
        unanswered.len(),
        clock::now().since(began).as_millis()
    );
    has_answer
}
