//! Typed log events, written as JSON lines.

mod leadership;
mod path;
mod request;

pub use self::{leadership::LeadershipEvent, path::PathEvent, request::RequestEvent};

use std::{collections::BTreeMap, sync::Arc};

use serde::Serialize;

use super::{
    log_writer,
    model::ServerEntry,
    updates::{report::Reporter, row_source::RowSource, unseen_removals::UnseenRemovals},
};

/// Log event: a decision about a request, or a change in what the host knows of the system.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// The process has started.
    Started {
        /// Name of the host, from its settings.
        host: String,
        /// Availability zone from the host's settings.
        availability_zone: String,
        /// Random number that distinguishes this process from earlier processes on the same host.
        incarnation: u64,
    },
    /// A planned stop has begun.
    Stopping {
        /// Number of callers' requests in flight when the stop began.
        in_flight: u64,
    },
    /// A request had no response shortly before the exit of a planned stop, and got 503 or 504.
    GracePeriodEnded {
        /// Identifier that the caller gave the request.
        request_id: String,
        /// True if the request may have reached a server, so that the response is 504 instead of
        /// 503.
        is_sent: bool,
    },
    /// The process is about to exit.
    Stopped {
        /// Number of callers' requests in flight that the exit of the process aborts; 0 if all
        /// requests were answered.
        in_flight: u64,
    },
    /// The settings were read again after SIGHUP.
    Reloaded {
        /// Error in the settings file, which leaves the previous settings in effect; `None` if the
        /// file is valid.
        problem: Option<String>,
    },
    /// Another version of the configuration took effect at this host.
    Configuration {
        /// Version of the configuration in effect from this event on.
        version: u64,
        /// Version of the configuration in effect until this event; 0 if there was no
        /// configuration.
        before: u64,
        /// Version of the configuration's row in the store.
        row_version: u64,
        /// Way by which the configuration reached this host.
        source: RowSource,
        /// Time since another host first reported a version of the table that this host lacked;
        /// `None` if the configuration arrived before such a report.
        behind_ms: Option<u64>,
        /// Sender of the latest report on the store; `None` before the first report.
        reporter: Option<Reporter>,
        /// Time since the store's last response to that sender.
        report_age_ms: Option<u64>,
    },
    /// A timer of this host fired late: the host's thread was busy or got no processor time.
    TimerLate {
        /// Time by which the timer was late.
        late_ms: u64,
    },
    /// Other services than before are contended: sharded, with few slots a server, and with callers
    /// that wait beyond the latency objective.
    ContendedServices {
        /// All services that are contended now.
        services: Vec<Arc<str>>,
        /// Setting: largest number of slots of the servers of a contended service.
        slots_max: u32,
        /// Setting: timeout that a route to a contended service must at least have, as a multiple of
        /// its latency objective.
        timeout_factor: f64,
    },
    /// Numbers of requests for a contended service since the previous event of this kind.
    Contention {
        /// Service of the requests.
        service: Arc<str>,
        /// True for requests that are more urgent than others of the service.
        is_urgent: bool,
        /// Number of requests by step, without the steps that no request took.
        steps: BTreeMap<&'static str, u64>,
    },
    /// A contended service became short of capacity, or the shortage ended, as this host knows the
    /// loads.
    Shortage {
        /// Service whose servers together have more requests than they can run.
        service: Arc<str>,
        /// True if the shortage began; false if it ended.
        begins: bool,
        /// Requests of all hosts in flight at the servers that get new work, for each server at most
        /// four times its slots.
        in_flight: u64,
        /// Slots of these servers.
        slots: u64,
    },
    /// The evacuation of an availability zone began or ended.
    Evacuation {
        /// Availability zone that operators evacuate or restore.
        availability_zone: Arc<str>,
        /// True if the zone's servers get no new work; false if the zone is restored.
        evacuated: bool,
        /// Version of the operators' table that contains the change.
        version: u64,
    },
    /// A row of the store cannot be decoded and was skipped.
    BadRow {
        /// Table and key of the row.
        row: String,
        /// Description of the parse error.
        problem: String,
    },
    /// A request was denied before it was routed: its API key is unknown, its workspace exceeds its
    /// quota, or the host has no memory for its body. The API key itself is never logged.
    Denied {
        /// Identifier that the caller gave the request.
        request_id: String,
        /// Name of the route that matched the request.
        route: Arc<str>,
        /// Reason that the response to the caller states.
        reason: &'static str,
    },
    /// A connection to a server that was reused after an idle time gave no response.
    IdleConnectionFailed {
        /// Incarnation id of the server.
        server: Arc<str>,
        /// Service of the server.
        service: Arc<str>,
        /// Idle time that the connection had when it was reused.
        idle_ms: u64,
        /// Idle time from which connections to servers of the service are not reused for repeatable
        /// requests; `None` without a bound. Unrepeatable requests may have a lower bound.
        bound_ms: Option<u64>,
    },
    /// A workspace started or stopped exceeding its quota. Logged by the leader.
    Quota {
        /// Name of the workspace, as in the configuration.
        workspace: Arc<str>,
        /// Quota, in requests per second.
        per_s: f64,
        /// Rate of the workspace's requests at all hosts, per second.
        asked_per_s: f32,
        /// Share of the workspace's requests that hosts admit, from 0 to 1.
        admitted: f32,
    },
    /// The store stopped responding.
    StoreLost {
        /// Table whose change feed (the calls that read the changes of the table) failed.
        table: &'static str,
        /// Error of the feed call that failed.
        problem: String,
    },
    /// The store responds again.
    StoreBack {
        /// Time for which the store did not respond.
        away_ms: u64,
    },
    /// The host's initial sync ended. The host has got the data on servers, assigned ranges and
    /// hosts from another host, or begins to read this data from the store.
    Joined {
        /// True if the data is a snapshot from another host; false if the host reads the data from
        /// the store.
        #[serde(rename = "told")]
        synced_from_peer: bool,
        /// Time since the start of the process.
        after_ms: u64,
    },
    /// Many server entries were read at once. The event replaces the `server` events of the single
    /// entries.
    Servers {
        /// Number of servers that were unknown before.
        new: usize,
    },
    /// A server's entry was added or changed.
    Server {
        /// Identifier of the server's incarnation; a restarted server gets a new identifier.
        server: Arc<str>,
        /// Name of the service, as in the server's entry.
        service: Arc<str>,
        /// Address at which the server accepts requests.
        address: String,
        /// True if the server is leaving and gets no new work.
        leaving: bool,
        /// Remaining warm-up time; 0 for a warm server.
        cold_ms: u64,
    },
    /// A server announced in a response that it leaves, or asked this host for a backoff (a period
    /// without requests). Logged once per server for leaving, and at the beginning of each backoff.
    ServerNotice {
        /// Identifier of the server's incarnation; a restarted server gets a new identifier.
        server: Arc<str>,
        /// Name of the service, as in the server's entry.
        service: Arc<str>,
        /// True if the server announced that it leaves.
        leaves: bool,
        /// Duration of the backoff, in which this host sends the server no requests; 0 for none.
        #[serde(rename = "rest_ms")]
        backoff_ms: u64,
        /// True if the server's entry in the store also says that the server leaves.
        leaves_by_entry: bool,
        /// Origin of the information: a response to this host, or another host.
        source: &'static str,
    },
    /// A server changed or withdrew the rate limit that it advertises for all hosts together.
    ServerRateLimit {
        /// Identifier of the server's incarnation; a restarted server gets a new identifier.
        server: Arc<str>,
        /// Name of the service, as in the server's entry.
        service: Arc<str>,
        /// Limit in requests per second; `None` if the server has no limit.
        per_s: Option<f64>,
        /// Rate at which this host has recently sent requests to the server, per second.
        sent_per_s: f64,
        /// Origin of the information: a response to this host, or another host.
        source: &'static str,
    },
    /// A server's entry was removed.
    ServerGone {
        /// Identifier of the server's incarnation; a restarted server gets a new identifier.
        server: Arc<str>,
        /// Service that the server belonged to.
        service: Arc<str>,
    },
    /// Another host reported versions of the table of servers' entries, but may not have seen all
    /// removals that this host has not seen. Logged once per full read by another host.
    UnseenRemovals {
        /// Sender of the report.
        reporter: Reporter,
        /// Versions and numbers of entries of both hosts, and whether this host accepts the report.
        #[serde(flatten)]
        found: UnseenRemovals,
    },
    /// A server crashed with requests of this host in flight.
    ServerEnded {
        /// Identifier of the server's incarnation; a restarted server gets a new identifier.
        server: Arc<str>,
        /// Service that the server belonged to.
        service: Arc<str>,
        /// Digests of the requests in flight. From this event on, each of these requests is a
        /// suspect: a request that may have caused the crash.
        digests: Vec<String>,
    },
    /// The process of a server of a contended service has certainly ended. Logged by the leader,
    /// which moves the keys of the server without waiting for its lease.
    ServerProcessEnded {
        /// Identifier of the server's incarnation; a restarted server gets a new identifier.
        server: Arc<str>,
        /// Service that the server belonged to.
        service: Arc<str>,
        /// Observation for which the leader tried connections to the server.
        suspected_by: &'static str,
        /// Number of connection attempts that the address refused, with no other outcome between.
        refused: u32,
        /// Time from the first to the last of these attempts.
        span_ms: u64,
        /// Time from the last of these attempts until the leader concluded that the process had ended.
        found_after_ms: u64,
    },
    /// A request was quarantined because several servers crashed while running the request. Hosts
    /// send a quarantined request to no server.
    Quarantined {
        /// Digest of the request, in hexadecimal digits.
        digest: String,
        /// Origin of the information: this host's own attempts, or another host.
        source: &'static str,
    },
}

impl Event {
    /// Creates the event for a server's entry that was added or changed.
    pub fn server(entry: &ServerEntry) -> Self {
        Self::Server {
            server: entry.id.clone(),
            service: entry.service.clone(),
            address: entry.address.to_string(),
            leaving: entry.leaving,
            cold_ms: entry.cold_ms,
        }
    }

    /// Creates the event for a server's entry that was removed.
    pub fn server_gone(entry: &ServerEntry) -> Self {
        Self::ServerGone {
            server: entry.id.clone(),
            service: entry.service.clone(),
        }
    }

    /// Queues the event as one line of the log. The line is dropped if too many lines are already
    /// waiting to be written.
    pub fn log(&self) {
        log_writer::write(self);
    }
}
