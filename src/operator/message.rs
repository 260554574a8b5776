//! Request and response bodies of the operators' API, and the parameters of its queries.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Request to submit or amend a template or workspace.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SubmitBody {
    /// YAML text of the template or workspace.
    pub document: String,
    /// Identifier of this submission. A retry with the same identifier, for example after a lost
    /// response, is not applied twice. By default the host chooses a random identifier.
    #[serde(default)]
    pub operation_id: Option<String>,
    /// Configuration revision that the change is based on. The host refuses the change if the
    /// configuration is at another revision. By default every revision is accepted.
    #[serde(default)]
    pub expect_revision: Option<u64>,
    /// Name of the operator, for the audit trail; `operator` by default.
    #[serde(default)]
    pub actor: Option<String>,
    /// True if the host should only compute the effects of the change, without applying the change.
    #[serde(default)]
    pub dry_run: bool,
}

/// Request to withdraw a template or workspace.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WithdrawBody {
    /// Name of the template or workspace, as declared in its document.
    pub name: String,
    /// Identifier of this withdrawal. A retry with the same identifier is not applied twice. By
    /// default the host chooses a random identifier.
    #[serde(default)]
    pub operation_id: Option<String>,
    /// Configuration revision that the change is based on. The host refuses the change if the
    /// configuration is at another revision. By default every revision is accepted.
    #[serde(default)]
    pub expect_revision: Option<u64>,
    /// Name of the operator, for the audit trail; `operator` by default.
    #[serde(default)]
    pub actor: Option<String>,
}

/// Response to an accepted change or a dry run.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Accepted {
    /// Revision at which the change was committed. For a dry run, the revision of the state to
    /// which the change was applied on trial.
    pub revision: u64,
    /// Effects on services and slots, computed from the state that the host had before the change.
    pub effect: Effect,
}

/// Effects that a change has on services and slots. Other services are not affected.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Effect {
    /// Full names of the services that the change adds.
    pub services_added: Vec<String>,
    /// Full names of the services that the change withdraws.
    pub services_withdrawn: Vec<String>,
    /// Full names of the services whose declaration the change modifies.
    pub services_changed: Vec<String>,
    /// Number of slots of the added and changed services that have no owner among the declared
    /// servers, and so have to move.
    pub slots_moved: u64,
    /// Number of all slots of the added and changed services.
    pub slots: u64,
}

/// Template or workspace in force, with its text.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct DocumentBody {
    /// Name of the template or workspace, as declared in its document.
    pub name: String,
    /// Revision at which the document was last submitted.
    pub revision: u64,
    /// YAML text of the document as submitted, with its comments.
    pub document: String,
}

/// All templates or all workspaces in force, with the configuration revision that a later change
/// can name as its `expect_revision`.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct DocumentList {
    /// Revision of the last change of any template or workspace.
    pub configuration: u64,
    /// Templates or workspaces in the order of their names.
    pub documents: Vec<DocumentBody>,
}

/// State of the system as one host sees it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct StatusBody {
    /// Name of the host that responds.
    pub host: String,
    /// Last revision that the responding host has applied.
    pub revision: u64,
    /// Revision of the last change of any template or workspace.
    pub configuration: u64,
    /// True if the staleness of the responding host's view is within the maximum, so that the
    /// responding host may act on its view.
    pub fresh: bool,
    /// Staleness of the responding host's view in milliseconds: the time since the latest time for
    /// which the responding host knows that it had applied every change; `None` while there is no
    /// such time.
    #[serde(rename = "basis_age_ms")]
    pub staleness_ms: Option<u64>,
    /// True if the responding host believes that it is the leader.
    pub leading: bool,
    /// Term of the leader row as the responding host last read or wrote it; 0 before the first
    /// read.
    pub term: u64,
    /// True if the last change of the registry of hosts is complete: no host acts on an earlier
    /// version of the registry.
    pub registry_settled: bool,
    /// All registered hosts, including hosts that are joining or leaving.
    pub hosts: Vec<HostStatus>,
    /// All backend servers that were ever declared.
    pub servers: Vec<ServerStatus>,
    /// Services in force. Withdrawn services are left out.
    pub services: Vec<ServiceStatus>,
}

/// State of one registered host, as the responding host knows it from heartbeats and its view.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct HostStatus {
    /// Name from the settings of the host.
    pub name: String,
    /// Availability zone from the settings of the host.
    pub availability_zone: String,
    /// Stage of the life cycle of the host: `joining`, `live` or `leaving`.
    pub state: String,
    /// Revision that the host of this entry last reported to the responding host. `None` if the
    /// responding host has received no report from the host of this entry.
    pub revision: Option<u64>,
    /// Time in milliseconds since the responding host sent the first heartbeat to which the host of
    /// this entry replied with `revision`. If the entry is about the responding host, the time
    /// since the responding host applied `revision`. `None` if there is no such time.
    pub since_ms: Option<u64>,
    /// Time in milliseconds since the responding host sent the last heartbeat to which the host of
    /// this entry replied; `None` if the host of this entry has never replied. 0 if the entry is
    /// about the responding host.
    pub heard_ms: Option<u64>,
}

/// State of one backend server, over all services that declare it.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ServerStatus {
    /// Address from the workspace, by which the server is identified.
    pub address: String,
    /// Availability zone from the workspace.
    pub availability_zone: String,
    /// Stage of the life cycle of the server: `absent`, `live` or `lost`.
    pub state: String,
    /// True if the server wants to leave, so that its slots are moved away.
    pub draining: bool,
    /// Number of slots that the server owns, over all services.
    pub slots: u64,
}

/// Progress of the placement of one service: the number of its slots that have an owner and do not
/// move, and the number of slots that are moving.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct ServiceStatus {
    /// Full name of the service, `workspace/service`.
    pub name: String,
    /// Number of slots of the service, which is fixed when the service is first declared.
    pub slots: u64,
    /// Number of slots that have an owner and do not move.
    pub settled: u64,
    /// Number of slots that are moving to a next owner.
    pub moving: u64,
}

/// Response to the request for a planned stop.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct Draining {
    /// Name of the host that has begun to stop.
    pub host: String,
}

/// Slot and owner of a key, as the responding host sees them.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct OwnerBody {
    /// Slot that the hash of the key selects.
    pub slot: u32,
    /// Highest epoch (fencing token) issued for the slot.
    pub epoch: u64,
    /// Address of the owner; `None` while the slot has no owner.
    pub owner: Option<String>,
    /// Address of the next owner while the slot moves; `None` otherwise.
    pub next: Option<String>,
}

/// Entry of the audit trail: an accepted change, with its author and time.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct AuditEntry {
    /// Position of the change in the change log. The first change has position 1.
    pub revision: u64,
    /// Wall-clock time at which the writer wrote the change, in milliseconds since 1970.
    pub at_unix_ms: u64,
    /// Operator or host that made the change.
    pub actor: String,
    /// Idempotency identifier of the change, which the writer repeats when it retries the write.
    pub operation_id: String,
    /// Change with its parameters, as JSON text.
    pub change: String,
}

/// Page of the audit trail. An empty page means that there are no later entries.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct AuditPage {
    /// Entries, oldest first. The next page begins after the revision of the last entry.
    pub entries: Vec<AuditEntry>,
}

/// Query parameters for the owner of a key of one service.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct OwnerQuery {
    /// Full name of the service, `workspace/service`.
    pub service: String,
    /// Key, spelled as in callers' requests.
    pub key: String,
}

/// Query parameters for a page of the audit trail.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
pub struct AuditQuery {
    /// Revision after which the page begins; 0 for the start of the log.
    #[serde(default)]
    pub after: u64,
}
