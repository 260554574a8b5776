//! Failures of calls to the platform's store and to backend servers. An error tells whether the
//! failed call may have taken effect and whether a retry can succeed.

use std::net::SocketAddr;

use http::StatusCode;
use snafu::Snafu;

/// Reason why a call failed; [`Error::may_have_run`] tells whether the call may have taken effect
/// all the same.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection could not be established, so the request was not sent.
    #[snafu(display("no connection to {address}: {message}"))]
    Connect {
        /// Address of the store or server that was called.
        address: SocketAddr,
        /// Cause, worded for the log.
        message: String,
    },
    /// The address refused the connection, so no process listens there and the request was not
    /// sent.
    #[snafu(display("connection to {address} refused"))]
    Refused {
        /// Address of the store or server that was called.
        address: SocketAddr,
    },
    /// The call was sent but no complete response arrived. The call may have taken effect, or may
    /// still take effect later.
    #[snafu(display("{address} sent no complete response: {message}"))]
    Unanswered {
        /// Address of the store or server that was called.
        address: SocketAddr,
        /// Cause, worded for the log.
        message: String,
    },
    /// The store or server responded with a status that the caller does not expect.
    #[snafu(display("{address} responded with status {status}"))]
    Status {
        /// Address of the store or server that was called.
        address: SocketAddr,
        /// HTTP status of the response.
        status: StatusCode,
    },
    /// The response could not be decoded; the call itself may have taken effect.
    #[snafu(display("{address} sent a response that cannot be decoded: {message}"))]
    Decode {
        /// Address of the store or server that was called.
        address: SocketAddr,
        /// Cause, worded for the log.
        message: String,
    },
    /// A document of the store could not be decoded or encoded.
    #[snafu(display("{what} is invalid: {message}"))]
    Document {
        /// Kind of the document, followed by the name of the document if there is one.
        what: String,
        /// Cause, worded for the log.
        message: String,
    },
}

impl Error {
    /// Returns true if a retry of the same call would be refused as well, because the store or
    /// server reported a client error other than 429.
    pub fn is_final(&self) -> bool {
        match self {
            Self::Status { status, .. } => {
                status.is_client_error() && *status != StatusCode::TOO_MANY_REQUESTS
            }
            _ => false,
        }
    }

    /// Returns true if the address refused the connection.
    pub fn is_refused(&self) -> bool {
        matches!(self, Self::Refused { .. })
    }

    /// Returns true if the failed call may have taken effect all the same: no complete response
    /// arrived, or the response could not be decoded.
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Unanswered { .. } | Self::Decode { .. })
    }
}

/// Result of a call to the store or to a server; the error tells whether the call may have taken
/// effect.
pub type Result<T> = std::result::Result<T, Error>;
