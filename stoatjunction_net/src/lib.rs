//! Code shared by the processes of stoatjunction: messages and links between them, platform clients,
//! the configuration bundle, settings, logging, events and metrics.

pub mod admin;
pub mod bundle;
pub mod checked_reads;
pub mod clock;
pub mod daemon;
pub mod event;
pub mod frame_limit;
pub mod http;
pub mod ini;
pub mod link;
pub mod listening;
pub mod log_writer;
pub mod logging;
pub mod message;
pub mod metrics;
pub mod occurrences;
pub mod open_files;
pub mod outgoing;
pub mod platform;
pub mod prelude;
pub mod read_limit;
pub mod settings;
pub mod socket_errors;
pub mod stop;
pub mod supervised;
pub mod uri_text;
