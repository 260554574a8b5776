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
mod record;
mod takeover;

pub use self::change::{Change, Reassignment};

use std::{
    net::SocketAddr,
    sync::{
        Mutex as StdMutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{
    sync::{Mutex, Notify, watch},
    time,
};

use super::{Entry, decide::lease_expiry, events::Event, peers::message::Message};
use crate::{
    clock,
    platform::{
        self,
        store::{Expect, Put, Transaction, TransactionOutcome},
    },
};

/// Table of the store that contains only the leadership row. The row changes often, and no host
/// follows it by a change feed, so the table is separate from the tables that hosts follow.
const LEADERSHIP_TABLE: &str = "ashroad_duty";
const LEADERSHIP_KEY: &str = "leases";
/// Maximum age of the last successful confirmation at which the leader still sends heartbeats to
/// the other hosts. Two confirmations in a row may fail before this age is reached. A leader that
/// has lost its own connection to the store cannot record moves of keys, so another host must take
/// over the leadership soon. With a maximum age of 3 s, another host took over the leadership only
/// 5.7 s after the leader had lost the store, and the keys of a lost zone were not moved to other
/// servers for that long.
const CONFIRMED_MS: u64 = 1_900;
/// Timeout of a write of the leadership row. After an outage of the store, the leader must write
/// the row before other hosts have seen the row unchanged for the takeover time, 1.6 s. At its
/// slowest, the store takes 0.5 s for a write.
const CONFIRM_TIMEOUT_MS: u64 = 1_000;
/// Time without a response after which a transaction is sent a second time. The store usually
/// responds within some milliseconds. Requests for keys that move wait for the response.
const HEDGE_AFTER_MS: u64 = 200;
/// Minimum pause between two confirmations. Grants over many new connections share a confirmation.
const CONFIRM_PAUSE_MIN_MS: u64 = 50;
/// Maximum time for which a grant waits for a confirmation of the leadership. A slow store takes
/// 0.5 s for one.
const CONFIRMATION_WAIT_MS: u64 = 1_000;
/// Time for which a host that has lost the leadership answers heartbeats from a later leader with
/// the report that it has stopped granting leases.
const STOPPED_REPORT_MS: u64 = 3_000;

/// Content of the leadership row, which names the leader. The content is stored as JSON in the
/// table `ashroad_duty`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeadershipRow {
    /// Incarnation of the host process that is the leader; 0 after the leader has given up the
    /// leadership.
    #[serde(rename = "holder")]
    leader_incarnation: u64,
    /// Number of the leader's term. Each takeover of the leadership adds 1, so a later term has a
    /// higher number.
    term: u64,
    /// Number of the confirmation within the term. This number makes the content of the row differ
    /// from one confirmation to the next.
    confirmation: u64,
    /// Address at which the leader receives datagrams and queries from other hosts; `None` in rows
    /// that were written by a version of ashroad without this field.
    #[serde(default)]
    address: Option<SocketAddr>,
    /// Time after the write of this row, in milliseconds, in which leaders of earlier terms may
    /// still grant leases.
    #[serde(default)]
    earlier_ms: u64,
}

/// Previous leader. The current leader waits for the expiry of the leases that the previous leader
/// may still grant. The wait becomes shorter once the previous leader's process is known to have
/// ended or to have stopped granting leases.
#[derive(Clone, Copy, Debug)]
struct Predecessor {
    incarnation: u64,
    term: u64,
    address: SocketAddr,
    /// Time up to which the leaders of terms before the predecessor's term may grant leases.
    before_predecessor_until_ms: u64,
}

/// Leadership row as this host has written it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct WrittenRow {
    version: u64,
    /// True if an earlier attempt of the same write has taken effect, whose response was lost.
    is_by_earlier_attempt: bool,
}

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

    /// Returns true if this host may grant leases: this host is the leader and does not give up the
    /// leadership, and it sent its last successful confirmation of the leadership to the store less
    /// than `outage_ms` ago.
    pub fn may_lease(&self, outage_ms: u64) -> bool {
        let confirmed_ms = *self.confirmed_ms.borrow();
        let gives_up = self.giving_up.load(Ordering::Relaxed);
        self.term() > 0
            && !gives_up
            && lease_expiry::may_grant(confirmed_ms, outage_ms, clock::now_ms())
    }

    /// Returns true if this host is the leader and its last successful confirmation, or another
    /// write on condition of the leadership row, is recent enough (`CONFIRMED_MS`) for this host to
    /// send heartbeats and to write the other rows of the leader.
    pub fn is_confirmed(&self) -> bool {
        let written_ms = self.written_ms.load(Ordering::Relaxed);
        let has_recent_write = clock::now_ms() < written_ms + CONFIRMED_MS;
        self.may_lease(CONFIRMED_MS) || self.term() > 0 && has_recent_write
    }

    /// Waits until this host has sent a successful confirmation of the leadership after `since_ms`,
    /// for at most [`CONFIRMATION_WAIT_MS`]. Requests a confirmation if there is none yet. Returns
    /// false after the timeout.
    pub async fn await_confirmation_after(&self, since_ms: u64) -> bool {
        let mut confirmed_ms = self.confirmed_ms.subscribe();
        let is_later =
            |confirmed_ms: &u64| lease_expiry::is_confirmed_after(*confirmed_ms, since_ms);
        if is_later(&confirmed_ms.borrow()) {
            return true;
        }
        self.confirmation_requests.notify_one();
        let wait = Duration::from_millis(CONFIRMATION_WAIT_MS);
        matches!(
            time::timeout(wait, confirmed_ms.wait_for(is_later)).await,
            Ok(Ok(_))
        )
    }

    /// Waits until a confirmation is requested, but at least [`CONFIRM_PAUSE_MIN_MS`].
    async fn confirmation_requested(&self) {
        time::sleep(Duration::from_millis(CONFIRM_PAUSE_MIN_MS)).await;
        self.confirmation_requests.notified().await;
    }

    /// Returns the time up to which leaders of earlier terms may have granted leases.
    pub fn earlier_leases_until_ms(&self) -> u64 {
        self.earlier_leases_until_ms.load(Ordering::Relaxed)
    }

    /// Returns the remaining time, in milliseconds, in which leaders of earlier terms may still
    /// grant leases.
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
    /// previous leader. The caller knows that the host of the previous leader runs another process,
    /// or that the previous leader has reported that it grants no more leases. The leases of still
    /// earlier leaders must expire nevertheless.
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
    /// leader ran on that host under another incarnation, the process of the previous leader has
    /// ended, and this host stops waiting for the leases of the previous leader to expire.
    pub fn note_process(&self, address: SocketAddr, incarnation: u64) {
        self.predecessor_ended(|p| p.address == address && p.incarnation != incarnation);
    }

    /// Records the report of the host at `address` that it grants no more leases as the leader of
    /// `term`.
    pub fn note_stopped(&self, address: SocketAddr, term: u64) {
        self.predecessor_ended(|p| p.address == address && p.term == term);
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
        let lately = clock::now_ms() < lost_ms + STOPPED_REPORT_MS;
        (lost_term > 0 && lost_term < term && lately).then_some(lost_term)
    }

    /// Ends the leadership of this host, if it is the leader, and logs the `reason`.
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

    /// Confirms the leadership in the store. If the store stops answering during the call, this
    /// host abandons the call and repeats it as soon as the store answers again, so that the
    /// confirmation arrives before another host takes over the leadership.
    async fn confirm_leadership_through_outages(&self) {
        loop {
            tokio::select! {
                () = self.confirm_leadership() => return,
                () = self.view.wait_for_outage_end() => {}
            }
        }
    }

    /// Confirms the leadership by a write of the leadership row. If the write fails, reads the row,
    /// and gives up the leadership if the row names another process or term.
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
        if let Some(written) = self.write_leadership_row(&next, writer.row_version).await {
            writer.row_version = written.version;
            writer.confirmation += 1;
            // A successor counts from the time at which it first read the row, so a row that was in
            // the store before this attempt does not extend the time in which this host may grant.
            if !written.is_by_earlier_attempt {
                self.leadership.confirmed_ms.send_replace(sent_ms);
            }
            self.note_store_response(clock::now_ms());
            return;
        }
        // The write may have failed, or have taken effect without a response, or another host may
        // have written the row. Reading the row shows whether this host is still the leader.
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

    /// Gives up the leadership for the `reason`. The leadership row then names no leader, so another
    /// host takes over the leadership without waiting for the takeover time.
    pub(super) async fn give_up_leadership(&self, reason: &'static str) {
        if self.leadership.term() == 0 {
            return;
        }
        self.leadership.giving_up.store(true, Ordering::Relaxed);
        let term = self.leadership.term();
        self.confirm_leadership().await;
        self.leadership.lose(reason);
        self.peers.send_to_all(Message::LeadershipReleased { term });
    }
}
