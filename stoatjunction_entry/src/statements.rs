//! What upstreams say of themselves in the heads of their responses: load, limit, that they leave, and a
//! pause that they want. Read here for every response, whatever its status, path or kind.

use http::header::RETRY_AFTER;
use http::response::Parts;
use http::{HeaderMap, StatusCode};
use stoatjunction_core::entry::capacity::LoadStatement;
use stoatjunction_core::entry::upstream_notices::Statement;

use crate::header_names::HeaderNames;
use crate::placement::Placement;

/// Records what the upstream of the run says of itself.
pub(crate) fn read(head: &Parts, names: &HeaderNames, placement: &Placement) {
    let load = parse_load(&head.headers, names);
    // Another upstream at the same address.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        if let Some(load) = load {
            placement.record_load_statement(&LoadStatement {
                slots: None,
                pace: None,
                ..load
            });
        }
        return;
    }
    if let Some(load) = load {
        placement.record_load_statement(&load);
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

/// Parses what the upstream states of its load: the numbers of running and waiting requests, and its slots and pace if it
/// names them. What is no number is left out; without the first two, all of it is.
fn parse_load(headers: &HeaderMap, names: &HeaderNames) -> Option<LoadStatement> {
    let text = headers.get(&names.load)?.to_str().ok()?;
    let mut numbers = text.split(',').map(|n| n.trim().parse::<u32>().ok());
    Some(LoadStatement {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next().flatten(),
        pace: numbers.next().flatten(),
    })
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

#[cfg(test)]
mod tests {
    use http::HeaderValue;
    use yare::parameterized;

    use super::*;

    // Guards against a header of an older upstream, or one with values that are no numbers, that loses its first two.
    #[parameterized(
        two_values = { "1,2", Some((1, 2, None, None)) },
        three_values = { "1,2,8", Some((1, 2, Some(8), None)) },
        four_values = { "1, 2, 8, 250", Some((1, 2, Some(8), Some(250))) },
        more_values = { "1,2,8,250,7", Some((1, 2, Some(8), Some(250))) },
        pace_alone = { "1,2,,250", Some((1, 2, None, Some(250))) },
        negative = { "1,2,-8,-250", Some((1, 2, None, None)) },
        text = { "1,2,eight,fast", Some((1, 2, None, None)) },
        fraction = { "1,2,8,2.5", Some((1, 2, Some(8), None)) },
        too_large = { "1,2,8,99999999999", Some((1, 2, Some(8), None)) },
        one_value = { "1", None },
        first_is_no_number = { "x,2,8,250", None },
        empty = { "", None },
    )]
    fn load_is_parsed(text: &str, expected: Option<(u32, u32, Option<u32>, Option<u32>)>) {
        let names = HeaderNames::default();
        let mut headers = HeaderMap::new();
        headers.insert(&names.load, HeaderValue::from_str(text).unwrap());

        let load = parse_load(&headers, &names);

        let values = load.map(|l| (l.running, l.waiting, l.slots, l.pace));
        assert_eq!(values, expected);
    }
}
