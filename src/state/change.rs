//! Changes of the state, as stored in the change log.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{
    Epoch, HostKey, Incarnation, LeaseEpoch, OperationId, Revision, ServerKey, ServiceKey, Slot,
};

/// One accepted change, as stored in the platform's table service. It is also the entry of the
/// audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log; the first entry has 1, and there are no gaps.
    pub revision: Revision,
    /// Identifier chosen by the writer, by which retries are recognised.
    pub operation_id: OperationId,
    /// Operator or host that made the change.
    pub actor: String,
    /// Wall-clock time of the writer in milliseconds since 1970; used for the audit trail only.
    pub at_unix_ms: u64,
    /// Change that was accepted.
    pub change: Change,
}

/// One change of the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A template was submitted or amended.
    TemplateSubmitted {
        /// YAML text of the template.
        document: String,
    },
    /// A template was withdrawn.
    TemplateWithdrawn {
        /// Name of the template.
        name: String,
    },
    /// A workspace was submitted or amended.
    WorkspaceSubmitted {
        /// YAML text of the workspace.
        document: String,
    },
    /// A workspace was withdrawn.
    WorkspaceWithdrawn {
        /// Name of the workspace.
        name: String,
    },
    /// A host process has started and registers.
    HostRegistered {
        /// Name of the host, from its settings.
        name: String,
        /// Random identifier of the process.
        incarnation: Incarnation,
        /// Address at which other hosts reach the host.
        peer_address: SocketAddr,
        /// Availability zone of the host, from its settings.
        availability_zone: String,
    },
    /// A host has become a voter: it counts in the majorities of
    /// [`crate::membership::freshness`].
    HostPromoted {
        /// Host to promote.
        host: HostKey,
        /// Process of the host; the change is refused if another process has replaced it.
        incarnation: Incarnation,
    },
    /// A host has begun its planned stop.
    HostLeaving {
        /// Host that leaves.
        host: HostKey,
        /// Process of the host; the change is refused if another process has replaced it.
        incarnation: Incarnation,
    },
    /// A host was silent for too long and no longer belongs to the registry.
    HostRemoved {
        /// Host to remove.
        host: HostKey,
        /// Process of the host; the change is refused if another process has replaced it.
        incarnation: Incarnation,
    },
    /// No host acts on an earlier version of the registry any more.
    RegistrySettled {
        /// Revision of the last change of the registry; settling an earlier one is refused.
        registry: Revision,
    },
    /// A server process has responded and begins a new membership period.
    ServerJoined {
        /// Server that joins.
        server: ServerKey,
        /// Process that responded.
        incarnation: Incarnation,
    },
    /// A server has begun or ended draining.
    ServerDraining {
        /// Server whose draining changes.
        server: ServerKey,
        /// Membership period of the server; the change is refused in any other one.
        lease_epoch: LeaseEpoch,
        /// True if the server wants to leave and its slots are to be moved away.
        draining: bool,
    },
    /// A server does not respond; no host that has applied this revision renews its lease.
    ServerLost {
        /// Server that was lost.
        server: ServerKey,
        /// Membership period of the server; the change is refused in any other one.
        lease_epoch: LeaseEpoch,
    },
    /// The lease of a lost server has lapsed for certain, so its slots have no owner any more.
    ServerLapsed {
        /// Server whose lease has lapsed.
        server: ServerKey,
        /// Membership period of the server; the change is refused in any other one.
        lease_epoch: LeaseEpoch,
    },
    /// Moves of slots to new owners have begun.
    MovesBegun {
        /// Service of the slots.
        service: ServiceKey,
        /// Slots, their next owners and the epochs of their next grants.
        moves: Vec<SlotMove>,
    },
    /// Moves are completed: the new owners hold the slots.
    MovesCompleted {
        /// Service of the slots.
        service: ServiceKey,
        /// Slots, and the epochs at which they were granted to the new owners.
        done: Vec<MoveDone>,
    },
}

impl Change {
    /// Returns true for a change of a template or workspace, which only operators make.
    pub fn is_declaration(&self) -> bool {
        matches!(
            self,
            Self::TemplateSubmitted { .. }
                | Self::TemplateWithdrawn { .. }
                | Self::WorkspaceSubmitted { .. }
                | Self::WorkspaceWithdrawn { .. }
        )
    }
}

/// Start of the move of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotMove {
    /// Slot that moves.
    pub slot: Slot,
    /// Server that is to own the slot.
    pub to: ServerKey,
    /// Epoch of the grant to the next owner, one above the last epoch issued for the slot.
    pub epoch: Epoch,
}

/// Completion of the move of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveDone {
    /// Slot that has moved.
    pub slot: Slot,
    /// Epoch at which the slot was granted to the new owner.
    pub epoch: Epoch,
}
