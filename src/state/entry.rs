//! What the state holds: arenas of hosts, servers and services, and the declarations.

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
    membership::freshness::Voter,
};

/// A declaration in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// YAML text.
    pub text: String,
    /// Revision that brought it.
    pub revision: Revision,
}

/// Stage of an entry host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Registered, not counted in the majority: it is not one of the first hosts, or not yet.
    Joining,
    /// Registered and counted.
    Live,
    /// In its planned stop; still counted.
    Leaving,
    /// Gone.
    Removed,
}

/// One entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Name.
    pub name: String,
    /// Process.
    pub incarnation: Incarnation,
    /// Address for its peers.
    pub peer_address: SocketAddr,
    /// Availability zone.
    pub availability_zone: String,
    /// Stage.
    pub state: HostState,
    /// Revision of the last change of this entry.
    pub changed: Revision,
}

impl HostEntry {
    /// True if the host counts in the majority.
    pub fn is_voter(&self) -> bool {
        matches!(self.state, HostState::Live | HostState::Leaving)
    }

    /// True unless the host is gone.
    pub fn registered(&self) -> bool {
        self.state != HostState::Removed
    }
}

/// Stage of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerState {
    /// Never seen, or its last lease lapsed.
    Absent,
    /// Holds a lease that hosts renew.
    Live,
    /// Its lease is no longer renewed but may still be valid.
    Lost,
}

/// Progress of the registry of hosts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Registry {
    /// Last promotion, removal or replacement of a counted host.
    pub changed: Revision,
    /// Last removal or replacement.
    pub removal: Revision,
    /// Last promotion or removal.
    pub voters_changed: Revision,
    /// Last settlement: since then no host acts on a registry from before `changed`.
    pub settled: Revision,
    /// Hosts that counted before the last promotion or removal, until that is settled.
    pub previous_voters: Vec<Voter>,
}

impl Registry {
    /// True if no host acts on an earlier registry any more.
    pub fn is_settled(&self) -> bool {
        self.settled >= self.changed
    }

    /// Revision from which on a majority counts.
    pub fn majority_since(&self) -> Revision {
        if self.previous_voters.is_empty() {
            self.settled
        } else {
            self.voters_changed
        }
    }
}

/// One backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Address.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: String,
    /// Process that holds the lease.
    pub incarnation: Incarnation,
    /// Membership period.
    pub lease_epoch: LeaseEpoch,
    /// Stage.
    pub state: ServerState,
    /// The server wants to leave.
    pub draining: bool,
    /// Revision of the last change of this entry.
    pub changed: Revision,
}

/// Ownership of one slot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotEntry {
    /// Present owner.
    pub owner: Option<ServerKey>,
    /// Next owner while the slot moves.
    pub next: Option<ServerKey>,
    /// Highest epoch issued: of the owner's grant, or of the next one's while the slot moves.
    pub epoch: Epoch,
}

impl SlotEntry {
    /// Takes a lapsed server out. A move towards it turns back to the present owner, at a new
    /// epoch because the lapsed server may have held the last one.
    pub(super) fn remove_server(&mut self, server: ServerKey) {
        if self.owner == Some(server) {
            self.owner = None;
        }
        if self.next == Some(server) {
            self.next = self.owner;
            self.epoch = self.epoch.next();
        }
    }

    /// The owner, unless the slot moves or has none.
    pub fn settled(&self) -> Option<ServerKey> {
        match self.next {
            Some(_) => None,
            None => self.owner,
        }
    }
}

/// One service of one workspace.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Declaration with all parameters filled in.
    pub spec: ServiceSpec,
    /// Servers of `spec.targets`, in that order.
    pub targets: Vec<ServerKey>,
    /// Slots.
    pub slots: Vec<SlotEntry>,
    /// False once withdrawn; epochs are kept so that they never repeat.
    pub active: bool,
}

/// A change that was accepted not long ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecentOperation {
    /// Hash of its identifier.
    pub id_hash: u128,
    /// Revision that it became.
    pub revision: Revision,
}

/// The agreed state at one revision.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Last change applied.
    pub revision: Revision,
    /// Last change of a template or workspace.
    pub configuration: Revision,
    /// Templates by name.
    pub templates: BTreeMap<String, Document>,
    /// Workspaces by name.
    pub workspaces: BTreeMap<String, Document>,
    /// The registry of hosts.
    pub registry: Registry,
    /// Entry hosts, one entry a process; entries of removed ones are used again.
    pub hosts: Vec<HostEntry>,
    /// Backend servers.
    pub servers: Vec<ServerEntry>,
    /// Services, shared between successive states.
    pub services: Vec<Arc<ServiceEntry>>,
    /// Identifiers of the latest changes, so that a repeated submission is recognised.
    pub recent_operations: VecDeque<RecentOperation>,
}

impl State {
    /// The host `key`.
    pub fn host(&self, key: HostKey) -> Option<&HostEntry> {
        self.hosts.get(key.0 as usize)
    }

    /// The server `key`.
    pub fn server(&self, key: ServerKey) -> Option<&ServerEntry> {
        self.servers.get(key.0 as usize)
    }

    /// The service `key`.
    pub fn service(&self, key: ServiceKey) -> Option<&ServiceEntry> {
        self.services.get(key.0 as usize).map(Arc::as_ref)
    }

    /// Key of a registered host process.
    pub fn host_key(&self, incarnation: Incarnation) -> Option<HostKey> {
        let is_it = |host: &HostEntry| host.incarnation == incarnation && host.registered();
        let index = self.hosts.iter().position(is_it)?;
        Some(HostKey(index as u32))
    }

    /// Key of the server at `address`.
    pub fn server_key(&self, address: SocketAddr) -> Option<ServerKey> {
        let index = self.servers.iter().position(|s| s.address == address)?;
        Some(ServerKey(index as u32))
    }

    /// Key of the service with the full name `name`.
    pub fn service_key(&self, name: &str) -> Option<ServiceKey> {
        let index = self.services.iter().position(|s| s.spec.name == name)?;
        Some(ServiceKey(index as u32))
    }

    /// Hosts with their keys, the removed ones left out.
    pub fn registered_hosts(&self) -> impl Iterator<Item = (HostKey, &HostEntry)> {
        let keys = (0..).map(HostKey);
        keys.zip(&self.hosts).filter(|(_, host)| host.registered())
    }

    /// Servers with their keys.
    pub fn server_entries(&self) -> impl Iterator<Item = (ServerKey, &ServerEntry)> {
        (0..).map(ServerKey).zip(&self.servers)
    }

    /// Services in force with their keys.
    pub fn active_services(&self) -> impl Iterator<Item = (ServiceKey, &ServiceEntry)> {
        let keys = (0..).map(ServiceKey);
        let services = self.services.iter().map(Arc::as_ref);
        keys.zip(services).filter(|(_, service)| service.active)
    }

    /// Revision of a recent change, by its identifier.
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
    /// Slots with their numbers.
    pub fn slot_entries(&self) -> impl Iterator<Item = (Slot, &SlotEntry)> {
        (0..).map(Slot).zip(&self.slots)
    }
}
