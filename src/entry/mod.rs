//! An entry host on the users' platform: it passes requests on to backend servers, and one host
//! at a time has the duty of saying which server holds which keys.

pub mod bounds;
mod callers;
pub mod crashes;
pub mod decide;
pub mod digest;
mod duty;
mod events;
pub mod explain;
mod forward;
mod join;
pub mod keys;
mod leases;
pub mod limits;
pub mod log_writer;
pub mod losses;
pub mod metrics;
pub mod model;
pub mod news;
mod notices;
pub mod owners;
pub mod peers;
mod pool;
pub mod quotas;
mod rate_limits;
mod register;
pub mod registry;
pub mod relay;
mod rows;
mod run;
pub mod runs;
pub mod seal;
mod secret;
pub mod server;
pub mod settings;
pub mod shared_rate;
pub mod view;
mod vouching;
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
use tokio::sync::Notify;

use self::{
    crashes::Crashes,
    decide::{
        budget::RetryBudget, hot_keys::HotKeys, kinds::Kinds, rate_parts::AskedByHost, rests::Rests,
    },
    duty::Duty,
    forward::body::BodyMemory,
    join::Join,
    limits::TimeLimits,
    metrics::Metrics,
    model::Warmup,
    news::{freshness::Freshness, proof::ConfigurationProof},
    peers::Peers,
    quotas::Quotas,
    relay::Relay,
    server::ColdRule,
    view::View,
};
use crate::platform::store::Store;

/// Everything that the tasks of one host share.
#[derive(Debug)]
pub struct Entry {
    /// Settings.
    pub settings: Settings,
    /// This process.
    pub incarnation: u64,
    /// Client of the store.
    pub store: Store,
    /// Configuration, servers and keys.
    pub view: View,
    /// Timeouts and rests that follow from the users' bounds.
    pub limits: TimeLimits,
    /// What is heard of the store.
    pub freshness: Freshness,
    /// Up to when the configuration is proved to be the latest one.
    pub proof: ConfigurationProof,
    /// How this host learns what the others know as it starts.
    join: Join,
    /// Whether changes that the holder of the duty passes on can be taken.
    pub relay: Relay,
    /// Keys that get too many requests.
    pub hot_keys: HotKeys,
    /// Other hosts.
    pub peers: Peers,
    /// Duty of giving leases.
    pub duty: Duty,
    /// Budget of repeated requests.
    pub retries: RetryBudget,
    /// Memory for bodies.
    body_memory: BodyMemory,
    /// Quotas of workspaces.
    pub quotas: Quotas,
    /// Servers that ended, and requests under which several have.
    pub crashes: Crashes,
    /// A server has told this host that it leaves, or that it wants a rest.
    noticed: Notify,
    /// Rests that servers asked hosts for, while this host has the duty.
    rests: Rests,
    /// What is asked of servers that name a limit, while this host has the duty.
    asked_by_host: Mutex<AskedByHost>,
    /// Run times by route.
    pub kinds: Kinds,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// This process stands in its host's row.
    registered: AtomicBool,
    stopping: AtomicBool,
    /// When the process ends in a planned stop; `u64::MAX` before that.
    stop_deadline_ms: AtomicU64,
    in_flight: AtomicU64,
    answered: AtomicU64,
}

/// Number of hosts that is assumed while none are known: twice the most that we build for.
const ASSUMED_HOSTS: usize = 10_000;
/// Of so many answered requests one is logged; the others are only counted.
const ANSWER_SAMPLE: u64 = 100;

impl Entry {
    /// A host that does nothing yet.
    pub fn new(settings: Settings) -> Self {
        // JSON readers may hold numbers as doubles, so only 53 bits are used.
        let incarnation = (rand::rng().random::<u64>() >> 11).max(1);
        let limits = TimeLimits::new(&settings.bounds);
        Self {
            incarnation,
            store: Store::new(settings.store.address),
            view: View::default(),
            limits,
            freshness: Freshness::new(&limits),
            proof: ConfigurationProof::default(),
            join: Join::default(),
            relay: Relay::default(),
            hot_keys: HotKeys::default(),
            peers: Peers::default(),
            duty: Duty::default(),
            retries: RetryBudget::new(&settings.bounds),
            body_memory: BodyMemory::of_host(settings.memory_bytes()),
            quotas: Quotas::default(),
            crashes: Crashes::default(),
            noticed: Notify::new(),
            rests: Rests::default(),
            asked_by_host: Mutex::default(),
            kinds: Kinds::default(),
            metrics: Metrics::default(),
            registered: AtomicBool::new(false),
            stopping: AtomicBool::new(false),
            stop_deadline_ms: AtomicU64::new(u64::MAX),
            in_flight: AtomicU64::new(0),
            answered: AtomicU64::new(0),
            settings,
        }
    }

    /// The rule for cold servers of a service. Until the other hosts are read from the store this host
    /// does not know how many share what a cold server bears.
    fn cold_rule(&self, warmup: Warmup) -> ColdRule {
        ColdRule::new(warmup, self.sharing_hosts())
    }

    /// Number of hosts that share what a server bears, this one included.
    fn sharing_hosts(&self) -> usize {
        if self.view.are_hosts_known() {
            self.peers.hosts()
        } else {
            ASSUMED_HOSTS
        }
    }

    fn asked_by_host(&self) -> MutexGuard<'_, AskedByHost> {
        self.asked_by_host
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// True if the balancer should send callers here.
    pub fn ready(&self) -> bool {
        !self.stopping() && self.view.configuration().is_some() && self.view.servers_known()
    }

    /// True once a planned stop has begun.
    pub fn stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// When the process ends in a planned stop; `u64::MAX` before that.
    pub fn stop_deadline_ms(&self) -> u64 {
        self.stop_deadline_ms.load(Ordering::Relaxed)
    }

    /// True for each of the answered requests that is logged.
    fn samples_answer(&self) -> bool {
        let number = self.answered.fetch_add(1, Ordering::Relaxed);
        number.is_multiple_of(ANSWER_SAMPLE)
    }

    fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(self.clone())
    }
}

/// A request in this host; counted until dropped.
struct InFlightGuard(Arc<Entry>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}
