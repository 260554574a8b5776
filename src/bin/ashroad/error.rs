//! Errors that the person at the terminal reads, and their exit codes.

use std::{path::PathBuf, process::ExitCode};

use ashroad::{configuration, entry, host, peer, settings, transport::CallError};
use http::StatusCode;
use snafu::Snafu;

/// A command failed.
const FAILED: u8 = 1;
/// Settings or declarations are faulty; nothing was changed.
const BAD_INPUT: u8 = 3;
/// Another change came first; nothing was changed.
const RACED: u8 = 4;
/// A host or the platform cannot be reached.
const UNREACHABLE: u8 = 5;
/// An invariant broke.
const BROKEN: u8 = 6;

/// Why a command failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No runtime.
    #[snafu(display("cannot start: {source}"))]
    Runtime {
        /// Cause.
        source: std::io::Error,
    },
    /// A file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    Read {
        /// File.
        path: PathBuf,
        /// Cause.
        source: std::io::Error,
    },
    /// Settings are faulty.
    #[snafu(display("{source}"))]
    Settings {
        /// Cause.
        source: settings::Error,
    },
    /// Files have faults, which were printed.
    #[snafu(display("{count} problems in {files} files"))]
    Problems {
        /// Number of problems.
        count: usize,
        /// Number of files.
        files: usize,
    },
    /// A declaration is faulty.
    #[snafu(display("{}: {source}", path.display()))]
    Declaration {
        /// File.
        path: PathBuf,
        /// Cause.
        source: configuration::Error,
    },
    /// Certificates.
    #[snafu(display("{source}"))]
    Keys {
        /// Cause.
        source: peer::Error,
    },
    /// The entry host cannot run.
    #[snafu(display("{source}"))]
    Entry {
        /// Cause.
        source: entry::Error,
    },
    /// The host cannot start.
    #[snafu(display("{source}"))]
    Host {
        /// Cause.
        source: host::Error,
    },
    /// A host's task ended.
    #[snafu(display("the host stopped by a fault; its log says why"))]
    HostFailed,
    /// A stand-in cannot start.
    #[snafu(display("the stand-in cannot listen: {source}"))]
    Standin {
        /// Cause.
        source: std::io::Error,
    },
    /// A host refused or cannot be reached.
    #[snafu(display("{}", call_message(source)))]
    Call {
        /// Cause.
        source: CallError,
    },
    /// The demonstration could not run.
    #[snafu(display("{source}"))]
    Demo {
        /// Cause.
        source: ashroad::demo::Error,
    },
    /// An invariant broke.
    #[snafu(display("an invariant broke; the summary says which"))]
    Broken,
    /// No such declaration.
    #[snafu(display("there is no {kind} named {name}"))]
    NotFound {
        /// Kind.
        kind: &'static str,
        /// Name.
        name: String,
    },
    /// Not in force in time.
    #[snafu(display("revision {revision} is not in force on every host within {wait_ms} ms"))]
    NotInForce {
        /// Revision.
        revision: u64,
        /// Time waited.
        wait_ms: u64,
    },
}

/// Result of a command.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Settings { .. } | Self::Problems { .. } | Self::Declaration { .. } => BAD_INPUT,
            Self::Read { .. } => BAD_INPUT,
            Self::Broken => BROKEN,
            Self::Call { source } => call_code(source),
            _ => FAILED,
        })
    }
}

fn call_code(error: &CallError) -> u8 {
    match error {
        CallError::Refused { status, .. } if *status == StatusCode::CONFLICT => RACED,
        CallError::Refused { status, .. } if status.is_client_error() => BAD_INPUT,
        CallError::Connect { .. } | CallError::Timeout { .. } => UNREACHABLE,
        _ => FAILED,
    }
}

/// The host's own words where it gave any.
fn call_message(error: &CallError) -> String {
    let CallError::Refused { body, .. } = error else {
        return error.to_string();
    };
    let value: Option<serde_json::Value> = serde_json::from_str(body).ok();
    let message = value.as_ref().and_then(|value| value["message"].as_str());
    message.map_or_else(|| error.to_string(), str::to_owned)
}
