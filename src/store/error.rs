//! Error type of the client for the platform's services.

use snafu::Snafu;

use crate::transport::CallError;

/// Failure of a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The call to the platform failed. A write may have taken effect all the same.
    #[snafu(display("the platform cannot be reached: {source}"))]
    Call {
        /// Failure of the HTTP call, such as a timeout, an error status or an unreadable body.
        source: CallError,
    },
}

/// Result of a call to the platform. A write that failed may have taken effect all the same.
pub type Result<T> = std::result::Result<T, Error>;
