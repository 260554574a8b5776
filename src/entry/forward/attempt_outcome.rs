//! Result of one attempt to send a request to a server.

use http::{Response, StatusCode};

use crate::transport::ResponseBody;

/// Result of one attempt, which decides whether the request may be sent again.
pub(super) enum AttemptOutcome {
    Answered(Response<ResponseBody>),
    /// The request was not sent: no connection could be opened, the request could not be built, or
    /// the connections closed before any part of the request was written.
    NotSent(String),
    /// The server has asked this host for a backoff (a period without requests), so the request was
    /// not sent.
    InBackoff,
    /// The server responded that it did not run the request.
    NotRun(StatusCode),
    /// The server may have run the request; its response is not usable.
    Unknown(String),
    /// The server may have run the request; the connection closed before a complete response.
    ConnectionLost(String),
    /// The server may have run the request; this host lost its path to the server.
    PathLost,
    /// The server may have run the request; the deadline passed without a response.
    TimedOut,
}
