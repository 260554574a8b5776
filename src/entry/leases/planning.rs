//! Plans which servers hold which keys: the first distribution of the keys of a service, and the moves of
//! keys between servers.

use std::sync::Arc;

use tokio::task::JoinSet;

use super::{ROUNDS_PER_S, Term};
use crate::{
    clock,
    entry::{
        decide::{
            admission, backoffs,
            first::{self, FirstAssignmentWait},
            hot_keys,
            plan::{self, Inputs, PlanServer},
        },
        keys::KeyRange,
        leadership::Change,
        server::Server,
        tag::tag_of,
        watch::store_age_ms,
    },
};

/// Number of rounds after which the leader plans moves of keys that balance load. Hosts report
/// their request counts by key to the leader at a similar interval.
const BALANCE_EVERY_ROUNDS: u64 = 2;
/// Maximum number of moves of keys that are in progress at the same time in a service with few
/// servers.
const CONCURRENT_MOVES_MIN: usize = 8;
/// Number of servers of a service for each move of keys that may be in progress at the same time. A
/// service with many servers may thus have more moves in progress than [`CONCURRENT_MOVES_MIN`].
const SERVERS_PER_MOVE: usize = 4;
/// Age of the store's last response above which the leader plans no moves of keys, since it could
/// not record them.
const STORE_AGE_MAX_MS: u64 = 3_600;

impl Term {
    /// Returns the servers to which keys of a service may be assigned, sorted by incarnation id. A
    /// cold server is a server in its warm-up. If the service limits the requests of servers during
    /// their warm-up, cold servers are left out as long as there is a warm server.
    pub(super) fn usable(&self, service: &str) -> Vec<PlanServer> {
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

    /// Plans moves of the keys of a service, and begins them.
    pub(super) fn plan(self: &Arc<Self>, service: &Arc<str>, round: u64, tasks: &mut JoinSet<()>) {
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
