//! Errors of the demonstration.

use snafu::Snafu;

use crate::{host, peer, transport::CallError};

/// Why the demonstration could not run.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No directory for certificates.
    #[snafu(display("no directory for certificates: {source}"))]
    Directory {
        /// Cause.
        source: std::io::Error,
    },
    /// A stand-in cannot start.
    #[snafu(display("a stand-in cannot start: {source}"))]
    Standin {
        /// Cause.
        source: std::io::Error,
    },
    /// Certificates.
    #[snafu(display("{source}"))]
    Keys {
        /// Cause.
        source: peer::Error,
    },
    /// A host cannot start.
    #[snafu(display("{source}"))]
    Host {
        /// Cause.
        source: host::Error,
    },
    /// A call failed.
    #[snafu(display("{source}"))]
    Call {
        /// Cause.
        source: CallError,
    },
    /// Something did not come about in time.
    #[snafu(display("not within {limit_ms} ms: {what}"))]
    Late {
        /// What was waited for.
        what: &'static str,
        /// Limit.
        limit_ms: u64,
    },
}
