//! Which hosts get the reports of this one.
//!
//! In a large fleet a host reports to those of its data centre. It learns the addresses of all hosts before it knows
//! their data centres, most of all when the whole fleet starts. These are contacted a few at a time: the interval between
//! reports grows with the number of receivers, and has to stay below the time after which a host counts as unreachable.

use std::net::IpAddr;

use indexmap::IndexMap;

use super::report_pacing::report_interval;
use crate::time::{Span, Time};

/// Hosts of an unknown data centre, and seeds that were not heard, that one full report goes to.
const MAX_CONTACTS: usize = 8;

/// Where another host is, as far as this one knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostPlace {
    /// In the data centre of this host.
    Here,
    /// In another one.
    Elsewhere,
    /// Not known yet, or a seed that was not heard yet.
    Unknown,
}

/// How reports are spread.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spread {
    /// To all known hosts.
    All,
    /// To those of the same data centre, as in a large fleet.
    DataCentre,
}

/// Receivers of a report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReportPlan {
    /// The receivers.
    pub receivers: Vec<IpAddr>,
    /// Shortest time until the next report.
    pub interval: Span,
}

/// The hosts of unknown data centres that were sent a report, with the time of the latest one.
#[derive(Clone, Debug, Default)]
pub struct Contacts {
    contacted: IndexMap<IpAddr, Time>,
}

impl Contacts {
    /// Returns the receivers of a report. A `full` one also goes to some hosts whose place is unknown, by turns.
    pub fn plan(
        &mut self,
        hosts: &[(IpAddr, HostPlace)],
        spread: Spread,
        full: bool,
        now: Time,
    ) -> ReportPlan {
        let is_regular = |place| match spread {
            Spread::All => place != HostPlace::Unknown,
            Spread::DataCentre => place == HostPlace::Here,
        };
        let regular = hosts.iter().filter(|(_, place)| is_regular(*place));
        let mut receivers: Vec<IpAddr> = regular.map(|(ip, _)| *ip).collect();
        let interval = report_interval(receivers.len());
        if full {
            let unknown = hosts.iter().filter(|(_, p)| *p == HostPlace::Unknown);
            receivers.extend(self.choose(unknown.map(|(ip, _)| *ip), now));
        }
        ReportPlan {
            receivers,
            interval,
        }
    }

    /// Chooses the hosts that were contacted the longest time ago.
    fn choose<I>(&mut self, unknown: I, now: Time) -> Vec<IpAddr>
    where
        I: Iterator<Item = IpAddr>,
    {
        let contacted = |ip| self.contacted.get(&ip).copied().unwrap_or_default();
        let mut unknown: Vec<(Time, IpAddr)> = unknown.map(|ip| (contacted(ip), ip)).collect();
        unknown.sort_by_key(|(at, _)| *at);
        let mut contacted: IndexMap<IpAddr, Time> =
            unknown.iter().map(|(at, ip)| (*ip, *at)).collect();
        let chosen: Vec<IpAddr> = unknown
            .iter()
            .take(MAX_CONTACTS)
            .map(|(_, ip)| *ip)
            .collect();
        for ip in &chosen {
            contacted.insert(*ip, now);
        }
        self.contacted = contacted;
        chosen
    }
}
