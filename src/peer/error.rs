//! Reasons why a host cannot open its endpoint for other hosts or exchange messages with them.

use std::{net::SocketAddr, path::PathBuf};

use snafu::Snafu;

/// Failure to set up TLS or the endpoint, or to exchange a message with another host.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A certificate or key file cannot be used.
    #[snafu(display("{}: {message}", path.display()))]
    Key {
        /// Path of the file, from the settings or the command line.
        path: PathBuf,
        /// Cause, worded for the operator.
        message: String,
    },
    /// Certificates could not be generated.
    #[snafu(display("certificates could not be generated: {source}"))]
    Generate {
        /// Cause, as reported by the certificate generator.
        source: rcgen::Error,
    },
    /// TLS cannot be set up.
    #[snafu(display("TLS cannot be set up: {message}"))]
    Tls {
        /// Cause, worded for the operator.
        message: String,
    },
    /// The endpoint cannot be opened.
    #[snafu(display("cannot listen for peers on {address}: {source}"))]
    Bind {
        /// UDP address that could not be bound.
        address: SocketAddr,
        /// Reason why the endpoint could not be opened, as reported by the operating system.
        source: std::io::Error,
    },
    /// The peer cannot be reached, or the connection to it failed.
    #[snafu(display("host at {address}: {message}"))]
    Unreachable {
        /// Address at which the peer should be listening.
        address: SocketAddr,
        /// Cause, worded for the operator.
        message: String,
    },
    /// A message cannot be decoded.
    #[snafu(display("a peer's message cannot be decoded: {message}"))]
    Decode {
        /// Cause, worded for the operator.
        message: String,
    },
}

/// Result of setting up the endpoint, or of exchanging a message with another host.
pub type Result<T> = std::result::Result<T, Error>;
