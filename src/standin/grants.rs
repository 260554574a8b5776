//! State machine of the lease and the slot grants that a backend server holds. Its methods take the
//! time as an argument, so that tests control the time.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use crate::{
    id::{Epoch, LeaseEpoch, Slot},
    ownership::message::{LeaseRequest, SlotGrant, grant_hash},
};

/// Time span in which a server owned a slot, measured by the wall clock of the machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnershipSpan {
    /// Full name of the service, `workspace/service`.
    pub service: String,
    /// Number of the slot within the service.
    pub slot: Slot,
    /// Epoch of the grant under which the server owned the slot.
    pub epoch: Epoch,
    /// Start of the span, as Unix time in microseconds.
    pub from_us: u64,
    /// End of the span, as Unix time in microseconds; not included.
    pub until_us: u64,
}

#[derive(Clone, Copy, Debug)]
struct SlotState {
    epoch: Epoch,
    /// Unix time in microseconds at which the ownership began; `None` if the server no longer owns
    /// the slot.
    owned_since_us: Option<u64>,
}

/// Time by the server's monotonic clock and by the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct ClockReading {
    /// Monotonic time of the server in milliseconds, on which the end of its lease is based.
    pub clock_ms: u64,
    /// Wall clock time as Unix time in microseconds, used for the spans of the record.
    pub unix_us: u64,
}

/// Lease and slot grants of one server process, and the record of the spans in which it owned
/// slots.
#[derive(Clone, Debug, Default)]
pub struct Grants {
    lease_epoch: LeaseEpoch,
    not_after_ms: u64,
    slots: HashMap<(String, Slot), SlotState>,
    digest: u64,
    leases_us: Vec<(u64, u64)>,
    ended_spans: Vec<OwnershipSpan>,
}

impl Grants {
    /// Returns the highest lease epoch of all accepted lease requests; requests with a lower lease
    /// epoch are refused.
    pub fn lease_epoch(&self) -> LeaseEpoch {
        self.lease_epoch
    }

    /// Returns the digest of the grants that the server holds (the combination of their hashes by
    /// exclusive or). Hosts compare this digest with the digest of the grants that their own state
    /// contains for the server.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Extends the lease and adds the grants of a lease request. Returns false, without a change,
    /// if the lease epoch of the request is lower than that of an earlier request.
    pub fn renew(&mut self, request: &LeaseRequest, now: ClockReading) -> bool {
        if request.lease_epoch < self.lease_epoch {
            return false;
        }
        if request.lease_epoch > self.lease_epoch {
            self.end_all(now);
        }
        self.lease_epoch = request.lease_epoch;
        self.extend(request.not_after_ms, now);
        for grant in &request.grants {
            self.grant(grant, now);
        }
        true
    }

    /// Ends the lease and all grants at the start of a new lease epoch, because slots granted in
    /// the previous lease epoch may have moved to other servers.
    fn end_all(&mut self, now: ClockReading) {
        let keys: Vec<(String, Slot)> = self.slots.keys().cloned().collect();
        for key in keys {
            self.end_ownership(&key, now);
        }
        self.not_after_ms = 0;
    }

    /// Extends the lease to `not_after_ms` on the server's clock; the end of a lease never moves
    /// backwards. Records the time span of the lease.
    fn extend(&mut self, not_after_ms: u64, now: ClockReading) {
        if not_after_ms <= now.clock_ms || not_after_ms <= self.not_after_ms {
            return;
        }
        let expired = self.not_after_ms <= now.clock_ms;
        self.not_after_ms = not_after_ms;
        let until_us = now.unix_us + (not_after_ms - now.clock_ms) * 1000;
        match self.leases_us.last_mut() {
            Some(lease) if !expired => lease.1 = until_us,
            _ => self.leases_us.push((now.unix_us, until_us)),
        }
    }

    fn grant(&mut self, grant: &SlotGrant, now: ClockReading) {
        let key = (grant.service.clone(), grant.slot);
        if self
            .slots
            .get(&key)
            .is_some_and(|slot_state| grant.epoch <= slot_state.epoch)
        {
            return;
        }
        self.end_ownership(&key, now);
        self.digest ^= grant_hash(&grant.service, grant.slot, grant.epoch);
        let slot_state = SlotState {
            epoch: grant.epoch,
            owned_since_us: Some(now.unix_us),
        };
        self.slots.insert(key, slot_state);
    }

    /// Releases a slot. Grants of the slot with an epoch below `next.epoch` are refused afterwards.
    pub fn revoke(&mut self, next: &SlotGrant, now: ClockReading) {
        let key = (next.service.clone(), next.slot);
        if self
            .slots
            .get(&key)
            .is_some_and(|slot_state| next.epoch <= slot_state.epoch)
        {
            return;
        }
        self.end_ownership(&key, now);
        let slot_state = SlotState {
            epoch: Epoch(next.epoch.0 - 1),
            owned_since_us: None,
        };
        self.slots.insert(key, slot_state);
    }

    /// Ends the ownership of a slot, if the server owns the slot, and records its time span.
    fn end_ownership(&mut self, key: &(String, Slot), now: ClockReading) {
        let Some(slot_state) = self.slots.get_mut(key) else {
            return;
        };
        let Some(owned_since_us) = slot_state.owned_since_us.take() else {
            return;
        };
        self.digest ^= grant_hash(&key.0, key.1, slot_state.epoch);
        self.ended_spans.push(OwnershipSpan {
            service: key.0.clone(),
            slot: key.1,
            epoch: slot_state.epoch,
            from_us: owned_since_us,
            until_us: now.unix_us,
        });
    }

    /// Returns true if a request for `slot` at `epoch` may run at `clock_ms`: the lease is valid
    /// and the server owns the slot at exactly this epoch.
    pub fn admits(&self, service: &str, slot: Slot, epoch: Epoch, clock_ms: u64) -> bool {
        if clock_ms >= self.not_after_ms {
            return false;
        }
        self.slots
            .get(&(service.to_owned(), slot))
            .is_some_and(|slot_state| {
                slot_state.owned_since_us.is_some() && slot_state.epoch == epoch
            })
    }

    /// Returns true if the server owns `slot` under a lease that is valid at `clock_ms`, whatever
    /// the epoch of the grant is.
    pub fn owns(&self, service: &str, slot: Slot, clock_ms: u64) -> bool {
        let slot_state = self.slots.get(&(service.to_owned(), slot));
        clock_ms < self.not_after_ms
            && slot_state.is_some_and(|slot_state| slot_state.owned_since_us.is_some())
    }

    /// Returns every span up to `now` in which a slot was owned under a valid lease.
    pub fn record(&self, now: ClockReading) -> Vec<OwnershipSpan> {
        let open = self
            .slots
            .iter()
            .filter_map(|((service, slot), slot_state)| {
                Some(OwnershipSpan {
                    service: service.clone(),
                    slot: *slot,
                    epoch: slot_state.epoch,
                    from_us: slot_state.owned_since_us?,
                    until_us: now.unix_us,
                })
            });
        let spans: Vec<OwnershipSpan> = self.ended_spans.iter().cloned().chain(open).collect();
        let mut record = Vec::new();
        for (start_us, end_us) in &self.leases_us {
            record.extend(spans.iter().filter_map(|span| {
                let from_us = span.from_us.max(*start_us);
                let until_us = span.until_us.min(*end_us);
                (from_us < until_us).then(|| OwnershipSpan {
                    from_us,
                    until_us,
                    ..span.clone()
                })
            }));
        }
        record
    }
}
