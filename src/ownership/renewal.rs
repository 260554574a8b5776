//! Renewal of one server's lease by one host, as a state machine that takes time as an argument.

use crate::{
    id::{Incarnation, LeaseEpoch},
    ownership::message::LeaseResponse,
};

/// Pause before a failed renewal is tried again.
const RETRY_MS: u64 = 75;

/// A reading of the server's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    incarnation: Incarnation,
    clock_ms: u64,
    received_ms: u64,
}

/// What an answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The lease is renewed.
    Renewed,
    /// Another process answers at the server's address.
    Replaced,
    /// The order was refused as outdated; this host's view is behind.
    Outdated,
}

/// One host's contact with one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct RenewalState {
    lease_epoch: LeaseEpoch,
    reading: Option<ClockReading>,
    answered_ms: u64,
    due_ms: u64,
    /// End of the lease, on this host's clock, by all renewals sent so far.
    horizon_ms: u64,
    /// Digest of the grants that the server said it holds.
    pub digest: Option<u64>,
}

impl RenewalState {
    /// Begins a membership period, if it is a new one.
    pub fn start_period(&mut self, lease_epoch: LeaseEpoch, now_ms: u64) {
        if self.lease_epoch == lease_epoch {
            return;
        }
        *self = Self {
            lease_epoch,
            answered_ms: now_ms,
            due_ms: now_ms,
            ..Self::default()
        };
    }

    /// True if the next renewal should be sent.
    pub fn due(&self, now_ms: u64) -> bool {
        now_ms >= self.due_ms
    }

    /// Postpones the next renewal while one is under way.
    pub fn sent(&mut self, now_ms: u64, timeout_ms: u64) {
        self.due_ms = now_ms + timeout_ms + RETRY_MS;
    }

    /// End of the lease to ask for, on the server's clock, so that it is over at `now + ttl` on
    /// this host's clock, and no later however long the order takes on its way. None before the
    /// first reading of the server's clock.
    pub fn order(&mut self, incarnation: Incarnation, now_ms: u64, ttl_ms: u64) -> Option<u64> {
        let reading = self.reading.filter(|r| r.incarnation == incarnation)?;
        let end_ms = now_ms + ttl_ms;
        self.horizon_ms = self.horizon_ms.max(end_ms);
        Some(reading.clock_ms + (end_ms - reading.received_ms))
    }

    /// Takes an answer.
    pub fn answered(
        &mut self,
        answer: &LeaseResponse,
        meant: Incarnation,
        ordered: bool,
        now_ms: u64,
        renew_every_ms: u64,
    ) -> RenewalOutcome {
        self.reading = Some(ClockReading {
            incarnation: answer.incarnation,
            clock_ms: answer.clock_ms,
            received_ms: now_ms,
        });
        if answer.incarnation != meant {
            return RenewalOutcome::Replaced;
        }
        self.answered_ms = now_ms;
        self.digest = Some(answer.grants_digest);
        if ordered && !answer.accepted {
            self.due_ms = now_ms + RETRY_MS;
            return RenewalOutcome::Outdated;
        }
        // The first answer only brings the clock; the order follows at once.
        self.due_ms = if ordered {
            now_ms + renew_every_ms
        } else {
            now_ms
        };
        RenewalOutcome::Renewed
    }

    /// Takes a failure; true if the server is to be suspected.
    pub fn failed(&mut self, now_ms: u64, suspect_ms: u64) -> bool {
        self.due_ms = now_ms + RETRY_MS;
        now_ms >= self.answered_ms + suspect_ms
    }

    /// Time for which renewals sent in this membership period may still hold, with `margin_ms` for
    /// the drift between the clocks.
    pub fn remaining_ms(&self, lease_epoch: LeaseEpoch, now_ms: u64, margin_ms: u64) -> u64 {
        if self.lease_epoch != lease_epoch {
            return 0;
        }
        (self.horizon_ms + margin_ms).saturating_sub(now_ms)
    }
}
