//! How fresh a host's view of the store is. The holder of the duty, which writes to the store all
//! the time, tells the other hosts how long ago the store answered it and up to which version it
//! has seen each table change. Their own feeds can then wait for long: one that is behind what the
//! holder has seen is deaf, and is called anew.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::time;

use super::{followed::FollowedTable, question::PendingQuery, snapshot::TableVersions};
use crate::{
    clock,
    entry::limits::{POLL_EVERY_MS, TimeLimits},
};

/// Number of followed tables.
const TABLES: usize = FollowedTable::ALL.len();
/// Word of what the store said that is not to be relied on.
const TOO_OLD_MS: u32 = u32::MAX;

/// What the holder of the duty tells of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStateReport {
    /// Time since the store's last answer, or since the servers' entries or the configuration were
    /// last followed if that is longer ago: all changes up to then are known.
    pub age_ms: u32,
    /// Version of the latest change that was seen, by table.
    pub changed: [u64; TABLES],
    /// Version of the latest change by which a server was to get no new work.
    pub left: u64,
    /// Version up to which the holder has each table, changed or not.
    pub up_to: [u64; TABLES],
}

impl StoreStateReport {
    /// The same after some time on its way.
    pub fn aged_by(self, excess_delay_ms: u64) -> Self {
        let excess_delay_ms = u32::try_from(excess_delay_ms).unwrap_or(TOO_OLD_MS);
        Self {
            age_ms: self.age_ms.saturating_add(excess_delay_ms),
            ..self
        }
    }

    /// The same with what earlier word knew of changes: later word of another host may not have them all.
    fn with_changes_of(self, earlier: Self) -> Self {
        Self {
            changed: std::array::from_fn(|table| self.changed[table].max(earlier.changed[table])),
            left: self.left.max(earlier.left),
            ..self
        }
    }
}

/// What this host has heard of the store, and what the holder told.
#[derive(Debug)]
pub struct Freshness {
    /// Age up to which what the holder tells is relied on.
    trust_ms: u64,
    /// Time for which a feed may be behind the holder's.
    lag_grace_ms: u64,
    /// Until when this host has followed each table; `u64::MAX` while a call waits at the store, 0
    /// before the first.
    followed_ms: [AtomicU64; TABLES],
    /// Version up to which this host has each table.
    applied: [AtomicU64; TABLES],
    changed: [AtomicU64; TABLES],
    left: AtomicU64,
    received: Mutex<Option<ReceivedReport>>,
    /// To a relay.
    question: PendingQuery,
    /// True while this host answers the hosts of its zone in the holder's stead.
    is_relay: AtomicBool,
}

/// News of the holder, with the time of the store's answer by this host's clock.
#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    answered_ms: u64,
    updates: StoreStateReport,
}

impl ReceivedReport {
    /// The later one of two, with all changes that either knows.
    fn or_later(self, other: Self) -> Self {
        let (later, earlier) = if self.answered_ms >= other.answered_ms {
            (self, other)
        } else {
            (other, self)
        };
        Self {
            updates: later.updates.with_changes_of(earlier.updates),
            ..later
        }
    }
}

/// Why a feed should be called anew.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecallReason {
    /// The holder has seen a change that the feed has not brought.
    Behind,
    /// Nobody vouches for the store any more.
    Unconfirmed,
    /// Another feed has found the store silent and has not been answered since.
    StoreLost,
}

impl Freshness {
    /// Nothing is heard yet.
    pub fn new(limits: &TimeLimits) -> Self {
        Self {
            trust_ms: limits.trust_ms,
            lag_grace_ms: limits.lag_grace_ms,
            followed_ms: Default::default(),
            applied: Default::default(),
            changed: Default::default(),
            left: AtomicU64::new(0),
            received: Mutex::default(),
            question: PendingQuery::default(),
            is_relay: AtomicBool::new(false),
        }
    }

    /// Notes whether this host answers the others of its zone in the holder's stead.
    pub fn set_relay(&self, is_relay: bool) {
        self.is_relay.store(is_relay, Ordering::Relaxed);
    }

    /// True if this host answers the others of its zone in the holder's stead.
    pub fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Notes a question to a relay.
    pub fn ask(&self, nonce: u64, at_ms: u64) {
        self.question.ask(nonce, at_ms);
    }

    /// Notes that a call waits at the store for changes of a table; until the result is dropped.
    pub fn follow(&self, followed: FollowedTable) -> FollowGuard<'_> {
        let followed_ms = &self.followed_ms[followed.index()];
        followed_ms.store(u64::MAX, Ordering::Relaxed);
        FollowGuard(followed_ms)
    }

    /// Notes that this host has all changes of a table up to a version.
    pub fn note_applied(&self, followed: FollowedTable, version: u64) {
        self.applied[followed.index()].fetch_max(version, Ordering::Relaxed);
    }

    /// Version up to which this host has a table; 0 if it was never read.
    pub fn applied(&self, followed: FollowedTable) -> u64 {
        self.applied[followed.index()].load(Ordering::Relaxed)
    }

    /// Notes the version of a change that was seen.
    pub fn note_change(&self, followed: FollowedTable, version: u64) {
        self.changed[followed.index()].fetch_max(version, Ordering::Relaxed);
    }

    /// Version of the latest change that was seen; 0 before the first.
    pub fn changed(&self, followed: FollowedTable) -> u64 {
        self.changed[followed.index()].load(Ordering::Relaxed)
    }

    /// How far this host knows a table.
    pub fn known(&self, followed: FollowedTable) -> TableVersions {
        TableVersions {
            up_to: self.applied(followed),
            changed: self.changed(followed),
        }
    }

    /// Version of the latest change by which a server was to get no new work.
    pub fn left(&self) -> u64 {
        self.left.load(Ordering::Relaxed)
    }

    /// Notes the version of a change by which a server gets no new work.
    pub fn note_left(&self, version: u64) {
        self.left.fetch_max(version, Ordering::Relaxed);
    }

    /// What this host tells the others while it has the duty; `heard_ms` is when the store answered
    /// last.
    pub fn updates(&self, heard_ms: u64) -> StoreStateReport {
        let followed_ms = |followed: FollowedTable| {
            let followed_ms = &self.followed_ms[followed.index()];
            followed_ms.load(Ordering::Relaxed)
        };
        let known_ms = heard_ms
            .min(followed_ms(FollowedTable::Servers))
            .min(followed_ms(FollowedTable::Configuration));
        let age_ms = clock::now_ms().saturating_sub(known_ms);
        StoreStateReport {
            age_ms: u32::try_from(age_ms).unwrap_or(TOO_OLD_MS),
            changed: std::array::from_fn(|table| self.changed[table].load(Ordering::Relaxed)),
            left: self.left.load(Ordering::Relaxed),
            up_to: std::array::from_fn(|table| self.applied[table].load(Ordering::Relaxed)),
        }
    }

    /// What this host can tell others in the holder's stead, by its own calls or by what it was told; `None` if that is
    /// too old to be relied on.
    pub fn store_state(&self, heard_ms: u64) -> Option<StoreStateReport> {
        let received = *self.received();
        let own = self.updates(heard_ms);
        let store_state = match received {
            Some(received) => {
                let age_ms = clock::now_ms().saturating_sub(received.answered_ms);
                let age_ms = u32::try_from(age_ms).unwrap_or(TOO_OLD_MS);
                let received = StoreStateReport {
                    age_ms,
                    ..received.updates
                };
                if own.age_ms < age_ms {
                    own.with_changes_of(received)
                } else {
                    received
                }
            }
            None => own,
        };
        (u64::from(store_state.age_ms) < self.trust_ms).then_some(store_state)
    }

    /// Notes a relay's answer. The result is when the store answered; `None` if that is nothing new.
    pub fn note_relay_report(&self, nonce: u64, updates: StoreStateReport) -> Option<u64> {
        let asked_ms = self.question.answered(nonce)?;
        let answered_ms = asked_ms.saturating_sub(u64::from(updates.age_ms));
        let store_state = ReceivedReport {
            answered_ms,
            updates,
        };
        let earlier = *self.received();
        let is_new = earlier.is_none_or(|received| received.answered_ms < answered_ms);
        self.apply_received(earlier.map_or(store_state, |earlier| store_state.or_later(earlier)));
        is_new.then_some(answered_ms)
    }

    /// Notes what the holder told. The result is when the store answered it.
    pub fn note_announced(&self, updates: StoreStateReport) -> u64 {
        let answered_ms = clock::now_ms().saturating_sub(u64::from(updates.age_ms));
        let received = ReceivedReport {
            answered_ms,
            updates,
        };
        let earlier = *self.received();
        let latest = earlier.map_or(received, |earlier| received.or_later(earlier));
        self.apply_received(latest);
        latest.answered_ms
    }

    fn apply_received(&self, received: ReceivedReport) {
        *self.received() = Some(received);
        let updates = received.updates;
        for followed in [FollowedTable::Servers, FollowedTable::Configuration] {
            let applied = self.applied(followed);
            if applied > 0 && applied >= updates.changed[followed.index()] {
                // Nothing has changed since, so that the store's history is not needed that far back.
                self.note_applied(followed, updates.up_to[followed.index()]);
            }
        }
    }

    /// True if the holder, or a relay in its stead, says that the store has answered it lately. A relay doubts the holder
    /// earlier than the others, so that it can answer them before they doubt it too.
    pub fn is_store_confirmed(&self) -> bool {
        let trust_ms = if self.is_relay() {
            self.doubt_ms()
        } else {
            self.trust_ms
        };
        self.received_age_ms() < trust_ms
    }

    /// True if a relay should be asked, before what was told is too old to be relied on.
    pub fn needs_relay(&self) -> bool {
        self.received_age_ms() >= self.doubt_ms()
    }

    fn received_age_ms(&self) -> u64 {
        let received = *self.received();
        received.map_or(u64::MAX, |received| {
            clock::now_ms().saturating_sub(received.answered_ms)
        })
    }

    /// Age of the last word from which relays are needed: above that of the holder's usual word, which is half of the
    /// trusted time and a heartbeat's quarter at most.
    fn doubt_ms(&self) -> u64 {
        self.trust_ms * 3 / 4
    }

    /// True if the holder says that the store has answered it lately, and after a time.
    pub fn is_store_confirmed_since(&self, at_ms: u64) -> bool {
        let received = *self.received();
        self.is_store_confirmed() && received.is_some_and(|received| received.answered_ms >= at_ms)
    }

    /// Version of the latest change of a table that the holder or a relay has told of; 0 before any.
    pub fn reported_change(&self, followed: FollowedTable) -> u64 {
        let received = *self.received();
        received.map_or(0, |received| received.updates.changed[followed.index()])
    }

    /// True if the holder has seen a later change of a table than a feed has asked for.
    pub fn is_behind(&self, followed: FollowedTable, asked_after: u64) -> bool {
        self.reported_change(followed) > asked_after
    }

    /// True if the holder has seen a server leave since a version.
    pub fn has_left_since(&self, version: u64) -> bool {
        let received = *self.received();
        received.is_some_and(|received| received.updates.left > version)
    }

    /// Returns when a feed that waits for changes after a version should be called anew. `relies_on_holder`
    /// if its wait relies on the holder; `is_silent` while no answer has begun.
    pub async fn recall_reason(
        &self,
        followed: FollowedTable,
        asked_after: u64,
        relies_on_holder: bool,
        is_silent: impl Fn() -> bool,
    ) -> RecallReason {
        let mut behind_ms = 0;
        loop {
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
            if !is_silent() {
                continue;
            }
            if relies_on_holder && !self.is_store_confirmed() {
                return RecallReason::Unconfirmed;
            }
            if self.is_behind(followed, asked_after) {
                behind_ms += POLL_EVERY_MS;
            } else {
                behind_ms = 0;
            }
            if behind_ms > self.lag_grace_ms {
                return RecallReason::Behind;
            }
        }
    }

    fn received(&self) -> MutexGuard<'_, Option<ReceivedReport>> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A call that waits at the store for changes of a table.
#[derive(Debug)]
pub struct FollowGuard<'a>(&'a AtomicU64);

impl Drop for FollowGuard<'_> {
    fn drop(&mut self) {
        let now_ms = clock::now_ms();
        self.0.store(now_ms, Ordering::Relaxed);
    }
}
