//! Types of the replicated state: tables of hosts, servers and services, whose keys are indices,
//! and the declared templates and workspaces.

use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{
    configuration::ServiceSpec,
    id::{
        Epoch, HostKey, Incarnation, LeaseEpoch, OperationId, Revision, ServerKey, ServiceKey, Slot,
    },
    membership::staleness::HostProcess,
};

/// Template or workspace in force, with its text as the operator submitted it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// YAML text as submitted, comments and formatting included.
    pub text: String,
    /// Revision at which the document was last submitted.
    pub revision: Revision,
}

/// Stage of the life cycle of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Registered, but not a quorum member: the host is not a top-level host of the heartbeat tree,
    /// or is not yet promoted.
    Joining,
    /// Registered, and counted in majorities as a quorum member.
    Live,
    /// The host has announced its stop. The host remains a quorum member until the host is removed.
    Leaving,
    /// The host is not registered. A later host may reuse its entry.
    Removed,
}

/// One process of an entry host. A restarted host replaces its old entry if it has the same peer
/// address, and gets a new entry otherwise.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name of the host, from its settings; later processes of the host have the same name.
    pub name: String,
    /// Random identifier of the process; each restart of the host chooses another one.
    pub incarnation: Incarnation,
    /// UDP address of the QUIC endpoint at which other hosts reach the host.
    pub peer_address: SocketAddr,
    /// Availability zone of the host, from its settings.
    pub availability_zone: String,
    /// Stage of the life cycle, which decides whether the host is registered and whether it is a
    /// quorum member.
    pub state: HostState,
    /// Revision of the last change of this entry.
    pub changed: Revision,
}

impl HostEntry {
    /// Returns true if the host is a quorum member (live or leaving) and so counts in majorities.
    pub fn is_quorum_member(&self) -> bool {
        matches!(self.state, HostState::Live | HostState::Leaving)
    }

    /// Returns true unless the host was removed.
    pub fn registered(&self) -> bool {
        self.state != HostState::Removed
    }
}

/// Stage of the life cycle of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// The server has not joined yet, or its last lease has expired.
    Absent,
    /// The server has a lease that hosts renew.
    Live,
    /// The server was declared lost. No host that has applied this change renews the lease, but the
    /// lease may still be valid.
    Lost,
}

/// Revisions at which the registry of hosts changed and at which its last change was complete.
///
/// A change of the registry is *complete* when no host acts on an earlier version of the registry.
/// Only then may the quorum members change again (see [`crate::membership::registry`]).
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    /// Revision of the last promotion or removal of a host, or replacement of a quorum member.
    pub changed: Revision,
    /// Revision of the last removal of a host or replacement of a quorum member.
    pub removal: Revision,
    /// Revision of the last promotion or removal of a host, which changed the quorum members.
    #[serde(rename = "voters_changed")]
    pub quorum_changed: Revision,
    /// Revision at which the last change of the registry was recorded as complete. From this
    /// revision on, no host acts on a version of the registry from before `changed`.
    #[serde(rename = "settled")]
    pub completed: Revision,
    /// Quorum members from before the last promotion or removal of a host; empty once that change
    /// is complete.
    #[serde(rename = "previous_voters")]
    pub previous_quorum_members: Vec<HostProcess>,
}

impl Registry {
    /// Returns true if the last change is complete: no host acts on an earlier version of the
    /// registry.
    pub fn is_change_complete(&self) -> bool {
        self.completed >= self.changed
    }

    /// Returns the revision before which majorities of the quorum members do not count towards the
    /// expiry of a lease (see [`crate::ownership::expiry`]). While the last promotion or removal of
    /// a host is not complete, this is the revision of that promotion or removal. Afterwards, this
    /// is the revision at which the last change of the registry was recorded as complete.
    pub fn majority_since(&self) -> Revision {
        if self.previous_quorum_members.is_empty() {
            self.completed
        } else {
            self.quorum_changed
        }
    }
}

/// Backend server, identified by its address, with its latest lease and lease epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Address at which hosts reach the server; unique among servers.
    pub address: SocketAddr,
    /// Availability zone from the workspace that declared the server last.
    pub availability_zone: String,
    /// Incarnation of the process that has the lease, or that had the last lease.
    pub incarnation: Incarnation,
    /// Lease epoch of the server: a number that rises each time the server joins.
    pub lease_epoch: LeaseEpoch,
    /// Stage of the life cycle, which decides whether hosts renew the server's lease.
    pub state: ServerState,
    /// True if the server wants to leave, so that its slots are moved away.
    pub draining: bool,
    /// Revision of the last change of this entry.
    pub changed: Revision,
}

/// Ownership of one slot: its owner, the next owner while the slot moves, and the last epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotEntry {
    /// Current owner; `None` before the first grant and after the owner's lease has expired.
    pub owner: Option<ServerKey>,
    /// Next owner while the slot moves; `None` otherwise.
    pub next: Option<ServerKey>,
    /// Highest epoch (fencing token) issued for the slot: the epoch of the owner's grant, or of the
    /// next owner's grant while the slot moves.
    pub epoch: Epoch,
}

impl SlotEntry {
    /// Removes a server whose lease has expired. A move to that server is turned into a move back
    /// to the current owner. The move back gets a new epoch, because the removed server may hold a
    /// grant of the last epoch.
    pub(super) fn remove_server(&mut self, server: ServerKey) {
        if self.owner == Some(server) {
            self.owner = None;
        }
        if self.next == Some(server) {
            self.next = self.owner;
            self.epoch = self.epoch.next();
        }
    }

    /// Returns the owner of a slot that does not move; `None` while the slot moves or has no owner.
    pub fn stable_owner(&self) -> Option<ServerKey> {
        match self.next {
            Some(_) => None,
            None => self.owner,
        }
    }
}

/// Service of one workspace, with the ownership of its slots.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Declaration, expanded from the template with the parameters of the workspace.
    pub spec: ServiceSpec,
    /// Keys of the servers in `spec.targets`, in the same order.
    pub targets: Vec<ServerKey>,
    /// Ownership of each slot; the index is the slot number. The number of slots is fixed when the
    /// service is first declared.
    pub slots: Vec<SlotEntry>,
    /// False once the service is withdrawn. The entry is kept so that the epochs of its slots never
    /// repeat.
    pub active: bool,
}

/// Recently accepted change, kept to recognise retries of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentOperation {
    /// Hash of the identifier that the writer chose.
    pub id_hash: u128,
    /// Revision at which the change was appended to the log, which is returned to a retry of the
    /// change.
    pub revision: Revision,
}

/// The replicated state at one revision. All hosts at that revision have the same state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Revision of the last change applied; 0 before the first change.
    pub revision: Revision,
    /// Revision of the last change of a template or workspace.
    pub configuration: Revision,
    /// Templates in force, by name; a withdrawn template is removed.
    pub templates: BTreeMap<String, Document>,
    /// Workspaces in force, by name; a withdrawn workspace is removed.
    pub workspaces: BTreeMap<String, Document>,
    /// Revisions of the last changes of the registry of hosts and of their completion.
    pub registry: Registry,
    /// Entry hosts by [`HostKey`], one entry per process. Entries of removed hosts are reused.
    pub hosts: Vec<HostEntry>,
    /// Backend servers by [`ServerKey`]; entries are never removed.
    pub servers: Vec<ServerEntry>,
    /// Services by [`ServiceKey`], withdrawn services included. Successive states share the
    /// unchanged services.
    pub services: Vec<Arc<ServiceEntry>>,
    /// Latest changes, oldest first, from which a retried submission is recognised.
    pub recent_operations: VecDeque<RecentOperation>,
}

impl State {
    /// Returns the entry of the host `key`, also if the host was removed; `None` if the key was
    /// never assigned.
    pub fn host(&self, key: HostKey) -> Option<&HostEntry> {
        self.hosts.get(key.0 as usize)
    }

    /// Returns the entry of the server `key`, also if the server is absent; `None` if the key was
    /// never assigned.
    pub fn server(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.servers.get(key.0 as usize)
    }

    /// Returns the entry of the service `key`, also if the service was withdrawn; `None` if the key
    /// was never assigned.
    pub fn service(&self, key: ServiceKey) -> Option<&ServiceEntry> {
        self.services.get(key.0 as usize).map(Arc::as_ref)
    }

    /// Returns the key of the registered host whose process has this incarnation; `None` if no such
    /// process is registered.
    pub fn host_key(&self, incarnation: Incarnation) -> Option<HostKey> {
        let is_same_process =
            |host: &HostEntry| host.incarnation == incarnation && host.registered();
        let index = self.hosts.iter().position(is_same_process)?;
        Some(HostKey(index as u32))
    }

    /// Returns the key of the server at `address`; `None` if no workspace has declared it.
    pub fn server_key(&self, address: SocketAddr) -> Option<ServerKey> {
        let index = self.servers.iter().position(|s| s.address == address)?;
        Some(ServerKey(index as u32))
    }

    /// Returns the key of the service with the full name `workspace/service`, also if the service
    /// was withdrawn; `None` if no such service was ever declared.
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        let index = self.services.iter().position(|s| s.spec.name == name)?;
        Some(ServiceKey(index as u32))
    }

    /// Iterates over the registered hosts and their keys, in key order; removed hosts are skipped.
    pub fn registered_hosts(&self) -> impl Iterator<Item = (HostKey, &HostEntry)> {
        let keys = (0..).map(HostKey);
        keys.zip(&self.hosts).filter(|(_, host)| host.registered())
    }

    /// Iterates over all servers ever declared and their keys, in key order.
    pub fn server_entries(&self) -> impl Iterator<Item = (ServerKey, &ServerEntry)> {
        (0..).map(ServerKey).zip(&self.servers)
    }

    /// Iterates over the services in force and their keys, in key order; withdrawn services are
    /// skipped.
    pub fn active_services(&self) -> impl Iterator<Item = (ServiceKey, &ServiceEntry)> {
        let keys = (0..).map(ServiceKey);
        let services = self.services.iter().map(Arc::as_ref);
        keys.zip(services).filter(|(_, service)| service.active)
    }

    /// Returns the revision of the recent change with identifier `id`; `None` if no such change was
    /// made or if its identifier is no longer kept.
    pub fn operation(&self, id: &OperationId) -> Option<Revision> {
        let hash = id.hash();
        let found = self
            .recent_operations
            .iter()
            .rev()
            .find(|op| op.id_hash == hash)?;
        Some(found.revision)
    }
}

impl ServiceEntry {
    /// Iterates over the slots of the service and their numbers, in ascending order of the numbers.
    pub fn slot_entries(&self) -> impl Iterator<Item = (Slot, &SlotEntry)> {
        (0..).map(Slot).zip(&self.slots)
    }
}
