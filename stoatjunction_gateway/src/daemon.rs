//! The gateway's listeners, and its start and stop.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use stoatjunction_net::admin::{self, Admin};
use stoatjunction_net::http::{self, Body, full};
use stoatjunction_net::platform::ObjectApiClient;
use stoatjunction_net::prelude::{Clock, Code, Metrics, Timeline};
use stoatjunction_net::settings::DaemonSettings;
use stoatjunction_net::stop::{self, Stop, StopRx};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::caller_request::CallerRequest;
use crate::context::{Busy, Context};
use crate::dispatcher_client::Hub;
use crate::links;
use crate::refusal::Refusal;
use crate::reply::Reply;
use crate::{serve, status};

/// A running gateway.
#[derive(Debug)]
pub struct Gateway {
    /// Address of the listener for callers.
    pub addr: SocketAddr,
    /// Address of the admin listener.
    pub admin_addr: SocketAddr,
    /// Ends with true when every request was finished before the process stopped.
    pub ended: JoinHandle<bool>,
}

/// How far the stop of the gateway has come, as its handler sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    Draining,
}

/// Starts a gateway that runs until `stop` asks it to stop.
///
/// # Errors
///
/// A report when a listener or socket cannot be had.
pub async fn start(cfg: DaemonSettings, stop: StopRx) -> miette::Result<Gateway> {
    let (listener, addr) = admin::bind(&cfg.listen).await?;
    let (admin_listener, admin_addr) = admin::bind(&cfg.admin).await?;
    let clock = Clock::start();
    let timeline = Timeline::new(&cfg.host, "gateway");
    let metrics = Metrics::start("gateway", cfg.statsd.as_deref())
        .map_err(|e| miette::miette!("statsd: {e}"))?;
    timeline.record("started", &[("listen", &addr.to_string()), ("dc", &cfg.dc)]);
    let hub = Arc::new(Hub::new(&cfg, clock, timeline.clone()));
    let platform = ObjectApiClient::new(&cfg.object_api, cfg.platform_timeout);
    let cx = Arc::new(Context {
        clock,
        timeline: timeline.clone(),
        metrics: metrics.clone(),
        hub: hub.clone(),
        platform,
        busy: Arc::new(Busy::default()),
        cfg,
    });
    let dialler = tokio::spawn(links::dial(hub, cx.cfg.host.clone(), cx.cfg.link.clone()));
    let (admin_closed_tx, admin_closed_rx) = watch::channel(false);
    tokio::spawn(admin::serve(
        admin_listener,
        admin_of(&cx, timeline, metrics),
        admin_closed_rx,
    ));
    let (phase_tx, phase_rx) = watch::channel(Phase::Serving);
    let (closed_tx, closed_rx) = watch::channel(false);
    let handler_cx = cx.clone();
    let next = Arc::new(AtomicU64::new(1));
    let server = tokio::spawn(http::serve(listener, closed_rx, move |req, _| {
        let (cx, phase) = (handler_cx.clone(), *phase_rx.borrow());
        let seq = next.fetch_add(1, Ordering::Relaxed);
        handle(cx, phase, seq, req)
    }));
    let ended = tokio::spawn(async move {
        stop::wait(&stop, Stop::Graceful).await;
        let drained = drain(&cx, &stop, &phase_tx, &closed_tx, server).await;
        dialler.abort();
        let _ = admin_closed_tx.send(true);
        drained
    });
    Ok(Gateway {
        addr,
        admin_addr,
        ended,
    })
}

fn admin_of(cx: &Arc<Context>, timeline: Timeline, metrics: Metrics) -> Admin {
    let token = cx.cfg.admin_token.clone();
    let cx = cx.clone();
    let answer =
        move |method: &Method, path: &str, _: &str| status::admin(&cx, method.as_str(), path);
    Admin {
        token,
        timeline,
        metrics,
        handler: Arc::new(answer),
    }
}

/// Fails the balancer's check, goes on for its lag, closes the listener and finishes what is in
/// progress.
async fn drain(
    cx: &Context,
    stop: &StopRx,
    phase: &watch::Sender<Phase>,
    closed: &watch::Sender<bool>,
    server: JoinHandle<()>,
) -> bool {
    cx.timeline
        .record("stopping", &[("requests", &cx.busy.count().to_string())]);
    let _ = phase.send(Phase::Draining);
    let finish = async {
        tokio::time::sleep(cx.cfg.balancer_lag).await;
        let _ = closed.send(true);
        let _ = server.await;
        cx.busy.idle().await;
    };
    let drained = tokio::select! {
        done = tokio::time::timeout(cx.cfg.drain_limit, finish) => done.is_ok(),
        () = stop::wait(stop, Stop::Now) => false,
    };
    let cut = cx.busy.count().to_string();
    let flag = drained.to_string();
    cx.timeline
        .record("stopped", &[("drained", &flag), ("cut", &cut)]);
    drained
}

async fn handle(
    cx: Arc<Context>,
    phase: Phase,
    seq: u64,
    req: Request<Incoming>,
) -> Response<Body> {
    let _busy = cx.busy.enter();
    let id = format!("{}-{seq}", cx.hub.id);
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/healthz") => plain(StatusCode::OK, "ok"),
        (&Method::GET, "/readyz") if phase == Phase::Draining => {
            plain(StatusCode::SERVICE_UNAVAILABLE, "stopping")
        }
        (&Method::GET, "/readyz") if cx.hub.bundle().is_none() => {
            plain(StatusCode::SERVICE_UNAVAILABLE, "no bundle in force")
        }
        (&Method::GET, "/readyz") => plain(StatusCode::OK, "ready"),
        (&Method::POST, _) => take(cx, &id, req).await,
        _ => {
            let detail = "requests are sent by POST to /v1/services/{service}/{kind}";
            refuse(&cx, &id, &Refusal::new(Code::NoSuchPath, detail))
        }
    }
}

async fn take(cx: Arc<Context>, id: &str, req: Request<Incoming>) -> Response<Body> {
    let arrival = cx.clock.now();
    let Some(bundle) = cx.hub.bundle() else {
        let detail = "this host has no configuration bundle in force yet";
        return refuse(&cx, id, &Refusal::new(Code::NotReady, detail));
    };
    let request = match CallerRequest::parse(id, req, &bundle, arrival).await {
        Ok(request) => request,
        Err(refusal) => return refuse(&cx, id, &refusal),
    };
    let (reply, head) = Reply::new(id);
    // The task goes on when the caller hangs up, since a run in progress must become known.
    tokio::spawn(serve::serve(cx.clone(), bundle, request, reply));
    match head.await {
        Ok(res) => res,
        Err(_) => refuse(
            &cx,
            id,
            &Refusal::new(Code::Internal, "a fault inside stoatjunction"),
        ),
    }
}

fn refuse(cx: &Context, id: &str, refusal: &Refusal) -> Response<Body> {
    let code = refusal.code.to_string();
    cx.timeline
        .record("refused", &[("request", id), ("code", &code)]);
    cx.metrics.count("refused", 1, &[("code", &code)]);
    refusal.response(id)
}

fn plain(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut res = Response::new(full(text));
    *res.status_mut() = status;
    res
}
