//! Work of the leader on leases. A lease permits one server to serve a range of keys for a limited
//! time. The leader grants and renews leases, moves keys between servers to balance load, and
//! reassigns the keys of servers that leave or stop answering.
//!
//! The leader first records a move of keys in the store, together with the former server, which may
//! still hold the keys. The leader then orders the former server to release the keys under the new
//! fence. If the former server does not answer, the leader grants the keys to the new server only
//! after the last lease that any leader may have granted to the former server has expired. If the
//! leader changes during the move, the next leader finds the move among the recorded assigned
//! ranges and completes it in the same way.

mod ended;
mod moves;
mod planning;
mod release;
mod renewal;
mod suspects;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{
    sync::{Notify, Semaphore},
    task::JoinSet,
    time,
};

use self::{ended::ATTEMPTS_AT_ONCE, suspects::Suspects};
use super::{
    Entry,
    decide::{first::FirstAssignmentWait, key_loads::KeyCounts, lease_expiry::SentGrants},
    keys::{AssignedRange, KeyRange},
    tag::tag_of,
};

/// Interval of the leader's rounds. In each round the leader starts the due renewals of leases and
/// plans moves of keys.
const ROUND_MS: u64 = 100;
/// Number of rounds per second. The leader adds up the reported request counts once per round, so
/// this number converts a count per round into a rate.
const ROUNDS_PER_S: f32 = 1_000.0 / ROUND_MS as f32;
/// Number of consecutive failed grant commands after which the leader probes whether the server is
/// alive.
const FAILURES_BEFORE_PROBE: u32 = 2;

/// Grants of leases to one server that the leader sent in its current term, and whether the server
/// answers them.
#[derive(Clone, Copy, Debug, Default)]
struct ServerLeaseState {
    grants: SentGrants,
    /// Number of consecutive failed grants to the server. From [`FAILURES_BEFORE_PROBE`] failures
    /// on, the leader probes whether the server is alive.
    failures: u32,
    /// True if the server has answered neither the last grants nor a probe. A silent server gets no
    /// grants and no further keys.
    is_silent: bool,
}

/// Renewals of the lease of one assigned range. The leases of a server's assigned ranges are
/// renewed independently of one another.
#[derive(Clone, Copy, Debug, Default)]
struct Renewal {
    /// Time at which the leader sent the last successful renewal; 0 if there was none.
    renewed_ms: u64,
    is_in_flight: bool,
}

/// Move of keys to another server that the leader is carrying out. No other move of the same keys
/// begins meanwhile.
#[derive(Clone, Debug)]
struct Moving {
    service: Arc<str>,
    range: KeyRange,
    /// True if the former server has not released the keys, so that the move waits for the expiry
    /// of the last lease of that server. A waiting move does not count towards the maximum number
    /// of moves in progress.
    waits_for_lease: bool,
}

/// Leases, moves of keys and request counts that the leader keeps in memory during one term. This
/// state is discarded when the term ends.
#[derive(Debug, Default)]
struct TermState {
    servers: HashMap<Arc<str>, ServerLeaseState>,
    /// Renewals of leases, by the name of the service and the fence of the assigned range.
    renewals: HashMap<(Arc<str>, u64), Renewal>,
    moving: Vec<Moving>,
    counts: HashMap<Arc<str>, KeyCounts>,
    first_assignment_waits: HashMap<Arc<str>, FirstAssignmentWait>,
    /// Fences of completed moves by service. The assigned ranges of these moves still name the
    /// former server in the store, until the leader records the completion.
    completed_fences: HashMap<Arc<str>, Vec<u64>>,
    /// Time at which the leader last began to record completed moves in the store.
    completed_recorded_ms: u64,
    /// Servers of contended services whose process may have ended or has ended.
    suspects: Suspects,
}

impl TermState {
    fn is_moving(&self, service: &str, range: KeyRange) -> bool {
        let mut moving = self.moving.iter();
        moving.any(|m| *m.service == *service && m.range.overlaps(&range))
    }

    /// Returns true if a server may get grants: it answers, and its process does not seem to have
    /// ended. A later process at the address might execute a grant to a server that has ended, and
    /// then hold keys that have moved to another server.
    fn takes_grants(&self, id: &str) -> bool {
        let is_silent = self.servers.get(id).is_some_and(|record| record.is_silent);
        !is_silent && !self.suspects.refuses_connections(id)
    }

    /// Returns true if the move of an assigned range from its former server is not completed, so
    /// that the former server may still hold the keys.
    fn is_unfinished(&self, service: &str, assigned_range: &AssignedRange) -> bool {
        let completed_fences = self.completed_fences.get(service);
        let done = completed_fences.is_some_and(|fences| fences.contains(&assigned_range.fence));
        assigned_range.from.is_some() && !done
    }
}

/// One term in which this host is the leader. The leader's work on leases stops when the term ends.
#[derive(Debug)]
struct Term {
    entry: Arc<Entry>,
    number: u64,
    state: Mutex<TermState>,
    /// Notified when a server is found to have ended, to wake the moves that wait for its lease.
    server_ended: Notify,
    /// Permits of connection attempts to suspected servers.
    attempts: Semaphore,
}

impl Entry {
    /// Waits until this host is the leader, and then grants leases and plans moves of keys until
    /// the term ends. Starts again for each further term of this host.
    pub(super) async fn manage_leases(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(ROUND_MS)).await;
            let number = self.leadership.term();
            if number == 0 {
                continue;
            }
            let term = Arc::new(Term {
                entry: self.clone(),
                number,
                state: Mutex::default(),
                server_ended: Notify::new(),
                attempts: Semaphore::new(ATTEMPTS_AT_ONCE),
            });
            term.run().await;
        }
    }
}

impl Term {
    async fn run(self: Arc<Self>) {
        let mut tasks = JoinSet::new();
        let mut ticks = time::interval(Duration::from_millis(ROUND_MS));
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        for round in 0u64.. {
            ticks.tick().await;
            if self.entry.leadership.term() != self.number {
                return;
            }
            // If the store is unavailable for so long that this host may not grant leases, the term
            // continues without commands to servers and keeps its state.
            if !self.may_send_orders() {
                continue;
            }
            self.add_reported_key_counts();
            self.examine_suspects(&mut tasks);
            for service in self.sharded_services() {
                self.renew(&service, &mut tasks);
                self.plan(&service, round, &mut tasks);
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    /// Returns true while this host may send commands (grants and releases of keys) to servers:
    /// this host is still the leader in this term, and its last confirmation of the leadership is
    /// recent enough to grant leases.
    fn may_send_orders(&self) -> bool {
        let leadership = &self.entry.leadership;
        leadership.term() == self.number
            && leadership.may_lease(self.entry.settings.leases.outage_ms)
    }

    fn state(&self) -> MutexGuard<'_, TermState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sharded_services(&self) -> Vec<Arc<str>> {
        let Some(configuration) = self.entry.view.configuration() else {
            return Vec::new();
        };
        let services = configuration.services().filter(|s| s.sharded);
        services.map(|service| service.name.clone()).collect()
    }

    fn add_reported_key_counts(&self) {
        let reported = self.entry.peers.take_reported_key_counts();
        let names: HashMap<u32, Arc<str>> = self
            .sharded_services()
            .into_iter()
            .map(|name| (tag_of(&name), name))
            .collect();
        let mut state = self.state();
        for counts in state.counts.values_mut() {
            counts.decay();
        }
        for count in reported {
            let Some(name) = names.get(&count.service_tag) else {
                continue;
            };
            let counts = state.counts.entry(name.clone()).or_default();
            counts.add(count.key, count.requests, ROUNDS_PER_S);
        }
    }

    /// Marks the keys of a range as moving. Returns false and marks nothing if a move of some of
    /// these keys is in progress.
    fn mark_moving(&self, service: &Arc<str>, range: KeyRange) -> bool {
        let mut state = self.state();
        if state.is_moving(service, range) {
            return false;
        }
        state.moving.push(Moving {
            service: service.clone(),
            range,
            waits_for_lease: false,
        });
        true
    }
}
