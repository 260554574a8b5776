//! Entries of the change log and the changes that they carry. Every host applies them in log order.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{
    Epoch, HostKey, Incarnation, LeaseEpoch, OperationId, Revision, ServerKey, ServiceKey, Slot,
};

/// One accepted change, as stored in the platform's table service. The log entries also form the
/// audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position of the entry in the log; the first entry has revision 1, and no revision is left
    /// out.
    pub revision: Revision,
    /// Identifier chosen by the writer, by which retries are recognised.
    pub operation_id: OperationId,
    /// Operator or host that made the change.
    pub actor: String,
    /// Wall-clock time of the writer in milliseconds since 1970; used for the audit trail only.
    pub at_unix_ms: u64,
    /// Change that the entry applies; it was valid at the revision before this one.
    pub change: Change,
}

/// One change of the replicated state. The log stores it as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A template was submitted or amended; the services of its workspaces change accordingly.
    TemplateSubmitted {
        /// YAML text of the template, which is parsed and checked again when the change is applied.
        document: String,
    },
    /// A template that no workspace uses was withdrawn.
    TemplateWithdrawn {
        /// Name from the `template` field of the document; the change is refused while a workspace
        /// uses this template.
        name: String,
    },
    /// A workspace was submitted or amended.
    WorkspaceSubmitted {
        /// YAML text of the workspace, which is parsed and checked again when the change is
        /// applied.
        document: String,
    },
    /// A workspace was withdrawn, which withdraws its services.
    WorkspaceWithdrawn {
        /// Name from the `workspace` field of the document; the services of this workspace are
        /// withdrawn too.
        name: String,
    },
    /// A host process has started and registers.
    HostRegistered {
        /// Name of the host from its settings, the same for its later processes. A later process of
        /// the same name makes the leader remove the earlier one sooner.
        name: String,
        /// Random identifier of the process; each restart of the host chooses another one.
        incarnation: Incarnation,
        /// Address at which other hosts reach the host.
        peer_address: SocketAddr,
        /// Availability zone of the host, from its settings.
        availability_zone: String,
    },
    /// A host has become a quorum member: it counts in the majorities of
    /// [`crate::membership::staleness`].
    HostPromoted {
        /// Registered host that becomes a quorum member.
        host: HostKey,
        /// Process of the host; the change is refused if another process has replaced this one.
        incarnation: Incarnation,
    },
    /// A host was asked to stop and has announced its stop.
    HostLeaving {
        /// Host that stops; it remains a quorum member until its removal.
        host: HostKey,
        /// Process of the host; the change is refused if another process has replaced this one.
        incarnation: Incarnation,
    },
    /// A host sent no heartbeats for too long and was removed from the registry.
    HostRemoved {
        /// Host whose entry is marked as removed; its key may be reused by a later host.
        host: HostKey,
        /// Process of the host; the change is refused if another process has replaced this one.
        incarnation: Incarnation,
    },
    /// The last change of the registry is complete: no host acts on an earlier version of the
    /// registry.
    RegistrySettled {
        /// Revision of the last change of the registry. The change is refused if the registry has
        /// changed again since.
        registry: Revision,
    },
    /// A server process has responded and begins a new lease epoch.
    ServerJoined {
        /// Server that joins; it must have no lease.
        server: ServerKey,
        /// Process that responded; the lease is granted to this process and to no other process at
        /// the server's address.
        incarnation: Incarnation,
    },
    /// A server has begun or ended draining (its slots are moved away).
    ServerDraining {
        /// Live server that begins or ends draining.
        server: ServerKey,
        /// Lease epoch of the server; the change is refused in any other lease epoch.
        lease_epoch: LeaseEpoch,
        /// True if the server wants to leave and its slots are to be moved away.
        draining: bool,
    },
    /// A server does not respond. No host that has applied this revision renews the server's lease.
    ServerLost {
        /// Live server that stopped responding; it becomes
        /// [`ServerState::Lost`](super::ServerState::Lost).
        server: ServerKey,
        /// Lease epoch of the server; the change is refused in any other lease epoch.
        lease_epoch: LeaseEpoch,
    },
    /// The lease of a lost server has certainly expired, so its slots have no owner.
    ServerLapsed {
        /// Lost server; it becomes absent and may join again.
        server: ServerKey,
        /// Lease epoch of the server; the change is refused in any other lease epoch.
        lease_epoch: LeaseEpoch,
    },
    /// Moves of slots to new owners have begun.
    MovesBegun {
        /// Service that all slots of this change belong to.
        service: ServiceKey,
        /// Moves to begin. If one move is invalid, the whole change is refused.
        moves: Vec<SlotMove>,
    },
    /// Moves are completed: the new owners hold the slots.
    MovesCompleted {
        /// Service that all slots of this change belong to.
        service: ServiceKey,
        /// Moves to complete. If one move is invalid, the whole change is refused.
        done: Vec<CompletedMove>,
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
    /// Number of the slot within the service, from 0.
    pub slot: Slot,
    /// Next owner: the server that the slot moves to.
    pub to: ServerKey,
    /// Epoch of the grant to the next owner, one above the last epoch issued for the slot.
    pub epoch: Epoch,
}

/// Completion of the move of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompletedMove {
    /// Number of the slot within the service, from 0.
    pub slot: Slot,
    /// Epoch at which the slot was granted to the new owner.
    pub epoch: Epoch,
}
