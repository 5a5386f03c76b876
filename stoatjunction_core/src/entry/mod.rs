//! Decisions of an entry host, which forwards requests by routes: which service a request goes to,
//! whether it is within its organisation's limit, when and on which upstream it runs, and when it
//! is refused.
//!
//! Each host decides on its own, from the requests that it runs and the last reports of the others.

pub mod assessment;
pub mod call_pacing;
pub mod caller_limit;
pub mod capacity;
pub mod capacity_reports;
pub mod config;
pub mod crash;
mod crash_batches;
pub mod crash_causes;
pub mod crash_explanation;
pub mod crash_probes;
pub mod decaying_rate;
pub mod explanation;
pub mod file_shares;
pub mod first_list;
pub mod follower_election;
pub mod health;
pub mod latency;
pub mod left_runs;
pub mod list_doubt;
pub mod list_update;
pub mod memory_budget;
mod pace;
mod peer_reports;
pub mod placement;
pub mod placement_request;

pub mod origin_log;
pub mod pool;
pub mod pool_owner;
mod pool_rollout;
mod pool_versions;
pub mod pressure;
pub mod prompt_cache;
pub mod propagation;
pub mod query_limit;
pub mod queue;
pub mod rate_limiter;
pub mod reachability;
pub mod rendezvous;
pub mod report_pacing;
pub mod report_receivers;
pub mod retry_budget;
pub mod rollout;
mod room;
pub mod route_table;
pub mod shutdown;
pub mod slot_allocation;
mod slot_lending;
pub mod snapshot_fetches;
pub mod snapshot_transfers;
pub mod socket_buffers;
pub mod software_version;
pub mod start_reports;
pub mod start_trace;
pub mod stream_origins;
pub mod upstream;
pub mod upstream_limits;
pub mod upstream_list;
pub mod upstream_notices;
