//! Deadlines that the recent requests of each route to a contended service stated, from which the
//! age of a caller's request is estimated. The state is lost with the process; until there is new
//! evidence, all requests count as first attempts.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use super::{Entry, decide::request_age::DeadlineEvidence};

/// Stated deadlines by route.
#[derive(Debug, Default)]
pub struct RequestAges(Mutex<HashMap<Arc<str>, DeadlineEvidence>>);

impl RequestAges {
    /// Records the deadline that a request stated, `left_ms` after its arrival at `now_ms`, and
    /// returns the age of the request in milliseconds.
    fn age_ms(&self, route: &Arc<str>, left_ms: u64, now_ms: u64) -> u64 {
        let mut routes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(evidence) = routes.get_mut(route) {
            return evidence.age_ms(left_ms, now_ms);
        }
        // Drops routes that the configuration no longer has.
        routes.retain(|_, evidence| !evidence.is_outdated(now_ms));
        let evidence = routes.entry(route.clone()).or_default();
        evidence.age_ms(left_ms, now_ms)
    }
}

impl Entry {
    /// Returns the time since the first attempt of a caller, in milliseconds; 0 for a service that
    /// is not contended, for a request without a valid deadline, and if the age is not known.
    /// `left_ms` is the caller's own deadline, which may be later than the timeout of the route.
    pub(super) fn request_age_ms(
        &self,
        service: &str,
        route: &Arc<str>,
        left_ms: Option<u64>,
        arrived_ms: u64,
    ) -> u64 {
        let Some(left_ms) = left_ms else { return 0 };
        if !self.settings.policy.infers_request_age || !self.is_contended(service) {
            return 0;
        }
        self.request_ages.age_ms(route, left_ms, arrived_ms)
    }
}
