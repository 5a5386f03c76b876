//! Places on upstreams: calls that ask for one, wait for one, and hold one.

use std::rc::Rc;

use indexmap::IndexMap;
use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::pool::{Decision, PlacementRequest, Pool, RunKey, UpstreamKey};
use stoatjunction_core::entry::queue::{CallId, Queue};
use stoatjunction_core::time::{Span, Time};
use tokio::sync::oneshot;

use crate::attempt::Target;
use crate::board::Context;
use crate::clock;

/// Forecasts of the first event after which, beyond the aim, an upstream counts as silent.
const SILENT_FORECASTS: f64 = 4.0;
/// Advice to callers of a service that has no pool.
const NO_SERVICE: Span = Span::from_millis(1_000);

/// A decision that a waiting call gets.
type Decided = Result<(UpstreamKey, RunKey), Span>;

/// What becomes of a call that asks for a place.
enum Asked {
    Placed(UpstreamKey, RunKey),
    Refused(Span),
    Waits(CallId, oneshot::Receiver<Decided>),
}

/// A service's pool with its queue.
#[derive(Debug)]
pub(crate) struct Desk {
    pub(crate) pool: Pool,
    pub(crate) queue: Queue,
    waiters: IndexMap<CallId, oneshot::Sender<Decided>>,
}

impl Desk {
    /// A desk before which nobody waits.
    pub(crate) fn new(pool: Pool) -> Desk {
        Desk {
            pool,
            queue: Queue::default(),
            waiters: IndexMap::new(),
        }
    }

    pub(crate) fn settle(&mut self, now: Time) {
        while let Some((id, need, verdict)) = self.queue.next_decided(&mut self.pool, now) {
            let decided = match verdict {
                Decision::Place(key) => {
                    let run = self.pool.start_run(key, &need.prompt, now);
                    Ok((key, run))
                }
                Decision::Refuse(retry) => Err(retry),
                Decision::Wait => continue,
            };
            let waiter = self.waiters.swap_remove(&id);
            let unsent = waiter.map_or(Some(decided), |tx| tx.send(decided).err());
            if let Some(Ok((_, run))) = unsent {
                self.pool.end_run(run, None, now);
            }
        }
    }
}

impl Context {
    /// Waits for a place for a call of `service` and takes it.
    ///
    /// # Errors
    ///
    /// The time after which there may be room, when the call is refused.
    pub(crate) async fn place(
        self: &Rc<Self>,
        service: &str,
        need: PlacementRequest,
    ) -> Result<Placed, Span> {
        let (id, rx) = match self.ask(service, need) {
            Asked::Placed(key, run) => return Ok(Placed::new(self, service, key, run)),
            Asked::Refused(retry) => return Err(retry),
            Asked::Waits(id, rx) => (id, rx),
        };
        let _leave = Leave {
            cx: self,
            service,
            id,
        };
        match rx.await {
            Ok(Ok((key, run))) => Ok(Placed::new(self, service, key, run)),
            Ok(Err(retry)) => Err(retry),
            Err(_) => Err(NO_SERVICE),
        }
    }

    fn ask(&self, service: &str, mut need: PlacementRequest) -> Asked {
        let now = clock::now();
        let mut board = self.board.borrow_mut();
        let id = board.next_call;
        board.next_call += 1;
        let Some(desk) = board.desks.get_mut(service) else {
            return Asked::Refused(NO_SERVICE);
        };
        desk.pool.record_arrival(now);
        if !desk.queue.has_call_ahead_of(&need) {
            let verdict = desk.pool.decide(&mut need, now);
            // A call that turned late meanwhile may have others ahead of it now.
            let overtaken = need.late && desk.queue.has_call_ahead_of(&need);
            match verdict {
                _ if overtaken => {}
                Decision::Wait => {}
                Decision::Refuse(retry) => return Asked::Refused(retry),
                Decision::Place(key) => {
                    let run = desk.pool.start_run(key, &need.prompt, now);
                    return Asked::Placed(key, run);
                }
            }
        }
        let (tx, rx) = oneshot::channel();
        desk.queue.push(id, need);
        desk.waiters.insert(id, tx);
        self.changed.notify_one();
        Asked::Waits(id, rx)
    }
}

/// Takes a call out of its queue when its caller leaves.
struct Leave<'a> {
    cx: &'a Context,
    service: &'a str,
    id: CallId,
}

impl Drop for Leave<'_> {
    fn drop(&mut self) {
        let mut board = self.cx.board.borrow_mut();
        if let Some(desk) = board.desks.get_mut(self.service)
            && desk.waiters.swap_remove(&self.id).is_some()
        {
            desk.queue.remove(self.id);
        }
    }
}

/// A place on an upstream. Dropping it frees the place.
#[derive(Debug)]
pub(crate) struct Placed {
    cx: Rc<Context>,
    service: String,
    /// The upstream.
    pub(crate) key: UpstreamKey,
    run: RunKey,
    outcome: Option<RunOutcome>,
}

impl Placed {
    fn new(cx: &Rc<Context>, service: &str, key: UpstreamKey, run: RunKey) -> Placed {
        cx.board.borrow_mut().news.changed = true;
        cx.changed.notify_one();
        Placed {
            cx: cx.clone(),
            service: service.to_owned(),
            key,
            run,
            outcome: None,
        }
    }

    /// The service.
    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    /// Where the call goes, while the upstream is listed.
    pub(crate) fn target(&self) -> Option<Target> {
        let board = self.cx.board.borrow();
        let node = board.desks.get(&self.service)?.pool.upstream(self.key)?;
        Some(Target {
            id: node.listed.id.clone(),
            addr: node.listed.addr.clone(),
        })
    }

    /// Records the first event, or the head of a plain answer.
    pub(crate) fn first(&self) {
        self.with_pool(|pool| pool.record_first_event(self.run, clock::now()));
    }

    /// Time after which the upstream counts as silent when it has not begun to answer a call with
    /// this aim.
    pub(crate) fn silence(&self, aim: Span) -> Span {
        let board = self.cx.board.borrow();
        let desk = board.desks.get(&self.service);
        let forecast = desk.map_or(0.0, |d| d.pool.run_forecast_ms(self.run, clock::now()));
        aim + Span::from_secs_f64(SILENT_FORECASTS * forecast / 1e3)
    }

    /// True when an upstream that was not `tried` has a free place.
    pub(crate) fn has_other(&self, tried: &[UpstreamKey]) -> bool {
        let board = self.cx.board.borrow();
        let desk = board.desks.get(&self.service);
        desk.is_some_and(|d| d.pool.has_alternative(self.key, tried, clock::now()))
    }

    /// Records what the upstream said of its load.
    pub(crate) fn reported(&self, running: u32, waiting: u32) {
        self.with_pool(|pool| pool.record_load_report(self.key, running, waiting, clock::now()));
    }

    /// Records an outcome before the end of the run.
    pub(crate) fn observe(&self, outcome: RunOutcome) {
        self.with_pool(|pool| pool.record_outcome(self.key, outcome, clock::now()));
    }

    /// Ends the run with an outcome.
    pub(crate) fn end(mut self, outcome: RunOutcome) {
        self.outcome = Some(outcome);
    }

    fn with_pool<F>(&self, f: F)
    where
        F: FnOnce(&mut Pool),
    {
        let mut board = self.cx.board.borrow_mut();
        if let Some(desk) = board.desks.get_mut(&self.service) {
            f(&mut desk.pool);
        }
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.with_pool(|pool| pool.end_run(self.run, self.outcome, clock::now()));
        self.cx.board.borrow_mut().news.changed = true;
        self.cx.changed.notify_one();
        self.cx.poll();
    }
}
