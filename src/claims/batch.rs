//! Writes claims (records of requests that must run at most once) in batches. One transaction
//! covers all operations on claims that arrived while earlier transactions were in flight, because
//! the table service accepts only several hundred writes a second.

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

/// Maximum number of operations in one transaction, which bounds the size of the transaction.
const BATCH_OPERATIONS_MAX: usize = 256;
/// Maximum number of transactions in flight. Operations that arrive while this number is reached
/// form the next batch.
const TRANSACTIONS_IN_FLIGHT_MAX: usize = 2;
/// Minimum time in milliseconds for which the writer collects further operations before it writes a
/// batch that is not full.
const BATCH_DELAY_MS: u64 = 2;
/// Delay in milliseconds before a failed read or transaction of the table service is retried.
const RETRY_MS: u64 = 25;
/// Time in milliseconds after the deadline of a request during which the writer still tries to
/// record how the claim of the request ended; the operation is dropped afterwards.
const END_TIMEOUT_MS: u64 = 10_000;

/// Operation on the row of one claim, queued for the writer.
#[derive(Debug)]
pub(super) enum Operation {
    /// Records a new claim. Fails if an earlier request has already created the row, unless that
    /// request released its claim.
    Insert {
        key: String,
        row: ClaimRow,
        claim_deadline_ms: u64,
        reply: oneshot::Sender<ClaimResult>,
    },
    /// Records how a claim ended, in the row that was created or taken over for the claim.
    End {
        key: String,
        version: u64,
        row: ClaimRow,
    },
}

/// Collects operations from the queue into batches until the queue is closed. Each batch is written
/// in a task of its own.
pub(super) async fn run(
    platform: Platform,
    mut queue: mpsc::Receiver<Operation>,
    counters: Arc<ClaimCounters>,
    transaction_interval_ms: Arc<AtomicU64>,
) {
    let mut last_ms = 0;
    let permits = Arc::new(Semaphore::new(TRANSACTIONS_IN_FLIGHT_MAX));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else {
            return;
        };
        let mut batch = Vec::new();
        if queue.recv_many(&mut batch, BATCH_OPERATIONS_MAX).await == 0 {
            return;
        }
        // If the interval since the last batch has already passed, a claim is written after
        // [`BATCH_DELAY_MS`]. Under load, batches grow until the interval has passed.
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
    /// Writes the batch in one or more transactions. If a transaction conflicts, the operations
    /// whose condition failed are resolved one by one, and the others are written again.
    async fn write(&self, mut batch: Vec<Operation>) {
        while !batch.is_empty() {
            // A transaction must not contain two operations on one key, so only the first operation
            // on each key is in this transaction. The others wait for the next transaction.
            let (first, mut repeated) = split_repeated(batch);
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
                // The transaction may have taken effect in spite of the error. If the transaction
                // has taken effect, its repetition reports a conflict.
                Err(error) => {
                    log::debug!("a transaction of claims failed: {error}");
                    batch = refuse_expired(batch);
                    time::sleep(Duration::from_millis(RETRY_MS)).await;
                }
            }
            batch.append(&mut repeated);
        }
    }

    /// Handles an operation whose condition failed. For a new claim, finds out why the row could
    /// not be created, and sends the result to the task that waits for the claim. The end of a
    /// claim needs no further action.
    async fn resolve_conflict(&self, operation: Operation) {
        match operation {
            Operation::Insert {
                key,
                row,
                claim_deadline_ms,
                reply,
            } => {
                let claimed = self
                    .resolve_insert_conflict(key, row, claim_deadline_ms)
                    .await;
                let _ = reply.send(claimed);
            }
            // Either an earlier transaction has already recorded the end of the claim although the
            // call of that transaction failed, or the sweep has removed the row.
            Operation::End { .. } => {}
        }
    }

    /// Finds out why a claim could not be recorded. Grants the claim if the row was created for
    /// this request after all, or if the request can take over a released row. Otherwise returns
    /// the result for a duplicate. Gives up at `claim_deadline_ms`.
    async fn resolve_insert_conflict(
        &self,
        key: String,
        row: ClaimRow,
        claim_deadline_ms: u64,
    ) -> ClaimResult {
        while clock::now_ms() < claim_deadline_ms {
            let found = match self.platform.row(&key).await {
                Ok(Some(found)) => found,
                Ok(None) => return ClaimResult::Unavailable,
                Err(_) => {
                    time::sleep(Duration::from_millis(RETRY_MS)).await;
                    continue;
                }
            };
            let Ok(existing_claim) = serde_json::from_str::<ClaimRow>(&found.value) else {
                return ClaimResult::Refused(Reason::Unsettled);
            };
            if existing_claim.nonce == row.nonce {
                let version = found.version;
                return ClaimResult::Granted(Claim { key, row, version });
            }
            if existing_claim.state != ClaimState::Released
                || existing_claim.fingerprint != row.fingerprint
            {
                return duplicate(existing_claim, &row);
            }
            // Takes over a released row. The next iteration reads the row again and thereby finds
            // out whether the transaction took effect, so the result of the transaction is not
            // needed.
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
            Self::Insert {
                claim_deadline_ms, ..
            } => now_ms >= *claim_deadline_ms,
            Self::End { row, .. } => clock::unix_ms() > row.until_unix_ms + END_TIMEOUT_MS,
        }
    }
}

/// Returns the result for a request whose claim row was already created by an earlier request with
/// the same idempotency key.
fn duplicate(existing_claim: ClaimRow, row: &ClaimRow) -> ClaimResult {
    if existing_claim.fingerprint != row.fingerprint {
        return ClaimResult::Refused(Reason::KeyReused);
    }
    match existing_claim.state {
        ClaimState::Answered(response) => ClaimResult::Answered(response),
        ClaimState::AnswerNotKept => ClaimResult::Refused(Reason::AnswerNotKept),
        ClaimState::Pending if clock::unix_ms() <= existing_claim.until_unix_ms => {
            ClaimResult::Refused(Reason::InProgress)
        }
        ClaimState::Pending | ClaimState::Unknown | ClaimState::Released => {
            ClaimResult::Refused(Reason::Unsettled)
        }
    }
}

/// Builds one transaction that carries out all operations of a batch.
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

/// Builds a transaction that writes one claim row if the row is in the expected state.
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
fn split_repeated(batch: Vec<Operation>) -> (Vec<Operation>, Vec<Operation>) {
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

/// Removes the operations that have waited too long, and refuses the claims among them. A failed
/// transaction may have recorded a claim that is then refused. The row of such a claim stays
/// pending and its request never runs, which matches the response to the caller.
fn refuse_expired(batch: Vec<Operation>) -> Vec<Operation> {
    let (expired, rest): (Vec<_>, Vec<_>) = batch.into_iter().partition(Operation::expired);
    for operation in expired {
        if let Operation::Insert { reply, .. } = operation {
            let _ = reply.send(ClaimResult::Unavailable);
        }
    }
    rest
}
