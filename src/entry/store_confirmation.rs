//! Lets relays report to other hosts, in place of the leader, that the store responds and which
//! versions its tables have. The host that makes such a report confirms the store for the other
//! hosts. Relays are the hosts that forward messages to the other hosts of their zone. Hosts rely
//! on the leader to learn that nothing has changed in the store. When the leader is lost, or the
//! store rejects the leader's calls, each of a thousand hosts would call the store until there is
//! another leader. With many hosts, the relays of each zone therefore call the store a little
//! earlier than the other hosts would, and the other hosts query the relays.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::{
    Entry,
    events::Event,
    limits::POLL_EVERY_MS,
    metric_labels::StorePauseLabels,
    peers::message::Message,
    updates::{
        evacuation::Evacuations,
        followed::{FollowedTable, SyncRole},
        report::{Reporter, StoreStateReport},
    },
};
use crate::clock;

/// Pause after a failed call to the store while another host reports that the store responds and
/// this host has all reported changes. The pause is longer than other pauses: the store may reject
/// only the calls of this host, and this host misses no changes.
const CONFIRMED_PAUSE_MS: u64 = 1_500;

impl Entry {
    /// Returns this host's role, which determines whether it learns of changes from the store, the
    /// leader or a relay.
    pub(super) fn sync_role(&self) -> SyncRole {
        if self.leadership.term() > 0 {
            SyncRole::Leader
        } else if self.freshness.is_store_confirmed() {
            SyncRole::Follower
        } else if self.freshness.is_relay() {
            SyncRole::Relay
        } else {
            SyncRole::Alone
        }
    }

    /// Extends the pause after a failed call to the store while other hosts call the store on
    /// behalf of this host. If each of hundreds of hosts checked whether the store responds again,
    /// the store would get thousands of calls.
    pub(super) async fn pause_while_others_call(&self, followed: FollowedTable) {
        self.pause_while_relays_call(followed).await;
        let began_ms = clock::now_ms();
        self.pause_while_confirmed().await;
        self.count_pause(followed, "confirmed", began_ms);
    }

    fn count_pause(&self, followed: FollowedTable, reason: &'static str, began_ms: u64) {
        let labels = StorePauseLabels {
            table: followed.table(),
            reason,
        };
        let pause_ms = clock::now_ms().saturating_sub(began_ms);
        self.metrics.store_pause(&labels, pause_ms);
    }

    /// Pauses while the relays of the zone check whether the store responds again. The pause ends
    /// after `alone_pause_ms`, and this host then calls the store itself, since all relays may be
    /// lost.
    pub(super) async fn pause_while_relays_call(&self, followed: FollowedTable) {
        if !self.peers.use_relays() {
            return;
        }
        let began_ms = clock::now_ms();
        let until_ms = began_ms + self.limits.alone_pause_ms;
        while clock::now_ms() < until_ms && self.sync_role() == SyncRole::Alone {
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
        }
        self.count_pause(followed, "relays_call", began_ms);
    }

    /// Extends the pause by up to [`CONFIRMED_PAUSE_MS`] while another host reports that the store
    /// responds and this host has all changes that were reported.
    async fn pause_while_confirmed(&self) {
        let until_ms = clock::now_ms() + CONFIRMED_PAUSE_MS;
        let is_behind = |followed| {
            let applied = self.freshness.versions.applied(followed);
            self.freshness.is_behind(followed, applied)
        };
        while clock::now_ms() < until_ms && self.freshness.is_store_confirmed() {
            if is_behind(FollowedTable::Configuration) || is_behind(FollowedTable::Servers) {
                return;
            }
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
        }
    }

    /// Queries the relays of this host's zone once the latest report on the store is nearly too old
    /// to be trusted, and asks them for a configuration that this host lacks. Determines in each
    /// round whether this host is a relay itself.
    pub(super) async fn keep_querying_relays(self: Arc<Self>) {
        loop {
            let has_queried = self.query_relays();
            let lacks_configuration = self.request_missed_configuration();
            let every_ms = if has_queried || lacks_configuration {
                self.limits.relay_query_every_ms
            } else {
                self.limits.leader_heartbeat_ms
            };
            time::sleep(Duration::from_millis(every_ms)).await;
        }
    }

    /// Queries the relays of the zone if this host needs a newer report on the store. Returns true
    /// if a query was sent.
    fn query_relays(&self) -> bool {
        let is_without_relays = self.leadership.term() > 0 || !self.peers.use_relays();
        let relays = if is_without_relays {
            Vec::new()
        } else {
            self.peers.own_zone_relays(self.as_relay_candidate())
        };
        let is_relay = relays.contains(&self.settings.listen.peers);
        self.freshness.set_relay(is_relay);
        if is_relay || relays.is_empty() || !self.freshness.needs_relay() {
            return false;
        }
        let nonce = rand::random();
        let sender = self.as_sender();
        self.freshness.start_query(nonce, clock::now_ms());
        self.peers
            .send(&Message::QueryStoreState { nonce, sender }, &relays);
        true
    }

    /// Returns this host's own report on the store.
    pub(super) fn store_state_report(&self) -> StoreStateReport {
        let entries = self.view.registry().entries_count();
        self.freshness
            .updates(self.view.store_answered_ms(), entries)
    }

    /// Returns the response to a host that queries the state of the store because it receives no
    /// heartbeats from the leader; `None` if this host's information on the store is too old to be
    /// trusted.
    pub(super) fn store_state_for(&self, nonce: u64) -> Option<Message> {
        let heard_ms = self.view.store_answered_ms();
        let entries = self.view.registry().entries_count();
        let updates = self.freshness.store_state(heard_ms, entries)?;
        Some(Message::StoreState {
            nonce,
            updates,
            evacuations: self.view.evacuations(),
        })
    }

    /// Returns a report as it counts for this host, which may have missed removals of servers' entries
    /// that the sender has not seen.
    pub(super) fn checked_report(
        &self,
        report: StoreStateReport,
        reporter: Reporter,
    ) -> StoreStateReport {
        let own_entries = self.view.registry().entries_count();
        let checked = self
            .freshness
            .versions
            .check_unseen_removals(report, own_entries);
        if let Some(found) = checked.first_found {
            Event::UnseenRemovals { reporter, found }.log();
        }
        checked.report
    }

    /// Applies a relay's report on the store and the evacuated zones.
    pub(super) fn note_relay_report(
        &self,
        nonce: u64,
        updates: StoreStateReport,
        evacuations: Evacuations,
    ) {
        // The list of evacuated zones with the later version is kept, whether it came from a relay,
        // the leader or the store.
        self.view.evacuate(evacuations);
        let updates = self.checked_report(updates, Reporter::Relay);
        if let Some(answered_ms) = self.freshness.note_relay_report(nonce, updates) {
            self.note_store_response(answered_ms);
        }
    }
}
