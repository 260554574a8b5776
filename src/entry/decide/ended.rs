//! Decides whether the process of a server has certainly ended, so that its keys may be granted to
//! other servers before its lease expires. Handles the loss of many servers at once: without this
//! decision, requests for the keys of lost servers are refused until the leases of the servers have
//! expired, including those that an earlier leader may have granted.
//!
//! An address that refuses connections has no listening process. A process that shuts down
//! gracefully closes its listener while its last requests still run, but its entry in the store
//! shows for seconds before that it is leaving, or is removed. A refused connection is therefore
//! evidence if the store states after it that the entry is present and ready. The entry of an ended
//! server expires within seconds, so that later attempts need no entry. An end is final for an
//! incarnation, so that evidence does not become stale.
//!
//! An entry with a start time may be followed by another process under the same name, which would
//! execute a late grant that a leader of an earlier term meant for the ended process. Refused
//! connections at such a server are evidence only once no earlier leader may grant leases any more.
//! A server without a start time gets a new name with every start.

use super::Policy;

/// Longest time from the first refused attempt in which the entry may be absent at further attempts.
/// Within this time, a server that began to shut down after the first attempt still accepts
/// connections: it does so for at least 2 s after its entry has changed.
const ABSENT_SPAN_MAX_MS: u64 = 1_500;

/// Connection attempt of the deciding host at the address of a server, and what the host knew of
/// the server when the attempt had ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionAttempt {
    /// Time at which the attempt began.
    pub began_ms: u64,
    /// Time at which its outcome was known.
    pub completed_ms: u64,
    /// True if the address refused the connection; false after a success, a timeout, a reset or any
    /// other failure.
    pub is_refused: bool,
    /// True if the deciding host has another open connection to the server, whose process then
    /// probably runs.
    pub has_open_connection: bool,
    /// True if another process may start under the same name, because the entry states a start
    /// time, and a leader of an earlier term may still send it grants.
    pub may_follow_under_name: bool,
    /// Entry of the server in the store, as the deciding host knew it.
    pub entry: EntryState,
    /// True if a notice of the server says that it leaves.
    pub has_leave_notice: bool,
    /// Age of the deciding host's view of the store.
    pub view_age_ms: u64,
    /// Time at which the server last answered the deciding host; 0 if it never did.
    pub answered_ms: u64,
}

/// State of a server's entry in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryState {
    /// The entry is present, with the address of the attempt, and ready.
    Ready,
    /// There is no entry of the incarnation.
    Absent,
    /// The entry says that the server leaves, names another address, was written anew, or may be
    /// missing only because of an outage of the store.
    Other,
}

impl ConnectionAttempt {
    /// Returns true if the attempt shows that no process listens at the address. The entry may be
    /// absent if `may_be_absent` is true.
    fn is_evidence(&self, may_be_absent: bool, policy: &Policy) -> bool {
        let entry_agrees = match self.entry {
            EntryState::Ready => true,
            EntryState::Absent => may_be_absent,
            EntryState::Other => false,
        };
        entry_agrees
            && self.is_refused
            && !self.has_open_connection
            && !self.may_follow_under_name
            && !self.has_leave_notice
            && self.view_age_ms <= policy.ended_view_age_ms
            && self.answered_ms < self.began_ms
    }
}

/// Refused connection attempts at one server with nothing else in between.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Evidence {
    refused: u32,
    first_ms: u64,
    /// Time at which the outcome of the first refused attempt was known.
    first_completed_ms: u64,
    latest_ms: u64,
    /// True once the store has confirmed, after the first refused attempt, that the entry of the
    /// server was present and ready.
    is_confirmed: bool,
}

impl Evidence {
    /// Adds an attempt. An attempt that is no evidence, and a response of the server since the
    /// first refused attempt, discard all earlier attempts and the confirmation.
    pub fn note(&mut self, attempt: &ConnectionAttempt, policy: &Policy) {
        let is_soon = attempt.began_ms < self.first_ms + ABSENT_SPAN_MAX_MS;
        if !attempt.is_evidence(self.is_confirmed && is_soon, policy) {
            *self = Self::default();
            return;
        }
        if self.refused == 0 || attempt.answered_ms >= self.first_ms {
            *self = Self {
                refused: 0,
                first_ms: attempt.began_ms,
                first_completed_ms: attempt.completed_ms,
                latest_ms: attempt.began_ms,
                is_confirmed: false,
            };
        }
        self.refused += 1;
        self.latest_ms = attempt.began_ms;
    }

    /// Records that the store stated, in response to a call sent at `sent_ms`, that the entry of the
    /// server is present and ready. A server that shuts down in order still accepts connections for
    /// a while after its entry has changed, so that the entry may expire from then on.
    pub fn confirm(&mut self, sent_ms: u64) {
        self.is_confirmed |= self.is_open_to_confirmation(sent_ms);
    }

    /// Returns true if the response to a call sent at `sent_ms` can confirm the entry: the first
    /// refused attempt had been completed before.
    pub fn is_open_to_confirmation(&self, sent_ms: u64) -> bool {
        self.refused > 0 && sent_ms > self.first_completed_ms
    }

    /// Returns true if there is a refused attempt and the store has not confirmed the entry yet.
    pub fn needs_confirmation(&self) -> bool {
        self.refused > 0 && !self.is_confirmed
    }

    /// Returns true if the store has confirmed the entry after the first refused attempt.
    pub fn is_confirmed(&self) -> bool {
        self.is_confirmed
    }

    /// Returns the number of refused attempts.
    pub fn refused(&self) -> u32 {
        self.refused
    }

    /// Returns the time from the first to the latest refused attempt.
    pub fn span_ms(&self) -> u64 {
        self.latest_ms.saturating_sub(self.first_ms)
    }

    /// Returns the time at which the latest refused attempt began.
    pub fn latest_ms(&self) -> u64 {
        self.latest_ms
    }

    /// Returns true if the refused attempts suffice, in number and span.
    pub fn is_sufficient(&self, policy: &Policy) -> bool {
        self.refused >= policy.ended_attempts && self.span_ms() >= policy.ended_evidence_ms
    }

    /// Returns true if the process of the server has ended: the attempts suffice, and the store has
    /// confirmed the entry. Without the confirmation, a view that lags behind the store might show a
    /// leaving server as ready.
    pub fn is_proof(&self, policy: &Policy) -> bool {
        self.is_sufficient(policy) && self.is_confirmed
    }
}
