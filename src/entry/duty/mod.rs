//! The duty of giving leases: one host at a time has it, by a row of the store that it confirms
//! under a condition. Another host takes it over when the row stands still while the store
//! answers. All writes of holdings depend on the row, so a holder that was replaced cannot record
//! anything any more.

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

/// Table of the duty's row. It is apart from the other rows, because it changes often and nobody
/// follows it by a feed.
const DUTY_TABLE: &str = "ashroad_duty";
const DUTY_KEY: &str = "leases";
/// Age of the last confirmation up to which a holder tells the others that it has the duty: two of
/// its confirmations may fail. A holder that alone does not reach the store can record no move; with
/// 3 s another one took the duty 5.7 s after the store fell silent for it, while a zone's keys waited.
const CONFIRMED_MS: u64 = 1_900;
/// Time for a write of the duty's row. A store that comes back must be written to before other
/// hosts have seen the row stand still for the time of a takeover, 1.6 s; on its slow days it takes
/// 0.5 s.
const CONFIRM_TIMEOUT_MS: u64 = 1_000;
/// Time for which a host that has lost the duty answers the next holder that it has stopped.
const STOPPED_TOLD_MS: u64 = 3_000;

/// The duty's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct DutyRow {
    /// Process that has the duty; 0 if nobody has.
    holder: u64,
    /// Number of the term; each taking adds one.
    term: u64,
    /// Number of the confirmation, so that each write changes the row.
    confirmation: u64,
    /// Address of the holder for other hosts.
    #[serde(default)]
    address: Option<SocketAddr>,
    /// Time from this write in which holders before this one may still give leases.
    #[serde(default)]
    earlier_ms: u64,
}

/// The holder before this host, whose end would shorten the wait for silent servers.
#[derive(Clone, Copy, Debug)]
struct Predecessor {
    incarnation: u64,
    term: u64,
    address: SocketAddr,
    /// Up to this time the holders before it may have given leases.
    earlier_until_ms: u64,
}

/// This host's part in the duty.
#[derive(Debug, Default)]
pub struct Duty {
    /// Number of this host's term while it has the duty, else 0.
    term: AtomicU64,
    /// Time before which the last confirmation was sent.
    confirmed_ms: AtomicU64,
    /// Up to this time an earlier holder may have given leases.
    predecessors_until_ms: AtomicU64,
    predecessor: StdMutex<Option<Predecessor>>,
    /// Number of the last term that this host has lost, and when.
    lost_term: AtomicU64,
    lost_ms: AtomicU64,
    giving_up: AtomicBool,
    writer: Mutex<Writer>,
}

/// Versions of the rows that the holder writes. Held while a write is under way.
#[derive(Debug, Default)]
struct Writer {
    row_version: u64,
    confirmation: u64,
}

impl Duty {
    /// Number of this host's term while it has the duty, else 0.
    pub fn term(&self) -> u64 {
        self.term.load(Ordering::Relaxed)
    }

    /// True if leases may be given: this host has the duty, and its last confirmation is not older
    /// than `outage_ms`.
    pub fn may_lease(&self, outage_ms: u64) -> bool {
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        self.term() > 0 && clock::now_ms() < confirmed_ms + outage_ms
    }

    /// True if the duty was confirmed lately.
    pub fn is_confirmed(&self) -> bool {
        self.may_lease(CONFIRMED_MS)
    }

    /// Time up to which earlier holders may have given leases.
    pub fn predecessors_until_ms(&self) -> u64 {
        self.predecessors_until_ms.load(Ordering::Relaxed)
    }

    /// Time for which earlier holders may still give leases.
    fn earlier_ms(&self) -> u64 {
        self.predecessors_until_ms().saturating_sub(clock::now_ms())
    }

    fn predecessor(&self) -> MutexGuard<'_, Option<Predecessor>> {
        self.predecessor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that the process at an address is another one than the predecessor, which has ended
    /// therefore, or that the predecessor says that it has stopped.
    fn predecessor_ended(&self, is_over: impl FnOnce(&Predecessor) -> bool) {
        let mut predecessor = self.predecessor();
        let Some(over) = predecessor.filter(|p| is_over(p)) else {
            return;
        };
        *predecessor = None;
        drop(predecessor);
        let until_ms = over.earlier_until_ms.max(clock::now_ms());
        self.predecessors_until_ms
            .fetch_min(until_ms, Ordering::Relaxed);
        Event::PredecessorEnded { term: over.term }.log();
    }

    /// Notes which process a host runs.
    pub fn note_process(&self, address: SocketAddr, incarnation: u64) {
        self.predecessor_ended(|p| p.address == address && p.incarnation != incarnation);
    }

    /// Notes that an earlier holder has stopped giving leases.
    pub fn note_stopped(&self, address: SocketAddr, term: u64) {
        self.predecessor_ended(|p| p.address == address && p.term == term);
    }

    /// Notes that another host has the duty in a term. If that is later than this host's own, this
    /// host stops. The result is the term that it had until lately: the other host waits for the
    /// end of its leases.
    pub fn note_other_term(&self, term: u64) -> Option<u64> {
        let own = self.term();
        if own >= term {
            return None;
        }
        if own > 0 {
            self.lose("a later holder was heard");
        }
        let lost_term = self.lost_term.load(Ordering::Relaxed);
        let lost_ms = self.lost_ms.load(Ordering::Relaxed);
        let lately = clock::now_ms() < lost_ms + STOPPED_TOLD_MS;
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
    async fn read_duty(&self) -> Option<(Option<DutyRow>, u64)> {
        let rows = match self.store.table(DUTY_TABLE).await {
            Ok(rows) => rows.rows,
            Err(error) => {
                log::debug!("the duty's row cannot be read: {error}");
                return None;
            }
        };
        let Some(row) = rows.into_iter().find(|row| row.key == DUTY_KEY) else {
            return Some((None, 0));
        };
        match serde_json::from_slice(&row.value) {
            Ok(duty) => Some((Some(duty), row.version)),
            Err(error) => {
                log::warn!("the duty's row cannot be decoded: {error}");
                None
            }
        }
    }

    /// Writes the duty's row; the new version if that took effect.
    async fn write_duty(&self, row: &DutyRow, version: u64) -> Option<u64> {
        let value = serde_json::to_vec(row).ok()?;
        let transaction = Transaction {
            expect: vec![Expect {
                table: DUTY_TABLE,
                key: DUTY_KEY,
                version,
            }],
            puts: vec![Put {
                table: DUTY_TABLE,
                key: DUTY_KEY,
                value: &value,
            }],
            ..Transaction::default()
        };
        let written = self.store.transact_within(&transaction, CONFIRM_TIMEOUT_MS);
        match written.await {
            Ok(TransactionOutcome::Done { version }) => Some(version),
            Ok(TransactionOutcome::Conflict { rows }) => {
                // An earlier try whose answer was lost may have taken effect.
                let found = rows.into_iter().find(|r| r.key == DUTY_KEY)?;
                (found.value == value).then_some(found.version)
            }
            Err(error) => {
                log::debug!("the duty's row cannot be written: {error}");
                None
            }
        }
    }

    /// Confirms the duty. Calls that a silent store has swallowed are given up as soon as it is
    /// known to be back, and made anew before other hosts take the duty.
    async fn confirm_duty_through_outages(&self) {
        loop {
            tokio::select! {
                () = self.confirm_duty() => return,
                () = self.view.store_lost_and_returned() => {}
            }
        }
    }

    async fn confirm_duty(&self) {
        let sent_ms = clock::now_ms();
        let mut writer = self.duty.writer.lock().await;
        let term = self.duty.term();
        if term == 0 {
            return;
        }
        let releasing = self.duty.giving_up.load(Ordering::Relaxed);
        let next = DutyRow {
            holder: if releasing { 0 } else { self.incarnation },
            term,
            confirmation: writer.confirmation + 1,
            address: Some(self.settings.listen.peers),
            earlier_ms: self.duty.earlier_ms(),
        };
        if let Some(version) = self.write_duty(&next, writer.row_version).await {
            writer.row_version = version;
            writer.confirmation += 1;
            self.duty.confirmed_ms.store(sent_ms, Ordering::Relaxed);
            self.heard_store(clock::now_ms());
            return;
        }
        // The write may have failed, taken effect without an answer, or met another holder's.
        let Some((Some(row), version)) = self.read_duty().await else {
            return;
        };
        if row.holder != next.holder || row.term != term {
            self.duty.lose("another host has taken it");
            return;
        }
        writer.row_version = version;
        writer.confirmation = writer.confirmation.max(row.confirmation);
    }

    /// Gives the duty up in a planned stop, so that another host takes it at once.
    pub(super) async fn give_up_duty(&self) {
        if self.duty.term() == 0 {
            return;
        }
        self.duty.giving_up.store(true, Ordering::Relaxed);
        self.confirm_duty().await;
        self.duty.lose("planned stop");
    }
}
