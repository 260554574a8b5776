//! Run times by route. A service may serve several routes, whose requests take from a fifth to
//! three times its average; servers differ in speed as well. So each route has a share of the
//! average run time, learned over all servers, in addition to the average of each server.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Minimum weight of a new sample, so that the share follows changes; the first samples have equal
/// weights.
const SAMPLE_WEIGHT_MIN: f64 = 0.03;
/// Number of samples from which a route's share is used; with fewer, the share is taken as 1.
const SAMPLES_MIN: u32 = 5;
/// Bounds of a sample, so that a single slow run does not outweigh many others.
const SAMPLE_MIN: f64 = 0.05;
const SAMPLE_MAX: f64 = 8.0;

/// Share of a route's requests in the average run time of a service, and its number of samples.
#[derive(Clone, Copy, Debug, Default)]
struct RouteRunShare {
    run_share: f64,
    samples: u32,
}

/// Service and route, by name: a route may direct requests to several services.
type RouteKey = (Arc<str>, Arc<str>);

/// Run times of routes relative to the average of their service, learned from all servers.
#[derive(Debug, Default)]
pub struct RunShares {
    shares: Mutex<HashMap<RouteKey, RouteRunShare>>,
}

impl RunShares {
    /// Records the run time of a route's request at a server with an average of `average_ms`; 0
    /// means that the average is unknown, and the sample is ignored.
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

    /// Returns the run time of a route's requests as a share of the average at the same server; 1
    /// if there are too few samples.
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
