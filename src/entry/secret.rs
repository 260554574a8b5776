//! Keeps the secret that hosts share: the holder of the duty makes it, all hosts read it.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::{
    Entry,
    news::{
        followed::Followed,
        own_rows::{SECRET_KEY, TABLE},
    },
    seal::SecretRow,
};
use crate::{
    clock,
    platform::store::{Expect, Put, Row, Transaction, TransactionOutcome},
};

/// Interval at which the holder of the duty looks at the secret's age.
const SECRET_LOOK_MS: u64 = 300;

impl Entry {
    /// Takes a stored secret into use.
    pub(super) fn apply_secret(&self, row: &Row) {
        if row.removed {
            return;
        }
        if let Err(error) = self.peers.seal.set(&row.value, row.version) {
            log::error!("the hosts' secret cannot be used: {error}");
        }
    }

    /// Makes the secret that hosts share, and another one once it is old, while this host has the
    /// duty.
    pub(super) async fn keep_secret(self: Arc<Self>) {
        loop {
            time::sleep(Duration::from_millis(SECRET_LOOK_MS)).await;
            if !self.duty.is_confirmed() {
                continue;
            }
            let known = self.peers.seal.row();
            let fresh = |(row, _): &(SecretRow, u64)| !row.is_old(clock::unix_ms());
            if !known.as_ref().is_some_and(fresh) {
                self.make_secret(known.map_or(0, |(_, version)| version))
                    .await;
            }
        }
    }

    async fn make_secret(&self, version: u64) {
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
                    log::error!("the new secret cannot be used: {error}");
                }
                self.freshness.note_change(Followed::Own, version);
            }
            Ok(TransactionOutcome::Conflict { rows }) => self.apply_own(&rows),
            Err(error) => log::debug!("the hosts' secret is not stored yet: {error}"),
        }
    }
}
