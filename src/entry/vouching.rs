//! Relays that vouch for the store in the holder's stead. Hosts rely on the holder of the duty to learn that nothing has
//! changed. When it is lost, or the store turns it away, each of a thousand hosts would call the store by itself until
//! there is another. Among many hosts the relays of each zone do so a little earlier than the others
//! would, and the others ask them.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::{
    Entry,
    limits::POLL_EVERY_MS,
    peers::message::Message,
    updates::{
        evacuation::Evacuations,
        followed::{FollowedTable, SyncRole},
        freshness::StoreStateReport,
    },
};
use crate::clock;

/// Longer pause while the holder of the duty tells that nothing has changed in the store, which may
/// turn away this host only.
const TOLD_PAUSE_MS: u64 = 1_500;

impl Entry {
    /// What this host relies on to learn of changes.
    pub(super) fn sync_role(&self) -> SyncRole {
        if self.duty.term() > 0 {
            SyncRole::Holder
        } else if self.freshness.is_store_confirmed() {
            SyncRole::Follower
        } else if self.freshness.is_relay() {
            SyncRole::Relay
        } else {
            SyncRole::Alone
        }
    }

    /// Waits a little longer after a failed call, as long as others make calls in this host's stead. Hundreds of hosts
    /// that look for the store's return by themselves are thousands of calls.
    pub(super) async fn pause_while_others_call(&self) {
        self.pause_while_relays_call().await;
        self.pause_while_told().await;
    }

    /// Leaves it to the relays of the zone to find out when the store is back, but for a call now and then: all of them
    /// may be lost.
    pub(super) async fn pause_while_relays_call(&self) {
        if !self.peers.are_many() {
            return;
        }
        let until_ms = clock::now_ms() + self.limits.alone_pause_ms;
        while clock::now_ms() < until_ms && self.sync_role() == SyncRole::Alone {
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
        }
    }

    /// Waits a little longer as long as this host has what the holder of the duty has seen.
    async fn pause_while_told(&self) {
        let until_ms = clock::now_ms() + TOLD_PAUSE_MS;
        let is_behind = |followed| {
            let applied = self.freshness.applied(followed);
            self.freshness.is_behind(followed, applied)
        };
        while clock::now_ms() < until_ms && self.freshness.is_store_confirmed() {
            if is_behind(FollowedTable::Configuration) || is_behind(FollowedTable::Servers) {
                return;
            }
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
        }
    }

    /// Asks the relays of the own zone while the holder's word grows old, and finds out whether this host is one.
    pub(super) async fn keep_word(self: Arc<Self>) {
        loop {
            let is_asking = self.has_asked_relay();
            let every_ms = if is_asking {
                self.limits.ask_relay_every_ms
            } else {
                self.limits.holder_heartbeat_ms
            };
            time::sleep(Duration::from_millis(every_ms)).await;
        }
    }

    /// Asks a relay if there is need; true if it did.
    fn has_asked_relay(&self) -> bool {
        let is_apart = self.duty.term() > 0 || !self.peers.are_many();
        let relays = if is_apart {
            Vec::new()
        } else {
            self.peers.zone_relays(self.as_relay())
        };
        let is_relay = relays.contains(&self.settings.listen.peers);
        self.freshness.set_relay(is_relay);
        if is_relay || relays.is_empty() || !self.freshness.needs_relay() {
            return false;
        }
        let nonce = rand::random();
        let sender = self.as_sender();
        self.freshness.ask(nonce, clock::now_ms());
        self.peers
            .send(&Message::AskWord { nonce, sender }, &relays);
        true
    }

    /// What this host can tell of the store, for a host that hears no holder.
    pub(super) fn word_for(&self, nonce: u64) -> Option<Message> {
        let updates = self.freshness.store_state(self.view.store_answered_ms())?;
        Some(Message::Word {
            nonce,
            updates,
            evacuations: self.view.evacuations(),
        })
    }

    /// Takes in a relay's answer.
    pub(super) fn note_relay_report(
        &self,
        nonce: u64,
        updates: StoreStateReport,
        evacuations: Evacuations,
    ) {
        // A later state counts, however it came here.
        self.view.evacuate(evacuations);
        if let Some(answered_ms) = self.freshness.note_relay_report(nonce, updates) {
            self.note_store_answer(answered_ms);
        }
    }
}
