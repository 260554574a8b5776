//! Tasks of the leader other than moves: joining servers, lost servers and the registry of hosts.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc::UnboundedSender, task::JoinSet, time};

use super::{
    Host,
    controller::{Controller, FinishedTask},
};
use crate::{
    clock,
    id::{HostKey, Incarnation, LeaseEpoch, Revision, ServerKey},
    membership::{
        heartbeat_tree,
        registry::{self, RegistryLimits, Silence, quorum_members, registered},
        staleness::HostProcess,
    },
    ownership::expiry::{HorizonReport, RenewingHosts, expired_at_ms},
    peer::message::{PeerReply, PeerRequest},
    state::{Change, HostEntry, ServerState, State},
};

/// Interval in milliseconds at which the leader queries the servers without a lease. Servers that
/// respond and are not draining join.
const QUERY_SERVERS_MS: u64 = 300;
/// Timeout in milliseconds of a query to another host for its lease horizon (see
/// [`crate::ownership::expiry`]) or for the revision that it has applied.
const HORIZON_TIMEOUT_MS: u64 = 200;
/// Maximum wait in milliseconds between two rounds of queries for the lease horizons that concern
/// one lost server.
const HORIZON_PAUSE_MS: u64 = 50;

impl Host {
    /// Starts one task per lost server, which waits until the server's lease has expired. A task
    /// that is already running is not started again.
    pub(super) fn wait_for_expiries(
        self: &Arc<Self>,
        controller: &mut Controller,
        done: &UnboundedSender<FinishedTask>,
    ) {
        let state = self.view.state();
        for (server, entry) in state.server_entries() {
            if entry.state != ServerState::Lost || !controller.expiring.insert(server) {
                continue;
            }
            let host = self.clone();
            let done = done.clone();
            let lost = LostServer {
                server,
                lease_epoch: entry.lease_epoch,
                revision: entry.changed,
            };
            tokio::spawn(async move {
                host.wait_for_expiry(lost).await;
                let _ = done.send(FinishedTask::Expired(server));
            });
        }
    }

    /// Queries all hosts once for their lease horizons (the times until which their renewals may
    /// keep the lease of the lost server valid), waits at most [`HORIZON_PAUSE_MS`], and records
    /// the expiry of the lease if the expiry is then certain.
    async fn wait_for_expiry(self: &Arc<Self>, lost: LostServer) {
        let reports = self.horizon_reports(lost).await;
        let state = self.view.state();
        // If this host does not know when it applied the revision, the age counts as zero, which
        // only delays the time at which the lease counts as expired.
        let since_age_ms = self.view.applied_age_ms(state.registry.majority_since());
        let renewing_hosts = RenewingHosts {
            registered: &registered(&state),
            quorum_members: &quorum_members(&state),
            previous: &state.registry.previous_quorum_members,
            majority_since_ms: clock::now_ms() - since_age_ms.unwrap_or_default(),
            change_complete: state.registry.is_change_complete(),
        };
        let expiry_bound_ms = self.settings.ownership.expiry_bound_ms();
        let at_ms = expired_at_ms(renewing_hosts, &reports, expiry_bound_ms);
        let now_ms = clock::now_ms();
        let Some(at_ms) = at_ms else {
            time::sleep(Duration::from_millis(HORIZON_PAUSE_MS)).await;
            return;
        };
        // If the lease expires after the maximum wait, this round ends without recording the
        // expiry, because replies in a later round can show an earlier expiry.
        if at_ms > now_ms {
            let wait_ms = (at_ms - now_ms).min(HORIZON_PAUSE_MS);
            time::sleep(Duration::from_millis(wait_ms)).await;
            if clock::now_ms() < at_ms {
                return;
            }
        }
        let change = Change::ServerLapsed {
            server: lost.server,
            lease_epoch: lost.lease_epoch,
        };
        if let Err(error) = self.commit_own(change).await {
            log::warn!("cannot record that the lease of a lost server has expired: {error}");
        }
    }

    async fn horizon_reports(self: &Arc<Self>, lost: LostServer) -> Vec<HorizonReport> {
        let request = PeerRequest::LeaseHorizon {
            server: lost.server,
            lease_epoch: lost.lease_epoch,
            lost: lost.revision,
        };
        let mut calls = JoinSet::new();
        for (host, incarnation, address) in self.other_hosts() {
            let peers = self.peers.clone();
            let request = request.clone();
            calls.spawn(async move {
                let reply = peers.call(address, &request, HORIZON_TIMEOUT_MS).await;
                report(host, incarnation, reply.ok()?)
            });
        }
        let own = self.horizon(lost.server, lost.lease_epoch, lost.revision);
        let own = self
            .key()
            .and_then(|key| report(key, self.incarnation, own));
        let mut reports: Vec<HorizonReport> = own.into_iter().collect();
        while let Some(reported) = calls.join_next().await {
            reports.extend(reported.ok().flatten());
        }
        reports
    }

    /// Queries the servers that have no lease, and records the servers that respond and are not
    /// draining as joined.
    pub(super) async fn join_servers(self: &Arc<Self>, controller: &mut Controller) {
        let now_ms = clock::now_ms();
        if now_ms < controller.joins_checked_ms + QUERY_SERVERS_MS {
            return;
        }
        controller.joins_checked_ms = now_ms;
        let state = self.view.state();
        let mut calls = JoinSet::new();
        for (server, entry) in state.server_entries() {
            let can_join = entry.state == ServerState::Absent && is_target(&state, server);
            if !can_join {
                continue;
            }
            let host = self.clone();
            let address = entry.address;
            calls.spawn(async move { (server, host.query_server(address).await) });
        }
        while let Some(queried) = calls.join_next().await {
            let Ok((server, Ok(response))) = queried else {
                continue;
            };
            if response.draining {
                continue;
            }
            let change = Change::ServerJoined {
                server,
                incarnation: response.incarnation,
            };
            let _ = self.commit_own(change).await;
        }
    }

    /// Promotes and removes hosts and records the completion of these changes of the registry, one
    /// change at a time (see [`crate::membership::registry`]).
    pub(super) async fn update_registry(self: &Arc<Self>, controller: &mut Controller) {
        let state = self.view.state();
        if controller.registry.pending(&state) {
            let applied = self.hosts_with_revision(state.registry.changed).await;
            let expiry_bound_ms = self.settings.ownership.expiry_bound_ms();
            controller
                .registry
                .record_applied(&state, &applied, clock::now_ms(), expiry_bound_ms);
        }
        let completion = controller.registry.completion(&state, clock::now_ms());
        let change = match completion {
            None if state.registry.is_change_complete() => self.registry_change(&state),
            completion => completion,
        };
        if let Some(change) = change {
            let _ = self.commit_own(change).await;
        }
    }

    /// Queries all hosts and returns those that have applied `revision`, this host included.
    async fn hosts_with_revision(&self, revision: Revision) -> Vec<HostProcess> {
        let mut calls = JoinSet::new();
        for (host, incarnation, address) in self.other_hosts() {
            let peers = self.peers.clone();
            let request = PeerRequest::Push {
                entries: Vec::new(),
                relay: Vec::new(),
            };
            calls.spawn(async move {
                let reply = peers.call(address, &request, HORIZON_TIMEOUT_MS).await;
                let applied =
                    matches!(reply, Ok(PeerReply::Applied { revision: r }) if r >= revision);
                applied.then_some(HostProcess { host, incarnation })
            });
        }
        let own = self.key().map(|host| HostProcess {
            host,
            incarnation: self.incarnation,
        });
        let mut applied: Vec<HostProcess> = own.into_iter().collect();
        while let Some(found) = calls.join_next().await {
            applied.extend(found.ok().flatten());
        }
        applied
    }

    /// Removes hosts that have stopped pinging this host. Hosts that are not the leader call this
    /// method for the hosts below them in the heartbeat tree, whose heartbeats the leader may not
    /// receive.
    pub(super) async fn remove_silent_hosts(self: &Arc<Self>) {
        let state = self.view.state();
        if self.leading() || !self.view.is_up_to_date() || !state.registry.is_change_complete() {
            return;
        }
        if let Some(change @ Change::HostRemoved { .. }) = self.registry_change(&state) {
            let _ = self.commit_own(change).await;
        }
    }

    /// Returns the next promotion or removal that follows from the heartbeats that this host has
    /// received and the replies to its own pings.
    fn registry_change(&self, state: &State) -> Option<Change> {
        let ownership = &self.settings.ownership;
        let limits = RegistryLimits {
            removal_ms: ownership.host_removal_ms,
            leaving_ms: ownership.expiry_bound_ms(),
        };
        let own = self.key();
        let hosts = heartbeat_tree::order(state);
        let heartbeat_targets = own
            .map(|own| heartbeat_tree::heartbeat_targets(&hosts, own))
            .unwrap_or_default();
        let silence = |host: HostKey, entry: &HostEntry| {
            let sender = HostProcess {
                host,
                incarnation: entry.incarnation,
            };
            let last_ping_ms = self.view.last_ping_ms(sender);
            let heard_ms = self.view.heard_ms(host).max(last_ping_ms);
            let silent_ms = heard_ms.map(|heard_ms| clock::now_ms().saturating_sub(heard_ms));
            Silence {
                silent_ms,
                expected: last_ping_ms.is_some() || heartbeat_targets.contains(&host),
                entry_age_ms: self.view.applied_age_ms(entry.changed).unwrap_or_default(),
            }
        };
        self.view.forget_unregistered(&registered(state));
        registry::next_change(state, own, limits, silence)
    }
}

/// Server that was declared lost and whose lease may still be valid.
#[derive(Clone, Copy, Debug)]
struct LostServer {
    server: ServerKey,
    lease_epoch: LeaseEpoch,
    revision: Revision,
}

fn report(host: HostKey, incarnation: Incarnation, reply: PeerReply) -> Option<HorizonReport> {
    let PeerReply::Horizon {
        applied_age_ms,
        remaining_ms,
    } = reply
    else {
        return None;
    };
    let now_ms = clock::now_ms();
    Some(HorizonReport {
        host,
        incarnation,
        // The host measured the age before its reply arrived here, so `applied_ms` is never too
        // early.
        applied_ms: now_ms - applied_age_ms?,
        horizon_ms: now_ms + remaining_ms,
    })
}

fn is_target(state: &State, server: ServerKey) -> bool {
    let mut services = state.active_services();
    services.any(|(_, service)| service.targets.contains(&server))
}
