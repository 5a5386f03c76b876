//! The `explain-placement` command: where a host would place a request now, and why.

use std::fmt::Write;
use std::time::Duration;

use miette::{IntoDiagnostic, WrapErr, miette};
use pico_args::Arguments;
use serde_json::Value;
use stoatjunction_net::http::{call, full};

use crate::admin::field_text;
use crate::cli::{CommandError, check_no_arguments_left, take_positional, usage_error};
use crate::output::outln;

/// Timeout of the query.
const HOST_TIMEOUT: Duration = Duration::from_secs(2);
/// Options with the parameters of the query that they set.
const OPTIONS: [(&str, &str); 8] = [
    ("--host", "host"),
    ("--path", "path"),
    ("--organisation", "organisation"),
    ("--service", "service"),
    ("--tokens", "tokens"),
    ("--prompt", "prompt"),
    ("--deadline-ms", "deadline-ms"),
    ("--stream-version", "version"),
];
/// Options that must be given.
const REQUIRED: [&str; 2] = ["--host", "--path"];

/// Asks the host at the metrics address ADDRESS and prints its explanation.
pub async fn run(mut args: Arguments, json: bool) -> Result<(), CommandError> {
    let query = take_query(&mut args)?;
    let addr = take_positional(&mut args, "ADDRESS")?;
    check_no_arguments_left(args)?;
    let explanation = ask(&addr, &query).await?;
    if json {
        outln!("{explanation}");
    } else {
        outln!("{}", render(&explanation).trim_end_matches('\n'));
    }
    Ok(())
}

/// Removes the options from the arguments and returns them as a query.
fn take_query(args: &mut Arguments) -> Result<String, CommandError> {
    let mut query = form_urlencoded::Serializer::new(String::new());
    for (option, parameter) in OPTIONS {
        let value: Option<String> = args.opt_value_from_str(option)?;
        match value {
            Some(value) => {
                query.append_pair(parameter, &value);
            }
            None if REQUIRED.contains(&option) => {
                return Err(usage_error(format!("missing option {option}")));
            }
            None => {}
        }
    }
    Ok(query.finish())
}

async fn ask(addr: &str, query: &str) -> Result<Value, CommandError> {
    let req = hyper::Request::get(format!("/explain-placement?{query}"))
        .header("host", addr)
        .body(full(""))
        .into_diagnostic()?;
    let res = call(addr, req, HOST_TIMEOUT).await;
    let res = res
        .into_diagnostic()
        .wrap_err_with(|| format!("no response from {addr}"))?;
    let answer: Value = serde_json::from_slice(res.body())
        .into_diagnostic()
        .wrap_err_with(|| format!("{addr} does not explain placements"))?;
    match (res.status().as_u16(), &answer["invalid_parameter"]) {
        (200, _) => Ok(answer),
        (400, Value::String(name)) => Err(usage_error(invalid_option(name))),
        (429, _) => Err(miette!("{addr} refuses more queries for the moment").into()),
        (status, _) => Err(miette!("{addr} answers with status {status}").into()),
    }
}

fn invalid_option(parameter: &str) -> String {
    let mut options = OPTIONS.iter();
    let option = options.find(|(_, p)| *p == parameter);
    let name = option.map_or(parameter, |(option, _)| option);
    format!("the host does not accept the value of {name}")
}

/// Returns the explanation as a table and a sentence.
fn render(answer: &Value) -> String {
    let mut out = String::new();
    let placement = &answer["placement"];
    for line in [summary_lines(answer), queue_lines(placement)].concat() {
        out.push_str(&line);
        out.push('\n');
    }
    if let Some(upstreams) = placement["upstreams"].as_array().filter(|u| !u.is_empty()) {
        let _never_fails = writeln!(
            out,
            "\n{:<16} {:<16} {:<10} {:<8} {:>9} {:>9} {:>11} {:>9} {:>7} {:>8}  costs beyond the forecast",
            "upstream",
            "state",
            "dc",
            "version",
            "runs/all",
            "slots/of",
            "forecast_ms",
            "cost_ms",
            "cached",
            "held"
        );
        for upstream in upstreams {
            out.push_str(&upstream_line(upstream));
            out.push('\n');
        }
    }
    if let Some(rest) = placement["unnamed_upstreams"].as_u64().filter(|n| *n > 0) {
        let _never_fails = writeln!(
            out,
            "and {rest} more; all by state: {}",
            pairs(&placement["counts"])
        );
    }
    out.push_str(&format!("\n{}\n", sentence(answer)));
    out
}

fn summary_lines(answer: &Value) -> Vec<String> {
    let route = &answer["route"];
    let mut lines = vec![format!("host           {}", field_text(answer, "host"))];
    if route.is_object() {
        lines.push(format!(
            "route          {} (service {}, kind {}, tier {}, deadline {} ms)",
            field_text(route, "name"),
            field_text(route, "service"),
            field_text(route, "kind"),
            field_text(route, "tier"),
            field_text(route, "deadline_ms")
        ));
    }
    let limit = &answer["rate_limit"];
    if limit.is_object() {
        lines.push(format!(
            "rate limit     {} for {} units of {}",
            field_text(limit, "status"),
            field_text(limit, "units"),
            field_text(limit, "organisation")
        ));
    }
    if let Some(left) = answer["retry_budget"]["retries_left"].as_f64() {
        lines.push(format!(
            "retry budget   {left:.1} retries left at this host"
        ));
    }
    lines.push(format!("ages (ms)      {}", pairs(&answer["ages_ms"])));
    lines
}

fn queue_lines(placement: &Value) -> Vec<String> {
    if !placement.is_object() {
        return Vec::new();
    }
    let mut lines = vec![format!(
        "queue          precedence {}, {} waiting here, {} elsewhere; {} of {} slots free",
        field_text(placement, "precedence"),
        field_text(placement, "waiting"),
        field_text(placement, "waiting_elsewhere"),
        field_text(placement, "free_slots"),
        field_text(placement, "slots")
    )];
    let gate = &placement["gate"];
    if gate.is_object() {
        lines.push(format!(
            "rollout        to {}, phase {}, credit of the route {:.2}",
            field_text(gate, "target"),
            field_text(gate, "phase"),
            gate["credit"].as_f64().unwrap_or(0.0)
        ));
    }
    lines
}

fn upstream_line(upstream: &Value) -> String {
    let number = |name: &str| match upstream[name].as_f64() {
        Some(value) => format!("{value:.1}"),
        None => "-".to_owned(),
    };
    let state = match upstream["ends_after_ms"].as_u64() {
        Some(ms) => format!("{} {ms} ms", field_text(upstream, "state")),
        None => field_text(upstream, "state"),
    };
    let of = |a: &str, b: &str| format!("{}/{}", field_text(upstream, a), field_text(upstream, b));
    format!(
        "{:<16} {:<16} {:<10} {:<8} {:>9} {:>9} {:>11} {:>9} {:>7} {:>8}  {}",
        field_text(upstream, "id"),
        state,
        field_text(upstream, "dc"),
        field_text(upstream, "version"),
        of("own_runs", "runs"),
        of("slots", "listed_slots"),
        number("forecast_ms"),
        number("cost_ms"),
        field_text(upstream, "cached_tokens"),
        field_text(upstream, "held_tokens"),
        pairs(&upstream["penalties_ms"])
    )
    .trim_end()
    .to_owned()
}

/// Formats the members of an object; numbers with fractions get one digit.
fn pairs(object: &Value) -> String {
    let members = object.as_object().into_iter().flatten();
    let text = |value: &Value| match value {
        Value::Number(n) if n.is_f64() => format!("{:.1}", n.as_f64().unwrap_or(0.0)),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    };
    let pairs: Vec<String> = members.map(|(k, v)| format!("{k}={}", text(v))).collect();
    pairs.join(" ")
}

fn sentence(answer: &Value) -> String {
    let decision = &answer["decision"];
    let reason = answer["reason"].as_str().unwrap_or("-");
    let because = explain_reason(reason);
    match decision["action"].as_str() {
        Some("place") => format!(
            "The request would be sent to {} now: {because}.",
            field_text(decision, "upstream")
        ),
        Some("wait") => format!(
            "The request would wait for at most {} ms: {because}.",
            field_text(decision, "until_ms")
        ),
        Some("refuse") => format!(
            "The request would be refused with code {} ({}, status {}){}: {because}.",
            field_text(decision, "code"),
            field_text(decision, "title"),
            field_text(decision, "status"),
            retry_after(&decision["retry_after_ms"])
        ),
        _ => "The host did not say what it would do.".to_owned(),
    }
}

fn retry_after(range: &Value) -> String {
    match (range[0].as_u64(), range[1].as_u64()) {
        (Some(least), Some(most)) if least == most => format!(" and Retry-After {least} ms"),
        (Some(least), Some(most)) => format!(" and Retry-After from {least} to {most} ms"),
        _ => String::new(),
    }
}

fn explain_reason(reason: &str) -> &str {
    match reason {
        "lowest_cost" => "it has a slot and costs the least",
        "beyond_learned" => "the request is urgent and gets a slot beyond the learned capacity",
        "behind_others" => "requests at least as urgent wait already",
        "no_free_slot" => "no upstream that may run it has a free slot",
        "reserved" => "the free slots are reserved for more urgent requests",
        "lost_draw" => {
            "requests wait at other hosts too, and this one lost the draw for the free slots"
        }
        "no_room" => "it fits in the memory of no upstream",
        "no_credit" => "the rollout has no credit for the version that began its stream",
        "limited" => "limits or pauses of the upstreams keep it back",
        "no_upstream" => "every upstream is excluded, for the reason in its line",
        "no-route" => "no route has this host and path",
        "unknown-key" => "the route requires an organisation",
        "over-limit" => "the rate limit of the organisation is used up",
        "version-gone" => "no upstream of the version that began its stream is left",
        other => other,
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;
    use yare::parameterized;

    use super::*;

    #[parameterized(
        placed = { json!({"action": "place", "upstream": "u1"}), "lowest_cost",
            "The request would be sent to u1 now: it has a slot and costs the least." },
        waits = { json!({"action": "wait", "until_ms": 300}), "no_free_slot",
            "The request would wait for at most 300 ms: no upstream that may run it has a free slot." },
        refused = { json!({"action": "refuse", "code": 2001, "title": "overloaded", "status": 503, "retry_after_ms": [100, 200]}), "no_upstream",
            "The request would be refused with code 2001 (overloaded, status 503) and Retry-After from 100 to 200 ms: every upstream is excluded, for the reason in its line." },
    )]
    fn the_decision_is_a_sentence(decision: Value, reason: &str, expected: &str) {
        let answer = json!({"decision": decision, "reason": reason});

        assert_eq!(sentence(&answer), expected);
    }

    /// Guards against a table without the time that an operator waits for.
    #[test]
    fn an_excluded_upstream_has_a_line_with_its_reason() {
        let upstream =
            json!({"id": "u0", "state": "paused", "ends_after_ms": 900, "cost_ms": null});
        let answer = json!({"placement": {"upstreams": [upstream], "unnamed_upstreams": 3, "counts": {"paused": 4}}});

        let text = render(&answer);

        assert!(text.contains("paused 900 ms"), "{text}");
        assert!(
            text.contains("and 3 more; all by state: paused=4"),
            "{text}"
        );
    }

    #[test]
    fn a_query_needs_a_host_and_a_path() {
        let mut args = Arguments::from_vec(vec!["--host".into(), "a b".into()]);

        let result = take_query(&mut args);

        assert!(matches!(result, Err(CommandError::Usage(m)) if m.contains("--path")));
    }
}
