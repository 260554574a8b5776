//! The changes that the log holds.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{
    Epoch, HostKey, Incarnation, LeaseEpoch, OperationId, Revision, ServerKey, ServiceKey, Slot,
};

/// One accepted change, as stored in the platform's table service; also its audit entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log.
    pub revision: Revision,
    /// Identifier chosen by the writer.
    pub operation_id: OperationId,
    /// Operator or host that made the change.
    pub actor: String,
    /// Wall time of the writer.
    pub at_unix_ms: u64,
    /// The change.
    pub change: Change,
}

/// One change of the agreed state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Change {
    /// A template was submitted or amended.
    TemplateSubmitted {
        /// YAML text.
        document: String,
    },
    /// A template was withdrawn.
    TemplateWithdrawn {
        /// Name.
        name: String,
    },
    /// A workspace was submitted or amended.
    WorkspaceSubmitted {
        /// YAML text.
        document: String,
    },
    /// A workspace was withdrawn.
    WorkspaceWithdrawn {
        /// Name.
        name: String,
    },
    /// A host process started.
    HostRegistered {
        /// Name from its settings.
        name: String,
        /// Process.
        incarnation: Incarnation,
        /// Address for its peers.
        peer_address: SocketAddr,
        /// Availability zone.
        availability_zone: String,
    },
    /// A host counts from now on in the majority of [`crate::membership::freshness`].
    HostPromoted {
        /// Host.
        host: HostKey,
        /// Process.
        incarnation: Incarnation,
    },
    /// A host began its planned stop.
    HostLeaving {
        /// Host.
        host: HostKey,
        /// Process.
        incarnation: Incarnation,
    },
    /// A host is gone.
    HostRemoved {
        /// Host.
        host: HostKey,
        /// Process.
        incarnation: Incarnation,
    },
    /// No host acts on an earlier registry any more.
    RegistrySettled {
        /// Revision of the registry's last change.
        registry: Revision,
    },
    /// A server process was found and gets a new membership period.
    ServerJoined {
        /// Server.
        server: ServerKey,
        /// Process.
        incarnation: Incarnation,
    },
    /// A server asks to leave, or no longer does.
    ServerDraining {
        /// Server.
        server: ServerKey,
        /// Membership period.
        lease_epoch: LeaseEpoch,
        /// True if it wants to leave.
        draining: bool,
    },
    /// A server does not answer; nobody renews its lease from this revision on.
    ServerLost {
        /// Server.
        server: ServerKey,
        /// Membership period.
        lease_epoch: LeaseEpoch,
    },
    /// The lease of a lost server has lapsed for certain; its slots have no owner.
    ServerLapsed {
        /// Server.
        server: ServerKey,
        /// Membership period.
        lease_epoch: LeaseEpoch,
    },
    /// Slots are to get new owners.
    MovesBegun {
        /// Service.
        service: ServiceKey,
        /// Slots and their next owners.
        moves: Vec<SlotMove>,
    },
    /// Slots have their new owners.
    MovesCompleted {
        /// Service.
        service: ServiceKey,
        /// Slots and the epoch that their new owner holds.
        done: Vec<MoveDone>,
    },
}

impl Change {
    /// True for a change that an operator declares.
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

/// One slot's next owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotMove {
    /// Slot.
    pub slot: Slot,
    /// Next owner.
    pub to: ServerKey,
    /// Epoch of the next grant.
    pub epoch: Epoch,
}

/// One slot whose move has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MoveDone {
    /// Slot.
    pub slot: Slot,
    /// Epoch that the new owner holds.
    pub epoch: Epoch,
}
