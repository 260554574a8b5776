//! Renews the leases of backend servers. A server that responds neither to this host nor to other
//! hosts is declared lost.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::Host;
use crate::{
    clock,
    id::{HostKey, Incarnation, LeaseEpoch, ServerKey},
    membership::ring::HashRing,
    ownership::{
        message::{LEASE_PATH, LeaseRequest, LeaseResponse, SlotGrant, grant_hash},
        renewal::RenewalOutcome,
    },
    peer::message::{PeerReply, PeerRequest},
    state::{Change, ServerEntry, ServerState, State},
    transport::{CallError, JsonClient},
};

/// Interval in milliseconds at which the host checks which renewals are due.
const TICK_MS: u64 = 25;
/// Number of hosts that renew the lease of one server independently of each other.
const RENEWERS: usize = 2;
/// Number of heartbeat intervals without a reply after which the renewals of a silent host are
/// assigned to another host.
const SILENT_HEARTBEATS: u64 = 5;
/// Number of other hosts that probe a server before it is declared lost.
const INDIRECT_PROBES: usize = 2;
/// Timeout in milliseconds of one command to a server (a lease renewal, a grant or a release).
pub(super) const ORDER_TIMEOUT_MS: u64 = 200;
/// Timeout in milliseconds of a probe by another host. It is longer than [`ORDER_TIMEOUT_MS`],
/// because the probing host itself waits up to that long for the server.
const PROBE_TIMEOUT_MS: u64 = 250;

/// Server whose lease this host renews, with the process and the lease epoch to which the renewals
/// apply.
#[derive(Clone, Copy, Debug)]
struct LeasedServer {
    server: ServerKey,
    address: std::net::SocketAddr,
    incarnation: Incarnation,
    lease_epoch: LeaseEpoch,
}

impl LeasedServer {
    fn of(server: ServerKey, entry: &ServerEntry) -> Self {
        Self {
            server,
            address: entry.address,
            incarnation: entry.incarnation,
            lease_epoch: entry.lease_epoch,
        }
    }
}

/// Returns an HTTP client for commands to servers, with a timeout of [`ORDER_TIMEOUT_MS`].
pub(super) fn order_client() -> JsonClient {
    JsonClient::new(ORDER_TIMEOUT_MS)
}

impl Host {
    /// Renews the leases assigned to this host until the process ends. Sends no renewals while the
    /// staleness of the view exceeds the maximum.
    pub(super) async fn run_lease_renewal(self: Arc<Self>) {
        let mut ticks = time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut assigned = Vec::new();
        let mut assigned_ms = 0;
        loop {
            ticks.tick().await;
            let now_ms = clock::now_ms();
            if now_ms >= assigned_ms + self.settings.ownership.heartbeat_ms {
                assigned = self.assigned_servers();
                assigned_ms = now_ms;
            }
            if self.view.is_up_to_date() {
                self.renew_due(&assigned);
            }
        }
    }

    /// Returns the live servers whose leases this host renews: the servers for which this host is
    /// among the first [`RENEWERS`] hosts in the hash ring.
    fn assigned_servers(&self) -> Vec<LeasedServer> {
        let Some(own) = self.key() else {
            return Vec::new();
        };
        let state = self.view.state();
        let ring = HashRing::new(self.heard_hosts(&state, own).into_iter());
        let is_assigned = |server: ServerKey| {
            let mut renewers = ring.successors(server.0).take(RENEWERS);
            renewers.any(|host| host == own)
        };
        state
            .server_entries()
            .filter(|(_, entry)| entry.state == ServerState::Live)
            .filter(|(server, _)| is_assigned(*server))
            .map(|(server, entry)| LeasedServer::of(server, entry))
            .collect()
    }

    fn renew_due(self: &Arc<Self>, assigned: &[LeasedServer]) {
        for leased in assigned.iter().copied() {
            if self.start_if_due(leased) {
                let host = self.clone();
                tokio::spawn(async move { host.renew(leased).await });
            }
        }
    }

    /// Returns this host and the hosts that replied to a heartbeat of this host within the last
    /// [`SILENT_HEARTBEATS`] heartbeat intervals. Hosts that have never replied to a heartbeat of
    /// this host, such as hosts that this host does not ping, are returned as well.
    fn heard_hosts(&self, state: &State, own: HostKey) -> Vec<HostKey> {
        let heartbeat_ms = self.settings.ownership.heartbeat_ms;
        let silent_ms = heartbeat_ms * SILENT_HEARTBEATS;
        let now_ms = clock::now_ms();
        let heard = |key| match self.view.heard_ms(key) {
            Some(heard_ms) => now_ms <= heard_ms + silent_ms,
            None => true,
        };
        state
            .registered_hosts()
            .map(|(key, _)| key)
            .filter(|key| *key == own || heard(*key))
            .collect()
    }

    /// Returns true if a renewal of the server's lease is due. In that case also records that the
    /// renewal was sent, which postpones the next renewal while the due renewal is in flight.
    fn start_if_due(&self, leased: LeasedServer) -> bool {
        let now_ms = clock::now_ms();
        let mut renewal_states = self.renewal_states();
        let index = leased.server.0 as usize;
        if renewal_states.len() <= index {
            renewal_states.resize_with(index + 1, Default::default);
        }
        let renewal_state = &mut renewal_states[index];
        renewal_state.start_lease_epoch(leased.lease_epoch, now_ms);
        let is_due = renewal_state.is_due(now_ms);
        if is_due {
            renewal_state.record_sent(now_ms, ORDER_TIMEOUT_MS);
        }
        is_due
    }

    async fn renew(self: Arc<Self>, leased: LeasedServer) {
        let Some(order) = self.order(leased) else {
            return;
        };
        let ordered = order.incarnation.is_some();
        let response = self.servers.post(leased.address, LEASE_PATH, &order).await;
        match response {
            Ok(response) => self.renewed(leased, ordered, &response).await,
            Err(error) => self.renewal_failed(leased, &error).await,
        }
    }

    /// Returns the renewal to send; `None` if this host must not renew the lease. The state and its
    /// staleness are checked under the lock that [`Host::horizon`] also takes. Hence a reply of
    /// [`Host::horizon`] covers all renewals returned before, and no renewal is returned after a
    /// reply which states that this host has applied the loss of the server.
    fn order(&self, leased: LeasedServer) -> Option<LeaseRequest> {
        let mut renewal_states = self.renewal_states();
        let state = self.view.state();
        // Only registered hosts are queried for their horizons before the expiry of a lease is
        // recorded, so an unregistered host must not renew.
        state.host_key(self.incarnation)?;
        let entry = state.server(leased.server)?;
        let current = entry.state == ServerState::Live && entry.lease_epoch == leased.lease_epoch;
        if !current || !self.view.is_up_to_date() {
            return None;
        }
        let renewal_state = renewal_states.get_mut(leased.server.0 as usize)?;
        let now_ms = clock::now_ms();
        let ttl_ms = self.settings.ownership.lease_ttl_ms;
        let not_after_ms = renewal_state.order(leased.incarnation, now_ms, ttl_ms);
        let digest = renewal_state.digest;
        drop(renewal_states);
        let grants = missing_grants(&state, leased.server, digest);
        Some(LeaseRequest {
            incarnation: not_after_ms.map(|_| leased.incarnation),
            lease_epoch: leased.lease_epoch,
            not_after_ms: not_after_ms.unwrap_or_default(),
            grants,
        })
    }

    async fn renewed(
        self: &Arc<Self>,
        leased: LeasedServer,
        ordered: bool,
        response: &LeaseResponse,
    ) {
        let outcome = {
            let mut renewal_states = self.renewal_states();
            let Some(renewal_state) = renewal_states.get_mut(leased.server.0 as usize) else {
                return;
            };
            let now_ms = clock::now_ms();
            let every_ms = self.settings.ownership.renew_every_ms;
            renewal_state.record_response(response, leased.incarnation, ordered, now_ms, every_ms)
        };
        match outcome {
            RenewalOutcome::Renewed => self.commit_draining(leased, response.draining).await,
            RenewalOutcome::Replaced => {
                self.declare_lost(leased, "another process responds at its address")
                    .await
            }
            RenewalOutcome::Outdated => self.sync_requested.notify_one(),
        }
    }

    /// Commits that a server has begun or ended draining, unless the state already says so.
    async fn commit_draining(self: &Arc<Self>, leased: LeasedServer, draining: bool) {
        let state = self.view.state();
        let Some(entry) = state.server(leased.server) else {
            return;
        };
        if entry.lease_epoch != leased.lease_epoch || entry.draining == draining {
            return;
        }
        let change = Change::ServerDraining {
            server: leased.server,
            lease_epoch: leased.lease_epoch,
            draining,
        };
        let _ = self.commit_own(change).await;
    }

    /// Records a failed renewal. Declares the server lost if it has not responded to this host for
    /// the suspicion time (`suspect_ms`) and does not respond to other hosts either.
    async fn renewal_failed(self: &Arc<Self>, leased: LeasedServer, error: &CallError) {
        log::debug!(server = leased.server.0 as u64; "renewal failed: {error}");
        let suspected = {
            let mut renewal_states = self.renewal_states();
            let Some(renewal_state) = renewal_states.get_mut(leased.server.0 as usize) else {
                return;
            };
            let suspect_ms = self.settings.ownership.suspect_ms;
            renewal_state.record_failure(clock::now_ms(), suspect_ms)
        };
        if suspected && !self.is_reachable_by_others(leased.server).await {
            self.declare_lost(leased, "it does not respond").await;
        }
    }

    /// Returns true if at least one of up to [`INDIRECT_PROBES`] other hosts reaches the server.
    async fn is_reachable_by_others(&self, server: ServerKey) -> bool {
        let mut probes = tokio::task::JoinSet::new();
        let request = PeerRequest::Probe { server };
        let heard = |key: &HostKey| self.view.heard_ms(*key).is_some();
        let others = self.other_hosts();
        let chosen = others.iter().filter(|(key, _, _)| heard(key));
        for (_, _, address) in chosen.take(INDIRECT_PROBES) {
            let (address, request) = (*address, request.clone());
            let peers = self.peers.clone();
            probes.spawn(async move { peers.call(address, &request, PROBE_TIMEOUT_MS).await });
        }
        while let Some(probed) = probes.join_next().await {
            if let Ok(Ok(PeerReply::Probed { alive: true })) = probed {
                return true;
            }
        }
        false
    }

    /// Queries a server; returns true if the process that holds the lease responds.
    pub(super) async fn probe(&self, server: ServerKey) -> bool {
        let state = self.view.state();
        let Some(entry) = state.server(server) else {
            return false;
        };
        match self.query_server(entry.address).await {
            Ok(response) => response.incarnation == entry.incarnation,
            Err(_) => false,
        }
    }

    /// Queries a server for its process, clock, grants and draining state, by a request that
    /// leaves the lease unchanged.
    pub(super) async fn query_server(
        &self,
        address: std::net::SocketAddr,
    ) -> Result<LeaseResponse, CallError> {
        let query = LeaseRequest {
            incarnation: None,
            lease_epoch: LeaseEpoch::default(),
            not_after_ms: 0,
            grants: Vec::new(),
        };
        self.servers.post(address, LEASE_PATH, &query).await
    }

    /// Commits that a server is lost, if it is still live in the same lease epoch.
    async fn declare_lost(self: &Arc<Self>, leased: LeasedServer, reason: &str) {
        let state = self.view.state();
        let entry = state.server(leased.server);
        let live =
            |s: &ServerEntry| s.state == ServerState::Live && s.lease_epoch == leased.lease_epoch;
        if !entry.is_some_and(live) {
            return;
        }
        log::warn!(server = leased.server.0 as u64; "server at {} is lost: {reason}", leased.address);
        let change = Change::ServerLost {
            server: leased.server,
            lease_epoch: leased.lease_epoch,
        };
        if let Err(error) = self.commit_own(change).await {
            log::warn!("cannot record the loss of a server: {error}");
        }
    }
}

/// Returns all grants that a server should hold, if the digest that the server reported does not
/// match them. Returns an empty list if the digest matches, or before the server has reported a
/// digest.
fn missing_grants(state: &State, server: ServerKey, digest: Option<u64>) -> Vec<SlotGrant> {
    let Some(digest) = digest else {
        return Vec::new();
    };
    let mut grants = Vec::new();
    let mut expected = 0;
    for (_, service) in state.active_services() {
        let name = &service.spec.name;
        for (slot, entry) in service.slot_entries() {
            if entry.stable_owner() != Some(server) {
                continue;
            }
            expected ^= grant_hash(name, slot, entry.epoch);
            grants.push(SlotGrant {
                service: name.clone(),
                slot,
                epoch: entry.epoch,
            });
        }
    }
    if expected == digest {
        return Vec::new();
    }
    grants
}
