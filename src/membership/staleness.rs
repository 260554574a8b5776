//! Staleness of a host's view of the replicated state, which decides whether the host may act on
//! it.
//!
//! The *up-to-date time* of a host is the latest time for which the host knows that it has applied
//! every change that was in force then. The *staleness* of its view is the time that has passed
//! since. A host acts on its view only while the staleness is at most the configured maximum. The
//! up-to-date time comes from one of three sources:
//!
//! - a read of the change log that found no further entries: the time at which the host sent the
//!   read;
//! - the reply from one peer to a heartbeat, if that peer has an up-to-date time itself: the time
//!   at which the ping was sent, less the staleness that the peer reports;
//! - replies to heartbeats by more than half of the quorum members, the host itself included: the
//!   time at which the oldest of these pings was sent.
//!
//! The last source also works while the platform's store is down: the lease of a lost server is
//! recorded as expired only after more than half of the quorum members have applied the loss, and
//! any two majorities share a host. Every source uses the time at which the read or the ping was
//! sent, so that a delayed reply does not make the view look more recent than the view is. A reply
//! counts only if the host that receives it has applied the revision that the reply carries.

use serde::{Deserialize, Serialize};

use crate::id::{HostKey, Incarnation, Revision};

/// Latest reply from one peer to a heartbeat, and the time since which the peer has reported the
/// same revision in its replies.
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

/// Reply from a peer to a heartbeat that this host sent, with the time at which the heartbeat was
/// sent.
#[derive(Clone, Copy, Debug)]
pub struct HeartbeatReply {
    /// Host that replied, by its key in the registry.
    pub host: HostKey,
    /// Process that replied; a restarted host replies with another incarnation.
    pub incarnation: Incarnation,
    /// Time at which this host sent the ping, on its own clock.
    pub sent_ms: u64,
    /// Revision that the peer had applied when it replied.
    pub revision: Revision,
    /// Staleness of the peer's view when it replied, in milliseconds; `None` if that view was never
    /// known to be complete.
    pub staleness_ms: Option<u64>,
}

/// One process of a registered host, identified by the key of the host and the incarnation of the
/// process. A *quorum member* is a process that counts in majorities (see [`super::registry`]).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HostProcess {
    /// Key of the host in the registry; a restarted host may get the same key.
    pub host: HostKey,
    /// Random identifier of the process; a restarted host has another incarnation and so is another
    /// process.
    pub incarnation: Incarnation,
}

/// Up-to-date time of one host (the latest time for which the host knows that it had applied every
/// change in force), and the latest replies of its peers to heartbeats.
#[derive(Clone, Debug, Default)]
pub struct StalenessTracker {
    up_to_date_ms: Option<u64>,
    last_replies: Vec<LastReply>,
}

impl StalenessTracker {
    /// Records that a read of the change log, sent at `sent_ms`, found no further entries.
    pub fn record_log_read(&mut self, sent_ms: u64) {
        self.advance_up_to_date_ms(sent_ms);
    }

    /// Records the reply from a peer to a heartbeat. A reply with a revision above `applied` is
    /// ignored. `applied` is the revision that this host has applied, and `quorum_members` are the
    /// quorum members of the state at that revision.
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

    /// Advances the up-to-date time to `now_ms` if this host is the only quorum member, and so a
    /// majority by itself.
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

    /// Stores the reply as the last reply of its peer if its ping was sent later than the ping of
    /// the last reply of the same peer.
    fn store_reply(&mut self, reply: HeartbeatReply) {
        let mut heard = LastReply {
            host: reply.host,
            incarnation: reply.incarnation,
            sent_ms: reply.sent_ms,
            revision: reply.revision,
            since_ms: reply.sent_ms,
        };
        let Some(previous) = self.last_replies.iter_mut().find(|h| h.host == reply.host) else {
            self.last_replies.push(heard);
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

    /// Returns the time of the oldest ping among the latest replies that form a majority of the
    /// quorum members together with this host; `None` if too few quorum members have replied.
    fn majority_ms(&self, own: HostProcess, quorum_members: &[HostProcess]) -> Option<u64> {
        let needed = quorum_members.len() / 2 + 1;
        let own_counts = quorum_members.contains(&own);
        let needed = needed - usize::from(own_counts);
        let mut ping_times_ms: Vec<u64> = self
            .last_replies
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

    /// Returns the up-to-date time: the latest time for which the view is known to be complete.
    /// `None` until a read of the log or replies to heartbeats have first shown that the view is
    /// complete.
    pub fn up_to_date_ms(&self) -> Option<u64> {
        self.up_to_date_ms
    }

    /// Returns the time at which the last ping that `host` replied to was sent; `None` if `host`
    /// has not replied to a ping yet.
    pub fn heard_ms(&self, host: HostKey) -> Option<u64> {
        self.peer_revision(host).map(|heard| heard.heard_ms)
    }

    /// Returns the revision that `host` reported in its last reply to a heartbeat; `None` if `host`
    /// has not replied yet.
    pub fn peer_revision(&self, host: HostKey) -> Option<PeerRevision> {
        let heard = self.last_replies.iter().find(|heard| heard.host == host)?;
        Some(PeerRevision {
            revision: heard.revision,
            since_ms: heard.since_ms,
            heard_ms: heard.sent_ms,
        })
    }
}
