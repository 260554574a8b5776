//! The entry host (a process of the router): its view of the replicated state, the tasks that keep
//! the view up to date, and the tasks that act on the view.

mod commit;
mod controller;
mod error;
mod heartbeat;
mod leader;
mod leader_tasks;
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
    routing::{Traffic, target::BackendConnections},
    settings::Settings,
    state::ChangeLog,
    store::Platform,
    transport::JsonClient,
};

/// Shared context of all tasks of one host.
#[derive(Debug)]
pub struct Host {
    /// Settings, read once at the start of the process.
    pub settings: Settings,
    /// Random identifier of this process; a restarted host has another identifier.
    pub incarnation: Incarnation,
    /// Replicated state as this host has applied it, with its staleness (the time since the state
    /// was known to be complete).
    pub view: View,
    /// Counters of the requests routed to each slot since the leader last read them.
    pub traffic: Traffic,
    /// Connections to backend servers, and the limits on requests in flight to each server.
    pub backend_connections: BackendConnections,
    /// Claims: records that keep unrepeatable requests from running twice.
    pub claims: Claims,
    /// Client that sends metrics to statsd, if the settings name a receiver.
    pub metrics: Metrics,
    pub(crate) log: ChangeLog,
    pub(crate) platform: Platform,
    pub(crate) peers: Arc<PeerEndpoint>,
    pub(crate) servers: JsonClient,
    renewal_states: Mutex<Vec<RenewalState>>,
    commits: tokio::sync::Mutex<()>,
    sync_requested: Notify,
    leading: AtomicBool,
    leader_term: AtomicU64,
    ready: AtomicBool,
    stop_wanted: Notify,
}

impl Host {
    /// Returns true while this host believes that it holds the leader row. Two hosts may believe so
    /// for a short time, which is safe.
    pub fn leading(&self) -> bool {
        self.leading.load(Ordering::Relaxed)
    }

    /// Returns the term of the leader row, a number that rises with each change of the leader, as
    /// this host last read or wrote it; 0 before the first read.
    pub fn leader_term(&self) -> u64 {
        self.leader_term.load(Ordering::Relaxed)
    }

    /// Returns true if the load balancer should send requests to this host: the host is not
    /// stopping, and the staleness of its view is within the maximum.
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed) && self.view.is_up_to_date()
    }

    /// Requests a planned stop of this host; [`Host::stop_requested`] then returns.
    pub fn request_stop(&self) {
        self.stop_wanted.notify_one();
    }

    /// Waits until a planned stop of this host is requested.
    pub async fn stop_requested(&self) {
        self.stop_wanted.notified().await;
    }

    /// Returns the key of this host in the state; `None` until the host is registered.
    pub fn key(&self) -> Option<HostKey> {
        self.view.peek().host_key(self.incarnation)
    }

    fn renewal_states(&self) -> MutexGuard<'_, Vec<RenewalState>> {
        self.renewal_states
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
