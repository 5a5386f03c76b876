//! Bringing a request to a grant: which shard to ask, whom to believe, when to give up.

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

/// Longest wait for a link to the owner of a shard.
const REACH: Duration = Duration::from_millis(1_500);
/// Pause before a shard is asked again that declined while it served a lower tier.
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// Time between two looks at whether another shard would serve a waiting call sooner.
const LOOK: Duration = Duration::from_millis(250);
/// Most moves of one call to another shard that looked better.
const MAX_MOVES: u32 = 4;

/// A grant for a request.
#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) ticket: TicketId,
    pub(crate) upstream: String,
    pub(crate) alone: bool,
}

/// The line from the hub to one request.
#[derive(Debug)]
pub(crate) struct Line {
    tx: TicketEventTx,
    pub(crate) rx: mpsc::UnboundedReceiver<TicketEvent>,
}

impl Line {
    pub(crate) fn new() -> Line {
        let (tx, rx) = mpsc::unbounded_channel();
        Line { tx, rx }
    }
}

/// Progress of a request's search for a grant; kept over several grants that came to nothing.
#[derive(Debug)]
pub(crate) struct Search {
    shards: Vec<ShardId>,
    declines: Vec<Option<Declined>>,
    unreachable: IndexSet<ShardId>,
    /// Shard to ask next, whatever the order says.
    preferred: Option<usize>,
    moves: u32,
}

/// Why a request leaves the search without a grant.
#[derive(Debug)]
pub(crate) enum Ended {
    /// It is refused.
    Refused(Refusal),
    /// Its caller is gone.
    CallerGone,
}

impl Search {
    pub(crate) fn new(cx: &Context, bundle: &Bundle, request: &CallerRequest) -> Search {
        let all = bundle.shards_of(&request.service);
        let suspect = cx.dispatchers.is_suspect(request.fingerprint);
        let shards = if suspect {
            // Every gateway brings a suspect to the same shard, which knows how it fared there.
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
        Search {
            shards,
            declines,
            unreachable: IndexSet::new(),
            preferred: None,
            moves: if suspect { MAX_MOVES } else { 0 },
        }
    }

    /// Searches until there is a grant that may be used, or the request has to end.
    pub(crate) async fn grant(
        &mut self,
        cx: &Context,
        request: &CallerRequest,
        life: &mut RequestLifecycle,
        line: &mut Line,
        reply: &mut Reply,
    ) -> Result<Grant, Ended> {
        loop {
            self.check(cx, request)?;
            let Some(shard) = self.next(request)? else {
                tokio::time::sleep(ASK_AGAIN).await;
                continue;
            };
            let left = Duration::from(cx.clock.now().until(request.deadline));
            let Some(host) = cx.dispatchers.wait_for_owner(&shard, REACH.min(left)).await else {
                self.unreachable.insert(shard);
                continue;
            };
            let queued = cx
                .dispatchers
                .enqueue(&host, &shard, &line.tx, |id| request.ticket(id));
            let Some(ticket) = queued else { continue };
            if life.enqueue(ticket).is_err() {
                cx.dispatchers.withdraw(ticket);
                return Err(internal());
            }
            match self.wait(cx, request, &shard, ticket, line, reply).await {
                Waited::Granted(grant) if life.grant(grant.ticket).is_ok() => {
                    if cx.dispatchers.is_leaving(&grant.upstream) {
                        cx.dispatchers.withdraw(ticket);
                        let _ = life.release_grant();
                        continue;
                    }
                    return Ok(grant);
                }
                Waited::Granted(grant) => cx.dispatchers.withdraw(grant.ticket),
                Waited::Declined(code, declined) => self.declined(&shard, code, declined)?,
                Waited::Moved => cx.dispatchers.withdraw(ticket),
                Waited::Better(index) => {
                    cx.dispatchers.withdraw(ticket);
                    self.preferred = Some(index);
                    self.moves += 1;
                }
                Waited::Revoked => {
                    cx.dispatchers.withdraw(ticket);
                    let detail = "dropped in favour of a higher tier";
                    return Err(Ended::Refused(Refusal::new(Code::Shed, detail)));
                }
                Waited::Expired => {
                    cx.dispatchers.withdraw(ticket);
                    return Err(expired());
                }
                Waited::CallerGone => {
                    cx.dispatchers.withdraw(ticket);
                    return Err(Ended::CallerGone);
                }
            }
        }
    }

    fn check(&self, cx: &Context, request: &CallerRequest) -> Result<(), Ended> {
        if cx.dispatchers.is_quarantined(request.fingerprint) {
            let detail = "this request crashed two upstreams and is not run again";
            return Err(Ended::Refused(Refusal::new(Code::Quarantined, detail)));
        }
        if cx.clock.now() >= request.deadline {
            return Err(expired());
        }
        Ok(())
    }

    /// The shard to ask next; `None` when one that declined has to be asked again.
    fn next(&mut self, request: &CallerRequest) -> Result<Option<ShardId>, Ended> {
        if let Some(index) = self.preferred.take() {
            return Ok(Some(self.shards[index].clone()));
        }
        let reachable: Vec<usize> = (0..self.shards.len())
            .filter(|i| !self.unreachable.contains(&self.shards[*i]))
            .collect();
        if reachable.is_empty() {
            let detail = "no dispatcher for this service can be reached";
            return Err(Ended::Refused(Refusal::new(Code::NoUpstream, detail)));
        }
        let declines: Vec<Option<Declined>> = reachable.iter().map(|i| self.declines[*i]).collect();
        match spillover::next_step(request.credential.tier, &declines) {
            NextStep::Shed { retry } => {
                let detail = "every reachable shard is full with calls of the same or higher tiers";
                Err(Ended::Refused(
                    Refusal::new(Code::Overloaded, detail).with_retry_after(retry),
                ))
            }
            NextStep::Ask(at) => {
                let index = reachable[at];
                let again = self.declines[index].take().is_some();
                Ok((!again).then(|| self.shards[index].clone()))
            }
        }
    }

    fn declined(&mut self, shard: &ShardId, code: Code, declined: Declined) -> Result<(), Ended> {
        match code {
            Code::Overloaded | Code::Shed | Code::NoUpstream | Code::Infeasible => {
                if let Some(index) = self.shards.iter().position(|s| s == shard) {
                    self.declines[index] = Some(declined);
                }
                let all_infeasible = code == Code::Infeasible && self.shards.len() == 1;
                if all_infeasible {
                    return Err(Ended::Refused(refusal_of(code)));
                }
                Ok(())
            }
            other => Err(Ended::Refused(
                refusal_of(other).with_retry_after(declined.retry),
            )),
        }
    }

    fn better(&self, cx: &Context, request: &CallerRequest, here: &ShardId) -> Option<usize> {
        let (tier, draw) = (request.credential.tier, fastrand::f64());
        let found =
            spillover::better_shard(tier, here, &self.shards, &cx.dispatchers.summaries(), draw);
        found.filter(|i| !self.unreachable.contains(&self.shards[*i]))
    }

    async fn wait(
        &self,
        cx: &Context,
        request: &CallerRequest,
        shard: &ShardId,
        ticket: TicketId,
        line: &mut Line,
        reply: &mut Reply,
    ) -> Waited {
        let deadline = tokio::time::Instant::from_std(cx.clock.instant(request.deadline));
        let mut looks = tokio::time::interval_at(tokio::time::Instant::now() + LOOK, LOOK);
        loop {
            let turn = tokio::select! {
                turn = line.rx.recv() => turn,
                _ = looks.tick(), if self.moves < MAX_MOVES => {
                    match self.better(cx, request, shard) {
                        Some(index) => return Waited::Better(index),
                        None => continue,
                    }
                }
                () = tokio::time::sleep_until(deadline) => return Waited::Expired,
                () = reply.caller_gone() => return Waited::CallerGone,
            };
            match turn {
                Some(TicketEvent::Granted {
                    ticket: t,
                    upstream,
                    alone,
                }) if t == ticket => {
                    return Waited::Granted(Grant {
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
                    return Waited::Declined(code, Declined { floor, retry });
                }
                Some(TicketEvent::Moved { ticket: t }) if t == ticket => return Waited::Moved,
                Some(TicketEvent::Revoked { ticket: t }) if t == ticket => return Waited::Revoked,
                // A turn for an earlier ticket of this request.
                Some(_) => {}
                None => return Waited::Expired,
            }
        }
    }
}

enum Waited {
    Granted(Grant),
    Declined(Code, Declined),
    Moved,
    Better(usize),
    Revoked,
    Expired,
    CallerGone,
}

fn refusal_of(code: Code) -> Refusal {
    let detail = match code {
        Code::Infeasible => "the deadline could not be met even on an idle upstream",
        Code::Expired => "the deadline passed before an upstream was free",
        Code::Quarantined => "this request crashed two upstreams and is not run again",
        Code::NoUpstream => "no upstream that may serve this kind is up",
        _ => "the shard is full with calls of the same or higher tiers",
    };
    Refusal::new(code, detail)
}

fn expired() -> Ended {
    Ended::Refused(refusal_of(Code::Expired))
}

fn internal() -> Ended {
    Ended::Refused(Refusal::new(Code::Internal, "a fault inside stoatjunction"))
}
