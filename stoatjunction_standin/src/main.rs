//! Runs one of the stand-ins as a process.

use std::process::ExitCode;
use std::time::Duration;

use pico_args::Arguments;
use stoatjunction_standin::engine::{EngineServer, EngineSettings};
use stoatjunction_standin::host_list::HostListServer;
use stoatjunction_standin::object_api::{ObjectApiServer, ObjectApiSettings};
use stoatjunction_standin::plain::PlainServer;
use stoatjunction_standin::proxy::Proxy;

const HELP: &str = "\
Stand-ins for the systems around stoatjunction, for trying it out.

Usage: stoatjunction-standin ROLE --listen IP:PORT [OPTIONS]

Roles and their options:
  engine       --prefill-rate N  --decode-rate N  --cache-tokens N
  plain
  object-api   --writes-per-s N  --reads-per-s N
  host-list    --lag-ms N
  proxy        --target IP:PORT

Each accepts POST /v1/control?..., see docs/OPERATIONS.md. It runs until it is killed.

Exit codes: 1 failed, 2 wrong usage.";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains("--help") {
        println!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if args.contains("--version") {
        println!("stoatjunction-standin {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let Ok(runtime) = runtime else {
        return ExitCode::FAILURE;
    };
    match runtime.block_on(run(args)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}\n\n{HELP}");
            ExitCode::from(2)
        }
    }
}

async fn run(mut args: Arguments) -> Result<(), String> {
    let role = args
        .subcommand()
        .map_err(to_message)?
        .ok_or("missing role")?;
    let listen: String = args.value_from_str("--listen").map_err(to_message)?;
    match role.as_str() {
        "engine" => {
            let base = EngineSettings::default();
            let cfg = EngineSettings {
                prefill_rate: parse_option(&mut args, "--prefill-rate", base.prefill_rate)?,
                decode_rate: parse_option(&mut args, "--decode-rate", base.decode_rate)?,
                cache_tokens: parse_option(&mut args, "--cache-tokens", base.cache_tokens)?,
                ..base
            };
            let server = EngineServer::start(&listen, cfg)
                .await
                .map_err(to_message)?;
            run_forever(&role, server.addr, server).await
        }
        "plain" => {
            let server = PlainServer::start(&listen).await.map_err(to_message)?;
            run_forever(&role, server.addr, server).await
        }
        "object-api" => {
            let base = ObjectApiSettings::default();
            let cfg = ObjectApiSettings {
                writes_per_s: parse_option(&mut args, "--writes-per-s", base.writes_per_s)?,
                reads_per_s: parse_option(&mut args, "--reads-per-s", base.reads_per_s)?,
            };
            let server = ObjectApiServer::start(&listen, cfg)
                .await
                .map_err(to_message)?;
            run_forever(&role, server.addr, server).await
        }
        "host-list" => {
            let lag = Duration::from_millis(parse_option(&mut args, "--lag-ms", 1_000)?);
            let server = HostListServer::start(&listen, lag)
                .await
                .map_err(to_message)?;
            run_forever(&role, server.addr, server).await
        }
        "proxy" => {
            let target: String = args.value_from_str("--target").map_err(to_message)?;
            let server = Proxy::start(&listen, &target).await.map_err(to_message)?;
            run_forever(&role, server.addr, server).await
        }
        other => Err(format!("unknown role `{other}`")),
    }
}

async fn run_forever<S>(role: &str, addr: std::net::SocketAddr, _server: S) -> Result<(), String> {
    println!("{role} listening on {addr}");
    std::future::pending().await
}

fn parse_option<T>(args: &mut Arguments, name: &'static str, default: T) -> Result<T, String>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    args.opt_value_from_str(name)
        .map(|v| v.unwrap_or(default))
        .map_err(to_message)
}

fn to_message<E>(error: E) -> String
where
    E: std::fmt::Display,
{
    error.to_string()
}
