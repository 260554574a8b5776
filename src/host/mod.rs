//! The entry host: its view of the agreed state, and the tasks that keep it fresh and act on it.

mod commit;
mod controller;
mod duties;
mod error;
mod heartbeat;
mod leader;
mod moves;
mod peers;
mod planning;
mod renew;
mod run;
mod sync;
mod view;

pub use self::{
    commit::{CommitError, CommitRequest},
    error::{Error, OperatorsSnafu, Result, TokenSnafu},
    run::{RunningHost, start},
    view::View,
};

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

use tokio::sync::Notify;

use crate::{
    claims::Claims,
    id::{HostKey, Incarnation},
    metrics::Metrics,
    ownership::renewal::RenewalState,
    peer::PeerEndpoint,
    routing::{Traffic, target::Targets},
    settings::Settings,
    state::ChangeLog,
    store::Platform,
    transport::JsonClient,
};

/// Everything that the tasks of one host share.
#[derive(Debug)]
pub struct Host {
    /// Settings.
    pub settings: Settings,
    /// This process.
    pub incarnation: Incarnation,
    /// The agreed state and its freshness.
    pub view: View,
    /// Requests counted by slot.
    pub traffic: Traffic,
    /// Connections and permits of backend servers.
    pub targets: Targets,
    /// Records of unrepeatable requests.
    pub claims: Claims,
    /// Metrics.
    pub metrics: Metrics,
    pub(crate) log: ChangeLog,
    pub(crate) platform: Platform,
    pub(crate) peers: Arc<PeerEndpoint>,
    pub(crate) servers: JsonClient,
    renewal_states: Mutex<Vec<RenewalState>>,
    commits: tokio::sync::Mutex<()>,
    sync_wanted: Notify,
    leading: AtomicBool,
    leader_term: AtomicU64,
    ready: AtomicBool,
    stop_wanted: Notify,
}

impl Host {
    /// True while this host holds the leader row, as far as it knows.
    pub fn leading(&self) -> bool {
        self.leading.load(Ordering::Relaxed)
    }

    /// Number of the leader's term that this host last saw.
    pub fn leader_term(&self) -> u64 {
        self.leader_term.load(Ordering::Relaxed)
    }

    /// True if the balancer should send requests here.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && self.view.fresh()
    }

    /// Asks for the planned stop of this host.
    pub fn ask_to_stop(&self) {
        self.stop_wanted.notify_one();
    }

    /// Returns when a planned stop was asked for.
    pub async fn stop_asked(&self) {
        self.stop_wanted.notified().await;
    }

    /// Key of this host once it is registered.
    pub fn key(&self) -> Option<HostKey> {
        self.view.peek().host_key(self.incarnation)
    }

    fn renewal_states(&self) -> MutexGuard<'_, Vec<RenewalState>> {
        self.renewal_states
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
