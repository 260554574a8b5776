//! Claims on unrepeatable requests (requests that must run at most once). A claim is the stored
//! right to run one such request. A host records the claim in the table service before it sends the
//! first byte of the request to a server, so that a duplicate of the request never runs, whichever
//! host receives the duplicate.

mod batch;
mod row;
mod sweep;

pub use self::{
    row::{Fingerprint, StoredResponse},
    sweep::Sweep,
};

use std::sync::atomic::{AtomicU64, Ordering};

use rand::Rng;
use tokio::sync::{mpsc, oneshot};

use self::{
    batch::Operation,
    row::{ClaimRow, ClaimState, claim_key},
};
use crate::{clock, id::OperationId, routing::outcome::Reason, store::Platform};

/// Maximum length in bytes of a response body that a claim row stores, so that duplicates of the
/// request get the same response. If the response body is longer, duplicates are refused.
pub const STORED_BODY_BYTES_MAX: usize = 64 * 1024;
/// Timeout in milliseconds for recording a claim. If the claim is not recorded in time, the request
/// is refused and does not run.
const CLAIM_TIMEOUT_MS: u64 = 1_000;
/// Maximum number of operations that wait for the writer. While the queue is full, new claims are
/// refused and the ends of claims are not recorded.
const QUEUE_OPERATIONS: usize = 10_000;

/// Counters of the claims that one host has made since its process started.
#[derive(Debug, Default)]
pub struct ClaimCounters {
    /// Number of claims that were recorded, so that their requests could run.
    pub claims: AtomicU64,
    /// Number of transactions that were sent to record claims or their ends, failed ones included;
    /// a transaction covers many operations.
    pub transactions: AtomicU64,
}

/// Number of transactions per second that all hosts together may make for claims. The table service
/// accepts several hundred writes a second in total.
const TRANSACTIONS_PER_S: u64 = 200;

/// Claims that one host makes, and the queue of operations for the task that writes them.
#[derive(Debug)]
pub struct Claims {
    transaction_interval_ms: std::sync::Arc<AtomicU64>,
    operations: mpsc::Sender<Operation>,
    counters: std::sync::Arc<ClaimCounters>,
}

/// Right to run one unrepeatable request. The holder of the value must end the claim with
/// [`Claims::answered`], [`Claims::released`] or [`Claims::unknown`].
#[derive(Debug)]
pub struct Claim {
    key: String,
    row: ClaimRow,
    version: u64,
}

/// Result of an attempt to claim a request.
#[derive(Debug)]
pub enum ClaimResult {
    /// The request may run, once.
    Granted(Claim),
    /// A server already answered an earlier attempt at the same request, and the claim row holds
    /// the stored response.
    Answered(StoredResponse),
    /// The request must not run, for the given reason; the caller gets a failure.
    Refused(Reason),
    /// The claim could not be recorded, for example because the table service cannot be reached or
    /// the queue of operations is full. The request does not run.
    Unavailable,
}

impl Claims {
    /// Starts the task that writes claims; the task ends when the returned value is dropped.
    pub fn start(platform: Platform) -> Self {
        let (operations, queue) = mpsc::channel(QUEUE_OPERATIONS);
        let counters = std::sync::Arc::new(ClaimCounters::default());
        let transaction_interval_ms =
            std::sync::Arc::new(AtomicU64::new(1_000 / TRANSACTIONS_PER_S));
        tokio::spawn(batch::run(
            platform,
            queue,
            counters.clone(),
            transaction_interval_ms.clone(),
        ));
        Self {
            transaction_interval_ms,
            operations,
            counters,
        }
    }

    /// Sets the number of hosts. The transactions per second that all hosts together may make are
    /// divided equally among the hosts.
    pub fn set_host_count(&self, hosts: usize) {
        let transaction_interval_ms = hosts as u64 * 1_000 / TRANSACTIONS_PER_S;
        self.transaction_interval_ms
            .store(transaction_interval_ms, Ordering::Relaxed);
    }

    /// Returns the counters of the claims that were made through this value, i.e. by one host. The
    /// counters start at zero when [`Claims::start`] creates the value.
    pub fn counters(&self) -> &ClaimCounters {
        &self.counters
    }

    /// Claims the right to run the request `idempotency_key` of `service`, whose deadline is
    /// `deadline_ms`.
    pub async fn claim(
        &self,
        service: &str,
        idempotency_key: &str,
        fingerprint: Fingerprint,
        deadline_ms: u64,
    ) -> ClaimResult {
        let now_ms = clock::now_ms();
        let row = ClaimRow {
            nonce: rand::rng().random::<u64>() >> 11,
            fingerprint,
            at_unix_ms: clock::unix_ms(),
            until_unix_ms: clock::unix_ms() + deadline_ms.saturating_sub(now_ms),
            state: ClaimState::Pending,
        };
        let key = claim_key(service, idempotency_key);
        let (reply, replied) = oneshot::channel();
        let operation = Operation::Insert {
            key: key.clone(),
            row: row.clone(),
            claim_deadline_ms: deadline_ms.min(now_ms + CLAIM_TIMEOUT_MS),
            reply,
        };
        if self.operations.try_send(operation).is_err() {
            return ClaimResult::Unavailable;
        }
        let claimed = replied.await.unwrap_or(ClaimResult::Unavailable);
        if let ClaimResult::Granted(_) = claimed {
            self.counters.claims.fetch_add(1, Ordering::Relaxed);
        }
        claimed
    }

    /// Ends a claim whose request was answered by a server. `response` is stored for duplicates of
    /// the request; pass `None` if the response is too long to be stored.
    pub fn answered(&self, claim: Claim, response: Option<StoredResponse>) {
        let state = match response {
            Some(response) => ClaimState::Answered(response),
            None => ClaimState::AnswerNotKept,
        };
        self.end(claim, state);
    }

    /// Ends a claim whose request provably did not run. A duplicate of the request may claim the
    /// request again.
    pub fn released(&self, claim: Claim) {
        self.end(claim, ClaimState::Released);
    }

    /// Ends a claim whose request may or may not have run. The request never runs again.
    pub fn unknown(&self, claim: Claim) {
        self.end(claim, ClaimState::Unknown);
    }

    fn end(&self, claim: Claim, state: ClaimState) {
        let operation = Operation::End {
            key: claim.key,
            version: claim.version,
            row: ClaimRow { state, ..claim.row },
        };
        if self.operations.try_send(operation).is_err() {
            // The row stays pending, so duplicates of the request get an unknown outcome: with the
            // reason "in progress" until the deadline, and with the reason "unsettled" afterwards.
            log::warn!("the end of a claim was not recorded: the queue of operations is full");
        }
    }
}

/// Returns a random identifier for one request of a caller. All attempts to send the request to a
/// server carry the same identifier.
pub fn request_id() -> String {
    OperationId::random().0
}
