//! Start and stop of the entry daemon.

use std::rc::Rc;
use std::time::Duration;

use miette::{IntoDiagnostic, WrapErr};
use stoatjunction_core::entry::shutdown::Shutdown;
use stoatjunction_net::daemon::ShutdownOutcome;
use stoatjunction_net::stop::{self, Stop, StopRx};
use tokio::signal::unix::Signal;
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::clock;
use crate::crash_probes;
use crate::crash_writer;
use crate::gossip;
use crate::header_names::HeaderNames;
use crate::ingress;
use crate::metrics::{self, EntryMetrics};
use crate::rendezvous;
use crate::rollout_writer;
use crate::rollouts;
use crate::settings::EntrySettings;
use crate::snapshot;
use crate::sockets;
use crate::state::{Context, Phase};
use crate::store_watch::{self, Store, Topic};
use crate::stored_origins;
use crate::tunnel_server;

/// Interval for rereading the settings.
const SETTINGS_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval for checking for requests in progress during shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval for deciding on waiting requests that become due.
const DECIDE_INTERVAL: Duration = Duration::from_millis(20);

/// Signals of the process.
#[derive(Debug)]
pub struct Signals {
    /// Stops the daemon.
    pub stop: StopRx,
    /// Has the settings reread.
    pub hangup: Signal,
}

/// Runs the daemon until it is stopped. `reload` rereads the settings.
///
/// # Errors
///
/// An error if the metrics or a listening socket can't be set up.
pub async fn run<S, R>(
    settings: EntrySettings,
    names: HeaderNames,
    store: S,
    reload: R,
    signals: Signals,
) -> miette::Result<ShutdownOutcome>
where
    S: Store + 'static,
    R: Fn() -> miette::Result<EntrySettings> + 'static,
{
    let local = LocalSet::new();
    local
        .run_until(serve(settings, names, Rc::new(store), reload, signals))
        .await
}

async fn serve<S, R>(
    settings: EntrySettings,
    names: HeaderNames,
    store: Rc<S>,
    reload: R,
    signals: Signals,
) -> miette::Result<ShutdownOutcome>
where
    S: Store + 'static,
    R: Fn() -> miette::Result<EntrySettings> + 'static,
{
    let Signals { stop, hangup } = signals;
    let metrics = EntryMetrics::start()
        .into_diagnostic()
        .wrap_err("cannot set up metrics")?;
    let cx = Rc::new(Context::new(settings, names, metrics));
    let settings = &cx.settings;
    let (callers, ready) = ingress::bind(settings.callers, settings.ready)
        .into_diagnostic()
        .wrap_err("cannot listen for callers")?;
    let snapshot_addr = std::net::SocketAddr::new(settings.ip, settings.snapshot_port);
    let snapshot_listener = sockets::listen(snapshot_addr)
        .into_diagnostic()
        .wrap_err("cannot listen for other hosts")?;
    let tunnel_addr = std::net::SocketAddr::new(settings.ip, settings.tunnel_port);
    let tunnel_listener = sockets::listen(tunnel_addr)
        .into_diagnostic()
        .wrap_err("cannot listen for hosts that are cut off")?;
    let metrics_listener = sockets::listen(settings.metrics)
        .into_diagnostic()
        .wrap_err("cannot listen for readers of the metrics")?;
    log::info!(
        "event=started callers={} dc={}",
        settings.callers,
        settings.dc
    );
    let (phase_tx, phase) = watch::channel(Phase::Serving);
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    spawn(Box::pin(ingress::accept(cx.clone(), callers, phase)));
    spawn(Box::pin(ingress::serve_readiness(cx.clone(), ready)));
    spawn(Box::pin(metrics::serve(cx.clone(), metrics_listener)));
    spawn(Box::pin(snapshot::serve(cx.clone(), snapshot_listener)));
    spawn(Box::pin(tunnel_server::serve(cx.clone(), tunnel_listener)));
    spawn(Box::pin(run_gossip(cx.clone())));
    spawn(Box::pin(tick(cx.clone())));
    spawn(Box::pin(store_watch::apply_removals(cx.clone())));
    spawn(Box::pin(follow_settings(cx.clone(), hangup, reload)));
    spawn(Box::pin(crash_writer::run(cx.clone(), store.clone())));
    spawn(Box::pin(rendezvous::run(cx.clone(), store.clone())));
    spawn(Box::pin(crash_probes::run(cx.clone(), store.clone())));
    spawn(Box::pin(stored_origins::write(cx.clone(), store.clone())));
    spawn(Box::pin(stored_origins::read(cx.clone(), store.clone())));
    for topic in [Topic::Configuration, Topic::Upstreams, Topic::Crashes] {
        spawn(Box::pin(store_watch::follow(
            cx.clone(),
            store.clone(),
            topic,
        )));
    }
    if cx.settings.rollout.is_some() {
        spawn(Box::pin(store_watch::follow(
            cx.clone(),
            store.clone(),
            Topic::Rollouts,
        )));
        spawn(Box::pin(rollouts::run(cx.clone())));
        spawn(Box::pin(rollout_writer::run(cx.clone(), store.clone())));
    }
    stop::wait(&stop, Stop::Graceful).await;
    let ended = shut_down(&cx, &phase_tx).await;
    log::info!("event=stopped ended={ended:?}");
    Ok(ended)
}

async fn run_gossip(cx: Rc<Context>) {
    if let Err(e) = gossip::run(cx).await {
        log::error!("event=gossip_failed reason={e}");
    }
}

/// Applies changed settings that need no restart: at once on SIGHUP, otherwise at the next
/// interval.
async fn follow_settings<R>(cx: Rc<Context>, mut hangup: Signal, reload: R)
where
    R: Fn() -> miette::Result<EntrySettings>,
{
    let mut current = cx.settings.clone();
    loop {
        let _either = tokio::time::timeout(SETTINGS_INTERVAL, hangup.recv()).await;
        match reload() {
            Ok(new) if new == current => {}
            Ok(new) => {
                log::info!("event=settings_changed");
                cx.apply_settings(&new);
                current = new;
            }
            Err(e) => log::warn!("event=settings_reload_failed reason=\"{e}\""),
        }
    }
}

/// Decides on waiting requests that become due, while any wait.
async fn tick(cx: Rc<Context>) {
    loop {
        if !cx.has_waiting() {
            cx.queue_wakeup.notified().await;
        }
        tokio::time::sleep(DECIDE_INTERVAL).await;
        cx.decide_waiting();
    }
}

/// Waits for the load balancer to notice, then finishes requests in progress, and answers in time those that are left.
async fn shut_down(cx: &Context, phase: &watch::Sender<Phase>) -> ShutdownOutcome {
    let shutdown = Shutdown::new(clock::now(), cx.settings.grace.into());
    cx.stopping.begin(shutdown);
    let set = |p: Phase| {
        cx.state.borrow_mut().phase = p;
        let _nobody_may_listen = phase.send(p);
    };
    set(Phase::Leaving);
    log::info!(
        "event=shutdown_started in_progress={}",
        cx.in_progress.get()
    );
    tokio::time::sleep_until(clock::instant(shutdown.accepts_until())).await;
    set(Phase::Closing);
    // Responses whose upstreams have ended are held until their callers have taken them.
    while cx.in_progress.get() > 0 || cx.discards.get() > 0 || cx.memory.held() > 0 {
        if clock::now() >= shutdown.ends_at() {
            if cx.in_progress.get() == 0 && cx.memory.held() == 0 {
                break;
            }
            log::warn!(
                "event=requests_aborted in_progress={}",
                cx.in_progress.get()
            );
            return ShutdownOutcome::Cut;
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    // The tasks that write the last responses may not have run yet.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    ShutdownOutcome::Drained
}
