//! Reasons why a change is refused or a snapshot cannot be decoded. Hosts refuse the same change at
//! the same revision for the same reason.

use snafu::Snafu;

use crate::configuration;

/// Reason why a change is refused, or a snapshot cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The submitted template or workspace has errors.
    #[snafu(display("{}", join(problems)))]
    Declaration {
        /// All problems found, so that they can be corrected at once.
        problems: Vec<configuration::Error>,
    },
    /// The named template or workspace does not exist.
    #[snafu(display("there is no {kind} named {name}"))]
    Unknown {
        /// `template` or `workspace`.
        kind: &'static str,
        /// Name that the operator gave.
        name: String,
    },
    /// The template cannot be withdrawn because a workspace uses it.
    #[snafu(display("template {template} is still used by workspace {workspace}"))]
    InUse {
        /// Template that is to be withdrawn.
        template: String,
        /// One of the workspaces that use the template; there may be more.
        workspace: String,
    },
    /// The declared number of slots differs from the number of slots of the existing service, which
    /// is fixed.
    #[snafu(display("service {service} has {slots} slots, which cannot change"))]
    SlotsFixed {
        /// Full name of the existing service, `workspace/service`.
        service: String,
        /// Number of slots of the existing service, which the declaration must keep.
        slots: u32,
    },
    /// The change was decided on an earlier state, and the current state no longer allows it.
    #[snafu(display("the change is outdated: {reason}"))]
    Outdated {
        /// Condition of the change that no longer holds, for logs and operators.
        reason: &'static str,
    },
    /// The revision of the entry is not one above the last revision applied.
    #[snafu(display("revision {found} does not follow {applied}"))]
    Order {
        /// Revision of the entry that was to be applied.
        found: u64,
        /// Last revision applied; the entry should have had the next revision.
        applied: u64,
    },
    /// A snapshot is damaged or cannot be decoded.
    #[snafu(display("the snapshot cannot be read: {message}"))]
    Snapshot {
        /// Wrong hash or revision, or an error from the decoder.
        message: String,
    },
}

/// Result of applying a change.
pub type Result<T> = std::result::Result<T, Error>;

fn join(problems: &[configuration::Error]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
