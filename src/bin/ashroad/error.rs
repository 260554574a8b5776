//! Errors that the command line reports to its user, and their exit codes.

use std::{path::PathBuf, process::ExitCode};

use ashroad::{configuration, entry, host, peer, settings, transport::CallError};
use http::StatusCode;
use snafu::Snafu;

/// Exit code of every failure that has no specific exit code.
const FAILED: u8 = 1;
/// Exit code for invalid settings, declarations or files; nothing was changed.
const INVALID_INPUT: u8 = 3;
/// Exit code if another change was applied first; nothing was changed.
const CHANGE_CONFLICT: u8 = 4;
/// Exit code if a host or the platform cannot be reached.
const UNREACHABLE: u8 = 5;
/// Exit code if the demonstration violated an invariant.
const INVARIANT_VIOLATED: u8 = 6;

/// Reason why a command failed. The reason is printed to standard error and determines the exit
/// code.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The async runtime or a signal handler cannot be set up.
    #[snafu(display("cannot start: {source}"))]
    Runtime {
        /// Error from creating the async runtime or from installing the signal handler.
        source: std::io::Error,
    },
    /// A file cannot be read.
    #[snafu(display("{}: cannot be read: {source}", path.display()))]
    Read {
        /// Path of the file, as given on the command line.
        path: PathBuf,
        /// Error from reading the file, for example because the file does not exist.
        source: std::io::Error,
    },
    /// The settings of an entry host cannot be read or are invalid.
    #[snafu(display("{source}"))]
    Settings {
        /// Cause: the file cannot be read, or its values are invalid.
        source: settings::Error,
    },
    /// The checked files have problems, which were printed before this error.
    #[snafu(display("{count} problems in {files} files"))]
    Problems {
        /// Number of problems in all files.
        count: usize,
        /// Number of files that were checked, including files without problems.
        files: usize,
    },
    /// The size or encoding of a declaration is invalid.
    #[snafu(display("{}: {source}", path.display()))]
    Declaration {
        /// Path of the file, as given on the command line.
        path: PathBuf,
        /// Rule that the declaration violates.
        source: configuration::Error,
    },
    /// A certificate cannot be created.
    #[snafu(display("{source}"))]
    Keys {
        /// Cause: an unwritable directory, an unreadable file or an error of the certificate
        /// generator.
        source: peer::Error,
    },
    /// An entry host on the users' platform (`ashroad entry`) cannot start or has failed.
    #[snafu(display("{source}"))]
    Entry {
        /// Reason why the entry host failed.
        source: entry::Error,
    },
    /// An entry host of `ashroad serve` cannot start.
    #[snafu(display("{source}"))]
    Host {
        /// Reason why the host cannot start.
        source: host::Error,
    },
    /// A task of the entry host of `ashroad serve` panicked.
    #[snafu(display("the host stopped after an internal failure; see its log"))]
    HostFailed,
    /// A stand-in (test double) of the platform or of a backend server cannot start.
    #[snafu(display("the stand-in cannot listen: {source}"))]
    Standin {
        /// Error from starting the stand-in, for example because its address cannot be bound.
        source: std::io::Error,
    },
    /// A host refused the call or cannot be reached.
    #[snafu(display("{}", call_message(source)))]
    Call {
        /// Failure of the HTTP call.
        source: CallError,
    },
    /// The demonstration could not run to its end.
    #[snafu(display("{source}"))]
    Demo {
        /// Failure that ended the demonstration.
        source: ashroad::demo::Error,
    },
    /// The demonstration violated an invariant.
    #[snafu(display("an invariant was violated; see the summary"))]
    Broken,
    /// No declaration has the requested name.
    #[snafu(display("there is no {kind} named {name}"))]
    NotFound {
        /// Kind of declaration, `template` or `workspace`.
        kind: &'static str,
        /// Name given on the command line.
        name: String,
    },
    /// A change was accepted but was not in force on every registered host within the time that the
    /// command waited.
    #[snafu(display("revision {revision} is not in force on every host within {wait_ms} ms"))]
    NotInForce {
        /// Revision at which the change was committed.
        revision: u64,
        /// Time in milliseconds that the command waited for the revision to be in force.
        wait_ms: u64,
    },
}

/// Result of a command. An error determines the exit code of the process.
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code of the process, by which scripts tell the kinds of failures apart.
    pub fn exit_code(&self) -> ExitCode {
        ExitCode::from(match self {
            Self::Settings { .. } | Self::Problems { .. } | Self::Declaration { .. } => {
                INVALID_INPUT
            }
            Self::Read { .. } => INVALID_INPUT,
            Self::Broken => INVARIANT_VIOLATED,
            Self::Call { source } => call_exit_code(source),
            _ => FAILED,
        })
    }
}

fn call_exit_code(error: &CallError) -> u8 {
    match error {
        CallError::Refused { status, .. } if *status == StatusCode::CONFLICT => CHANGE_CONFLICT,
        CallError::Refused { status, .. } if status.is_client_error() => INVALID_INPUT,
        CallError::Connect { .. } | CallError::Timeout { .. } => UNREACHABLE,
        _ => FAILED,
    }
}

/// Returns the message from the response of a host that refused the call. If the response has no
/// message, or no host responded, returns the text of the error.
fn call_message(error: &CallError) -> String {
    let CallError::Refused { body, .. } = error else {
        return error.to_string();
    };
    let value: Option<serde_json::Value> = serde_json::from_str(body).ok();
    let message = value.as_ref().and_then(|value| value["message"].as_str());
    message.map_or_else(|| error.to_string(), str::to_owned)
}
