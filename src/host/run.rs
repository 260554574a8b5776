//! Starts an entry host, registers it, and ends it by a planned stop or a simulated crash.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use snafu::ResultExt;
use tokio::{
    net::TcpListener,
    sync::{Notify, watch},
    task::JoinSet,
    time,
};

use super::{
    Host,
    commit::CommitRequest,
    error::{ListenSnafu, MetricsSnafu, PeerSnafu, Result},
    renew::order_client,
    view::View,
};
use crate::{
    claims::Claims,
    clock,
    id::{Incarnation, OperationId},
    metrics::Metrics,
    operator::{self, api::OperatorServer},
    peer::{PeerEndpoint, keys},
    routing::{self, Traffic, target::BackendConnections},
    settings::Settings,
    state::{Change, ChangeLog},
    store::Platform,
    transport::{self, ListenerLimits},
};

/// Timeout in milliseconds within which the change log finds out whether a transaction whose
/// response was lost took effect.
const RESOLVE_TIMEOUT_MS: u64 = 5_000;
/// Maximum number of idle connections kept open to one backend server.
const IDLE_CONNECTIONS: usize = 8;
/// Pause in milliseconds between two attempts to register this host, which fail while the store is
/// unreachable.
const REGISTER_PAUSE_MS: u64 = 100;
/// Timeout in milliseconds of the announcement of a planned stop, so that the host can stop while
/// the store is down.
const LEAVE_TIMEOUT_MS: u64 = 2_000;

/// Running host: its context, bound addresses and tasks. [`RunningHost::stop`] ends the host.
#[derive(Debug)]
pub struct RunningHost {
    /// Context shared with the tasks of the host.
    pub host: Arc<Host>,
    /// Address on which the listener for callers is bound.
    pub callers: SocketAddr,
    /// Address on which the listener of the operators' API is bound.
    pub operators: SocketAddr,
    stop_callers: watch::Sender<bool>,
    callers_done: tokio::task::JoinHandle<()>,
    operators_server: OperatorServer,
    tasks: JoinSet<()>,
}

/// Starts a host: opens its listeners and spawns its tasks. The host registers in the background.
pub async fn start(settings: Settings) -> Result<RunningHost> {
    let tls = keys::load(&settings.peers).context(PeerSnafu)?;
    let bound = PeerEndpoint::bind(settings.peers.listen, tls);
    let (peers, inbox) = bound.context(PeerSnafu)?;
    let address = settings.callers.listen;
    let listener = TcpListener::bind(address).await;
    let listener = listener.context(ListenSnafu { address })?;
    let callers = listener.local_addr().context(ListenSnafu { address })?;
    let host = Arc::new(build(settings, peers)?);
    let operators_server = operator::api::start(host.clone()).await?;
    let (stop_callers, stopped) = watch::channel(false);
    let callers_done = serve_callers(host.clone(), listener, stopped);
    let mut tasks = JoinSet::new();
    tasks.spawn(host.clone().serve_peers(inbox));
    tasks.spawn(host.clone().keep_synced());
    tasks.spawn(host.clone().keep_registered());
    tasks.spawn(host.clone().keep_sending_heartbeats());
    tasks.spawn(host.clone().run_lease_renewal());
    tasks.spawn(host.clone().run_leader_election());
    tasks.spawn(host.clone().run_controller());
    Ok(RunningHost {
        callers,
        operators: operators_server.address,
        host,
        stop_callers,
        callers_done,
        operators_server,
        tasks,
    })
}

fn build(settings: Settings, peers: PeerEndpoint) -> Result<Host> {
    let platform = Platform::new(settings.platform.address, settings.platform.timeout_ms);
    let metrics = Metrics::new(settings.metrics.statsd_address).context(MetricsSnafu)?;
    Ok(Host {
        incarnation: Incarnation::random(),
        view: View::new(settings.ownership.max_staleness_ms),
        traffic: Traffic::default(),
        backend_connections: BackendConnections::new(IDLE_CONNECTIONS),
        claims: Claims::start(platform.clone()),
        metrics,
        log: ChangeLog::new(platform.clone(), RESOLVE_TIMEOUT_MS),
        platform,
        peers: Arc::new(peers),
        servers: order_client(),
        renewal_states: Mutex::default(),
        commits: tokio::sync::Mutex::default(),
        sync_requested: Notify::new(),
        leading: AtomicBool::new(false),
        leader_term: AtomicU64::new(0),
        ready: AtomicBool::new(true),
        stop_wanted: Notify::new(),
        settings,
    })
}

fn serve_callers(
    host: Arc<Host>,
    listener: TcpListener,
    stopped: watch::Receiver<bool>,
) -> tokio::task::JoinHandle<()> {
    let limits = ListenerLimits {
        connections: host.settings.callers.connections,
        drain_ms: host.settings.callers.drain_ms,
        ..ListenerLimits::default()
    };
    let handler = move |request| routing::answer(host.clone(), request);
    tokio::spawn(transport::serve(listener, limits, stopped, handler))
}

impl Host {
    /// Registers this process, and retries until the registration has succeeded.
    async fn keep_registered(self: Arc<Self>) {
        let Ok(peer_address) = self.peers.address() else {
            return;
        };
        let request = CommitRequest {
            operation_id: OperationId::random(),
            actor: format!("host {}", self.settings.name),
            expect_revision: None,
            change: Change::HostRegistered {
                name: self.settings.name.clone(),
                incarnation: self.incarnation,
                peer_address,
                availability_zone: self.settings.availability_zone.clone(),
            },
        };
        while self.key().is_none() {
            let read = self.read_log().await;
            if read && let Err(error) = self.commit(request.clone()).await {
                log::warn!("cannot register this host yet: {error}");
            }
            time::sleep(Duration::from_millis(REGISTER_PAUSE_MS)).await;
        }
        log::info!(host = self.settings.name.as_str(); "registered");
    }

    /// Commits that this host leaves, so that the leader removes the host soon after the host has
    /// stopped.
    async fn announce_leaving(self: &Arc<Self>) {
        let Some(host) = self.key() else { return };
        let change = Change::HostLeaving {
            host,
            incarnation: self.incarnation,
        };
        let announced = self.commit_own(change);
        let limit = Duration::from_millis(LEAVE_TIMEOUT_MS);
        if !matches!(time::timeout(limit, announced).await, Ok(Ok(()))) {
            log::warn!("cannot announce the planned stop of this host");
        }
    }
}

impl RunningHost {
    /// Carries out a planned stop: withdraws readiness, announces the stop, and waits until the
    /// notice time of the settings (`notice_ms`) has passed since the readiness was withdrawn. Then
    /// lets the requests in flight finish within the drain time of the settings, and ends all
    /// tasks.
    pub async fn stop(mut self) {
        let host = &self.host;
        host.ready.store(false, Ordering::Relaxed);
        let notice_ms = clock::now_ms() + host.settings.callers.notice_ms;
        host.announce_leaving().await;
        let left_ms = notice_ms.saturating_sub(clock::now_ms());
        time::sleep(Duration::from_millis(left_ms)).await;
        let _ = self.stop_callers.send(true);
        let _ = (&mut self.callers_done).await;
        self.operators_server.stop().await;
        self.tasks.shutdown().await;
        self.host.peers.close();
    }

    /// Ends the host as a crash would: the stop is not announced, and requests in flight are
    /// aborted.
    pub async fn kill(mut self) {
        self.callers_done.abort();
        self.tasks.shutdown().await;
        self.host.peers.close();
        self.operators_server.stop().await;
    }

    /// Waits until a task of the host panics. A task that returns does not count as a failure.
    pub async fn failed(&mut self) {
        while let Some(ended) = self.tasks.join_next().await {
            if ended.is_err() {
                return;
            }
        }
    }
}
