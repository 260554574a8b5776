//! Records changes of holdings in the store, on condition of the duty's row.

use std::sync::{Arc, atomic::Ordering};

use super::{Change, DUTY_KEY, DUTY_TABLE, DutyRow, Writer};
use crate::{
    clock,
    entry::{
        Entry,
        keys::{Assignment, DecodeError, Holding, KeyPart},
        news::{
            followed::Followed,
            own_rows::{TABLE, holdings_key},
        },
        owners::{Held, HeldRow},
        watch::pause,
    },
    platform::store::{Expect, Put, Row, Transaction, TransactionOutcome},
};

/// Why a write of the holder failed for good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// Another host has the duty.
    DutyLost,
    /// The store does not take the record.
    Refused,
    /// The service's holdings are not what the holder thinks.
    HoldingsChanged,
}

/// Rows in one transaction. The store takes 100 conditions and writes.
const ROWS_MAX: usize = 32;

/// Row that is to be recorded.
struct RecordedRow {
    part: KeyPart,
    key: String,
    assignment: Assignment,
    value: Vec<u8>,
    /// Version that it must have; 0 if it must not exist.
    held_version: u64,
}

impl RecordedRow {
    fn new(
        service: &str,
        held: &Held,
        assignment: &Assignment,
        part: KeyPart,
    ) -> Result<Self, DecodeError> {
        let assignment = assignment.part(part);
        Ok(Self {
            part,
            key: holdings_key(service, part),
            value: assignment.encode()?,
            assignment,
            held_version: held.version(part),
        })
    }

    fn put(&self) -> Put<'_> {
        Put {
            table: TABLE,
            key: &self.key,
            value: &self.value,
        }
    }

    fn held(self, version: u64) -> (KeyPart, HeldRow) {
        let row = HeldRow {
            assignment: self.assignment,
            version,
        };
        (self.part, row)
    }
}

/// Outcome of a transaction whose effect is known.
enum Settled {
    Done(u64),
    Conflict(Vec<Row>),
    /// The store will never take this record.
    Refused,
    DutyLost,
}

/// Why a record met other rows than it expected.
enum Conflict {
    /// It took effect before, and its answer was lost.
    TookEffect(u64),
    /// A confirmation of the duty took effect, and its answer was lost; the row's version.
    Confirmed(u64),
    /// The holdings are not what the holder thinks.
    HoldingsChanged,
    /// Another host has the duty.
    DutyTaken,
}

impl Entry {
    /// Records a change of a service's holdings. The record depends on the duty's row and on the
    /// holdings being what they were. Returns the new holdings once the
    /// record is certain, however long that takes while this host may have the duty.
    pub(in crate::entry) async fn record(
        &self,
        service: &Arc<str>,
        change: &Change,
    ) -> Result<Vec<Holding>, WriteFailure> {
        let mut writer = self.duty.writer.lock().await;
        if self.duty.term() == 0 {
            return Err(WriteFailure::DutyLost);
        }
        let held = self.view.held(service).unwrap_or_default();
        let mut assignment = Assignment::clone(&held.assignment);
        let changed = change.apply(&mut assignment);
        if assignment == *held.assignment {
            return Ok(changed);
        }
        // The first part last: its row may be one of an earlier version of ashroad, which has all holdings and must not
        // lose them before the others have them.
        let mut parts = held.changed_parts(&assignment);
        parts.reverse();
        for parts in parts.chunks(ROWS_MAX) {
            let mut rows = Vec::with_capacity(parts.len());
            for part in parts {
                let Ok(row) = RecordedRow::new(service, &held, &assignment, *part) else {
                    return Err(WriteFailure::HoldingsChanged);
                };
                rows.push(row);
            }
            self.record_rows(service, rows, &mut writer).await?;
        }
        Ok(changed)
    }

    /// Records rows in one transaction, however long that takes while this host may have the duty.
    async fn record_rows(
        &self,
        service: &Arc<str>,
        rows: Vec<RecordedRow>,
        writer: &mut Writer,
    ) -> Result<(), WriteFailure> {
        loop {
            let version = match self.write_holdings(&rows, writer.row_version).await {
                Settled::Done(version) => version,
                Settled::DutyLost => return Err(WriteFailure::DutyLost),
                Settled::Refused => return Err(WriteFailure::Refused),
                Settled::Conflict(found) => match self.explain_conflict(&found, &rows, writer) {
                    Conflict::TookEffect(version) => version,
                    Conflict::Confirmed(version) => {
                        writer.row_version = version;
                        continue;
                    }
                    Conflict::HoldingsChanged => return Err(WriteFailure::HoldingsChanged),
                    Conflict::DutyTaken => {
                        self.duty.lose("another host has taken it");
                        return Err(WriteFailure::DutyLost);
                    }
                },
            };
            let held = rows.into_iter().map(|row| row.held(version));
            self.view.hold(service, held.collect());
            self.freshness.note_change(Followed::Own, version);
            return Ok(());
        }
    }

    /// Why a record met other rows than it expected.
    fn explain_conflict(&self, found: &[Row], rows: &[RecordedRow], writer: &Writer) -> Conflict {
        let find = |key: &str| found.iter().find(|row| row.key == key);
        let is_written = |row: &RecordedRow| find(&row.key).is_some_and(|f| f.value == row.value);
        if rows.iter().all(is_written)
            && let Some(version) = rows
                .iter()
                .filter_map(|row| find(&row.key))
                .map(|f| f.version)
                .max()
        {
            return Conflict::TookEffect(version);
        }
        let is_as_held =
            |row: &RecordedRow| find(&row.key).map_or(0, |f| f.version) == row.held_version;
        if !rows.iter().all(is_as_held) {
            return Conflict::HoldingsChanged;
        }
        let Some(row) = find(DUTY_KEY) else {
            return Conflict::DutyTaken;
        };
        let Ok(duty) = serde_json::from_slice::<DutyRow>(&row.value) else {
            log::error!("the duty's row cannot be decoded");
            return Conflict::DutyTaken;
        };
        let own = duty.holder == self.incarnation && duty.term == self.duty.term();
        if own && row.version != writer.row_version {
            return Conflict::Confirmed(row.version);
        }
        Conflict::DutyTaken
    }

    async fn write_holdings(&self, rows: &[RecordedRow], duty_version: u64) -> Settled {
        let expect = |table, key, version| Expect {
            table,
            key,
            version,
        };
        let duty = expect(DUTY_TABLE, DUTY_KEY, duty_version);
        let as_held = rows
            .iter()
            .map(|row| expect(TABLE, &row.key, row.held_version));
        let transaction = Transaction {
            expect: std::iter::once(duty).chain(as_held).collect(),
            puts: rows.iter().map(RecordedRow::put).collect(),
            ..Transaction::default()
        };
        loop {
            let sent_ms = clock::now_ms();
            match self.store.transact(&transaction).await {
                Ok(TransactionOutcome::Done { version }) => {
                    // The transaction depends on the duty's row, so it confirms the duty too.
                    self.duty.confirmed_ms.store(sent_ms, Ordering::Relaxed);
                    return Settled::Done(version);
                }
                Ok(TransactionOutcome::Conflict { rows }) => return Settled::Conflict(rows),
                Err(error) if error.is_final() => {
                    log::error!("the store refuses a record of holdings: {error}");
                    return Settled::Refused;
                }
                Err(error) => log::debug!("holdings cannot be recorded: {error}"),
            }
            if !self.duty.may_lease(self.settings.leases.outage_ms) {
                self.duty.lose("the store did not answer");
                return Settled::DutyLost;
            }
            pause().await;
        }
    }
}
