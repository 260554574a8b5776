//! Retry budget of each service: the limit on the retries that hosts make on behalf of callers, so
//! that retries do not amplify an overload. The users' bounds allow a number of retries in
//! proportion to the requests, plus a fixed number of retries: the allowance. Hosts do not
//! coordinate: each host uses an equal part of the allowance, with headroom for load balancers that
//! distribute requests unequally among the hosts.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::entry::bounds::Bounds;

/// Fraction of the permitted ratio of retries to requests that hosts use; the remainder is a
/// margin.
const RATIO_USED: f64 = 0.9;
/// Fraction of the fixed retry allowance that all hosts together use; the remainder is headroom for
/// a load balancer that distributes requests unequally among the hosts.
const ALLOWANCE_USED: f64 = 0.6;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Number of retries that the host may make at once.
    tokens: f64,
    /// Time of the last refill, up to which the bucket was credited with its part of the allowance.
    at_ms: u64,
}

/// Token buckets that limit this host's retries, one for each service.
#[derive(Debug)]
pub struct RetryBudget {
    /// Time in which an empty bucket is refilled, in milliseconds: the window of the users' bound
    /// on retries.
    window_ms: f64,
    /// Fraction of a retry that each request adds to the bucket of its service.
    per_request: f64,
    /// Number of retries that all hosts together may make for a service within `window_ms`, in
    /// addition to the retries in proportion to its requests.
    allowance: f64,
    buckets: Mutex<HashMap<Arc<str>, Bucket>>,
}

impl RetryBudget {
    /// Creates a retry budget from the users' bounds. A service gets its token bucket, half full,
    /// at its first request.
    pub fn new(bounds: &Bounds) -> Self {
        Self {
            window_ms: bounds.retry_window_ms as f64,
            per_request: bounds.retry_ratio * RATIO_USED,
            allowance: bounds.retry_allowance * ALLOWANCE_USED,
            buckets: Mutex::default(),
        }
    }

    /// Counts a request for the service: adds the fraction of a retry that the request permits to
    /// the token bucket of the service, up to the bucket's capacity. `hosts` is the number of hosts
    /// that share the allowance.
    pub fn request(&self, service: &Arc<str>, hosts: usize, now_ms: u64) {
        let capacity = self.capacity_for(hosts);
        let mut buckets = self.buckets();
        let bucket = buckets.entry(service.clone()).or_insert_with(|| Bucket {
            tokens: capacity / 2.0,
            at_ms: now_ms,
        });
        bucket.tokens = (bucket.tokens + self.per_request).min(capacity);
    }

    /// Takes a token for a retry from the service's token bucket and returns true, so that the
    /// retry may be made. Returns false if the bucket has less than one token, or if the service
    /// has had no request yet.
    pub fn retry(&self, service: &Arc<str>, hosts: usize, now_ms: u64) -> bool {
        let capacity = self.capacity_for(hosts);
        let mut buckets = self.buckets();
        let Some(bucket) = buckets.get_mut(service) else {
            return false;
        };
        bucket.tokens = self.refilled(bucket, capacity, now_ms);
        bucket.at_ms = now_ms;
        if bucket.tokens < 1.0 {
            return false;
        }
        bucket.tokens -= 1.0;
        true
    }

    /// Returns true if [`Self::retry`] would take a token.
    pub fn has_token(&self, service: &Arc<str>, hosts: usize, now_ms: u64) -> bool {
        let capacity = self.capacity_for(hosts);
        let buckets = self.buckets();
        let bucket = buckets.get(service);
        bucket.is_some_and(|bucket| self.refilled(bucket, capacity, now_ms) >= 1.0)
    }

    /// Returns the tokens of a bucket with its part of the allowance up to `now_ms`. A host may use
    /// half of its part at once, because the capacity of the bucket is that half; the other half is
    /// refilled over the window.
    fn refilled(&self, bucket: &Bucket, capacity: f64, now_ms: u64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(bucket.at_ms) as f64;
        (bucket.tokens + capacity * elapsed_ms / self.window_ms).min(capacity)
    }

    /// Returns the capacity of a service's token bucket at one host, in tokens: half of the host's
    /// part of the allowance, but at least one token, so that a host among many can retry at all.
    fn capacity_for(&self, hosts: usize) -> f64 {
        (self.allowance / 2.0 / hosts.max(1) as f64).max(1.0)
    }

    fn buckets(&self) -> MutexGuard<'_, HashMap<Arc<str>, Bucket>> {
        self.buckets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
