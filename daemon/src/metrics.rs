//! Counts and times by kind, as statsd datagrams.

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use magnoliawinch::names::{KindName, ServiceName};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Prefix of every metric.
const PREFIX: &str = "magnoliawinch";

/// Where metrics go.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Sends metrics to `address` by UDP, or nowhere.
    pub(crate) fn new(address: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(address) = address else {
            return Ok(Self { client: StatsdClient::from_sink(PREFIX, NopMetricSink) });
        };
        let socket = UdpSocket::bind(("0.0.0.0", 0))?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
        let client = StatsdClient::from_sink(PREFIX, QueuingMetricSink::from(sink));
        Ok(Self { client })
    }

    /// Counts a request of a kind under `name`.
    pub(crate) fn count(&self, name: &str, service: &ServiceName, kind: &KindName) {
        self.client
            .count_with_tags(name, 1)
            .with_tag("service", service.as_str())
            .with_tag("kind", kind.as_str())
            .send();
    }

    /// Records a time of a kind under `name`.
    pub(crate) fn time(&self, name: &str, service: &ServiceName, kind: &KindName, span: Duration) {
        self.client
            .time_with_tags(name, span)
            .with_tag("service", service.as_str())
            .with_tag("kind", kind.as_str())
            .send();
    }
}
