//! The duty of giving leases: one host at a time has it, by a row of the store that it confirms
//! under a condition. Another host takes it over when the row stands still while the store
//! answers. All writes of holdings depend on the row, so a holder that was replaced cannot record
//! anything any more.

mod change;
mod record;

pub use self::change::{Change, Reassignment};

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex as StdMutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use tokio::{sync::Mutex, time};

use super::{
    Entry,
    events::Event,
    keys::Assignment,
    watch::{HOLDINGS_PREFIX, TABLE, pause},
};
use crate::{
    clock,
    platform::store::{Expect, Put, Transacted, Transaction},
};

/// Table of the duty's row. It is apart from the other rows, because it changes often and nobody
/// follows it by a feed.
const DUTY_TABLE: &str = "ashroad_duty";
const DUTY_KEY: &str = "leases";
/// Interval at which a host without the duty looks whether it must act.
const LOOK_EVERY_MS: u64 = 100;
/// Time from a host's start until it looks after the duty: hosts that start together must know each
/// other, or all of them would.
const START_PATIENCE_MS: u64 = 600;
/// Interval at which the row is read while its holder is silent.
const READ_EVERY_MS: u64 = 300;
/// Age of the last confirmation up to which a holder tells the others that it has the duty.
const CONFIRMED_MS: u64 = 3_000;
/// Longest random delay before the duty is taken, so that not all hosts try at once.
const TAKE_SPREAD_MS: u64 = 120;
/// Hosts that watch the row of a silent holder together. Reads are priced, so that not all do.
const WATCHERS: u64 = 4;
/// Time after which the next ones watch it too.
const WATCHERS_EVERY_MS: u64 = 500;

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
    /// host stops, and the result is the term that it had.
    pub fn note_other_term(&self, term: u64) -> Option<u64> {
        let own = self.term();
        if own == 0 || own >= term {
            return None;
        }
        self.lose("a later holder was heard");
        Some(own)
    }

    fn lose(&self, reason: &'static str) {
        let term = self.term.swap(0, Ordering::Relaxed);
        if term > 0 {
            Event::DutyLost { term, reason }.log();
        }
    }
}

impl Entry {
    /// Takes the duty when nobody has it, and confirms it while this host has it.
    pub(super) async fn keep_duty(self: Arc<Self>) {
        let leases = self.settings.leases;
        if !self.view.hosts_known().await {
            return;
        }
        if self.view.had_former_process() {
            self.resume_duty().await;
        }
        time::sleep(Duration::from_millis(START_PATIENCE_MS)).await;
        loop {
            if self.duty.term() > 0 {
                time::sleep(Duration::from_millis(leases.confirm_every_ms)).await;
                if self.duty.term() > 0 {
                    self.confirm_duty().await;
                }
                continue;
            }
            time::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
            let heard_ms = self.peers.holder_heard_ms();
            let silent_ms = clock::now_ms().saturating_sub(heard_ms);
            let silent = silent_ms > leases.takeover_ms / 2 + self.watch_delay_ms();
            if silent && !self.stopping() && self.view.servers_known() {
                // Calls are priced; the servers' feed notices the store's return.
                self.view.store_returned().await;
                self.await_takeover().await;
            }
        }
    }

    /// Takes the duty at once if the process that ran here before this one had it: that one has
    /// certainly ended, since this one listens on its address.
    async fn resume_duty(&self) {
        while !self.view.servers_known() {
            time::sleep(Duration::from_millis(LOOK_EVERY_MS)).await;
        }
        let Some((Some(row), version)) = self.read_duty().await else {
            return;
        };
        let own = row.address == Some(self.settings.listen.peers);
        if own && row.holder != 0 && row.holder != self.incarnation {
            self.take_duty(Some(row), version, clock::now_ms(), false)
                .await;
        }
    }

    /// Time for which other hosts watch the row of a silent holder before this one does.
    fn watch_delay_ms(&self) -> u64 {
        let rank = self.peers.takeover_rank(self.settings.listen.peers);
        rank as u64 / WATCHERS * WATCHERS_EVERY_MS
    }

    /// Reads the row until it changes or has stood still for long enough to be taken.
    async fn await_takeover(&self) {
        let takeover_ms = self.settings.leases.takeover_ms;
        let mut seen: Option<(u64, u64)> = None;
        let started_ms = clock::now_ms();
        loop {
            let Some((row, version)) = self.read_duty().await else {
                // Nothing is known about time in which the store did not answer.
                seen = None;
                pause().await;
                self.view.store_returned().await;
                if clock::now_ms() > started_ms + 10 * takeover_ms {
                    return;
                }
                continue;
            };
            let now_ms = clock::now_ms();
            let free = row.as_ref().is_none_or(|row| row.holder == 0);
            let since_ms = match seen {
                Some((seen_version, since_ms)) if seen_version == version => since_ms,
                Some(_) => return,
                None => now_ms,
            };
            seen = Some((version, since_ms));
            if free || now_ms >= since_ms + takeover_ms {
                let spread_ms = rand::random_range(0..TAKE_SPREAD_MS);
                time::sleep(Duration::from_millis(spread_ms)).await;
                self.take_duty(row, version, since_ms, free).await;
                return;
            }
            time::sleep(Duration::from_millis(READ_EVERY_MS)).await;
        }
    }

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

    /// Takes the duty. Its row was first read with this content at `seen_ms`, so that the holder
    /// before has not confirmed it since.
    async fn take_duty(&self, row: Option<DutyRow>, version: u64, seen_ms: u64, handed_over: bool) {
        let sent_ms = clock::now_ms();
        let term = row.as_ref().map_or(0, |row| row.term) + 1;
        let earlier_until_ms = seen_ms + row.as_ref().map_or(0, |row| row.earlier_ms);
        let leases_until_ms = if handed_over {
            earlier_until_ms
        } else {
            earlier_until_ms.max(seen_ms + self.settings.leases.outage_ms)
        };
        let mut writer = self.duty.writer.lock().await;
        *writer = Writer {
            row_version: version,
            confirmation: 0,
        };
        let next = DutyRow {
            holder: self.incarnation,
            term,
            confirmation: 1,
            address: Some(self.settings.listen.peers),
            earlier_ms: leases_until_ms.saturating_sub(sent_ms),
        };
        let Some(version) = self.write_duty(&next, version).await else {
            return;
        };
        writer.row_version = version;
        writer.confirmation = 1;
        drop(writer);
        // Holdings are read after the duty is taken: nobody else can change them any more.
        if !self.read_holdings().await {
            return;
        }
        self.duty
            .predecessors_until_ms
            .store(leases_until_ms, Ordering::Relaxed);
        *self.duty.predecessor() = row.filter(|_| !handed_over).and_then(|row| {
            Some(Predecessor {
                incarnation: row.holder,
                term: row.term,
                address: row.address?,
                earlier_until_ms,
            })
        });
        self.note_known_processes();
        self.duty.confirmed_ms.store(sent_ms, Ordering::Relaxed);
        self.duty.term.store(term, Ordering::Relaxed);
        Event::DutyTaken { term, handed_over }.log();
    }

    /// The predecessor's host may run another process already.
    fn note_known_processes(&self) {
        for (address, incarnation) in self.peers.processes() {
            self.duty.note_process(address, incarnation);
        }
        // It may also have been an earlier process of this host.
        let own = self.settings.listen.peers;
        self.duty.note_process(own, self.incarnation);
    }

    async fn read_holdings(&self) -> bool {
        let rows = match self.store.table(TABLE).await {
            Ok(rows) => rows.rows,
            Err(error) => {
                log::warn!("holdings cannot be read: {error}");
                return false;
            }
        };
        for row in rows {
            let Some(service) = row.key.strip_prefix(HOLDINGS_PREFIX) else {
                continue;
            };
            match Assignment::decode(&row.value) {
                Ok(assignment) => {
                    let service = service.into();
                    self.view.hold(&service, Arc::new(assignment), row.version);
                }
                Err(error) => {
                    log::error!("holdings of {service} cannot be decoded: {error}");
                    return false;
                }
            }
        }
        true
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
        match self.store.transact(&transaction).await {
            Ok(Transacted::Done { version }) => Some(version),
            Ok(Transacted::Conflict { rows }) => {
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
