//! Proof of how recent this host's configuration is. Where operators revoke API keys under a bound, a key is good
//! only while the configuration that knows it is proved to be no older than the bound: a host that is cut off, that
//! has stood still, or that was told by another must not go on trusting it.
//!
//! A proof is dated from the sending of a question that was answered. The store's answer proves the configuration as
//! of then; the holder's answer proves it as of then less the age of the holder's own proof.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use super::question::PendingQuery;

/// Up to when this host's configuration is known to be the latest one.
#[derive(Debug, Default)]
pub struct ConfigurationProof {
    /// 0 before the first proof.
    proved_ms: AtomicU64,
    /// True while the latest configuration cannot be read: the one in force proves nothing then.
    unreadable: AtomicBool,
    /// To the holder.
    question: PendingQuery,
}

impl ConfigurationProof {
    /// Notes that the configuration in force was the latest one at a time.
    pub fn note(&self, at_ms: u64) {
        self.proved_ms.fetch_max(at_ms, Ordering::Relaxed);
    }

    /// Notes whether the latest configuration can be read.
    pub fn set_unreadable(&self, unreadable: bool) {
        self.unreadable.store(unreadable, Ordering::Relaxed);
    }

    /// Time since the configuration was surely the latest one; `None` if it never was.
    pub fn age_ms(&self, now_ms: u64) -> Option<u64> {
        let proved_ms = self.proved_ms.load(Ordering::Relaxed);
        let proves = proved_ms > 0 && !self.unreadable.load(Ordering::Relaxed);
        proves.then(|| now_ms.saturating_sub(proved_ms))
    }

    /// Notes a question to the holder.
    pub fn ask(&self, nonce: u64, at_ms: u64) {
        self.question.ask(nonce, at_ms);
    }

    /// Notes the holder's answer: its configuration, which this host has too, was the latest one `age_ms` before it
    /// answered. An answer to an earlier question counts for nothing.
    pub fn note_answer(&self, nonce: u64, age_ms: u64) {
        if let Some(asked_ms) = self.question.answered(nonce) {
            self.note(asked_ms.saturating_sub(age_ms));
        }
    }
}
