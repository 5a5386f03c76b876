//! Placement: choice of the upstream for each queued request.

use super::queue::QueuedRequest;
use super::upstream::Upstream;
use super::{Action, Run, Shard, Ticket};
use crate::id::{TicketId, UpstreamKey};
use crate::quarantine::Quarantine;
use crate::time::{Span, Time};

/// Predicted timing of a request on an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    /// Prefill work queued on the upstream before it.
    queued_prefill: Span,
    /// Time until the first token.
    pub(super) first_token: Span,
    /// Time until the end of an answer of the expected length.
    pub(super) end: Span,
    /// Time until the end of an answer of the planned length, with a margin.
    pub(super) latest_end: Span,
    /// Prompt tokens that the upstream has to process.
    pub(super) uncached: u32,
}

/// Share of the expected answer length below which a request counts as infeasible.
const MIN_OUTPUT_SHARE: f64 = 0.4;
/// Safety factor on forecast durations when they are compared with a deadline.
const DURATION_MARGIN: f64 = 1.2;

/// Minimum time that a suspect is queued, so that a verdict in transit from another shard arrives
/// before its grant.
const SUSPECT_MIN_WAIT: Span = Span::from_millis(100);
/// Weight of the time to the first token relative to the time to the end, in the placement cost.
const FIRST_TOKEN_WEIGHT: f64 = 1.0;
/// Weight of a second of prefill work relative to a second of delay, in the placement cost.
const PREFILL_WEIGHT: f64 = 2.0;

impl Shard {
    /// Estimates the work and duration of a request at the time it is queued.
    pub(super) fn estimate(&self, ticket: Ticket, role_mask: u64, now: Time) -> QueuedRequest {
        let t = &ticket;
        let length = self.lengths.expect(&t.kind, &t.organisation, t.output_hint);
        let expected_output = length.typical;
        let work = self.estimate_work(t, expected_output);
        let min_duration = self.idle_duration(t, role_mask, expected_output * MIN_OUTPUT_SHARE);
        // Plans with the longest of these lengths that fits the deadline, so that a request with a
        // tight deadline is not declined for a long answer that may never come.
        let available = t.arrival.until(t.deadline);
        let duration = |tokens: f64| self.idle_duration(t, role_mask, tokens).map(with_margin);
        let min_output = expected_output * MIN_OUTPUT_SHARE;
        let lengths = [length.conservative, expected_output];
        let fitting = lengths
            .into_iter()
            .find(|l| duration(*l).is_some_and(|d| d <= available));
        let planned_output = fitting.unwrap_or(min_output);
        let planned_duration = duration(planned_output);
        QueuedRequest {
            ticket,
            work,
            role_mask,
            expected_output,
            planned_output,
            min_duration,
            planned_duration,
            enqueued: now,
        }
    }

    /// Grants free slots to queued requests in queue order.
    pub(super) fn place_queued(&mut self, now: Time, quarantine: &Quarantine) {
        self.place_suspect(now);
        // Each grant changes the free slots and the fair order of the queue.
        while self.has_free(u64::MAX, now) && self.place_next(now, quarantine) {}
    }

    /// Grants a slot to the first request in queue order that can use one. Returns false when there
    /// is none.
    fn place_next(&mut self, now: Time, quarantine: &Quarantine) -> bool {
        let mut blocked: Vec<u64> = Vec::new();
        let mut found = None;
        for q in self.queue.iter().take(self.cfg.scan_limit) {
            let fingerprint = q.ticket.fingerprint;
            let isolated =
                quarantine.is_suspect(fingerprint) || quarantine.is_quarantined(fingerprint);
            if blocked.contains(&q.role_mask) || isolated {
                continue;
            }
            if !self.has_free(q.role_mask, now) {
                blocked.push(q.role_mask);
                continue;
            }
            if let Some((key, forecast)) = self.choose_upstream(q, now) {
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

    /// Grants the upstream reserved for a suspect once it is empty.
    fn place_suspect(&mut self, now: Time) {
        let Some((reserved, holder)) = self.reserved else {
            return;
        };
        let Some(u) = self.upstreams.get(reserved).filter(|u| u.is_serving()) else {
            self.reserved = None;
            return;
        };
        let empty = u.running == 0 && u.foreign(now, self.cfg.report_max_age) == 0;
        let waited = |q: &&QueuedRequest| now.since(q.enqueued) >= SUSPECT_MIN_WAIT;
        let Some(queued) = self.queue.get(holder).filter(|_| empty).filter(waited) else {
            return;
        };
        let forecast = self.forecast(u, queued, now);
        self.grant(holder, reserved, forecast, true, now);
    }

    /// Estimates the seconds that a request occupies a slot of an upstream of average speed.
    fn estimate_work(&self, t: &Ticket, output: f64) -> f64 {
        let input = f64::from(t.input_tokens);
        let (sum, count) = self
            .upstreams
            .iter()
            .fold((0.0, 0), |(sum, count), (_, u)| {
                (
                    sum + input * u.prefill_pace.get() + output * u.token_pace.get(),
                    count + 1,
                )
            });
        if count == 0 {
            0.0
        } else {
            sum / f64::from(count)
        }
    }

    /// Estimates the time that an answer of `output` tokens takes on the fastest upstream that may
    /// serve the request, with no prefill queued before it.
    fn idle_duration(&self, t: &Ticket, mask: u64, output: f64) -> Option<Span> {
        self.eligible(mask)
            .map(|(_, u)| {
                let uncached = f64::from(t.input_tokens - self.cached(u, t));
                uncached * u.prefill_pace.get() + output * u.token_pace.get()
            })
            .min_by(f64::total_cmp)
            .map(Span::from_secs_f64)
    }

    /// Returns the serving upstreams whose role is in `mask`.
    pub(super) fn eligible(&self, mask: u64) -> impl Iterator<Item = (UpstreamKey, &Upstream)> {
        self.upstreams
            .iter()
            .filter(move |(_, u)| u.is_serving() && mask & (1 << u.role) != 0)
    }

    pub(super) fn forecast(&self, u: &Upstream, q: &QueuedRequest, now: Time) -> Forecast {
        let uncached = q.ticket.input_tokens - self.cached(u, &q.ticket);
        let prefill = Span::from_secs_f64(f64::from(uncached) * u.prefill_pace.get());
        let queued_prefill = now.until(u.prefill_done_at);
        let first_token = queued_prefill + prefill + Span::from_secs_f64(u.token_pace.get());
        let end = first_token + Span::from_secs_f64(q.expected_output * u.token_pace.get());
        let planned_end = first_token + Span::from_secs_f64(q.planned_output * u.token_pace.get());
        let latest_end = with_margin(planned_end);
        Forecast {
            queued_prefill,
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
        let reserved = self.reserved.is_some_and(|(upstream, _)| upstream == key);
        !reserved && self.free_slots(u, now) > 0
    }

    fn choose_upstream(
        &self,
        queued: &QueuedRequest,
        now: Time,
    ) -> Option<(UpstreamKey, Forecast)> {
        let t = &queued.ticket;
        if self.runs_unverified(t.fingerprint) {
            return None;
        }
        self.eligible(queued.role_mask)
            .filter(|(key, u)| self.is_free(*key, u, now))
            .map(|(key, u)| (key, u, self.forecast(u, queued, now)))
            .filter(|(_, _, f)| !self.cfg.features.infeasible || now + f.latest_end <= t.deadline)
            .min_by(|a, b| placement_cost(a.1, &a.2).total_cmp(&placement_cost(b.1, &b.2)))
            .map(|(key, _, forecast)| (key, forecast))
    }

    /// Returns true while an identical request is running and none has ever completed.
    fn runs_unverified(&self, fingerprint: u64) -> bool {
        !self.known_harmless.contains(&fingerprint)
            && self
                .runs
                .values()
                .any(|r| r.ticket.fingerprint == fingerprint)
    }

    /// Reserves the eligible upstream with the fewest own runs for the first suspect in the queue.
    pub(super) fn reserve_for_suspect(&mut self, quarantine: &Quarantine) {
        if self.reserved.is_some() || !quarantine.has_suspects() {
            return;
        }
        let mut suspects = self
            .queue
            .iter()
            .filter(|q| quarantine.is_suspect(q.ticket.fingerprint));
        let Some(first) = suspects.next() else { return };
        let least_loaded = self
            .eligible(first.role_mask)
            .min_by_key(|(_, u)| u.running);
        self.reserved = least_loaded.map(|(key, _)| (key, first.ticket.id));
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
        let prefill = Span::from_secs_f64(f64::from(forecast.uncached) * u.prefill_pace.get());
        u.prefill_done_at = now + forecast.queued_prefill + prefill;
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
            queued_prefill: forecast.queued_prefill,
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

/// Adds the safety margin to a forecast duration.
fn with_margin(span: Span) -> Span {
    Span::from_secs_f64(span.as_secs_f64() * DURATION_MARGIN)
}

/// Returns the weighted cost of a placement in seconds: time to the first token, time to the end
/// and prefill work.
fn placement_cost(u: &Upstream, f: &Forecast) -> f64 {
    let prefill = f64::from(f.uncached) * u.prefill_pace.get();
    FIRST_TOKEN_WEIGHT * f.first_token.as_secs_f64()
        + f.end.as_secs_f64()
        + PREFILL_WEIGHT * prefill
}
