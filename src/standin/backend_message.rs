//! Messages of the stand-in backend server: faults, records and responses.

use serde::{Deserialize, Serialize};

use super::grants::OwnershipSpan;
use crate::id::Incarnation;

/// Path of the endpoint that sets the [`Faults`] of the server (POST).
pub const FAULTS_PATH: &str = "/_server/faults";
/// Path of the endpoint that returns the [`Record`] of the slots that the server owned and the
/// requests that it ran (GET).
pub const RECORD_PATH: &str = "/_server/record";
/// Path of the load endpoint, which returns the [`LoadResponse`] of the server (GET).
pub const LOAD_PATH: &str = "/_server/load";
/// Path of the health endpoint, which responds with status 200 if the server is healthy and with
/// status 503 if the server drains, unless the fault `health_lies` is set (GET).
pub const HEALTH_PATH: &str = "/_server/health";

/// Faults that the stand-in injects until other faults are set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The server stops responding, except on the endpoints for faults and the record. When the
    /// fault ends, all pending requests continue.
    pub frozen: bool,
    /// The server reports in its lease responses and its health endpoint that it drains.
    pub draining: bool,
    /// The health endpoint reports the opposite of the actual health.
    pub health_lies: bool,
    /// Minimum interval in milliseconds between updates of the load that the load endpoint reports;
    /// 0 to always report the current load.
    pub load_lag_ms: u64,
    /// Additional run time of each request, in milliseconds.
    pub extra_ms: u64,
    /// The connection of a response is closed in the middle of the response body.
    pub cut_answers: bool,
}

/// Response of the load endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadResponse {
    /// Number of running requests, each of which occupies an execution slot.
    pub running: usize,
    /// Number of requests that wait for a free execution slot.
    pub waiting: usize,
}

/// Request with the number of times that it ran on one server; more than 1 is a duplicate run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunCount {
    /// Idempotency key if the request had one, else its request id.
    pub request: String,
    /// Number of times that the server ran the request.
    pub runs: u64,
}

/// Record of the slots that a server process owned and the requests that it ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Incarnation of the process that made the record.
    pub incarnation: Incarnation,
    /// Spans in which the server owned a slot.
    pub held: Vec<OwnershipSpan>,
    /// Requests that the server ran, with the number of runs.
    pub runs: Vec<RunCount>,
    /// Maximum number of requests that ran at the same time.
    pub running_max: usize,
}

/// Body of the response to a request, which repeats properties of the received request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EchoResponse {
    /// Identifier of the request; empty if the request had none.
    pub request: String,
    /// Path of the request, without the host.
    pub path: String,
    /// Incarnation of the process that ran the request.
    pub incarnation: Incarnation,
    /// Length of the request's body in bytes.
    pub body_bytes: usize,
}
