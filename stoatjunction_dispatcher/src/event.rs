//! Everything that happens to a dispatcher, handled in one place.

use stoatjunction_core::id::GatewayId;
use stoatjunction_core::membership::Member;
use stoatjunction_core::shard::LoadReport;
use stoatjunction_core::time::Time;
use stoatjunction_net::bundle::SignedBundle;
use stoatjunction_net::link::LinkTx;
use stoatjunction_net::message::{Notice, Request};
use stoatjunction_net::platform::ListedHost;

/// Number of an accepted link, unique within the process.
pub(crate) type LinkId = u64;

/// One event.
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
    /// A message came over an accepted link.
    Request { link: LinkId, request: Request },
    /// An accepted link is gone.
    AcceptedLinkClosed { link: LinkId },
    /// A link that this dispatcher opened is up.
    PeerConnected { member: Member, tx: LinkTx<Request> },
    /// A message came back over a link that this dispatcher opened.
    PeerNotice { host: String, notice: Notice },
    /// A link that this dispatcher opened is gone.
    PeerDisconnected { host: String },
    /// An upstream reported its load.
    LoadReport {
        upstream: String,
        report: LoadReport,
    },
    /// An upstream cannot be reached.
    UpstreamDown { upstream: String },
    /// An upstream's cache evicted prefixes.
    CacheEvents {
        upstream: String,
        evicted: Vec<u32>,
        gap_before: Option<Time>,
    },
    /// The platform's host list was read.
    HostList(Vec<ListedHost>),
    /// The platform says that a bundle was accepted.
    BundleAccepted { number: u64 },
    /// A bundle was fetched from the platform or a peer.
    BundleFetched(Box<SignedBundle>),
}
