//! The configuration bundle: its model, parser, signatures, and storage in the platform.

mod model;
mod parse;
mod parts;
mod record;
mod store;

pub use self::model::{
    Bundle, Credential, Kind, Limits, Organisation, Protocol, Service, Upstream,
};
pub use self::parse::parse;
pub use self::parts::{join_parts, sha256_hex, split_parts};
pub use self::record::{
    OperatorKeys, Record, RecordError, RecordState, SignedAction, SignedBundle, content_hash, sign,
    verify,
};
pub use self::store::{ACCEPTED_KEY, Accepted, BundleStore, StoreError};
