//! The entry daemon: one process per host that accepts callers' requests and forwards them to
//! upstreams by route.
//!
//! All tasks run on one thread and share the [`state`]; [`stoatjunction_core::entry`] makes the
//! decisions.

mod admission;
mod attempt;
mod body;
mod buffered;
mod caller_body;
mod capacity_reports;
mod catch_up;
pub mod clock;
mod connection_pool;
mod crash;
mod crash_probes;
mod crash_reports;
mod crash_watch;
mod crash_writer;
pub mod daemon;
pub mod event_filter;
mod explain_placement;
mod explain_query;
mod followers;
mod forward;
mod gossip;
pub mod header_names;
mod heartbeat;
mod held_body;
mod host_message;
mod host_protocols;
mod ingress;
mod introduction;
mod limit_reports;
mod list_doubt;
mod metrics;
mod notice_reports;
mod placement;
mod pressure;
mod protocol;
mod read_limit;
mod refusal;
mod relay;
mod rendezvous;
mod rollout_reports;
mod rollout_runs;
mod rollout_writer;
mod rollouts;
pub mod settings;
mod snapshot;
mod sockets;
mod start_reports;
mod start_trace;
pub mod state;
mod statements;
mod stopping;
pub mod store_watch;
mod stored_origins;
mod stream;
mod stream_buffer;
mod stream_origins;
mod trial_protocol;
mod tunnel_server;
mod tunnel_stream;
mod tunnels;
mod upstream_connections;
mod upstream_io;
mod write_watch;
