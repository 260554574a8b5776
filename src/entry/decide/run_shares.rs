//! Estimates run times by route. A service may serve several routes, whose requests take from a
//! fifth to three times the average run time of the service; servers differ in speed as well. So
//! hosts learn two values: the average run time of each server, and for each route the ratio of its
//! run times to these averages, over all servers.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Minimum weight of a new sample in a route's average, so that the average follows changes. The
/// first samples have equal weights.
const SAMPLE_WEIGHT_MIN: f64 = 0.03;
/// Number of samples from which the average of a route is used. With fewer samples, the route's
/// requests are assumed to run for the average time.
const SAMPLES_MIN: u32 = 5;
/// Bounds of a sample, which is the run time of a request divided by the average run time at its
/// server. Without these bounds, the sample of a single slow run would outweigh many other samples.
const SAMPLE_MIN: f64 = 0.05;
const SAMPLE_MAX: f64 = 8.0;

/// Average run time of a route's requests, as a multiple of the average run time at the same
/// server, and the number of samples.
#[derive(Clone, Copy, Debug, Default)]
struct RouteRunShare {
    run_share: f64,
    samples: u32,
}

/// Names of the service and the route. The service is needed because a route may direct requests to
/// several services.
type RouteKey = (Arc<str>, Arc<str>);

/// Run times of the requests of each route, as multiples of the average run time at the same
/// server; learned from all servers.
#[derive(Debug, Default)]
pub struct RunShares {
    shares: Mutex<HashMap<RouteKey, RouteRunShare>>,
}

impl RunShares {
    /// Records the run time of a route's request at a server whose average run time is
    /// `average_ms`. The sample is ignored if `average_ms` is 0, which stands for an unknown
    /// average.
    pub fn note(&self, service: &Arc<str>, route: &Arc<str>, run_ms: f64, average_ms: f64) {
        if average_ms <= 0.0 {
            return;
        }
        let sample = (run_ms / average_ms).clamp(SAMPLE_MIN, SAMPLE_MAX);
        let mut shares = self.shares();
        let route_share = shares.entry((service.clone(), route.clone())).or_default();
        route_share.samples = route_share.samples.saturating_add(1);
        let weight = (1.0 / f64::from(route_share.samples)).max(SAMPLE_WEIGHT_MIN);
        route_share.run_share += weight * (sample - route_share.run_share);
    }

    /// Returns the expected run time of a route's requests, as a multiple of the average run time
    /// at the same server; 1 if there are fewer than [`SAMPLES_MIN`] samples.
    pub fn run_share(&self, service: &Arc<str>, route: &Arc<str>) -> f64 {
        let shares = self.shares();
        let known = shares.get(&(service.clone(), route.clone()));
        known
            .filter(|route_share| route_share.samples >= SAMPLES_MIN)
            .map_or(1.0, |route_share| route_share.run_share)
    }

    fn shares(&self) -> MutexGuard<'_, HashMap<RouteKey, RouteRunShare>> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
