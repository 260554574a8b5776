//! Messages of the backend servers' control protocol, and the headers of a routed request.
//!
//! A server holds one lease for itself and a grant for each slot. It serves a slot while its lease
//! is valid and the request carries the epoch of the grant. The lease's end is given on the
//! server's own monotonic clock, so that a renewal that was delayed on its way cannot extend the
//! lease past the time that its sender vouched for. A lease of a higher membership period ends all
//! grants held so far: a server that was given up as lost may find its slots elsewhere.

use serde::{Deserialize, Serialize};

use crate::id::{Epoch, Incarnation, LeaseEpoch, Slot};

/// Path that renews the lease and adds grants (POST).
pub const LEASE_PATH: &str = "/_server/lease";
/// Path that takes grants back (POST).
pub const REVOKE_PATH: &str = "/_server/revoke";

/// Header with the service, as `workspace/service`.
pub const SERVICE_HEADER: &str = "ashroad-service";
/// Header with the slot of the key.
pub const SLOT_HEADER: &str = "ashroad-slot";
/// Header with the epoch of the slot's grant.
pub const EPOCH_HEADER: &str = "ashroad-epoch";
/// Header with the incarnation of the server that is meant.
pub const INCARNATION_HEADER: &str = "ashroad-incarnation";
/// Header with the request's identifier, unique to the attempt's request.
pub const REQUEST_HEADER: &str = "ashroad-request-id";
/// Header with the time left for the request.
pub const DEADLINE_HEADER: &str = "ashroad-deadline-ms";
/// Header of an answer that tells the outcome when it is not a plain answer.
pub const OUTCOME_HEADER: &str = "ashroad-outcome";
/// Header of an answer that tells the reason of the outcome.
pub const REASON_HEADER: &str = "ashroad-reason";
/// Header by which a caller names an unrepeatable request.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Right to serve one slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Service, as `workspace/service`.
    pub service: String,
    /// Slot.
    pub slot: Slot,
    /// Fencing number.
    pub epoch: Epoch,
}

/// Order to extend the lease and to hold these grants besides those held.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Process that is meant; another one refuses. None only asks for the answer's facts.
    pub incarnation: Option<Incarnation>,
    /// Membership period that is meant; a lower one than seen is refused.
    pub lease_epoch: LeaseEpoch,
    /// End of the lease on the server's clock.
    pub not_after_ms: u64,
    /// Grants to hold.
    pub grants: Vec<SlotGrant>,
}

/// Facts about a server and its lease.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LeaseResponse {
    /// Process that answers.
    pub incarnation: Incarnation,
    /// Its monotonic clock.
    pub clock_ms: u64,
    /// Highest membership period seen.
    pub lease_epoch: LeaseEpoch,
    /// True if the order was for this process and not outdated.
    pub accepted: bool,
    /// The server wants to leave and should get no new work.
    pub draining: bool,
    /// Combination of [`grant_hash`] over all grants held.
    pub grants_digest: u64,
}

/// Order to give up slots: requests in flight finish, then the answer follows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RevokeRequest {
    /// Process that is meant.
    pub incarnation: Incarnation,
    /// Slots with the epoch of their next grant; every lower epoch is refused from now on.
    pub slots: Vec<SlotGrant>,
    /// Time for requests in flight to finish.
    pub drain_ms: u64,
}

/// Answer to a revocation.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct RevokeResponse {
    /// Process that answers.
    pub incarnation: Incarnation,
    /// True if the slots are given up and none of their requests runs any more.
    pub released: bool,
}

/// Hash of one grant; grants are combined by exclusive or.
pub fn grant_hash(service: &str, slot: Slot, epoch: Epoch) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(service.as_bytes());
    hasher.update(&slot.0.to_le_bytes());
    hasher.update(&epoch.0.to_le_bytes());
    hasher.digest()
}
