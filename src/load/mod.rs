//! Open-loop load: requests are sent at their intended times whatever the answers do, and
//! latencies count from these times, so a slow system cannot hide its queue.

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

/// One run of load.
#[derive(Clone, Debug)]
pub struct LoadConfig {
    /// Addresses that take requests in turn.
    pub addresses: Vec<SocketAddr>,
    /// Path of the services, as `/workspace/service`; each request picks one.
    pub services: Vec<String>,
    /// Requests a second, over all addresses.
    pub rate_per_s: u64,
    /// Length of the run.
    pub duration_ms: u64,
    /// Number of keys.
    pub keys: u64,
    /// Exponent of the keys' Zipf distribution; 0 for all alike.
    pub zipf_exponent: f64,
    /// Share of requests that are unrepeatable orders.
    pub unrepeatable_share: f64,
    /// Share of the orders that are sent twice, to two addresses.
    pub duplicate_share: f64,
    /// Deadline that each request carries.
    pub deadline_ms: u64,
    /// Seed of the random choices.
    pub seed: u64,
}

/// One request to be sent.
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

/// Chooses requests.
struct RequestGenerator {
    config: LoadConfig,
    run: String,
    rng: StdRng,
    zipf: Option<Zipf<f64>>,
    number: u64,
}

/// Runs load and returns every request's sample.
pub async fn run(config: LoadConfig) -> Vec<Sample> {
    let caller = Arc::new(Caller::new(config.deadline_ms));
    let mut chooser = RequestGenerator::new(config.clone());
    let mut running = JoinSet::new();
    let mut samples = Vec::new();
    let start_us = clock::unix_us();
    let total = config.rate_per_s * config.duration_ms / 1_000;
    for number in 0..total {
        let intended_us = start_us + number * 1_000_000 / config.rate_per_s.max(1);
        sleep_until_us(intended_us).await;
        for planned in chooser.next(intended_us) {
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

/// The timer's grain is a millisecond; requests due within it go out together, and their latency
/// still counts from the intended time.
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

    /// The next request, and its duplicate if it has one.
    fn next(&mut self, intended_us: u64) -> Vec<PlannedRequest> {
        self.number += 1;
        let number = self.number;
        let key = self.key();
        let service = self.rng.random_range(0..self.config.services.len());
        let order = self.rng.random_bool(self.config.unrepeatable_share);
        let idempotency_key = order.then(|| format!("{}-{number}", self.run));
        let base = &self.config.services[service];
        let planned = PlannedRequest {
            address: self.address(number),
            method: if order { Method::POST } else { Method::GET },
            path: format!("{base}/key-{key}/{number}"),
            key,
            service,
            idempotency_key,
            intended_us,
        };
        if !order || !self.rng.random_bool(self.config.duplicate_share) {
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
