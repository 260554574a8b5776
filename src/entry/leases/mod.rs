//! What the duty's holder does: gives and renews leases, moves keys by plan, and frees the keys of
//! servers that leave or fall silent.
//!
//! A move is recorded first, with the server that may still hold the keys. That server is then
//! asked to release them under the new fence. If it does not answer, the keys are granted to the
//! new server only when the last lease that anyone may have given the old one has run out. A later
//! holder of the duty finds the move in the record and finishes it in the same way.

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
        admission,
        first::{self, FirstWait},
        hot_keys,
        key_loads::KeyCounts,
        plan::{self, PlanServer, Question},
        rests,
    },
    duty::Change,
    keys::{Holding, KeyRange},
    server::{Server, tag_of},
    watch::store_age_ms,
};
use crate::clock;

/// Interval of the holder's rounds.
const ROUND_MS: u64 = 100;
/// Rounds between plans for balance. Hosts report their counts about as often.
const BALANCE_EVERY_ROUNDS: u64 = 2;
/// Time for a server to answer a grant; it answers within a few ms as a rule, and one lost packet is
/// sent again in it. Nine grants fit into what a lease lasts beyond the interval of renewals: where
/// half of the answers are lost, two leases of a thousand end.
const GRANT_TIMEOUT_MS: u64 = 300;
/// Failed orders in a row after which it is asked whether a server lives.
const FAILURES_DOUBT: u32 = 2;
/// Moves under way at a time: this many, and more with many servers.
const MOVES_MIN: usize = 8;
/// Servers of a service for each move under way.
const SERVERS_PER_MOVE: usize = 4;
/// A server's clock may run slow by 2%, and a grant may arrive until it is given up.
const LEASE_CLOCK_FACTOR: f64 = 1.03;
const LEASE_MARGIN_MS: u64 = GRANT_TIMEOUT_MS + 250;
/// Rounds a second: counts are taken in once a round.
const ROUNDS_PER_S: f32 = 1_000.0 / ROUND_MS as f32;
/// Store silence above which no planned move begins, since it could not be recorded.
const STORE_AGE_MAX_MS: u64 = 3_600;

/// What the holder knows of the leases of one server.
#[derive(Clone, Copy, Debug, Default)]
struct LeaseRecord {
    /// When the last grant was sent that may have arrived.
    granted_ms: u64,
    /// Grants that are on their way.
    under_way: u32,
    /// Failed orders in a row.
    failures: u32,
    /// It answers neither orders nor anything else.
    is_silent: bool,
}

/// Renewals of one holding.
#[derive(Clone, Copy, Debug, Default)]
struct Renewal {
    /// When the last one that succeeded was sent.
    renewed_ms: u64,
    is_under_way: bool,
}

impl LeaseRecord {
    /// Time of the last grant that the server may take, or may have taken.
    fn last_grant_ms(&self, now_ms: u64) -> u64 {
        if self.under_way > 0 {
            now_ms
        } else {
            self.granted_ms
        }
    }
}

/// A move under way.
#[derive(Clone, Debug)]
struct Moving {
    service: Arc<str>,
    range: KeyRange,
    /// True while it waits for the last lease of a silent server to run out.
    waits: bool,
}

/// State of the holder's work; void when the term ends.
#[derive(Debug, Default)]
struct Work {
    servers: HashMap<Arc<str>, LeaseRecord>,
    /// By service and fence.
    renewals: HashMap<(Arc<str>, u64), Renewal>,
    moving: Vec<Moving>,
    counts: HashMap<Arc<str>, KeyCounts>,
    first_waits: HashMap<Arc<str>, FirstWait>,
    /// Fences of finished moves whose record still names the former server, by service.
    finished: HashMap<Arc<str>, Vec<u64>>,
    /// When finished moves were last recorded.
    settled_ms: u64,
}

impl Work {
    fn is_moving(&self, service: &str, range: KeyRange) -> bool {
        let mut moving = self.moving.iter();
        moving.any(|m| *m.service == *service && m.range.overlaps(&range))
    }

    /// True if the former server of a holding may still hold its keys.
    fn is_unfinished(&self, service: &str, holding: &Holding) -> bool {
        let finished = self.finished.get(service);
        let done = finished.is_some_and(|fences| fences.contains(&holding.fence));
        holding.from.is_some() && !done
    }
}

/// A term of this host as the duty's holder.
#[derive(Debug)]
struct Term {
    entry: Arc<Entry>,
    number: u64,
    work: Mutex<Work>,
}

impl Entry {
    /// Does the holder's work while this host has the duty.
    pub(super) async fn keep_leasing(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(ROUND_MS)).await;
            let number = self.duty.term();
            if number == 0 {
                continue;
            }
            let term = Arc::new(Term {
                entry: self.clone(),
                number,
                work: Mutex::default(),
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
            if self.entry.duty.term() != self.number {
                return;
            }
            // What is known of leases is kept while the store is away for too long.
            if !self.lasts() {
                continue;
            }
            self.count_loads();
            for service in self.divided_services() {
                self.renew(&service, &mut tasks);
                self.plan(&service, round, &mut tasks);
            }
            while tasks.try_join_next().is_some() {}
        }
    }

    /// True while orders may be given in this term.
    fn lasts(&self) -> bool {
        let duty = &self.entry.duty;
        duty.term() == self.number && duty.may_lease(self.entry.settings.leases.outage_ms)
    }

    fn work(&self) -> MutexGuard<'_, Work> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn divided_services(&self) -> Vec<Arc<str>> {
        let Some(configuration) = self.entry.view.configuration() else {
            return Vec::new();
        };
        let services = configuration.services().filter(|s| s.sharded);
        services.map(|service| service.name.clone()).collect()
    }

    fn count_loads(&self) {
        let reported = self.entry.peers.take_reported();
        let names: HashMap<u32, Arc<str>> = self
            .divided_services()
            .into_iter()
            .map(|name| (tag_of(&name), name))
            .collect();
        let mut work = self.work();
        for counts in work.counts.values_mut() {
            counts.decay();
        }
        for count in reported {
            let Some(name) = names.get(&count.service_tag) else {
                continue;
            };
            let counts = work.counts.entry(name.clone()).or_default();
            counts.add(count.key, count.requests, ROUNDS_PER_S);
        }
    }

    /// Marks keys as moving; false if some of them are on their way already.
    fn mark_moving(&self, service: &Arc<str>, range: KeyRange) -> bool {
        let mut work = self.work();
        if work.is_moving(service, range) {
            return false;
        }
        work.moving.push(Moving {
            service: service.clone(),
            range,
            waits: false,
        });
        true
    }

    /// Servers that may hold keys of a service. Cold ones bear too little, as long as there are others.
    fn usable(&self, service: &str) -> Vec<PlanServer> {
        let registry = self.entry.view.registry();
        let work = self.work();
        let servers = registry.of_service(service).iter();
        let mut usable: Vec<&Arc<Server>> = servers
            .filter(|server| {
                let record = work.servers.get(&server.entry.id);
                let silent = record.is_some_and(|r| r.is_silent);
                server.takes_new_work() && !silent
            })
            .collect();
        let is_warm = |server: &&Arc<Server>| server.cold_remaining_ms() == 0;
        if self.bounds_cold_servers(service) && usable.iter().any(is_warm) {
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

    /// Those of a service's servers that should hold keys now: without the ones that many hosts must let rest.
    fn awake(&self, servers: Vec<PlanServer>) -> Vec<PlanServer> {
        let registry = self.entry.view.registry();
        let hosts = self.entry.peers.hosts();
        let now_ms = clock::now_ms();
        rests::awake(servers, |planned| {
            let server = registry.server(&planned.id);
            server.is_some_and(|server| self.entry.rests.is_wide(server.tag, hosts, now_ms))
        })
    }

    /// True if the servers of a service bear a bounded number of requests while they are cold.
    fn bounds_cold_servers(&self, service: &str) -> bool {
        let Some(configuration) = self.entry.view.configuration() else {
            return false;
        };
        let declared = configuration.service(service);
        declared.is_some_and(|service| service.warmup.is_some())
    }

    fn plan(self: &Arc<Self>, service: &Arc<str>, round: u64, tasks: &mut JoinSet<()>) {
        self.revive_silent(service);
        let servers = self.awake(self.usable(service));
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
        // First, so that no plan touches what an earlier holder has not finished.
        self.finish_found(service, &held.assignment, tasks);
        let moves = {
            let mut work = self.work();
            let of_service = || work.moving.iter().filter(|m| m.service == *service);
            let active = of_service().filter(|m| !m.waits).count();
            let mut moving: Vec<KeyRange> = of_service().map(|m| m.range).collect();
            let holdings = held.assignment.holdings.iter();
            let unfinished = holdings.filter(|h| work.is_unfinished(service, h));
            moving.extend(unfinished.map(|holding| holding.range));
            let moves_max = MOVES_MIN.max(servers.len() / SERVERS_PER_MOVE);
            let room = moves_max.saturating_sub(active);
            let balance = round.is_multiple_of(BALANCE_EVERY_ROUNDS);
            let counts = work.counts.entry(service.clone()).or_default();
            let holdings = &held.assignment.holdings;
            let loads = counts.loads(holdings, f64::from(ROUNDS_PER_S));
            let tag = tag_of(service);
            let policy = &self.entry.settings.policy;
            let hot = hot_keys::find(tag, &held.assignment, &servers, &loads, policy);
            let hot_keys: Vec<u16> = hot.iter().map(|hot| hot.key).collect();
            self.entry.hot_keys.note_found(tag, hot);
            plan::plan(Question {
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
        self.settle(service, tasks);
    }

    /// Tells all hosts the first holdings, so that they do not all read the record.
    fn announce_all(&self, service: &Arc<str>) {
        let Some(held) = self.entry.view.held(service) else {
            return;
        };
        for holding in &held.assignment.holdings {
            let outbox = &self.entry.peers.outbox;
            outbox.announce_holding(tag_of(service), holding);
        }
    }

    /// Lets silent servers hold keys again once their entries are fresh and they answer requests.
    fn revive_silent(&self, service: &str) {
        let registry = self.entry.view.registry();
        let now_ms = clock::now_ms();
        let lease_ms = self.entry.settings.leases.lease_ms;
        let mut work = self.work();
        for server in registry.of_service(service) {
            let Some(record) = work.servers.get_mut(&server.entry.id) else {
                continue;
            };
            // After its lease has run out and its keys have gone, it may try anew.
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
            let mut work = self.work();
            let requested = work.counts.contains_key(service);
            let wait = work.first_waits.entry(service.clone());
            let wait = wait.or_insert_with(|| FirstWait::new(now_ms));
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
                Ok(_) => term.announce_all(&service),
                Err(failure) => {
                    log::warn!("the first holdings of {service} are not recorded: {failure:?}");
                }
            }
            term.end_move(&service, KeyRange::ALL);
        });
    }
}
