//! Errors of the platform's client.

use snafu::Snafu;

use crate::transport::CallError;

/// Failure of a call to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The call failed; a write may have taken effect all the same.
    #[snafu(display("the platform cannot be reached: {source}"))]
    Call {
        /// Error of the HTTP call.
        source: CallError,
    },
}

/// Result of a call to the platform.
pub type Result<T> = std::result::Result<T, Error>;
