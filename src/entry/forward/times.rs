//! Times of a request that is forwarded.

use crate::entry::request_ages::RequestAge;

/// Arrival time, latency objective and deadline of a request, by the clock of this host.
#[derive(Clone, Copy, Debug)]
pub struct Times {
    /// Time at which the request arrived at this host.
    pub arrived_ms: u64,
    /// Time up to which a response meets the latency objective of the request's route, counted
    /// from the caller's first attempt.
    pub objective_ms: u64,
    /// Time after which this host no longer waits for a response: the caller's deadline or the end
    /// of the route's timeout.
    pub deadline_ms: u64,
    /// Time after which the caller no longer waits for a response.
    pub caller_deadline_ms: u64,
    /// Estimated age of the request, counted from the caller's first attempt.
    pub age: RequestAge,
}

impl Times {
    /// Returns the times of a request of this age.
    pub(super) fn with_age(self, age: RequestAge) -> Self {
        Self {
            objective_ms: self.objective_ms.saturating_sub(age.age_ms),
            age,
            ..self
        }
    }
}
