//! How many requests of one service may be in one host at a time.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Requests of one service that are in the host.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    present: Arc<AtomicU64>,
}

/// A request's place; given back when dropped.
#[derive(Debug)]
pub struct AdmissionGuard(Arc<AtomicU64>);

impl Admission {
    /// Takes a place, unless `max` are taken.
    pub fn admit(&self, max: u64) -> Option<AdmissionGuard> {
        let place = AdmissionGuard(self.present.clone());
        let before = self.present.fetch_add(1, Ordering::Relaxed);
        // On refusal the place is dropped and so given back.
        (before < max).then_some(place)
    }

    /// Requests present.
    pub fn present(&self) -> u64 {
        self.present.load(Ordering::Relaxed)
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
