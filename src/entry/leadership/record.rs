//! Records changes of assigned ranges in the store. Each write is conditional on the version of the
//! leadership row, so it takes effect only while this host is the leader.

use std::sync::{Arc, atomic::Ordering};

use super::{
    Change, Writer,
    row::{LEADERSHIP_KEY, LEADERSHIP_TABLE, LeadershipRow},
};
use crate::{
    clock,
    entry::{
        Entry,
        keys::{AssignedRange, Assignment, DecodeError, KeyPartition},
        pauses::pause,
        recorded_assignment::{AssignmentRow, RecordedAssignment},
        updates::{
            followed::FollowedTable,
            own_rows::{TABLE, assignment_key},
        },
    },
    platform::store::{Expect, Put, Row, Transaction, TransactionOutcome},
};

/// Reason why a change of assigned ranges could not be recorded. Retrying the same change cannot
/// succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// This host is not the leader, or the last successful confirmation of its leadership in the
    /// store is older than `outage_ms`.
    LeadershipLost,
    /// The store rejects the transaction with an error that would occur again on each retry.
    Refused,
    /// The assigned ranges in the store differ from the assigned ranges that this host knows, or
    /// the changed assigned ranges cannot be encoded.
    AssignmentChanged,
}

/// Maximum number of rows with assigned ranges in one transaction. Each row needs a condition and a
/// write, and the leadership row needs a condition; the store accepts up to 100 conditions and
/// writes in one transaction.
const ROWS_MAX: usize = 32;
/// Timeout of a write of assigned ranges, without the time for its rows. Confirmations of the
/// leadership wait for the write, and another host takes over the leadership if the leadership row
/// stays unchanged for 1.6 s while the store answers. Large writes may take longer: without their
/// full time they would fail each time on a slow link.
const WRITE_TIMEOUT_MS: u64 = 1_000;
/// Additional timeout of a write of assigned ranges for each row. A row takes up to 30 KB, which a
/// link of 20 Mbit/s transfers in 12 ms.
const WRITE_TIMEOUT_MS_PER_ROW: u64 = 30;

/// Row with the assigned ranges of one key partition of a service. The row is written on the
/// condition that the stored row still has the expected version.
struct PendingRow {
    part: KeyPartition,
    key: String,
    assignment: Assignment,
    value: Vec<u8>,
    /// Version that the stored row must have for the write to take effect; 0 if the row must not
    /// exist.
    expected_version: u64,
}

impl PendingRow {
    fn new(
        service: &str,
        held: &RecordedAssignment,
        assignment: &Assignment,
        part: KeyPartition,
    ) -> Result<Self, DecodeError> {
        let assignment = assignment.part(part);
        Ok(Self {
            part,
            key: assignment_key(service, part),
            value: assignment.encode()?,
            assignment,
            expected_version: held.version(part),
        })
    }

    fn put(&self) -> Put<'_> {
        Put {
            table: TABLE,
            key: &self.key,
            value: &self.value,
        }
    }

    fn held(self, version: u64) -> (KeyPartition, AssignmentRow) {
        let row = AssignmentRow {
            assignment: self.assignment,
            version,
        };
        (self.part, row)
    }
}

/// Outcome of a transaction that writes rows with assigned ranges. A transaction whose effect is
/// unknown is retried, and this type describes only the outcome after the last attempt.
enum WriteOutcome {
    /// The transaction took effect. Contains the version of the written rows.
    Done(u64),
    /// A condition of the transaction was not met. Contains the current rows to which the
    /// conditions refer.
    Conflict(Vec<Row>),
    /// The store rejects the transaction with an error that would occur again on each retry.
    Refused,
    /// The effect of the transaction is unknown, and the transaction is not retried because this
    /// host may no longer grant leases.
    LeadershipLost,
}

/// Reason why the store reported a conflict: the conditions of a transaction were not met.
enum Conflict {
    /// An earlier attempt of the same transaction took effect, but its response was lost. Contains
    /// the version of the written rows.
    TookEffect(u64),
    /// This host's last confirmation of the leadership took effect, but its response was lost.
    /// Contains the current version of the leadership row.
    Confirmed(u64),
    /// The versions of the stored rows with assigned ranges differ from the versions that this host
    /// knows.
    AssignmentChanged,
    /// The leadership row does not name this process and its term, or the row is missing or
    /// undecodable.
    LeadershipTaken,
}

impl Entry {
    /// Records a change of a service's assigned ranges and returns the assigned ranges that it
    /// created or replaced (none for `Distribute` and `CompleteMoves`). Each write is conditional
    /// on the version of the leadership row and on the versions of the rows that it replaces. A
    /// write whose effect is unknown is retried for as long as this host may grant leases.
    pub(in crate::entry) async fn record(
        &self,
        service: &Arc<str>,
        change: &Change,
    ) -> Result<Vec<AssignedRange>, WriteFailure> {
        let mut writer = self.leadership.writer.lock().await;
        if self.leadership.term() == 0 {
            return Err(WriteFailure::LeadershipLost);
        }
        let held = self.view.held(service).unwrap_or_default();
        let mut assignment = Assignment::clone(&held.assignment);
        let changed = change.apply(&mut assignment);
        if assignment == *held.assignment {
            return Ok(changed);
        }
        // The row of the first key partition is written last. An earlier version of ashroad kept
        // all assigned ranges of a service in this row. Such a row must keep them until the rows of
        // the other key partitions are written.
        let mut parts = held.changed_partitions(&assignment);
        parts.reverse();
        for parts in parts.chunks(ROWS_MAX) {
            let mut rows = Vec::with_capacity(parts.len());
            for part in parts {
                let Ok(row) = PendingRow::new(service, &held, &assignment, *part) else {
                    return Err(WriteFailure::AssignmentChanged);
                };
                rows.push(row);
            }
            self.record_rows(service, rows, &mut writer).await?;
        }
        Ok(changed)
    }

    /// Writes rows with assigned ranges in one transaction, and retries for as long as this host
    /// may grant leases. Then applies the written rows to this host's view.
    async fn record_rows(
        &self,
        service: &Arc<str>,
        rows: Vec<PendingRow>,
        writer: &mut Writer,
    ) -> Result<(), WriteFailure> {
        loop {
            let version = match self.write_assignment_rows(&rows, writer.row_version).await {
                WriteOutcome::Done(version) => version,
                WriteOutcome::LeadershipLost => return Err(WriteFailure::LeadershipLost),
                WriteOutcome::Refused => return Err(WriteFailure::Refused),
                WriteOutcome::Conflict(found) => {
                    match self.classify_conflict(&found, &rows, writer) {
                        Conflict::TookEffect(version) => version,
                        Conflict::Confirmed(version) => {
                            writer.row_version = version;
                            continue;
                        }
                        Conflict::AssignmentChanged => return Err(WriteFailure::AssignmentChanged),
                        Conflict::LeadershipTaken => {
                            self.leadership.lose("another host has taken it");
                            return Err(WriteFailure::LeadershipLost);
                        }
                    }
                }
            };
            let held = rows.into_iter().map(|row| row.held(version));
            self.view.put_assignment_rows(service, held.collect());
            self.freshness
                .versions
                .note_change(FollowedTable::Own, version);
            return Ok(());
        }
    }

    /// Determines why the store reported a conflict, from `found`, the current rows that the store
    /// returned with the conflict.
    fn classify_conflict(&self, found: &[Row], rows: &[PendingRow], writer: &Writer) -> Conflict {
        let find = |key: &str| found.iter().find(|row| row.key == key);
        let is_written = |row: &PendingRow| find(&row.key).is_some_and(|f| f.value == row.value);
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
            |row: &PendingRow| find(&row.key).map_or(0, |f| f.version) == row.expected_version;
        if !rows.iter().all(is_as_held) {
            return Conflict::AssignmentChanged;
        }
        let Some(row) = find(LEADERSHIP_KEY) else {
            return Conflict::LeadershipTaken;
        };
        let Ok(leadership) = serde_json::from_slice::<LeadershipRow>(&row.value) else {
            log::error!("cannot decode the leadership row");
            return Conflict::LeadershipTaken;
        };
        let own = leadership.leader_incarnation == self.incarnation
            && leadership.term == self.leadership.term();
        if own && row.version != writer.row_version {
            return Conflict::Confirmed(row.version);
        }
        Conflict::LeadershipTaken
    }

    async fn write_assignment_rows(
        &self,
        rows: &[PendingRow],
        leadership_version: u64,
    ) -> WriteOutcome {
        let expect = |table, key, version| Expect {
            table,
            key,
            version,
        };
        let leadership = expect(LEADERSHIP_TABLE, LEADERSHIP_KEY, leadership_version);
        let as_held = rows
            .iter()
            .map(|row| expect(TABLE, &row.key, row.expected_version));
        let transaction = Transaction {
            expect: std::iter::once(leadership).chain(as_held).collect(),
            puts: rows.iter().map(PendingRow::put).collect(),
            ..Transaction::default()
        };
        let timeout_ms = WRITE_TIMEOUT_MS + WRITE_TIMEOUT_MS_PER_ROW * rows.len() as u64;
        loop {
            let sent_ms = clock::now_ms();
            let written = tokio::select! {
                written = self.transact_hedged(&transaction, timeout_ms) => written,
                // The store has dropped the call. Confirmations of the leadership wait for this
                // write, so the write is repeated as soon as the store answers again.
                () = self.view.wait_for_outage_end() => continue,
            };
            match written {
                Ok(TransactionOutcome::Done { version }) => {
                    // The write shows that this host is still the leader. It does not extend the time
                    // in which this host may grant leases: a successor counts that time from the
                    // version of the leadership row, which the write leaves as it is.
                    self.leadership.written_ms.store(sent_ms, Ordering::Relaxed);
                    return WriteOutcome::Done(version);
                }
                Ok(TransactionOutcome::Conflict { rows }) => return WriteOutcome::Conflict(rows),
                Err(error) if error.is_final() => {
                    log::error!("the store rejects a write of assigned ranges: {error}");
                    return WriteOutcome::Refused;
                }
                Err(error) => log::debug!("cannot write assigned ranges, retrying: {error}"),
            }
            if !self.leadership.may_lease(self.settings.leases.outage_ms) {
                self.leadership.lose("the store did not answer");
                return WriteOutcome::LeadershipLost;
            }
            pause().await;
        }
    }
}
