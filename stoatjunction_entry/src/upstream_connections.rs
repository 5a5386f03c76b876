//! Connections to upstreams: this host's own, or through another host while this one is cut off from the upstreams.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::select_ok;
use http::Request;
use http::header::HOST;
use http_body_util::{BodyExt, Full, Limited};
use stoatjunction_core::entry::reachability::{PROBE_INTERVAL, Reachability};
use stoatjunction_core::time::Time;
use stoatjunction_net::read_limit::CountedBody;
use stoatjunction_net::socket_errors::lacks_resources;
use tokio::sync::Mutex;

use crate::attempt::UpstreamTarget;
use crate::clock;
use crate::connection_pool::{self, Connection};
use crate::state::Context;
use crate::tunnels;

/// Upstreams that a host which is cut off asks at once over connections of its own.
const PROBED_UPSTREAMS: usize = 4;
/// Time within which an upstream answers a question that needs no slot.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);
/// Largest answer to such a question in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Opens a connection to an upstream. When it fails, nothing of a request has been sent. An upstream that refuses it is
/// down, and may start again as another software version.
///
/// # Errors
///
/// The error of the host that tried: this one, or another one while this one is cut off. It is of the kind
/// `ConnectionRefused` only if the upstream itself refused the connection, as far as is known.
pub(crate) async fn open(cx: &Rc<Context>, target: &UpstreamTarget) -> io::Result<Connection> {
    let opened = open_any(cx, target).await;
    if let Err(e) = &opened
        && e.kind() == io::ErrorKind::ConnectionRefused
    {
        record_down(cx, target);
    }
    opened
}

/// Records that an upstream refused a connection, and has it reported to the other hosts.
fn record_down(cx: &Context, target: &UpstreamTarget) {
    let mut state = cx.state.borrow_mut();
    if let Some(scheduler) = state.schedulers.get_mut(&target.service) {
        scheduler.pool.record_down(target.number, clock::now());
    }
    cx.gossip_wakeup.notify_one();
}

async fn open_any(cx: &Rc<Context>, target: &UpstreamTarget) -> io::Result<Connection> {
    let was_cut_off = is_cut_off(cx, &target.service);
    let own = match was_cut_off {
        true => Err(io::ErrorKind::HostUnreachable.into()),
        false => open_own(cx, target).await,
    };
    if !is_cut_off(cx, &target.service) {
        return match own {
            Err(e) if !concerns_upstream(cx, &target.service, &e).await => Err(cut_off_error(e)),
            own => own,
        };
    }
    if own.is_ok() {
        return own;
    }
    match tunnels::open(cx, target).await {
        Ok(stream) => connection_pool::open_on(cx, stream).await,
        // No other host could try: upstreams that are down may have passed for a cut.
        Err(e) if e.kind() == io::ErrorKind::HostUnreachable && was_cut_off => {
            let own = open_own(cx, target).await;
            own.map_err(cut_off_error)
        }
        Err(e) if e.kind() == io::ErrorKind::HostUnreachable => own.map_err(cut_off_error),
        Err(e) => Err(e),
    }
}

/// Returns whether an error of this host's own connection to an upstream says something about the upstream. One that
/// refuses may come back as another version, but all seem to refuse when this host is being cut off. Others are tried only
/// while the service has several versions, since each connection is billed.
pub(crate) async fn concerns_upstream(cx: &Rc<Context>, service: &str, e: &io::Error) -> bool {
    if e.kind() != io::ErrorKind::ConnectionRefused {
        return true;
    }
    let has_versions = cx.state.borrow().has_versions(service, clock::now());
    !has_versions || try_own(cx, service).await
}

/// Returns the error of a host that is cut off: what refuses its connections need not be the upstream.
fn cut_off_error(e: io::Error) -> io::Error {
    io::Error::new(io::ErrorKind::HostUnreachable, e.to_string())
}

async fn open_own(cx: &Rc<Context>, target: &UpstreamTarget) -> io::Result<Connection> {
    let opened = connection_pool::open(cx, &target.addr).await;
    if let Err(e) = &opened
        && !lacks_resources(e)
    {
        record_unreached(cx, &target.service, target.number).await;
    }
    opened
}

/// Makes sure that an upstream is reached over a connection, if this host doubts that it reaches any: the upstream has to
/// answer a question on it.
///
/// # Errors
///
/// The upstream did not answer. Nothing of a request has been sent.
pub(crate) async fn confirm(
    cx: &Rc<Context>,
    target: &UpstreamTarget,
    mut connection: Connection,
) -> io::Result<Connection> {
    let is_in_doubt = reachability(cx, &target.service, |r| r.is_in_doubt(clock::now()));
    if connection.is_tunnelled || is_in_doubt != Some(true) {
        return Ok(connection);
    }
    let answered = ask(cx, &target.addr, &mut connection).await;
    if let Err(e) = answered {
        record_unreached(cx, &target.service, target.number).await;
        return Err(e);
    }
    record_answered(cx, &target.service);
    match connection.sender.ready().await {
        Ok(()) => Ok(connection),
        // The upstream closes it after the answer.
        Err(_) => open_own(cx, target).await,
    }
}

/// Returns whether the break of a connection, over which something was sent at `time`, says something about the upstream: this
/// host has reached an upstream of the service since, or the upstream takes no further connection. Where something between
/// the ends opens connections by itself, and no upstream answers, it does not.
pub(crate) async fn may_blame(cx: &Rc<Context>, target: &UpstreamTarget, time: Time) -> bool {
    let service = &target.service;
    let has_answered = || reachability(cx, service, |r| r.has_answered_since(time));
    if has_answered() == Some(true) {
        return true;
    }
    record_unreached(cx, service, target.number).await;
    has_answered() == Some(true)
        || (!is_cut_off(cx, service) && try_own(cx, service).await)
        || is_unaccepted(&connection_pool::open(cx, &target.addr).await)
}

/// Returns whether an attempt at a connection shows that the upstream accepts none. One that is reset was accepted: the
/// reset may arrive before the attempt has returned. One for which this host lacks a file or a port was not sent.
pub(crate) fn is_unaccepted(opened: &io::Result<Connection>) -> bool {
    let error = opened.as_ref().err();
    error.is_some_and(|e| e.kind() != io::ErrorKind::ConnectionReset && !lacks_resources(e))
}

/// Returns whether this host is cut off from the upstreams of a service.
pub(crate) fn is_cut_off(cx: &Context, service: &str) -> bool {
    reachability(cx, service, Reachability::is_cut_off) == Some(true)
}

fn reachability<F, T>(cx: &Context, service: &str, read: F) -> Option<T>
where
    F: FnOnce(&Reachability) -> T,
{
    let state = cx.state.borrow();
    state.schedulers.get(service).map(|s| read(&s.reachability))
}

/// Records that an upstream took no connection of this host's own, or answered nothing on one. If the host may be cut off,
/// finds out whether other upstreams answer.
pub(crate) async fn record_unreached(cx: &Rc<Context>, service: &str, upstream: u64) {
    if !record_failed(cx, service, upstream) {
        return;
    }
    // Requests that fail at the same time wait for one result.
    let Some(lock) = reach_check(cx, service) else {
        return;
    };
    let _guard = lock.lock().await;
    if !may_be_cut_off(cx, service) || try_own(cx, service).await {
        return;
    }
    begin_cut_off(cx, service);
    tokio::task::spawn_local(probe(cx.clone(), service.to_owned()));
}

/// Records the same while a request still waits for an answer.
pub(crate) fn record_silent(cx: &Rc<Context>, target: &UpstreamTarget) {
    let (cx, service, number) = (cx.clone(), target.service.clone(), target.number);
    tokio::task::spawn_local(async move {
        record_unreached(&cx, &service, number).await;
    });
}

/// Records that an upstream could not be reached, and returns whether the host may be cut off.
fn record_failed(cx: &Context, service: &str, upstream: u64) -> bool {
    let mut state = cx.state.borrow_mut();
    let Some(scheduler) = state.schedulers.get_mut(service) else {
        return false;
    };
    let listed = scheduler.pool.upstreams().count();
    let reachability = &mut scheduler.reachability;
    reachability.record_failed(upstream, listed, clock::now())
}

fn may_be_cut_off(cx: &Context, service: &str) -> bool {
    let state = cx.state.borrow();
    let scheduler = state.schedulers.get(service);
    scheduler.is_some_and(|s| s.reachability.may_be_cut_off(s.pool.upstreams().count()))
}

fn reach_check(cx: &Context, service: &str) -> Option<Rc<Mutex<()>>> {
    let state = cx.state.borrow();
    let scheduler = state.schedulers.get(service);
    scheduler.map(|s| s.reach_check.clone())
}

/// Takes this host to be cut off from the upstreams of a service.
fn begin_cut_off(cx: &Context, service: &str) {
    let of_service: Vec<String> = {
        let mut state = cx.state.borrow_mut();
        let Some(scheduler) = state.schedulers.get_mut(service) else {
            return;
        };
        scheduler.reachability.begin_cut_off(clock::now());
        let of_service = scheduler.pool.upstreams().map(|(_, u)| u.listed.id.clone());
        of_service.collect()
    };
    log::info!(
        "event=cut_off service={service} upstreams={}",
        of_service.len()
    );
    cx.metrics.count("cut_off", &[("service", service)]);
    // Idle connections may be as dead as new ones.
    cx.connections
        .remove_unusable(|id| !of_service.iter().any(|listed| listed == id));
    cx.gossip_wakeup.notify_one();
}

/// Records that an upstream answered on a connection of this host's own.
pub(crate) fn record_answered(cx: &Context, service: &str) {
    let cut_off_for = {
        let mut state = cx.state.borrow_mut();
        let scheduler = state.schedulers.get_mut(service);
        scheduler.and_then(|s| s.reachability.record_answered(clock::now()))
    };
    if let Some(span) = cut_off_for {
        log::info!(
            "event=cut_off_ended service={service} after_ms={}",
            span.as_millis()
        );
        cx.tunnels.clear();
        cx.gossip_wakeup.notify_one();
    }
}

/// Asks upstreams over connections of this host's own until one answers.
async fn probe(cx: Rc<Context>, service: String) {
    while is_cut_off(&cx, &service) {
        tokio::time::sleep(PROBE_INTERVAL.into()).await;
        if try_own(&cx, &service).await {
            return;
        }
    }
}

/// Asks some upstreams over connections of this host's own. Returns whether the host is not cut off.
async fn try_own(cx: &Rc<Context>, service: &str) -> bool {
    let addrs = addrs_to_probe(cx, service);
    let asked = addrs.iter().map(|addr| Box::pin(ask_anew(cx, addr)));
    let has_answer = addrs.is_empty() || select_ok(asked).await.is_ok();
    if has_answer {
        record_answered(cx, service);
    }
    has_answer
}

/// Asks an upstream on a connection that is opened for it.
async fn ask_anew(cx: &Context, addr: &str) -> io::Result<()> {
    let mut connection = connection_pool::open(cx, addr).await?;
    ask(cx, addr, &mut connection).await
}

/// Asks an upstream for its report. Whatever it answers shows that it is reached.
async fn ask(cx: &Context, addr: &str, connection: &mut Connection) -> io::Result<()> {
    let req = Request::get(&cx.names.report_path)
        .header(HOST, addr)
        .body(Full::new(Bytes::new()))
        .map_err(io::Error::other)?;
    let counter = connection.counter.clone();
    let answer = async {
        let res = connection.sender.send_request(req).await?;
        let body = CountedBody::new(res.into_body(), &counter);
        let _only_that_it_answers = Limited::new(body, MAX_ANSWER_BYTES).collect().await;
        Ok::<_, hyper::Error>(())
    };
    let answered = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    answered
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
        .map_err(io::Error::other)
}

fn addrs_to_probe(cx: &Context, service: &str) -> Vec<String> {
    let state = cx.state.borrow();
    let upstreams = state.schedulers.get(service).map(|s| s.pool.upstreams());
    let addrs = upstreams.into_iter().flatten();
    let addrs: Vec<String> = addrs.map(|(_, u)| u.listed.addr.clone()).collect();
    fastrand::choose_multiple(addrs, PROBED_UPSTREAMS)
}
