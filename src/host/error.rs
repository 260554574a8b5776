//! Errors that prevent a host from starting.

use std::{net::SocketAddr, path::PathBuf};

use snafu::Snafu;

use crate::peer;

/// Reason why a host cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The endpoint for other hosts cannot be opened.
    #[snafu(display("{source}"))]
    Peer {
        /// Certificate or key that cannot be read, or address that cannot be bound.
        source: peer::Error,
    },
    /// The listener for callers cannot be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The operators' API cannot be started.
    #[snafu(display("the operators' API cannot be started: {message}"))]
    Operators {
        /// Message of the HTTP server, or the problem of the token file.
        message: String,
    },
    /// The file with the operators' token cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    Token {
        /// Path of the token file.
        path: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The socket for metrics cannot be opened.
    #[snafu(display("metrics cannot be sent: {source}"))]
    Metrics {
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Result of starting a host.
pub type Result<T> = std::result::Result<T, Error>;
