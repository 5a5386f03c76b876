//! Messages between hosts over UDP, and how they are encoded.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use bincode::error::{DecodeError, EncodeError};
use serde::{Deserialize, Serialize};
use stoatjunction_core::entry::crash::CrashReport;

use crate::heartbeat::Heartbeat;
use crate::introduction::Introduction;
use crate::limit_reports::LimitsMessage;
use crate::notice_reports::NoticesMessage;
use crate::protocol::{Extension, FIRST};
use crate::relay::DataCentreSummary;
use crate::rollout_reports::RolloutReport;
use crate::stream_origins::{BegunStreams, OriginAnswer, OriginQuery};

#[cfg(test)]
mod cost;
#[cfg(test)]
mod tests;

/// Size of the receive buffer for a datagram.
pub(crate) const MAX_DATAGRAM_BYTES: usize = 60_000;
/// Memory that the decoder may claim for one datagram. Lengths in a damaged one would otherwise ask for any amount.
const MAX_DECODED_BYTES: usize = 1 << 20;

/// First byte of a heartbeat, in all versions of the protocol.
const HEARTBEAT_TAG: u8 = 0;

const CONFIG: Configuration<LittleEndian, Varint, Limit<MAX_DECODED_BYTES>> =
    bincode::config::standard().with_limit::<MAX_DECODED_BYTES>();

/// A message between hosts. Encoded by position: the order of the variants and of their fields is the first protocol and
/// does not change. What is new goes into the [`Extension`], or into variants that only hosts get that read them.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum HostMessage {
    Own(Box<Heartbeat>),
    DataCentre(DataCentreSummary),
    Crashes(Vec<CrashReport>),
    Limits(LimitsMessage),
    Notices(NoticesMessage),
    /// Streams that began in another data centre.
    BegunStreams(BegunStreams),
    OriginQuery(OriginQuery),
    OriginAnswer(OriginAnswer),
    /// An order for a rollout with its evidence.
    Rollout(Box<RolloutReport>),
    /// Hosts by data centre, to a host that has just started.
    Introduction(Introduction),
}

impl HostMessage {
    /// Returns the version of the protocol that brought the message. It is sent to hosts that read this version.
    pub(crate) fn since(&self) -> u16 {
        match self {
            HostMessage::Own(_)
            | HostMessage::DataCentre(_)
            | HostMessage::Crashes(_)
            | HostMessage::Limits(_)
            | HostMessage::Notices(_)
            | HostMessage::BegunStreams(_)
            | HostMessage::OriginQuery(_)
            | HostMessage::OriginAnswer(_)
            | HostMessage::Rollout(_)
            | HostMessage::Introduction(_) => FIRST,
        }
    }

    /// Returns whether these are the bytes of a heartbeat, also of one that cannot be decoded.
    pub(crate) fn is_heartbeat(bytes: &[u8]) -> bool {
        bytes.first() == Some(&HEARTBEAT_TAG)
    }

    /// Encodes the message and what follows it.
    ///
    /// # Errors
    ///
    /// An error if a part of the message cannot be encoded.
    pub(crate) fn encode(&self, extension: &Extension) -> Result<Vec<u8>, EncodeError> {
        let mut bytes = bincode::serde::encode_to_vec(self, CONFIG)?;
        extension.append_to(&mut bytes);
        Ok(bytes)
    }

    /// Decodes a datagram. Without a valid extension the sender is taken to speak the first protocol.
    ///
    /// # Errors
    ///
    /// An error if the message itself cannot be decoded.
    pub(crate) fn decode(bytes: &[u8]) -> Result<(HostMessage, Extension), DecodeError> {
        let (message, len) = bincode::serde::decode_from_slice(bytes, CONFIG)?;
        let extension = bytes.get(len..).and_then(Extension::read);
        Ok((message, extension.unwrap_or_default()))
    }
}
