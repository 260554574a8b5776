//! Messages of the backend server's stand-in: faults, records and answers.

use serde::{Deserialize, Serialize};

use super::grants::OwnershipSpan;
use crate::id::Incarnation;

/// Path that sets faults (POST).
pub const FAULTS_PATH: &str = "/_server/faults";
/// Path of the record of ownership and runs (GET).
pub const RECORD_PATH: &str = "/_server/record";
/// Path of the load endpoint (GET).
pub const LOAD_PATH: &str = "/_server/load";
/// Path of the health endpoint (GET).
pub const HEALTH_PATH: &str = "/_server/health";

/// Faults that the stand-in shows until told otherwise.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Nothing is answered until this is lifted; then everything goes on where it was.
    pub frozen: bool,
    /// The server asks to leave.
    pub draining: bool,
    /// The health endpoint says the opposite of the truth.
    pub health_lies: bool,
    /// Time by which the load endpoint lags.
    pub load_lag_ms: u64,
    /// Extra time for each request.
    pub extra_ms: u64,
    /// Answers are cut off in the middle of the body.
    pub cut_answers: bool,
}

/// Answer of the load endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadResponse {
    /// Requests that run.
    pub running: usize,
    /// Requests that wait for a slot.
    pub waiting: usize,
}

/// Number of runs of one request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunCount {
    /// Idempotency key if the request had one, else its request id.
    pub request: String,
    /// Times that it ran.
    pub runs: u64,
}

/// What a server saw.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Record {
    /// Process that recorded.
    pub incarnation: Incarnation,
    /// Spans in which it owned a slot.
    pub held: Vec<OwnershipSpan>,
    /// Requests that ran.
    pub runs: Vec<RunCount>,
    /// Most requests that ran at a time.
    pub running_max: usize,
}

/// Body of an answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EchoResponse {
    /// Identifier that the request came with.
    pub request: String,
    /// Path that was asked.
    pub path: String,
    /// Process that ran the request.
    pub incarnation: Incarnation,
    /// Bytes of the request's body.
    pub body_bytes: usize,
}
