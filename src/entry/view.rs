//! What a host believes: the configuration in force, the servers, and who holds which keys.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::{Notify, watch};

use super::{
    decide::{
        hold::{MoveRest, MoveWait},
        key_loads::KEYS,
    },
    events::Event,
    keys::{Assignment, Holding, KeyRange},
    model::Configuration,
    news::{
        announcement::Announcement,
        evacuation::Evacuations,
        followed::{Followed, TOLD_REST_MS},
    },
    registry::Registry,
};
use crate::clock;

/// Longest time for which a move whose end was not announced holds requests back: that of a wait
/// for the leases of a server and a holder that were lost together.
const MOVE_HOLD_MAX_MS: u64 = 20_000;
/// Time for which no request goes to a server that did not hold the key.
const NOT_HELD_MS: u64 = 250;
/// Time for which an announced grant counts; the record has been read by then.
const GRANTED_KEPT_MS: u64 = TOLD_REST_MS + 30_000;

/// Holdings of one service at one version of their row.
#[derive(Clone, Debug)]
pub struct Held {
    /// Holdings.
    pub assignment: Arc<Assignment>,
    /// Version of the row.
    pub version: u64,
}

/// Keys that are on their way to another server.
#[derive(Clone, Debug)]
struct Moving {
    service: Arc<str>,
    range: KeyRange,
    /// Requests wait for the record of a holding with a higher fence.
    above_fence: u64,
    wait: MoveWait,
    until_ms: u64,
}

/// Keys that their server was found not to hold.
#[derive(Clone, Debug)]
struct NotHeld {
    service: Arc<str>,
    fence: u64,
    until_ms: u64,
}

/// A grant that was announced.
#[derive(Clone, Debug)]
struct Granted {
    service: Arc<str>,
    holding: Holding,
    until_ms: u64,
}

/// Where a keyed request should go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// To this server, under this fence.
    Server(Arc<str>, u64),
    /// The keys are on their way: ask again when the view changes or a moment has passed.
    Moving(MoveRest),
    /// No server holds the key.
    Nobody,
}

type Fenced = Option<(Arc<str>, u64)>;

/// The one of two servers that has the higher fence.
fn higher_fence(one: Fenced, other: Fenced) -> Fenced {
    let fence = |fenced: &Fenced| fenced.as_ref().map_or(0, |(_, fence)| *fence);
    if fence(&one) >= fence(&other) {
        one
    } else {
        other
    }
}

fn log_evacuations(before: &Evacuations, after: &Evacuations) {
    let zones = before.zones.iter().chain(&after.zones);
    for zone in zones.filter(|zone| before.contains(zone) != after.contains(zone)) {
        Event::Evacuation {
            availability_zone: zone.clone(),
            evacuated: after.contains(zone),
            version: after.version,
        }
        .log();
    }
}

/// What a host believes.
#[derive(Debug)]
pub struct View {
    configuration: ArcSwapOption<Configuration>,
    registry: ArcSwap<Registry>,
    servers_known: AtomicBool,
    evacuations: Mutex<Evacuations>,
    held: Mutex<HashMap<Arc<str>, Held>>,
    moving: Mutex<Vec<Moving>>,
    granted: Mutex<Vec<Granted>>,
    not_held: Mutex<Vec<NotHeld>>,
    changed: watch::Sender<u64>,
    store_lost: watch::Sender<bool>,
    wanted: [Notify; Followed::ALL.len()],
    hosts_known: watch::Sender<bool>,
    former_process: AtomicBool,
    store_heard_ms: AtomicU64,
    store_returned_ms: AtomicU64,
}

impl Default for View {
    fn default() -> Self {
        Self {
            configuration: ArcSwapOption::empty(),
            registry: ArcSwap::default(),
            servers_known: AtomicBool::new(false),
            evacuations: Mutex::default(),
            held: Mutex::default(),
            moving: Mutex::default(),
            granted: Mutex::default(),
            not_held: Mutex::default(),
            changed: watch::channel(0).0,
            store_lost: watch::channel(false).0,
            wanted: Default::default(),
            hosts_known: watch::channel(false).0,
            former_process: AtomicBool::new(false),
            store_heard_ms: AtomicU64::new(clock::now_ms()),
            store_returned_ms: AtomicU64::new(0),
        }
    }
}

impl View {
    /// The configuration in force.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// Puts a configuration in force, unless it is not newer than the one that is.
    pub fn configure(&self, configuration: Configuration) {
        let before = self.configuration.load().as_ref().map_or(0, |c| c.version);
        if configuration.version <= before && self.configuration.load().is_some() {
            return;
        }
        let version = configuration.version;
        self.configuration.store(Some(Arc::new(configuration)));
        Event::Configuration { version, before }.log();
        self.changed.send_modify(|count| *count += 1);
    }

    /// The servers.
    pub fn registry(&self) -> Arc<Registry> {
        self.registry.load_full()
    }

    /// True once the servers' entries were read.
    pub fn servers_known(&self) -> bool {
        self.servers_known.load(Ordering::Relaxed)
    }

    /// Zones that are evacuated.
    pub fn evacuations(&self) -> Evacuations {
        self.evacuations_lock().clone()
    }

    /// Notes which zones are evacuated, unless something later is known.
    pub fn evacuate(&self, evacuations: Evacuations) {
        {
            let mut known = self.evacuations_lock();
            if evacuations.version <= known.version {
                return;
            }
            let before = std::mem::replace(&mut *known, evacuations.clone());
            if before.zones == evacuations.zones {
                return;
            }
            log_evacuations(&before, &evacuations);
        }
        let configuration = self.configuration();
        let warmup_ms = |service: &str| {
            let service = configuration.as_ref()?.service(service)?;
            Some(service.warmup?.time_ms)
        };
        self.update_registry(|registry| {
            registry.set_evacuations(&evacuations, |service| warmup_ms(service).unwrap_or(0));
        });
    }

    /// Changes the registry. Nothing waits in between, so that changes do not undo each other on the
    /// one thread of a host.
    pub fn update_registry(&self, change: impl FnOnce(&mut Registry)) {
        let mut registry = Registry::clone(&self.registry.load());
        change(&mut registry);
        self.registry.store(Arc::new(registry));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Notes that the servers' entries were read.
    pub fn set_servers_known(&self) {
        self.servers_known.store(true, Ordering::Relaxed);
    }

    /// Holdings of a service.
    pub fn held(&self, service: &str) -> Option<Held> {
        self.held_map().get(service).cloned()
    }

    /// True if nothing is known of the holdings of a service that is divided by key.
    pub fn lacks_holdings(&self) -> bool {
        let Some(configuration) = self.configuration() else {
            return false;
        };
        let mut divided = configuration.services().filter(|s| s.divided_by_key);
        divided
            .any(|service| self.held(&service.name).is_none() && !self.all_granted(&service.name))
    }

    /// True if grants of all keys of a service were announced.
    fn all_granted(&self, service: &str) -> bool {
        let granted = self.granted();
        let of_service = granted.iter().filter(|g| *g.service == *service);
        let mut ranges: Vec<KeyRange> = of_service.map(|g| g.holding.range).collect();
        drop(granted);
        ranges.sort_unstable_by_key(|range| range.first);
        let mut next = 0u32;
        for range in ranges {
            if u32::from(range.first) > next {
                return false;
            }
            next = next.max(u32::from(range.last) + 1);
        }
        next == KEYS as u32
    }

    /// Notes the holdings of a service, unless a newer version is known.
    pub fn hold(&self, service: &Arc<str>, assignment: Arc<Assignment>, version: u64) {
        let highest_fence = assignment.fence;
        let mut held = self.held_map();
        if held
            .get(service)
            .is_some_and(|held| held.version >= version)
        {
            return;
        }
        held.insert(
            service.clone(),
            Held {
                assignment,
                version,
            },
        );
        drop(held);
        self.granted()
            .retain(|g| g.service != *service || g.holding.fence > highest_fence);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Notes that a server was granted keys, before the record of it is read.
    pub fn note_granted(&self, service: &Arc<str>, holding: Holding) {
        let now_ms = clock::now_ms();
        // The move has ended.
        self.moving().retain(|m| {
            let same = m.service == *service && holding.range.covers(&m.range);
            !same || holding.fence <= m.above_fence
        });
        let mut granted = self.granted();
        granted.retain(|g| {
            let same = g.service == *service && holding.range.covers(&g.holding.range);
            now_ms < g.until_ms && !(same && g.holding.fence <= holding.fence)
        });
        granted.push(Granted {
            service: service.clone(),
            holding,
            until_ms: now_ms + GRANTED_KEPT_MS,
        });
        drop(granted);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Asks for a table to be read soon: a server did not hold what was thought, or is not known.
    pub fn want_reading(&self, followed: Followed) {
        self.wanted[followed.index()].notify_one();
    }

    /// Returns when a table should be read soon.
    pub async fn reading_wanted(&self, followed: Followed) {
        self.wanted[followed.index()].notified().await;
    }

    /// Notes that the other hosts were read from the store.
    pub fn set_hosts_known(&self) {
        self.hosts_known.send_replace(true);
    }

    /// True once the other hosts were read from the store.
    pub fn are_hosts_known(&self) -> bool {
        *self.hosts_known.borrow()
    }

    /// Notes that another process has run on this host before this one.
    pub fn note_former_process(&self) {
        self.former_process.store(true, Ordering::Relaxed);
    }

    /// True if another process is known to have run on this host before this one.
    pub fn had_former_process(&self) -> bool {
        self.former_process.load(Ordering::Relaxed)
    }

    /// Returns when the other hosts were read from the store; false if they never will be.
    pub async fn hosts_known(&self) -> bool {
        let mut known = self.hosts_known.subscribe();
        known.wait_for(|known| *known).await.is_ok()
    }

    /// Notes whether the store answers.
    pub fn set_store_lost(&self, lost: bool) {
        self.store_lost
            .send_if_modified(|before| std::mem::replace(before, lost) != lost);
    }

    /// Tells whether the store has stopped answering.
    pub fn store_lost(&self) -> watch::Receiver<bool> {
        self.store_lost.subscribe()
    }

    /// Returns when the store is not known to be silent.
    pub async fn store_returned(&self) {
        let mut lost = self.store_lost();
        if lost.wait_for(|lost| !lost).await.is_err() {
            log::debug!("the view has ended");
        }
    }

    /// Returns when the store was found silent and answers again.
    pub async fn store_lost_and_returned(&self) {
        let mut lost = self.store_lost();
        if lost.wait_for(|lost| *lost).await.is_err() {
            log::debug!("the view has ended");
        }
        self.store_returned().await;
    }

    /// Notes that keys are on their way to another server.
    pub fn announce_move(&self, service: &Arc<str>, announcement: Announcement) {
        let Announcement {
            range,
            above_fence,
            rest,
        } = announcement;
        let now_ms = clock::now_ms();
        // Datagrams may come in another order than they were sent.
        let has_ended = self.granted().iter().any(|g| {
            let same = g.service == *service && g.holding.range.covers(&range);
            same && g.holding.fence > above_fence
        });
        if has_ended {
            return;
        }
        let mut moving = self.moving();
        moving.retain(|m| m.until_ms > now_ms);
        moving.push(Moving {
            service: service.clone(),
            range,
            above_fence,
            wait: rest.wait,
            until_ms: now_ms + rest.rest_ms.min(MOVE_HOLD_MAX_MS),
        });
    }

    /// Where a request for `key` should go.
    pub fn owner(&self, service: &Arc<str>, key: u16) -> Owner {
        let held = self.held_map();
        let recorded = held
            .get(service)
            .and_then(|held| held.assignment.holding(key))
            .map(|holding| (holding.server.clone(), holding.fence));
        drop(held);
        let now_ms = clock::now_ms();
        let granted = self.granted();
        let concerns = |g: &&Granted| {
            now_ms < g.until_ms && g.service == *service && g.holding.range.contains(key)
        };
        let granted = granted
            .iter()
            .filter(concerns)
            .max_by_key(|g| g.holding.fence)
            .map(|g| (g.holding.server.clone(), g.holding.fence));
        let latest = higher_fence(granted.clone(), recorded);
        let Some((server, fence)) = latest else {
            return Owner::Nobody;
        };
        // The record comes before the grant, so only an announced grant ends the wait.
        let granted_fence = granted.map_or(0, |(_, fence)| fence);
        let moving = self.moving();
        let waits = moving.iter().filter(|m| {
            let concerns = m.service == *service && m.range.contains(key);
            concerns && now_ms < m.until_ms && granted_fence <= m.above_fence
        });
        if let Some(longest) = waits.max_by_key(|m| m.until_ms) {
            return Owner::Moving(MoveRest {
                wait: longest.wait,
                rest_ms: longest.until_ms - now_ms,
            });
        }
        drop(moving);
        let refused = self.not_held().iter().any(|n| {
            let concerns = n.service == *service && n.fence == fence;
            concerns && now_ms < n.until_ms
        });
        if refused {
            return Owner::Nobody;
        }
        Owner::Server(server, fence)
    }

    /// Notes that a server does not hold, or does not hold yet, what it has under a fence.
    pub fn note_not_held(&self, service: &Arc<str>, fence: u64) {
        let now_ms = clock::now_ms();
        let mut not_held = self.not_held();
        not_held.retain(|n| now_ms < n.until_ms);
        not_held.push(NotHeld {
            service: service.clone(),
            fence,
            until_ms: now_ms + NOT_HELD_MS,
        });
    }

    /// Tells of changes of any of this.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Notes an answer of the store at a time. Returns the time without one if that was long enough
    /// for entries to lapse.
    pub fn heard_store(&self, at_ms: u64, lapse_ms: u64) -> Option<u64> {
        let now_ms = clock::now_ms();
        let before_ms = self.store_heard_ms.fetch_max(at_ms, Ordering::Relaxed);
        let away_ms = at_ms.saturating_sub(before_ms);
        if away_ms < lapse_ms {
            return None;
        }
        self.store_returned_ms.store(now_ms, Ordering::Relaxed);
        Some(away_ms)
    }

    /// When the store last answered.
    pub fn store_heard_ms(&self) -> u64 {
        self.store_heard_ms.load(Ordering::Relaxed)
    }

    /// When the store came back after it was away; 0 if it never was.
    pub fn store_returned_ms(&self) -> u64 {
        self.store_returned_ms.load(Ordering::Relaxed)
    }

    fn evacuations_lock(&self) -> MutexGuard<'_, Evacuations> {
        self.evacuations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn held_map(&self) -> MutexGuard<'_, HashMap<Arc<str>, Held>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn granted(&self) -> MutexGuard<'_, Vec<Granted>> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn not_held(&self) -> MutexGuard<'_, Vec<NotHeld>> {
        self.not_held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn moving(&self) -> MutexGuard<'_, Vec<Moving>> {
        self.moving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
