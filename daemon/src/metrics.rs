//! Metrics, sent as statsd datagrams and tagged with service and kind.

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use magnoliawinch::names::{KindName, ServiceName};
use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

/// Prefix of all metric names.
const PREFIX: &str = "magnoliawinch";

#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// Sends metrics over UDP; discards them if `address` is `None`.
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

    pub(crate) fn count(&self, name: &str, service: &ServiceName, kind: &KindName) {
        self.client
            .count_with_tags(name, 1)
            .with_tag("service", service.as_str())
            .with_tag("kind", kind.as_str())
            .send();
    }

    /// Records a duration under `name`.
    pub(crate) fn time(
        &self,
        name: &str,
        service: &ServiceName,
        kind: &KindName,
        duration: Duration,
    ) {
        self.client
            .time_with_tags(name, duration)
            .with_tag("service", service.as_str())
            .with_tag("kind", kind.as_str())
            .send();
    }
}
