//! Search for a grant: which shard to ask for a request, and when to refuse it.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use stoatjunction_core::id::ShardId;
use stoatjunction_core::life::RequestLifecycle;
use stoatjunction_core::spillover::{self, Declined, NextStep};
use stoatjunction_net::prelude::*;
use tokio::sync::mpsc;

use crate::caller_request::CallerRequest;
use crate::context::Context;
use crate::dispatcher_client::{TicketEvent, TicketEventTx};
use crate::refusal::Refusal;
use crate::reply::Reply;

/// Maximum wait for a link to the owner of a shard.
const LINK_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Delay before a shard is asked again that declined while it served a lower tier.
const DECLINE_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Interval between checks whether another shard would serve a queued request sooner.
const SHARD_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of moves of one request to a shard that would serve it sooner.
const MAX_SHARD_MOVES: u32 = 4;

/// Grant of an upstream for a request.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) ticket: TicketId,
    pub(crate) upstream: String,
    pub(crate) alone: bool,
}

/// Channel for the ticket events of one request.
#[derive(Debug)]
pub(crate) struct TicketEvents {
    tx: TicketEventTx,
    pub(crate) rx: mpsc::UnboundedReceiver<TicketEvent>,
}

impl TicketEvents {
    pub(crate) fn new() -> TicketEvents {
        let (tx, rx) = mpsc::unbounded_channel();
        TicketEvents { tx, rx }
    }
}

/// Search for a grant for one request. It keeps its state when a granted run was not started and
/// the request is placed again.
#[derive(Debug)]
pub(crate) struct GrantSearch {
    shards: Vec<ShardId>,
    declines: Vec<Option<Declined>>,
    unreachable: IndexSet<ShardId>,
    /// Shard to ask next, regardless of the probe order.
    preferred: Option<usize>,
    moves: u32,
}

/// Reason why a search ended without a grant.
#[derive(Debug)]
pub(crate) enum SearchError {
    /// The request is refused.
    Refused(Refusal),
    /// The caller disconnected.
    CallerGone,
}

impl GrantSearch {
    pub(crate) fn new(cx: &Context, bundle: &Bundle, request: &CallerRequest) -> GrantSearch {
        let all = bundle.shards_of(&request.service);
        let suspect = cx.dispatchers.is_suspect(request.fingerprint);
        let shards = if suspect {
            // All gateways send a suspect to the same shard, which knows how its runs ended.
            spillover::probe_order(all, "", &IndexMap::new(), request.fingerprint)
        } else {
            spillover::probe_order(
                all,
                &cx.cfg.dc,
                &cx.dispatchers.summaries(),
                request.fingerprint,
            )
        };
        let declines = vec![None; shards.len()];
        GrantSearch {
            shards,
            declines,
            unreachable: IndexSet::new(),
            preferred: None,
            moves: if suspect { MAX_SHARD_MOVES } else { 0 },
        }
    }

    /// Queues the request at one shard after another until there is a usable grant, or the request
    /// has to end.
    pub(crate) async fn find_grant(
        &mut self,
        cx: &Context,
        request: &CallerRequest,
        lifecycle: &mut RequestLifecycle,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> Result<Grant, SearchError> {
        loop {
            self.check_admissible(cx, request)?;
            let Some(shard) = self.next_shard(request)? else {
                tokio::time::sleep(DECLINE_RETRY_DELAY).await;
                continue;
            };
            let time_left = Duration::from(cx.clock.now().until(request.deadline));
            let Some(host) = cx
                .dispatchers
                .wait_for_owner(&shard, LINK_TIMEOUT.min(time_left))
                .await
            else {
                self.unreachable.insert(shard);
                continue;
            };
            let enqueued = cx
                .dispatchers
                .enqueue(&host, &shard, &events.tx, |id| request.ticket(id));
            let Some(ticket) = enqueued else { continue };
            if lifecycle.enqueue(ticket).is_err() {
                cx.dispatchers.withdraw(ticket);
                return Err(internal_error());
            }
            match self
                .wait_for_grant(cx, request, &shard, ticket, events, reply)
                .await
            {
                WaitEnd::Granted(grant) if lifecycle.grant(grant.ticket).is_ok() => {
                    if cx.dispatchers.is_leaving(&grant.upstream) {
                        cx.dispatchers.withdraw(ticket);
                        let _ = lifecycle.release_grant();
                        continue;
                    }
                    return Ok(grant);
                }
                WaitEnd::Granted(grant) => cx.dispatchers.withdraw(grant.ticket),
                WaitEnd::Declined(code, declined) => self.record_decline(&shard, code, declined)?,
                WaitEnd::Moved => cx.dispatchers.withdraw(ticket),
                WaitEnd::BetterShard(index) => {
                    cx.dispatchers.withdraw(ticket);
                    self.preferred = Some(index);
                    self.moves += 1;
                }
                WaitEnd::Revoked => {
                    cx.dispatchers.withdraw(ticket);
                    let detail = "the queued request was dropped in favour of a higher tier";
                    return Err(SearchError::Refused(Refusal::new(Code::Shed, detail)));
                }
                WaitEnd::Expired => {
                    cx.dispatchers.withdraw(ticket);
                    return Err(expired_error());
                }
                WaitEnd::CallerGone => {
                    cx.dispatchers.withdraw(ticket);
                    return Err(SearchError::CallerGone);
                }
            }
        }
    }

    fn check_admissible(&self, cx: &Context, request: &CallerRequest) -> Result<(), SearchError> {
        if cx.dispatchers.is_quarantined(request.fingerprint) {
            let detail = "this request crashed two upstreams and is not run again";
            return Err(SearchError::Refused(Refusal::new(
                Code::Quarantined,
                detail,
            )));
        }
        if cx.clock.now() >= request.deadline {
            return Err(expired_error());
        }
        Ok(())
    }

    /// Returns the shard to ask next. `None` means that all shards declined and the next call
    /// returns one that serves a lower tier again.
    fn next_shard(&mut self, request: &CallerRequest) -> Result<Option<ShardId>, SearchError> {
        if let Some(index) = self.preferred.take() {
            return Ok(Some(self.shards[index].clone()));
        }
        let reachable: Vec<usize> = (0..self.shards.len())
            .filter(|i| !self.unreachable.contains(&self.shards[*i]))
            .collect();
        if reachable.is_empty() {
            let detail = "no dispatcher for this service can be reached";
            return Err(SearchError::Refused(Refusal::new(Code::NoUpstream, detail)));
        }
        let declines: Vec<Option<Declined>> = reachable.iter().map(|i| self.declines[*i]).collect();
        match spillover::next_step(request.credential.tier, &declines) {
            NextStep::Shed { retry } => {
                let detail =
                    "every reachable shard is full with requests of the same or higher tiers";
                Err(SearchError::Refused(
                    Refusal::new(Code::Overloaded, detail).with_retry_after(retry),
                ))
            }
            NextStep::Ask(position) => {
                let index = reachable[position];
                let was_asked = self.declines[index].take().is_some();
                Ok((!was_asked).then(|| self.shards[index].clone()))
            }
        }
    }

    fn record_decline(
        &mut self,
        shard: &ShardId,
        code: Code,
        declined: Declined,
    ) -> Result<(), SearchError> {
        match code {
            Code::Overloaded | Code::Shed | Code::NoUpstream | Code::Infeasible => {
                if let Some(index) = self.shards.iter().position(|s| s == shard) {
                    self.declines[index] = Some(declined);
                }
                let all_infeasible = code == Code::Infeasible && self.shards.len() == 1;
                if all_infeasible {
                    return Err(SearchError::Refused(decline_refusal(code)));
                }
                Ok(())
            }
            other => Err(SearchError::Refused(
                decline_refusal(other).with_retry_after(declined.retry),
            )),
        }
    }

    fn better_shard(
        &self,
        cx: &Context,
        request: &CallerRequest,
        current: &ShardId,
    ) -> Option<usize> {
        let (tier, draw) = (request.credential.tier, fastrand::f64());
        let candidate = spillover::better_shard(
            tier,
            current,
            &self.shards,
            &cx.dispatchers.summaries(),
            draw,
        );
        candidate.filter(|i| !self.unreachable.contains(&self.shards[*i]))
    }

    async fn wait_for_grant(
        &self,
        cx: &Context,
        request: &CallerRequest,
        shard: &ShardId,
        ticket: TicketId,
        events: &mut TicketEvents,
        reply: &mut Reply,
    ) -> WaitEnd {
        let deadline = tokio::time::Instant::from_std(cx.clock.instant(request.deadline));
        let mut checks = tokio::time::interval_at(
            tokio::time::Instant::now() + SHARD_CHECK_INTERVAL,
            SHARD_CHECK_INTERVAL,
        );
        loop {
            let event = tokio::select! {
                event = events.rx.recv() => event,
                _ = checks.tick(), if self.moves < MAX_SHARD_MOVES => {
                    match self.better_shard(cx, request, shard) {
                        Some(index) => return WaitEnd::BetterShard(index),
                        None => continue,
                    }
                }
                () = tokio::time::sleep_until(deadline) => return WaitEnd::Expired,
                () = reply.caller_gone() => return WaitEnd::CallerGone,
            };
            match event {
                Some(TicketEvent::Granted {
                    ticket: t,
                    upstream,
                    alone,
                }) if t == ticket => {
                    return WaitEnd::Granted(Grant {
                        ticket,
                        upstream,
                        alone,
                    });
                }
                Some(TicketEvent::Declined {
                    ticket: t,
                    code,
                    floor,
                    retry,
                }) if t == ticket => {
                    cx.dispatchers.remove_ticket(ticket);
                    return WaitEnd::Declined(code, Declined { floor, retry });
                }
                Some(TicketEvent::Moved { ticket: t }) if t == ticket => return WaitEnd::Moved,
                Some(TicketEvent::Revoked { ticket: t }) if t == ticket => return WaitEnd::Revoked,
                // An event of an earlier ticket of this request.
                Some(_) => {}
                None => return WaitEnd::Expired,
            }
        }
    }
}

/// End of the wait for the grant of one ticket.
enum WaitEnd {
    Granted(Grant),
    Declined(Code, Declined),
    Moved,
    BetterShard(usize),
    Revoked,
    Expired,
    CallerGone,
}

fn decline_refusal(code: Code) -> Refusal {
    let detail = match code {
        Code::Infeasible => "the deadline could not be met even on an idle upstream",
        Code::Expired => "the deadline passed before an upstream was free",
        Code::Quarantined => "this request crashed two upstreams and is not run again",
        Code::NoUpstream => "no upstream that may serve this kind is up",
        _ => "the shard is full with requests of the same or higher tiers",
    };
    Refusal::new(code, detail)
}

fn expired_error() -> SearchError {
    SearchError::Refused(decline_refusal(Code::Expired))
}

fn internal_error() -> SearchError {
    SearchError::Refused(Refusal::new(
        Code::Internal,
        "internal error in stoatjunction",
    ))
}
