//! State of a backend server as one host sees it: the server's entry, whether the server takes
//! work, its load, and statistics of the host's attempts at the server.

mod attempts;
mod cold_state;
mod engaged_servers;
mod engagement;
mod in_flight;
mod load;
mod slowdowns;
mod work_state;

pub use self::{engaged_servers::EngagedServers, in_flight::InFlight};

use std::sync::{Arc, Mutex, atomic::AtomicU32};

use self::{
    attempts::Attempts, cold_state::ColdState, engagement::Engagement, load::OtherHostsLoad,
    work_state::WorkState,
};
use super::{
    contact::ContactTime,
    crashes::broken_connections::BrokenConnections,
    decide::{Candidate, Policy, notices::Notices, slowdown::SlowdownReports, warmup::WarmupLimit},
    events::Event,
    model::ServerEntry,
    pool::Pool,
    running_requests::RunningRequests,
    server_path::ServerPath,
    shared_rate::SharedRate,
    tag::tag_of,
};
use crate::{clock, platform::Link};

/// A backend server, from the first reading of its entry until the entry is removed or replaced.
#[derive(Debug)]
pub struct Server {
    /// Entry of the server as it was first read; [`Self::current_entry`] includes later changes.
    pub entry: ServerEntry,
    /// Tag that identifies the server's incarnation in messages between hosts, see [`tag_of`].
    pub tag: u32,
    /// Idle connections to the server, reused for callers' requests.
    pub pool: Pool,
    /// Connection to the server for commands that grant or release keys, and for health checks.
    pub orders: Link,
    engagement: Engagement,
    work: WorkState,
    cold: ColdState,
    /// Number of this host's requests in flight at the server.
    own_load: AtomicU32,
    other_hosts: OtherHostsLoad,
    slowdowns: Mutex<SlowdownReports>,
    attempts: Attempts,
    running_requests: Mutex<RunningRequests>,
    /// Rate limit that the server advertises for all hosts together, and this host's share of it.
    pub rate: SharedRate,
    /// Record of broken connections between this host and the server.
    pub broken_connections: BrokenConnections,
    /// Time of the last direct response from the server to this host.
    pub contact: ContactTime,
    /// Network path from this host to the server.
    pub path: ServerPath,
}

impl Server {
    /// Creates a server from an entry that was read for the first time.
    pub fn new(entry: ServerEntry) -> Self {
        Self::with_notices(entry, Arc::default(), EngagedServers::default())
    }

    /// Creates a server from an entry, with the notices that the registry kept if an earlier entry
    /// of the server was removed. The server joins `engaged` once this host sends it requests.
    pub fn with_notices(
        entry: ServerEntry,
        notices: Arc<Mutex<Notices>>,
        engaged: EngagedServers,
    ) -> Self {
        Self {
            tag: tag_of(&entry.id),
            pool: Pool::new(entry.address),
            orders: Link::new(entry.address),
            engagement: Engagement::new(engaged),
            work: WorkState::new(entry.leaving, notices.clone()),
            cold: ColdState::new(entry.cold_ms),
            own_load: AtomicU32::new(0),
            other_hosts: OtherHostsLoad::default(),
            slowdowns: Mutex::default(),
            attempts: Attempts::default(),
            running_requests: Mutex::default(),
            rate: SharedRate::new(notices),
            broken_connections: BrokenConnections::default(),
            contact: ContactTime::default(),
            path: ServerPath::default(),
            entry,
        }
    }

    /// Returns the entry with the current leaving state and the remaining cold time.
    pub fn current_entry(&self) -> ServerEntry {
        ServerEntry {
            leaving: self.leaving(),
            cold_ms: self.cold_remaining_ms(),
            ..self.entry.clone()
        }
    }

    /// Returns true if `entry` belongs to this incarnation of the server and agrees in all fields
    /// that are fixed for the lifetime of the incarnation. Another program may have written a row
    /// that gives the server's name another service or address.
    pub fn matches_entry(&self, entry: &ServerEntry) -> bool {
        let known = &self.entry;
        let same = |entry: &ServerEntry| {
            (
                entry.id.clone(),
                entry.service.clone(),
                entry.address,
                entry.availability_zone.clone(),
                entry.slots,
            )
        };
        same(known) == same(entry)
    }

    /// Applies the leaving state and the cold time of a later entry of this incarnation.
    pub fn apply_later_entry(&self, entry: &ServerEntry) {
        if self.leaving() != entry.leaving {
            self.set_leaving(entry.leaving);
            Event::server(entry).log();
        }
        self.renew_cold_time(entry.cold_ms);
    }

    /// Returns true if the server has answered this host since the latest broken connection.
    pub fn has_answered_since_broken_connection(&self) -> bool {
        self.answered_ms() > self.broken_connections.latest_ms()
    }

    /// Returns true if a liveness probe of this host found that the server has crashed.
    pub fn is_known_crashed(&self) -> bool {
        self.broken_connections.is_crash_known(self.answered_ms())
    }

    /// Returns the server's current state as input for the choice of a server by a host in
    /// `availability_zone`.
    pub fn candidate(
        &self,
        availability_zone: &str,
        warmup_limit: Option<WarmupLimit>,
        policy: &Policy,
    ) -> Candidate {
        let now_ms = clock::now_ms();
        let attempt_stats = *self.attempt_stats();
        Candidate {
            slots: self.entry.slots,
            load: self.load(),
            run_ms: self.run_ms(),
            since_outcome_ms: attempt_stats.since_outcome_ms(now_ms),
            slowdown: self
                .slowdowns()
                .known
                .relative(now_ms, policy.slowdown_memory_ms),
            failures: attempt_stats.failures(now_ms),
            is_paused: attempt_stats.is_paused(now_ms) || self.is_limited_by_warmup(warmup_limit),
            is_other_region: false,
            is_same_zone: *self.entry.availability_zone == *availability_zone,
            has_idle_connection: self.pool.has_idle(),
        }
    }
}
