//! Queries of a host that has missed changes of the followed tables: the host fetches the changes
//! from other hosts instead of the store. When thousands of servers start together, hundreds of
//! hosts would otherwise read their changes from the store in thousands of calls of 150 KB each.

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use tokio::time;

use super::{
    paths::{CHANGES, CONFIGURATION, OWN, SNAPSHOT},
    query::Error,
};
use crate::entry::{
    Entry,
    updates::{
        configuration_pieces::SnapshotConfiguration,
        followed::{FollowedTable, SyncRole},
        server_changes::ServerChanges,
        snapshot::Snapshot,
    },
};

/// Minimum pause between two queries to other hosts for missed changes. A random time of up to the
/// same length is added to each pause.
const RETRY_AFTER_MS: u64 = 150;
/// Number of missed changes of server entries above which other hosts are queried before the store.
/// One response from the store contains at most this number of changes.
const MISSED_MAX: u64 = 500;

impl Entry {
    /// Fetches the missed changes of a table from other hosts. Returns true if this host then has
    /// all changes that other hosts have reported. Returns false if this host must query the store,
    /// because other hosts are not queried for the table or did not send the changes in time.
    pub(in crate::entry) async fn catch_up_from_peers(&self, followed: FollowedTable) -> bool {
        if self.sync_role() != SyncRole::Follower || !self.queries_peers_first(followed) {
            return false;
        }
        let catch_up_timeout = Duration::from_millis(self.catch_up_timeout_ms(followed));
        let caught_up = time::timeout(catch_up_timeout, self.fetch_missed(followed)).await;
        caught_up.unwrap_or(false)
    }

    /// Returns true if other hosts are queried for the changes of a table before the store, because
    /// there are many hosts, servers or missed changes.
    fn queries_peers_first(&self, followed: FollowedTable) -> bool {
        match followed {
            // While the store is unavailable, only the change feed of server entries probes whether
            // the store responds again; the other change feeds of this host make no calls. The
            // change feed of server entries must therefore query the store.
            FollowedTable::Servers if *self.view.store_lost().borrow() => false,
            FollowedTable::Servers => self.has_many_servers() || self.missed(followed) > MISSED_MAX,
            FollowedTable::Configuration => self.peers.use_relays(),
            FollowedTable::Own => {
                self.peers.use_relays()
                    && self.peers.seal.is_known()
                    && !self.join.take_stale_secret_flag()
            }
        }
    }

    /// Returns an upper bound of the number of changes of a table that this host has missed: the
    /// difference between the last version that other hosts have reported and the last version that
    /// this host has applied.
    fn missed(&self, followed: FollowedTable) -> u64 {
        let changed = self.freshness.reported_change(followed);
        changed.saturating_sub(self.freshness.versions.applied(followed))
    }

    /// Returns the timeout for fetching missed changes of a table from other hosts. A new server
    /// may become known late, but a leaving server and a new configuration must become known within
    /// their bounds in the settings.
    fn catch_up_timeout_ms(&self, followed: FollowedTable) -> u64 {
        let applied = self.freshness.versions.applied(followed);
        let has_bound = match followed {
            FollowedTable::Servers => self.freshness.has_leave_since(applied),
            FollowedTable::Configuration => self.view.configuration().is_some(),
            FollowedTable::Own => true,
        };
        if has_bound {
            self.limits.catch_up_ms
        } else {
            self.limits.start_wait_ms
        }
    }

    /// Queries other hosts until this host has all changes of a table that other hosts have
    /// reported. The hosts' own rows (assigned ranges and hosts) are fetched at least once. Returns
    /// false if there is no host to query.
    async fn fetch_missed(&self, followed: FollowedTable) -> bool {
        let mut is_first = followed == FollowedTable::Own;
        while is_first || self.is_missing(followed) {
            let Some(peer) = self.peer() else {
                return false;
            };
            match self.fetch_changes(followed, peer).await {
                Ok(()) => is_first = false,
                Err(error) => log::debug!("fetching missed changes from {peer} failed: {error}"),
            }
            if is_first || self.is_missing(followed) {
                let pause_ms = RETRY_AFTER_MS + rand::random_range(0..RETRY_AFTER_MS);
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        true
    }

    fn is_missing(&self, followed: FollowedTable) -> bool {
        let applied = self.freshness.versions.applied(followed);
        let is_behind = self.freshness.is_behind(followed, applied);
        match followed {
            FollowedTable::Own => is_behind && self.view.lacks_assignments(),
            FollowedTable::Servers | FollowedTable::Configuration => is_behind,
        }
    }

    async fn fetch_changes(&self, followed: FollowedTable, peer: SocketAddr) -> Result<(), Error> {
        match followed {
            FollowedTable::Servers => {
                let path = format!("{CHANGES}{}", self.freshness.versions.applied(followed));
                match self.query::<ServerChanges>(peer, &path).await {
                    Ok(changes) => self.receive_server_changes(changes),
                    Err(Error::Status { status }) if status == StatusCode::GONE => {
                        self.fetch_snapshot(followed, peer).await?;
                    }
                    Err(error) => return Err(error),
                }
            }
            FollowedTable::Configuration => {
                let known: SnapshotConfiguration = self.query(peer, CONFIGURATION).await?;
                self.apply_known_configuration(known);
            }
            FollowedTable::Own => {
                let snapshot: Snapshot = self.query(peer, OWN).await?;
                self.apply_snapshot(&snapshot);
            }
        }
        Ok(())
    }

    /// Fetches a snapshot from `peer` and applies it if it contains a later version of the table
    /// than this host has applied. Returns true if the snapshot was applied.
    pub(super) async fn fetch_snapshot(
        &self,
        followed: FollowedTable,
        peer: SocketAddr,
    ) -> Result<bool, Error> {
        // Broadcast changes of servers are suspended until the snapshot is applied, because the
        // snapshot may have been made before changes that the leader broadcasts in the meantime.
        self.broadcast.begin_reading(followed);
        let snapshot = self.query::<Snapshot>(peer, SNAPSHOT).await;
        let snapshot = match snapshot {
            Ok(snapshot) => snapshot,
            Err(error) => {
                self.broadcast.end_reading(followed);
                return Err(error);
            }
        };
        let is_later = snapshot.known(followed).up_to > self.freshness.versions.applied(followed);
        if is_later {
            self.apply_snapshot(&snapshot);
        }
        self.broadcast.end_reading(followed);
        Ok(is_later)
    }
}
