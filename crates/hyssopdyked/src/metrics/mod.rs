//! Counters, gauges and histograms of a process, served as text over HTTP and sent to a statsd
//! server.
//!
//! Counters are accumulated in the process and published once a second, so that no message is sent
//! per packet. All names are fixed at compile time, so that their number is bounded.

mod names;

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use cadence::{BufferedUdpMetricSink, Counted, Gauged, NopMetricSink, StatsdClient};
use eyre::{Result, WrapErr};
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry, TextEncoder,
};
use slog::warn;

use crate::log::Events;
use crate::node::Server;
use crate::settings::Common;
use names::{Kind, METRICS};

pub(crate) use names::table;

/// Name of a metric, without its prefix.
pub(crate) type Name = &'static str;

/// Upper bounds of the histogram buckets, in seconds. They range from the latency between two VMs to
/// the length of a lease.
const BUCKETS: [f64; 12] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Metrics of one process.
pub(crate) struct Metrics {
    client: StatsdClient,
    pending_counts: BTreeMap<Name, u64>,
    counters: IntCounterVec,
    gauges: IntGaugeVec,
    histograms: HistogramVec,
    _server: Option<Server>,
}

impl Metrics {
    /// Creates the metrics of a process. Serves and sends them if the settings contain the addresses.
    pub(crate) async fn open(role: &str, common: &Common, log: &Events) -> Result<Self> {
        let prefix = format!("hyssopdyke.{role}.{}", common.vm.name);
        let client = match common.log.statsd {
            Some(server) => StatsdClient::from_sink(&prefix, statsd_sink(server)?),
            None => StatsdClient::from_sink(&prefix, NopMetricSink),
        };
        let opts = |name: &str, help: &str| {
            Opts::new(name, help).namespace("hyssopdyke").const_label("role", role)
        };
        let counters = IntCounterVec::new(opts("events_total", "Events by kind."), &["event"])?;
        let gauges = IntGaugeVec::new(opts("level", "Current values by kind."), &["level"])?;
        let histograms = HistogramOpts::from(opts("seconds", "Times by kind, in seconds."));
        let histograms = HistogramVec::new(histograms.buckets(BUCKETS.to_vec()), &["time"])?;
        let registry = Registry::new();
        registry.register(Box::new(counters.clone()))?;
        registry.register(Box::new(gauges.clone()))?;
        registry.register(Box::new(histograms.clone()))?;
        let router =
            Router::new().route("/metrics", get(serve_metrics)).with_state((registry, log.clone()));
        let server = Server::bind("[log] metrics", common.log.metrics, router).await?;
        Ok(Self {
            client,
            pending_counts: BTreeMap::new(),
            counters,
            gauges,
            histograms,
            _server: server,
        })
    }

    /// Increments a counter by one.
    pub(crate) fn count(&mut self, name: Name) {
        debug_assert!(is_registered(name, Kind::Counter), "{name}");
        *self.pending_counts.entry(name).or_default() += 1;
    }

    /// Records a duration in a histogram.
    pub(crate) fn observe(&self, name: Name, duration: Duration) {
        debug_assert!(is_registered(name, Kind::Histogram), "{name}");
        self.histograms.with_label_values(&[name]).observe(duration.as_secs_f64());
    }

    /// Sets and publishes a gauge.
    pub(crate) fn set_gauge(&self, name: Name, value: u64) {
        debug_assert!(is_registered(name, Kind::Gauge), "{name}");
        self.gauges.with_label_values(&[name]).set(value.cast_signed());
        // A metric that cannot be sent is lost. The next value follows within a second.
        let _ = self.client.gauge(name, value);
    }

    /// Publishes the counts since the last flush, and returns them.
    pub(crate) fn flush(&mut self) -> BTreeMap<Name, u64> {
        let counts = std::mem::take(&mut self.pending_counts);
        for (name, count) in &counts {
            self.counters.with_label_values(&[name]).inc_by(*count);
            let _ = self.client.count(name, *count);
        }
        let _ = self.client.flush();
        counts
    }
}

/// Returns whether a metric is listed in `METRICS`.
fn is_registered(name: Name, kind: Kind) -> bool {
    METRICS.iter().any(|metric| metric.name == name && metric.kind == kind)
}

async fn serve_metrics(State((registry, log)): State<(Registry, Events)>) -> Response {
    let mut text = Vec::new();
    let encoder = TextEncoder::new();
    if let Err(error) = encoder.encode(&registry.gather(), &mut text) {
        warn!(log.logger(), "metrics not served"; "reason" => %error);
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    ([(header::CONTENT_TYPE, encoder.format_type().to_owned())], text).into_response()
}

fn statsd_sink(server: SocketAddr) -> Result<BufferedUdpMetricSink> {
    let any = match server {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(any).wrap_err("[log] statsd")?;
    socket.set_nonblocking(true)?;
    BufferedUdpMetricSink::from(server, socket).wrap_err_with(|| format!("[log] statsd: {server}"))
}
