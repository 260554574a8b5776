//! Owners of keys as this host knows them: the servers in the recorded assigned ranges, updated by
//! the grants and moves that the leader announces before this host has read them from the store.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{
    decide::{
        hold::{MoveTimeLeft, MoveWait},
        key_loads::KEYS,
    },
    keys::{AssignedRange, Assignment, KeyPartition, KeyRange},
    updates::{announcement::MoveAnnouncement, followed::FOLLOWER_PAUSE_MAX_MS},
};
use crate::clock;

/// Maximum time for which requests wait for a move whose end was not announced. It is the longest
/// wait for leases to expire after a server and the leader have failed together.
const MOVE_HOLD_MAX_MS: u64 = 20_000;
/// Time in which no request goes to a server after it was found not to hold the key.
const NOT_HELD_MS: u64 = 250;
/// Time after which an announced grant is forgotten; the recorded assigned ranges have been read by
/// then.
const GRANTED_KEPT_MS: u64 = FOLLOWER_PAUSE_MAX_MS + 30_000;

/// Recorded assigned ranges of one service, as read from the store's rows.
#[derive(Clone, Debug, Default)]
pub struct RecordedAssignment {
    /// Assigned ranges of all rows, merged. Where rows overlap, the higher fence wins.
    pub assignment: Arc<Assignment>,
    rows: BTreeMap<KeyPartition, AssignmentRow>,
}

/// Row of the store with the assigned ranges of one key partition.
#[derive(Clone, Debug)]
pub struct AssignmentRow {
    /// Assigned ranges whose first key lies in the partition.
    pub assignment: Assignment,
    /// Version of the row in the store.
    pub version: u64,
}

impl RecordedAssignment {
    /// Returns all known rows with their key partitions.
    pub fn rows(&self) -> impl Iterator<Item = (KeyPartition, &AssignmentRow)> {
        self.rows.iter().map(|(part, row)| (*part, row))
    }

    /// Returns the version of the row of a key partition; 0 if there is none.
    pub fn version(&self, part: KeyPartition) -> u64 {
        self.rows.get(&part).map_or(0, |row| row.version)
    }

    /// Returns the key partitions whose rows differ from the assigned ranges of `assignment`.
    pub fn changed_partitions(&self, assignment: &Assignment) -> Vec<KeyPartition> {
        let differs = |part: &KeyPartition| {
            let of_row = self
                .rows
                .get(part)
                .map_or(&[][..], |row| &row.assignment.assigned_ranges);
            assignment.part(*part).assigned_ranges != *of_row
        };
        KeyPartition::all().filter(differs).collect()
    }

    /// Adds rows and replaces older versions. Returns false if none of the rows is newer than the
    /// known one.
    fn merge(&mut self, rows: Vec<(KeyPartition, AssignmentRow)>) -> bool {
        let mut is_new = false;
        for (part, row) in rows {
            let known = self.rows.get(&part);
            if known.is_none_or(|known| known.version < row.version) {
                self.rows.insert(part, row);
                is_new = true;
            }
        }
        if is_new {
            let rows = self.rows.values().map(|row| &row.assignment);
            self.assignment = Arc::new(Assignment::join(rows));
        }
        is_new
    }
}

/// Announced move of keys to another server.
#[derive(Clone, Debug)]
struct Moving {
    service: Arc<str>,
    range: KeyRange,
    /// Fence of the owner before the move. Requests wait for the grant of an assigned range with a
    /// higher fence.
    above_fence: u64,
    wait: MoveWait,
    until_ms: u64,
}

/// Assigned range whose server refused a request because it does not hold the key.
#[derive(Clone, Debug)]
struct NotHeld {
    service: Arc<str>,
    fence: u64,
    until_ms: u64,
}

/// Announced grant of keys to a server.
#[derive(Clone, Debug)]
struct AnnouncedGrant {
    service: Arc<str>,
    assigned_range: AssignedRange,
    until_ms: u64,
}

/// Destination of a request that has a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// Server that holds the key, and the fence of its assigned range.
    Server(Arc<str>, u64),
    /// The key is being moved. The caller looks the owner up again when the view changes, or after
    /// a timeout.
    Moving(MoveTimeLeft),
    /// No server holds the key, as far as this host knows.
    Unowned,
}

type Fenced = Option<(Arc<str>, u64)>;

/// Returns the server with the higher fence.
fn higher_fence(one: Fenced, other: Fenced) -> Fenced {
    let fence = |fenced: &Fenced| fenced.as_ref().map_or(0, |(_, fence)| *fence);
    if fence(&one) >= fence(&other) {
        one
    } else {
        other
    }
}

/// Owners of the keys of all services, as this host knows them.
#[derive(Debug, Default)]
pub struct Owners {
    held: Mutex<HashMap<Arc<str>, RecordedAssignment>>,
    moving: Mutex<Vec<Moving>>,
    granted: Mutex<Vec<AnnouncedGrant>>,
    not_held: Mutex<Vec<NotHeld>>,
}

impl Owners {
    /// Returns the recorded assigned ranges of a service; `None` if no row of them is known.
    pub fn held(&self, service: &str) -> Option<RecordedAssignment> {
        self.held_map().get(service).cloned()
    }

    /// Returns the recorded assigned ranges of all services, with the names of the services.
    pub fn all_held(&self) -> Vec<(Arc<str>, RecordedAssignment)> {
        let held = self.held_map();
        let all = held.iter();
        all.map(|(service, held)| (service.clone(), held.clone()))
            .collect()
    }

    /// Returns true if the announced grants cover all keys of a service.
    pub fn all_granted(&self, service: &str) -> bool {
        let granted = self.granted();
        let of_service = granted.iter().filter(|g| *g.service == *service);
        let mut ranges: Vec<KeyRange> = of_service.map(|g| g.assigned_range.range).collect();
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

    /// Adds rows with assigned ranges of a service and drops the announced grants that they
    /// include. Returns false if none of the rows is new.
    pub fn put_assignment_rows(
        &self,
        service: &Arc<str>,
        rows: Vec<(KeyPartition, AssignmentRow)>,
    ) -> bool {
        let mut held_map = self.held_map();
        let held = held_map.entry(service.clone()).or_default();
        if !held.merge(rows) {
            return false;
        }
        let highest_fence = held.assignment.fence;
        drop(held_map);
        self.granted()
            .retain(|g| g.service != *service || g.assigned_range.fence > highest_fence);
        true
    }

    /// Adds an announced grant, which counts before the recorded assigned ranges are read.
    pub fn note_granted(&self, service: &Arc<str>, assigned_range: AssignedRange) {
        let now_ms = clock::now_ms();
        // A grant with a higher fence ends the move of its keys.
        self.moving().retain(|m| {
            let same = m.service == *service && assigned_range.range.covers(&m.range);
            !same || assigned_range.fence <= m.above_fence
        });
        let mut granted = self.granted();
        granted.retain(|g| {
            let same =
                g.service == *service && assigned_range.range.covers(&g.assigned_range.range);
            now_ms < g.until_ms && !(same && g.assigned_range.fence <= assigned_range.fence)
        });
        granted.push(AnnouncedGrant {
            service: service.clone(),
            assigned_range,
            until_ms: now_ms + GRANTED_KEPT_MS,
        });
    }

    /// Adds an announced move of keys to another server, unless the grant that ends it is already
    /// known.
    pub fn announce_move(&self, service: &Arc<str>, announcement: MoveAnnouncement) {
        let MoveAnnouncement {
            range,
            above_fence,
            time_left,
        } = announcement;
        let now_ms = clock::now_ms();
        // Datagrams may arrive out of order: the grant that ends the move may be known already.
        let has_ended = self.granted().iter().any(|g| {
            let same = g.service == *service && g.assigned_range.range.covers(&range);
            same && g.assigned_range.fence > above_fence
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
            wait: time_left.wait,
            until_ms: now_ms + time_left.remaining_ms.min(MOVE_HOLD_MAX_MS),
        });
    }

    /// Returns the destination of a request for `key`.
    pub fn owner(&self, service: &Arc<str>, key: u16) -> Owner {
        let held = self.held_map();
        let recorded = held
            .get(service)
            .and_then(|held| held.assignment.assigned_range(key))
            .map(|assigned_range| (assigned_range.server.clone(), assigned_range.fence));
        drop(held);
        let now_ms = clock::now_ms();
        let granted = self.granted();
        let concerns = |g: &&AnnouncedGrant| {
            now_ms < g.until_ms && g.service == *service && g.assigned_range.range.contains(key)
        };
        let granted = granted
            .iter()
            .filter(concerns)
            .max_by_key(|g| g.assigned_range.fence)
            .map(|g| (g.assigned_range.server.clone(), g.assigned_range.fence));
        let latest = higher_fence(granted.clone(), recorded);
        let Some((server, fence)) = latest else {
            return Owner::Unowned;
        };
        // A move is recorded before the keys are granted, so only an announced grant ends the wait,
        // not the recorded assigned range.
        let granted_fence = granted.map_or(0, |(_, fence)| fence);
        let moving = self.moving();
        let waits = moving.iter().filter(|m| {
            let concerns = m.service == *service && m.range.contains(key);
            concerns && now_ms < m.until_ms && granted_fence <= m.above_fence
        });
        if let Some(longest) = waits.max_by_key(|m| m.until_ms) {
            return Owner::Moving(MoveTimeLeft {
                wait: longest.wait,
                remaining_ms: longest.until_ms - now_ms,
            });
        }
        drop(moving);
        let refused = self.not_held().iter().any(|n| {
            let concerns = n.service == *service && n.fence == fence;
            concerns && now_ms < n.until_ms
        });
        if refused {
            return Owner::Unowned;
        }
        Owner::Server(server, fence)
    }

    /// Records that a server does not hold, or does not hold yet, the keys of the assigned range
    /// with this fence.
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

    fn held_map(&self) -> MutexGuard<'_, HashMap<Arc<str>, RecordedAssignment>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn granted(&self) -> MutexGuard<'_, Vec<AnnouncedGrant>> {
        self.granted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn not_held(&self) -> MutexGuard<'_, Vec<NotHeld>> {
        self.not_held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn moving(&self) -> MutexGuard<'_, Vec<Moving>> {
        self.moving.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
