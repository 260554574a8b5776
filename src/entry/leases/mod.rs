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
mod release;
mod renewal;

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

use self::ended::{ATTEMPTS_AT_ONCE, Suspects};
use super::{
    Entry,
    decide::{
        admission, backoffs,
        first::{self, FirstAssignmentWait},
        hot_keys,
        key_loads::KeyCounts,
        lease_expiry::SentGrants,
        plan::{self, Inputs, PlanServer},
    },
    keys::{AssignedRange, KeyRange},
    leadership::Change,
    server::Server,
    tag::tag_of,
    watch::store_age_ms,
};
use crate::clock;

/// Interval of the leader's rounds. In each round the leader starts the due renewals of leases and
/// plans moves of keys.
const ROUND_MS: u64 = 100;
/// Number of rounds after which the leader plans moves of keys that balance load. Hosts report
/// their request counts by key to the leader at a similar interval.
const BALANCE_EVERY_ROUNDS: u64 = 2;
/// Number of consecutive failed grant commands after which the leader probes whether the server is
/// alive.
const FAILURES_BEFORE_PROBE: u32 = 2;
/// Maximum number of moves of keys that are in progress at the same time in a service with few
/// servers.
const CONCURRENT_MOVES_MIN: usize = 8;
/// Number of servers of a service for each move of keys that may be in progress at the same time. A
/// service with many servers may thus have more moves in progress than [`CONCURRENT_MOVES_MIN`].
const SERVERS_PER_MOVE: usize = 4;
/// Number of rounds per second. The leader adds up the reported request counts once per round, so
/// this number converts a count per round into a rate.
const ROUNDS_PER_S: f32 = 1_000.0 / ROUND_MS as f32;
/// Age of the store's last response above which the leader plans no moves of keys, since it could
/// not record them.
const STORE_AGE_MAX_MS: u64 = 3_600;

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

    /// Returns the servers to which keys of a service may be assigned, sorted by incarnation id. A
    /// cold server is a server in its warm-up. If the service limits the requests of servers during
    /// their warm-up, cold servers are left out as long as there is a warm server.
    fn usable(&self, service: &str) -> Vec<PlanServer> {
        let registry = self.entry.view.registry();
        let state = self.state();
        let servers = registry.of_service(service);
        let mut usable: Vec<&Arc<Server>> = servers
            .filter(|server| {
                let record = state.servers.get(&server.entry.id);
                let silent = record.is_some_and(|r| r.is_silent);
                let has_ended = state.suspects.has_ended(&server.entry.id);
                server.takes_new_work() && !silent && !has_ended
            })
            .collect();
        let is_warm = |server: &&Arc<Server>| server.cold_remaining_ms() == 0;
        if self.limits_cold_servers(service) && usable.iter().any(is_warm) {
            usable.retain(is_warm);
        }
        let typical_ms = registry.typical_run_ms(service);
        let zone = &self.entry.settings.availability_zone;
        let policy = &self.entry.settings.policy;
        let now_ms = clock::now_ms();
        let plan_server = |server: &Arc<Server>| {
            let seen = server.candidate(zone, None, policy);
            let unlimited_per_s = admission::capacity_per_s(&seen, typical_ms);
            let limit_per_s = server.rate.planned_per_s(now_ms);
            PlanServer {
                id: server.entry.id.clone(),
                capacity_per_s: limit_per_s.unwrap_or(unlimited_per_s).min(unlimited_per_s),
                unlimited_per_s,
            }
        };
        let mut servers: Vec<PlanServer> = usable.into_iter().map(plan_server).collect();
        servers.sort_by(|a, b| a.id.cmp(&b.id));
        servers
    }

    /// Removes the servers that have asked many hosts for a backoff, so that the planner assigns
    /// their keys to other servers. Returns all servers if too few would remain. A backoff is a
    /// period in which a server asks a host to send it no requests.
    fn not_in_backoff(&self, servers: Vec<PlanServer>) -> Vec<PlanServer> {
        let registry = self.entry.view.registry();
        let hosts = self.entry.peers.hosts();
        let now_ms = clock::now_ms();
        backoffs::not_in_backoff(servers, |planned| {
            let server = registry.server(&planned.id);
            server
                .is_some_and(|server| self.entry.backoffs.is_widespread(server.tag, hosts, now_ms))
        })
    }

    /// Returns true if a service limits the requests of its servers during their warm-up.
    fn limits_cold_servers(&self, service: &str) -> bool {
        let Some(configuration) = self.entry.view.configuration() else {
            return false;
        };
        let declared = configuration.service(service);
        declared.is_some_and(|service| service.warmup.is_some())
    }

    fn plan(self: &Arc<Self>, service: &Arc<str>, round: u64, tasks: &mut JoinSet<()>) {
        self.retry_silent_servers(service);
        let servers = self.not_in_backoff(self.usable(service));
        if servers.is_empty() {
            return;
        }
        let Some(held) = self.entry.view.held(service) else {
            self.distribute_first(service, servers, tasks);
            return;
        };
        if store_age_ms(&self.entry) > STORE_AGE_MAX_MS {
            return;
        }
        // Unfinished moves of an earlier leader are resumed before new moves are planned, so that
        // no new move includes their keys.
        self.resume_unfinished_moves(service, &held.assignment, tasks);
        let moves = {
            let mut state = self.state();
            let of_service = || state.moving.iter().filter(|m| m.service == *service);
            let active = of_service().filter(|m| !m.waits_for_lease).count();
            let mut moving: Vec<KeyRange> = of_service().map(|m| m.range).collect();
            let assigned_ranges = held.assignment.assigned_ranges.iter();
            let unfinished =
                assigned_ranges.filter(|assigned| state.is_unfinished(service, assigned));
            moving.extend(unfinished.map(|assigned_range| assigned_range.range));
            let moves_max = CONCURRENT_MOVES_MIN.max(servers.len() / SERVERS_PER_MOVE);
            let room = moves_max.saturating_sub(active);
            let balance = round.is_multiple_of(BALANCE_EVERY_ROUNDS);
            let counts = state.counts.entry(service.clone()).or_default();
            let assigned_ranges = &held.assignment.assigned_ranges;
            let loads = counts.loads(assigned_ranges, f64::from(ROUNDS_PER_S));
            let tag = tag_of(service);
            let policy = &self.entry.settings.policy;
            let hot = hot_keys::find(tag, &held.assignment, &servers, &loads, policy);
            let hot_keys: Vec<u16> = hot.iter().map(|hot| hot.key).collect();
            self.entry.hot_keys.note_found(tag, hot);
            plan::plan(Inputs {
                assignment: &held.assignment,
                servers: &servers,
                loads: &loads,
                moving: &moving,
                balance_moves_max: if balance { room } else { 0 },
                hot: &hot_keys,
                policy,
            })
        };
        self.begin_moves(service, moves, &held.assignment, tasks);
        self.record_completed_moves(service, tasks);
    }

    /// Announces the first assigned ranges of a service to all hosts, so that not every host reads
    /// them from the store.
    fn announce_grants(&self, service: &Arc<str>) {
        let Some(held) = self.entry.view.held(service) else {
            return;
        };
        for assigned_range in &held.assignment.assigned_ranges {
            let outbox = &self.entry.peers.outbox;
            outbox.announce_grant(tag_of(service), assigned_range);
        }
    }

    fn distribute_first(
        self: &Arc<Self>,
        service: &Arc<str>,
        servers: Vec<PlanServer>,
        tasks: &mut JoinSet<()>,
    ) {
        let now_ms = clock::now_ms();
        let is_over = {
            let mut state = self.state();
            let requested = state.counts.contains_key(service);
            let wait = state.first_assignment_waits.entry(service.clone());
            let wait = wait.or_insert_with(|| FirstAssignmentWait::new(now_ms));
            wait.is_over(servers.len(), requested, now_ms)
        };
        if !is_over || !self.mark_moving(service, KeyRange::ALL) {
            return;
        }
        let term = self.clone();
        let service = service.clone();
        tasks.spawn(async move {
            let ranges = first::first_assignment(&servers);
            let change = Change::Distribute(ranges);
            match term.entry.record(&service, &change).await {
                Ok(_) => term.announce_grants(&service),
                Err(failure) => {
                    log::warn!("cannot record the first assigned ranges of {service}: {failure:?}");
                }
            }
            term.end_move(&service, KeyRange::ALL);
        });
    }
}
