//! Decides until when a server may hold leases of keys, and with it when the keys of a server that
//! does not release them may be granted to another server. Handles servers that are frozen or
//! disconnected from the leader: they go on serving their keys until the last lease that any leader
//! may have granted them has expired.

/// Timeout of a grant command to a server. A server usually answers within a few milliseconds, and
/// a lost packet is retransmitted within the timeout. Nine grants fit into the time from the
/// renewal of a lease to its expiry: if half of the responses are lost, two leases in a thousand
/// expire.
pub const GRANT_TIMEOUT_MS: u64 = 300;
/// Factor by which the leader's wait for the expiry of a lease is longer than the lease. The clock
/// of a server may run up to 2% slow, so the server may serve the keys that much longer than the
/// lease on the leader's clock. [`LEASE_MARGIN_MS`] is added to the wait, since a grant command may
/// arrive at the server until the timeout of the command, [`GRANT_TIMEOUT_MS`].
const LEASE_CLOCK_FACTOR: f64 = 1.03;
/// Time that is added to the wait for the expiry of a lease, see [`LEASE_CLOCK_FACTOR`].
const LEASE_MARGIN_MS: u64 = GRANT_TIMEOUT_MS + 250;
/// Minimum timeout of a release command. This timeout applies when the lease of the server is about
/// to expire or has expired; otherwise the timeout is the remaining time of the lease, at most
/// [`RELEASE_TIMEOUT_MS`].
const RELEASE_TIMEOUT_MIN_MS: u64 = 300;
/// Maximum timeout of a release command. The timeout is long because a server responds only after
/// its running requests for the keys have ended.
pub const RELEASE_TIMEOUT_MS: u64 = 2_500;

/// Grants of leases to one server that the leader sent in its current term.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SentGrants {
    /// Time at which the leader sent the last grant that may have arrived at the server; 0 if there
    /// was no such grant.
    granted_ms: u64,
    /// Number of grants to the server that the leader has sent and that have neither been answered
    /// nor timed out. Each of them may still extend the lease of the server.
    in_flight: u32,
}

impl SentGrants {
    /// Records that a grant is sent.
    pub fn begin(&mut self) {
        self.in_flight += 1;
    }

    /// Records the outcome of a grant that was sent at `sent_ms`. A grant that certainly did not
    /// reach the server extends no lease, so its time is not recorded and the keys become free
    /// earlier.
    pub fn complete(&mut self, sent_ms: u64, may_have_arrived: bool) {
        self.in_flight -= 1;
        if may_have_arrived {
            self.granted_ms = self.granted_ms.max(sent_ms);
        }
    }

    /// Returns true while a grant may still extend the lease of the server.
    pub fn is_any_in_flight(&self) -> bool {
        self.in_flight > 0
    }

    /// Returns the time of the last grant that may have extended the lease of the server: `now_ms`
    /// while a grant is in flight, else the time at which the last grant was sent.
    pub fn last_ms(&self, now_ms: u64) -> u64 {
        if self.is_any_in_flight() {
            now_ms
        } else {
            self.granted_ms
        }
    }
}

/// Returns the time after which a server holds no lease. The last grant of the deciding leader was
/// sent at `own_ms`, and leaders of earlier terms may have sent grants until `earlier_ms`.
pub fn lease_end_ms(own_ms: u64, earlier_ms: u64, lease_ms: u64) -> u64 {
    let lease_ms = lease_ms as f64 * LEASE_CLOCK_FACTOR;
    own_ms.max(earlier_ms) + lease_ms as u64 + LEASE_MARGIN_MS
}

/// Returns true if a leader whose last successful confirmation was sent at `confirmed_ms` may grant
/// leases.
pub fn may_grant(confirmed_ms: u64, outage_ms: u64, now_ms: u64) -> bool {
    now_ms < confirmed_ms + outage_ms
}

/// Returns true if a leader whose last successful confirmation was sent at `confirmed_ms` may send a
/// grant over a connection that was open by `opened_ms`, to a server whose name a later process may
/// use again. The process at the other end of such a connection started before any later leader
/// took over, so it has received every release that a later leader sent under that name, and
/// refuses the grant if its fence is lower. A process that started under a later leader can be
/// reached only over later connections, and may have seen no fence.
pub fn is_confirmed_after(confirmed_ms: u64, opened_ms: u64) -> bool {
    opened_ms < confirmed_ms
}

/// Until when leaders of earlier terms may grant leases, as a host finds it when it takes over the
/// leadership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EarlierLeaders {
    /// Time up to which leaders of terms before the predecessor's term may grant leases.
    pub before_predecessor_until_ms: u64,
    /// Time up to which the predecessor or a leader before it may grant leases.
    pub until_ms: u64,
}

impl EarlierLeaders {
    /// The host first read the unchanged leadership row at `seen_ms`. The row says that leaders
    /// before the predecessor may grant for `row_earlier_ms` after its write. The predecessor may
    /// grant for `outage_ms` after its last confirmation, unless it has handed over the leadership.
    pub fn new(seen_ms: u64, row_earlier_ms: u64, outage_ms: u64, is_handed_over: bool) -> Self {
        let before_predecessor_until_ms = seen_ms + row_earlier_ms;
        let until_ms = if is_handed_over {
            before_predecessor_until_ms
        } else {
            before_predecessor_until_ms.max(seen_ms + outage_ms)
        };
        Self {
            before_predecessor_until_ms,
            until_ms,
        }
    }
}

/// Former server of keys that are being moved, as the leader knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FormerServer {
    /// True if the process of the server has certainly ended.
    pub has_ended: bool,
    /// Time after which the server holds no lease, see [`lease_end_ms`].
    pub lease_end_ms: u64,
    /// True if no release command is due once the leases have ended: one was sent then, or the server
    /// is not in the registry.
    pub is_asked: bool,
    /// True if an address of the server is known.
    pub has_address: bool,
}

/// Next step of a move of keys from their former server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStep {
    /// The former server no longer holds the keys, so they are granted to the new one.
    Grant,
    /// The former server is asked to release the keys, with this timeout.
    Release {
        /// Timeout of the release command.
        timeout_ms: u64,
    },
    /// The lease of the former server is waited for.
    Wait {
        /// Time until the lease ends.
        wait_ms: u64,
    },
}

impl FormerServer {
    /// Returns the next step of the move. A server with an entry in the registry gets the release
    /// command at least once, even if its leases have expired, since the handover token in its
    /// response warms up the new server.
    pub fn next_step(&self, now_ms: u64) -> MoveStep {
        if self.has_ended || self.is_asked && now_ms >= self.lease_end_ms {
            return MoveStep::Grant;
        }
        let left_ms = self.lease_end_ms.saturating_sub(now_ms);
        if self.has_address {
            let timeout_ms = left_ms.clamp(RELEASE_TIMEOUT_MIN_MS, RELEASE_TIMEOUT_MS);
            MoveStep::Release { timeout_ms }
        } else {
            MoveStep::Wait { wait_ms: left_ms }
        }
    }
}
