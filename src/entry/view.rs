//! The view of a host: what the host currently knows of the configuration in force, the servers,
//! and which server holds which keys.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use arc_swap::{ArcSwap, ArcSwapOption};
use tokio::sync::{Notify, watch};

use super::{
    events::Event,
    keys::{AssignedRange, KeyPartition},
    model::Configuration,
    owners::{Owner, Owners},
    recorded_assignment::{AssignmentRow, RecordedAssignment},
    registry::Registry,
    updates::{announcement::MoveAnnouncement, evacuation::Evacuations, followed::FollowedTable},
};
use crate::clock;

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

/// A host's view of configuration, servers and assigned ranges, shared by all its tasks.
#[derive(Debug)]
pub struct View {
    configuration: ArcSwapOption<Configuration>,
    registry: ArcSwap<Registry>,
    are_servers_known: AtomicBool,
    evacuations: Mutex<Evacuations>,
    owners: Owners,
    /// Number of changes of the configuration, the servers or the assigned ranges; receivers of
    /// this channel are notified of each change.
    changed: watch::Sender<u64>,
    /// True while the store is known to be unavailable.
    store_lost: watch::Sender<bool>,
    /// Requests to call the store soon for the changes of a table, by [`FollowedTable::index`].
    read_requests: [Notify; FollowedTable::ALL.len()],
    /// True once the rows of the other hosts have been read.
    hosts_known: watch::Sender<bool>,
    /// True if an earlier process is known to have run on this host.
    former_process: AtomicBool,
    /// Time of the store's latest response to this host or to a host that reported it.
    store_answered_ms: AtomicU64,
    /// Time at which the store responded again after its latest outage; 0 if there was none.
    store_returned_ms: AtomicU64,
}

impl Default for View {
    fn default() -> Self {
        Self {
            configuration: ArcSwapOption::empty(),
            registry: ArcSwap::default(),
            are_servers_known: AtomicBool::new(false),
            evacuations: Mutex::default(),
            owners: Owners::default(),
            changed: watch::channel(0).0,
            store_lost: watch::channel(false).0,
            read_requests: Default::default(),
            hosts_known: watch::channel(false).0,
            former_process: AtomicBool::new(false),
            store_answered_ms: AtomicU64::new(clock::now_ms()),
            store_returned_ms: AtomicU64::new(0),
        }
    }
}

impl View {
    /// Returns the configuration in force; `None` before the first configuration was read.
    pub fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration.load_full()
    }

    /// Puts a configuration in force if it is newer than the current one. Returns the version of
    /// the configuration that it replaces, 0 for none; `None` if it is not newer.
    pub fn configure(&self, configuration: Configuration) -> Option<u64> {
        let before = self.configuration.load().as_ref().map(|c| c.version);
        if before.is_some_and(|before| configuration.version <= before) {
            return None;
        }
        self.configuration.store(Some(Arc::new(configuration)));
        self.changed.send_modify(|count| *count += 1);
        Some(before.unwrap_or(0))
    }

    /// Returns the current registry of servers. Later updates of the registry do not change the
    /// returned copy.
    pub fn registry(&self) -> Arc<Registry> {
        self.registry.load_full()
    }

    /// Returns true if the servers' entries have been read.
    pub fn are_servers_known(&self) -> bool {
        self.are_servers_known.load(Ordering::Relaxed)
    }

    /// Returns the evacuated zones with the version of the operators' table to which the list
    /// belongs.
    pub fn evacuations(&self) -> Evacuations {
        self.evacuations_lock().clone()
    }

    /// Applies a list of evacuated zones, unless an equal or later version is known.
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

    /// Replaces the registry by a changed copy. There is no await point between loading the old
    /// registry and storing the new one, so updates on a host's single thread do not overwrite each
    /// other.
    pub fn update_registry(&self, change: impl FnOnce(&mut Registry)) {
        let mut registry = Registry::clone(&self.registry.load());
        change(&mut registry);
        self.registry.store(Arc::new(registry));
        self.changed.send_modify(|count| *count += 1);
    }

    /// Records that the servers' entries have been read.
    pub fn set_servers_known(&self) {
        self.are_servers_known.store(true, Ordering::Relaxed);
    }

    /// Returns the recorded assigned ranges of a service; `None` if this host knows no row with
    /// assigned ranges of the service.
    pub fn held(&self, service: &str) -> Option<RecordedAssignment> {
        self.owners.held(service)
    }

    /// Returns the assigned ranges of all services whose rows are known, with the names of the
    /// services.
    pub fn all_held(&self) -> Vec<(Arc<str>, RecordedAssignment)> {
        self.owners.all_held()
    }

    /// Returns true if, for some sharded service, this host knows neither recorded assigned ranges
    /// nor announced grants of all keys.
    pub fn lacks_assignments(&self) -> bool {
        let Some(configuration) = self.configuration() else {
            return false;
        };
        let mut sharded = configuration.services().filter(|s| s.sharded);
        sharded.any(|service| {
            self.held(&service.name).is_none() && !self.owners.all_granted(&service.name)
        })
    }

    /// Applies rows with assigned ranges of a service. A row is ignored if this host already knows
    /// a later version of the row.
    pub fn put_assignment_rows(
        &self,
        service: &Arc<str>,
        rows: Vec<(KeyPartition, AssignmentRow)>,
    ) {
        if self.owners.put_assignment_rows(service, rows) {
            self.changed.send_modify(|count| *count += 1);
        }
    }

    /// Records an announced grant of keys to a server. The grant is used before its stored row is
    /// read.
    pub fn note_granted(&self, service: &Arc<str>, assigned_range: AssignedRange) {
        self.owners.note_granted(service, assigned_range);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Records an announcement by the leader that keys are being moved to another server.
    pub fn announce_move(&self, service: &Arc<str>, announcement: MoveAnnouncement) {
        self.owners.announce_move(service, announcement);
    }

    /// Returns the server that a request for `key` should go to, or the reason why no server gets
    /// the request.
    pub fn owner(&self, service: &Arc<str>, key: u16) -> Owner {
        self.owners.owner(service, key)
    }

    /// Returns the server that the recorded assignment names for `key` of a service, which may not
    /// hold the key yet or any longer.
    pub fn assigned_server(&self, service: &Arc<str>, key: u16) -> Option<Arc<str>> {
        self.owners.assigned_server(service, key)
    }

    /// Records that a server does not, or not yet, hold the keys assigned to it under a fence.
    /// Requests for these keys are not sent to the server for a short time.
    pub fn note_not_held(&self, service: &Arc<str>, fence: u64) {
        self.owners.note_not_held(service, fence);
    }

    /// Requests that the change feed of a table be polled soon, because the rows that this host
    /// knows are outdated: a server did not hold the expected keys, or a host, a server or the
    /// hosts' secret is not known.
    pub fn request_read(&self, followed: FollowedTable) {
        self.read_requests[followed.index()].notify_one();
    }

    /// Waits for the next call of [`Self::request_read`] for the table. Returns at once if such a
    /// call was made before the wait.
    pub async fn wait_for_read_request(&self, followed: FollowedTable) {
        self.read_requests[followed.index()].notified().await;
    }

    /// Records that the rows of the other hosts have been read.
    pub fn set_hosts_known(&self) {
        self.hosts_known.send_replace(true);
    }

    /// Returns true if the rows of the other hosts have been read.
    pub fn are_hosts_known(&self) -> bool {
        *self.hosts_known.borrow()
    }

    /// Records that an earlier process is known to have run on this host before this one.
    pub fn note_former_process(&self) {
        self.former_process.store(true, Ordering::Relaxed);
    }

    /// Returns true if an earlier process is known to have run on this host before this one.
    pub fn had_former_process(&self) -> bool {
        self.former_process.load(Ordering::Relaxed)
    }

    /// Waits until the rows of the other hosts have been read. Returns false if the view stops
    /// sending notifications before that.
    pub async fn hosts_known(&self) -> bool {
        let mut known = self.hosts_known.subscribe();
        known.wait_for(|known| *known).await.is_ok()
    }

    /// Records whether the store has stopped answering.
    pub fn set_store_lost(&self, lost: bool) {
        self.store_lost
            .send_if_modified(|before| std::mem::replace(before, lost) != lost);
    }

    /// Returns a receiver of a flag that is true while the store does not answer.
    pub fn store_lost(&self) -> watch::Receiver<bool> {
        self.store_lost.subscribe()
    }

    /// Waits while the store is known to be unavailable.
    pub async fn wait_for_store(&self) {
        let mut lost = self.store_lost();
        if lost.wait_for(|lost| !lost).await.is_err() {
            log::debug!("the view no longer sends changes");
        }
    }

    /// Waits for the end of the current outage of the store or, if the store is available, for the
    /// end of the next outage.
    pub async fn wait_for_outage_end(&self) {
        let mut lost = self.store_lost();
        if lost.wait_for(|lost| *lost).await.is_err() {
            log::debug!("the view no longer sends changes");
        }
        self.wait_for_store().await;
    }

    /// Returns a receiver that is notified of every change of configuration, servers or assigned
    /// ranges.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Records a response from the store at `at_ms`. Returns the time since the previous response
    /// if that is at least `lapse_ms`, after which servers' entries may have lapsed.
    pub fn note_store_response(&self, at_ms: u64, lapse_ms: u64) -> Option<u64> {
        let now_ms = clock::now_ms();
        let before_ms = self.store_answered_ms.fetch_max(at_ms, Ordering::Relaxed);
        let away_ms = at_ms.saturating_sub(before_ms);
        if away_ms < lapse_ms {
            return None;
        }
        self.store_returned_ms.store(now_ms, Ordering::Relaxed);
        Some(away_ms)
    }

    /// Returns the time of the latest response from the store that is known to this host, whether
    /// the store responded to this host or to a host that reported the response.
    pub fn store_answered_ms(&self) -> u64 {
        self.store_answered_ms.load(Ordering::Relaxed)
    }

    /// Returns the time at which the store responded again after its latest outage; 0 if there was
    /// none.
    pub fn store_returned_ms(&self) -> u64 {
        self.store_returned_ms.load(Ordering::Relaxed)
    }

    fn evacuations_lock(&self) -> MutexGuard<'_, Evacuations> {
        self.evacuations
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
