//! When a host may act on its view.
//!
//! A host's *basis* is the latest time for which it knows that it has applied every change that
//! was in force then. It comes from one of three sources:
//!
//! - a read of the change log: the time at which the read was sent;
//! - an answer of one peer that has a basis itself: the time at which the question was sent, less
//!   the age of the peer's basis;
//! - answers of more than half of the counted hosts, the own one included: the time at which the
//!   oldest of these questions was sent.
//!
//! The last one holds while the platform's store is down: a lost server's lease is declared lapsed
//! only after more than half of the counted hosts have applied the loss, and two majorities share
//! a host. Every source takes the time of the question, so that a delayed answer makes the basis
//! no younger. An answer counts only if this host has applied the revision that it carries.

use serde::{Deserialize, Serialize};

use crate::id::{HostKey, Incarnation, Revision};

/// What one peer said last.
#[derive(Clone, Copy, Debug)]
struct LastReply {
    host: HostKey,
    incarnation: Incarnation,
    sent_ms: u64,
    revision: Revision,
    /// When this revision was first heard of.
    since_ms: u64,
}

/// A peer's revision as heard by heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerRevision {
    /// Revision.
    pub revision: Revision,
    /// When this host first heard that the peer has it.
    pub since_ms: u64,
    /// When the peer was last asked a question that it answered.
    pub heard_ms: u64,
}

/// Answer of a peer to a heartbeat.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatReply {
    /// Peer.
    pub host: HostKey,
    /// Its process.
    pub incarnation: Incarnation,
    /// When this host sent the question.
    pub sent_ms: u64,
    /// Revision that the peer has applied.
    pub revision: Revision,
    /// Age of the peer's own basis; none if it has none.
    pub basis_age_ms: Option<u64>,
}

/// A host that counts in the majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Voter {
    /// Host.
    pub host: HostKey,
    /// Its process.
    pub incarnation: Incarnation,
}

/// The basis of one host.
#[derive(Clone, Debug, Default)]
pub struct Freshness {
    basis_ms: Option<u64>,
    heard: Vec<LastReply>,
}

impl Freshness {
    /// The change log was read to its end by a read that was sent at `sent_ms`.
    pub fn record_log_read(&mut self, sent_ms: u64) {
        self.raise_basis(sent_ms);
    }

    /// Takes a peer's answer; `applied` is this host's revision and `voters` are the counted hosts
    /// at it.
    pub fn record_heartbeat_reply(
        &mut self,
        answer: HeartbeatReply,
        applied: Revision,
        own: Voter,
        voters: &[Voter],
    ) {
        if answer.revision > applied {
            return;
        }
        self.store_reply(answer);
        if let Some(age_ms) = answer.basis_age_ms {
            self.raise_basis(answer.sent_ms.saturating_sub(age_ms));
        }
        if let Some(oldest_ms) = self.majority_ms(own, voters) {
            self.raise_basis(oldest_ms);
        }
    }

    /// A host that is the only counted one is a majority by itself.
    pub fn raise_if_only_voter(&mut self, now_ms: u64, own: Voter, voters: &[Voter]) {
        if voters == [own] {
            self.raise_basis(now_ms);
        }
    }

    fn store_reply(&mut self, answer: HeartbeatReply) {
        let mut heard = LastReply {
            host: answer.host,
            incarnation: answer.incarnation,
            sent_ms: answer.sent_ms,
            revision: answer.revision,
            since_ms: answer.sent_ms,
        };
        let Some(held) = self.heard.iter_mut().find(|h| h.host == answer.host) else {
            self.heard.push(heard);
            return;
        };
        if held.sent_ms >= heard.sent_ms {
            return;
        }
        if held.incarnation == heard.incarnation && held.revision == heard.revision {
            heard.since_ms = held.since_ms;
        }
        *held = heard;
    }

    /// Time of the oldest question among the youngest answers that make a majority.
    fn majority_ms(&self, own: Voter, voters: &[Voter]) -> Option<u64> {
        let needed = voters.len() / 2 + 1;
        let own_counts = voters.contains(&own);
        let needed = needed - usize::from(own_counts);
        let mut asked: Vec<u64> = self
            .heard
            .iter()
            .filter(|heard| {
                let voter = Voter {
                    host: heard.host,
                    incarnation: heard.incarnation,
                };
                voter != own && voters.contains(&voter)
            })
            .map(|heard| heard.sent_ms)
            .collect();
        if needed == 0 || asked.len() < needed {
            return None;
        }
        asked.sort_unstable_by(|a, b| b.cmp(a));
        Some(asked[needed - 1])
    }

    fn raise_basis(&mut self, basis_ms: u64) {
        self.basis_ms = self.basis_ms.max(Some(basis_ms));
    }

    /// The basis; none before the first one.
    pub fn basis_ms(&self) -> Option<u64> {
        self.basis_ms
    }

    /// When `host` was last asked a question that it answered.
    pub fn heard_ms(&self, host: HostKey) -> Option<u64> {
        self.peer_revision(host).map(|heard| heard.heard_ms)
    }

    /// What `host` said of its revision.
    pub fn peer_revision(&self, host: HostKey) -> Option<PeerRevision> {
        let heard = self.heard.iter().find(|heard| heard.host == host)?;
        Some(PeerRevision {
            revision: heard.revision,
            since_ms: heard.since_ms,
            heard_ms: heard.sent_ms,
        })
    }
}
