//! Keeps the view up to date by the store's change feeds.

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
    limits::LOOK_EVERY_MS,
    news::{
        followed::{Followed, HISTORY_MS, Reliance},
        freshness::Doubt,
        own_rows::{HOSTS_PART, TABLE},
        server_changes::ServerChanges,
    },
    rows::decode_servers,
};
use crate::{
    clock,
    platform::{
        self, Error,
        store::{Feed, Rows},
    },
};

/// Wait of a feed that shows whether the store answers: a silent store swallows calls, so the next
/// one must follow soon after its return.
const PROBE_WAIT_MS: u64 = 0;
/// Pause after a failed call, with half of it at random on top.
const RETRY_PAUSE_MS: u64 = 150;
/// Longest pause of a feed whose calls go on failing. Calls are priced, also refused ones; the
/// store's return must be noticed within a second.
const RETRY_PAUSE_MAX_MS: u64 = 400;
/// The same with what chance adds.
pub(super) const RETRY_PAUSE_LONGEST_MS: u64 = RETRY_PAUSE_MAX_MS + RETRY_PAUSE_MAX_MS / 2;
/// Missed heartbeats after which the platform removes a server's entry.
const MISSED_HEARTBEATS: u64 = 3;

/// How far a feed can be trusted to tell of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Trust {
    Full,
    /// Another host has seen a change that the feed did not bring.
    Doubted,
    /// The last call failed.
    Lost,
}

impl Entry {
    /// Follows the configuration.
    pub(super) async fn watch_configuration(self: Arc<Self>) {
        self.follow(Followed::Configuration).await;
    }

    /// Follows the servers' entries.
    pub(super) async fn watch_servers(self: Arc<Self>) {
        self.follow(Followed::Servers).await;
    }

    /// Follows holdings and hosts.
    pub(super) async fn watch_own(self: Arc<Self>) {
        self.follow(Followed::Own).await;
    }

    async fn follow(&self, followed: Followed) {
        let mut was_told = self.join.was_told(followed).await;
        loop {
            self.relay.begin_reading(followed);
            if !std::mem::take(&mut was_told) && !self.read_whole(followed).await {
                pause().await;
                self.pause_while_relays_call().await;
                continue;
            }
            self.relay.end_reading(followed);
            self.rest_at_start(followed).await;
            let mut called_ms = clock::now_ms();
            let mut trust = Trust::Full;
            let mut pause_ms = RETRY_PAUSE_MS;
            loop {
                let began_ms = clock::now_ms();
                if followed == Followed::Own && began_ms > called_ms + HISTORY_MS {
                    break;
                }
                called_ms = began_ms;
                if self.is_caught_up_by_others(followed).await {
                    self.rest(followed, began_ms).await;
                    continue;
                }
                let after = self.freshness.applied(followed);
                let feed = match self.next_changes(followed, after, trust).await {
                    Ok(feed) => feed,
                    Err(Doubt::Behind) => {
                        trust = Trust::Doubted;
                        continue;
                    }
                    Err(Doubt::Unvouched | Doubt::StoreLost) => continue,
                };
                match feed {
                    Ok(Feed::Changes(changes)) => {
                        self.answered(followed);
                        trust = Trust::Full;
                        pause_ms = RETRY_PAUSE_MS;
                        let has_more = changes.is_full_page();
                        self.take_changes(followed, after, changes);
                        self.note_proof_of_store(followed, began_ms);
                        if !has_more {
                            self.rest(followed, began_ms).await;
                        }
                    }
                    Ok(Feed::HistoryGone) => {
                        self.answered(followed);
                        was_told = self.is_told_anew(followed).await;
                        break;
                    }
                    Err(error) => {
                        self.store_failed(followed, &error, trust);
                        trust = Trust::Lost;
                        pause_for(pause_ms).await;
                        pause_ms = (pause_ms * 2).min(RETRY_PAUSE_MAX_MS);
                        self.pause_while_others_call().await;
                    }
                }
            }
        }
    }

    /// Waits for changes, as long as the feed can be trusted to speak up. While another feed has
    /// found the store silent, only the servers' feed asks whether it is back.
    async fn next_changes(
        &self,
        followed: Followed,
        after: u64,
        trust: Trust,
    ) -> Result<platform::Result<Feed>, Doubt> {
        let mut store_lost = self.view.store_lost();
        if followed != Followed::Servers {
            // Not for good: others may have what is missed here.
            let returned = store_lost.wait_for(|lost| !lost);
            let patience = Duration::from_millis(self.limits.lag_grace_ms);
            if !matches!(time::timeout(patience, returned).await, Ok(Ok(_))) {
                return Err(Doubt::StoreLost);
            }
        }
        let begun = AtomicBool::new(false);
        let table = followed.table();
        let _following = self.freshness.follow(followed);
        if trust != Trust::Full || *store_lost.borrow() {
            return Ok(self.store.feed(table, after, PROBE_WAIT_MS, &begun).await);
        }
        let reliance = self.reliance();
        let wait_ms = followed.wait_ms(reliance, &self.limits);
        let relies = self.freshness.is_vouched() && followed != Followed::Own;
        let is_silent = || !begun.load(Ordering::Relaxed);
        tokio::select! {
            feed = self.store.feed(table, after, wait_ms, &begun) => Ok(feed),
            doubt = self.freshness.doubt(followed, after, relies, is_silent) => Err(doubt),
            _ = store_lost.wait_for(|lost| *lost) => Err(Doubt::Behind),
        }
    }

    /// Waits for the holder of the duty to be heard, and rests if it is.
    async fn rest_at_start(&self, followed: Followed) {
        // Only then the relays are known that vouch for the store.
        self.join.ended().await;
        let began_ms = clock::now_ms();
        let until_ms = began_ms + followed.start_rest_ms(&self.limits);
        // The others rely on what the holder of the duty follows.
        let is_holder = || self.duty.term() > 0;
        while !is_holder() && !self.freshness.is_vouched() && clock::now_ms() < until_ms {
            time::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
        if !is_holder() && self.freshness.is_vouched() {
            self.rest(followed, began_ms).await;
        }
    }

    /// Applies what a feed has brought, and passes it on while this host has the duty.
    pub(super) fn take_changes(&self, followed: Followed, after: u64, mut changes: Rows) {
        if followed == Followed::Servers {
            self.take_server_rows(after, &changes);
            return;
        }
        let applied = self.freshness.applied(followed);
        if self.duty.term() > 0 && followed == Followed::Configuration {
            self.pass_configuration_on(&changes);
        }
        let evacuated = self.view.evacuations().version;
        // Another host may have passed some of them on meanwhile, and later ones.
        changes.rows.retain(|row| row.version > applied);
        self.apply(followed, changes.rows);
        self.freshness.note_applied(followed, changes.version);
        if self.view.evacuations().version != evacuated {
            self.show_duty();
        }
    }

    fn take_server_rows(&self, after: u64, rows: &Rows) {
        let news = ServerChanges {
            after,
            up_to: rows.version,
            changes: decode_servers(&rows.rows),
        };
        if self.duty.term() > 0 {
            self.pass_servers_on(&news);
        }
        self.take_news_of_servers(news);
    }

    /// Notes that the store has told all changes of a table up to a time.
    fn note_proof_of_store(&self, followed: Followed, asked_ms: u64) {
        if followed == Followed::Configuration {
            self.proof.note(asked_ms);
        }
    }

    /// Rests before the next call of a feed.
    async fn rest(&self, followed: Followed, began_ms: u64) {
        let mut behind_ms = 0;
        let reliance = self.reliance();
        let rest = followed.rest(self.peers.hosts(), reliance, &self.limits);
        sleep_until(began_ms + rest.least_ms).await;
        while clock::now_ms() < began_ms + rest.most_ms {
            let look_ms = began_ms + rest.most_ms.min(clock::now_ms() - began_ms + LOOK_EVERY_MS);
            tokio::select! {
                () = sleep_until(look_ms) => {}
                () = self.view.reading_wanted(followed) => return,
            }
            let after = self.freshness.applied(followed);
            let now = self.reliance();
            let other_rest = (now == Reliance::Holder) != (reliance == Reliance::Holder)
                || reliance == Reliance::Told && now != Reliance::Told;
            if other_rest || self.must_hurry(followed, after) {
                return;
            }
            // What the holder passed on did not arrive.
            let is_behind = followed != Followed::Own && self.freshness.is_behind(followed, after);
            behind_ms = if is_behind {
                behind_ms + LOOK_EVERY_MS
            } else {
                0
            };
            if behind_ms > self.limits.lag_grace_ms {
                return;
            }
        }
    }

    /// True if a resting feed should be called: for servers that leave, when nobody vouches for the
    /// store, and for the first holdings of a service.
    fn must_hurry(&self, followed: Followed, after: u64) -> bool {
        match followed {
            Followed::Configuration => !self.freshness.is_vouched(),
            Followed::Servers => {
                // It finds out for all feeds when the store is back.
                let store_lost = *self.view.store_lost().borrow();
                store_lost || self.freshness.has_left_since(after) || !self.freshness.is_vouched()
            }
            Followed::Own => {
                let lacks = self.view.lacks_holdings();
                lacks && self.freshness.is_behind(followed, after) || !self.peers.seal.is_known()
            }
        }
    }

    fn store_failed(&self, followed: Followed, error: &Error, trust: Trust) {
        if trust != Trust::Lost {
            Event::StoreLost {
                table: followed.table(),
                problem: error.to_string(),
            }
            .log();
        }
        // A feed that failed in doubt shows more than its own connection's end.
        if followed == Followed::Servers || trust == Trust::Doubted {
            self.view.set_store_lost(true);
        }
    }

    /// Notes an answer of a feed.
    fn answered(&self, followed: Followed) {
        self.heard_store(clock::now_ms());
        if followed == Followed::Servers {
            self.view.set_store_lost(false);
        }
    }

    /// Notes that the store answered this host, or the holder of the duty.
    pub(super) fn heard_store(&self, at_ms: u64) {
        let lapse_ms = MISSED_HEARTBEATS * self.settings.store.server_heartbeat_ms;
        let lapse_ms = lapse_ms.max(Followed::NOTICED_MS);
        if let Some(away_ms) = self.view.heard_store(at_ms, lapse_ms) {
            Event::StoreBack { away_ms }.log();
        }
    }

    async fn read_table(&self, followed: Followed) -> platform::Result<Rows> {
        let mut rows = self.store.table(followed.table()).await?;
        if followed == Followed::Own {
            let hosts = self.store.table_partition(TABLE, HOSTS_PART).await?;
            rows.rows.extend(hosts.rows);
        }
        Ok(rows)
    }

    async fn read_whole(&self, followed: Followed) -> bool {
        let asked_ms = clock::now_ms();
        match self.read_table(followed).await {
            Ok(rows) => {
                self.heard_store(clock::now_ms());
                let version = rows.version;
                if self.duty.term() > 0 {
                    self.pass_difference_on(followed, &rows);
                }
                self.apply_whole(followed, rows);
                self.freshness.note_applied(followed, version);
                self.note_proof_of_store(followed, asked_ms);
                true
            }
            Err(error) => {
                log::debug!("{} cannot be read: {error}", followed.table());
                false
            }
        }
    }
}

async fn sleep_until(at_ms: u64) {
    let left_ms = at_ms.saturating_sub(clock::now_ms());
    time::sleep(Duration::from_millis(left_ms)).await;
}

/// Waits a moment after a failure, not in step with the other hosts.
pub(super) async fn pause() {
    pause_for(RETRY_PAUSE_MS).await;
}

pub(super) async fn pause_for(least_ms: u64) {
    let pause_ms = least_ms + rand::random_range(0..least_ms / 2);
    time::sleep(Duration::from_millis(pause_ms)).await;
}

/// Time of the last answer of the store, as an age.
pub(super) fn store_age_ms(entry: &Entry) -> u64 {
    clock::now_ms().saturating_sub(entry.view.store_heard_ms())
}
