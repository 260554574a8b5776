//! Errors of calls to the platform's store and to backend servers.

use std::net::SocketAddr;

use http::StatusCode;
use snafu::Snafu;

/// Failure of one call.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection could be made, so nothing was sent.
    #[snafu(display("no connection to {address}: {message}"))]
    Connect {
        /// Peer that was called.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// The call was sent and got no usable answer; it may have taken effect, or may still do so.
    #[snafu(display("{address} gave no answer: {message}"))]
    Unanswered {
        /// Peer that was called.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// The peer answered with a status that the caller does not expect.
    #[snafu(display("{address} answered {status}"))]
    Status {
        /// Peer that was called.
        address: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
    },
    /// The answer could not be decoded.
    #[snafu(display("{address} sent an answer that cannot be read: {message}"))]
    Decode {
        /// Peer that was called.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// A document in the store could not be decoded.
    #[snafu(display("{what} cannot be read: {message}"))]
    Document {
        /// Which document.
        what: String,
        /// Cause.
        message: String,
    },
}

impl Error {
    /// True if the same call would be refused again: the peer calls it faulty.
    pub fn is_final(&self) -> bool {
        match self {
            Self::Status { status, .. } => {
                status.is_client_error() && *status != StatusCode::TOO_MANY_REQUESTS
            }
            _ => false,
        }
    }

    /// True if the call may have taken effect although it failed.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unanswered { .. } | Self::Decode { .. })
    }
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;
