//! Messages of the control protocol of backend servers, and the headers of a routed request.
//!
//! A server holds one lease for itself and one grant for each slot that it owns. The server serves
//! a slot while its lease is valid and the request carries the epoch of the grant. The end of the
//! lease is given on the server's own monotonic clock, so that a delayed renewal cannot extend the
//! lease past the time that its sender intended. The *lease epoch* rises each time the server
//! joins. A lease of a higher lease epoch ends all grants that were made before: the server had
//! been declared lost, and its slots may have moved to other servers.

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, Incarnation, LeaseEpoch, Slot};

/// Path at which a server receives commands to renew its lease and to add grants (POST).
pub const LEASE_PATH: &str = "/_server/lease";
/// Path at which a server receives commands to release slots (POST).
pub const REVOKE_PATH: &str = "/_server/revoke";

/// Header with the full name of the service, `workspace/service`.
pub const SERVICE_HEADER: &str = "ashroad-service";
/// Header with the number of the slot that the request's key belongs to.
pub const SLOT_HEADER: &str = "ashroad-slot";
/// Header with the epoch of the slot's grant.
pub const EPOCH_HEADER: &str = "ashroad-epoch";
/// Header with the incarnation of the server that the request is for.
pub const INCARNATION_HEADER: &str = "ashroad-incarnation";
/// Header with the identifier of the request; all attempts of one request carry the same
/// identifier.
pub const REQUEST_HEADER: &str = "ashroad-request-id";
/// Header with the time left until the deadline of the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "ashroad-deadline-ms";
/// Response header with the outcome of a request that got no regular response: the request provably
/// did not run, or it may have run.
pub const OUTCOME_HEADER: &str = "ashroad-outcome";
/// Response header with the reason of the outcome that [`OUTCOME_HEADER`] gives.
pub const REASON_HEADER: &str = "ashroad-reason";
/// Header with the caller's key for an unrepeatable request, which runs at most once per key.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Right of a server to serve one slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Full name of the service that the slot belongs to, `workspace/service`.
    pub service: String,
    /// Slot that the server may serve while its lease is valid.
    pub slot: Slot,
    /// Fencing token of the grant; it rises with every grant of the slot.
    pub epoch: Epoch,
}

/// Command to extend the lease of a server and to add grants to those that the server holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Server process that the command is for; any other process refuses the command. A request
    /// with `None` is not a command and only queries the state of the server.
    pub incarnation: Option<Incarnation>,
    /// Lease epoch of the command. The server refuses the command if the server has seen a higher
    /// lease epoch.
    pub lease_epoch: LeaseEpoch,
    /// End of the lease that the command requests, in milliseconds on the server's monotonic clock.
    pub not_after_ms: u64,
    /// Grants that the server holds from this command on, in addition to its earlier grants; may
    /// be empty.
    pub grants: Vec<SlotGrant>,
}

/// State of a server and its lease, in response to a [`LeaseRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Server process that responds. This process differs from the process that the command is for
    /// if the server has restarted.
    pub incarnation: Incarnation,
    /// Monotonic clock of the process when it responded; the end of the lease is given on this
    /// clock.
    pub clock_ms: u64,
    /// Highest lease epoch that the process has seen.
    pub lease_epoch: LeaseEpoch,
    /// True if the command was for the responding process and the lease epoch of the command was
    /// not outdated.
    pub accepted: bool,
    /// True if the server is about to stop and should get no new work.
    pub draining: bool,
    /// Combination by exclusive or of [`grant_hash`] over all grants that the server holds.
    pub grants_digest: u64,
}

/// Command to release slots. The server responds after the requests in flight have finished, or
/// when `drain_ms` has passed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// Server process that the command is for; any other process refuses the command.
    pub incarnation: Incarnation,
    /// Slots to release, each with the epoch of its next grant. From the release on, the server
    /// refuses every lower epoch of the slot.
    pub slots: Vec<SlotGrant>,
    /// Maximum time in milliseconds for which the server waits for requests in flight on the slots.
    pub drain_ms: u64,
}

/// Response to a [`RevokeRequest`], which states whether the slots are free for the next owner.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RevokeResponse {
    /// Server process that responds. This process differs from the process that the command is for
    /// if the server has restarted.
    pub incarnation: Incarnation,
    /// True if the slots are released and no request on them is still running.
    pub released: bool,
}

/// Returns the hash of one grant. The hashes of several grants are combined by exclusive or.
pub fn grant_hash(service: &str, slot: Slot, epoch: Epoch) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(service.as_bytes());
    hasher.update(&slot.0.to_le_bytes());
    hasher.update(&epoch.0.to_le_bytes());
    hasher.digest()
}
