//! Errors of the peer protocol.

use std::{net::SocketAddr, path::PathBuf};

use snafu::Snafu;

/// Failure of the peer protocol.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A certificate or key file cannot be used.
    #[snafu(display("{}: {message}", path.display()))]
    Key {
        /// File.
        path: PathBuf,
        /// Cause.
        message: String,
    },
    /// Certificates could not be made.
    #[snafu(display("certificates could not be made: {source}"))]
    Generate {
        /// Cause.
        source: rcgen::Error,
    },
    /// TLS cannot be set up.
    #[snafu(display("TLS cannot be set up: {message}"))]
    Tls {
        /// Cause.
        message: String,
    },
    /// The endpoint cannot be opened.
    #[snafu(display("cannot listen for peers on {address}: {source}"))]
    Bind {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The peer cannot be reached or broke off.
    #[snafu(display("host at {address}: {message}"))]
    Unreachable {
        /// Peer.
        address: SocketAddr,
        /// Cause.
        message: String,
    },
    /// A message cannot be read.
    #[snafu(display("a peer's message cannot be read: {message}"))]
    Decode {
        /// Cause.
        message: String,
    },
}

/// Result of the peer protocol.
pub type Result<T> = std::result::Result<T, Error>;
