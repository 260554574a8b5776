//! Paces the requests that a host admits to a server with a rate limit. The module handles callers
//! that send more requests than the limit allows, at one host or spread over hundreds of hosts.
//!
//! With independent random draws the number of admitted requests varies by chance: at a limit of 60
//! requests per second and twice as many requests, the rate over 9 s has a standard deviation of
//! 1.8 per second. A [`Pacer`] adds up the admission probabilities of the requests and admits one
//! request for each unit of the sum. It draws at random which request of the unit is admitted, so
//! that every request has its admission probability, callers that send in a fixed pattern are all
//! served, and hundreds of hosts that each get few requests do not admit them at the same time.

/// Admission of the requests of one urgency at one host, to one server or to one of the
/// rate-limited servers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pacer {
    /// Sum of the admission probabilities in the current unit, from 0 to 1.
    sum: f64,
    /// Sum from which the current unit admits a request; `None` before the first request and once
    /// the unit has admitted its request.
    admits_at: Option<f64>,
    /// True after the first request.
    has_begun: bool,
    /// Units whose request is due and not yet admitted. Two units may become due with the same
    /// request if the admission probability is above one half.
    due: u32,
}

impl Pacer {
    /// Returns true if a request with this admission probability is admitted. `draw` is a random
    /// number from 0 to 1 for each call. A probability of 1 or more admits every request.
    pub fn admits(&mut self, admit_probability: f64, draw: f64) -> bool {
        if admit_probability >= 1.0 {
            return true;
        }
        if !self.has_begun {
            self.has_begun = true;
            self.admits_at = Some(draw);
        }
        self.sum += admit_probability.max(0.0);
        self.note_due();
        if self.sum >= 1.0 {
            self.sum -= 1.0;
            self.admits_at = Some(draw);
            self.note_due();
        }
        let is_admitted = self.due > 0;
        self.due = self.due.saturating_sub(1);
        is_admitted
    }

    /// Returns the point at which a request is admitted by the servers of a service, for
    /// [`is_admitted`]; `None` if no server admits it. `total` is the sum of the admission
    /// probabilities of the rate-limited servers. `draw` decides whether the request is admitted
    /// and `place` at which server; both are random numbers from 0 to 1.
    pub fn point(&mut self, total: f64, draw: f64, place: f64) -> Option<f64> {
        let is_admitted = self.admits(total, draw);
        is_admitted.then_some(place * total.min(1.0))
    }

    /// Counts the request of the current unit as due once the sum has passed its place.
    fn note_due(&mut self) {
        if self.admits_at.is_some_and(|at| self.sum > at) {
            self.admits_at = None;
            self.due += 1;
        }
    }
}

/// Returns true if a request with the `point` of [`Pacer::point`] is admitted at a server. `before`
/// is the sum of the admission probabilities of the servers that were checked before for the same
/// request. If all servers of a service are limited, each request is thus admitted at one of them,
/// as far as the limits suffice.
pub fn is_admitted(point: f64, before: f64, admit_probability: f64) -> bool {
    (point - before).rem_euclid(1.0) < admit_probability
}
