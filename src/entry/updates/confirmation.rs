//! Tracks the latest point in time at which a host's configuration is known to have been the latest
//! one. That knowledge is called a confirmation. If operators set a bound for the revocation of API
//! keys, a key is accepted only while the last confirmation of the configuration that contains the
//! key is no older than that bound. A host that was partitioned, was suspended, or got its
//! configuration from another host must not trust the configuration for longer than the bound.
//!
//! A confirmation counts from the time at which the query was sent, not from the arrival of the
//! response. A response from the store confirms the configuration as of the time of the query. A
//! response from the leader confirms the configuration as of the time of the query minus the age of
//! the leader's own confirmation.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use super::query::PendingQuery;

/// Latest time at which this host's configuration is known to have been the latest one, and the
/// state needed to determine it.
#[derive(Debug, Default)]
pub struct ConfigurationConfirmation {
    /// Time of the latest confirmation; 0 before the first.
    confirmed_ms: AtomicU64,
    /// True while the latest configuration cannot be decoded: the configuration in force is then
    /// outdated and must not count as confirmed.
    unreadable: AtomicBool,
    /// Latest query to the leader for the age of the leader's confirmation, until the response
    /// arrives.
    query: PendingQuery,
}

impl ConfigurationConfirmation {
    /// Records that the configuration in force was the latest one at `at_ms`.
    pub fn note(&self, at_ms: u64) {
        self.confirmed_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// Records whether the latest configuration cannot be decoded.
    pub fn set_unreadable(&self, unreadable: bool) {
        self.unreadable.store(unreadable, Ordering::Relaxed);
    }

    /// Returns the age of the latest confirmation; `None` before the first confirmation, and while
    /// the latest configuration cannot be decoded.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let confirmed_ms = self.confirmed_ms.load(Ordering::Relaxed);
        let is_confirmed = confirmed_ms > 0 && !self.unreadable.load(Ordering::Relaxed);
        is_confirmed.then(|| now_ms.saturating_sub(confirmed_ms))
    }

    /// Records a query, sent at `at_ms`, to the leader for the age of the leader's confirmation.
    pub fn start_query(&self, nonce: u64, at_ms: u64) {
        self.query.start_query(nonce, at_ms);
    }

    /// Records the leader's response: the leader's configuration, which this host has as well, was
    /// the latest one `age_ms` before the leader responded. Responses to earlier queries are
    /// ignored.
    pub fn note_response(&self, nonce: u64, age_ms: u64) {
        if let Some(sent_ms) = self.query.answered(nonce) {
            self.note(sent_ms.saturating_sub(age_ms));
        }
    }
}
