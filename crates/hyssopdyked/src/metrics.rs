//! Counters and gauges of a process, sent to a statsd server.
//!
//! Counters are added up in the process and sent once a second, so that a packet costs no
//! message.

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};

use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient};

use crate::settings::Common;

/// Name of a metric, without the prefix.
pub(crate) type Name = &'static str;

/// Metrics of one process.
pub(crate) struct Metrics {
    client: StatsdClient,
    counts: BTreeMap<Name, u64>,
}

impl Metrics {
    /// Opens the metrics of a process; without a server they are only counted.
    pub(crate) fn open(role: &str, common: &Common) -> std::io::Result<Self> {
        let prefix = format!("hyssopdyke.{role}.{}", common.vm.name);
        let client = match common.log.statsd {
            Some(server) => StatsdClient::from_sink(&prefix, sink(server)?),
            None => StatsdClient::from_sink(&prefix, NopMetricSink),
        };
        Ok(Self { client, counts: BTreeMap::new() })
    }

    /// Adds one to a counter.
    pub(crate) fn count(&mut self, name: Name) {
        *self.counts.entry(name).or_default() += 1;
    }

    /// Sends a gauge.
    pub(crate) fn gauge(&self, name: Name, value: u64) {
        // A metric that cannot be sent is lost; the next one follows in a second.
        let _ = self.client.gauge(name, value);
    }

    /// Sends the counters and starts them anew; returns what was sent.
    pub(crate) fn flush(&mut self) -> BTreeMap<Name, u64> {
        let counts = std::mem::take(&mut self.counts);
        for (name, count) in &counts {
            let _ = self.client.count(name, *count);
        }
        let _ = self.client.flush();
        counts
    }
}

fn sink(server: SocketAddr) -> std::io::Result<BufferedUdpMetricSink> {
    let any = match server {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(any)?;
    socket.set_nonblocking(true)?;
    BufferedUdpMetricSink::from(server, socket).map_err(std::io::Error::other)
}
