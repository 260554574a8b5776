//! Reasons why a change cannot be applied.

use snafu::Snafu;

use crate::configuration;

/// Why a change is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A declaration has faults.
    #[snafu(display("{}", join(problems)))]
    Declaration {
        /// All faults found.
        problems: Vec<configuration::Error>,
    },
    /// The named thing does not exist.
    #[snafu(display("there is no {kind} named {name}"))]
    Unknown {
        /// Kind of thing.
        kind: &'static str,
        /// Its name.
        name: String,
    },
    /// The template is filled in by a workspace.
    #[snafu(display("template {template} is still used by workspace {workspace}"))]
    InUse {
        /// Template.
        template: String,
        /// A workspace that uses it.
        workspace: String,
    },
    /// The slots of a service are fixed for its life.
    #[snafu(display("service {service} has {slots} slots, which cannot change"))]
    SlotsFixed {
        /// Service.
        service: String,
        /// Its slots.
        slots: u32,
    },
    /// The change was made for a state that has passed.
    #[snafu(display("the change is outdated: {reason}"))]
    Outdated {
        /// What no longer holds.
        reason: &'static str,
    },
    /// The revision is not the next one.
    #[snafu(display("revision {found} does not follow {applied}"))]
    Order {
        /// Revision of the change.
        found: u64,
        /// Last revision applied.
        applied: u64,
    },
    /// A stored snapshot cannot be read.
    #[snafu(display("the snapshot cannot be read: {message}"))]
    Snapshot {
        /// Cause.
        message: String,
    },
}

/// Result of applying a change.
pub type Result<T> = std::result::Result<T, Error>;

fn join(problems: &[configuration::Error]) -> String {
    let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
    lines.join("; ")
}
