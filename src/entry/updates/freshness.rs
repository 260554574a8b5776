//! Tracks how recent a host's view of the store is. The leader writes to the store continuously.
//! The leader reports to the other hosts the time since the store last responded to the leader, and
//! the version up to which the leader has read each table. The feed calls of the other hosts can
//! therefore wait at the store for long: a feed that lags behind a reported version has failed
//! silently and is called again.

use std::{
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time;

use super::{
    followed::FollowedTable,
    lag::Lag,
    query::PendingQuery,
    report::{LatestReport, ReceivedReport, Reporter, StoreStateReport, TABLES, TOO_OLD_MS},
    versions::FollowedVersions,
};
use crate::{
    clock,
    entry::limits::{POLL_EVERY_MS, Timings},
};

/// Versions and times of a host's own change feeds of the store, and the latest report from another
/// host on the store's state.
#[derive(Debug)]
pub struct Freshness {
    /// Trust period: age up to which a report from another host is trusted.
    trust_ms: u64,
    /// Time for which a feed may lag behind a reported version before the feed call is abandoned
    /// and repeated.
    lag_grace_ms: u64,
    /// Time at which this host's last feed call for each table ended; `u64::MAX` while a feed call
    /// waits at the store, 0 before the first feed call.
    followed_ms: [AtomicU64; TABLES],
    /// Versions of the tables up to which this host has followed the store.
    pub versions: FollowedVersions,
    /// Latest report from the leader or a relay; `None` before the first.
    received: Mutex<Option<ReceivedReport>>,
    /// Time for which this host has lacked reported changes.
    lag: Lag,
    /// Latest query to the relays of the zone, until the first response to the query arrives.
    query: PendingQuery,
    /// True while this host reports the store's state to its zone in place of the leader.
    is_relay: AtomicBool,
}

/// Reason to abandon a waiting feed call and to repeat it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AbandonReason {
    /// Another host has reported a change that the feed did not deliver.
    Behind,
    /// No other host has reported a recent response from the store.
    Unconfirmed,
    /// Another feed has found the store unavailable, and the store has not responded since.
    StoreLost,
}

impl Freshness {
    /// Returns the state of a host that has neither read a table nor received a report.
    pub fn new(limits: &Timings) -> Self {
        Self {
            trust_ms: limits.trust_ms,
            lag_grace_ms: limits.lag_grace_ms,
            followed_ms: Default::default(),
            versions: FollowedVersions::default(),
            received: Mutex::default(),
            lag: Lag::default(),
            query: PendingQuery::default(),
            is_relay: AtomicBool::new(false),
        }
    }

    /// Records whether this host reports the store's state to its zone in place of the leader.
    pub fn set_relay(&self, is_relay: bool) {
        self.is_relay.store(is_relay, Ordering::Relaxed);
    }

    /// Returns true if this host reports the store's state to its zone in place of the leader.
    pub fn is_relay(&self) -> bool {
        self.is_relay.load(Ordering::Relaxed)
    }

    /// Records a query to the relays of the zone for the state of the store, sent at `at_ms`.
    pub fn start_query(&self, nonce: u64, at_ms: u64) {
        self.query.start_query(nonce, at_ms);
    }

    /// Records that a feed call for a table waits at the store, until the returned guard is
    /// dropped.
    pub fn follow(&self, followed: FollowedTable) -> FollowGuard<'_> {
        let followed_ms = &self.followed_ms[followed.index()];
        followed_ms.store(u64::MAX, Ordering::Relaxed);
        FollowGuard(followed_ms)
    }

    /// Returns this host's own report on the store, which the leader sends in its heartbeats and a
    /// relay in its responses. `heard_ms` is the time of the store's last response, `server_entries`
    /// the number of servers' entries that this host knows.
    pub fn updates(&self, heard_ms: u64, server_entries: u32) -> StoreStateReport {
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
            changed: FollowedTable::ALL.map(|followed| self.versions.changed(followed)),
            leave_version: self.versions.leave_version(),
            up_to: FollowedTable::ALL.map(|followed| self.versions.applied(followed)),
            full_read_version: self.versions.full_read_version(),
            server_entries,
        }
    }

    /// Returns the report with which this host, as a relay, responds to a query: this host's own
    /// report or the latest report that this host received, whichever is more recent. Returns
    /// `None` if the more recent report is too old to be trusted.
    pub fn store_state(&self, heard_ms: u64, server_entries: u32) -> Option<StoreStateReport> {
        let received = *self.received();
        let own = self.updates(heard_ms, server_entries);
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

    /// Records a relay's response. Returns the time at which the store last responded to the relay;
    /// `None` if another host has already reported a response from the store at that time or later,
    /// or if the relay's response does not belong to the latest query or is not the first response
    /// to that query.
    pub fn note_relay_report(&self, nonce: u64, updates: StoreStateReport) -> Option<u64> {
        let sent_ms = self.query.answered(nonce)?;
        let answered_ms = sent_ms.saturating_sub(u64::from(updates.age_ms));
        let store_state = ReceivedReport {
            reporter: Reporter::Relay,
            answered_ms,
            updates,
        };
        let earlier = *self.received();
        let is_new = earlier.is_none_or(|received| received.answered_ms < answered_ms);
        self.apply_received(earlier.map_or(store_state, |earlier| store_state.or_later(earlier)));
        is_new.then_some(answered_ms)
    }

    /// Records a report from the leader. Returns the time of the store's latest response that is
    /// known from reports from other hosts.
    pub fn note_announced(&self, updates: StoreStateReport) -> u64 {
        let answered_ms = clock::now_ms().saturating_sub(u64::from(updates.age_ms));
        let received = ReceivedReport {
            reporter: Reporter::Leader,
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
            let applied = self.versions.applied(followed);
            if applied >= updates.changed[followed.index()] {
                if applied > 0 {
                    // The table has not changed since the applied version, so the feed can continue
                    // from the reported version and does not depend on the store's older history.
                    self.versions
                        .note_applied(followed, updates.up_to[followed.index()]);
                }
            } else {
                self.lag.begin(followed, clock::now_ms());
            }
        }
    }

    /// Ends the measurement of the time for which this host has lacked reported changes of a table.
    /// Returns that time; `None` if this host applied the changes before a report stated them.
    pub fn end_lag(&self, followed: FollowedTable) -> Option<u64> {
        self.lag.end(followed, clock::now_ms())
    }

    /// Returns the sender and the age of the latest report from another host; `None` before the
    /// first report.
    pub fn latest_report(&self) -> Option<LatestReport> {
        let received = (*self.received())?;
        Some(LatestReport {
            reporter: received.reporter,
            age_ms: clock::now_ms().saturating_sub(received.answered_ms),
        })
    }

    /// Returns true if the leader, or a relay in its place, has reported a recent response from the
    /// store. A relay stops trusting the leader earlier than other hosts do, so that the relay has
    /// followed the store itself by the time other hosts query it.
    pub fn is_store_confirmed(&self) -> bool {
        let trust_ms = if self.is_relay() {
            self.relay_query_age_ms()
        } else {
            self.trust_ms
        };
        self.received_age_ms() < trust_ms
    }

    /// Returns true if a relay should be queried because the latest report from the leader or a
    /// relay will soon be too old to be trusted.
    pub fn needs_relay(&self) -> bool {
        self.received_age_ms() >= self.relay_query_age_ms()
    }

    fn received_age_ms(&self) -> u64 {
        let received = *self.received();
        received.map_or(u64::MAX, |received| {
            clock::now_ms().saturating_sub(received.answered_ms)
        })
    }

    /// Returns the age at which the latest report from the leader or a relay makes this host query
    /// the relays of its zone. The leader's reports are usually not older: their age is at most
    /// half of the trust period, plus a quarter of the trust period for one heartbeat.
    fn relay_query_age_ms(&self) -> u64 {
        self.trust_ms * 3 / 4
    }

    /// Returns true if a recent report from the leader or a relay confirms that the store responds,
    /// and other hosts have reported a response that the store gave at `at_ms` or later.
    pub fn is_store_confirmed_since(&self, at_ms: u64) -> bool {
        let received = *self.received();
        self.is_store_confirmed() && received.is_some_and(|received| received.answered_ms >= at_ms)
    }

    /// Returns the version of the latest change of a table that another host has reported; 0 before
    /// the first report.
    pub fn reported_change(&self, followed: FollowedTable) -> u64 {
        let received = *self.received();
        received.map_or(0, |received| received.updates.changed[followed.index()])
    }

    /// Returns true if another host has reported a change of a table that is later than
    /// `requested_after`, the version after which a feed call requests changes.
    pub fn is_behind(&self, followed: FollowedTable, requested_after: u64) -> bool {
        self.reported_change(followed) > requested_after
    }

    /// Returns true if another host has reported a change of a server's entry that is later than
    /// `version` and ends new work for the server.
    pub fn has_leave_since(&self, version: u64) -> bool {
        let received = *self.received();
        received.is_some_and(|received| received.updates.leave_version > version)
    }

    /// Waits until a feed call for changes after `requested_after` should be abandoned and
    /// repeated, and returns the reason. `relies_on_leader` is true if the call waits long because
    /// the leader or a relay confirms the store; `is_silent` returns true while no response has
    /// begun.
    pub async fn abandon_reason(
        &self,
        followed: FollowedTable,
        requested_after: u64,
        relies_on_leader: bool,
        is_silent: impl Fn() -> bool,
    ) -> AbandonReason {
        let mut behind_ms = 0;
        loop {
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
            if !is_silent() {
                continue;
            }
            if relies_on_leader && !self.is_store_confirmed() {
                return AbandonReason::Unconfirmed;
            }
            if self.is_behind(followed, requested_after) {
                behind_ms += POLL_EVERY_MS;
            } else {
                behind_ms = 0;
            }
            if behind_ms > self.lag_grace_ms {
                return AbandonReason::Behind;
            }
        }
    }

    fn received(&self) -> MutexGuard<'_, Option<ReceivedReport>> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of a feed call that waits at the store. When the guard is dropped, it records the time at
/// which the call ended.
#[derive(Debug)]
pub struct FollowGuard<'a>(&'a AtomicU64);

impl Drop for FollowGuard<'_> {
    fn drop(&mut self) {
        let now_ms = clock::now_ms();
        self.0.store(now_ms, Ordering::Relaxed);
    }
}
