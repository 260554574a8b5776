//! Freshness of a host's view, which decides if the host may act on it.
//!
//! A host's *basis* is the latest time for which the host knows that it has applied every change
//! that was in force then. The view is fresh while the basis is recent enough. The basis comes from
//! one of three sources:
//!
//! - a read of the change log: the time at which the read was sent;
//! - the reply to a heartbeat by one peer that has a basis itself: the time at which the ping was
//!   sent, less the age of the peer's basis;
//! - replies to heartbeats by more than half of the voters, this host included: the time at which
//!   the oldest of these pings was sent.
//!
//! The last source also works while the platform's store is down: the lease of a lost server is
//! recorded as lapsed only after more than half of the voters have applied the loss, and any two
//! majorities share a host. Every source counts from the sending of the read or the ping, so that a
//! delayed reply does not make the basis younger. A reply counts only if this host has applied the
//! revision that it carries.

use serde::{Deserialize, Serialize};

use crate::id::{HostKey, Incarnation, Revision};

/// Latest reply of one peer to a heartbeat, with the time since which it has reported the same
/// revision.
#[derive(Clone, Copy, Debug)]
struct LastReply {
    host: HostKey,
    incarnation: Incarnation,
    sent_ms: u64,
    revision: Revision,
    /// Time at which the first ping that the peer replied to with this revision was sent.
    since_ms: u64,
}

/// Revision of a peer, as reported in its replies to heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerRevision {
    /// Revision that the peer had applied when it replied.
    pub revision: Revision,
    /// Time at which the first ping that the peer replied to with this revision was sent.
    pub since_ms: u64,
    /// Time at which the last ping that the peer replied to was sent.
    pub heard_ms: u64,
}

/// Reply of a peer to a heartbeat of this host, with the time at which the heartbeat was sent.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatReply {
    /// Host that replied, by its key in the registry.
    pub host: HostKey,
    /// Process that replied; a restarted host replies with a new one.
    pub incarnation: Incarnation,
    /// Time at which this host sent the ping, on its own clock.
    pub sent_ms: u64,
    /// Revision that the peer had applied when it replied.
    pub revision: Revision,
    /// Age of the peer's basis when it replied; `None` if it has no basis.
    pub staleness_ms: Option<u64>,
}

/// A host process that counts in majorities. The type also identifies processes of registered hosts
/// that are not voters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostProcess {
    /// Key of the host; a restarted host may get the same one.
    pub host: HostKey,
    /// Process of the host; a restarted one is another voter.
    pub incarnation: Incarnation,
}

/// Basis of one host's view, and the replies to its heartbeats.
#[derive(Clone, Debug, Default)]
pub struct StalenessTracker {
    up_to_date_ms: Option<u64>,
    heard: Vec<LastReply>,
}

impl StalenessTracker {
    /// Records that a read of the change log, sent at `sent_ms`, found no further entries.
    pub fn record_log_read(&mut self, sent_ms: u64) {
        self.advance_up_to_date_ms(sent_ms);
    }

    /// Records the reply of a peer; `applied` is this host's revision, and `quorum_members` are the voters
    /// of the state at that revision.
    pub fn record_heartbeat_reply(
        &mut self,
        reply: HeartbeatReply,
        applied: Revision,
        own: HostProcess,
        quorum_members: &[HostProcess],
    ) {
        if reply.revision > applied {
            return;
        }
        self.store_reply(reply);
        if let Some(age_ms) = reply.staleness_ms {
            self.advance_up_to_date_ms(reply.sent_ms.saturating_sub(age_ms));
        }
        if let Some(oldest_ms) = self.majority_ms(own, quorum_members) {
            self.advance_up_to_date_ms(oldest_ms);
        }
    }

    /// Raises the basis to `now_ms` if this host is the only voter, and so a majority by itself.
    pub fn advance_if_only_quorum_member(
        &mut self,
        now_ms: u64,
        own: HostProcess,
        quorum_members: &[HostProcess],
    ) {
        if quorum_members == [own] {
            self.advance_up_to_date_ms(now_ms);
        }
    }

    /// Keeps the reply if its ping was sent later than that of the last reply of the same peer.
    fn store_reply(&mut self, reply: HeartbeatReply) {
        let mut heard = LastReply {
            host: reply.host,
            incarnation: reply.incarnation,
            sent_ms: reply.sent_ms,
            revision: reply.revision,
            since_ms: reply.sent_ms,
        };
        let Some(previous) = self.heard.iter_mut().find(|h| h.host == reply.host) else {
            self.heard.push(heard);
            return;
        };
        if previous.sent_ms >= heard.sent_ms {
            return;
        }
        if previous.incarnation == heard.incarnation && previous.revision == heard.revision {
            heard.since_ms = previous.since_ms;
        }
        *previous = heard;
    }

    /// Returns the time of the oldest ping among the latest replies that form a majority with this
    /// host; `None` if too few voters have replied.
    fn majority_ms(&self, own: HostProcess, quorum_members: &[HostProcess]) -> Option<u64> {
        let needed = quorum_members.len() / 2 + 1;
        let own_counts = quorum_members.contains(&own);
        let needed = needed - usize::from(own_counts);
        let mut ping_times_ms: Vec<u64> = self
            .heard
            .iter()
            .filter(|heard| {
                let host_process = HostProcess {
                    host: heard.host,
                    incarnation: heard.incarnation,
                };
                host_process != own && quorum_members.contains(&host_process)
            })
            .map(|heard| heard.sent_ms)
            .collect();
        if needed == 0 || ping_times_ms.len() < needed {
            return None;
        }
        ping_times_ms.sort_unstable_by(|a, b| b.cmp(a));
        Some(ping_times_ms[needed - 1])
    }

    fn advance_up_to_date_ms(&mut self, up_to_date_ms: u64) {
        self.up_to_date_ms = self.up_to_date_ms.max(Some(up_to_date_ms));
    }

    /// Returns the basis: the latest time for which the view is known to be complete. `None` until
    /// it is first set.
    pub fn up_to_date_ms(&self) -> Option<u64> {
        self.up_to_date_ms
    }

    /// Returns the time at which the last ping that `host` replied to was sent.
    pub fn heard_ms(&self, host: HostKey) -> Option<u64> {
        self.peer_revision(host).map(|heard| heard.heard_ms)
    }

    /// Returns the revision that `host` reported last; `None` if it has not replied yet.
    pub fn peer_revision(&self, host: HostKey) -> Option<PeerRevision> {
        let heard = self.heard.iter().find(|heard| heard.host == host)?;
        Some(PeerRevision {
            revision: heard.revision,
            since_ms: heard.since_ms,
            heard_ms: heard.sent_ms,
        })
    }
}
