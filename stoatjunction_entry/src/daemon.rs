//! Start and stop of the entry daemon.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use miette::{IntoDiagnostic, WrapErr};
use stoatjunction_core::entry::file_shares::FileShares;
use stoatjunction_core::entry::shutdown::Shutdown;
use stoatjunction_net::daemon::ShutdownOutcome;
use stoatjunction_net::open_files;
use stoatjunction_net::stop::{self, Stop, StopRx};
use stoatjunction_net::supervised::supervise;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{Mutex, watch};
use tokio::task::LocalSet;

use crate::clock;
use crate::crash_probes;
use crate::crash_writer;
use crate::fleet_identity;
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
use crate::status_line;
use crate::store_watch::{self, Store, Topic};
use crate::stored_origins;
use crate::tunnel_server;

/// Interval for rereading the settings.
const SETTINGS_INTERVAL: Duration = Duration::from_millis(1_000);
/// Interval for checking for requests in progress during shutdown.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// Interval for deciding on waiting requests that become due.
const DECIDE_INTERVAL: Duration = Duration::from_millis(20);

/// A task of the daemon's only thread.
type LocalTask = std::pin::Pin<Box<dyn Future<Output = ()>>>;

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
    let file_shares = FileShares::of(open_files::raise_limit(settings.max_open_files));
    let cx = Rc::new(Context::new(settings, names, metrics, file_shares));
    let settings = &cx.settings;
    let bound = tokio::select! {
        bound = ingress::bind(settings.callers, settings.ready, settings.memory_limit_mb) => bound,
        () = stop::wait(&stop, Stop::Graceful) => return Ok(ShutdownOutcome::Drained),
    };
    let (callers, ready) = bound
        .into_diagnostic()
        .wrap_err("cannot listen for callers")?;
    let own_addr = |port| SocketAddr::new(settings.ip, port);
    let (snapshots, tunnels) = (
        own_addr(settings.snapshot_port),
        own_addr(settings.tunnel_port),
    );
    let metrics = settings.metrics;
    log::info!(
        "event=started callers={} dc={}",
        settings.callers,
        settings.dc
    );
    let (phase_tx, phase) = watch::channel(Phase::Serving);
    let (callers, ready) = (Rc::new(callers), Rc::new(ready));
    spawn_supervised("callers", &cx, move |cx| {
        ingress::accept(cx, callers.clone(), phase.clone())
    });
    spawn_supervised("readiness", &cx, move |cx| {
        ingress::serve_readiness(cx, ready.clone())
    });
    let (hangup, reload) = (Rc::new(Mutex::new(hangup)), Rc::new(reload));
    spawn_supervised("settings", &cx, move |cx| {
        follow_settings(cx, hangup.clone(), reload.clone())
    });
    tokio::task::spawn_local(run_gossip(cx.clone()));
    spawn_listeners(&cx, [metrics, snapshots, tunnels]);
    spawn_supervised("tick", &cx, tick);
    spawn_supervised("status_line", &cx, status_line::run);
    spawn_supervised("removals", &cx, store_watch::apply_removals);
    spawn_store_tasks(&cx, &store);
    stop::wait(&stop, Stop::Graceful).await;
    let ended = shut_down(&cx, &phase_tx).await;
    log::info!("event=stopped ended={ended:?}");
    Ok(ended)
}

/// Spawns a task that needs the context only, and is started again if it panics.
fn spawn_supervised<F, Fut>(name: &'static str, cx: &Rc<Context>, task: F)
where
    F: Fn(Rc<Context>) -> Fut + 'static,
    Fut: Future<Output = ()> + 'static,
{
    let cx = cx.clone();
    tokio::task::spawn_local(async move { supervise(name, || task(cx.clone())).await });
}

/// Spawns the servers of the ports that callers do not need.
fn spawn_listeners(cx: &Rc<Context>, [metrics, snapshots, tunnels]: [SocketAddr; 3]) {
    spawn_supervised("metrics", cx, move |cx| {
        listen(cx, metrics, "metrics", metrics::serve)
    });
    spawn_supervised("snapshots", cx, move |cx| {
        listen(cx, snapshots, "snapshots", snapshot::serve)
    });
    spawn_supervised("tunnels", cx, move |cx| {
        listen(cx, tunnels, "tunnels", tunnel_server::serve)
    });
}

/// Spawns the tasks that read from the platform's store and write to it.
fn spawn_store_tasks<S>(cx: &Rc<Context>, store: &Rc<S>)
where
    S: Store + 'static,
{
    let of_store = |name, task: fn(Rc<Context>, Rc<S>) -> LocalTask| {
        let store = store.clone();
        spawn_supervised(name, cx, move |cx| task(cx, store.clone()));
    };
    of_store("crash_writes", |cx, s| Box::pin(crash_writer::run(cx, s)));
    of_store("fleet_identity", |cx, s| {
        Box::pin(fleet_identity::run(cx, s))
    });
    of_store("rendezvous", |cx, s| Box::pin(rendezvous::run(cx, s)));
    of_store("crash_probes", |cx, s| Box::pin(crash_probes::run(cx, s)));
    of_store("origin_writes", |cx, s| {
        Box::pin(stored_origins::write(cx, s))
    });
    of_store("origin_reads", |cx, s| {
        Box::pin(stored_origins::read(cx, s))
    });
    of_store("configuration", |cx, s| {
        Box::pin(store_watch::follow(cx, s, Topic::Configuration))
    });
    of_store("upstreams", |cx, s| {
        Box::pin(store_watch::follow(cx, s, Topic::Upstreams))
    });
    of_store("crashes", |cx, s| {
        Box::pin(store_watch::follow(cx, s, Topic::Crashes))
    });
    if cx.settings.rollout.is_some() {
        of_store("rollout_orders", |cx, s| {
            Box::pin(store_watch::follow(cx, s, Topic::Rollouts))
        });
        of_store("rollout_writes", |cx, s| {
            Box::pin(rollout_writer::run(cx, s))
        });
        spawn_supervised("rollouts", cx, rollouts::run);
    }
}

/// Serves on a port that callers do not need, as soon as it can be listened on.
async fn listen<F, Fut>(cx: Rc<Context>, addr: SocketAddr, purpose: &'static str, serve: F)
where
    F: FnOnce(Rc<Context>, TcpListener) -> Fut,
    Fut: Future<Output = ()>,
{
    match sockets::listen_when_possible(addr, purpose).await {
        Ok(listener) => serve(cx, listener).await,
        Err(e) => log::error!("event=not_listening purpose={purpose} addr={addr} reason=\"{e}\""),
    }
}

async fn run_gossip(cx: Rc<Context>) {
    if let Err(e) = gossip::run(cx).await {
        log::error!("event=gossip_failed reason={e}");
    }
}

/// Applies changed settings that need no restart: at once on SIGHUP, otherwise at the next
/// interval.
async fn follow_settings<R>(cx: Rc<Context>, hangup: Rc<Mutex<Signal>>, reload: Rc<R>)
where
    R: Fn() -> miette::Result<EntrySettings>,
{
    let mut hangup = hangup.lock().await;
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
