//! Keeps the requests in quarantine in the store, so that they outlast the loss of all hosts.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time;

use super::lock;
use crate::{
    clock,
    entry::{
        Entry,
        digest::RequestDigest,
        news::{
            followed::Followed,
            own_rows::{QUARANTINE_KEY, TABLE},
        },
    },
    platform::store::{Expect, Put, Row, Transaction, TransactionOutcome},
};

/// Interval at which the holder compares what is in quarantine with what the store has.
const LOOK_EVERY_MS: u64 = 1_000;

/// What is in quarantine by the store.
#[derive(Debug, Default)]
pub(super) struct Stored {
    digests: Vec<RequestDigest>,
    version: u64,
}

/// Row of requests in quarantine.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct QuarantineRow {
    digests: Vec<RequestDigest>,
}

impl Entry {
    /// Takes in the row of requests in quarantine.
    pub(in crate::entry) fn apply_quarantine(&self, row: &Row) {
        let digests = if row.removed {
            Vec::new()
        } else {
            match serde_json::from_slice::<QuarantineRow>(&row.value) {
                Ok(known) => known.digests,
                Err(error) => {
                    log::warn!("the requests in quarantine cannot be read: {error}");
                    Vec::new()
                }
            }
        };
        {
            let mut stored = lock(&self.crashes.stored);
            if row.version <= stored.version {
                return;
            }
            *stored = Stored {
                digests: digests.clone(),
                version: row.version,
            };
        }
        self.put_in_quarantine(&digests, "the store has it");
    }

    /// Keeps the requests in quarantine in the store, while this host has the duty, so that they outlast
    /// the loss of all hosts.
    pub(in crate::entry) async fn keep_quarantine_stored(self: Arc<Self>) {
        loop {
            let pause = Duration::from_millis(LOOK_EVERY_MS);
            // Either way it is compared.
            if time::timeout(pause, self.crashes.quarantined.notified())
                .await
                .is_ok()
            {
                log::debug!("a request is in quarantine");
            }
            if self.duty.is_confirmed() && self.view.are_hosts_known() {
                self.store_quarantine().await;
            }
        }
    }

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
                log::error!("the requests in quarantine cannot be encoded: {error}");
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
                *lock(&self.crashes.stored) = Stored {
                    digests: row.digests,
                    version,
                };
                self.freshness.note_change(Followed::Own, version);
            }
            Ok(TransactionOutcome::Conflict { rows }) => self.apply_own(&rows),
            Err(error) => log::debug!("the requests in quarantine are not stored yet: {error}"),
        }
    }
}
