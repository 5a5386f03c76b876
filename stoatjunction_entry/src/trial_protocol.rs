//! What a host sends that pretends to be of a later build, so that tests play a roll-out with one program: fields in the
//! extension, and a message, that this build does not have.

use std::net::IpAddr;

use minicbor::Encode;

use crate::host_protocols;
use crate::protocol::Extension;
use crate::state::Context;

/// Tag of the message, beyond those of the messages that there are.
const MESSAGE_TAG: u8 = 200;
/// The message.
const MESSAGE: [u8; 4] = [MESSAGE_TAG, 1, 2, 3];

/// Fields that are encoded in one map with those of an extension.
#[derive(Debug, Encode)]
#[cbor(map)]
struct FurtherFields {
    #[n(200)]
    number: u64,
    #[n(201)]
    texts: Vec<String>,
    #[n(202)]
    nested: Extension,
}

/// Appends the further fields to the bytes of an extension, which begin at `start` with the head of their map.
pub(crate) fn append_fields(bytes: &mut Vec<u8>, start: usize) {
    let fields = FurtherFields {
        number: u64::MAX,
        texts: vec!["of a later build".to_owned(); 2],
        nested: Extension::default(),
    };
    let Ok(further) = minicbor::to_vec(&fields) else {
        return;
    };
    // Both maps have less than 24 fields, so that the head of each is one byte with their number.
    let count = further[0] & 0x1f;
    bytes[start] += count;
    bytes.extend_from_slice(&further[1..]);
}

/// Returns whether these are the bytes of the message.
pub(crate) fn is_message(cx: &Context, bytes: &[u8]) -> bool {
    cx.settings.trial_protocol.is_some() && bytes.first() == Some(&MESSAGE_TAG)
}

/// Returns the message and the hosts that read it, if this host pretends to be of a later build.
pub(crate) fn message(cx: &Context) -> Option<(&'static [u8], Vec<IpAddr>)> {
    let version = cx.settings.trial_protocol?;
    let state = cx.state.borrow();
    let peers: Vec<IpAddr> = state.peers.keys().copied().collect();
    Some((&MESSAGE, host_protocols::readers(&state, version, &peers)))
}
