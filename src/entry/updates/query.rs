//! Query to another host. The answer is dated from the sending of the query: a response that was
//! delayed in the network, or that a suspended host reads late, proves nothing more recent than
//! that.

use std::sync::{Mutex, PoisonError};

/// Query that was not answered yet.
#[derive(Clone, Copy, Debug)]
struct SentQuery {
    /// Random number that matches the answer with its query, also across restarts of either host.
    nonce: u64,
    at_ms: u64,
}

/// Latest unanswered query of one kind.
#[derive(Debug, Default)]
pub struct PendingQuery {
    pending: Mutex<Option<SentQuery>>,
}

impl PendingQuery {
    /// Records a query; answers to earlier ones are ignored from then on.
    pub fn start_query(&self, nonce: u64, at_ms: u64) {
        *self.pending.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(SentQuery { nonce, at_ms });
    }

    /// Returns when the query with this nonce was sent, and completes it. Returns `None` if it is
    /// not the latest query or was answered before.
    pub fn answered(&self, nonce: u64) -> Option<u64> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let query = pending.take_if(|pending| pending.nonce == nonce);
        query.map(|query| query.at_ms)
    }
}
