//! Exports metrics as statsd datagrams, which may be lost.

use std::net::{SocketAddr, UdpSocket};

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};

/// First part of all metric names, by which receivers tell these metrics from others.
const PREFIX: &str = "ashroad";

/// Client that sends metrics to a statsd receiver, or discards them if there is none.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    enabled: bool,
}

impl Metrics {
    /// Creates a client that sends to `receiver`; without a receiver it discards all metrics.
    pub fn new(receiver: Option<SocketAddr>) -> std::io::Result<Self> {
        let Some(receiver) = receiver else {
            return Ok(Self {
                client: StatsdClient::from_sink(PREFIX, NopMetricSink),
                enabled: false,
            });
        };
        let socket = UdpSocket::bind("0.0.0.0:0")?;
        socket.set_nonblocking(true)?;
        let sink = UdpMetricSink::from(receiver, socket).map_err(std::io::Error::other)?;
        let sink = QueuingMetricSink::with_capacity(sink, 10_000);
        Ok(Self {
            client: StatsdClient::from_sink(PREFIX, sink),
            enabled: true,
        })
    }

    /// Increments the counter `name` by one; does nothing if metrics are not exported.
    pub fn count(&self, name: &str) {
        if self.enabled {
            let _ = self.client.count(name, 1u64);
        }
    }

    /// Sets a gauge, which keeps its value until it is set again.
    pub fn gauge(&self, name: &str, value: u64) {
        if self.enabled {
            let _ = self.client.gauge(name, value);
        }
    }

    /// Records a duration in milliseconds under `name`, as a statsd timer.
    pub fn time_ms(&self, name: &str, value_ms: u64) {
        if self.enabled {
            let _ = self.client.time(name, value_ms);
        }
    }
}
