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
    news::{
        configuration_pieces::KnownConfiguration,
        followed::{Followed, Reliance},
        server_changes::ServerChanges,
        snapshot::Snapshot,
    },
};

/// Pause before another host is asked again.
const RETRY_AFTER_MS: u64 = 150;
/// Missed changes from which on another host is asked, in place of the store: more than one of its answers has.
const MISSED_MAX: u64 = 500;

impl Entry {
    /// True if this host knows all changes of a table that it has heard of, or has learned them from another host. False
    /// if it must ask the store.
    pub(in crate::entry) async fn catch_up_from_peers(&self, followed: Followed) -> bool {
        if self.reliance() != Reliance::Told || !self.asks_peers_first(followed) {
            return false;
        }
        let patience = Duration::from_millis(self.catch_up_timeout_ms(followed));
        let learned = time::timeout(patience, self.fetch_missed(followed)).await;
        learned.unwrap_or(false)
    }

    /// True if there are so many hosts or changes that others are asked first.
    fn asks_peers_first(&self, followed: Followed) -> bool {
        match followed {
            // While the store is lost, only this feed finds out when it is back, for the others too.
            Followed::Servers if *self.view.store_lost().borrow() => false,
            Followed::Servers => self.has_many_servers() || self.missed(followed) > MISSED_MAX,
            Followed::Configuration => self.peers.are_many(),
            Followed::Own => {
                self.peers.are_many()
                    && self.peers.seal.is_known()
                    && !self.join.take_stale_secret_flag()
            }
        }
    }

    /// Number of changes that this host has missed, at most.
    fn missed(&self, followed: Followed) -> u64 {
        let changed = self.freshness.told_changed(followed);
        changed.saturating_sub(self.freshness.applied(followed))
    }

    /// Time in which others may tell what was missed. Nobody is owed that a new server is known; that one leaves must be
    /// known in time, and so must a configuration.
    fn catch_up_timeout_ms(&self, followed: Followed) -> u64 {
        let applied = self.freshness.applied(followed);
        let is_owed = match followed {
            Followed::Servers => self.freshness.has_left_since(applied),
            Followed::Configuration => self.view.configuration().is_some(),
            Followed::Own => true,
        };
        if is_owed {
            self.limits.catch_up_ms
        } else {
            self.limits.start_rest_ms
        }
    }

    /// Asks others until nothing is missing; false if there is nobody to ask.
    async fn fetch_missed(&self, followed: Followed) -> bool {
        let mut is_first = followed == Followed::Own;
        while is_first || self.is_missing(followed) {
            let Some(peer) = self.peer() else {
                return false;
            };
            match self.learn(followed, peer).await {
                Ok(()) => is_first = false,
                Err(error) => log::debug!("{peer} does not tell what was missed: {error}"),
            }
            if is_first || self.is_missing(followed) {
                let pause_ms = RETRY_AFTER_MS + rand::random_range(0..RETRY_AFTER_MS);
                time::sleep(Duration::from_millis(pause_ms)).await;
            }
        }
        true
    }

    fn is_missing(&self, followed: Followed) -> bool {
        let applied = self.freshness.applied(followed);
        let is_behind = self.freshness.is_behind(followed, applied);
        match followed {
            Followed::Own => is_behind && self.view.lacks_holdings(),
            Followed::Servers | Followed::Configuration => is_behind,
        }
    }

    async fn learn(&self, followed: Followed, peer: SocketAddr) -> Result<(), Error> {
        match followed {
            Followed::Servers => {
                let path = format!("{CHANGES}{}", self.freshness.applied(followed));
                match self.ask::<ServerChanges>(peer, &path).await {
                    Ok(changes) => self.take_servers(changes),
                    Err(Error::Status { status }) if status == StatusCode::GONE => {
                        self.fetch_snapshot(followed, peer).await?;
                    }
                    Err(error) => return Err(error),
                }
            }
            Followed::Configuration => {
                let known: KnownConfiguration = self.ask(peer, CONFIGURATION).await?;
                self.take_known_configuration(known);
            }
            Followed::Own => {
                let snapshot: Snapshot = self.ask(peer, OWN).await?;
                self.take_snapshot(&snapshot);
            }
        }
        Ok(())
    }

    /// Learns all that another host knows; false if that is not more than this one knows of a table.
    pub(super) async fn fetch_snapshot(
        &self,
        followed: Followed,
        peer: SocketAddr,
    ) -> Result<bool, Error> {
        // What the holder passes on meanwhile is in no snapshot that is made before.
        self.broadcast.begin_reading(followed);
        let snapshot = self.ask::<Snapshot>(peer, SNAPSHOT).await;
        let snapshot = match snapshot {
            Ok(snapshot) => snapshot,
            Err(error) => {
                self.broadcast.end_reading(followed);
                return Err(error);
            }
        };
        let is_later = snapshot.known(followed).up_to > self.freshness.applied(followed);
        if is_later {
            self.take_snapshot(&snapshot);
        }
        self.broadcast.end_reading(followed);
        Ok(is_later)
    }
}
