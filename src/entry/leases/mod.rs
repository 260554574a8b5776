//! Work of the leader: grants and renews the leases of servers, moves keys to balance load, and
//! reassigns the keys of servers that leave or stop answering.
//!
//! A move is recorded in the store first, together with the server that may still hold the keys.
//! That server is then asked to release them under the new fence. If it does not answer, the keys
//! are granted to the new server only after the last lease that any leader may have granted to the
//! old one has expired. A later leader finds the move among the recorded assigned ranges and
//! completes it in the same way.

mod moves;
mod renewal;

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{task::JoinSet, time};

use super::{
    Entry,
    decide::{
        admission, backoffs,
        first::{self, FirstAssignmentWait},
        hot_keys,
        key_loads::KeyCounts,
        plan::{self, Inputs, PlanServer},
    },
    keys::{AssignedRange, KeyRange},
    leadership::Change,
    server::{Server, tag_of},
    watch::store_age_ms,
};
use crate::clock;

/// Interval of the leader's rounds of renewals and planning.
const ROUND_MS: u64 = 100;
/// Number of rounds between plans that move keys to balance load. Hosts report their request counts
/// about as often.
const BALANCE_EVERY_ROUNDS: u64 = 2;
/// Timeout of a grant. A server usually answers within a few ms, and a lost packet is retransmitted
/// within the timeout. Nine grants fit into the time from the renewal of a lease to its expiry: if
/// half of the responses are lost, two leases in a thousand expire.
const GRANT_TIMEOUT_MS: u64 = 300;
/// Number of consecutive failed grants after which the server is probed.
const FAILURES_BEFORE_PROBE: u32 = 2;
/// Maximum number of concurrent moves of a service with few servers.
const CONCURRENT_MOVES_MIN: usize = 8;
/// Number of servers of a service per concurrent move. It sets the maximum number of moves in
/// progress where it allows more than `CONCURRENT_MOVES_MIN`.
const SERVERS_PER_MOVE: usize = 4;
/// Factor by which the wait for the end of a lease is longer than the lease. A server whose clock
/// runs slow, by up to 2%, still counts on its lease for that much longer. `LEASE_MARGIN_MS` is
/// added, since a grant may arrive until its timeout.
const LEASE_CLOCK_FACTOR: f64 = 1.03;
const LEASE_MARGIN_MS: u64 = GRANT_TIMEOUT_MS + 250;
/// Rounds per second. Reported request counts are added up once per round.
const ROUNDS_PER_S: f32 = 1_000.0 / ROUND_MS as f32;
/// Age of the store's last response above which no planned move begins, since the move could not be
/// recorded.
const STORE_AGE_MAX_MS: u64 = 3_600;

/// State of the leases of one server in this term.
#[derive(Clone, Copy, Debug, Default)]
struct ServerLeaseState {
    /// Time at which the last grant was sent that may have arrived; 0 if none was.
    granted_ms: u64,
    /// Number of grants in flight; while there are any, the server's lease may still be extended.
    grants_in_flight: u32,
    /// Number of consecutive failed grants; [`FAILURES_BEFORE_PROBE`] of them start a probe.
    failures: u32,
    /// True if the server answered neither grants nor a probe. While this is set, it gets no grants
    /// and no keys.
    is_silent: bool,
}

/// Renewals of one assigned range, which is renewed independently of the server's other assigned
/// ranges.
#[derive(Clone, Copy, Debug, Default)]
struct Renewal {
    /// Time at which the last successful renewal was sent; 0 if none was.
    renewed_ms: u64,
    is_in_flight: bool,
}

impl ServerLeaseState {
    /// Returns the latest time at which the server may have received a grant: now, while one is in
    /// flight.
    fn last_grant_ms(&self, now_ms: u64) -> u64 {
        if self.grants_in_flight > 0 {
            now_ms
        } else {
            self.granted_ms
        }
    }
}

/// A move of keys that is being carried out.
#[derive(Clone, Debug)]
struct Moving {
    service: Arc<str>,
    range: KeyRange,
    /// True while the move waits for the last lease of a silent server to expire. A waiting move
    /// does not count towards the maximum of concurrent moves.
    waits_for_lease: bool,
}

/// State of one term of the leader, discarded when the term ends.
#[derive(Debug, Default)]
struct TermState {
    servers: HashMap<Arc<str>, ServerLeaseState>,
    /// State of the renewals, by service and by the fence of the assigned range.
    renewals: HashMap<(Arc<str>, u64), Renewal>,
    moving: Vec<Moving>,
    counts: HashMap<Arc<str>, KeyCounts>,
    first_assignment_waits: HashMap<Arc<str>, FirstAssignmentWait>,
    /// Fences of completed moves whose recorded assigned range still names the former server, by
    /// service.
    completed_fences: HashMap<Arc<str>, Vec<u64>>,
    /// Time at which completed moves were last recorded.
    completed_recorded_ms: u64,
}

impl TermState {
    fn is_moving(&self, service: &str, range: KeyRange) -> bool {
        let mut moving = self.moving.iter();
        moving.any(|m| *m.service == *service && m.range.overlaps(&range))
    }

    /// Returns true if the former server of an assigned range may still hold its keys.
    fn is_unfinished(&self, service: &str, assigned_range: &AssignedRange) -> bool {
        let completed_fences = self.completed_fences.get(service);
        let done = completed_fences.is_some_and(|fences| fences.contains(&assigned_range.fence));
        assigned_range.from.is_some() && !done
    }
}

/// One term in which this host is the leader; its work stops when the term ends.
#[derive(Debug)]
struct Term {
    entry: Arc<Entry>,
    number: u64,
    state: Mutex<TermState>,
}

impl Entry {
    /// Grants leases and plans moves, in one run for each term in which this host is the leader.
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
            // The state of the leases is kept while the store is unavailable for too long to grant
            // any.
            if !self.may_send_orders() {
                continue;
            }
            self.add_reported_key_counts();
            for service in self.sharded_services() {
                self.renew(&service, &mut tasks);
                self.plan(&service, round, &mut tasks);
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    /// Returns true while this host is the leader in this term and may grant leases, so that it may
    /// send orders to servers.
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

    /// Marks keys as moving. Returns false if a move of some of them is in progress.
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

    /// Returns the servers that may hold keys of a service, sorted by incarnation. Cold servers are
    /// left out as long as there are warm ones, if their service limits their requests during
    /// warm-up.
    fn usable(&self, service: &str) -> Vec<PlanServer> {
        let registry = self.entry.view.registry();
        let state = self.state();
        let servers = registry.of_service(service).iter();
        let mut usable: Vec<&Arc<Server>> = servers
            .filter(|server| {
                let record = state.servers.get(&server.entry.id);
                let silent = record.is_some_and(|r| r.is_silent);
                server.takes_new_work() && !silent
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

    /// Removes the servers that have asked many hosts for a backoff (a period without requests), so
    /// that other servers hold their keys. Returns all servers if too few would remain.
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
        // Moves of an earlier leader are resumed first, so that no plan touches their keys.
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

    /// Announces the first assigned ranges to all hosts, so that they do not all read them from the
    /// store.
    fn announce_grants(&self, service: &Arc<str>) {
        let Some(held) = self.entry.view.held(service) else {
            return;
        };
        for assigned_range in &held.assignment.assigned_ranges {
            let outbox = &self.entry.peers.outbox;
            outbox.announce_grant(tag_of(service), assigned_range);
        }
    }

    /// Lets silent servers hold keys again once twice the lease time has passed since their last
    /// grant. If they still do not answer, they are marked as silent again.
    fn retry_silent_servers(&self, service: &str) {
        let registry = self.entry.view.registry();
        let now_ms = clock::now_ms();
        let lease_ms = self.entry.settings.leases.lease_ms;
        let mut state = self.state();
        for server in registry.of_service(service) {
            let Some(record) = state.servers.get_mut(&server.entry.id) else {
                continue;
            };
            // By then the last lease of the server has expired and its keys have moved to others.
            if record.is_silent && now_ms > record.last_grant_ms(now_ms) + 2 * lease_ms {
                record.failures = 0;
                record.is_silent = false;
            }
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
