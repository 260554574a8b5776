//! How fresh a host's view of the store is. The holder of the duty, which writes to the store all
//! the time, tells the other hosts how long ago the store answered it and up to which version it
//! has seen each table change. Their own feeds can then wait for long: one that is behind what the
//! holder has seen is deaf, and is called anew.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time;

use super::followed::Followed;
use crate::clock;

/// Number of followed tables.
const TABLES: usize = Followed::ALL.len();
/// Age up to which the store's last answer to the holder shows that the store is there. The holder
/// confirms its duty every 0.7 s, and an answer takes up to half a second on slow days.
const VOUCHED_MS: u64 = 2_000;
/// Time for which a feed may be behind the holder's: an answer may be on its way.
pub const LAG_GRACE_MS: u64 = 400;
/// Interval at which a waiting feed is compared with what the holder has seen.
const LOOK_EVERY_MS: u64 = 100;

/// What the holder of the duty tells of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreNews {
    /// Time since the store's last answer.
    pub age_ms: u32,
    /// Version of the latest change that was seen, by table.
    pub changed: [u64; TABLES],
    /// Version of the latest change by which a server was to get no new work.
    pub left: u64,
    /// Version up to which the holder has the servers' entries, changed or not.
    pub servers_up_to: u64,
}

/// What this host has heard of the store, and what the holder told.
#[derive(Debug, Default)]
pub struct Freshness {
    /// Version up to which this host has each table.
    applied: [AtomicU64; TABLES],
    changed: [AtomicU64; TABLES],
    left: AtomicU64,
    told: Mutex<Option<Told>>,
}

/// News of the holder, with the time of the store's answer by this host's clock.
#[derive(Clone, Copy, Debug)]
struct Told {
    answered_ms: u64,
    news: StoreNews,
}

/// Why a feed should be called anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Doubt {
    /// The holder has seen a change that the feed has not brought.
    Behind,
    /// Nobody vouches for the store any more.
    Unvouched,
}

impl Freshness {
    /// Notes that this host has all changes of a table up to a version.
    pub fn note_applied(&self, followed: Followed, version: u64) {
        self.applied[followed.index()].fetch_max(version, Ordering::Relaxed);
    }

    /// Version up to which this host has a table; 0 if it was never read.
    pub fn applied(&self, followed: Followed) -> u64 {
        self.applied[followed.index()].load(Ordering::Relaxed)
    }

    /// Notes the version of a change that was seen.
    pub fn note_change(&self, followed: Followed, version: u64) {
        self.changed[followed.index()].fetch_max(version, Ordering::Relaxed);
    }

    /// Notes the version of a change by which a server gets no new work.
    pub fn note_left(&self, version: u64) {
        self.left.fetch_max(version, Ordering::Relaxed);
    }

    /// What this host tells the others while it has the duty; `heard_ms` is when the store answered
    /// last.
    pub fn news(&self, heard_ms: u64) -> StoreNews {
        let age_ms = clock::now_ms().saturating_sub(heard_ms);
        StoreNews {
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            changed: std::array::from_fn(|table| self.changed[table].load(Ordering::Relaxed)),
            left: self.left.load(Ordering::Relaxed),
            servers_up_to: self.applied(Followed::Servers),
        }
    }

    /// Notes what the holder told. The result is when the store answered it.
    pub fn note_told(&self, news: StoreNews) -> u64 {
        let answered_ms = clock::now_ms().saturating_sub(u64::from(news.age_ms));
        *self.told() = Some(Told { answered_ms, news });
        let servers = Followed::Servers;
        if self.applied(servers) > 0 && self.applied(servers) >= news.changed[servers.index()] {
            // Nothing has changed since, so that the store's history is not needed that far back.
            self.note_applied(servers, news.servers_up_to);
        }
        answered_ms
    }

    /// True if the holder says that the store has answered it lately.
    pub fn is_vouched(&self) -> bool {
        let told = *self.told();
        told.is_some_and(|told| clock::now_ms() < told.answered_ms + VOUCHED_MS)
    }

    /// True if the holder has seen a later change of a table than a feed has asked for.
    pub fn is_behind(&self, followed: Followed, asked_after: u64) -> bool {
        let told = *self.told();
        told.is_some_and(|told| told.news.changed[followed.index()] > asked_after)
    }

    /// True if the holder has seen a server leave since a version.
    pub fn has_left_since(&self, version: u64) -> bool {
        let told = *self.told();
        told.is_some_and(|told| told.news.left > version)
    }

    /// Returns when a feed that waits for changes after a version should be called anew. `vouched`
    /// if its wait relies on the holder; `is_silent` while no answer has begun.
    pub async fn doubt(
        &self,
        followed: Followed,
        asked_after: u64,
        vouched: bool,
        is_silent: impl Fn() -> bool,
    ) -> Doubt {
        let mut behind_ms = 0;
        loop {
            time::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
            if !is_silent() {
                continue;
            }
            if vouched && !self.is_vouched() {
                return Doubt::Unvouched;
            }
            if self.is_behind(followed, asked_after) {
                behind_ms += LOOK_EVERY_MS;
            } else {
                behind_ms = 0;
            }
            if behind_ms > LAG_GRACE_MS {
                return Doubt::Behind;
            }
        }
    }

    fn told(&self) -> MutexGuard<'_, Option<Told>> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
