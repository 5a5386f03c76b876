//! Start and stop of the entry daemon.

use std::rc::Rc;
use std::time::Duration;

use miette::{IntoDiagnostic, WrapErr};
use stoatjunction_core::time::{Span, Time};
use stoatjunction_net::daemon::ShutdownOutcome;
use stoatjunction_net::stop::{self, Stop, StopRx};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;

use crate::board::{Context, Phase};
use crate::clock;
use crate::feed::{self, Source, Topic};
use crate::ingress;
use crate::mirror;
use crate::names::Names;
use crate::peers;
use crate::settings::EntrySettings;
use crate::sockets;

/// Time after SIGTERM in which new connections are still taken, since the balancer needs two
/// looks, a second apart, to notice.
const STILL_TAKING: Duration = Duration::from_millis(3_000);
/// Time before the end of the grace at which what still runs is broken off.
const BEFORE_KILL: Duration = Duration::from_millis(400);
/// Pause between two looks at the settings.
const SETTINGS: Duration = Duration::from_millis(1_000);
/// Pause between two looks at what still runs.
const LOOK: Duration = Duration::from_millis(25);
/// Pause between two looks at waiting calls whose time may have come.
const TICK: Duration = Duration::from_millis(20);

/// Runs the daemon until it is stopped. `reload` reads the settings anew.
///
/// # Errors
///
/// When an address cannot be listened on.
pub async fn run<S, R>(
    settings: EntrySettings,
    names: Names,
    source: S,
    reload: R,
    stop: StopRx,
) -> miette::Result<ShutdownOutcome>
where
    S: Source + 'static,
    R: Fn() -> miette::Result<EntrySettings> + 'static,
{
    let local = LocalSet::new();
    local
        .run_until(serve(settings, names, Rc::new(source), reload, stop))
        .await
}

async fn serve<S, R>(
    settings: EntrySettings,
    names: Names,
    source: Rc<S>,
    reload: R,
    stop: StopRx,
) -> miette::Result<ShutdownOutcome>
where
    S: Source + 'static,
    R: Fn() -> miette::Result<EntrySettings> + 'static,
{
    let hangup = signal(SignalKind::hangup()).into_diagnostic()?;
    let cx = Rc::new(Context::new(settings, names));
    let settings = &cx.settings;
    let (callers, ready) = ingress::bind(settings.callers, settings.ready)
        .into_diagnostic()
        .wrap_err("cannot listen for callers")?;
    let mirror_at = std::net::SocketAddr::new(settings.ip, settings.mirror_port);
    let mirror_at = sockets::listen(mirror_at)
        .into_diagnostic()
        .wrap_err("cannot listen for other hosts")?;
    log::info!(
        "event=started callers={} dc={}",
        settings.callers,
        settings.dc
    );
    let (phase_tx, phase) = watch::channel(Phase::Serving);
    let spawn = tokio::task::spawn_local::<std::pin::Pin<Box<dyn Future<Output = ()>>>>;
    spawn(Box::pin(ingress::accept(cx.clone(), callers, phase)));
    spawn(Box::pin(ingress::serve_readiness(cx.clone(), ready)));
    spawn(Box::pin(mirror::serve(cx.clone(), mirror_at)));
    spawn(Box::pin(beat(cx.clone())));
    spawn(Box::pin(tick(cx.clone())));
    spawn(Box::pin(feed::settle(cx.clone())));
    spawn(Box::pin(follow_settings(cx.clone(), hangup, reload)));
    for topic in [Topic::Configuration, Topic::Upstreams] {
        spawn(Box::pin(feed::follow(cx.clone(), source.clone(), topic)));
    }
    stop::wait(&stop, Stop::Graceful).await;
    let ended = leave(&cx, &phase_tx).await;
    log::info!("event=stopped ended={ended:?}");
    Ok(ended)
}

async fn beat(cx: Rc<Context>) {
    if let Err(e) = peers::run(cx).await {
        log::error!("event=no_beats reason={e}");
    }
}

/// Puts changed settings in force, as far as a running process can take them over: on SIGHUP, and
/// without one a little later.
async fn follow_settings<R>(cx: Rc<Context>, mut hangup: Signal, reload: R)
where
    R: Fn() -> miette::Result<EntrySettings>,
{
    let mut known = cx.settings.clone();
    loop {
        let _either = tokio::time::timeout(SETTINGS, hangup.recv()).await;
        match reload() {
            Ok(new) if new == known => {}
            Ok(new) => {
                log::info!("event=settings_changed");
                cx.retune(&new);
                known = new;
            }
            Err(e) => log::warn!("event=settings_unreadable reason=\"{e}\""),
        }
    }
}

/// Looks at waiting calls whose time may have come.
async fn tick(cx: Rc<Context>) {
    loop {
        tokio::time::sleep(TICK).await;
        cx.poll();
    }
}

/// Lets the balancer notice, then finishes what is in progress.
async fn leave(cx: &Context, phase: &watch::Sender<Phase>) -> ShutdownOutcome {
    let began = clock::now();
    let set = |p: Phase| {
        cx.board.borrow_mut().phase = p;
        let _nobody_may_listen = phase.send(p);
    };
    set(Phase::Leaving);
    log::info!("event=leaving in_progress={}", cx.in_progress.get());
    tokio::time::sleep(STILL_TAKING).await;
    set(Phase::Closing);
    let end: Time = began + Span::from(cx.settings.grace.saturating_sub(BEFORE_KILL));
    while cx.in_progress.get() > 0 {
        if clock::now() >= end {
            log::warn!("event=cut_off in_progress={}", cx.in_progress.get());
            return ShutdownOutcome::Cut;
        }
        tokio::time::sleep(LOOK).await;
    }
    // The last answers are written by tasks that have not run yet.
    tokio::time::sleep(LOOK).await;
    ShutdownOutcome::Drained
}
