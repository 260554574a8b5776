//! Who holds which keys, as a host believes: by the record of the holdings, and by what the holder of the
//! duty announces before the record is read.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{
    decide::{
        hold::{MoveRest, MoveWait},
        key_loads::KEYS,
    },
    keys::{Assignment, Holding, KeyPart, KeyRange},
    updates::{announcement::MoveAnnouncement, followed::FOLLOWER_PAUSE_MAX_MS},
};
use crate::clock;

/// Longest time for which a move whose end was not announced holds requests back: that of a wait
/// for the leases of a server and a holder that were lost together.
const MOVE_HOLD_MAX_MS: u64 = 20_000;
/// Time for which no request goes to a server that did not hold the key.
const NOT_HELD_MS: u64 = 250;
/// Time for which an announced grant counts; the record has been read by then.
const GRANTED_KEPT_MS: u64 = FOLLOWER_PAUSE_MAX_MS + 30_000;

/// Holdings of one service, as its rows had them.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// Holdings of all rows.
    pub assignment: Arc<Assignment>,
    rows: BTreeMap<KeyPart, HeldRow>,
}

/// Row with a part of a service's holdings.
#[derive(Clone, Debug)]
pub struct HeldRow {
    /// What it has.
    pub assignment: Assignment,
    /// Its version.
    pub version: u64,
}

impl Held {
    /// Rows by part.
    pub fn rows(&self) -> impl Iterator<Item = (KeyPart, &HeldRow)> {
        self.rows.iter().map(|(part, row)| (*part, row))
    }

    /// Version of the row of a part; 0 if there is none.
    pub fn version(&self, part: KeyPart) -> u64 {
        self.rows.get(&part).map_or(0, |row| row.version)
    }

    /// Parts whose rows do not have what an assignment has of them.
    pub fn changed_parts(&self, assignment: &Assignment) -> Vec<KeyPart> {
        let differs = |part: &KeyPart| {
            let of_row = self
                .rows
                .get(part)
                .map_or(&[][..], |row| &row.assignment.holdings);
            assignment.part(*part).holdings != *of_row
        };
        KeyPart::all().filter(differs).collect()
    }

    /// Takes rows in; false if newer ones are known of all parts.
    fn take(&mut self, rows: Vec<(KeyPart, HeldRow)>) -> bool {
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

/// Who holds which keys.
#[derive(Debug, Default)]
pub struct Owners {
    held: Mutex<HashMap<Arc<str>, Held>>,
    moving: Mutex<Vec<Moving>>,
    granted: Mutex<Vec<Granted>>,
    not_held: Mutex<Vec<NotHeld>>,
}

impl Owners {
    /// Holdings of a service.
    pub fn held(&self, service: &str) -> Option<Held> {
        self.held_map().get(service).cloned()
    }

    /// Holdings of all services.
    pub fn all_held(&self) -> Vec<(Arc<str>, Held)> {
        let held = self.held_map();
        let all = held.iter();
        all.map(|(service, held)| (service.clone(), held.clone()))
            .collect()
    }

    /// True if grants of all keys of a service were announced.
    pub fn all_granted(&self, service: &str) -> bool {
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

    /// Notes rows with holdings of a service; false if newer ones are known.
    pub fn hold(&self, service: &Arc<str>, rows: Vec<(KeyPart, HeldRow)>) -> bool {
        let mut held_map = self.held_map();
        let held = held_map.entry(service.clone()).or_default();
        if !held.take(rows) {
            return false;
        }
        let highest_fence = held.assignment.fence;
        drop(held_map);
        self.granted()
            .retain(|g| g.service != *service || g.holding.fence > highest_fence);
        true
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
    }

    /// Notes that keys are on their way to another server.
    pub fn announce_move(&self, service: &Arc<str>, announcement: MoveAnnouncement) {
        let MoveAnnouncement {
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
