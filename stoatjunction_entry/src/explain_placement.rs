//! Explanations of placements, served on the port of the metrics: where a request would go now, and why. Nothing is
//! sent, charged or changed.

use std::cell::RefCell;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use indexmap::IndexMap;
use serde::Serialize;
use stoatjunction_core::code::Code;
use stoatjunction_core::entry::config::{Organisation, Route};
use stoatjunction_core::entry::explanation::Explanation;
use stoatjunction_core::entry::placement::Reason;
use stoatjunction_core::entry::pool::{Decision, PlacementRequest};
use stoatjunction_core::entry::query_limit::QueryLimit;
use stoatjunction_core::entry::rate_limiter::LimitStatus;
use stoatjunction_core::entry::route_table::{RouteTable, choose_service};
use stoatjunction_core::entry::software_version::SoftwareVersion;
use stoatjunction_core::hash;
use stoatjunction_core::time::{Span, Time};

use crate::admission::{self, BARRED_RETRY_AFTER};
use crate::body::Body;
use crate::clock;
use crate::explain_query::Query;
use crate::forward::{NOT_READY_RETRY_AFTER, retry_after_bounds};
use crate::metrics::kind_label;
use crate::placement::UNKNOWN_SERVICE_RETRY_AFTER;
use crate::refusal::Refusal;
use crate::state::{Context, SharedState};
use crate::stream_origins;

/// Path of the explanations.
pub(crate) const PATH: &str = "/explain-placement";
/// Upstreams that one explanation names at most.
const MAX_NAMED_UPSTREAMS: usize = 200;

/// The answer to a query.
#[derive(Debug, Default, Serialize)]
struct Answer {
    host: String,
    decision: Option<Outcome>,
    /// Why it is placed, waits, or finds no upstream; the title of the code if it is refused before.
    reason: &'static str,
    route: Option<RouteSummary>,
    rate_limit: Option<RateLimit>,
    retry_budget: Option<RetriesLeft>,
    /// State of the service's upstreams, if the request has a service.
    placement: Option<Explanation>,
    ages_ms: Ages,
}

/// What would be done with the request.
#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case", tag = "action")]
enum Outcome {
    Place {
        upstream: String,
    },
    /// It is placed once it can be, and refused after `until_ms` otherwise.
    Wait {
        until_ms: u64,
    },
    Refuse {
        code: u16,
        title: &'static str,
        status: u16,
        /// Shortest and longest `Retry-After`, between which it is drawn.
        retry_after_ms: Option<(u64, u64)>,
    },
}

#[derive(Debug, Serialize)]
struct RouteSummary {
    name: String,
    /// Services with their weights.
    services: IndexMap<String, u32>,
    /// The service that the explanation is about.
    service: Option<String>,
    kind: &'static str,
    /// Priorities of the organisation and of the route; 0 is the highest.
    tier: (u8, u8),
    deadline_ms: u64,
}

#[derive(Debug, Serialize)]
struct RateLimit {
    organisation: String,
    units: u64,
    /// `within`, `beyond` (admitted to spare capacity only) or `over`.
    status: &'static str,
    retry_after_ms: Option<u64>,
}

#[derive(Debug, Serialize)]
struct RetriesLeft {
    /// Retries that this host may still make for the service.
    retries_left: f64,
}

/// Ages of what the answer is derived from.
#[derive(Debug, Default, Serialize)]
struct Ages {
    configuration: Option<u64>,
    /// Since the store's last response on upstreams; `None` if this host does not follow the store.
    upstream_list: Option<u64>,
    /// Since the last heartbeat of the reachable host that was heard longest ago.
    oldest_heartbeat: Option<u64>,
}

/// Answers a query.
pub(crate) fn respond(
    cx: &Context,
    limit: &RefCell<QueryLimit>,
    query: Option<&str>,
) -> Response<Body> {
    let now = clock::now();
    if let Err(wait) = limit.borrow_mut().try_query(now) {
        cx.metrics.count("explanations", &[("result", "too_many")]);
        return refuse_query(wait);
    }
    let answer = Query::parse(query.unwrap_or_default()).and_then(|q| explain(cx, &q, now));
    let (status, result, text) = match answer {
        Ok(answer) => (StatusCode::OK, "answered", serde_json::to_string(&answer)),
        Err(parameter) => {
            let text = serde_json::to_string(&serde_json::json!({"invalid_parameter": parameter}));
            (StatusCode::BAD_REQUEST, "invalid", text)
        }
    };
    cx.metrics.count("explanations", &[("result", result)]);
    json_response(status, text.unwrap_or_default())
}

fn refuse_query(wait: Span) -> Response<Body> {
    let text = r#"{"error":"too many queries"}"#.to_owned();
    let mut res = json_response(StatusCode::TOO_MANY_REQUESTS, text);
    let seconds = format!("{:.3}", wait.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        res.headers_mut().insert(RETRY_AFTER, value);
    }
    res
}

fn json_response(status: StatusCode, text: String) -> Response<Body> {
    let mut res = Response::new(Body::full(Bytes::from(text)));
    *res.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    res.headers_mut().insert(CONTENT_TYPE, content_type);
    res
}

/// Explains where the request would go.
///
/// # Errors
///
/// The name of a parameter that does not fit the configuration.
fn explain(cx: &Context, query: &Query, now: Time) -> Result<Answer, String> {
    let state = cx.state.borrow();
    let mut answer = Answer {
        host: cx.settings.host.clone(),
        ages_ms: ages(&state, now),
        ..Answer::default()
    };
    let Some(routes) = state.routes.clone() else {
        let refusal = Refusal::with_retry_after(Code::NotReady, NOT_READY_RETRY_AFTER);
        answer.refuse(&refusal);
        return Ok(answer);
    };
    let organisation = find_organisation(&routes, query)?;
    let path = query.path.split('?').next().unwrap_or_default();
    let route = match routes.admit(&query.host, path, organisation) {
        Ok(route) => route,
        Err(e) => {
            answer.refuse(&admission::refuse_route(e));
            return Ok(answer);
        }
    };
    let asked = Asked::new(cx, query, route, organisation, now)?;
    asked.explain(cx, &state, &mut answer);
    Ok(answer)
}

fn find_organisation<'a>(
    routes: &'a RouteTable,
    query: &Query,
) -> Result<Option<&'a Organisation>, String> {
    let Some(name) = &query.organisation else {
        return Ok(None);
    };
    let found = routes.organisation_by_name(name);
    found.map(Some).ok_or_else(|| "organisation".to_owned())
}

/// A request that a query asks about, with its route.
struct Asked<'a> {
    query: &'a Query,
    route: &'a Route,
    organisation: Option<&'a Organisation>,
    service: Option<String>,
    version: Option<SoftwareVersion>,
    now: Time,
    deadline: Time,
}

impl<'a> Asked<'a> {
    fn new(
        cx: &Context,
        query: &'a Query,
        route: &'a Route,
        organisation: Option<&'a Organisation>,
        now: Time,
    ) -> Result<Asked<'a>, String> {
        let is_target = |s: &str| route.targets.iter().any(|(target, _)| target == s);
        if query.service.as_ref().is_some_and(|s| !is_target(s)) {
            return Err("service".to_owned());
        }
        if query.version.is_some() && !route.repeat.is_resumable() {
            return Err("version".to_owned());
        }
        let timeout = query
            .deadline
            .map_or(route.timeout, |d| d.min(route.timeout));
        let mut asked = Asked {
            query,
            route,
            organisation,
            service: None,
            version: None,
            now,
            deadline: now + timeout,
        };
        asked.choose_service(cx);
        Ok(asked)
    }

    /// Sets the service, and the version of a stream that is taken up. Without a service that has upstreams of that
    /// version there is none.
    fn choose_service(&mut self, cx: &Context) {
        let Some(name) = &self.query.version else {
            let drawn = || choose_service(self.route, fastrand::f64()).map(str::to_owned);
            self.service = self.query.service.clone().or_else(drawn);
            return;
        };
        let services = self.route.targets.iter().map(|(s, _)| s);
        let versions = services.map(|s| SoftwareVersion::new(s, name));
        for version in versions {
            if let Some(service) = stream_origins::service_of(cx, self.route, version) {
                self.service = Some(service.to_owned());
                self.version = Some(version);
                return;
            }
        }
    }

    fn explain(&self, cx: &Context, state: &SharedState, answer: &mut Answer) {
        answer.route = Some(self.summary());
        answer.rate_limit = self.check_rate_limit(state);
        let Some(service) = &self.service else {
            let refusal = match self.query.version {
                Some(_) => stream_origins::version_gone(),
                None => admission::refuse_without_service(),
            };
            return answer.refuse(&refusal);
        };
        let (_, known) = state.reachable_hosts(self.now);
        let retries_left = state.retry_budget.retries_left(service, known, self.now);
        answer.retry_budget = Some(RetriesLeft { retries_left });
        let request = self.placement_request(state, answer.rate_limit.as_ref());
        if let Some(s) = state.schedulers.get(service) {
            let max = MAX_NAMED_UPSTREAMS;
            answer.placement = Some(s.pool.explain(&s.queue, &request, max, self.now));
        }
        let admitted = self.check(cx, state, service, answer.rate_limit.as_ref());
        match admitted {
            Err(refusal) => answer.refuse(&refusal),
            Ok(()) => answer.decide(self.now, self.deadline),
        }
    }

    fn summary(&self) -> RouteSummary {
        RouteSummary {
            name: self.route.name.clone(),
            services: self.route.targets.iter().cloned().collect(),
            service: self.service.clone(),
            kind: kind_label(self.route.repeat),
            tier: (
                self.organisation.map_or(0, |o| o.priority),
                self.route.priority,
            ),
            deadline_ms: self.now.until(self.deadline).as_millis(),
        }
    }

    /// Returns whether the rate limit would admit the request, which is not charged.
    fn check_rate_limit(&self, state: &SharedState) -> Option<RateLimit> {
        let organisation = self.organisation?;
        let subject = hash::hash_parts(&[organisation.name.as_bytes()]);
        let units = admission::charged_units(Some(organisation), self.query.tokens);
        let checked = state.rate_limiter.check(subject, units, self.now);
        Some(RateLimit {
            organisation: organisation.name.clone(),
            units,
            status: match checked {
                Ok(LimitStatus::Within) => "within",
                Ok(LimitStatus::Beyond) => "beyond",
                Err(_) => "over",
            },
            retry_after_ms: checked.err().map(Span::as_millis),
        })
    }

    fn placement_request(
        &self,
        state: &SharedState,
        limit: Option<&RateLimit>,
    ) -> PlacementRequest {
        let spent = match (self.query.deadline, self.version) {
            (Some(deadline), None) => state.spent(&self.route.name, deadline),
            _ => Span::ZERO,
        };
        let prompt = Some(self.query.prompt_parts());
        let (organisation, now, deadline) = (self.organisation, self.now, self.deadline);
        let tokens = self.query.tokens.unwrap_or_default();
        let mut request = PlacementRequest {
            version: self.version,
            tokens: tokens.0.saturating_add(tokens.1),
            ..admission::placement_request(self.route, organisation, prompt, now, spent, deadline)
        };
        if limit.is_some_and(|l| l.status == "beyond") {
            admission::mark_beyond_limit(&mut request, now, deadline);
        }
        request
    }

    /// Checks what refuses requests before they are placed, in the order in which it does.
    fn check(
        &self,
        cx: &Context,
        state: &SharedState,
        service: &str,
        limit: Option<&RateLimit>,
    ) -> Result<(), Refusal> {
        admission::check_memory(cx, service, self.query.tokens)?;
        cx.stopping.check(self.deadline)?;
        let causes = admission::shared_parts(&self.query.prompt);
        if state.crash_causes.is_barred(&causes) {
            return Err(Refusal::with_retry_after(Code::Barred, BARRED_RETRY_AFTER));
        }
        if let Some(ms) = limit.and_then(|l| l.retry_after_ms) {
            let wait = Span::from_millis(ms);
            return Err(Refusal::with_retry_after(Code::OverLimit, wait));
        }
        Ok(())
    }
}

impl Answer {
    /// Sets that the request is refused before it is placed.
    fn refuse(&mut self, refusal: &Refusal) {
        self.reason = refusal.code.slug();
        let ms = refusal.retry_after.map(Span::as_millis);
        self.decision = Some(refuse(refusal.code, ms.map(|ms| (ms, ms))));
    }

    /// Sets what the placement decides.
    fn decide(&mut self, now: Time, deadline: Time) {
        let left = now.until(deadline);
        let Some(placement) = &self.placement else {
            self.reason = Reason::NoUpstream.label();
            self.decision = Some(refuse_placement(UNKNOWN_SERVICE_RETRY_AFTER, left));
            return;
        };
        self.reason = placement.reason.label();
        self.decision = Some(match placement.decision {
            Decision::Place(key) => {
                let mut named = placement.upstreams.iter();
                let upstream = named.find(|u| u.key == key);
                let upstream = upstream.map_or("-", |u| u.id.as_str()).to_owned();
                Outcome::Place { upstream }
            }
            Decision::Wait => Outcome::Wait {
                until_ms: now.until(placement.wait_until).as_millis(),
            },
            Decision::Refuse(retry_after) => refuse_placement(retry_after, left),
        });
    }
}

/// Returns the refusal of a request whose caller has this time left, for which its `Retry-After` is bounded.
fn refuse_placement(retry_after: Span, left: Span) -> Outcome {
    let (base, largest) = retry_after_bounds(retry_after, left);
    let most = Span(base.0.saturating_mul(2)).min(largest);
    let range = (base.min(largest).as_millis(), most.as_millis());
    refuse(Code::Overloaded, Some(range))
}

fn refuse(code: Code, retry_after_ms: Option<(u64, u64)>) -> Outcome {
    Outcome::Refuse {
        code: code.number(),
        title: code.slug(),
        status: code.status(),
        retry_after_ms,
    }
}

fn ages(state: &SharedState, now: Time) -> Ages {
    let reachable = state
        .peers
        .values()
        .filter(|p| !state.is_unreachable(p, now));
    let oldest = reachable.map(|p| p.last_seen).min();
    let age = |at: Time| now.since(at).as_millis();
    Ages {
        configuration: state.routes.as_ref().map(|_| age(state.configured_at)),
        upstream_list: state.store_answered_at[1].map(age),
        oldest_heartbeat: oldest.map(age),
    }
}
