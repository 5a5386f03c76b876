//! What upstreams say of themselves in the heads of their responses: load, limit, that they leave, and a
//! pause that they want. Read here for every response, whatever its status, path or kind.

use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{HeaderMap, StatusCode};
use stoatjunction_core::entry::upstream_notices::Statement;

use crate::header_names::HeaderNames;
use crate::placement::Placement;

/// Records what the upstream of the run says of itself.
pub(crate) fn read(head: &Parts, names: &HeaderNames, placement: &Placement) {
    if let Some((running, waiting)) = parse_load(&head.headers, names) {
        placement.record_load_report(running, waiting);
    }
    // Another upstream at the same address.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if let Some(limit) = parse_limit(head, names) {
        placement.record_limit(limit);
    }
    if head.headers.contains_key(&names.leaving) {
        placement.record_statement(Statement::Leaving);
    }
    match parse_pause(&head.headers) {
        Some(pause) => placement.record_statement(pause),
        None => placement.record_response(),
    }
}

/// Parses the numbers of running and waiting requests that the upstream reports.
fn parse_load(headers: &HeaderMap, names: &HeaderNames) -> Option<(u32, u32)> {
    let text = headers.get(&names.load)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|n| n.trim().parse::<u32>());
    let running = numbers.next()?.ok()?;
    let waiting = numbers.next()?.ok()?;
    Some((running, waiting))
}

/// Parses what the upstream says of its limit: the requests a second, or that it has none. Returns
/// `None` if the response says nothing, since it may be another upstream's, or only a refusal.
fn parse_limit(head: &Parts, names: &HeaderNames) -> Option<Option<f64>> {
    let has_signature = head.headers.contains_key(&names.signature);
    let is_refusal = head.headers.contains_key(&names.not_run);
    if !(has_signature || is_refusal) {
        return None;
    }
    let Some(value) = head.headers.get(&names.limit) else {
        return has_signature.then_some(None);
    };
    let limit: f64 = value.to_str().ok()?.trim().parse().ok()?;
    (limit.is_finite() && limit >= 0.0).then_some(Some(limit))
}

/// Parses the pause that the upstream wants. Dates and other text are left out: which clock they mean is
/// not known.
fn parse_pause(headers: &HeaderMap) -> Option<Statement> {
    let value = headers.get(RETRY_AFTER)?;
    let seconds = value.to_str().ok().and_then(|v| v.trim().parse().ok());
    let pause = seconds.and_then(Statement::pause);
    if pause.is_none() {
        log::info!("event=pause_ignored value={value:?}");
    }
    pause
}
