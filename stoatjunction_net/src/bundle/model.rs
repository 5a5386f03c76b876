//! Model of the configuration bundle.

use indexmap::IndexMap;
use sha2::{Digest, Sha256};
use stoatjunction_core::hash::hash_parts;
use stoatjunction_core::id::{ShardId, Tier};
use stoatjunction_core::shard::UpstreamSpec;
use stoatjunction_core::time::Span;

/// A validated bundle.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Bundle {
    /// Number of the bundle; 0 if it is not stored in the platform.
    pub number: u64,
    /// Limits that apply to all requests.
    pub limits: Limits,
    /// Rank of each tier by name.
    pub tiers: IndexMap<String, Tier>,
    /// Services by name.
    pub services: IndexMap<String, Service>,
    /// Kinds of request by service and name.
    pub kinds: IndexMap<(String, String), Kind>,
    /// Upstreams by name.
    pub upstreams: IndexMap<String, Upstream>,
    /// Organisations by name.
    pub organisations: IndexMap<String, Organisation>,
    /// Credentials by the SHA-256 of their secret, in hexadecimal.
    pub credentials: IndexMap<String, Credential>,
}

/// Limits that apply to all requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body: usize,
    /// Largest answer that is stored with a claim, in bytes.
    pub max_kept_answer: usize,
    /// Time after which a finished claim is deleted.
    pub claim_ttl: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            max_body: 1_048_576,
            max_kept_answer: 65_536,
            claim_ttl: Span::from_millis(86_400_000),
        }
    }
}

/// A service: a set of upstreams that serve the same kinds, at different speeds.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Service {
    /// Largest number of upstreams in a shard.
    pub shard_size: usize,
}

/// A kind of request.
#[derive(Clone, Debug, PartialEq)]
pub struct Kind {
    /// Whether a request may be retried; otherwise it takes effect at most once.
    pub idempotent: bool,
    /// Whether a running request may be cancelled in favour of a higher tier.
    pub cancellable: bool,
    /// Deadline of a request whose caller sets none.
    pub deadline: Span,
    /// Longest deadline that a caller may set.
    pub max_deadline: Span,
    /// Answer length in tokens assumed until lengths of this kind have been observed.
    pub output_hint: u32,
    /// Upstream roles that may serve the kind; empty for all.
    pub roles: Vec<String>,
}

/// Response protocol of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// Resumable stream of chunks, each with the request identifier and an offset.
    #[default]
    Engine,
    /// A single HTTP response.
    Plain,
}

/// An upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// Service it belongs to.
    pub service: String,
    /// Data centre where it runs.
    pub dc: String,
    /// Address, `ip:port`.
    pub addr: String,
    /// Response protocol.
    pub protocol: Protocol,
    /// Whether it rejects requests that carry an outdated fencing token.
    pub checks_fencing: bool,
    /// Properties that the scheduler uses.
    pub spec: UpstreamSpec,
}

/// An organisation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Organisation {
    /// Fair-share weight relative to the other organisations in a tier.
    pub share: u32,
}

/// A credential of an organisation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Credential {
    /// Name, for logs.
    pub name: String,
    /// Organisation it belongs to.
    pub organisation: String,
    /// Tier of requests made with it.
    pub tier: Tier,
}

impl Bundle {
    /// Returns the credential with the secret `secret`.
    pub fn credential(&self, secret: &str) -> Option<&Credential> {
        let hash = hex::encode(Sha256::digest(secret.as_bytes()));
        self.credentials.get(&hash)
    }

    /// Returns the kind `name` of `service`.
    pub fn kind(&self, service: &str, name: &str) -> Option<&Kind> {
        self.kinds.get(&(service.to_owned(), name.to_owned()))
    }

    /// Returns all shards of `service`, in all data centres.
    pub fn shards_of(&self, service: &str) -> Vec<ShardId> {
        let mut counts: IndexMap<&str, usize> = IndexMap::new();
        for u in self.upstreams.values().filter(|u| u.service == service) {
            *counts.entry(&u.dc).or_default() += 1;
        }
        let size = self
            .services
            .get(service)
            .map_or(1, |s| s.shard_size.max(1));
        let shards = counts.iter().flat_map(|(dc, count)| {
            (0..count.div_ceil(size)).map(|index| ShardId {
                dc: (*dc).to_owned(),
                service: service.to_owned(),
                index: index as u16,
            })
        });
        shards.collect()
    }

    /// Returns the upstreams of `shard`. The upstreams of a service in a data centre are distributed
    /// over its shards by rendezvous hashing, so that adding or removing one moves few others.
    pub fn upstreams_of(&self, shard: &ShardId) -> Vec<(&str, &Upstream)> {
        let same_service_and_dc = |u: &&Upstream| u.service == shard.service && u.dc == shard.dc;
        let size = self
            .services
            .get(&shard.service)
            .map_or(1, |s| s.shard_size.max(1));
        let count = self
            .upstreams
            .values()
            .filter(same_service_and_dc)
            .count()
            .div_ceil(size);
        self.upstreams
            .iter()
            .filter(|(_, u)| same_service_and_dc(u))
            .filter(|(name, _)| shard_index(name, count) == usize::from(shard.index))
            .map(|(name, u)| (name.as_str(), u))
            .collect()
    }
}

/// Index of the shard, out of `count`, to which the upstream `name` belongs (rendezvous hashing).
fn shard_index(name: &str, count: usize) -> usize {
    let weight = |index: &usize| hash_parts(&[name.as_bytes(), &index.to_be_bytes()]);
    (0..count).max_by_key(weight).unwrap_or(0)
}
