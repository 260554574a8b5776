//! Keeps the quarantined requests in the store, so that the quarantine survives the loss of all
//! hosts.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time;

use super::lock;
use crate::{
    clock,
    entry::{
        Entry,
        digest::RequestDigest,
        updates::{
            followed::FollowedTable,
            own_rows::{QUARANTINE_KEY, TABLE},
        },
    },
    platform::store::{Expect, Put, Row, Transaction, TransactionOutcome},
};

/// Interval at which the leader compares the requests that it quarantines with the row in the
/// store.
const STORE_CHECK_INTERVAL_MS: u64 = 1_000;

/// Quarantined requests as last read from or written to the store, and the version of their row.
#[derive(Debug, Default)]
pub(super) struct StoredQuarantine {
    digests: Vec<RequestDigest>,
    version: u64,
}

/// Row of the store that lists the quarantined requests, written by the leader and read by all
/// hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct QuarantineRow {
    digests: Vec<RequestDigest>,
}

impl Entry {
    /// Quarantines the requests of a row that was read from the store, unless this host already
    /// knows this or a later version of the row.
    pub(in crate::entry) fn apply_quarantine(&self, row: &Row) {
        let digests = if row.removed {
            Vec::new()
        } else {
            match serde_json::from_slice::<QuarantineRow>(&row.value) {
                Ok(known) => known.digests,
                Err(error) => {
                    log::warn!("the stored quarantine cannot be decoded: {error}");
                    Vec::new()
                }
            }
        };
        {
            let mut stored = lock(&self.crashes.stored);
            if row.version <= stored.version {
                return;
            }
            *stored = StoredQuarantine {
                digests: digests.clone(),
                version: row.version,
            };
        }
        self.put_in_quarantine(&digests, "the store has it");
    }

    /// Keeps the row of quarantined requests in the store up to date while this host is the leader.
    pub(in crate::entry) async fn keep_quarantine_stored(self: Arc<Self>) {
        loop {
            let pause = Duration::from_millis(STORE_CHECK_INTERVAL_MS);
            // The loop compares the row both after a request was quarantined and after the timeout.
            if time::timeout(pause, self.crashes.quarantined.notified())
                .await
                .is_ok()
            {
                log::debug!("checking the stored quarantine: a request was quarantined");
            }
            if self.leadership.is_confirmed() && self.view.are_hosts_known() {
                self.store_quarantine().await;
            }
        }
    }

    /// Writes the quarantined requests to the store if they differ from the known row. If another
    /// host has changed the row meanwhile, applies the changed row instead.
    async fn store_quarantine(&self) {
        let digests = {
            let mut digests = lock(&self.crashes.quarantine).latest(clock::now_ms());
            digests.sort_unstable();
            digests
        };
        let version = {
            let stored = lock(&self.crashes.stored);
            if stored.digests == digests {
                return;
            }
            stored.version
        };
        let row = QuarantineRow { digests };
        let value = match serde_json::to_vec(&row) {
            Ok(value) => value,
            Err(error) => {
                log::error!("the quarantine cannot be encoded: {error}");
                return;
            }
        };
        let transaction = Transaction {
            expect: vec![Expect {
                table: TABLE,
                key: QUARANTINE_KEY,
                version,
            }],
            puts: vec![Put {
                table: TABLE,
                key: QUARANTINE_KEY,
                value: &value,
            }],
            ..Transaction::default()
        };
        match self.store.transact(&transaction).await {
            Ok(TransactionOutcome::Done { version }) => {
                *lock(&self.crashes.stored) = StoredQuarantine {
                    digests: row.digests,
                    version,
                };
                self.freshness
                    .versions
                    .note_change(FollowedTable::Own, version);
            }
            Ok(TransactionOutcome::Conflict { rows }) => self.apply_own(&rows),
            Err(error) => log::debug!("the quarantine cannot be stored yet: {error}"),
        }
    }
}
