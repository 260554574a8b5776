//! Keeps the view up to date from the change log, and from peers while the store is down. The
//! staleness of the view is the time since the view was known to be complete.

use std::{sync::Arc, time::Duration};

use rand::Rng;
use tokio::time;

use super::Host;
use crate::{
    clock,
    id::Revision,
    membership::heartbeat_tree,
    peer::message::{PeerReply, PeerRequest},
    state::{LogEntry, LogError, Snapshot},
};

/// Interval in milliseconds at which the host checks the staleness of its view (the time since the
/// view was known to be complete).
const TICK_MS: u64 = 20;
/// Staleness at which a top-level host reads the log, in percent of the maximum staleness.
/// Top-level hosts read early, so that the hosts below them in the heartbeat tree need not read.
const TOP_LEVEL_READS_AT_PERCENT: u64 = 25;
/// Staleness at which a host below the top level of the heartbeat tree reads the log, in percent of
/// the maximum staleness. Such a host does not read while replies to its heartbeats keep the
/// staleness lower.
const OTHER_READS_AT_PERCENT: u64 = 75;
/// Upper bound of the random delay after which a host reads the log once its view has reached the
/// staleness for a read, in percent of the maximum staleness.
const SPREAD_PERCENT: u64 = 12;
/// Timeout in milliseconds of fetching entries or a snapshot from a peer.
const PEER_TIMEOUT_MS: u64 = 500;

impl Host {
    /// Reads the log whenever the staleness of the view reaches the threshold for a read, or a read
    /// is requested. Runs until the process ends.
    pub(super) async fn keep_synced(self: Arc<Self>) {
        let percent_ms = |percent| self.settings.ownership.max_staleness_ms * percent / 100;
        loop {
            let read_requested = time::timeout(
                Duration::from_millis(TICK_MS),
                self.sync_requested.notified(),
            );
            let read_requested = read_requested.await.is_ok();
            // The random delay keeps the hosts from reading at the same moment.
            let spread_ms = rand::rng().random_range(0..=percent_ms(SPREAD_PERCENT));
            let read_at_ms = match self.is_top_level() {
                true => percent_ms(TOP_LEVEL_READS_AT_PERCENT),
                false => percent_ms(OTHER_READS_AT_PERCENT),
            };
            let age_ms = self.view.staleness_ms().unwrap_or(u64::MAX);
            if read_requested || age_ms >= read_at_ms + spread_ms {
                self.read_log().await;
            }
        }
    }

    /// Returns true if this host is a top-level host of the heartbeat tree, or is not registered
    /// yet.
    fn is_top_level(&self) -> bool {
        let Some(own) = self.key() else { return true };
        let state = self.view.state();
        let hosts = heartbeat_tree::order(&state);
        heartbeat_tree::is_top_level(&hosts, own)
    }

    /// Reads the log to its end and applies the entries that the view lacks. Returns false if the
    /// log could not be read to its end.
    pub(super) async fn read_log(&self) -> bool {
        loop {
            let sent_ms = clock::now_ms();
            let before = self.view.revision();
            match self.log.tail(before).await {
                Ok(entries) if entries.is_empty() => {
                    self.view.record_log_read(sent_ms);
                    return true;
                }
                Ok(entries) => {
                    self.apply(&entries);
                    if self.view.revision() == before {
                        return false;
                    }
                }
                Err(LogError::Truncated { .. }) => match self.log.load_snapshot().await {
                    Ok(state) if state.revision > before => self.view.replace(state),
                    _ => return false,
                },
                Err(error) => {
                    log::debug!("the change log cannot be read: {error}");
                    return false;
                }
            }
        }
    }

    /// Applies entries to the view. Panics if an entry cannot be applied: this program then
    /// disagrees with the log, so the host must not go on acting.
    pub(super) fn apply(&self, entries: &[LogEntry]) {
        if let Err(error) = self.view.apply(entries) {
            panic!("invariant: an entry of the log cannot be applied: {error}");
        }
    }

    /// Fetches the missing entries up to `revision` from the peer at `address`. Requests a read of
    /// the log if the peer does not supply all of them.
    pub(super) async fn catch_up(&self, address: std::net::SocketAddr, revision: Revision) {
        let request = PeerRequest::Entries {
            after: self.view.revision(),
        };
        match self.peers.call(address, &request, PEER_TIMEOUT_MS).await {
            Ok(PeerReply::Entries { entries }) => self.apply(&entries),
            Ok(PeerReply::Truncated) => self.fetch_snapshot(address).await,
            _ => {}
        }
        if self.view.revision() < revision {
            self.sync_requested.notify_one();
        }
    }

    /// Fetches the whole state from the peer at `address`, and replaces the state of the view if
    /// the fetched state has a higher revision.
    pub(super) async fn fetch_snapshot(&self, address: std::net::SocketAddr) {
        let request = PeerRequest::Snapshot;
        let reply = self.peers.call(address, &request, PEER_TIMEOUT_MS).await;
        let Ok(PeerReply::Snapshot { pointer, body }) = reply else {
            return;
        };
        match Snapshot::decode(&pointer, &body) {
            Ok(state) => self.view.replace(state),
            Err(error) => log::warn!("cannot decode the snapshot of a peer: {error}"),
        }
    }
}
