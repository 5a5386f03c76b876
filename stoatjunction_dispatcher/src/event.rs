//! Events that the event loop of a dispatcher handles.

use stoatjunction_core::id::GatewayId;
use stoatjunction_core::membership::Member;
use stoatjunction_core::shard::LoadReport;
use stoatjunction_core::time::Time;
use stoatjunction_net::bundle::SignedBundle;
use stoatjunction_net::link::LinkTx;
use stoatjunction_net::message::{Notice, Request};
use stoatjunction_net::platform::ListedHost;

/// Identifier of an accepted link, unique within the process.
pub(crate) type LinkId = u64;

/// An event for the event loop.
#[derive(Debug)]
pub(crate) enum Event {
    /// A gateway opened a link.
    GatewayConnected {
        link: LinkId,
        id: GatewayId,
        host: String,
        tx: LinkTx<Notice>,
    },
    /// Another dispatcher opened a link.
    PeerAccepted {
        link: LinkId,
        member: Member,
        tx: LinkTx<Notice>,
    },
    /// A message arrived on an accepted link.
    Request { link: LinkId, request: Request },
    /// An accepted link closed.
    AcceptedLinkClosed { link: LinkId },
    /// A link that this dispatcher opened is established.
    PeerConnected { member: Member, tx: LinkTx<Request> },
    /// A message arrived on a link that this dispatcher opened.
    PeerNotice { host: String, notice: Notice },
    /// A link that this dispatcher opened closed.
    PeerDisconnected { host: String },
    /// An upstream reported its load.
    LoadReport {
        upstream: String,
        report: LoadReport,
    },
    /// An upstream sent no valid load report in time.
    UpstreamDown { upstream: String },
    /// An upstream's cache evicted prefixes.
    CacheEvents {
        upstream: String,
        evicted: Vec<u32>,
        /// If events were lost, the time of the previous read: older cache entries are unknown.
        gap_before: Option<Time>,
    },
    /// The platform's host list was read.
    HostList(Vec<ListedHost>),
    /// The platform reports that a bundle was accepted.
    BundleAccepted { number: u64 },
    /// A bundle was fetched from the platform.
    BundleFetched(Box<SignedBundle>),
}
