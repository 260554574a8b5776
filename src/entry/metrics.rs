//! Counters, gauges and latency histograms of an entry host, which a monitoring system scrapes as
//! text. The metrics use `prometheus_client`, because `cadence`, which the rest of the product
//! uses, can only push metrics.

use std::sync::{
    Arc,
    atomic::{AtomicU64, Ordering},
};

use prometheus_client::{
    encoding::text::encode,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use super::{
    contention::{ContentionKey, RequestStep},
    metric_labels::{
        ContentionLabels, GivenUpLabels, OrderLabels, PathCheckLabels, RequestLabels,
        StoreCallLabels, StorePauseLabels,
    },
};

/// Lowest bucket bound of the latency histograms, in seconds. Each further bound is twice the bound
/// below it, from 2 ms to 16 s.
const LATENCY_FIRST_S: f64 = 0.002;
/// Number of bucket bounds of the latency histograms.
const LATENCY_BOUNDS: u16 = 14;

/// All metrics of one host, scraped from its metrics address.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<RequestLabels, Histogram>,
    retries: Counter,
    pipelined_requests: Counter,
    servers_ended: Counter,
    server_processes_ended: Counter,
    idle_connection_failures: Counter,
    tunnelled_requests: Counter,
    path_checks: Family<PathCheckLabels, Counter>,
    given_up: Family<GivenUpLabels, Counter>,
    orders: Family<OrderLabels, Counter>,
    moves: Counter,
    store_calls: Family<StoreCallLabels, Counter>,
    store_pauses: Family<StorePauseLabels, Counter<f64, AtomicU64>>,
    configuration_lag: Histogram,
    timer_lateness: Histogram,
    contention: Family<ContentionLabels, Counter>,
    /// Number of callers' requests that this host has accepted and not answered yet.
    pub in_flight: Gauge,
    /// Time since the store's last response, in seconds.
    pub store_age_s: Gauge<f64, AtomicU64>,
    /// Time since the last response of any server to this host, in seconds; 0 before the first.
    pub server_contact_age_s: Gauge<f64, AtomicU64>,
    /// Term of this host while it is the leader; 0 otherwise. The name of the metric, `duty_term`,
    /// calls the leadership `duty`.
    pub leadership_term: Gauge,
    /// Version of the configuration in effect; 0 for none.
    pub configuration_version: Gauge,
    /// Number of availability zones that are evacuated.
    pub evacuated_zones: Gauge,
    /// Number of quarantined requests, which no server gets because several servers crashed while
    /// running them.
    pub quarantined_requests: Gauge,
    /// Number of servers that are cold (still warm up), to which the rate limits of cold servers
    /// may apply.
    pub cold_servers: Gauge,
    /// Number of servers that this host reaches through tunnels of other hosts only.
    pub unreachable_servers: Gauge,
    /// Number of tunnels that this host carries for other hosts.
    pub carried_tunnels: Gauge,
    /// Number of contended services that are short of capacity.
    pub services_short: Gauge,
    /// Number of log lines that were dropped since the start of the process because too many lines
    /// waited to be written.
    pub log_lines_dropped: Gauge,
    /// Number of datagrams to other hosts that were dropped since the start of the process because
    /// the socket did not take them.
    pub datagrams_dropped: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let mut metrics = Self {
            registry: Registry::with_prefix("ashroad"),
            requests: Family::default(),
            latency,
            retries: Counter::default(),
            pipelined_requests: Counter::default(),
            servers_ended: Counter::default(),
            server_processes_ended: Counter::default(),
            idle_connection_failures: Counter::default(),
            orders: Family::default(),
            moves: Counter::default(),
            store_calls: Family::default(),
            store_pauses: Family::default(),
            configuration_lag: latency_histogram(),
            timer_lateness: latency_histogram(),
            contention: Family::default(),
            in_flight: Gauge::default(),
            store_age_s: Gauge::default(),
            server_contact_age_s: Gauge::default(),
            leadership_term: Gauge::default(),
            configuration_version: Gauge::default(),
            evacuated_zones: Gauge::default(),
            quarantined_requests: Gauge::default(),
            cold_servers: Gauge::default(),
            unreachable_servers: Gauge::default(),
            carried_tunnels: Gauge::default(),
            tunnelled_requests: Counter::default(),
            path_checks: Family::default(),
            given_up: Family::default(),
            services_short: Gauge::default(),
            log_lines_dropped: Gauge::default(),
            datagrams_dropped: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(LATENCY_FIRST_S, 2.0, LATENCY_BOUNDS))
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by outcome", self.requests.clone());
        let help = "Time from a request's arrival to the head of its answer";
        registry.register("request_duration_seconds", help, self.latency.clone());
        let help = "Attempts beyond the first";
        registry.register("request_repeats", help, self.retries.clone());
        let help = "Pipelined requests that were started before their turn";
        let counter = self.pipelined_requests.clone();
        registry.register("pipelined_requests", help, counter);
        let help = "Grants and releases by outcome";
        registry.register("server_orders", help, self.orders.clone());
        registry.register("key_moves", "Moves of keys", self.moves.clone());
        let help = "Calls to the platform's store";
        registry.register("store_calls", help, self.store_calls.clone());
        let help = "Time for which feeds paused after failed calls to the store";
        let counter = self.store_pauses.clone();
        registry.register("store_pause_seconds", help, counter);
        let help = "Time from the first report of a later configuration until one was in force";
        let histogram = self.configuration_lag.clone();
        registry.register("configuration_lag_seconds", help, histogram);
        let help = "Time by which timers fired late";
        let histogram = self.timer_lateness.clone();
        registry.register("timer_lateness_seconds", help, histogram);
        let help = "Requests for contended services by step";
        registry.register("contention", help, self.contention.clone());
        let help = "Requests in this host";
        registry.register("requests_in_flight", help, self.in_flight.clone());
        let help = "Age of the store's last answer";
        registry.register("store_age_seconds", help, self.store_age_s.clone());
        let help = "Time since the last answer of any server to this host";
        let gauge = self.server_contact_age_s.clone();
        registry.register("server_contact_age_seconds", help, gauge);
        let help = "Term of this host as holder of the duty of giving leases, or 0";
        registry.register("duty_term", help, self.leadership_term.clone());
        let help = "Version of the configuration in force";
        registry.register(
            "configuration_version",
            help,
            self.configuration_version.clone(),
        );
        let help = "Availability zones that are evacuated";
        registry.register("evacuated_zones", help, self.evacuated_zones.clone());
        let help = "Servers that ended with requests of this host in flight";
        registry.register("servers_ended", help, self.servers_ended.clone());
        let help =
            "Servers whose process has ended, so that their keys moved before their lease's end";
        registry.register(
            "server_processes_ended",
            help,
            self.server_processes_ended.clone(),
        );
        let help = "Reused connections to servers that gave no response";
        registry.register(
            "idle_connection_failures",
            help,
            self.idle_connection_failures.clone(),
        );
        let help = "Requests that no server gets, since several have ended under them";
        registry.register(
            "quarantined_requests",
            help,
            self.quarantined_requests.clone(),
        );
        let help = "Servers that are cold";
        registry.register("cold_servers", help, self.cold_servers.clone());
        let help = "Servers that this host reaches through other hosts only";
        let gauge = self.unreachable_servers.clone();
        registry.register("unreachable_servers", help, gauge);
        let help = "Tunnels to servers that this host carries for other hosts";
        registry.register("carried_tunnels", help, self.carried_tunnels.clone());
        let help = "Attempts that were sent through another host";
        let counter = self.tunnelled_requests.clone();
        registry.register("tunnelled_requests", help, counter);
        let help = "Checks of paths to servers by outcome";
        registry.register("path_checks", help, self.path_checks.clone());
        let help = "Attempts without a usable response that the server may be running";
        registry.register("requests_given_up", help, self.given_up.clone());
        let help = "Contended services whose servers have more requests than they can run";
        registry.register("services_short", help, self.services_short.clone());
        let help = "Log lines that were dropped";
        registry.register("log_lines_dropped", help, self.log_lines_dropped.clone());
        let help = "Datagrams to other hosts that were dropped before they were sent";
        registry.register("datagrams_dropped", help, self.datagrams_dropped.clone());
    }

    /// Counts a request that was answered `after_ms` after its arrival.
    pub fn request(&self, service: &Arc<str>, outcome: &'static str, after_ms: u64) {
        let labels = RequestLabels {
            service: service.to_string(),
            outcome,
        };
        self.requests.get_or_create(&labels).inc();
        let seconds = after_ms as f64 / 1000.0;
        self.latency.get_or_create(&labels).observe(seconds);
    }

    /// Counts a retry: an attempt beyond a request's first.
    pub fn retry(&self) {
        self.retries.inc();
    }

    /// Counts a pipelined request that was started before the response of the request before it.
    pub fn pipelined_request(&self) {
        self.pipelined_requests.inc();
    }

    /// Counts a server that crashed with requests of this host in flight.
    pub fn server_ended(&self) {
        self.servers_ended.inc();
    }

    /// Counts a server whose process has certainly ended, so that its keys moved without waiting
    /// for its lease.
    pub fn server_process_ended(&self) {
        self.server_processes_ended.inc();
    }

    /// Counts a reused connection to a server that gave no response.
    pub fn idle_connection_failed(&self) {
        self.idle_connection_failures.inc();
    }

    /// Counts an attempt that was sent through a tunnel of another host.
    pub fn tunnelled_request(&self) {
        self.tunnelled_requests.inc();
    }

    /// Counts a check of the path to a server.
    pub fn path_check(&self, labels: &PathCheckLabels) {
        self.path_checks.get_or_create(labels).inc();
    }

    /// Counts an attempt that ended without a usable response, although the server may be running the
    /// request. `is_retried` is true if the request was sent again.
    pub fn given_up(&self, cause: &'static str, is_retried: bool) {
        let outcome = if is_retried { "retried" } else { "failed" };
        let labels = GivenUpLabels { cause, outcome };
        self.given_up.get_or_create(&labels).inc();
    }

    /// Counts a command (grant or release of keys) to a server when the outcome of the command is
    /// known.
    pub fn order(&self, order: &'static str, outcome: &'static str) {
        self.orders
            .get_or_create(&OrderLabels { order, outcome })
            .inc();
    }

    /// Counts a completed move of keys to a server.
    pub fn moved(&self) {
        self.moves.inc();
    }

    /// Sets the number of calls of one kind to one table since the start of the process.
    pub fn store_calls(&self, call: &'static str, table: String, calls: u64) {
        let labels = StoreCallLabels { call, table };
        let counter = self.store_calls.get_or_create(&labels);
        counter.inner().store(calls, Ordering::Relaxed);
    }

    /// Counts the time for which the feed of a table paused after a failed call to the store.
    pub fn store_pause(&self, labels: &StorePauseLabels, pause_ms: u64) {
        let seconds = pause_ms as f64 / 1000.0;
        self.store_pauses.get_or_create(labels).inc_by(seconds);
    }

    /// Counts a configuration that took effect `behind_ms` after another host first reported that
    /// there is a later one.
    pub fn configuration_in_force(&self, behind_ms: u64) {
        self.configuration_lag.observe(behind_ms as f64 / 1000.0);
    }

    /// Counts a timer that fired `late_ms` late.
    pub fn timer_fired(&self, late_ms: u64) {
        self.timer_lateness.observe(late_ms as f64 / 1000.0);
    }

    /// Sets how often each step of requests for a contended service occurred since the start of the
    /// process.
    pub fn contention(&self, key: &ContentionKey, counts: [u64; RequestStep::ALL.len()]) {
        for (step, count) in RequestStep::ALL.into_iter().zip(counts) {
            let labels = ContentionLabels {
                service: key.service.to_string(),
                urgency: if key.is_urgent { "urgent" } else { "other" },
                step: step.name(),
            };
            let counter = self.contention.get_or_create(&labels);
            counter.inner().store(count, Ordering::Relaxed);
        }
    }

    /// Returns all metrics in the text exposition format.
    pub fn text(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry) {
            log::warn!("cannot encode the metrics: {error}");
        }
        text
    }
}
