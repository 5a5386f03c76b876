//! Stand-ins for the systems around stoatjunction, for tests, demonstrations and benchmarks:
//! engines, plain services, scripted upstreams, the Object API, the metadata store, the host list,
//! and a fault-injecting TCP proxy.

mod crash;
mod defect;
pub mod drawn_stream;
pub mod early_upstream;
mod endless;
pub mod endless_store;
pub mod engine;
pub mod faulty_reply;
pub mod host_list;
pub mod link;
pub mod listener;
pub mod metadata_store;
pub mod object_api;
pub mod plain;
pub mod proxy;
mod reply;
mod reserved_port;
pub mod response_fault;
pub mod scripted_upstream;
pub mod stream_shape;
mod uri_text;
