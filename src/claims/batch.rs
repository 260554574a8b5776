//! Writes claims (records of requests that must run at most once) in batches. One transaction
//! covers all operations that arrived while earlier ones were in flight, because the table service
//! accepts only several hundred writes a second.

use std::{
    collections::HashSet,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    sync::{Semaphore, mpsc, oneshot},
    time,
};

use super::{
    Claim, ClaimCounters, ClaimResult,
    row::{ClaimRow, ClaimState},
};
use crate::{
    clock,
    routing::outcome::Reason,
    store::{
        Platform,
        message::{Condition, Expect, Transaction, TransactionOutcome, Write},
    },
};

/// Maximum number of operations in one transaction, which bounds its size.
const BATCH_OPERATIONS_MAX: usize = 256;
/// Maximum number of transactions in flight; operations that arrive meanwhile form the next batch.
const IN_FLIGHT: usize = 2;
/// Minimum time for which a batch is collected.
const BATCH_DELAY_MS: u64 = 2;
/// Delay before a failed read or transaction of the table service is retried.
const RETRY_MS: u64 = 25;
/// Time limit for recording how a claim ended.
const END_TIMEOUT_MS: u64 = 10_000;

/// Operation on the row of one claim, queued for the writer.
#[derive(Debug)]
pub(super) enum Operation {
    /// Records a new claim, unless a row of an earlier request, other than a released one, exists.
    Insert {
        key: String,
        row: ClaimRow,
        give_up_ms: u64,
        reply: oneshot::Sender<ClaimResult>,
    },
    /// Records how a claim ended, in the row that the claim created.
    End {
        key: String,
        version: u64,
        row: ClaimRow,
    },
}

/// Writes operations until the queue closes.
pub(super) async fn run(
    platform: Platform,
    mut queue: mpsc::Receiver<Operation>,
    counters: Arc<ClaimCounters>,
    transaction_interval_ms: Arc<AtomicU64>,
) {
    let mut last_ms = 0;
    let permits = Arc::new(Semaphore::new(IN_FLIGHT));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let mut batch = Vec::new();
        if queue.recv_many(&mut batch, BATCH_OPERATIONS_MAX).await == 0 {
            return;
        }
        // A single claim is written almost at once; under load, batches grow until the interval
        // between transactions has passed.
        let due_ms = last_ms + transaction_interval_ms.load(Ordering::Relaxed);
        let wait_ms = due_ms.saturating_sub(clock::now_ms()).max(BATCH_DELAY_MS);
        if batch.len() < BATCH_OPERATIONS_MAX {
            time::sleep(Duration::from_millis(wait_ms)).await;
            while batch.len() < BATCH_OPERATIONS_MAX
                && let Ok(operation) = queue.try_recv()
            {
                batch.push(operation);
            }
        }
        last_ms = clock::now_ms();
        let writer = Writer {
            platform: platform.clone(),
            counters: counters.clone(),
        };
        tokio::spawn(async move {
            writer.write(batch).await;
            drop(permit);
        });
    }
}

struct Writer {
    platform: Platform,
    counters: Arc<ClaimCounters>,
}

impl Writer {
    /// Writes the batch; each round takes out the operations whose condition failed.
    async fn write(&self, mut batch: Vec<Operation>) {
        while !batch.is_empty() {
            // Two operations on one key must not be in one transaction, so the second one waits for
            // the next round.
            let (first, mut repeated) = take_repeated(batch);
            batch = first;
            let transaction = transaction(&batch);
            self.counters.transactions.fetch_add(1, Ordering::Relaxed);
            match self.platform.transact(&transaction).await {
                Ok(TransactionOutcome::Committed) => {
                    batch.into_iter().for_each(Operation::succeeded);
                    batch = Vec::new();
                }
                Ok(TransactionOutcome::Conflict { keys }) => {
                    let (conflicting, rest) = split(batch, &keys);
                    batch = rest;
                    for operation in conflicting {
                        self.resolve_conflict(operation).await;
                    }
                }
                // The transaction may have taken effect; then the next round reports a conflict.
                Err(error) => {
                    log::debug!("claims cannot be recorded: {error}");
                    batch = give_up(batch);
                    time::sleep(Duration::from_millis(RETRY_MS)).await;
                }
            }
            batch.append(&mut repeated);
        }
    }

    /// Finds out why the condition of an operation failed, and reports the result.
    async fn resolve_conflict(&self, operation: Operation) {
        match operation {
            Operation::Insert {
                key,
                row,
                give_up_ms,
                reply,
            } => {
                let claimed = self.resolve_insert_conflict(key, row, give_up_ms).await;
                let _ = reply.send(claimed);
            }
            // An earlier round took effect, or the row was swept.
            Operation::End { .. } => {}
        }
    }

    async fn resolve_insert_conflict(
        &self,
        key: String,
        row: ClaimRow,
        give_up_ms: u64,
    ) -> ClaimResult {
        while clock::now_ms() < give_up_ms {
            let found = match self.platform.row(&key).await {
                Ok(Some(found)) => found,
                Ok(None) => return ClaimResult::Unavailable,
                Err(_) => {
                    time::sleep(Duration::from_millis(RETRY_MS)).await;
                    continue;
                }
            };
            let Ok(held) = serde_json::from_str::<ClaimRow>(&found.value) else {
                return ClaimResult::Refused(Reason::Unsettled);
            };
            if held.nonce == row.nonce {
                let version = found.version;
                return ClaimResult::Granted(Claim { key, row, version });
            }
            if held.state != ClaimState::Released || held.fingerprint != row.fingerprint {
                return duplicate(held, &row);
            }
            // Takes over a released row. The next read of the row shows if that succeeded, so the
            // result of the transaction is not needed.
            let transaction = put(&key, Expect::Version(found.version), &row);
            self.counters.transactions.fetch_add(1, Ordering::Relaxed);
            let _ = self.platform.transact(&transaction).await;
        }
        ClaimResult::Unavailable
    }
}

impl Operation {
    fn succeeded(self) {
        let Self::Insert {
            key, row, reply, ..
        } = self
        else {
            return;
        };
        let version = 1;
        let _ = reply.send(ClaimResult::Granted(Claim { key, row, version }));
    }

    fn key(&self) -> &str {
        match self {
            Self::Insert { key, .. } | Self::End { key, .. } => key,
        }
    }

    fn expired(&self) -> bool {
        let now_ms = clock::now_ms();
        match self {
            Self::Insert { give_up_ms, .. } => now_ms >= *give_up_ms,
            Self::End { row, .. } => clock::unix_ms() > row.until_unix_ms + END_TIMEOUT_MS,
        }
    }
}

/// Returns the outcome of a claim whose row was made by an earlier request.
fn duplicate(held: ClaimRow, row: &ClaimRow) -> ClaimResult {
    if held.fingerprint != row.fingerprint {
        return ClaimResult::Refused(Reason::KeyReused);
    }
    match held.state {
        ClaimState::Answered(response) => ClaimResult::Answered(response),
        ClaimState::AnswerNotKept => ClaimResult::Refused(Reason::AnswerNotKept),
        ClaimState::Pending if clock::unix_ms() <= held.until_unix_ms => {
            ClaimResult::Refused(Reason::InProgress)
        }
        ClaimState::Pending | ClaimState::Unknown | ClaimState::Released => {
            ClaimResult::Refused(Reason::Unsettled)
        }
    }
}

fn transaction(batch: &[Operation]) -> Transaction {
    let mut whole = Transaction {
        conditions: Vec::with_capacity(batch.len()),
        writes: Vec::with_capacity(batch.len()),
    };
    for operation in batch {
        let one = match operation {
            Operation::Insert { key, row, .. } => put(key, Expect::Absent, row),
            Operation::End { key, version, row } => put(key, Expect::Version(*version), row),
        };
        whole.conditions.extend(one.conditions);
        whole.writes.extend(one.writes);
    }
    whole
}

fn put(key: &str, expect: Expect, row: &ClaimRow) -> Transaction {
    let condition = Condition {
        key: key.to_owned(),
        expect,
    };
    let write = Write {
        key: key.to_owned(),
        value: serde_json::to_string(row).ok(),
    };
    Transaction {
        conditions: vec![condition],
        writes: vec![write],
    }
}

/// Separates the first operation on each key from all later ones on the same key.
fn take_repeated(batch: Vec<Operation>) -> (Vec<Operation>, Vec<Operation>) {
    let mut keys = HashSet::new();
    let is_first = |operation: &Operation| keys.insert(operation.key().to_owned());
    batch.into_iter().partition(is_first)
}

/// Separates the operations on `keys` from the others.
fn split(batch: Vec<Operation>, keys: &[String]) -> (Vec<Operation>, Vec<Operation>) {
    batch
        .into_iter()
        .partition(|operation| keys.iter().any(|key| key == operation.key()))
}

/// Refuses the claims that have waited too long. If a refused claim was recorded all the same, its
/// row stays pending and the request never runs, which matches the response to its caller.
fn give_up(batch: Vec<Operation>) -> Vec<Operation> {
    let (expired, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(Operation::expired);
    for operation in expired {
        if let Operation::Insert { reply, .. } = operation {
            let _ = reply.send(ClaimResult::Unavailable);
        }
    }
    rest
}
