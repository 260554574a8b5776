//! How many requests of one service may be in one host at a time.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Requests of one service that are in the host.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    in_flight: Arc<AtomicU64>,
}

/// A request's place; given back when dropped.
#[derive(Debug)]
pub struct AdmissionGuard(Arc<AtomicU64>);

impl Admission {
    /// Takes a place, unless `max` are taken.
    pub fn admit(&self, max: u64) -> Option<AdmissionGuard> {
        let place = AdmissionGuard(self.in_flight.clone());
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        // On refusal the place is dropped and so given back.
        (before < max).then_some(place)
    }

    /// Requests present.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
