//! Decisions under load: which server gets a request, whether it is refused and when its caller
//! should come back, whether it is repeated, and which keys move.
//!
//! Everything here is pure: what a host knows, the time and random numbers come in as arguments, and
//! a verdict comes out. Nothing reads a clock, opens a socket or waits. `forward` and `leases` ask
//! and carry out; `tests/entry_load.rs` plays load on the same code in virtual time.
//!
//! | module | load that it answers |
//! |---|---|
//! | [`pace`] | servers that run slower for a moment |
//! | [`attempt_stats`] | servers that are slow, fail or cannot be reached |
//! | [`notices`] | servers that say in their answers that they leave, or want a rest |
//! | [`rate_limit`], [`rate_meter`], [`rate_shares`] | servers that name a rate which all hosts share |
//! | [`quota`] | workspaces that ask for more than their quota |
//! | [`trust`] | API keys that are added and revoked while hosts are cut off |
//! | [`run_shares`] | services that serve short and long requests |
//! | [`admission`] | more requests for a server than it can answer in time |
//! | [`choice`] | requests that any server of a service may run |
//! | [`hot_keys`] | one key with more requests than any server can run |
//! | [`hold`] | requests for keys that are on their way between servers |
//! | [`retry_after`] | when refused callers should come back |
//! | [`budget`] | repeats that would feed an overload |
//! | [`crash_tally`], [`path_tally`], [`quarantine`], [`trials`] | a request that ends each server which runs it |
//! | [`warmup`] | servers that have just started and bear little |
//! | [`first`] | keys that nobody holds yet, servers that start one after the other |
//! | [`rests`] | servers that turn many hosts away |
//! | [`key_loads`], [`plan`] | uneven load by key, servers that join and leave |
//!
//! The thresholds stand in [`Policy`], each with its unit and reason.

pub mod admission;
pub mod attempt_stats;
pub mod budget;
pub mod choice;
pub mod crash_tally;
pub mod first;
pub mod hold;
pub mod hot_keys;
pub mod key_loads;
pub mod notices;
pub mod pace;
pub mod path_tally;
pub mod plan;
mod policy;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod rate_meter;
pub mod rate_shares;
pub mod rests;
pub mod retry_after;
pub mod run_shares;
pub mod trials;
pub mod trust;
pub mod warmup;

pub use self::policy::Policy;

/// A server as a decision sees it at one moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Requests of all hosts that are there, as far as this host knows.
    pub load: u32,
    /// Average run time; 0 if nothing is known of it.
    pub run_ms: f64,
    /// Time since the deciding host last learned of it by an attempt of its own.
    pub since_outcome_ms: u64,
    /// Time that work takes there now, as a multiple of its average.
    pub pace: f64,
    /// Share of the latest attempts that failed.
    pub failures: f64,
    /// True while connections to it fail, or while it is cold and gets no request of this host.
    pub is_paused: bool,
    /// True if it is in the host's own availability zone.
    pub is_near: bool,
    /// True if it is in another region.
    pub is_far: bool,
    /// True if a connection to it is idle.
    pub has_idle_connection: bool,
}

/// What a decision must know of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Time until the latency objective; 0 once it has passed.
    pub objective_ms: u64,
    /// Time until the deadline.
    pub deadline_ms: u64,
    /// Its run time as a share of the average one at the same server.
    pub run_share: f64,
    /// True if it is more urgent than other requests of the service, so that it may be late before
    /// those are served in time.
    pub is_urgent: bool,
}
