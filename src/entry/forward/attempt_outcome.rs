//! Result of one attempt to send a request to a server.

use http::{Response, StatusCode};

use crate::{entry::pool::Connection, transport::ResponseBody};

/// Reason for which an attempt ended without a usable response, although the server may be running
/// the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum GivenUp {
    /// The response was not usable.
    UnusableResponse,
    /// The head of the response was not understood.
    InvalidHead,
    /// The body of the response was not certainly whole.
    InvalidBody,
    /// The connection closed before a complete response.
    ConnectionLost,
    /// This host lost its path to the server.
    PathLost,
    /// The deadline passed.
    TimedOut,
    /// The process exits in a planned stop.
    Stopped,
}

impl GivenUp {
    /// Returns the name of the reason in metrics.
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::UnusableResponse => "unusable_response",
            Self::InvalidHead => "invalid_head",
            Self::InvalidBody => "invalid_body",
            Self::ConnectionLost => "connection_lost",
            Self::PathLost => "path_lost",
            Self::TimedOut => "timeout",
            Self::Stopped => "stop",
        }
    }
}

/// Result of one attempt, which decides whether the request may be sent again.
pub(super) enum AttemptOutcome {
    Answered(Response<ResponseBody>),
    /// The request was not sent: no connection could be opened, the request could not be built, or
    /// the connections closed before any part of the request was written.
    NotSent(String),
    /// The server has asked this host for a backoff (a period without requests), so the request was
    /// not sent.
    InBackoff,
    /// The caller left before the request was sent.
    CallerLeft,
    /// The server responded that it did not run the request.
    NotRun(StatusCode),
    /// The server may have run the request; its response is not usable.
    Unknown {
        cause: GivenUp,
        reason: String,
    },
    /// The server may have run the request; the connection closed before a complete response.
    ConnectionLost(String),
    /// The server may have run the request; this host lost its path to the server. The request may be
    /// sent again on this tunnel to the server, for which a token was taken from the retry budget.
    PathLost(Connection),
    /// The server may have run the request; the deadline passed without a response.
    TimedOut,
    /// The server may have run the request; the deadline passed without a response on a direct
    /// connection, and this host had lost its path to the server.
    TimedOutOnLostPath,
}

impl AttemptOutcome {
    /// Returns the outcome of an attempt whose response was read, but is not usable.
    pub(super) fn unusable(reason: impl Into<String>) -> Self {
        Self::Unknown {
            cause: GivenUp::UnusableResponse,
            reason: reason.into(),
        }
    }
}
