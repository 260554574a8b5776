//! Leadership of the entry hosts. One entry host, the leader, grants leases of keys to servers,
//! moves keys between servers and records which server holds which keys. Log events, a metric and
//! the table in the store call the leadership the "duty".
//!
//! One row of the store, the leadership row, names the leader. The leader confirms the leadership
//! at short intervals by a conditional write of that row. Another host takes over the leadership if
//! the row stays unchanged for the takeover time while the store answers. A term is the time from a
//! takeover of the leadership to the next takeover; terms are numbered. Writes of assigned ranges
//! are conditional on the version of the leadership row, so the store rejects such a write from a
//! host that is no longer the leader.

mod change;
mod confirmation;
mod predecessor;
mod record;
mod row;
mod takeover;

pub use self::change::{Change, Reassignment};

use std::{
    sync::{
        Mutex as StdMutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{Mutex, Notify, watch},
    time,
};

use self::{
    predecessor::Predecessor,
    row::{LEADERSHIP_KEY, LEADERSHIP_TABLE, LeadershipRow, WrittenRow},
};
use super::{Entry, events::LeadershipEvent};
use crate::{
    clock,
    platform::{
        self,
        store::{Expect, Put, Transaction, TransactionOutcome},
    },
};

/// Timeout of a write of the leadership row. After an outage of the store, the leader must write
/// the row before other hosts have seen the row unchanged for the takeover time, 1.6 s. At its
/// slowest, the store takes 0.5 s for a write.
const CONFIRM_TIMEOUT_MS: u64 = 1_000;
/// Time without a response after which a transaction is sent a second time. The store usually
/// responds within some milliseconds. Requests for keys that move wait for the response.
const HEDGE_AFTER_MS: u64 = 200;
/// Time for which a host that has lost the leadership answers heartbeats from a later leader with
/// the report that it has stopped granting leases.
const STOPPED_REPORT_MS: u64 = 3_000;

/// State of the leadership on this host: the term and confirmations of this host as the leader, and
/// the previous leader.
#[derive(Debug, Default)]
pub struct Leadership {
    /// Number of this host's term while this host is the leader, else 0.
    term: AtomicU64,
    /// Time at which this host sent its last confirmation of the leadership whose own attempt has
    /// changed the leadership row, taken before the call to the store. Only such a confirmation
    /// extends the time in which this host may grant leases.
    confirmed_ms: watch::Sender<u64>,
    /// Requests for a confirmation before the next one is due.
    confirmation_requests: Notify,
    /// Time at which this host sent its last successful write of other rows on condition of the
    /// leadership row, taken before the call to the store. It counts for heartbeats and further
    /// writes, never for grants.
    written_ms: AtomicU64,
    /// Time up to which leaders of earlier terms may have granted leases.
    earlier_leases_until_ms: AtomicU64,
    predecessor: StdMutex<Option<Predecessor>>,
    /// Number of the term in which this host last lost the leadership; 0 if this host has never
    /// been the leader.
    lost_term: AtomicU64,
    /// Time at which this host lost the leadership of the term `lost_term`.
    lost_ms: AtomicU64,
    /// True while this host gives up the leadership, in a planned stop or because it does not reach
    /// the servers. From then on, this host sends no commands to servers, and writes the leadership
    /// row without a leader.
    giving_up: AtomicBool,
    writer: Mutex<Writer>,
}

/// Version of the leadership row, and number of the last confirmation that was written to the row.
/// A task holds the lock on this value during each write to the store that depends on the
/// leadership row, so these writes follow one another.
#[derive(Debug, Default)]
struct Writer {
    row_version: u64,
    confirmation: u64,
}

impl Leadership {
    /// Returns the number of this host's term while this host is the leader, else 0.
    pub fn term(&self) -> u64 {
        self.term.load(Ordering::Relaxed)
    }

    /// Records that another host is the leader in `term`. If this host is the leader of an earlier
    /// term, this host gives up the leadership.
    ///
    /// Returns the earlier term whose leadership this host lost within the last
    /// `STOPPED_REPORT_MS`, so that the caller reports to the new leader that this host grants no
    /// more leases of that term. Until the new leader gets that report, the new leader waits for
    /// the leases of the earlier term to expire.
    pub fn note_other_term(&self, term: u64) -> Option<u64> {
        let own = self.term();
        if own >= term {
            return None;
        }
        if own > 0 {
            self.lose("another host is the leader in a later term");
        }
        let lost_term = self.lost_term.load(Ordering::Relaxed);
        let lost_ms = self.lost_ms.load(Ordering::Relaxed);
        let is_recent = clock::now_ms() < lost_ms + STOPPED_REPORT_MS;
        (lost_term > 0 && lost_term < term && is_recent).then_some(lost_term)
    }

    /// Ends the leadership of this host, if it is the leader, and logs the `reason`.
    fn lose(&self, reason: &'static str) {
        let term = self.term.swap(0, Ordering::Relaxed);
        if term > 0 {
            self.lost_ms.store(clock::now_ms(), Ordering::Relaxed);
            self.lost_term.store(term, Ordering::Relaxed);
            LeadershipEvent::DutyLost { term, reason }.log();
        }
    }
}

impl Entry {
    /// Reads the leadership row and its version from the store. Returns `Some((None, 0))` if the
    /// row does not exist yet, and `None` if the store did not answer or the row cannot be decoded.
    async fn read_leadership_row(&self) -> Option<(Option<LeadershipRow>, u64)> {
        let rows = match self.store.table(LEADERSHIP_TABLE).await {
            Ok(rows) => rows.rows,
            Err(error) => {
                log::debug!("cannot read the leadership row: {error}");
                return None;
            }
        };
        let Some(row) = rows.into_iter().find(|row| row.key == LEADERSHIP_KEY) else {
            return Some((None, 0));
        };
        match serde_json::from_slice(&row.value) {
            Ok(leadership) => Some((Some(leadership), row.version)),
            Err(error) => {
                log::warn!("cannot decode the leadership row: {error}");
                None
            }
        }
    }

    /// Runs a transaction, and sends it a second time if the store has not responded within
    /// [`HEDGE_AFTER_MS`], because a response may be lost. The conditions of the transaction let it
    /// take effect only once, so the second one meets a conflict with its own rows then.
    async fn transact_hedged(
        &self,
        transaction: &Transaction<'_>,
        timeout_ms: u64,
    ) -> platform::Result<TransactionOutcome> {
        let hedge = async {
            time::sleep(Duration::from_millis(HEDGE_AFTER_MS)).await;
            let left_ms = timeout_ms.saturating_sub(HEDGE_AFTER_MS);
            self.store.transact_within(transaction, left_ms).await
        };
        tokio::select! {
            written = self.store.transact_within(transaction, timeout_ms) => written,
            written = hedge => written,
        }
    }

    /// Writes the leadership row if the stored row still has `version`. Returns `None` if the write
    /// failed or its outcome is unknown.
    async fn write_leadership_row(&self, row: &LeadershipRow, version: u64) -> Option<WrittenRow> {
        let value = serde_json::to_vec(row).ok()?;
        let transaction = Transaction {
            expect: vec![Expect {
                table: LEADERSHIP_TABLE,
                key: LEADERSHIP_KEY,
                version,
            }],
            puts: vec![Put {
                table: LEADERSHIP_TABLE,
                key: LEADERSHIP_KEY,
                value: &value,
            }],
            ..Transaction::default()
        };
        let written = self.transact_hedged(&transaction, CONFIRM_TIMEOUT_MS);
        match written.await {
            Ok(TransactionOutcome::Done { version }) => Some(WrittenRow {
                version,
                is_by_earlier_attempt: false,
            }),
            Ok(TransactionOutcome::Conflict { rows }) => {
                // An earlier attempt of this write may have taken effect although its response was
                // lost.
                let found = rows.into_iter().find(|r| r.key == LEADERSHIP_KEY)?;
                (found.value == value).then_some(WrittenRow {
                    version: found.version,
                    is_by_earlier_attempt: true,
                })
            }
            Err(error) => {
                log::debug!("cannot write the leadership row: {error}");
                None
            }
        }
    }
}
