//! Finds other hosts through the platform's store when none of the seeds is up.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use stoatjunction_core::entry::rendezvous::Step;

use crate::clock;
use crate::relay::host_number;
use crate::state::{Context, SharedState};
use crate::store_watch::{Store, StoreError};

/// Interval of the checks whether something is to be done.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Reads and writes which hosts the store names, for as long as the daemon runs.
pub(crate) async fn run<S>(cx: Rc<Context>, store: Rc<S>)
where
    S: Store,
{
    let mut revision = None;
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let step = next_step(&cx);
        if step == Step::Wait {
            continue;
        }
        if let Err(e) = perform(&cx, &*store, step, &mut revision).await {
            log::info!("event=rendezvous_failed reason=\"{e}\"");
            let mut state = cx.state.borrow_mut();
            state.rendezvous.record_failure(clock::now());
        }
    }
}

fn next_step(cx: &Context) -> Step {
    let now = clock::now();
    let state = cx.state.borrow();
    let heard = heard_hosts(cx, &state);
    let age = now.since(state.started);
    state.rendezvous.next(cx.settings.ip, &heard, age, now)
}

/// Returns the hosts that are heard and this one, that with the lowest number first.
fn heard_hosts(cx: &Context, state: &SharedState) -> Vec<IpAddr> {
    let now = clock::now();
    let peers = state.peers.iter();
    let heard = peers.filter(|(_, p)| !p.leaving && !state.is_unreachable(p, now));
    let mut heard: Vec<IpAddr> = heard.map(|(ip, _)| *ip).collect();
    heard.push(cx.settings.ip);
    heard.sort_by_key(|ip| host_number(*ip));
    heard
}

async fn perform<S>(
    cx: &Context,
    store: &S,
    step: Step,
    revision: &mut Option<u64>,
) -> Result<(), StoreError>
where
    S: Store,
{
    match step {
        Step::Wait => {}
        Step::Read => {
            let read = store.read_named_hosts().await;
            count(cx, "read", read.is_ok());
            let stored = read?;
            *revision = stored.revision;
            log::info!("event=rendezvous_read hosts={:?}", stored.hosts);
            let mut state = cx.state.borrow_mut();
            state.rendezvous.record_named(stored.hosts, clock::now());
        }
        Step::Write(hosts) => {
            let written = store.write_named_hosts(&hosts, *revision).await;
            count(cx, "write", written.is_ok());
            let written = written?;
            log::info!(
                "event=rendezvous_written hosts={hosts:?} replaced={}",
                written.is_some()
            );
            let mut state = cx.state.borrow_mut();
            match written {
                Some(new) => {
                    *revision = Some(new);
                    state.rendezvous.record_named(hosts, clock::now());
                }
                None => state.rendezvous.record_conflict(),
            }
        }
    }
    cx.gossip_wakeup.notify_one();
    Ok(())
}

fn count(cx: &Context, call: &str, is_ok: bool) {
    let result = if is_ok { "answered" } else { "failed" };
    let tags = [("topic", "hosts"), ("call", call), ("result", result)];
    cx.metrics.count("store_calls", &tags);
}
