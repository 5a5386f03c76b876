//! Listeners of the gateway, its start and its shutdown.

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
use crate::context::{Context, InFlight};
use crate::dispatcher_client::DispatcherClient;
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
    /// Completes with whether every request was finished before the process stopped.
    pub ended: JoinHandle<bool>,
}

/// Phase of the gateway, which decides the response of `/readyz`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Serving,
    ShuttingDown,
}

/// Starts a gateway that runs until `stop` requests a shutdown.
///
/// # Errors
///
/// A report if a listener or the statsd socket cannot be opened.
pub async fn start(cfg: DaemonSettings, stop: StopRx) -> miette::Result<Gateway> {
    let (listener, addr) = admin::bind(&cfg.listen, &stop).await?;
    let (admin_listener, admin_addr) = admin::bind(&cfg.admin, &stop).await?;
    let clock = Clock::start();
    let timeline = Timeline::new(&cfg.host, "gateway");
    let metrics = Metrics::start("gateway", cfg.statsd.as_deref())
        .map_err(|e| miette::miette!("cannot open the statsd socket: {e}"))?;
    timeline.record("started", &[("listen", &addr.to_string()), ("dc", &cfg.dc)]);
    let dispatchers = Arc::new(DispatcherClient::new(&cfg, clock, timeline.clone()));
    let platform = ObjectApiClient::new(&cfg.object_api, cfg.platform_timeout);
    let cx = Arc::new(Context {
        clock,
        timeline: timeline.clone(),
        metrics: metrics.clone(),
        dispatchers: dispatchers.clone(),
        platform,
        in_flight: Arc::new(InFlight::default()),
        cfg,
    });
    let link_task = tokio::spawn(links::maintain_links(
        dispatchers,
        cx.cfg.host.clone(),
        cx.cfg.link.clone(),
    ));
    let (admin_closed_tx, admin_closed_rx) = watch::channel(false);
    tokio::spawn(admin::serve(
        admin_listener,
        build_admin(&cx, timeline, metrics),
        admin_closed_rx,
    ));
    let (phase_tx, phase_rx) = watch::channel(Phase::Serving);
    let (closed_tx, closed_rx) = watch::channel(false);
    let handler_cx = cx.clone();
    let next_seq = Arc::new(AtomicU64::new(1));
    let server = tokio::spawn(http::serve(listener, closed_rx, move |req, _| {
        let (cx, phase) = (handler_cx.clone(), *phase_rx.borrow());
        let seq = next_seq.fetch_add(1, Ordering::Relaxed);
        handle(cx, phase, seq, req)
    }));
    let ended = tokio::spawn(async move {
        stop::wait(&stop, Stop::Graceful).await;
        let drained = shut_down(&cx, &stop, &phase_tx, &closed_tx, server).await;
        link_task.abort();
        let _ = admin_closed_tx.send(true);
        drained
    });
    Ok(Gateway {
        addr,
        admin_addr,
        ended,
    })
}

fn build_admin(cx: &Arc<Context>, timeline: Timeline, metrics: Metrics) -> Admin {
    let token = cx.cfg.admin_token.clone();
    let cx = cx.clone();
    let handler =
        move |method: &Method, path: &str, _: &str| status::handle(&cx, method.as_str(), path);
    Admin {
        token,
        timeline,
        metrics,
        handler: Arc::new(handler),
    }
}

/// Fails the load balancer's readiness check, keeps serving for the balancer's lag, closes the
/// listener and waits for the requests in flight. Returns true when all of them finished.
async fn shut_down(
    cx: &Context,
    stop: &StopRx,
    phase: &watch::Sender<Phase>,
    closed: &watch::Sender<bool>,
    server: JoinHandle<()>,
) -> bool {
    cx.timeline.record(
        "stopping",
        &[("requests", &cx.in_flight.count().to_string())],
    );
    let _ = phase.send(Phase::ShuttingDown);
    let finish = async {
        tokio::time::sleep(cx.cfg.balancer_lag).await;
        let _ = closed.send(true);
        let _ = server.await;
        cx.in_flight.wait_until_idle().await;
    };
    let drained = tokio::select! {
        done = tokio::time::timeout(cx.cfg.drain_timeout, finish) => done.is_ok(),
        () = stop::wait(stop, Stop::Now) => false,
    };
    let cut = cx.in_flight.count().to_string();
    let drained_text = drained.to_string();
    cx.timeline
        .record("stopped", &[("drained", &drained_text), ("cut", &cut)]);
    drained
}

async fn handle(
    cx: Arc<Context>,
    phase: Phase,
    seq: u64,
    req: Request<Incoming>,
) -> Response<Body> {
    let _in_flight = cx.in_flight.enter();
    let id = format!("{}-{seq}", cx.dispatchers.id);
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/healthz") => text_response(StatusCode::OK, "ok"),
        (&Method::GET, "/readyz") if phase == Phase::ShuttingDown => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping")
        }
        (&Method::GET, "/readyz") if cx.dispatchers.bundle().is_none() => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, "no bundle in force")
        }
        (&Method::GET, "/readyz") => text_response(StatusCode::OK, "ready"),
        (&Method::POST, _) => accept(cx, &id, req).await,
        _ => {
            let detail = "requests are sent by POST to /v1/services/{service}/{kind}";
            refuse(&cx, &id, &Refusal::new(Code::NoSuchPath, detail))
        }
    }
}

async fn accept(cx: Arc<Context>, id: &str, req: Request<Incoming>) -> Response<Body> {
    let arrival = cx.clock.now();
    let Some(bundle) = cx.dispatchers.bundle() else {
        let detail = "this host has no configuration bundle in force yet";
        return refuse(&cx, id, &Refusal::new(Code::NotReady, detail));
    };
    let request = match CallerRequest::parse(id, req, &bundle, arrival).await {
        Ok(request) => request,
        Err(refusal) => return refuse(&cx, id, &refusal),
    };
    let (reply, head) = Reply::new(id);
    // The task continues after the caller disconnects, since the outcome of a run must be recorded.
    tokio::spawn(serve::serve(cx.clone(), bundle, request, reply));
    match head.await {
        Ok(res) => res,
        Err(_) => refuse(
            &cx,
            id,
            &Refusal::new(Code::Internal, "internal error in stoatjunction"),
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

fn text_response(status: StatusCode, text: &'static str) -> Response<Body> {
    let mut res = Response::new(full(text));
    *res.status_mut() = status;
    res
}
