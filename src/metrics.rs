//! Exports metrics to a statsd receiver. The metrics are sent as UDP datagrams, some of which may
//! be lost.

use std::net::{SocketAddr, UdpSocket};

use cadence::{
    Counted, Gauged, NopMetricSink, QueuingMetricSink, StatsdClient, Timed, UdpMetricSink,
};

/// First part of all metric names, by which a receiver tells the metrics of ashroad from others.
const PREFIX: &str = "ashroad";

/// Client that sends metrics to a statsd receiver, or discards the metrics if the settings name no
/// receiver.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
    enabled: bool,
}

impl Metrics {
    /// Creates a client that sends metrics to `receiver`; `None` makes a client that discards all
    /// metrics.
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

    /// Increments the counter `name` by one. Does nothing if metrics are not exported.
    pub fn count(&self, name: &str) {
        if self.enabled {
            let _ = self.client.count(name, 1u64);
        }
    }

    /// Sets the gauge `name` to `value`, which remains in force until the gauge is set again. Does
    /// nothing if metrics are not exported.
    pub fn gauge(&self, name: &str, value: u64) {
        if self.enabled {
            let _ = self.client.gauge(name, value);
        }
    }

    /// Records a duration in milliseconds under `name`, as a statsd timer. Does nothing if metrics
    /// are not exported.
    pub fn time_ms(&self, name: &str, value_ms: u64) {
        if self.enabled {
            let _ = self.client.time(name, value_ms);
        }
    }
}
