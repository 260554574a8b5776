//! Owners of keys as this host knows them. The owner of a key is the server that holds the key. A
//! host reads the recorded assigned ranges from the store, and applies the grants and moves that
//! the leader announces before the host has read them there.

use std::{
    collections::{HashMap, HashSet},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{
    decide::{
        hold::{ANNOUNCEMENT_DUE_MS, MoveTimeLeft, MoveWait},
        key_loads::KEYS,
    },
    keys::{AssignedRange, Assignment, KeyPartition, KeyRange},
    pauses::FOLLOWER_PAUSE_MAX_MS,
    recorded_assignment::{AssignmentRow, RecordedAssignment},
    updates::announcement::MoveAnnouncement,
};
use crate::clock;

/// Maximum time for which an announced move of keys counts as in progress if no grant is announced.
/// This is the longest time until all leases have expired after a server and the leader have failed
/// together.
const MOVE_HOLD_MAX_MS: u64 = 20_000;
/// Time for which this host sends a server no requests for the keys of an assigned range, after the
/// server has refused a request because the server does not hold the key.
const NOT_HELD_MS: u64 = 250;
/// Time after which this host forgets an announced grant. By then this host has read the recorded
/// assigned ranges.
const GRANTED_KEPT_MS: u64 = FOLLOWER_PAUSE_MAX_MS + 30_000;

/// Move of keys to another server that the leader has announced or recorded and that is not known to
/// be completed.
#[derive(Clone, Debug)]
struct Moving {
    service: Arc<str>,
    range: KeyRange,
    /// Fence of the assigned range before the move. A grant of the keys with a higher fence
    /// completes the move.
    above_fence: u64,
    /// False if this host has read the recorded move and the leader has not announced it yet.
    is_announced: bool,
    wait: MoveWait,
    /// Time from which requests no longer wait for the move, even if no grant was announced.
    until_ms: u64,
}

/// Assigned range, identified by its fence, whose server has refused a request because the server
/// does not hold the key.
#[derive(Clone, Debug)]
struct NotHeld {
    service: Arc<str>,
    fence: u64,
    until_ms: u64,
}

/// Grant of keys to a server that the leader has announced. The recorded assigned ranges that this
/// host knows may not include the grant yet.
#[derive(Clone, Debug)]
struct AnnouncedGrant {
    service: Arc<str>,
    assigned_range: AssignedRange,
    until_ms: u64,
}

/// Result of looking up which server gets the requests for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// Incarnation id of the server that holds the key, and the fence of the assigned range that
    /// contains the key.
    Server(Arc<str>, u64),
    /// The key is being moved between servers; contains the expected time until the move completes.
    /// The caller looks the owner up again when this host's view changes, or after a timeout.
    Moving(MoveTimeLeft),
    /// No server holds the key, as far as this host knows.
    Unowned,
}

type Fenced = Option<(Arc<str>, u64)>;

/// Returns the server whose assigned range has the higher fence; `one` if the fences are equal.
fn higher_fence(one: Fenced, other: Fenced) -> Fenced {
    let fence = |fenced: &Fenced| fenced.as_ref().map_or(0, |(_, fence)| *fence);
    if fence(&one) >= fence(&other) {
        one
    } else {
        other
    }
}

/// Owners of the keys of all services, as this host knows them from the store and from
/// announcements by the leader.
#[derive(Debug, Default)]
pub struct Owners {
    held: Mutex<HashMap<Arc<str>, RecordedAssignment>>,
    moving: Mutex<Vec<Moving>>,
    granted: Mutex<Vec<AnnouncedGrant>>,
    not_held: Mutex<Vec<NotHeld>>,
}

impl Owners {
    /// Returns the recorded assigned ranges of a service; `None` if this host knows no row with
    /// assigned ranges of the service.
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

    /// Returns true if announced grants together cover all keys of a service, so that the owners
    /// are known without the recorded assigned ranges.
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

    /// Adds rows with assigned ranges of a service, and drops the announced grants that the rows
    /// include. Returns false if none of the rows is newer than the known row of its key partition.
    pub fn put_assignment_rows(
        &self,
        service: &Arc<str>,
        rows: Vec<(KeyPartition, AssignmentRow)>,
    ) -> bool {
        let mut held_map = self.held_map();
        let held = held_map.entry(service.clone()).or_default();
        let known = held.assignment.clone();
        if !held.merge(rows) {
            return false;
        }
        let recorded = held.assignment.clone();
        let highest_fence = recorded.fence;
        drop(held_map);
        self.note_recorded_moves(service, &known, &recorded);
        self.granted()
            .retain(|g| g.service != *service || g.assigned_range.fence > highest_fence);
        true
    }

    /// Adds the moves among the `recorded` assigned ranges that are not among those that were `known`.
    /// The leader records a move before the former server releases the keys, so the new server does
    /// not hold them yet. A host that knew no assigned ranges cannot tell which moves are completed.
    fn note_recorded_moves(&self, service: &Arc<str>, known: &Assignment, recorded: &Assignment) {
        if known.assigned_ranges.is_empty() {
            return;
        }
        let known_fences: HashSet<u64> = known.assigned_ranges.iter().map(|r| r.fence).collect();
        let is_new_move = |assigned_range: &&AssignedRange| {
            assigned_range.from.is_some() && !known_fences.contains(&assigned_range.fence)
        };
        for assigned_range in recorded.assigned_ranges.iter().filter(is_new_move) {
            let announcement = MoveAnnouncement {
                range: assigned_range.range,
                above_fence: assigned_range.fence - 1,
                time_left: MoveTimeLeft {
                    wait: MoveWait::Work,
                    remaining_ms: ANNOUNCEMENT_DUE_MS,
                },
            };
            if !self.is_announced(service, &announcement) {
                self.add_move(service, announcement, false);
            }
        }
    }

    /// Returns true if the leader has announced the move of a range already.
    fn is_announced(&self, service: &Arc<str>, announcement: &MoveAnnouncement) -> bool {
        let now_ms = clock::now_ms();
        self.moving().iter().any(|m| {
            let same = m.service == *service && m.range.covers(&announcement.range);
            same && m.above_fence <= announcement.above_fence && now_ms < m.until_ms
        })
    }

    /// Adds an announced grant. [`Owners::owner`] uses the grant until this host has read it in the
    /// recorded assigned ranges.
    pub fn note_granted(&self, service: &Arc<str>, assigned_range: AssignedRange) {
        let now_ms = clock::now_ms();
        // A grant with a fence above `above_fence` ends the announced moves of its keys.
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

    /// Adds an announced move of keys to another server, unless this host already knows the grant
    /// that ends the move.
    pub fn announce_move(&self, service: &Arc<str>, announcement: MoveAnnouncement) {
        self.add_move(service, announcement, true);
    }

    fn add_move(&self, service: &Arc<str>, announcement: MoveAnnouncement, is_announced: bool) {
        let MoveAnnouncement {
            range,
            above_fence,
            time_left,
        } = announcement;
        let now_ms = clock::now_ms();
        // Datagrams may arrive out of order, so the grant that ends the move may have arrived
        // before the announcement of the move.
        let has_ended = self.granted().iter().any(|g| {
            let same = g.service == *service && g.assigned_range.range.covers(&range);
            same && g.assigned_range.fence > above_fence
        });
        if has_ended {
            return;
        }
        let mut moving = self.moving();
        moving.retain(|m| {
            // The announcement tells more than the recorded move.
            let is_replaced = !m.is_announced && m.service == *service && range.covers(&m.range);
            m.until_ms > now_ms && !is_replaced
        });
        moving.push(Moving {
            service: service.clone(),
            range,
            above_fence,
            is_announced,
            wait: time_left.wait,
            until_ms: now_ms + time_left.remaining_ms.min(MOVE_HOLD_MAX_MS),
        });
    }

    /// Returns the server that the recorded assignment names for `key` of a service, which may not
    /// hold the key yet or any longer.
    pub fn assigned_server(&self, service: &Arc<str>, key: u16) -> Option<Arc<str>> {
        let held = self.held_map();
        let assignment = &held.get(service)?.assignment;
        Some(assignment.assigned_range(key)?.server.clone())
    }

    /// Returns the server that gets the requests for `key` of a service, or the reason why no
    /// server gets them.
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
        // The leader records a move before it grants the keys to the new server. Requests therefore
        // wait until a grant is announced, even if the recorded assigned range already names the
        // new server.
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

    /// Records that the server of the assigned range with this fence does not hold the keys, or
    /// does not hold them yet. For the next `NOT_HELD_MS`, [`Owners::owner`] returns no server for
    /// these keys.
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
