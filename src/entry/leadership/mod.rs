//! Leadership: the role of the one entry host, the leader, that grants leases to servers, moves
//! keys between servers and records which server holds which keys. The outer names of the
//! leadership (events, the metric and the table in the store) call it the "duty".
//!
//! One row of the store, the leadership row, names the leader. The leader confirms the leadership
//! at short intervals by a conditional write of that row. Another host takes over the leadership if
//! the row stays unchanged for the takeover time although the store answers. All writes of assigned
//! ranges are conditional on the version of the leadership row, so a host that is no longer the
//! leader cannot record anything.

mod change;
mod record;
mod takeover;

pub use self::change::{Change, Reassignment};

use std::{
    net::SocketAddr,
    sync::{
        Mutex as StdMutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use serde::{Deserialize, Serialize};
use tokio::sync::Mutex;

use super::{Entry, events::Event};
use crate::{
    clock,
    platform::store::{Expect, Put, Transaction, TransactionOutcome},
};

/// Table of the leadership row. The row has a table of its own because it changes often and no host
/// follows it by a change feed.
const LEADERSHIP_TABLE: &str = "ashroad_duty";
const LEADERSHIP_KEY: &str = "leases";
/// Age of the last confirmation up to which the leader tells other hosts that it is the leader. Two
/// confirmations in a row may fail before this age is reached. A leader that has lost its own
/// connection to the store can record no move. With 3 s, another host took over the leadership only
/// 5.7 s after the leader had lost the store, and the keys of a lost zone waited for that long.
const CONFIRMED_MS: u64 = 1_900;
/// Timeout of a write of the leadership row. When the store returns from an outage, the leader must
/// have written the row before other hosts have seen it unchanged for the takeover time, 1.6 s. At
/// its slowest, the store takes 0.5 s for a write.
const CONFIRM_TIMEOUT_MS: u64 = 1_000;
/// Time after the loss of the leadership in which a host reports to the new leader that it has
/// stopped granting leases.
const STOPPED_REPORT_MS: u64 = 3_000;

/// Content of the leadership row, stored as JSON in a table that operators see as `ashroad_duty`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeadershipRow {
    /// Incarnation of the host process that is the leader; 0 after the leader has given up the
    /// leadership.
    #[serde(rename = "holder")]
    leader_incarnation: u64,
    /// Number of the leader's term. Each takeover of the leadership adds 1, so a higher number is
    /// later.
    term: u64,
    /// Number of the confirmation within the term. This number makes the content of the row differ
    /// from one confirmation to the next.
    confirmation: u64,
    /// Peer address of the leader; `None` in rows of versions without this field.
    #[serde(default)]
    address: Option<SocketAddr>,
    /// Time after this write in which leaders of earlier terms may still grant leases.
    #[serde(default)]
    earlier_ms: u64,
}

/// Previous leader. The current leader must wait for the leases that the previous leader may still
/// grant, until the previous leader's process is known to have ended or to have stopped granting
/// leases.
#[derive(Clone, Copy, Debug)]
struct Predecessor {
    incarnation: u64,
    term: u64,
    address: SocketAddr,
    /// Time up to which leaders before this predecessor may have granted leases.
    before_predecessor_until_ms: u64,
}

/// State of the leadership on this host: the term and confirmations of this host as the leader, and
/// the previous leader.
#[derive(Debug, Default)]
pub struct Leadership {
    /// Number of this host's term while it is the leader, else 0.
    term: AtomicU64,
    /// Time at which the last successful confirmation was sent, taken before the call.
    confirmed_ms: AtomicU64,
    /// Time up to which leaders of earlier terms may have granted leases.
    earlier_leases_until_ms: AtomicU64,
    predecessor: StdMutex<Option<Predecessor>>,
    /// Number of the last term in which this host lost the leadership; 0 if there was none.
    lost_term: AtomicU64,
    /// Time at which this host lost the leadership in the term `lost_term`.
    lost_ms: AtomicU64,
    /// True once this host gives up the leadership in a planned stop. The next write of the
    /// leadership row then names no leader.
    giving_up: AtomicBool,
    writer: Mutex<Writer>,
}

/// Version and confirmation number of the last write of the leadership row. The lock is held during
/// each write that depends on the row.
#[derive(Debug, Default)]
struct Writer {
    row_version: u64,
    confirmation: u64,
}

impl Leadership {
    /// Returns the number of this host's term while it is the leader, else 0.
    pub fn term(&self) -> u64 {
        self.term.load(Ordering::Relaxed)
    }

    /// Returns true if this host may grant leases: it is the leader, and confirmed the leadership
    /// in the store less than `outage_ms` ago.
    pub fn may_lease(&self, outage_ms: u64) -> bool {
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        self.term() > 0 && clock::now_ms() < confirmed_ms + outage_ms
    }

    /// Returns true if this host is the leader and its last confirmation is recent enough to tell
    /// other hosts so.
    pub fn is_confirmed(&self) -> bool {
        self.may_lease(CONFIRMED_MS)
    }

    /// Returns the time up to which leaders of earlier terms may have granted leases.
    pub fn earlier_leases_until_ms(&self) -> u64 {
        self.earlier_leases_until_ms.load(Ordering::Relaxed)
    }

    /// Returns the remaining time in which leaders of earlier terms may still grant leases.
    fn earlier_ms(&self) -> u64 {
        self.earlier_leases_until_ms()
            .saturating_sub(clock::now_ms())
    }

    fn predecessor(&self) -> MutexGuard<'_, Option<Predecessor>> {
        self.predecessor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Shortens the wait for the leases of the previous leader if `is_over` returns true for the
    /// previous leader: its host runs another process, or the previous leader has reported that it
    /// has stopped granting leases.
    fn predecessor_ended(&self, is_over: impl FnOnce(&Predecessor) -> bool) {
        let mut predecessor = self.predecessor();
        let Some(over) = predecessor.filter(|p| is_over(p)) else {
            return;
        };
        *predecessor = None;
        drop(predecessor);
        let until_ms = over.before_predecessor_until_ms.max(clock::now_ms());
        self.earlier_leases_until_ms
            .fetch_min(until_ms, Ordering::Relaxed);
        Event::PredecessorEnded { term: over.term }.log();
    }

    /// Records the incarnation of the process that runs on the host at `address`. If the previous
    /// leader ran on that host under another incarnation, its process has ended.
    pub fn note_process(&self, address: SocketAddr, incarnation: u64) {
        self.predecessor_ended(|p| p.address == address && p.incarnation != incarnation);
    }

    /// Records the report of the host at `address` that it has stopped granting leases of `term`.
    pub fn note_stopped(&self, address: SocketAddr, term: u64) {
        self.predecessor_ended(|p| p.address == address && p.term == term);
    }

    /// Records that another host is the leader in `term`. If `term` is later than this host's own
    /// term, this host gives up the leadership.
    ///
    /// Returns the term in which this host lost the leadership, if that was within the last
    /// `STOPPED_REPORT_MS`. The new leader waits for the leases of that term until it knows that
    /// this host grants them no longer.
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
        let lately = clock::now_ms() < lost_ms + STOPPED_REPORT_MS;
        (lost_term > 0 && lost_term < term && lately).then_some(lost_term)
    }

    fn lose(&self, reason: &'static str) {
        let term = self.term.swap(0, Ordering::Relaxed);
        if term > 0 {
            self.lost_ms.store(clock::now_ms(), Ordering::Relaxed);
            self.lost_term.store(term, Ordering::Relaxed);
            Event::DutyLost { term, reason }.log();
        }
    }
}

impl Entry {
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

    /// Writes the leadership row if it still has `version`. Returns the new version, or `None` if
    /// the write failed or its outcome is unknown.
    async fn write_leadership_row(&self, row: &LeadershipRow, version: u64) -> Option<u64> {
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
        let written = self.store.transact_within(&transaction, CONFIRM_TIMEOUT_MS);
        match written.await {
            Ok(TransactionOutcome::Done { version }) => Some(version),
            Ok(TransactionOutcome::Conflict { rows }) => {
                // An earlier attempt may have taken effect although its response was lost.
                let found = rows.into_iter().find(|r| r.key == LEADERSHIP_KEY)?;
                (found.value == value).then_some(found.version)
            }
            Err(error) => {
                log::debug!("cannot write the leadership row: {error}");
                None
            }
        }
    }

    /// Confirms the leadership. If the store stops answering during the call and then returns, the
    /// call is abandoned and repeated at once, so that the confirmation arrives before other hosts
    /// take over the leadership.
    async fn confirm_leadership_through_outages(&self) {
        loop {
            tokio::select! {
                () = self.confirm_leadership() => return,
                () = self.view.wait_for_outage_end() => {}
            }
        }
    }

    async fn confirm_leadership(&self) {
        let sent_ms = clock::now_ms();
        let mut writer = self.leadership.writer.lock().await;
        let term = self.leadership.term();
        if term == 0 {
            return;
        }
        let releasing = self.leadership.giving_up.load(Ordering::Relaxed);
        let next = LeadershipRow {
            leader_incarnation: if releasing { 0 } else { self.incarnation },
            term,
            confirmation: writer.confirmation + 1,
            address: Some(self.settings.listen.peers),
            earlier_ms: self.leadership.earlier_ms(),
        };
        if let Some(version) = self.write_leadership_row(&next, writer.row_version).await {
            writer.row_version = version;
            writer.confirmation += 1;
            self.leadership
                .confirmed_ms
                .store(sent_ms, Ordering::Relaxed);
            self.note_store_response(clock::now_ms());
            return;
        }
        // The write may have failed, taken effect without a response, or met a row that another
        // host has written.
        let Some((Some(row), version)) = self.read_leadership_row().await else {
            return;
        };
        if row.leader_incarnation != next.leader_incarnation || row.term != term {
            self.leadership.lose("another host has taken it");
            return;
        }
        writer.row_version = version;
        writer.confirmation = writer.confirmation.max(row.confirmation);
    }

    /// Gives up the leadership during a planned stop of this host by clearing the leader in the
    /// leadership row, so that another host takes over the leadership at once.
    pub(super) async fn give_up_leadership(&self) {
        if self.leadership.term() == 0 {
            return;
        }
        self.leadership.giving_up.store(true, Ordering::Relaxed);
        self.confirm_leadership().await;
        self.leadership.lose("planned stop");
    }
}
