//! Pauses between the calls of a change feed. A host that relies on the reports of the leader or a
//! relay pauses for long, and calls the store early if it has missed a change or no other host reports
//! that the store responds.

use std::time::Duration;

use tokio::time;

use super::{
    Entry,
    limits::POLL_EVERY_MS,
    updates::followed::{FollowedTable, SyncRole},
};
use crate::clock;

impl Entry {
    /// Waits until the leader or a relay confirms the state of the store, but no longer than
    /// [`FollowedTable::start_wait_ms`]. Then pauses the feed if the state is confirmed. Returns at
    /// once if this host is the leader.
    pub(super) async fn wait_for_leader_at_start(&self, followed: FollowedTable) {
        // The relays that could confirm the store are known only after the initial sync with
        // another host has ended.
        self.join.sync_outcome().await;
        let began_ms = clock::now_ms();
        let until_ms = began_ms + followed.start_wait_ms(&self.limits);
        // A leader does not wait: the other hosts depend on its feeds.
        let is_leader = || self.leadership.term() > 0;
        while !is_leader() && !self.freshness.is_store_confirmed() && clock::now_ms() < until_ms {
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
        }
        if !is_leader() && self.freshness.is_store_confirmed() {
            self.feed_pause(followed, began_ms).await;
        }
    }

    /// Pauses before the next call of a feed whose last call was made at `began_ms`. After the
    /// minimum pause, returns as soon as there is a reason to call the store: a read request, a
    /// change of this host's role, a missed change, or a reason of [`Self::should_call_now`].
    pub(super) async fn feed_pause(&self, followed: FollowedTable, began_ms: u64) {
        let mut behind_ms = 0;
        let sync_role = self.sync_role();
        let feed_pause = followed.feed_pause(self.peers.hosts(), sync_role, &self.limits);
        sleep_until(began_ms + feed_pause.min_ms).await;
        while clock::now_ms() < began_ms + feed_pause.max_ms {
            let look_ms = began_ms
                + feed_pause
                    .max_ms
                    .min(clock::now_ms() - began_ms + POLL_EVERY_MS);
            tokio::select! {
                () = sleep_until(look_ms) => {}
                () = self.view.wait_for_read_request(followed) => return,
            }
            let after = self.freshness.versions.applied(followed);
            let now = self.sync_role();
            let role_changed = (now == SyncRole::Leader) != (sync_role == SyncRole::Leader)
                || sync_role == SyncRole::Follower && now != SyncRole::Follower;
            if role_changed || self.should_call_now(followed, after) {
                return;
            }
            // The store is called if a change that another host reported has not arrived by
            // broadcast within the grace period.
            let is_behind =
                followed != FollowedTable::Own && self.freshness.is_behind(followed, after);
            behind_ms = if is_behind {
                behind_ms + POLL_EVERY_MS
            } else {
                0
            };
            if behind_ms > self.limits.lag_grace_ms {
                return;
            }
        }
    }

    /// Returns true if the change feed of a table should be polled before its pause has ended. The
    /// feed of servers' entries is polled early if another host has reported a change later than
    /// `after` that ends new work for a server, or if the store is known to be unavailable. The
    /// feeds of servers' entries and of the configuration are polled early while no other host
    /// reports that the store responds. The feed of the entry hosts' own rows is polled early if
    /// this host lacks the assigned ranges of a service and another host has reported a change
    /// later than `after`, or if this host does not know the hosts' secret.
    fn should_call_now(&self, followed: FollowedTable, after: u64) -> bool {
        match followed {
            FollowedTable::Configuration => !self.freshness.is_store_confirmed(),
            FollowedTable::Servers => {
                // The feed of servers' entries detects the store's return on behalf of all feeds.
                let store_lost = *self.view.store_lost().borrow();
                store_lost
                    || self.freshness.has_leave_since(after)
                    || !self.freshness.is_store_confirmed()
            }
            FollowedTable::Own => {
                let lacks = self.view.lacks_assignments();
                lacks && self.freshness.is_behind(followed, after) || !self.peers.seal.is_known()
            }
        }
    }
}

async fn sleep_until(at_ms: u64) {
    let left_ms = at_ms.saturating_sub(clock::now_ms());
    time::sleep(Duration::from_millis(left_ms)).await;
}
