//! Limit on the requests of one service that may be in flight in one host.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

/// Counter of the requests of one service that are in flight in this host.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    in_flight: Arc<AtomicU64>,
}

/// Guard that counts one request as in flight until the guard is dropped.
#[derive(Debug)]
pub struct AdmissionGuard(Arc<AtomicU64>);

impl Admission {
    /// Admits a request and counts it as in flight until the returned guard is dropped. Returns
    /// `None` if `max` requests are already in flight.
    pub fn admit(&self, max: u64) -> Option<AdmissionGuard> {
        let guard = AdmissionGuard(self.in_flight.clone());
        let before = self.in_flight.fetch_add(1, Ordering::Relaxed);
        // If the request is refused, the guard is dropped here, which decrements the counter again.
        (before < max).then_some(guard)
    }

    /// Returns the number of admitted requests whose guards have not been dropped yet.
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Relaxed)
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
