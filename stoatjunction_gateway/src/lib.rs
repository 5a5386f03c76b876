//! The gateway: accepts callers' requests, owns each of them until its single final answer, and
//! connects to the upstreams itself.

mod answer;
mod caller_request;
mod claims;
mod context;
mod daemon;
mod dispatcher_client;
mod grant_search;
mod links;
mod refusal;
mod reply;
mod run;
mod serve;
mod status;

pub use self::daemon::{Gateway, start};
