//! The `claims` commands, for claims whose outcome is unknown.

use miette::miette;
use pico_args::Arguments;
use serde_json::json;
use stoatjunction_core::claim::{CLOCK_SKEW_MS, Claim, ClaimState};
use stoatjunction_net::clock::wall_ms;
use stoatjunction_net::platform::{Object, Precondition};

use crate::cli::{CommandError, check_no_arguments_left, take_positional, usage_error};
use crate::config::Config;
use crate::output::outln;

/// Runs a `claims` command.
pub async fn run(mut args: Arguments, cfg: &Config, json: bool) -> Result<(), CommandError> {
    match args.subcommand()?.as_deref() {
        Some("unknown") => {
            check_no_arguments_left(args)?;
            Ok(list_unknown(cfg, json).await?)
        }
        Some("resolve") => {
            let object = take_positional(&mut args, "OBJECT")?;
            let state = match take_positional(&mut args, "ran|not_run")?.as_str() {
                "ran" => ClaimState::Done { answer: None },
                "not_run" => ClaimState::Released,
                other => return Err(usage_error(format!("`{other}` is not `ran` or `not_run`"))),
            };
            check_no_arguments_left(args)?;
            Ok(resolve_claim(cfg, &object, state).await?)
        }
        _ => Err(usage_error(
            "missing or unknown claims command; expected `unknown` or `resolve`",
        )),
    }
}

/// Returns true if the claim was recorded as unknown, or if it is still marked as running after its
/// hold has expired by more than the allowed clock skew.
fn has_unknown_outcome(claim: &Claim) -> bool {
    match claim.state {
        ClaimState::Unknown => true,
        ClaimState::Running => wall_ms() > claim.holds_until_ms + CLOCK_SKEW_MS,
        ClaimState::Released | ClaimState::Done { .. } => false,
    }
}

async fn list_unknown(cfg: &Config, json: bool) -> miette::Result<()> {
    let objects = cfg
        .object_api_client()
        .list("claim/")
        .await
        .map_err(|e| miette!("{e}"))?;
    for Object { key, value, .. } in objects {
        let Ok(claim) = serde_json::from_str::<Claim>(&value) else {
            continue;
        };
        if !has_unknown_outcome(&claim) {
            continue;
        }
        if json {
            outln!("{}", json!({"object": key, "claim": claim}));
        } else {
            outln!(
                "{key} held by {} until {}",
                claim.host,
                claim.holds_until_ms
            );
        }
    }
    Ok(())
}

async fn resolve_claim(cfg: &Config, object: &str, state: ClaimState) -> miette::Result<()> {
    let platform = cfg.object_api_client();
    let found = platform
        .get(object)
        .await
        .map_err(|e| miette!("{object}: {e}"))?;
    let claim: Claim = serde_json::from_str(&found.value).map_err(|e| miette!("{object}: {e}"))?;
    if !has_unknown_outcome(&claim) {
        return Err(miette!(
            "{object}: the outcome is known, or the holder may still be running the request"
        ));
    }
    let value = serde_json::to_string(&Claim { state, ..claim }).map_err(|e| miette!("{e}"))?;
    let expect = Precondition::Version(found.version);
    platform
        .put(object, &value, expect)
        .await
        .map_err(|e| miette!("{object}: {e}"))?;
    outln!("{object}: resolved");
    Ok(())
}
