//! Versions of the protocol between hosts, and the extension that follows each message.
//!
//! A message itself is encoded by position. That part is the first protocol and never changes: builds of the first
//! protocol read it and ignore the bytes behind it. Later builds put an extension there: a magic byte and a map of
//! numbered fields in CBOR (RFC 8949). A reader skips the fields that it does not know, and says below what it takes a
//! missing one to mean.

use minicbor::{Decode, Encode};

use crate::trial_protocol;

/// Version of the protocol of builds that send no extension.
pub(crate) const FIRST: u16 = 1;
/// Version of the protocol of this build.
pub(crate) const CURRENT: u16 = 2;

/// First byte of an extension.
const MAGIC: u8 = 0xa5;

/// What a host speaks, and the versions of the protocol that it reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub(crate) struct HostProtocol {
    #[n(0)]
    pub(crate) spoken: u16,
    #[n(1)]
    pub(crate) oldest_read: u16,
    #[n(2)]
    pub(crate) newest_read: u16,
}

impl HostProtocol {
    /// Returns the protocol of a build that speaks `version` and reads all versions up to it.
    pub(crate) fn up_to(version: u16) -> HostProtocol {
        HostProtocol {
            spoken: version,
            oldest_read: FIRST,
            newest_read: version,
        }
    }

    /// Returns whether the host reads messages that this version of the protocol brought.
    pub(crate) fn reads(self, version: u16) -> bool {
        (self.oldest_read..=self.newest_read).contains(&version)
    }
}

impl Default for HostProtocol {
    fn default() -> HostProtocol {
        HostProtocol::up_to(FIRST)
    }
}

/// What follows a message. Numbers of fields are never used again for another meaning.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
pub(crate) struct Extension {
    /// Version that the sender speaks; missing: the first.
    #[n(0)]
    spoken: Option<u16>,
    /// Oldest version that it reads; missing: the first.
    #[n(1)]
    oldest_read: Option<u16>,
    /// Newest version that it reads; missing: the one that it speaks.
    #[n(2)]
    newest_read: Option<u16>,
    /// In the summary of a data centre, the hosts with another protocol than the sender; missing: none.
    #[n(3)]
    other_members: Option<Vec<MembersOfProtocol>>,
    /// In the summary of a data centre, upstreams that were down lately; missing: none.
    #[n(4)]
    down: Option<Vec<DownUpstream>>,
    /// Number of the sender's fleet; missing: not known.
    #[n(5)]
    fleet: Option<u64>,
}

/// An upstream that was down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
struct DownUpstream {
    #[n(0)]
    number: u64,
    /// Milliseconds since then.
    #[n(1)]
    age: u64,
}

/// Hosts in the summary of a data centre that have a protocol.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(map)]
struct MembersOfProtocol {
    #[n(0)]
    protocol: HostProtocol,
    /// Places of the hosts in the summary.
    #[n(1)]
    indexes: Vec<u32>,
}

impl Extension {
    /// Returns the extension of a sender with this protocol.
    pub(crate) fn new(own: HostProtocol) -> Extension {
        Extension {
            spoken: Some(own.spoken),
            oldest_read: (own.oldest_read != FIRST).then_some(own.oldest_read),
            newest_read: (own.newest_read != own.spoken).then_some(own.newest_read),
            other_members: None,
            down: None,
            fleet: None,
        }
    }

    /// Returns the extension of a summary, whose hosts have these protocols.
    pub(crate) fn of_summary(own: HostProtocol, members: &[HostProtocol]) -> Extension {
        let mut others: Vec<MembersOfProtocol> = Vec::new();
        for (index, protocol) in (0..).zip(members).filter(|(_, p)| **p != own) {
            match others.iter_mut().find(|o| o.protocol == *protocol) {
                Some(group) => group.indexes.push(index),
                None => others.push(MembersOfProtocol {
                    protocol: *protocol,
                    indexes: vec![index],
                }),
            }
        }
        Extension {
            other_members: (!others.is_empty()).then_some(others),
            ..Extension::new(own)
        }
    }

    /// Adds the number of the sender's fleet.
    pub(crate) fn of_fleet(self, fleet: Option<u64>) -> Extension {
        Extension { fleet, ..self }
    }

    /// Returns this number.
    pub(crate) fn fleet(&self) -> Option<u64> {
        self.fleet
    }

    /// Adds the upstreams that were down lately, by number, with the milliseconds since then.
    pub(crate) fn set_down(&mut self, down: &[(u64, u64)]) {
        let down: Vec<DownUpstream> = down
            .iter()
            .map(|(number, age)| DownUpstream {
                number: *number,
                age: *age,
            })
            .collect();
        self.down = (!down.is_empty()).then_some(down);
    }

    /// Returns these upstreams.
    pub(crate) fn down(&self) -> Vec<(u64, u64)> {
        let down = self.down.iter().flatten();
        down.map(|d| (d.number, d.age)).collect()
    }

    /// Returns the protocol of the host that built the message, which may be another one than that which forwarded it.
    pub(crate) fn protocol(&self) -> HostProtocol {
        let spoken = self.spoken.unwrap_or(FIRST);
        HostProtocol {
            spoken,
            oldest_read: self.oldest_read.unwrap_or(FIRST),
            newest_read: self.newest_read.unwrap_or(spoken),
        }
    }

    /// Returns the protocol of the host at a place in a summary.
    pub(crate) fn protocol_of_member(&self, index: usize) -> HostProtocol {
        let mut others = self.other_members.iter().flatten();
        let other = others.find(|o| o.indexes.iter().any(|i| *i as usize == index));
        other.map_or_else(|| self.protocol(), |o| o.protocol)
    }

    /// Appends the extension to the bytes of a message.
    pub(crate) fn append_to(&self, bytes: &mut Vec<u8>) {
        let len = bytes.len();
        bytes.push(MAGIC);
        // Writing to a vector does not fail.
        if minicbor::encode(self, &mut *bytes).is_err() {
            bytes.truncate(len);
        } else if self.protocol().spoken > CURRENT {
            trial_protocol::append_fields(bytes, len + 1);
        }
    }

    /// Reads what follows a message. Returns `None` if it is no extension; a build that sends such bytes is taken to
    /// speak the first protocol.
    pub(crate) fn read(bytes: &[u8]) -> Option<Extension> {
        let content = bytes.strip_prefix(&[MAGIC])?;
        minicbor::decode(content).ok()
    }
}
