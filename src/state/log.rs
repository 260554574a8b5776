//! The change log in the platform's table service.
//!
//! The row `head` is written with every entry, so its version equals the last revision. An entry is
//! appended by one transaction that requires that version, so only one of two writers at the same
//! revision can commit. If the response is lost, the writer sends the same transaction again. The
//! repeated transaction either takes effect or conflicts; after a conflict, the operation id of the
//! entry in the log shows whose change was committed.

use std::time::Duration;

use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu, ensure};
use tokio::time;

use super::{
    change::{Change, LogEntry},
    entry::State,
    snapshot::{Snapshot, SnapshotPointer},
};
use crate::{
    clock,
    id::{OperationId, Revision},
    store::{
        self, Platform,
        message::{Condition, Expect, Row, Transaction, TransactionOutcome, Write},
    },
};

/// Key of the row whose version is the last revision.
const HEAD_ROW: &str = "head";
/// Prefix of the keys of the rows that hold log entries, one entry per row.
const LOG_PREFIX: &str = "log/";
/// Key of the row that holds the [`SnapshotPointer`] of the latest snapshot.
const SNAPSHOT_ROW: &str = "snapshot";
/// Maximum number of entries that one read returns; a host that is further behind reads again.
const TAIL_ROWS: usize = 1_000;
/// Delay in milliseconds before a transaction that got no response is sent again.
const TRANSACT_RETRY_MS: u64 = 50;

/// Failure to read or append entries of the change log, or to load or store a snapshot.
#[derive(Debug, Snafu)]
pub enum LogError {
    /// A call to the platform failed, so the read or write has to be repeated.
    #[snafu(display("{source}"))]
    Platform {
        /// Error from the HTTP call; a write may have taken effect all the same.
        source: store::Error,
    },
    /// It is unknown whether the change took effect, because the resolve timeout (the time for
    /// which a transaction that got no response is sent again) passed, or because reading the
    /// conflicting entry failed.
    #[snafu(display("it is unknown whether the change took effect: {source}"))]
    OutcomeUnknown {
        /// Error from the last call to the store.
        source: store::Error,
    },
    /// The content of a row cannot be encoded or decoded.
    #[snafu(display("the row {key} cannot be read"))]
    Row {
        /// Key of the row in the table service.
        key: String,
        /// Error from the JSON library, with the position in the content of the row.
        source: serde_json::Error,
    },
    /// The log no longer holds the entry after the requested revision, so the reader needs a
    /// snapshot.
    #[snafu(display("the log no longer holds the entry after revision {after}"))]
    Truncated {
        /// Revision after which entries were requested.
        after: Revision,
    },
    /// A snapshot cannot be encoded or decoded.
    #[snafu(display("{source}"))]
    State {
        /// Cause, such as a snapshot whose hash is wrong.
        source: super::Error,
    },
}

/// Change to be appended to the log, without the revision that it will get.
#[derive(Clone, Debug)]
pub struct Proposal {
    /// Identifier chosen by the writer, by which the writer recognises its own entry after a lost
    /// response.
    pub operation_id: OperationId,
    /// Operator or host that makes the change.
    pub actor: String,
    /// Change to append, which the writer has checked against its own state.
    pub change: Change,
}

/// Result of an attempt to append an entry at one revision.
#[derive(Clone, Debug)]
pub enum AppendOutcome {
    /// The entry was appended, possibly by an earlier attempt whose response was lost.
    Committed(LogEntry),
    /// Another entry has this revision; the caller has to read the log and decide again.
    Conflict,
}

/// Client of the platform, through which a host reads and appends to the change log and loads and
/// stores snapshots.
#[derive(Clone, Debug)]
pub struct ChangeLog {
    platform: Platform,
    resolve_timeout_ms: u64,
}

impl ChangeLog {
    /// Returns a client that sends a transaction that got no response again, for at most
    /// `resolve_timeout_ms`.
    pub fn new(platform: Platform, resolve_timeout_ms: u64) -> Self {
        Self {
            platform,
            resolve_timeout_ms,
        }
    }

    /// Reads at most 1,000 entries that follow revision `after`, oldest first.
    pub async fn tail(&self, after: Revision) -> Result<Vec<LogEntry>, LogError> {
        let rows = self
            .platform
            .range(LOG_PREFIX, &log_row(after), TAIL_ROWS)
            .await
            .context(PlatformSnafu)?;
        let mut entries = Vec::with_capacity(rows.len());
        let mut expected = after.next();
        for row in &rows {
            let entry: LogEntry = read_row(row)?;
            ensure!(entry.revision == expected, TruncatedSnafu { after });
            expected = expected.next();
            entries.push(entry);
        }
        Ok(entries)
    }

    /// Appends a change at the revision after `after`. Returns a conflict if another writer has
    /// appended an entry at that revision.
    pub async fn append(
        &self,
        after: Revision,
        proposal: Proposal,
    ) -> Result<AppendOutcome, LogError> {
        let entry = LogEntry {
            revision: after.next(),
            operation_id: proposal.operation_id,
            actor: proposal.actor,
            at_unix_ms: clock::unix_ms(),
            change: proposal.change,
        };
        let transaction = append_transaction(after, &entry)?;
        match self.transact_until_known(&transaction).await? {
            TransactionOutcome::Committed => Ok(AppendOutcome::Committed(entry)),
            TransactionOutcome::Conflict { .. } => self.resolve_conflict(entry).await,
        }
    }

    /// Sends a transaction until the store responds or the resolve timeout has passed. Sending the
    /// transaction again is safe, because its condition holds at most once.
    async fn transact_until_known(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, LogError> {
        let deadline_ms = clock::now_ms() + self.resolve_timeout_ms;
        loop {
            let source = match self.platform.transact(transaction).await {
                Ok(outcome) => return Ok(outcome),
                Err(source) => source,
            };
            if clock::now_ms() >= deadline_ms {
                return Err(LogError::OutcomeUnknown { source });
            }
            time::sleep(Duration::from_millis(TRANSACT_RETRY_MS)).await;
        }
    }

    /// Finds out if the entry that caused a conflict is this writer's own, committed by an earlier
    /// attempt whose response was lost.
    async fn resolve_conflict(&self, entry: LogEntry) -> Result<AppendOutcome, LogError> {
        let key = log_row(entry.revision);
        let row = self.platform.row(&key).await;
        let row = row.context(OutcomeUnknownSnafu)?;
        let Some(row) = row else {
            return Ok(AppendOutcome::Conflict);
        };
        let found: LogEntry = read_row(&row)?;
        if found.operation_id == entry.operation_id {
            return Ok(AppendOutcome::Committed(found));
        }
        Ok(AppendOutcome::Conflict)
    }

    /// Returns the state of the latest snapshot, or the empty state if there is none.
    pub async fn load_snapshot(&self) -> Result<State, LogError> {
        let row = self.platform.row(SNAPSHOT_ROW).await;
        let Some(row) = row.context(PlatformSnafu)? else {
            return Ok(State::default());
        };
        let pointer: SnapshotPointer = read_row(&row)?;
        let body = self.platform.object(&pointer.object).await;
        let body = body.context(PlatformSnafu)?;
        Snapshot::decode(&pointer, &body).context(StateSnafu)
    }

    /// Stores a snapshot of the state, unless a snapshot of this or a later revision is stored.
    pub async fn store_snapshot(&self, state: &State) -> Result<(), LogError> {
        let pointer_row = self.platform.row(SNAPSHOT_ROW).await;
        let pointer_row = pointer_row.context(PlatformSnafu)?;
        let expect = match &pointer_row {
            None => Expect::Absent,
            Some(row) => {
                let pointer: SnapshotPointer = read_row(row)?;
                if pointer.revision >= state.revision {
                    return Ok(());
                }
                Expect::Version(row.version)
            }
        };
        let snapshot = Snapshot::encode(state).context(StateSnafu)?;
        let object = &snapshot.pointer.object;
        let stored = self.platform.put_object(object, snapshot.body.into()).await;
        stored.context(PlatformSnafu)?;
        let pointer =
            serde_json::to_string(&snapshot.pointer).context(RowSnafu { key: SNAPSHOT_ROW })?;
        let transaction = Transaction {
            conditions: vec![condition(SNAPSHOT_ROW, expect)],
            writes: vec![write(SNAPSHOT_ROW, Some(pointer))],
        };
        let outcome = self.platform.transact(&transaction).await;
        outcome.context(PlatformSnafu)?;
        Ok(())
    }
}

fn append_transaction(after: Revision, entry: &LogEntry) -> Result<Transaction, LogError> {
    let expect = match after.0 {
        0 => Expect::Absent,
        version => Expect::Version(version),
    };
    let key = log_row(entry.revision);
    let value = serde_json::to_string(entry).context(RowSnafu { key: &key })?;
    Ok(Transaction {
        conditions: vec![condition(HEAD_ROW, expect)],
        writes: vec![
            write(HEAD_ROW, Some(entry.revision.to_string())),
            write(&key, Some(value)),
        ],
    })
}

fn condition(key: &str, expect: Expect) -> Condition {
    Condition {
        key: key.to_owned(),
        expect,
    }
}

fn write(key: &str, value: Option<String>) -> Write {
    Write {
        key: key.to_owned(),
        value,
    }
}

fn log_row(revision: Revision) -> String {
    format!("{LOG_PREFIX}{:020}", revision.0)
}

fn read_row<T: DeserializeOwned>(row: &Row) -> Result<T, LogError> {
    serde_json::from_str(&row.value).context(RowSnafu { key: &row.key })
}
