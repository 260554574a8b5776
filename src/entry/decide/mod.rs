//! Decisions of a host under load: which server gets a request, whether a request is refused and
//! when its caller should retry, whether a request is retried by the host, and which keys are moved
//! to other servers.
//!
//! All decisions here are pure computations: the state of the host, the time and the random numbers
//! are arguments or fields of the types in this module. No code here reads a clock, opens a socket
//! or waits. `forward` and `leases` call these functions and carry out the decisions;
//! `tests/entry_load.rs` runs the same code under simulated load in virtual time.
//!
//! | module | problem that it handles |
//! |---|---|
//! | [`slowdown`] | servers that are temporarily slower than usual |
//! | [`attempt_stats`] | servers that are slow, fail or cannot be reached |
//! | [`notices`] | servers that announce in their responses that they leave, or ask for a backoff |
//! | [`rate_limit`], [`rate_meter`], [`rate_shares`] | rate limits that all hosts share |
//! | [`pacer`] | callers that send more requests than a rate limit allows |
//! | [`quota`] | workspaces that send more requests than their quota |
//! | [`api_key_status`] | API keys that are added and revoked while hosts are disconnected |
//! | [`run_shares`] | services that serve short and long requests |
//! | [`admission`] | more requests for a server than it can answer in time |
//! | [`contended`] | services whose requests compete for few slots |
//! | [`shortage`] | a service whose servers together get more requests than they can run |
//! | [`choice`] | requests that any server of a service may run |
//! | [`hot_keys`] | a key with more requests than its server can run |
//! | [`hold`] | requests for keys that are being moved between servers |
//! | [`retry_after`] | refused callers, which must learn when to retry |
//! | [`retry_schedule`] | callers that would all retry when a lease or a queue ends |
//! | [`request_age`] | retries, whose callers have waited since their first attempt |
//! | [`budget`] | retries that would amplify an overload |
//! | [`crash_tally`], [`path_tally`], [`quarantine`], [`trials`] | a request that crashes servers |
//! | [`idle_reuse`] | servers that forget idle connections without closing them |
//! | [`ended`] | servers whose process has ended while their leases still run |
//! | [`server_path`] | hosts that lose their network path to the servers |
//! | [`lease_expiry`] | servers that are frozen or disconnected from the leader and may hold leases |
//! | [`warmup`] | servers that have just started and can run few requests |
//! | [`first`] | keys that are not assigned yet, while servers start one after the other |
//! | [`backoffs`] | servers that ask many hosts for a backoff at the same time |
//! | [`key_loads`], [`plan`] | uneven load by key, servers that join and leave |
//!
//! The thresholds are defined in [`Policy`], each with its unit and reason.

pub mod admission;
pub mod api_key_status;
pub mod attempt_stats;
pub mod backoffs;
pub mod budget;
pub mod choice;
pub mod contended;
pub mod crash_tally;
pub mod ended;
pub mod first;
pub mod hold;
pub mod hot_keys;
pub mod idle_reuse;
pub mod key_loads;
pub mod lease_expiry;
pub mod notices;
pub mod pacer;
pub mod path_comparison;
pub mod path_tally;
pub mod plan;
mod policy;
pub mod quarantine;
pub mod quota;
pub mod rate_limit;
pub mod rate_meter;
pub mod rate_shares;
pub mod request_age;
pub mod retry_after;
pub mod retry_schedule;
pub mod run_shares;
pub mod server_path;
pub mod shortage;
pub mod slowdown;
pub mod trials;
pub mod warmup;

pub use self::policy::Policy;

/// State of a server, as one host knows it, on which the choice and the admission of a server for a
/// request are based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Number of requests that the server can run at the same time.
    pub slots: u32,
    /// Number of requests from all hosts that are running or queued at the server, as far as the
    /// deciding host knows.
    pub load: u32,
    /// Average run time of a request at the server, in milliseconds; 0 without recent samples.
    pub run_ms: f64,
    /// Time, in milliseconds, since the last outcome (a response, failure or failed connection
    /// attempt) of an attempt that the deciding host made at the server.
    pub since_outcome_ms: u64,
    /// Slowdown of the server: its current run time as a multiple of its average run time; 1 is the
    /// usual speed.
    pub slowdown: f64,
    /// Fraction of the deciding host's recent attempts at the server that failed, from 0 to 1.
    pub failures: f64,
    /// True while the host makes no attempts at the server: after failed connection attempts, or
    /// while the server is cold and the host's warm-up window is not open.
    pub is_paused: bool,
    /// True if the server is in the availability zone of the deciding host; servers of other zones
    /// cost [`Policy::zone_cost`].
    pub is_same_zone: bool,
    /// True if the server is in another region than the deciding host. Such a server is chosen only
    /// if no server of the host's own region has room (may get one more request by the rules of
    /// [`admission`]).
    pub is_other_region: bool,
    /// True if the deciding host has an idle connection to the server; a server without an idle
    /// connection costs [`Policy::connect_cost`].
    pub has_idle_connection: bool,
}

/// Latency objective, deadline, urgency and expected run time of a request, on which the choice of
/// a server is based.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Time until the latency objective of the request, in milliseconds; 0 once the objective has
    /// passed.
    pub objective_ms: u64,
    /// Time until the deadline of the request, in milliseconds. After the deadline, the caller no
    /// longer waits for the response.
    pub deadline_ms: u64,
    /// Expected run time of the request, as a multiple of the server's average run time.
    pub run_share: f64,
    /// True if the request is more urgent than other requests of the service, so that a late
    /// response to this request is worth more than a timely response to the other requests.
    pub is_urgent: bool,
}
