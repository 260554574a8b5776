//! Registration of this host in the store. A host registers by writing its host row, by which the
//! other hosts find it.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time;

use super::{
    Entry,
    join::host_key,
    pauses::pause_for,
    updates::own_rows::{HOSTS_PARTITION, HostRow, TABLE},
};
use crate::platform::store::{Expect, Put, Row, Transaction, TransactionOutcome};

/// Maximum random delay before a host registers. It spreads the registrations of hosts that start
/// together, since the store accepts only a few hundred writes per second.
const REGISTER_JITTER_MS: u64 = 2_000;
/// Pause after the first failed attempt to register. The pause doubles with each further failed
/// attempt, up to [`RETRY_PAUSE_MAX_MS`].
const RETRY_PAUSE_MS: u64 = 300;
/// Maximum pause between two attempts to register.
const RETRY_PAUSE_MAX_MS: u64 = 2_400;

impl Entry {
    /// Writes the host row of this host, and retries until the row is stored. The write is
    /// conditional, so the store returns the row of a previous process before the row is replaced.
    /// Such a row shows that this process may resume the leadership of the previous process.
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
        let mut pause_ms = RETRY_PAUSE_MS;
        loop {
            let transaction = Transaction {
                part: HOSTS_PARTITION,
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
                        // An earlier attempt to write this row took effect, but its response was
                        // lost.
                        break;
                    }
                    version = found.as_ref().map_or(0, |found| found.version);
                    self.note_found_row(found.as_ref());
                }
                Err(error) => {
                    log::debug!("cannot register this host, retrying: {error}");
                    if self.register_through_peer(&row).await {
                        break;
                    }
                    pause_for(pause_ms).await;
                    pause_ms = (pause_ms * 2).min(RETRY_PAUSE_MAX_MS);
                }
            }
        }
        self.registered.store(true, Ordering::Relaxed);
    }

    /// Returns true once the host row of this host names this process. Only then may this process
    /// take over the leadership, because a later leader concludes from a host row with another
    /// incarnation that this process has ended.
    pub(super) fn is_registered(&self) -> bool {
        self.registered.load(Ordering::Relaxed)
    }

    /// Waits a random time, which spreads the registrations of hosts that start together. Early
    /// hosts, which read the store before the other hosts do, and restarted hosts register at once.
    /// The row of a restarted host shows that its previous process has ended, and the leader may be
    /// waiting for this row.
    async fn wait_to_register(&self) {
        if self.is_early() {
            return;
        }
        let spread_ms = rand::random_range(0..REGISTER_JITTER_MS);
        tokio::select! {
            () = time::sleep(Duration::from_millis(spread_ms)) => {}
            () = self.wait_for_former_process() => {}
        }
    }

    /// Waits until the host rows show that a previous process has run on this host. Never completes
    /// if the host rows show no such process.
    async fn wait_for_former_process(&self) {
        if !self.view.hosts_known().await || !self.view.had_former_process() {
            std::future::pending().await
        }
    }

    fn note_found_row(&self, found: Option<&Row>) {
        let Some(found) = found else { return };
        match serde_json::from_slice::<HostRow>(&found.value) {
            Ok(_) => self.view.note_former_process(),
            Err(error) => log::warn!("cannot decode the previous row of this host: {error}"),
        }
    }
}
