//! Decides which services are contended. Requests for a sharded service can only go to the server
//! that holds their key, and a server with few slots is often busy by chance: one long request
//! takes a large part of its capacity. If callers also wait well beyond the latency objective, their
//! retries compete with new requests for the same slots, so hosts estimate the age of requests and
//! schedule the times of retries; and keys of ended servers are worth moving before leases expire.

use super::Policy;

/// Properties of a service, from the configuration and from the entries of its servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceProfile {
    /// True if the keys of the service are divided among its servers.
    pub is_sharded: bool,
    /// Largest number of slots of any server of the service; 0 if no server is known.
    pub slots_max: u32,
    /// Largest timeout of a route to the service, as a multiple of the latency objective of that
    /// route; 0 if no route has an objective below its timeout. One route suffices: an operator who
    /// changes the timeout of another one should not change how the service is handled.
    pub timeout_factor: f64,
}

/// Returns true if the service is contended by the thresholds of the policy.
pub fn is_contended(service: ServiceProfile, policy: &Policy) -> bool {
    service.is_sharded
        && (1..=policy.contended_slots_max).contains(&service.slots_max)
        && service.timeout_factor >= policy.contended_timeout_factor
}
