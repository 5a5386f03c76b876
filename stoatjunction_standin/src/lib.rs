//! Small stand-ins of the systems around stoatjunction, for tests, demonstrations and measuring:
//! engines, plain services, the Object API, the host list, and a proxy that injects faults.

pub mod engine;
pub mod host_list;
pub mod metadata_store;
pub mod object_api;
pub mod plain;
pub mod proxy;
mod reply;
pub mod scripted_upstream;
