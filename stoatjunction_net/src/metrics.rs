//! Metrics collected with `cadence`: totals for the admin interface, and statsd over UDP if an address
//! is configured.

use std::io;
use std::net::UdpSocket;
use std::panic::RefUnwindSafe;
use std::sync::{Arc, Mutex};

use cadence::prelude::*;
use cadence::{MetricSink, StatsdClient, UdpMetricSink};
use indexmap::IndexMap;

/// Totals by metric name and tags: the sum of a counter or timer, the last value of a gauge.
pub type Totals = IndexMap<String, i64>;

#[derive(Debug, Default, Clone)]
struct TotalsSink {
    totals: Arc<Mutex<Totals>>,
    statsd: Option<Arc<UdpMetricSink>>,
}

impl RefUnwindSafe for TotalsSink {}

impl MetricSink for TotalsSink {
    fn emit(&self, metric: &str) -> io::Result<usize> {
        if let Some((name, value, kind, tags)) = parse_statsd_line(metric) {
            let key = if tags.is_empty() {
                name.to_owned()
            } else {
                format!("{name}{{{tags}}}")
            };
            let mut totals = self.totals.lock().expect("totals lock is not poisoned");
            let total = totals.entry(key).or_default();
            *total = if kind == "g" { value } else { *total + value };
        }
        match &self.statsd {
            Some(udp) => udp.emit(metric),
            None => Ok(metric.len()),
        }
    }
}

/// Parses a statsd line `name:value|kind|#tags` into its parts.
fn parse_statsd_line(metric: &str) -> Option<(&str, i64, &str, &str)> {
    let (name, rest) = metric.split_once(':')?;
    let mut parts = rest.split('|');
    let value = parts.next()?.parse().ok()?;
    let kind = parts.next()?;
    let tags = parts.next().unwrap_or("").trim_start_matches('#');
    Some((name, value, kind, tags))
}

/// Metrics of a process. Clones share the totals.
#[derive(Clone, Debug)]
pub struct Metrics {
    client: Arc<StatsdClient>,
    totals: Arc<Mutex<Totals>>,
}

impl Metrics {
    /// Creates the metrics of `process`, forwarded to the statsd server at `statsd` if one is given.
    ///
    /// # Errors
    ///
    /// An I/O error if the UDP socket cannot be opened or the address is not valid.
    pub fn start(process: &str, statsd: Option<&str>) -> io::Result<Metrics> {
        let udp = match statsd {
            None => None,
            Some(addr) => {
                let socket = UdpSocket::bind("0.0.0.0:0")?;
                socket.set_nonblocking(true)?;
                Some(Arc::new(
                    UdpMetricSink::from(addr, socket).map_err(io::Error::other)?,
                ))
            }
        };
        let sink = TotalsSink {
            totals: Arc::default(),
            statsd: udp,
        };
        let totals = sink.totals.clone();
        let prefix = format!("stoatjunction.{process}");
        let client = Arc::new(StatsdClient::from_sink(&prefix, sink));
        Ok(Metrics { client, totals })
    }

    /// Adds `n` to the counter `name` with `tags`.
    pub fn count(&self, name: &str, n: i64, tags: &[(&str, &str)]) {
        let mut metric = self.client.count_with_tags(name, n);
        for (k, v) in tags {
            metric = metric.with_tag(k, v);
        }
        metric.send();
    }

    /// Sets the gauge `name` with `tags` to `value`.
    pub fn gauge(&self, name: &str, value: u64, tags: &[(&str, &str)]) {
        let mut metric = self.client.gauge_with_tags(name, value);
        for (k, v) in tags {
            metric = metric.with_tag(k, v);
        }
        metric.send();
    }

    /// Returns all totals since the start of the process.
    pub fn totals(&self) -> Totals {
        self.totals
            .lock()
            .expect("totals lock is not poisoned")
            .clone()
    }
}
