//! Errors that keep a host from starting.

use std::{net::SocketAddr, path::PathBuf};

use snafu::Snafu;

use crate::peer;

/// Why a host cannot start.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The peer endpoint cannot be opened.
    #[snafu(display("{source}"))]
    Peer {
        /// Cause.
        source: peer::Error,
    },
    /// A listener cannot be opened.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The operators' API cannot be started.
    #[snafu(display("the operators' API cannot be started: {message}"))]
    Operators {
        /// Cause.
        message: String,
    },
    /// The token file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    Token {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// Metrics cannot be sent.
    #[snafu(display("metrics cannot be sent: {source}"))]
    Metrics {
        /// Cause.
        source: std::io::Error,
    },
}

/// Result of starting a host.
pub type Result<T> = std::result::Result<T, Error>;
