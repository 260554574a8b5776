//! Keeps the view up to date from the change log, or from peers while the platform is down.

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

/// Pause between looks at the own basis.
const TICK_MS: u64 = 20;
/// Age of the basis at which a host reads the log itself, in percent of the freshness allowed;
/// while peers' answers keep the basis younger, it does not read. The witnesses read early, so that
/// the hosts below them in the tree need not.
const WITNESS_READS_AT_PERCENT: u64 = 25;
const OTHER_READS_AT_PERCENT: u64 = 75;
/// Spread of these ages, in percent of the freshness allowed.
const SPREAD_PERCENT: u64 = 12;
const PEER_TIMEOUT_MS: u64 = 500;

impl Host {
    /// Runs until the process ends.
    pub(super) async fn keep_synced(self: Arc<Self>) {
        let percent_ms = |percent| self.settings.ownership.freshness_ms * percent / 100;
        loop {
            let wanted = time::timeout(Duration::from_millis(TICK_MS), self.sync_wanted.notified());
            let wanted = wanted.await.is_ok();
            // Spread, so that not every host reads at the same moment.
            let spread_ms = rand::rng().random_range(0..=percent_ms(SPREAD_PERCENT));
            let read_at_ms = match self.is_root() {
                true => percent_ms(WITNESS_READS_AT_PERCENT),
                false => percent_ms(OTHER_READS_AT_PERCENT),
            };
            let age_ms = self.view.basis_age_ms().unwrap_or(u64::MAX);
            if wanted || age_ms >= read_at_ms + spread_ms {
                self.read_log().await;
            }
        }
    }

    /// True until it is known that enough other hosts are witnesses.
    fn is_root(&self) -> bool {
        let Some(own) = self.key() else { return true };
        let state = self.view.state();
        let hosts = heartbeat_tree::order(&state);
        heartbeat_tree::is_root(&hosts, own)
    }

    /// Reads the log to its end; false if that failed.
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

    /// Applies entries. One that cannot be applied means that this program and the log disagree,
    /// so the host must not act on.
    pub(super) fn apply(&self, entries: &[LogEntry]) {
        if let Err(error) = self.view.apply(entries) {
            panic!("invariant: an entry of the log cannot be applied: {error}");
        }
    }

    /// Brings the view to `revision` from the peer at `address`, or else from the log.
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
            self.sync_wanted.notify_one();
        }
    }

    /// Takes over the whole state of a peer, if it is newer.
    pub(super) async fn fetch_snapshot(&self, address: std::net::SocketAddr) {
        let request = PeerRequest::Snapshot;
        let reply = self.peers.call(address, &request, PEER_TIMEOUT_MS).await;
        let Ok(PeerReply::Snapshot { pointer, body }) = reply else {
            return;
        };
        match Snapshot::decode(&pointer, &body) {
            Ok(state) => self.view.replace(state),
            Err(error) => log::warn!("a peer's snapshot: {error}"),
        }
    }
}
