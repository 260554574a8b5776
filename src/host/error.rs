//! Error type of the start of a host: listeners, files and sockets that cannot be opened.

use std::{net::SocketAddr, path::PathBuf};

use snafu::Snafu;

use crate::peer;

/// Reason why a host cannot start, for the operator who starts it.
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
        /// Address from the settings that could not be bound.
        address: SocketAddr,
        /// Reason why the listener could not be opened, as reported by the operating system.
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
        /// Path of the token file, from the settings.
        path: PathBuf,
        /// Reason why the token file could not be read, as reported by the operating system.
        source: std::io::Error,
    },
    /// The socket for metrics cannot be opened.
    #[snafu(display("metrics cannot be sent: {source}"))]
    Metrics {
        /// Reason why the socket could not be opened, as reported by the operating system.
        source: std::io::Error,
    },
}

/// Result of starting a host.
pub type Result<T> = std::result::Result<T, Error>;
