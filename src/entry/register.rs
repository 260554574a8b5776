//! The row by which other hosts find this one.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time;

use super::{
    Entry,
    join::host_key,
    news::own_rows::{HOSTS_PART, HostRow, TABLE},
    watch::pause_for,
};
use crate::platform::store::{Expect, Put, Row, Transaction, TransactionOutcome};

/// Time over which hosts that start spread their registration: the store takes some hundred writes a second.
const SPREAD_MS: u64 = 2_000;
/// Pauses after a registration that the store did not take, doubled each time.
const PAUSE_MS: u64 = 300;
const PAUSE_MAX_MS: u64 = 2_400;

impl Entry {
    /// Writes this host's row, until that has succeeded. The row of the process that ran here before is seen first: it
    /// tells that this process may resume the duty.
    pub(super) async fn register(self: Arc<Self>) {
        let key = host_key(self.settings.listen.peers);
        let row = HostRow {
            incarnation: self.incarnation,
            availability_zone: self.settings.availability_zone.clone(),
            processor_share: self.settings.processor_share,
        };
        let Ok(value) = serde_json::to_vec(&row) else {
            return;
        };
        self.wait_to_register().await;
        let mut version = 0;
        let mut pause_ms = PAUSE_MS;
        loop {
            let transaction = Transaction {
                part: HOSTS_PART,
                expect: vec![Expect {
                    table: TABLE,
                    key: &key,
                    version,
                }],
                puts: vec![Put {
                    table: TABLE,
                    key: &key,
                    value: &value,
                }],
                ..Transaction::default()
            };
            match self.store.transact(&transaction).await {
                Ok(TransactionOutcome::Done { .. }) => break,
                Ok(TransactionOutcome::Conflict { rows }) => {
                    let found = rows.into_iter().find(|found| found.key == key);
                    if found.as_ref().is_some_and(|found| found.value == value) {
                        // An earlier try whose answer was lost.
                        break;
                    }
                    version = found.as_ref().map_or(0, |found| found.version);
                    self.note_found_row(found.as_ref());
                }
                Err(error) => {
                    log::debug!("this host is not registered yet: {error}");
                    if self.is_registered_by_other(&row).await {
                        break;
                    }
                    pause_for(pause_ms).await;
                    pause_ms = (pause_ms * 2).min(PAUSE_MAX_MS);
                }
            }
        }
        self.registered.store(true, Ordering::Relaxed);
    }

    /// True once this process stands in its host's row. Only then may it take the duty: a later holder takes a row with
    /// another process for proof that this one has ended.
    pub(super) fn is_registered(&self) -> bool {
        self.registered.load(Ordering::Relaxed)
    }

    /// Spreads the registrations of new hosts. One that was started again registers at once: its row shows that the
    /// process before has ended, for which the others may wait.
    async fn wait_to_register(&self) {
        if self.is_early() {
            return;
        }
        let spread_ms = rand::random_range(0..SPREAD_MS);
        tokio::select! {
            () = time::sleep(Duration::from_millis(spread_ms)) => {}
            () = self.former_process_known() => {}
        }
    }

    /// Returns once it is known that another process has run on this host before.
    async fn former_process_known(&self) {
        if !self.view.hosts_known().await || !self.view.had_former_process() {
            std::future::pending().await
        }
    }

    fn note_found_row(&self, found: Option<&Row>) {
        let Some(found) = found else { return };
        match serde_json::from_slice::<HostRow>(&found.value) {
            Ok(_) => self.view.note_former_process(),
            Err(error) => log::warn!("this host's former row cannot be read: {error}"),
        }
    }
}
