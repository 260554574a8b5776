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
        /// Path of the file.
        path: PathBuf,
        /// Description of the cause.
        message: String,
    },
    /// Certificates could not be generated.
    #[snafu(display("certificates could not be generated: {source}"))]
    Generate {
        /// Error of the certificate generator.
        source: rcgen::Error,
    },
    /// TLS cannot be set up.
    #[snafu(display("TLS cannot be set up: {message}"))]
    Tls {
        /// Description of the cause.
        message: String,
    },
    /// The endpoint cannot be opened.
    #[snafu(display("cannot listen for peers on {address}: {source}"))]
    Bind {
        /// Address to listen on.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The peer cannot be reached, or the connection to it failed.
    #[snafu(display("host at {address}: {message}"))]
    Unreachable {
        /// Address of the peer.
        address: SocketAddr,
        /// Description of the cause.
        message: String,
    },
    /// A message cannot be decoded.
    #[snafu(display("a peer's message cannot be decoded: {message}"))]
    Decode {
        /// Description of the cause.
        message: String,
    },
}

/// Result of an operation of the peer protocol.
pub type Result<T> = std::result::Result<T, Error>;
