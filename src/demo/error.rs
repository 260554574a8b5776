//! Errors of the demonstration.

use snafu::Snafu;

use crate::{host, peer, transport::CallError};

/// Failure that ends the demonstration.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The directory for certificates cannot be created or written.
    #[snafu(display("the directory for certificates cannot be used: {source}"))]
    Directory {
        /// Error of the file system.
        source: std::io::Error,
    },
    /// A stand-in of the platform or of a server cannot start.
    #[snafu(display("a stand-in cannot start: {source}"))]
    Standin {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The certificates cannot be generated.
    #[snafu(display("{source}"))]
    Keys {
        /// Error of the certificate generation.
        source: peer::Error,
    },
    /// A host cannot start.
    #[snafu(display("{source}"))]
    Host {
        /// Error of the host.
        source: host::Error,
    },
    /// A call to a host or a stand-in failed.
    #[snafu(display("{source}"))]
    Call {
        /// Error of the HTTP call.
        source: CallError,
    },
    /// A condition did not hold within its time limit.
    #[snafu(display("timed out after {limit_ms} ms while waiting until {what}"))]
    Timeout {
        /// Condition that was waited for.
        what: &'static str,
        /// Time limit of the wait.
        limit_ms: u64,
    },
}
