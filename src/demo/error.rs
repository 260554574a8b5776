//! Reasons why the demonstration cannot run to its end. A violated invariant is not an error here,
//! but a result in the summary.

use snafu::Snafu;

use crate::{host, peer, transport::CallError};

/// Failure of a component of the demonstration. The failure ends the demonstration without a
/// summary.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The directory for certificates cannot be created or written.
    #[snafu(display("the directory for certificates cannot be used: {source}"))]
    Directory {
        /// Error from creating the directory or from writing a file in the directory.
        source: std::io::Error,
    },
    /// A stand-in (test double) of the platform or of a backend server cannot start.
    #[snafu(display("a stand-in cannot start: {source}"))]
    Standin {
        /// Error from starting the stand-in, for example because its address cannot be bound.
        source: std::io::Error,
    },
    /// The certificates cannot be generated.
    #[snafu(display("{source}"))]
    Keys {
        /// Cause: an unwritable directory or an error of the certificate generator.
        source: peer::Error,
    },
    /// A host cannot start.
    #[snafu(display("{source}"))]
    Host {
        /// Reason why the host cannot start.
        source: host::Error,
    },
    /// A call to a host or a stand-in failed.
    #[snafu(display("{source}"))]
    Call {
        /// Failure of the HTTP call, such as a timeout or an error status.
        source: CallError,
    },
    /// A condition that the demonstration waits for did not become true within the timeout.
    #[snafu(display("timed out after {timeout_ms} ms while waiting until {what}"))]
    Timeout {
        /// Condition that did not become true, worded for the user.
        what: &'static str,
        /// Time in milliseconds for which the demonstration waited for the condition before it gave
        /// up.
        timeout_ms: u64,
    },
}
