//! Commands about claims whose outcome is not known.

use miette::miette;
use pico_args::Arguments;
use serde_json::json;
use stoatjunction_core::claim::{CLOCK_SKEW_MS, Claim, ClaimState};
use stoatjunction_net::clock::wall_ms;
use stoatjunction_net::platform::{Object, Precondition};

use crate::cli::{Failure, done, free, usage};
use crate::config::Config;

/// Runs `claims ...`.
pub async fn run(mut args: Arguments, cfg: &Config, json: bool) -> Result<(), Failure> {
    match args.subcommand()?.as_deref() {
        Some("unknown") => {
            done(args)?;
            Ok(list(cfg, json).await?)
        }
        Some("resolve") => {
            let object = free(&mut args, "OBJECT")?;
            let state = match free(&mut args, "ran|not_run")?.as_str() {
                "ran" => ClaimState::Done { answer: None },
                "not_run" => ClaimState::Released,
                other => return Err(usage(format!("`{other}` is neither ran nor not_run"))),
            };
            done(args)?;
            Ok(resolve(cfg, &object, state).await?)
        }
        _ => Err(usage("`claims unknown` or `claims resolve` is needed")),
    }
}

/// A claim is unknown when its holder said so, or held it and is past its time.
fn is_unknown(claim: &Claim) -> bool {
    match claim.state {
        ClaimState::Unknown => true,
        ClaimState::Running => wall_ms() > claim.holds_until_ms + CLOCK_SKEW_MS,
        ClaimState::Released | ClaimState::Done { .. } => false,
    }
}

async fn list(cfg: &Config, json: bool) -> miette::Result<()> {
    let objects = cfg
        .platform()
        .list("claim/")
        .await
        .map_err(|e| miette!("{e}"))?;
    for Object { key, value, .. } in objects {
        let Ok(claim) = serde_json::from_str::<Claim>(&value) else {
            continue;
        };
        if !is_unknown(&claim) {
            continue;
        }
        if json {
            println!("{}", json!({"object": key, "claim": claim}));
        } else {
            println!(
                "{key} held by {} until {}",
                claim.host, claim.holds_until_ms
            );
        }
    }
    Ok(())
}

async fn resolve(cfg: &Config, object: &str, state: ClaimState) -> miette::Result<()> {
    let platform = cfg.platform();
    let found = platform
        .get(object)
        .await
        .map_err(|e| miette!("{object}: {e}"))?;
    let claim: Claim = serde_json::from_str(&found.value).map_err(|e| miette!("{object}: {e}"))?;
    if !is_unknown(&claim) {
        return Err(miette!(
            "{object}: its outcome is known or its holder may still run it"
        ));
    }
    let value = serde_json::to_string(&Claim { state, ..claim }).map_err(|e| miette!("{e}"))?;
    let expect = Precondition::Version(found.version);
    platform
        .put(object, &value, expect)
        .await
        .map_err(|e| miette!("{object}: {e}"))?;
    println!("{object}: resolved");
    Ok(())
}
