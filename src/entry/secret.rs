//! Distribution of the shared secret that authenticates datagrams between hosts. The leader
//! generates the secret, replaces it at intervals, and stores it; all hosts read it from the store.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::{
    Entry,
    seal::SecretRow,
    updates::{
        followed::FollowedTable,
        own_rows::{SECRET_KEY, TABLE},
    },
};
use crate::{
    clock,
    platform::store::{Expect, Put, Row, Transaction, TransactionOutcome},
};

/// Interval at which the leader checks whether the shared secret is missing or due for rotation.
const SECRET_CHECK_MS: u64 = 300;

impl Entry {
    /// Makes this host seal and open datagrams with the secret in a row that was read from the
    /// store. Logs an error and keeps the known secret if the row is invalid.
    pub(super) fn apply_secret(&self, row: &Row) {
        if row.removed {
            return;
        }
        if let Err(error) = self.peers.seal.set(&row.value, row.version) {
            log::error!("the stored secret for datagrams is invalid: {error}");
        }
    }

    /// While this host is the leader, generates and stores a shared secret whenever no secret is
    /// known or the known secret is due for rotation.
    pub(super) async fn maintain_secret(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(SECRET_CHECK_MS)).await;
            if !self.leadership.is_confirmed() {
                continue;
            }
            let known = self.peers.seal.row();
            let fresh = |(row, _): &(SecretRow, u64)| !row.is_due_for_rotation(clock::unix_ms());
            if !known.as_ref().is_some_and(fresh) {
                self.store_new_secret(known.map_or(0, |(_, version)| version))
                    .await;
            }
        }
    }

    /// Generates a secret and stores it if the stored row still has `version`, so that two hosts do
    /// not replace the same secret.
    async fn store_new_secret(&self, version: u64) {
        let row = SecretRow::generate(clock::unix_ms());
        let Ok(value) = serde_json::to_vec(&row) else {
            return;
        };
        let transaction = Transaction {
            expect: vec![Expect {
                table: TABLE,
                key: SECRET_KEY,
                version,
            }],
            puts: vec![Put {
                table: TABLE,
                key: SECRET_KEY,
                value: &value,
            }],
            ..Transaction::default()
        };
        match self.store.transact(&transaction).await {
            Ok(TransactionOutcome::Done { version }) => {
                if let Err(error) = self.peers.seal.set(&value, version) {
                    log::error!("the new secret for datagrams is invalid: {error}");
                }
                self.freshness
                    .versions
                    .note_change(FollowedTable::Own, version);
            }
            Ok(TransactionOutcome::Conflict { rows }) => self.apply_own(&rows),
            Err(error) => log::debug!("the new secret for datagrams is not stored yet: {error}"),
        }
    }
}
