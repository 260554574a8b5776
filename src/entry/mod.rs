//! Entry host on the users' platform: a router process that forwards callers' requests to backend
//! servers. One of the hosts at a time is the leader, which assigns keys to servers and grants the
//! servers leases of the keys.

pub mod bounds;
pub mod broadcast;
mod callers;
mod configuration_exchange;
pub mod contact;
pub mod contention;
pub mod contention_totals;
pub mod crashes;
pub mod decide;
pub mod digest;
mod events;
pub mod explain;
mod feed_pauses;
mod forward;
mod idle_reuses;
mod join;
pub mod keys;
mod leadership;
mod leases;
pub mod limits;
pub mod log_writer;
pub mod losses;
pub mod metric_labels;
pub mod metrics;
pub mod model;
mod notices;
pub mod owners;
pub mod path_evidence;
pub mod paths;
pub mod pauses;
pub mod peers;
pub mod pool;
pub mod quotas;
mod rate_limits;
pub mod recorded_assignment;
mod register;
pub mod registry;
mod request_ages;
mod retry_schedules;
mod rows;
mod run;
pub mod running_requests;
pub mod seal;
mod secret;
pub mod server;
pub mod server_path;
pub mod settings;
pub mod shared_collections;
pub mod shared_rate;
mod shortages;
mod store_confirmation;
pub mod tag;
mod timers;
pub mod updates;
pub mod view;
mod watch;
pub mod workspaces;

pub use self::{
    run::{Error, run},
    settings::Settings,
};

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use rand::Rng;
use tokio::sync::{Notify, watch as watch_channel};

use self::{
    broadcast::Broadcast,
    contact::ContactTime,
    contention::Contention,
    crashes::Crashes,
    decide::{
        backoffs::Backoffs, budget::RetryBudget, hot_keys::HotKeys, rate_shares::DemandByHost,
        run_shares::RunShares, warmup::WarmupLimit,
    },
    forward::body::BodyMemory,
    idle_reuses::IdleReuses,
    join::Join,
    leadership::Leadership,
    limits::Timings,
    metrics::Metrics,
    model::Warmup,
    paths::state::ServerPaths,
    peers::Peers,
    quotas::Quotas,
    request_ages::RequestAges,
    retry_schedules::RetrySchedules,
    shared_rate::ServicePacers,
    shortages::Shortages,
    updates::{confirmation::ConfigurationConfirmation, freshness::Freshness},
    view::View,
};
use crate::platform::store::Store;

/// State of one entry host, shared by all tasks of its process.
#[derive(Debug)]
pub struct Entry {
    /// Settings as they were read at the start of the process.
    pub settings: Settings,
    /// Random number of this process; distinguishes two runs of a host with the same name.
    pub incarnation: u64,
    /// Client of the platform's store.
    pub store: Store,
    /// This host's copy of the configuration, the servers and the owners of keys.
    pub view: View,
    /// Timeouts and intervals that are derived from the operators' bounds in the settings.
    pub limits: Timings,
    /// Age of this host's copy of the store's tables, known from this host's own calls to the store
    /// and from reports from other hosts.
    pub freshness: Freshness,
    /// Time up to which the configuration in use is confirmed as the latest one.
    pub confirmation: ConfigurationConfirmation,
    /// Progress of the synchronisation with other hosts after the start.
    join: Join,
    /// State of the changes that the leader broadcasts to all hosts.
    pub broadcast: Broadcast,
    /// Keys whose request rate exceeds what their server can serve.
    pub hot_keys: HotKeys,
    /// Other hosts, and the messages exchanged with them.
    pub peers: Peers,
    /// Term of this host while it is the leader, and what this host knows of leaders on other
    /// hosts.
    pub leadership: Leadership,
    /// Budget that limits the retries of each service to a fraction of the service's requests, plus
    /// a fixed allowance.
    pub retries: RetryBudget,
    /// Memory that request and response bodies may take in this host.
    body_memory: BodyMemory,
    /// Usage of the workspaces' quotas, and the fraction of each workspace's requests that this
    /// host admits.
    pub quotas: Quotas,
    /// Server crashes, and the suspects: requests that may have caused them.
    pub crashes: Crashes,
    /// Wakes the task that reports a server's notice to the leader. A notice states in a response
    /// that the server leaves, or asks for a backoff (a period without requests).
    notice_received: Notify,
    /// Backoffs (periods without requests) that servers asked of hosts; collected while this host
    /// is the leader.
    backoffs: Backoffs,
    /// Request rates that each host reports for servers with a rate limit; collected while this
    /// host is the leader.
    demand_by_host: Mutex<DemandByHost>,
    /// Pacers that admit requests to the rate-limited servers of unsharded services.
    service_pacers: ServicePacers,
    /// Run time of each route's requests relative to the average of their server.
    pub run_shares: RunShares,
    /// Counts of what happens to the requests for contended services.
    contention: Contention,
    /// Deadlines of the recent requests for contended services, which show the retries.
    request_ages: RequestAges,
    /// Places for the retries of callers that were refused at contended services.
    retry_schedules: RetrySchedules,
    /// Contended services that are short of capacity.
    shortages: Shortages,
    /// Bounds on the reuse of idle connections to the servers of a service.
    idle_reuses: IdleReuses,
    /// Time of the last direct response from any server to this host.
    server_contact: ContactTime,
    /// Paths to the servers, and tunnels through other hosts.
    paths: ServerPaths,
    /// Counters, gauges and histograms that the metrics address serves.
    pub metrics: Metrics,
    /// True once the host row of this host in the store states the incarnation of this process.
    registered: AtomicBool,
    /// True once a planned stop has begun.
    stopping: AtomicBool,
    /// Latest time, in milliseconds, at which the process exits in a planned stop, on the clock of
    /// this process; `u64::MAX` before a stop. The process exits earlier if no request is in flight
    /// any longer.
    stop_deadline: watch_channel::Sender<u64>,
    /// Number of callers' requests that this host has not answered yet.
    in_flight: AtomicU64,
    /// Number of unrepeatable requests that are forwarded. They go on when their callers have left.
    unrepeatable: AtomicU64,
    /// Number of requests answered since the start, by which the answered requests to be logged are
    /// selected (one in [`RESPONSE_SAMPLE`]).
    answered: AtomicU64,
}

/// Number of hosts that a starting host assumes until it knows the other hosts. The number is twice
/// the largest supported deployment, so that a starting host claims too small a share of a server's
/// limit rather than too large a one.
const ASSUMED_HOSTS: usize = 10_000;
/// Sampling interval of the log: one in 100 answered requests is logged; the others are only
/// counted.
const RESPONSE_SAMPLE: u64 = 100;

impl Entry {
    /// Creates a host's state. No task runs and no connection is opened yet.
    pub fn new(settings: Settings) -> Self {
        // Uses only 53 bits, because JSON readers may store numbers as doubles, which hold integers
        // of at most 53 bits exactly.
        let incarnation = (rand::rng().random::<u64>() >> 11).max(1);
        let limits = Timings::new(&settings.bounds);
        Self {
            incarnation,
            store: Store::new(settings.store.address),
            view: View::default(),
            limits,
            freshness: Freshness::new(&limits),
            confirmation: ConfigurationConfirmation::default(),
            join: Join::default(),
            broadcast: Broadcast::default(),
            hot_keys: HotKeys::default(),
            peers: Peers::default(),
            leadership: Leadership::default(),
            retries: RetryBudget::new(&settings.bounds),
            body_memory: BodyMemory::of_host(settings.memory_bytes()),
            quotas: Quotas::default(),
            crashes: Crashes::default(),
            notice_received: Notify::new(),
            backoffs: Backoffs::default(),
            demand_by_host: Mutex::default(),
            service_pacers: ServicePacers::default(),
            run_shares: RunShares::default(),
            contention: Contention::default(),
            request_ages: RequestAges::default(),
            retry_schedules: RetrySchedules::default(),
            shortages: Shortages::default(),
            idle_reuses: IdleReuses::default(),
            server_contact: ContactTime::default(),
            paths: ServerPaths::default(),
            metrics: Metrics::default(),
            registered: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            stop_deadline: watch_channel::Sender::new(u64::MAX),
            in_flight: AtomicU64::new(0),
            unrepeatable: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            settings,
        }
    }

    /// Returns this host's part of the rate limit of a service's cold servers. The limit is divided
    /// by the number of hosts, which is assumed to be [`ASSUMED_HOSTS`] until the other hosts are
    /// known.
    fn warmup_limit(&self, warmup: Warmup) -> WarmupLimit {
        WarmupLimit::new(warmup.per_s, self.sharing_hosts())
    }

    /// Returns the number of hosts that share a server's capacity, including this host.
    fn sharing_hosts(&self) -> usize {
        if self.view.are_hosts_known() {
            self.peers.hosts()
        } else {
            ASSUMED_HOSTS
        }
    }

    fn demand_by_host(&self) -> MutexGuard<'_, DemandByHost> {
        self.demand_by_host
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns true if the load balancer should send callers to this host: the configuration and
    /// the servers are known, and no planned stop has begun.
    pub fn ready(&self) -> bool {
        !self.stopping() && self.view.configuration().is_some() && self.view.are_servers_known()
    }

    /// Returns true once a planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Returns the latest time at which the process exits in a planned stop; `u64::MAX` before a
    /// stop.
    pub fn stop_deadline_ms(&self) -> u64 {
        *self.stop_deadline.borrow()
    }

    /// Counts an answered request and returns true if it is to be logged.
    fn samples_response(&self) -> bool {
        let number = self.answered.fetch_add(1, Ordering::Relaxed);
        number.is_multiple_of(RESPONSE_SAMPLE)
    }

    /// Counts a caller's request as in flight until the returned guard is dropped.
    fn track_request(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }

    /// Counts an unrepeatable request as forwarded until the returned guard is dropped.
    fn track_unrepeatable(self: &Arc<Self>) -> UnrepeatableGuard {
        self.unrepeatable.fetch_add(1, Ordering::Relaxed);
        UnrepeatableGuard(self.clone())
    }
}

/// Guard of an unrepeatable request, which counts as forwarded until the guard is dropped.
struct UnrepeatableGuard(Arc<Entry>);

impl Drop for UnrepeatableGuard {
    fn drop(&mut self) {
        self.0.unrepeatable.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guard of a caller's request, which this host counts as in flight until the guard is dropped.
struct InFlightGuard(Arc<Entry>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
