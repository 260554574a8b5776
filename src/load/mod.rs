//! Open-loop load generator. Each request is sent at its intended time, regardless of responses to
//! earlier requests. Latencies count from the intended times, so that the time for which requests
//! queue in a slow system is measured.

mod caller;
mod report;

pub use self::{
    caller::{Caller, RequestOutcome},
    report::{LatencyReport, LoadReport, Sample},
};

use std::{net::SocketAddr, sync::Arc, time::Duration};

use http::Method;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Zipf};
use tokio::{task::JoinSet, time};

use crate::{clock, id::OperationId};

/// Rate, duration and mix of requests of one load run.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Addresses of the entry hosts or backend servers, to which requests are sent in turn.
    pub addresses: Vec<SocketAddr>,
    /// Paths of the services, as `/workspace/service`. Each request is for a service picked at
    /// random.
    pub services: Vec<String>,
    /// Requests per second, over all addresses.
    pub rate_per_s: u64,
    /// Time in milliseconds during which the generator sends requests; the last responses may
    /// arrive later.
    pub duration_ms: u64,
    /// Number of distinct keys per service.
    pub keys: u64,
    /// Exponent of the Zipf distribution of the keys; 0 for a uniform distribution.
    pub zipf_exponent: f64,
    /// Fraction of the requests that are unrepeatable, from 0 to 1. An unrepeatable request is a
    /// POST with an idempotency key and must run at most once.
    pub unrepeatable_share: f64,
    /// Fraction of the unrepeatable requests that are sent twice, to two addresses; from 0 to 1.
    pub duplicate_share: f64,
    /// Deadline of each request in milliseconds, sent in a header of the request.
    pub deadline_ms: u64,
    /// Seed of the random choices of services, keys and kinds of requests.
    pub seed: u64,
}

/// Request that the load generator sends at the Unix time `intended_us`, in microseconds.
#[derive(Clone, Debug)]
pub(crate) struct PlannedRequest {
    pub(crate) address: SocketAddr,
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) key: u64,
    pub(crate) service: usize,
    pub(crate) idempotency_key: Option<String>,
    pub(crate) intended_us: u64,
}

/// Generator of the requests of a load run. The generator picks services, keys and kinds of
/// requests with a seeded random number generator; the idempotency keys differ in each run.
struct RequestGenerator {
    config: LoadConfig,
    run: String,
    rng: StdRng,
    zipf: Option<Zipf<f64>>,
    number: u64,
}

/// Runs the load and returns one sample per request. Waits for the responses to all requests.
pub async fn run(config: LoadConfig) -> Vec<Sample> {
    let caller = Arc::new(Caller::new(config.deadline_ms));
    let mut request_generator = RequestGenerator::new(config.clone());
    let mut running = JoinSet::new();
    let mut samples = Vec::new();
    let start_us = clock::unix_us();
    let total = config.rate_per_s * config.duration_ms / 1_000;
    for number in 0..total {
        let intended_us = start_us + number * 1_000_000 / config.rate_per_s.max(1);
        sleep_until_us(intended_us).await;
        for planned in request_generator.next(intended_us) {
            let caller = caller.clone();
            running.spawn(async move { caller.send(planned).await });
        }
        while let Some(Ok(sample)) = running.try_join_next() {
            samples.push(sample);
        }
    }
    while let Some(ended) = running.join_next().await {
        samples.extend(ended.ok());
    }
    samples
}

/// Sleeps until a Unix time in microseconds. The timer has a resolution of a millisecond, so
/// requests with intended times within the same millisecond are sent together. The latency of each
/// request still counts from its intended time.
async fn sleep_until_us(at_us: u64) {
    let left_us = at_us.saturating_sub(clock::unix_us());
    if left_us > 0 {
        time::sleep(Duration::from_micros(left_us)).await;
    }
}

impl RequestGenerator {
    fn new(config: LoadConfig) -> Self {
        let zipf = Zipf::new(config.keys.max(1) as f64, config.zipf_exponent).ok();
        Self {
            rng: StdRng::seed_from_u64(config.seed),
            zipf: zipf.filter(|_| config.zipf_exponent > 0.0),
            run: OperationId::random().0[..8].to_owned(),
            number: 0,
            config,
        }
    }

    /// Returns the next request. If the request is to be sent twice, its duplicate, which goes to
    /// the next address, follows.
    fn next(&mut self, intended_us: u64) -> Vec<PlannedRequest> {
        self.number += 1;
        let number = self.number;
        let key = self.key();
        let service = self.rng.random_range(0..self.config.services.len());
        let is_unrepeatable = self.rng.random_bool(self.config.unrepeatable_share);
        let idempotency_key = is_unrepeatable.then(|| format!("{}-{number}", self.run));
        let base = &self.config.services[service];
        let planned = PlannedRequest {
            address: self.address(number),
            method: if is_unrepeatable {
                Method::POST
            } else {
                Method::GET
            },
            path: format!("{base}/key-{key}/{number}"),
            key,
            service,
            idempotency_key,
            intended_us,
        };
        if !is_unrepeatable || !self.rng.random_bool(self.config.duplicate_share) {
            return vec![planned];
        }
        let duplicate = PlannedRequest {
            address: self.address(number + 1),
            ..planned.clone()
        };
        vec![planned, duplicate]
    }

    fn key(&mut self) -> u64 {
        match &self.zipf {
            Some(zipf) => zipf.sample(&mut self.rng) as u64,
            None => self.rng.random_range(0..self.config.keys.max(1)),
        }
    }

    fn address(&self, number: u64) -> SocketAddr {
        let addresses = &self.config.addresses;
        addresses[(number % addresses.len() as u64) as usize]
    }
}
