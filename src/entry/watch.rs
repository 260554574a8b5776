//! Keeps a host's view of the store up to date through change feeds. A change feed is a series of
//! calls to the store, each of which waits for the next changes of a table.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use tokio::time;

use super::{
    Entry,
    events::Event,
    pauses::{RETRY_PAUSE_MAX_MS, RETRY_PAUSE_MS, pause, pause_for},
    rows::decode_servers,
    updates::{
        followed::{FollowedTable, HISTORY_MS},
        freshness::AbandonReason,
        own_rows::{HOSTS_PARTITION, TABLE},
        row_source::RowSource,
        server_changes::{Selection, ServerChanges},
    },
};
use crate::{
    clock,
    platform::{
        self, Error,
        store::{Feed, Rows},
    },
};

/// Time that a feed call waits at the store for changes if the call probes whether the store
/// responds. A failed store drops calls without a response, so the next call must be made soon
/// after the store is available again.
const PROBE_WAIT_MS: u64 = 0;
/// Number of missed heartbeats after which the platform removes a server's entry.
const MISSED_HEARTBEATS: u64 = 3;

/// State of a feed, which determines how long the next call of the feed may wait at the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FeedHealth {
    Healthy,
    /// Another host has reported a change that the feed did not deliver.
    Stalled,
    /// The last call of the feed failed.
    Failed,
}

impl Entry {
    /// Follows the operators' table, which contains the configuration and the evacuated zones.
    pub(super) async fn watch_configuration(self: Arc<Self>) {
        self.follow(FollowedTable::Configuration).await;
    }

    /// Follows the table of servers' entries, by which backend servers register.
    pub(super) async fn watch_servers(self: Arc<Self>) {
        self.follow(FollowedTable::Servers).await;
    }

    /// Follows the table of assigned ranges and hosts.
    pub(super) async fn watch_own(self: Arc<Self>) {
        self.follow(FollowedTable::Own).await;
    }

    /// Reads a table as a whole, unless this host has got the table from another host, and then
    /// follows its changes. Reads the table as a whole again when the store no longer keeps the
    /// changes that this host has missed.
    async fn follow(&self, followed: FollowedTable) {
        let mut was_synced_from_peer = self.join.was_synced_from_peer(followed).await;
        loop {
            self.broadcast.begin_reading(followed);
            if !std::mem::take(&mut was_synced_from_peer) && !self.read_whole(followed).await {
                pause().await;
                self.pause_while_relays_call(followed).await;
                continue;
            }
            self.broadcast.end_reading(followed);
            self.wait_for_leader_at_start(followed).await;
            let mut called_ms = clock::now_ms();
            let mut health = FeedHealth::Healthy;
            let mut pause_ms = RETRY_PAUSE_MS;
            loop {
                let began_ms = clock::now_ms();
                if followed == FollowedTable::Own && began_ms > called_ms + HISTORY_MS {
                    break;
                }
                called_ms = began_ms;
                if self.catch_up_from_peers(followed).await {
                    self.feed_pause(followed, began_ms).await;
                    continue;
                }
                let after = self.freshness.versions.applied(followed);
                let feed = match self.next_changes(followed, after, health).await {
                    Ok(feed) => feed,
                    Err(AbandonReason::Behind) => {
                        health = FeedHealth::Stalled;
                        continue;
                    }
                    Err(AbandonReason::Unconfirmed | AbandonReason::StoreLost) => continue,
                };
                match feed {
                    Ok(Feed::Changes(changes)) => {
                        self.answered(followed);
                        health = FeedHealth::Healthy;
                        pause_ms = RETRY_PAUSE_MS;
                        let has_more = changes.is_full_page();
                        self.apply_changes(followed, after, changes);
                        self.note_confirmation_by_store(followed, began_ms);
                        if !has_more {
                            self.feed_pause(followed, began_ms).await;
                        }
                    }
                    Ok(Feed::HistoryGone) => {
                        self.answered(followed);
                        was_synced_from_peer = self.resync_from_peer(followed).await;
                        break;
                    }
                    Err(error) => {
                        self.store_failed(followed, &error, health);
                        health = FeedHealth::Failed;
                        pause_for(pause_ms).await;
                        pause_ms = (pause_ms * 2).min(RETRY_PAUSE_MAX_MS);
                        self.pause_while_others_call(followed).await;
                    }
                }
            }
        }
    }

    /// Requests the changes of a table after the version `after` from the store. The call waits for
    /// the next change, but returns at once if the last call failed or missed a change. While the
    /// store is known to be unavailable, only the feed of servers' entries probes whether the store
    /// responds again.
    async fn next_changes(
        &self,
        followed: FollowedTable,
        after: u64,
        health: FeedHealth,
    ) -> Result<platform::Result<Feed>, AbandonReason> {
        let mut store_lost = self.view.store_lost();
        if followed != FollowedTable::Servers {
            // The wait for the store's return has a timeout because other hosts may have the
            // changes that this host has missed.
            let returned = store_lost.wait_for(|lost| !lost);
            let wait_max = Duration::from_millis(self.limits.lag_grace_ms);
            if !matches!(time::timeout(wait_max, returned).await, Ok(Ok(_))) {
                return Err(AbandonReason::StoreLost);
            }
        }
        let begun = AtomicBool::new(false);
        let table = followed.table();
        let _following = self.freshness.follow(followed);
        if health != FeedHealth::Healthy || *store_lost.borrow() {
            return Ok(self.store.feed(table, after, PROBE_WAIT_MS, &begun).await);
        }
        let sync_role = self.sync_role();
        let wait_ms = followed.wait_ms(sync_role, &self.limits);
        let relies_on_leader =
            self.freshness.is_store_confirmed() && followed != FollowedTable::Own;
        let is_silent = || !begun.load(Ordering::Relaxed);
        tokio::select! {
            feed = self.store.feed(table, after, wait_ms, &begun) => Ok(feed),
            abandon_reason = self.freshness.abandon_reason(
                followed,
                after,
                relies_on_leader,
                is_silent,
            ) => Err(abandon_reason),
            _ = store_lost.wait_for(|lost| *lost) => Err(AbandonReason::Behind),
        }
    }

    /// Applies the changes that a feed delivered, and broadcasts them while this host is the
    /// leader.
    pub(super) fn apply_changes(&self, followed: FollowedTable, after: u64, mut changes: Rows) {
        if followed == FollowedTable::Servers {
            self.apply_server_rows(after, &changes);
            return;
        }
        let applied = self.freshness.versions.applied(followed);
        if self.leadership.term() > 0 && followed == FollowedTable::Configuration {
            self.broadcast_configuration(&changes);
        }
        let evacuated = self.view.evacuations().version;
        // Changes up to the version `applied` are skipped: this host has applied them already, for
        // example from a broadcast that arrived while the feed call waited.
        changes.rows.retain(|row| row.version > applied);
        self.apply(followed, changes.rows, RowSource::Feed);
        self.freshness
            .versions
            .note_applied(followed, changes.version);
        if self.view.evacuations().version != evacuated {
            self.send_heartbeat();
        }
    }

    fn apply_server_rows(&self, after: u64, rows: &Rows) {
        let updates = ServerChanges {
            selection: Selection::All,
            after,
            up_to: rows.version,
            changes: decode_servers(&rows.rows),
        };
        if self.leadership.term() > 0 {
            self.broadcast_server_changes(&updates);
        }
        self.apply_server_changes(updates);
    }

    /// Records that the store has delivered all changes of a table that were made before `sent_ms`,
    /// the time of the call. For the configuration, this confirms that the configuration in force
    /// is the latest one; other tables need no confirmation.
    fn note_confirmation_by_store(&self, followed: FollowedTable, sent_ms: u64) {
        if followed == FollowedTable::Configuration {
            self.confirmation.note(sent_ms);
        }
    }

    /// Logs the first failed call in a series, and marks the store as unavailable if the failure is
    /// not limited to one feed.
    fn store_failed(&self, followed: FollowedTable, error: &Error, health: FeedHealth) {
        if health != FeedHealth::Failed {
            Event::StoreLost {
                table: followed.table(),
                problem: error.to_string(),
            }
            .log();
        }
        // The feed of servers' entries decides for all feeds whether the store is available. A
        // failed call of another feed counts only if it was made to check a stalled feed: then the
        // store is unavailable, and not just one connection broken.
        if followed == FollowedTable::Servers || health == FeedHealth::Stalled {
            self.view.set_store_lost(true);
        }
    }

    /// Records that the store responded to a feed call. A response to the feed of servers' entries
    /// ends a known outage of the store.
    fn answered(&self, followed: FollowedTable) {
        self.note_store_response(clock::now_ms());
        if followed == FollowedTable::Servers {
            self.view.set_store_lost(false);
        }
    }

    /// Records that the store responded at `at_ms` to this host, the leader or a relay. Logs the
    /// store's return if the time without a response was long enough for servers' entries to lapse.
    pub(super) fn note_store_response(&self, at_ms: u64) {
        let lapse_ms = MISSED_HEARTBEATS * self.settings.store.server_heartbeat_ms;
        let lapse_ms = lapse_ms.max(FollowedTable::OUTAGE_DETECTION_MS);
        if let Some(away_ms) = self.view.note_store_response(at_ms, lapse_ms) {
            Event::StoreBack { away_ms }.log();
        }
    }

    /// Reads a whole table from the store. The entry hosts' own table includes the rows of the
    /// hosts, which are read from a separate partition of the table.
    async fn read_table(&self, followed: FollowedTable) -> platform::Result<Rows> {
        let mut rows = self.store.table(followed.table()).await?;
        if followed == FollowedTable::Own {
            let hosts = self.store.table_partition(TABLE, HOSTS_PARTITION).await?;
            rows.rows.extend(hosts.rows);
        }
        Ok(rows)
    }

    /// Reads a whole table from the store and applies it. Returns false if a call to the store
    /// failed.
    async fn read_whole(&self, followed: FollowedTable) -> bool {
        let sent_ms = clock::now_ms();
        match self.read_table(followed).await {
            Ok(rows) => {
                self.note_store_response(clock::now_ms());
                let version = rows.version;
                if self.leadership.term() > 0 {
                    self.broadcast_difference(followed, &rows);
                }
                self.apply_table(followed, rows);
                if followed == FollowedTable::Servers {
                    self.freshness.versions.note_full_read(version);
                }
                self.freshness.versions.note_applied(followed, version);
                self.note_confirmation_by_store(followed, sent_ms);
                true
            }
            Err(error) => {
                log::debug!(
                    "cannot read table {} from the store: {error}",
                    followed.table()
                );
                false
            }
        }
    }
}

/// Returns the time since the latest response of the store that is known to this host, in
/// milliseconds.
pub(super) fn store_age_ms(entry: &Entry) -> u64 {
    clock::now_ms().saturating_sub(entry.view.store_answered_ms())
}
