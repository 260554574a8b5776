//! How hosts that know of missed changes learn them from others. Hundreds of hosts that read what thousands of servers
//! change as they start are thousands of calls to the store, of 150 KB each.

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use tokio::time;

use super::{
    ask::Error,
    paths::{CHANGES, CONFIGURATION, OWN, SNAPSHOT},
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

/// Pause before another host is asked again.
const AGAIN_MS: u64 = 150;
/// Missed changes from which on another host is asked, in place of the store: more than one of its answers has.
const MISSED_MAX: u64 = 500;

impl Entry {
    /// True if this host knows all changes of a table that it has heard of, or has learned them from another host. False
    /// if it must ask the store.
    pub(in crate::entry) async fn is_caught_up_by_others(&self, followed: FollowedTable) -> bool {
        if self.sync_role() != SyncRole::Follower || !self.may_ask_others(followed) {
            return false;
        }
        let patience = Duration::from_millis(self.patience_ms(followed));
        let learned = time::timeout(patience, self.learn_missed(followed)).await;
        learned.unwrap_or(false)
    }

    /// True if there are so many hosts or changes that others are asked first.
    fn may_ask_others(&self, followed: FollowedTable) -> bool {
        match followed {
            // While the store is lost, only this feed finds out when it is back, for the others too.
            FollowedTable::Servers if *self.view.store_lost().borrow() => false,
            FollowedTable::Servers => self.has_many_servers() || self.missed(followed) > MISSED_MAX,
            FollowedTable::Configuration => self.peers.are_many(),
            FollowedTable::Own => {
                self.peers.are_many()
                    && self.peers.seal.is_known()
                    && !self.join.take_secret_doubt()
            }
        }
    }

    /// Number of changes that this host has missed, at most.
    fn missed(&self, followed: FollowedTable) -> u64 {
        let changed = self.freshness.reported_change(followed);
        changed.saturating_sub(self.freshness.applied(followed))
    }

    /// Time in which others may tell what was missed. Nobody is owed that a new server is known; that one leaves must be
    /// known in time, and so must a configuration.
    fn patience_ms(&self, followed: FollowedTable) -> u64 {
        let applied = self.freshness.applied(followed);
        let is_owed = match followed {
            FollowedTable::Servers => self.freshness.has_leave_since(applied),
            FollowedTable::Configuration => self.view.configuration().is_some(),
            FollowedTable::Own => true,
        };
        if is_owed {
            self.limits.catch_up_ms
        } else {
            self.limits.start_wait_ms
        }
    }

    /// Asks others until nothing is missing; false if there is nobody to ask.
    async fn learn_missed(&self, followed: FollowedTable) -> bool {
        let mut is_first = followed == FollowedTable::Own;
        while is_first || self.is_missing(followed) {
            let Some(guide) = self.guide() else {
                return false;
            };
            match self.learn(followed, guide).await {
                Ok(()) => is_first = false,
                Err(error) => log::debug!("{guide} does not tell what was missed: {error}"),
            }
            if is_first || self.is_missing(followed) {
                let pause_ms = AGAIN_MS + rand::random_range(0..AGAIN_MS);
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        true
    }

    fn is_missing(&self, followed: FollowedTable) -> bool {
        let applied = self.freshness.applied(followed);
        let is_behind = self.freshness.is_behind(followed, applied);
        match followed {
            FollowedTable::Own => is_behind && self.view.lacks_holdings(),
            FollowedTable::Servers | FollowedTable::Configuration => is_behind,
        }
    }

    async fn learn(&self, followed: FollowedTable, guide: SocketAddr) -> Result<(), Error> {
        match followed {
            FollowedTable::Servers => {
                let path = format!("{CHANGES}{}", self.freshness.applied(followed));
                match self.ask::<ServerChanges>(guide, &path).await {
                    Ok(changes) => self.take_servers(changes),
                    Err(Error::Status { status }) if status == StatusCode::GONE => {
                        self.learn_anew(followed, guide).await?;
                    }
                    Err(error) => return Err(error),
                }
            }
            FollowedTable::Configuration => {
                let known: SnapshotConfiguration = self.ask(guide, CONFIGURATION).await?;
                self.take_known_configuration(known);
            }
            FollowedTable::Own => {
                let snapshot: Snapshot = self.ask(guide, OWN).await?;
                self.take_snapshot(&snapshot);
            }
        }
        Ok(())
    }

    /// Learns all that another host knows; false if that is not more than this one knows of a table.
    pub(super) async fn learn_anew(
        &self,
        followed: FollowedTable,
        guide: SocketAddr,
    ) -> Result<bool, Error> {
        // What the holder passes on meanwhile is in no snapshot that is made before.
        self.relay.begin_reading(followed);
        let snapshot = self.ask::<Snapshot>(guide, SNAPSHOT).await;
        let snapshot = match snapshot {
            Ok(snapshot) => snapshot,
            Err(error) => {
                self.relay.end_reading(followed);
                return Err(error);
            }
        };
        let is_later = snapshot.known(followed).up_to > self.freshness.applied(followed);
        if is_later {
            self.take_snapshot(&snapshot);
        }
        self.relay.end_reading(followed);
        Ok(is_later)
    }
}
