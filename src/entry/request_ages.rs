//! Deadlines that the recent requests of each route to a contended service stated, from which the
//! age of a caller's request is estimated. The state is lost with the process; until there is new
//! evidence, all requests count as first attempts.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, PoisonError},
};

use super::{Entry, decide::request_age::DeadlineEvidence};

/// Estimated age of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestAge {
    /// Time from the caller's first attempt to the arrival, in milliseconds; 0 if it is not known.
    pub age_ms: u64,
    /// True if the age is exact; false if it is not known, or the least that the request can have.
    pub is_exact: bool,
}

/// Stated deadlines by route.
#[derive(Debug, Default)]
pub struct RequestAges(Mutex<HashMap<Arc<str>, DeadlineEvidence>>);

impl RequestAges {
    /// Records the deadline that a request stated, `left_ms` after its arrival at `now_ms`, and
    /// returns the age of the request.
    fn age(&self, route: &Arc<str>, left_ms: u64, now_ms: u64) -> RequestAge {
        let mut routes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !routes.contains_key(route) {
            // Drops routes that the configuration no longer has.
            routes.retain(|_, evidence| !evidence.is_outdated(now_ms));
        }
        let evidence = routes.entry(route.clone()).or_default();
        RequestAge {
            age_ms: evidence.age_ms(left_ms, now_ms),
            is_exact: evidence.is_exact(),
        }
    }
}

impl Entry {
    /// Returns the age of a request; it is not known for a service that is not contended and for a
    /// request without a valid deadline.
    /// `left_ms` is the caller's own deadline, which may be later than the timeout of the route.
    pub(super) fn request_age(
        &self,
        service: &str,
        route: &Arc<str>,
        left_ms: Option<u64>,
        arrived_ms: u64,
    ) -> RequestAge {
        let Some(left_ms) = left_ms else {
            return RequestAge::default();
        };
        if !self.settings.policy.infers_request_age || !self.is_contended(service) {
            return RequestAge::default();
        }
        self.request_ages.age(route, left_ms, arrived_ms)
    }
}
