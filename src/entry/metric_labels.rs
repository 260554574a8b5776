//! Labels of an entry host's metrics. A metric has one value for each combination of its labels.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of the request metrics. The labels have few values, because all services come from the
/// configuration.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Service that the request was sent to; empty if the request was sent to no service.
    pub service: String,
    /// Outcome with which the request ended, such as `answered` or `failed`.
    pub outcome: &'static str,
}

/// Labels of the counter of commands to servers. A command grants keys to a server or tells the
/// server to release keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OrderLabels {
    /// Kind of command: grant or release.
    pub order: &'static str,
    /// Outcome of the command, such as `failed`.
    pub outcome: &'static str,
}

/// Labels of the counter of calls to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StoreCallLabels {
    /// Kind of call: `read`, `feed` or `transaction`.
    pub call: &'static str,
    /// Table of the store that the call reads or writes.
    pub table: String,
}

/// Labels of the counter of pauses between calls to the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct StorePauseLabels {
    /// Table whose feed pauses.
    pub table: &'static str,
    /// Reason for the pause, such as `relays_call`.
    pub reason: &'static str,
}

/// Labels of the counter of steps of requests for contended services.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ContentionLabels {
    /// Service of the requests.
    pub service: String,
    /// Urgency of the requests: `urgent` or `other`.
    pub urgency: &'static str,
    /// Step in the handling of the requests, such as `refused_by_queue`.
    pub step: &'static str,
}

/// Labels of the counter of checks of paths to servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct PathCheckLabels {
    /// Observation for which the path was checked.
    pub suspicion: &'static str,
    /// Outcome of the last direct attempt; `none` without one.
    pub direct: &'static str,
    /// Outcome of the last attempt through another host; `none` without one.
    pub elsewhere: &'static str,
    /// Conclusion, such as `path_lost`.
    pub verdict: &'static str,
}

/// Labels of the counter of attempts that ended without a usable response, although the server may
/// be running the request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct GivenUpLabels {
    /// Reason for the end of the attempt, such as `path_lost`.
    pub cause: &'static str,
    /// `retried` if the request was sent again, `failed` if its caller got an error.
    pub outcome: &'static str,
}
