//! Choice of the upstream for each queued request.

use super::queue::Queued;
use super::upstream::Upstream;
use super::{Action, Run, Shard, Ticket};
use crate::id::{TicketId, UpstreamKey};
use crate::quarantine::Quarantine;
use crate::time::{Span, Time};

/// Predicted course of a request on an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    /// Prefill queued before it.
    ahead: Span,
    /// Delay of the first token.
    pub(super) first_token: Span,
    /// Delay of the end.
    pub(super) end: Span,
    /// Delay of the end of an answer that is rather long.
    pub(super) latest_end: Span,
    /// Prompt tokens that the upstream has to process.
    pub(super) uncached: u32,
}

/// Share of the expected answer length that a request must at least have time for.
const SURE_SHARE: f64 = 0.4;
/// Factor by which a run may take longer than its forecast and still be in time.
const MARGIN: f64 = 1.2;

/// Time that a suspect is queued at least, so that a verdict under way from another shard comes
/// before its grant.
const SUSPECT_HOLD: Span = Span::from_millis(100);
/// Weight of the delay of the first token against that of the end.
const FIRST_TOKEN_WEIGHT: f64 = 1.0;
/// Weight of a second of prefill work against a second of delay.
const PREFILL_WEIGHT: f64 = 2.0;

impl Shard {
    /// Estimates what a request needs, once, when it is queued.
    pub(super) fn appraise(&self, ticket: Ticket, mask: u64, now: Time) -> Queued {
        let t = &ticket;
        let length = self.lengths.expect(&t.kind, &t.organisation, t.output_hint);
        let output = length.typical;
        let work = self.work_of(t, output);
        let shortest = self.alone(t, mask, output * SURE_SHARE);
        // A deadline that is tight from the start is not held against the request.
        let time = t.arrival.until(t.deadline);
        let safely = |tokens: f64| self.alone(t, mask, tokens).map(with_margin);
        let short = output * SURE_SHARE;
        let lengths = [length.conservative, output];
        let fitting = lengths
            .into_iter()
            .find(|l| safely(*l).is_some_and(|s| s <= time));
        let reserve = fitting.unwrap_or(short);
        let safe = safely(reserve);
        Queued {
            ticket,
            work,
            mask,
            output,
            reserve,
            shortest,
            safe,
            enqueued: now,
        }
    }

    /// Grants free slots in the order of the queue.
    pub(super) fn place(&mut self, now: Time, quarantine: &Quarantine) {
        self.place_alone(now);
        // Each grant changes what is free and whose turn it is.
        while self.has_free(u64::MAX, now) && self.place_next(now, quarantine) {}
    }

    /// Grants a slot to the first request in order that can use one. False when there is none.
    fn place_next(&mut self, now: Time, quarantine: &Quarantine) -> bool {
        let mut blocked: Vec<u64> = Vec::new();
        let mut found = None;
        for q in self.queue.iter().take(self.cfg.scan_limit) {
            let fingerprint = q.ticket.fingerprint;
            let set_apart =
                quarantine.is_suspect(fingerprint) || quarantine.is_quarantined(fingerprint);
            if blocked.contains(&q.mask) || set_apart {
                continue;
            }
            if !self.has_free(q.mask, now) {
                blocked.push(q.mask);
                continue;
            }
            if let Some((key, forecast)) = self.choose(q, now) {
                found = Some((q.ticket.id, key, forecast));
                break;
            }
        }
        let Some((id, key, forecast)) = found else {
            return false;
        };
        self.grant(id, key, forecast, false, now);
        true
    }

    /// Grants the upstream that is kept for a suspect, once it is empty.
    fn place_alone(&mut self, now: Time) {
        let Some((kept, holder)) = self.reserved else {
            return;
        };
        let Some(u) = self.upstreams.get(kept).filter(|u| u.is_serving()) else {
            self.reserved = None;
            return;
        };
        let empty = u.running == 0 && u.foreign(now, self.cfg.report_max_age) == 0;
        let ripe = |q: &&Queued| now.since(q.enqueued) >= SUSPECT_HOLD;
        let Some(queued) = self.queue.get(holder).filter(|_| empty).filter(ripe) else {
            return;
        };
        let forecast = self.forecast(u, queued, now);
        self.grant(holder, kept, forecast, true, now);
    }

    /// Estimated seconds of one slot that a request takes on an upstream of average speed.
    fn work_of(&self, t: &Ticket, output: f64) -> f64 {
        let input = f64::from(t.input_tokens);
        let (sum, count) = self
            .upstreams
            .iter()
            .fold((0.0, 0), |(sum, count), (_, u)| {
                (
                    sum + input * u.prefill.get() + output * u.pace.get(),
                    count + 1,
                )
            });
        if count == 0 {
            0.0
        } else {
            sum / f64::from(count)
        }
    }

    /// Time that a request needs alone on the fastest upstream that may serve it, for an answer of
    /// `output` tokens.
    fn alone(&self, t: &Ticket, mask: u64, output: f64) -> Option<Span> {
        self.eligible(mask)
            .map(|(_, u)| {
                let uncached = f64::from(t.input_tokens - self.cached(u, t));
                uncached * u.prefill.get() + output * u.pace.get()
            })
            .min_by(f64::total_cmp)
            .map(Span::from_secs_f64)
    }

    /// Serving upstreams whose role is in `mask`.
    pub(super) fn eligible(&self, mask: u64) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams
            .iter()
            .filter(move |(_, u)| u.is_serving() && mask & (1 << u.role) != 0)
    }

    pub(super) fn forecast(&self, u: &Upstream, q: &Queued, now: Time) -> Forecast {
        let uncached = q.ticket.input_tokens - self.cached(u, &q.ticket);
        let prefill = Span::from_secs_f64(f64::from(uncached) * u.prefill.get());
        let ahead = now.until(u.prefill_free);
        let first_token = ahead + prefill + Span::from_secs_f64(u.pace.get());
        let end = first_token + Span::from_secs_f64(q.output * u.pace.get());
        let longer = first_token + Span::from_secs_f64(q.reserve * u.pace.get());
        let latest_end = with_margin(longer);
        Forecast {
            ahead,
            first_token,
            end,
            latest_end,
            uncached,
        }
    }

    fn cached(&self, u: &Upstream, t: &Ticket) -> u32 {
        if !self.cfg.features.prefixes {
            return 0;
        }
        u.prefixes.matched_tokens(&t.marks).min(t.input_tokens)
    }

    fn has_free(&self, mask: u64, now: Time) -> bool {
        self.eligible(mask)
            .any(|(key, u)| self.is_free(key, u, now))
    }

    fn is_free(&self, key: UpstreamKey, u: &Upstream, now: Time) -> bool {
        let held = self.reserved.is_some_and(|(kept, _)| kept == key);
        !held && self.free_slots(u, now) > 0
    }

    fn choose(&self, queued: &Queued, now: Time) -> Option<(UpstreamKey, Forecast)> {
        let t = &queued.ticket;
        if self.runs_unproven(t.fingerprint) {
            return None;
        }
        self.eligible(queued.mask)
            .filter(|(key, u)| self.is_free(*key, u, now))
            .map(|(key, u)| (key, u, self.forecast(u, queued, now)))
            .filter(|(_, _, f)| !self.cfg.features.infeasible || now + f.latest_end <= t.deadline)
            .min_by(|a, b| cost(a.1, &a.2).total_cmp(&cost(b.1, &b.2)))
            .map(|(key, _, forecast)| (key, forecast))
    }

    /// True while the same request, never seen to end well, is already on an upstream.
    fn runs_unproven(&self, fingerprint: u64) -> bool {
        !self.proven.contains(&fingerprint)
            && self
                .runs
                .values()
                .any(|r| r.ticket.fingerprint == fingerprint)
    }

    /// Keeps the emptiest upstream for the first suspect in the queue.
    pub(super) fn reserve(&mut self, quarantine: &Quarantine) {
        if self.reserved.is_some() || !quarantine.has_suspects() {
            return;
        }
        let mut suspects = self
            .queue
            .iter()
            .filter(|q| quarantine.is_suspect(q.ticket.fingerprint));
        let Some(first) = suspects.next() else { return };
        let emptiest = self.eligible(first.mask).min_by_key(|(_, u)| u.running);
        self.reserved = emptiest.map(|(key, _)| (key, first.ticket.id));
    }

    fn grant(
        &mut self,
        id: TicketId,
        key: UpstreamKey,
        forecast: Forecast,
        alone: bool,
        now: Time,
    ) {
        let Some(queued) = self.queue.take_granted(id) else {
            return;
        };
        self.victims.swap_remove(&id);
        let Some(u) = self.upstreams.get_mut(key) else {
            return;
        };
        let first_token = now + forecast.first_token;
        let prefill = Span::from_secs_f64(f64::from(forecast.uncached) * u.prefill.get());
        u.prefill_free = now + forecast.ahead + prefill;
        u.prefixes.insert_prompt(&queued.ticket.marks, now);
        let upstream = u.spec.name.clone();
        let run = Run {
            ticket: queued.ticket,
            upstream: key,
            granted: now,
            dispatched: None,
            alone,
            revoking: false,
            orphan_since: None,
            uncached: forecast.uncached,
            ahead: forecast.ahead,
            first_token,
        };
        self.add_run(run);
        self.actions.push(Action::Grant {
            ticket: id,
            upstream,
            alone,
        });
    }
}

/// The longest that a run forecast to take `span` may take.
fn with_margin(span: Span) -> Span {
    Span::from_secs_f64(span.as_secs_f64() * MARGIN)
}

/// Cost of a placement in seconds: delay of the first token and of the end, and prefill work.
fn cost(u: &Upstream, f: &Forecast) -> f64 {
    let prefill = f64::from(f.uncached) * u.prefill.get();
    FIRST_TOKEN_WEIGHT * f.first_token.as_secs_f64()
        + f.end.as_secs_f64()
        + PREFILL_WEIGHT * prefill
}
