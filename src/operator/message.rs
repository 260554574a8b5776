//! Messages of the operators' API.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// A template or workspace to submit or amend.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// YAML text.
    pub document: String,
    /// Identifier of this submission; sent again after a lost answer, it is not applied twice.
    #[serde(default)]
    pub operation_id: Option<String>,
    /// Configuration revision that the change was made for; another one is refused.
    #[serde(default)]
    pub expect_revision: Option<u64>,
    /// Who submits, for the audit trail.
    #[serde(default)]
    pub actor: Option<String>,
    /// Only shows what would change.
    #[serde(default)]
    pub dry_run: bool,
}

/// A template or workspace to withdraw.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WithdrawBody {
    /// Name.
    pub name: String,
    /// Identifier of this change.
    #[serde(default)]
    pub operation_id: Option<String>,
    /// Configuration revision that the change was made for; another one is refused.
    #[serde(default)]
    pub expect_revision: Option<u64>,
    /// Who withdraws, for the audit trail.
    #[serde(default)]
    pub actor: Option<String>,
}

/// An accepted change.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Accepted {
    /// Revision that it became; for a dry run the one it was tried on.
    pub revision: u64,
    /// What it does.
    pub effect: Effect,
}

/// What a change does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Effect {
    /// Services that it brings.
    pub services_added: Vec<String>,
    /// Services that it takes away.
    pub services_withdrawn: Vec<String>,
    /// Services whose declaration it changes.
    pub services_changed: Vec<String>,
    /// Slots that must move for it.
    pub slots_moved: u64,
    /// Slots of the services concerned.
    pub slots: u64,
}

/// A declaration in force.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct DocumentBody {
    /// Name.
    pub name: String,
    /// Revision that brought it.
    pub revision: u64,
    /// YAML text.
    pub document: String,
}

/// Declarations in force.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct DocumentList {
    /// Configuration revision.
    pub configuration: u64,
    /// Declarations.
    pub documents: Vec<DocumentBody>,
}

/// State of the system as one host sees it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct StatusBody {
    /// Host that answers.
    pub host: String,
    /// Revision that it has applied.
    pub revision: u64,
    /// Configuration revision.
    pub configuration: u64,
    /// True if it may act on its view.
    pub fresh: bool,
    /// Age of its basis.
    pub basis_age_ms: Option<u64>,
    /// True if it leads.
    pub leading: bool,
    /// Leader's term.
    pub term: u64,
    /// True if the last promotion or removal of a host is settled.
    pub registry_settled: bool,
    /// Hosts.
    pub hosts: Vec<HostStatus>,
    /// Backend servers.
    pub servers: Vec<ServerStatus>,
    /// Services.
    pub services: Vec<ServiceStatus>,
}

/// One host.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct HostStatus {
    /// Name.
    pub name: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Stage.
    pub state: String,
    /// Revision as last heard; none if it was not heard.
    pub revision: Option<u64>,
    /// Time since it was first heard with this revision.
    pub since_ms: Option<u64>,
    /// Time since it was last heard.
    pub heard_ms: Option<u64>,
}

/// One backend server.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ServerStatus {
    /// Address.
    pub address: String,
    /// Availability zone.
    pub availability_zone: String,
    /// Stage.
    pub state: String,
    /// True if it wants to leave.
    pub draining: bool,
    /// Slots that it owns, over all services.
    pub slots: u64,
}

/// One service.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ServiceStatus {
    /// Full name.
    pub name: String,
    /// Slots.
    pub slots: u64,
    /// Slots that have an owner and do not move.
    pub settled: u64,
    /// Slots that move.
    pub moving: u64,
}

/// A host whose planned stop has begun.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Draining {
    /// Name.
    pub host: String,
}

/// Owner of a key.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct OwnerBody {
    /// Slot of the key.
    pub slot: u32,
    /// Epoch.
    pub epoch: u64,
    /// Address of the owner; none while the slot has none.
    pub owner: Option<String>,
    /// Address of the next owner while the slot moves.
    pub next: Option<String>,
}

/// One entry of the audit trail.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct AuditEntry {
    /// Revision.
    pub revision: u64,
    /// Wall time of the writer.
    pub at_unix_ms: u64,
    /// Who made the change.
    pub actor: String,
    /// Identifier of the change.
    pub operation_id: String,
    /// The change, as JSON.
    pub change: String,
}

/// A page of the audit trail.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct AuditPage {
    /// Entries, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// Question for a key's owner.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct OwnerQuery {
    /// Full name of the service, `workspace/service`.
    pub service: String,
    /// Key.
    pub key: String,
}

/// Question for a page of the audit trail.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct AuditQuery {
    /// Only entries after this revision.
    #[serde(default)]
    pub after: u64,
}
