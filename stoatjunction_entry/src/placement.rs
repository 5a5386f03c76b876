//! Placement of requests on upstreams: scheduling, waiting and the slot that a run holds.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use indexmap::IndexMap;
use stoatjunction_core::entry::capacity::LoadStatement;
use stoatjunction_core::entry::health::RunOutcome;
use stoatjunction_core::entry::left_runs::LeftRun;
use stoatjunction_core::entry::pool::{Decision, PlacementRequest, Pool, RunKey, UpstreamKey};
use stoatjunction_core::entry::queue::{Queue, RequestId};
use stoatjunction_core::entry::reachability::Reachability;
use stoatjunction_core::entry::software_version::SoftwareVersion;
use stoatjunction_core::entry::upstream_notices::Statement;
use stoatjunction_core::time::{Span, Time};
use tokio::sync::{Mutex, oneshot};
use tokio::task::JoinHandle;

use crate::attempt::{UpstreamRequest, UpstreamTarget};
use crate::clock;
use crate::crash::{self, Break, SentRequest, UsedConnection};
use crate::left_runs;
use crate::limit_reports;
use crate::notice_reports;
use crate::pressure;
use crate::rollout_runs::{RunRecord, RunRequest};
use crate::state::Context;

/// Multiple of the forecast time to the first event that, added to the target latency, gives the
/// response timeout.
const TIMEOUT_FORECAST_FACTOR: f64 = 4.0;
/// Retry-after for requests of a service that has no pool.
pub(crate) const UNKNOWN_SERVICE_RETRY_AFTER: Span = Span::from_millis(1_000);

/// Result for a waiting request: its slot, or the retry-after.
type PlacementResult = Result<Grant, Span>;

/// A waiting request.
#[derive(Debug)]
struct Waiter {
    cx: Rc<Context>,
    service: String,
    tx: oneshot::Sender<PlacementResult>,
}

/// A slot on its way to a waiting request. Dropping it gives the slot back: the request may end in the moment in which it
/// is granted.
#[derive(Debug)]
struct Grant {
    cx: Rc<Context>,
    service: String,
    key: UpstreamKey,
    /// The run that holds the slot, until it is taken.
    run: Option<RunKey>,
}

impl Grant {
    /// Takes the slot, which the caller has to give back from now on.
    fn take(mut self) -> (UpstreamKey, Option<RunKey>) {
        (self.key, self.run.take())
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let Some(run) = self.run.take() else { return };
        log::info!("event=slot_given_back service={}", self.service);
        let mut state = self.cx.state.borrow_mut();
        if let Some(scheduler) = state.schedulers.get_mut(&self.service) {
            scheduler.pool.cancel_run(run, None, clock::now());
        }
    }
}

/// Outcome of placing a request without waiting.
enum TryPlaceResult {
    Placed(UpstreamKey, RunKey),
    Refused(Span),
    Queued(RequestId, oneshot::Receiver<PlacementResult>),
}

/// Pool of a service with the queue of its waiting requests.
#[derive(Debug)]
pub(crate) struct ServiceScheduler {
    pub(crate) pool: Pool,
    pub(crate) queue: Queue,
    /// Whether this host reaches the upstreams.
    pub(crate) reachability: Reachability,
    /// Held while upstreams are asked whether this host reaches them.
    pub(crate) reach_check: Rc<Mutex<()>>,
    waiters: IndexMap<RequestId, Waiter>,
}

impl ServiceScheduler {
    /// Creates a scheduler without waiting requests.
    pub(crate) fn new(pool: Pool) -> ServiceScheduler {
        ServiceScheduler {
            pool,
            queue: Queue::default(),
            reachability: Reachability::default(),
            reach_check: Rc::default(),
            waiters: IndexMap::new(),
        }
    }

    /// Places or refuses waiting requests until no further decision can be made.
    pub(crate) fn place_waiting(&mut self, now: Time) {
        while let Some((id, request, decision)) = self.queue.next_decided(&mut self.pool, now) {
            if decision == Decision::Wait {
                continue;
            }
            let Some(Waiter { cx, service, tx }) = self.waiters.swap_remove(&id) else {
                continue;
            };
            let result = match decision {
                Decision::Place(key) => {
                    let run = self.pool.start_run_for(key, &request, now);
                    self.pool.hold_tokens(run, request.tokens);
                    Ok(Grant {
                        cx,
                        service,
                        key,
                        run: Some(run),
                    })
                }
                Decision::Refuse(retry_after) => Err(retry_after),
                Decision::Wait => continue,
            };
            if let Err(Ok(unsent)) = tx.send(result)
                && let (_, Some(run)) = unsent.take()
            {
                self.pool.cancel_run(run, None, now);
            }
        }
    }
}

impl Context {
    /// Waits for a slot for a request of `service` and takes it.
    ///
    /// # Errors
    ///
    /// The time after which a slot may be free, when the request is refused.
    pub(crate) async fn place(
        self: &Rc<Self>,
        service: &str,
        request: PlacementRequest,
    ) -> Result<Placement, Span> {
        let of_request = RunRequest::new(&request);
        let placement = |key, run| {
            self.state.borrow_mut().trace_placement(clock::now());
            Placement::new(self, service, key, run, of_request)
        };
        let (id, rx) = match self.try_place(service, request) {
            TryPlaceResult::Placed(key, run) => return Ok(placement(key, run)),
            TryPlaceResult::Refused(retry_after) => return Err(retry_after),
            TryPlaceResult::Queued(id, rx) => (id, rx),
        };
        let _dequeue = DequeueOnDrop {
            cx: self,
            service,
            id,
        };
        match rx.await {
            Ok(Ok(grant)) => match grant.take() {
                (key, Some(run)) => Ok(placement(key, run)),
                (_, None) => Err(UNKNOWN_SERVICE_RETRY_AFTER),
            },
            Ok(Err(retry_after)) => Err(retry_after),
            Err(_) => Err(UNKNOWN_SERVICE_RETRY_AFTER),
        }
    }

    /// Returns when this host last received bytes from an upstream; long ago if it is not listed.
    pub(crate) fn last_byte_at(&self, service: &str, key: UpstreamKey) -> Time {
        let state = self.state.borrow();
        let scheduler = state.schedulers.get(service);
        let upstream = scheduler.and_then(|s| s.pool.upstream(key));
        upstream.map_or(Time::default(), |u| u.last_byte_at())
    }

    fn try_place(self: &Rc<Self>, service: &str, mut request: PlacementRequest) -> TryPlaceResult {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let id = state.next_request_id;
        state.next_request_id += 1;
        let Some(scheduler) = state.schedulers.get_mut(service) else {
            return TryPlaceResult::Refused(UNKNOWN_SERVICE_RETRY_AFTER);
        };
        scheduler.pool.record_arrival(now);
        if scheduler.queue.record_arrival(now) {
            pressure::log_change(self, service, &scheduler.queue);
        }
        scheduler.pool.expire_peer_loads(now);
        let (pool, queue) = (&mut scheduler.pool, &scheduler.queue);
        match pool.decide_arrival(queue, &mut request, now) {
            Decision::Wait => {}
            Decision::Refuse(retry_after) => return TryPlaceResult::Refused(retry_after),
            Decision::Place(key) => {
                let run = pool.start_run_for(key, &request, now);
                pool.hold_tokens(run, request.tokens);
                return TryPlaceResult::Placed(key, run);
            }
        }
        let (tx, rx) = oneshot::channel();
        scheduler.queue.push(id, request);
        let waiter = Waiter {
            cx: self.clone(),
            service: service.to_owned(),
            tx,
        };
        scheduler.waiters.insert(id, waiter);
        self.gossip_wakeup.notify_one();
        self.queue_wakeup.notify_one();
        TryPlaceResult::Queued(id, rx)
    }
}

/// Removes a waiting request from its queue when dropped, as when its caller disconnects.
struct DequeueOnDrop<'a> {
    cx: &'a Context,
    service: &'a str,
    id: RequestId,
}

impl Drop for DequeueOnDrop<'_> {
    fn drop(&mut self) {
        let mut state = self.cx.state.borrow_mut();
        if let Some(scheduler) = state.schedulers.get_mut(self.service)
            && scheduler.waiters.swap_remove(&self.id).is_some()
        {
            scheduler.queue.remove(self.id);
        }
    }
}

/// Slot held by a run on an upstream. Dropping it ends the run.
///
/// It is the one place where a run ends, however it ends: with an outcome, or without one because the
/// caller left or the time was up. What follows from the end for the upstream's health and for the
/// request is derived here.
#[derive(Debug)]
pub(crate) struct Placement {
    cx: Rc<Context>,
    service: String,
    pub(crate) key: UpstreamKey,
    run: RunKey,
    /// The upstream as it was listed when the run was placed; it may leave the list meanwhile.
    target: Option<UpstreamTarget>,
    /// Number of the upstream, another one after each of its starts.
    number: u64,
    /// The request, from the moment at which the upstream may run it.
    sent: RefCell<Option<SentRequest>>,
    sent_at: Cell<Time>,
    /// Time up to which the upstream may work on the request.
    deadline: Cell<Time>,
    /// Time of the sending or of the last bytes received since.
    last_byte_at: Cell<Time>,
    /// Silence of the upstream that is suspicious when the run ends without a response.
    silence_limit: Cell<Span>,
    /// Check whether the upstream, which has fallen silent, still accepts connections.
    silence_check: RefCell<Option<JoinHandle<()>>>,
    outcome: Option<RunOutcome>,
    /// What the run says in a rollout.
    pub(crate) record: RunRecord,
}

impl Placement {
    fn new(
        cx: &Rc<Context>,
        service: &str,
        key: UpstreamKey,
        run: RunKey,
        of_request: RunRequest,
    ) -> Placement {
        let (target, number, record) = {
            let mut state = cx.state.borrow_mut();
            let scheduler = state.schedulers.get(service);
            let upstream = scheduler.and_then(|s| s.pool.upstream(key));
            let target = upstream.map(UpstreamTarget::new);
            let number = upstream.map_or(0, |u| u.number);
            let version = target.as_ref().map(|t| t.version);
            let record = RunRecord::begin(&mut state.rollouts, service, of_request, version);
            (target, number, record)
        };
        cx.gossip_wakeup.notify_one();
        Placement {
            cx: cx.clone(),
            service: service.to_owned(),
            key,
            run,
            target,
            number,
            sent: RefCell::new(None),
            sent_at: Cell::default(),
            deadline: Cell::default(),
            last_byte_at: Cell::default(),
            silence_limit: Cell::default(),
            silence_check: RefCell::new(None),
            outcome: None,
            record,
        }
    }

    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    /// Returns the number of the upstream.
    pub(crate) fn number(&self) -> u64 {
        self.number
    }

    /// Returns the upstream.
    pub(crate) fn target(&self) -> Option<UpstreamTarget> {
        self.target.clone()
    }

    /// Returns the version of the upstream; `None` if it may have started again as another one.
    pub(crate) fn version(&self) -> Option<SoftwareVersion> {
        let target = self.target.as_ref()?;
        let state = self.cx.state.borrow();
        let pool = &state.schedulers.get(&self.service)?.pool;
        let is_sure = pool.runs_surely_at(self.key, &target.id, target.version, clock::now());
        is_sure.then_some(target.version)
    }

    /// Records that the upstream may run the request from now on.
    pub(crate) fn mark_sent(
        &self,
        request: &UpstreamRequest,
        connection: UsedConnection,
        deadline: Time,
    ) {
        let sent = SentRequest::new(request, self.number, connection);
        self.sent.replace(Some(sent));
        self.sent_at.set(clock::now());
        self.last_byte_at.set(clock::now());
        self.deadline.set(deadline);
    }

    /// Returns whether the upstream has sent nothing, to this run or any other, since the request was sent to it over a
    /// connection of this host's own.
    pub(crate) fn is_unanswered(&self) -> bool {
        let is_own = |sent: &SentRequest| sent.connection().is_own;
        self.sent.borrow().as_ref().is_some_and(is_own)
            && self.upstream_last_byte_at() <= self.sent_at.get()
    }

    /// Sets the silence of the upstream from which on an end without a response is suspicious.
    pub(crate) fn set_silence_limit(&self, limit: Span) {
        self.silence_limit.set(limit);
    }

    /// Records that bytes of the response arrived.
    pub(crate) fn record_bytes(&self) {
        let now = clock::now();
        self.last_byte_at.set(now);
        self.with_pool(|pool| pool.record_bytes(self.key, now));
    }

    /// Records that nothing of the request was sent after all.
    pub(crate) fn mark_unsent(&self) {
        self.sent.replace(None);
    }

    /// Awaits `work`, during which the upstream is expected to send something. If it is silent for
    /// `limit`, finds out meanwhile whether it has crashed.
    pub(crate) async fn watch_silence<F>(&self, limit: Span, work: F) -> F::Output
    where
        F: Future,
    {
        tokio::pin!(work);
        if let Ok(output) = tokio::time::timeout(limit.into(), &mut work).await {
            return output;
        }
        self.check_silence();
        work.await
    }

    /// Starts to find out whether the upstream, which has been silent for long, has crashed. A machine
    /// without power resets no connections.
    pub(crate) fn check_silence(&self) {
        let silence = clock::now().since(self.upstream_last_byte_at());
        if silence >= self.silence_limit.get() {
            self.spawn_check();
        }
    }

    /// Has the upstream watched under a run that nobody waits for any more.
    fn watch_left(&self) {
        let (Some(sent), Some(target)) = (self.sent.borrow().clone(), &self.target) else {
            return;
        };
        let last_byte_at = self.upstream_last_byte_at();
        let run = LeftRun {
            run: sent,
            last_byte_at,
            suspicious_at: last_byte_at + self.silence_limit.get(),
            until: self.deadline.get(),
        };
        left_runs::watch(&self.cx, run, target.clone(), self.key);
    }

    /// Checks the upstream.
    fn spawn_check(&self) {
        let (Some(sent), Some(target)) = (self.sent.borrow().clone(), &self.target) else {
            return;
        };
        let mut check = self.silence_check.borrow_mut();
        if check.as_ref().is_some_and(|c| !c.is_finished()) {
            return;
        }
        let (cx, target) = (self.cx.clone(), target.clone());
        let (service, key) = (self.service.clone(), self.key);
        let last_byte_at = self.upstream_last_byte_at();
        *check = Some(tokio::task::spawn_local(async move {
            if cx.last_byte_at(&service, key) <= last_byte_at {
                crash::check_upstream(&cx, &sent, &target).await;
            }
        }));
    }

    /// Returns when this run or any other on the upstream last received bytes.
    fn upstream_last_byte_at(&self) -> Time {
        let last_byte_at = self.cx.last_byte_at(&self.service, self.key);
        last_byte_at.max(self.last_byte_at.get())
    }

    /// Waits until it is known whether a silent upstream has crashed, before the request is sent to
    /// another one.
    pub(crate) async fn silence_checked(&self) {
        let check = self.silence_check.take();
        if let Some(check) = check
            && let Err(e) = check.await
        {
            log::warn!("event=silence_check_failed reason=\"{e}\"");
        }
    }

    /// Records that a stream has begun or that a plain response is complete.
    pub(crate) fn record_first_event(&self) {
        let now = clock::now();
        self.with_pool(|pool| {
            if pool.is_slow_run(self.run, now) {
                self.record.mark_slow();
            }
            pool.record_first_event(self.run, now);
        });
    }

    /// Returns the time after which an upstream that has sent no response head to a request with
    /// this target latency counts as timed out.
    pub(crate) fn response_timeout(&self, target_latency: Span) -> Span {
        let state = self.cx.state.borrow();
        let scheduler = state.schedulers.get(&self.service);
        let forecast = scheduler.map_or(0.0, |s| s.pool.run_forecast_ms(self.run, clock::now()));
        target_latency + Span::from_secs_f64(TIMEOUT_FORECAST_FACTOR * forecast / 1e3)
    }

    /// Returns whether another upstream that may run the request, and was not tried, has a free slot.
    pub(crate) fn has_alternative(&self, request: &PlacementRequest) -> bool {
        let state = self.cx.state.borrow();
        let scheduler = state.schedulers.get(&self.service);
        scheduler.is_some_and(|s| s.pool.has_alternative(self.key, request, clock::now()))
    }

    /// Records the load that the upstream reported.
    pub(crate) fn record_load_statement(&self, statement: &LoadStatement) {
        self.with_pool(|pool| pool.record_load_statement(self.key, statement, clock::now()));
    }

    /// Records what the upstream stated of its limit in requests a second. That it has none may be as old
    /// as the request: other responses may have named one since.
    pub(crate) fn record_limit(&self, rate: Option<f64>) {
        let now = clock::now();
        let stated_at = rate.map_or(self.sent_at.get(), |_| now);
        let mut state = self.cx.state.borrow_mut();
        let Some(scheduler) = state.schedulers.get_mut(&self.service) else {
            return;
        };
        let pool = &mut scheduler.pool;
        let Some(number) = pool.upstream(self.key).map(|u| u.number) else {
            return;
        };
        if pool.record_limit(number, rate, stated_at, now) {
            limit_reports::log_limit(pool.upstream_id(number), rate, None);
            self.cx.gossip_wakeup.notify_one();
        }
    }

    /// Records what the upstream stated of itself.
    pub(crate) fn record_statement(&self, statement: Statement) {
        let now = clock::now();
        let mut state = self.cx.state.borrow_mut();
        let Some(scheduler) = state.schedulers.get_mut(&self.service) else {
            return;
        };
        if scheduler.pool.record_statement(self.key, statement, now) {
            let id = self.target.as_ref().map_or("-", |t| t.id.as_str());
            notice_reports::log_statement(id, statement);
            let tags = [("notice", statement.label())];
            self.cx.metrics.count("upstream_notices", &tags);
            self.cx.gossip_wakeup.notify_one();
        }
    }

    /// Records that the upstream answered without asking for a pause.
    pub(crate) fn record_response(&self) {
        let sent_at = self.sent_at.get();
        self.with_pool(|pool| pool.record_response(self.key, sent_at, clock::now()));
    }

    /// Returns whether the request may be sent to the upstream at this moment.
    pub(crate) fn may_send(&self) -> bool {
        let state = self.cx.state.borrow();
        let scheduler = state.schedulers.get(&self.service);
        scheduler.is_some_and(|s| s.pool.may_send(self.key, clock::now()))
    }

    /// Records an outcome of the upstream before the end of the run.
    pub(crate) fn record_outcome(&self, outcome: RunOutcome) {
        if outcome == RunOutcome::TimedOut {
            self.record.mark_overdue();
        }
        self.with_pool(|pool| pool.record_outcome(self.key, outcome, clock::now()));
    }

    /// Ends the run with an outcome.
    pub(crate) fn end(mut self, outcome: RunOutcome) {
        self.outcome = Some(outcome);
    }

    /// Ends a run whose connection broke, and finds out whether the upstream ended with it before the request is sent to
    /// another one.
    pub(crate) async fn end_broken(mut self, how: Break) {
        let (cx, target) = (self.cx.clone(), self.target.clone());
        let sent = self.sent.borrow().clone();
        self.outcome = Some(RunOutcome::Broken);
        drop(self);
        if let (Some(sent), Some(target)) = (sent, target) {
            crash::record_break(&cx, &sent, &target, how).await;
        }
    }

    /// Ends a run whose response nothing confirms to be whole. That is a crash only if the upstream takes no connection.
    pub(crate) async fn end_unconfirmed(mut self) {
        let (cx, target) = (self.cx.clone(), self.target.clone());
        let sent = self.sent.borrow().clone();
        self.outcome = Some(RunOutcome::Broken);
        drop(self);
        if let (Some(sent), Some(target)) = (sent, target) {
            crash::check_upstream(&cx, &sent, &target).await;
        }
    }

    fn with_pool<F>(&self, f: F)
    where
        F: FnOnce(&mut Pool),
    {
        let mut state = self.cx.state.borrow_mut();
        if let Some(scheduler) = state.schedulers.get_mut(&self.service) {
            f(&mut scheduler.pool);
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        let is_sent = self.sent.borrow().is_some();
        let (service, record) = (&self.service, &self.record);
        let sent_at = is_sent.then(|| self.sent_at.get());
        record.end(&self.cx, service, self.number, self.outcome, sent_at);
        if is_sent {
            let end = self.outcome.map_or("none", RunOutcome::label);
            let tags = [("service", self.service.as_str()), ("outcome", end)];
            self.cx.metrics.count("runs_ended", &tags);
        }
        if matches!(self.outcome, None | Some(RunOutcome::TimedOut)) {
            self.watch_left();
        }
        if self.outcome == Some(RunOutcome::Success) {
            pressure::record_completion(&self.cx, &self.service);
        }
        self.with_pool(|pool| match is_sent {
            true => pool.end_run(self.run, self.outcome, clock::now()),
            false => pool.cancel_run(self.run, self.outcome, clock::now()),
        });
        self.cx.gossip_wakeup.notify_one();
        self.cx.decide_waiting();
    }
}
