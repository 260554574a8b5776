//! Run times by kind of request. A service may serve several routes, whose requests take a fifth or
//! three times as long as its average; servers differ as well. So a route has a share of the average
//! run time, learned over all servers, beside each server's average.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// Share of a new sample once many are known; the first ones count alike.
const SAMPLE_WEIGHT_LEAST: f64 = 0.03;
/// Samples from which a share is believed.
const SAMPLES_MIN: u32 = 5;
/// Bounds of a sample, so that single slow runs do not count for many.
const SHARE_LEAST: f64 = 0.05;
const SHARE_MOST: f64 = 8.0;

/// What is known of one route's requests at one service.
#[derive(Clone, Copy, Debug, Default)]
struct RouteRunShare {
    run_share: f64,
    samples: u32,
}

/// Service and route.
type RouteKey = (Arc<str>, Arc<str>);

/// Shares by service and route.
#[derive(Debug, Default)]
pub struct RunShares {
    shares: Mutex<HashMap<RouteKey, RouteRunShare>>,
}

impl RunShares {
    /// Notes a run of a route's request at a server whose requests take `average_ms`; 0 if that is
    /// unknown.
    pub fn note(&self, service: &Arc<str>, route: &Arc<str>, run_ms: f64, average_ms: f64) {
        if average_ms <= 0.0 {
            return;
        }
        let sample = (run_ms / average_ms).clamp(SHARE_LEAST, SHARE_MOST);
        let mut shares = self.shares();
        let kind = shares.entry((service.clone(), route.clone())).or_default();
        kind.samples = kind.samples.saturating_add(1);
        let weight = (1.0 / f64::from(kind.samples)).max(SAMPLE_WEIGHT_LEAST);
        kind.run_share += weight * (sample - kind.run_share);
    }

    /// Run time of a route's requests as a share of the average at the same server; 1 if unknown.
    pub fn run_share(&self, service: &Arc<str>, route: &Arc<str>) -> f64 {
        let shares = self.shares();
        let known = shares.get(&(service.clone(), route.clone()));
        known
            .filter(|kind| kind.samples >= SAMPLES_MIN)
            .map_or(1.0, |kind| kind.run_share)
    }

    fn shares(&self) -> MutexGuard<'_, HashMap<RouteKey, RouteRunShare>> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
