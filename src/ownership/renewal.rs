//! Renewal of one server's lease by one host, as a state machine that gets the current time as an
//! argument.

use crate::{
    id::{Incarnation, LeaseEpoch},
    ownership::message::LeaseResponse,
};

/// Delay in milliseconds before a failed renewal is retried.
const RETRY_MS: u64 = 75;

/// Reading of the server's clock, with the time on the renewing host's clock at which the reading
/// was received.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    incarnation: Incarnation,
    clock_ms: u64,
    received_ms: u64,
}

/// Result of one renewal, derived from the server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The server accepted the renewal, or returned the reading of its clock that the first renewal
    /// needs.
    Renewed,
    /// Another process responds at the server's address, so the process that held the lease has
    /// ended.
    Replaced,
    /// The server refused the renewal, because the server has seen a higher lease epoch. Hence the
    /// view of the host that sent the renewal is behind.
    Outdated,
}

/// State of the lease renewals that one host sends to one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct RenewalState {
    lease_epoch: LeaseEpoch,
    reading: Option<ClockReading>,
    last_response_ms: u64,
    due_ms: u64,
    /// Latest end of the lease that any renewal sent so far has requested, on the clock of the
    /// renewing host.
    horizon_ms: u64,
    /// Digest of all grants that the server holds (the combination of their hashes by exclusive
    /// or), taken from the server's last response; `None` before the first response.
    pub digest: Option<u64>,
}

impl RenewalState {
    /// Resets the state if `lease_epoch` differs from the lease epoch of the earlier renewals.
    pub fn start_lease_epoch(&mut self, lease_epoch: LeaseEpoch, now_ms: u64) {
        if self.lease_epoch == lease_epoch {
            return;
        }
        *self = Self {
            lease_epoch,
            last_response_ms: now_ms,
            due_ms: now_ms,
            ..Self::default()
        };
    }

    /// Returns true once the time of the next renewal or retry has come.
    pub fn is_due(&self, now_ms: u64) -> bool {
        now_ms >= self.due_ms
    }

    /// Records that a renewal was sent, and postpones the next renewal until the timeout of the
    /// sent renewal and the retry delay have both passed.
    pub fn record_sent(&mut self, now_ms: u64, timeout_ms: u64) {
        self.due_ms = now_ms + timeout_ms + RETRY_MS;
    }

    /// Returns the end of the lease to request, on the server's clock. This end corresponds to `now
    /// + ttl` on the clock of the renewing host, and a delay of the renewal in the network does
    /// not move this end. `None` before the first reading of the server's clock.
    pub fn order(&mut self, incarnation: Incarnation, now_ms: u64, ttl_ms: u64) -> Option<u64> {
        let reading = self.reading.filter(|r| r.incarnation == incarnation)?;
        let end_ms = now_ms + ttl_ms;
        self.horizon_ms = self.horizon_ms.max(end_ms);
        Some(reading.clock_ms + (end_ms - reading.received_ms))
    }

    /// Applies a response from the server. `intended` is the process that the renewal was for.
    /// `ordered` is false for a request that only queried the server's clock.
    pub fn record_response(
        &mut self,
        response: &LeaseResponse,
        intended: Incarnation,
        ordered: bool,
        now_ms: u64,
        renew_every_ms: u64,
    ) -> RenewalOutcome {
        self.reading = Some(ClockReading {
            incarnation: response.incarnation,
            clock_ms: response.clock_ms,
            received_ms: now_ms,
        });
        if response.incarnation != intended {
            return RenewalOutcome::Replaced;
        }
        self.last_response_ms = now_ms;
        self.digest = Some(response.grants_digest);
        if ordered && !response.accepted {
            self.due_ms = now_ms + RETRY_MS;
            return RenewalOutcome::Outdated;
        }
        // The response to a query only supplies the reading of the clock, so the renewal of
        // the lease is due at once.
        self.due_ms = if ordered {
            now_ms + renew_every_ms
        } else {
            now_ms
        };
        RenewalOutcome::Renewed
    }

    /// Records a failed renewal. Returns true if the server has not responded to the renewing host
    /// for `suspect_ms`.
    pub fn record_failure(&mut self, now_ms: u64, suspect_ms: u64) -> bool {
        self.due_ms = now_ms + RETRY_MS;
        now_ms >= self.last_response_ms + suspect_ms
    }

    /// Returns the time in milliseconds for which renewals sent in this lease epoch may still keep
    /// the lease valid, plus `margin_ms` for drift between the clocks.
    pub fn remaining_ms(&self, lease_epoch: LeaseEpoch, now_ms: u64, margin_ms: u64) -> u64 {
        if self.lease_epoch != lease_epoch {
            return 0;
        }
        (self.horizon_ms + margin_ms).saturating_sub(now_ms)
    }
}
