//! Counters, gauges and times of a process: served as text over HTTP, and sent to a statsd server.
//!
//! Counters are added up in the process and published once a second, so that a packet costs no
//! message. Names are known when the program is built, so that their number is bounded.

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
use names::{Form, METRICS};

pub(crate) use names::table;

/// Name of a metric, without the prefix.
pub(crate) type Name = &'static str;

/// Upper ends of the times' buckets, in seconds: from a way between two VMs to a lease.
const BUCKETS: [f64; 12] = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0];

/// Metrics of one process.
pub(crate) struct Metrics {
    client: StatsdClient,
    counts: BTreeMap<Name, u64>,
    events: IntCounterVec,
    levels: IntGaugeVec,
    times: HistogramVec,
    _server: Option<Server>,
}

impl Metrics {
    /// Opens the metrics of a process, and serves them where the settings have an address.
    pub(crate) async fn open(role: &str, common: &Common, log: &Events) -> Result<Self> {
        let prefix = format!("hyssopdyke.{role}.{}", common.vm.name);
        let client = match common.log.statsd {
            Some(server) => StatsdClient::from_sink(&prefix, sink(server)?),
            None => StatsdClient::from_sink(&prefix, NopMetricSink),
        };
        let opts = |name: &str, help: &str| {
            Opts::new(name, help).namespace("hyssopdyke").const_label("role", role)
        };
        let events = IntCounterVec::new(opts("events_total", "Events by kind."), &["event"])?;
        let levels = IntGaugeVec::new(opts("level", "Levels of now by kind."), &["level"])?;
        let times = HistogramOpts::from(opts("seconds", "Times by kind, in seconds."));
        let times = HistogramVec::new(times.buckets(BUCKETS.to_vec()), &["time"])?;
        let registry = Registry::new();
        registry.register(Box::new(events.clone()))?;
        registry.register(Box::new(levels.clone()))?;
        registry.register(Box::new(times.clone()))?;
        let router =
            Router::new().route("/metrics", get(serve)).with_state((registry, log.clone()));
        let server = Server::bind("[log] metrics", common.log.metrics, router).await?;
        Ok(Self { client, counts: BTreeMap::new(), events, levels, times, _server: server })
    }

    /// Adds one to a counter.
    pub(crate) fn count(&mut self, name: Name) {
        debug_assert!(is_named(name, Form::Count), "{name}");
        *self.counts.entry(name).or_default() += 1;
    }

    /// Notes how long something took.
    pub(crate) fn observe(&self, name: Name, time: Duration) {
        debug_assert!(is_named(name, Form::Time), "{name}");
        self.times.with_label_values(&[name]).observe(time.as_secs_f64());
    }

    /// Publishes a gauge.
    pub(crate) fn set_gauge(&self, name: Name, value: u64) {
        debug_assert!(is_named(name, Form::Level), "{name}");
        self.levels.with_label_values(&[name]).set(value.cast_signed());
        // A metric that cannot be sent is lost; the next one follows in a second.
        let _ = self.client.gauge(name, value);
    }

    /// Publishes the counters and starts them anew; returns what was published.
    pub(crate) fn flush(&mut self) -> BTreeMap<Name, u64> {
        let counts = std::mem::take(&mut self.counts);
        for (name, count) in &counts {
            self.events.with_label_values(&[name]).inc_by(*count);
            let _ = self.client.count(name, *count);
        }
        let _ = self.client.flush();
        counts
    }
}

/// Whether a metric is in the list of all.
fn is_named(name: Name, form: Form) -> bool {
    METRICS.iter().any(|metric| metric.name == name && metric.form == form)
}

async fn serve(State((registry, log)): State<(Registry, Events)>) -> Response {
    let mut text = Vec::new();
    let encoder = TextEncoder::new();
    if let Err(error) = encoder.encode(&registry.gather(), &mut text) {
        warn!(log.logger(), "metrics not served"; "reason" => %error);
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    }
    ([(header::CONTENT_TYPE, encoder.format_type().to_owned())], text).into_response()
}

fn sink(server: SocketAddr) -> Result<BufferedUdpMetricSink> {
    let any = match server {
        SocketAddr::V4(_) => "0.0.0.0:0",
        SocketAddr::V6(_) => "[::]:0",
    };
    let socket = UdpSocket::bind(any).wrap_err("[log] statsd")?;
    socket.set_nonblocking(true)?;
    BufferedUdpMetricSink::from(server, socket).wrap_err_with(|| format!("[log] statsd: {server}"))
}
