//! Tracks a query to another host until its response arrives. A response counts as information from
//! the time at which the query was sent: a response that was delayed in the network, or that a
//! suspended host reads late, confirms nothing that is more recent than the query.

use std::sync::{Mutex, PoisonError};

/// Query that waits for its response.
#[derive(Clone, Copy, Debug)]
struct SentQuery {
    /// Random number that matches the response with its query, also across restarts of either host.
    nonce: u64,
    at_ms: u64,
}

/// Latest query of one kind, until its response arrives. A new query replaces the previous one.
#[derive(Debug, Default)]
pub struct PendingQuery {
    pending: Mutex<Option<SentQuery>>,
}

impl PendingQuery {
    /// Records a query that is sent at `at_ms`. Responses to earlier queries are ignored from then
    /// on.
    pub fn start_query(&self, nonce: u64, at_ms: u64) {
        *self.pending.lock().unwrap_or_else(PoisonError::into_inner) =
            Some(SentQuery { nonce, at_ms });
    }

    /// Completes the query with this nonce and returns the time at which the query was sent.
    /// Returns `None` if the nonce is not that of the latest query, or the query has completed
    /// before.
    pub fn answered(&self, nonce: u64) -> Option<u64> {
        let mut pending = self.pending.lock().unwrap_or_else(PoisonError::into_inner);
        let query = pending.take_if(|pending| pending.nonce == nonce);
        query.map(|query| query.at_ms)
    }
}
