//! Log event of a decision about a request.

use std::sync::Arc;

use serde::Serialize;

use crate::entry::log_writer;

/// A request was refused, failed or was retried, or was answered and belongs to the sample of
/// answered requests that are logged.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename = "request")]
pub struct RequestEvent {
    /// Identifier that the caller gave the request.
    pub request_id: String,
    /// Digest of the parts that stay the same when the same caller repeats the request, in
    /// hexadecimal digits.
    pub digest: String,
    /// Digest of the same parts as `digest`, without the query.
    pub path_digest: String,
    /// Digest of the parts that stay the same when another caller sends the request.
    pub content_digest: String,
    /// Digest of the same parts as `content_digest`, without query and body.
    pub any_path_digest: String,
    /// Name of the route that matched the request.
    pub route: Arc<str>,
    /// Decision on the request, such as `answered`.
    pub decision: &'static str,
    /// Reason for the decision; may contain figures.
    pub reason: String,
    /// Server of the last attempt; `None` if there was no attempt.
    pub server: Option<Arc<str>>,
    /// Load of the server of the last attempt, as known to this host.
    pub load: u32,
    /// Remaining backoff of the server of the last attempt, in which this host must send that
    /// server no requests; 0 for none.
    #[serde(rename = "rest_ms")]
    pub backoff_ms: u64,
    /// Host whose tunnels connections to that server take; `None` while they are direct.
    pub tunnel: Option<Arc<str>>,
    /// Time since that server's last direct response to this host; `None` if it never responded.
    pub server_contact_age_ms: Option<u64>,
    /// Time since the last direct response of any server to this host; `None` if none ever
    /// responded. A time as long as that of the server suggests that this host cannot reach any
    /// server.
    pub contact_age_ms: Option<u64>,
    /// Number of attempts to send the request to a server, up to this event.
    pub attempts: u32,
    /// Time since the request's arrival.
    pub after_ms: u64,
    /// Time left until the request's deadline at this event.
    pub left_ms: u64,
    /// Version of the configuration that the decision was based on.
    pub configuration: u64,
}

impl RequestEvent {
    /// Queues the event as one line of the log. The line is dropped if too many lines are already
    /// waiting to be written.
    pub fn log(&self) {
        log_writer::write(self);
    }
}
