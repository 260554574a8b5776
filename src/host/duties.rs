//! The leader's other duties: servers that come, lost servers, and the registry of hosts.

use std::{sync::Arc, time::Duration};

use tokio::{sync::mpsc::UnboundedSender, task::JoinSet, time};

use super::{
    Host,
    controller::{Controller, Done, RegistryChange},
    view::{registered, voters},
};
use crate::{
    clock,
    id::{HostKey, Incarnation, LeaseEpoch, Revision, ServerKey},
    membership::freshness::Voter,
    ownership::lapse::{Holders, HorizonReport, lapsed_at_ms},
    peer::message::{PeerReply, PeerRequest},
    state::{Change, HostEntry, HostState, ServerState, State},
};

const ASK_SERVERS_MS: u64 = 300;
const HORIZON_TIMEOUT_MS: u64 = 200;
const HORIZON_PAUSE_MS: u64 = 50;

impl Host {
    /// Starts a task for each lost server that has none.
    pub(super) fn wait_for_lapses(
        self: &Arc<Self>,
        controller: &mut Controller,
        done: &UnboundedSender<Done>,
    ) {
        let state = self.view.state();
        let complete = controller.registry.settled();
        for (server, entry) in state.server_entries() {
            if entry.state != ServerState::Lost || !controller.lapsing.insert(server) {
                continue;
            }
            let host = self.clone();
            let done = done.clone();
            let lost = Loss {
                server,
                lease_epoch: entry.lease_epoch,
                revision: entry.changed,
            };
            tokio::spawn(async move {
                host.wait_for_lapse(lost, complete).await;
                let _ = done.send(Done::Lapsed(server));
            });
        }
    }

    /// One round of questions, then the wait that they allow.
    async fn wait_for_lapse(self: &Arc<Self>, lost: Loss, complete: bool) {
        let reports = self.horizon_reports(lost).await;
        let state = self.view.state();
        let holders = Holders {
            registered: &registered(&state),
            voters: &voters(&state),
            complete,
        };
        let ownership = &self.settings.ownership;
        let at_ms = lapsed_at_ms(holders, &reports, ownership.lapse_ms(), ownership.margin_ms);
        let now_ms = clock::now_ms();
        let Some(at_ms) = at_ms else {
            time::sleep(Duration::from_millis(HORIZON_PAUSE_MS)).await;
            return;
        };
        // A short wait is taken whole; a long one may be cut by hosts that answer later.
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
            log::warn!("a lapse cannot be recorded: {error}");
        }
    }

    async fn horizon_reports(self: &Arc<Self>, lost: Loss) -> Vec<HorizonReport> {
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

    /// Asks the servers that have no lease whether they are there.
    pub(super) async fn join_servers(self: &Arc<Self>, controller: &mut Controller) {
        let now_ms = clock::now_ms();
        if now_ms < controller.asked_ms + ASK_SERVERS_MS {
            return;
        }
        controller.asked_ms = now_ms;
        let state = self.view.state();
        let mut calls = JoinSet::new();
        for (server, entry) in state.server_entries() {
            let wanted = entry.state == ServerState::Absent && is_target(&state, server);
            if !wanted {
                continue;
            }
            let host = self.clone();
            let address = entry.address;
            calls.spawn(async move { (server, host.ask(address).await) });
        }
        while let Some(asked) = calls.join_next().await {
            let Ok((server, Ok(answer))) = asked else {
                continue;
            };
            if answer.draining {
                continue;
            }
            let change = Change::ServerJoined {
                server,
                incarnation: answer.incarnation,
            };
            let _ = self.commit_own(change).await;
        }
    }

    /// Promotes and removes hosts, one change at a time: the next one waits until the last one
    /// has reached more than half of the hosts and the rest has stopped acting, so that the
    /// majorities of any two views that hosts may act on share a host.
    pub(super) async fn keep_registry(self: &Arc<Self>, controller: &mut Controller) {
        let state = self.view.state();
        self.follow_registry(controller, &state).await;
        if !controller.registry.settled() {
            return;
        }
        let Some(change) = self.registry_change(&state) else {
            return;
        };
        let _ = self.commit_own(change).await;
    }

    async fn follow_registry(&self, controller: &mut Controller, state: &State) {
        let latest = state.registry;
        if controller.registry.revision != latest {
            controller.registry = RegistryChange {
                revision: latest,
                settled_ms: None,
            };
        }
        if controller.registry.settled_ms.is_some() {
            return;
        }
        let applied = self.hosts_at(latest).await;
        let voters = voters(state);
        let counted = voters.iter().filter(|voter| applied.contains(voter));
        if counted.count() * 2 > voters.len() || voters.is_empty() {
            let wait_ms = self.settings.ownership.lapse_ms();
            // All hosts at once need no wait for the rest.
            let all = registered(state).iter().all(|host| applied.contains(host));
            let first = voters.is_empty();
            let wait_ms = if first || (all && state.removal < latest) {
                0
            } else {
                wait_ms
            };
            controller.registry.settled_ms = Some(clock::now_ms() + wait_ms);
        }
    }

    /// Hosts that have applied a revision.
    async fn hosts_at(&self, revision: Revision) -> Vec<Voter> {
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
                applied.then_some(Voter { host, incarnation })
            });
        }
        let own = self.key().map(|host| Voter {
            host,
            incarnation: self.incarnation,
        });
        let mut applied: Vec<Voter> = own.into_iter().collect();
        while let Some(found) = calls.join_next().await {
            applied.extend(found.ok().flatten());
        }
        applied
    }

    fn registry_change(&self, state: &State) -> Option<Change> {
        let own = self.key();
        let silent_ms = self.settings.ownership.host_removal_ms;
        let now_ms = clock::now_ms();
        for (host, entry) in state.registered_hosts() {
            let incarnation = entry.incarnation;
            let heard_ms = self.view.heard_ms(host);
            let heard = |within_ms: u64| heard_ms.is_some_and(|ms| now_ms <= ms + within_ms);
            if entry.state == HostState::Joining && (Some(host) == own || heard(1_000)) {
                return Some(Change::HostPromoted { host, incarnation });
            }
            let replaced = is_replaced(state, entry);
            let leaving = entry.state == HostState::Leaving;
            let gone_ms = if leaving || replaced {
                self.settings.ownership.lapse_ms()
            } else {
                silent_ms
            };
            let seen =
                heard_ms.is_some() || self.view.applied_age_ms(entry.changed) > Some(gone_ms);
            if Some(host) != own && seen && !heard(gone_ms) {
                return Some(Change::HostRemoved { host, incarnation });
            }
        }
        None
    }
}

/// A lost server.
#[derive(Clone, Copy, Debug)]
struct Loss {
    server: ServerKey,
    lease_epoch: LeaseEpoch,
    revision: Revision,
}

impl RegistryChange {
    /// True if no host acts on an earlier registry any more.
    pub(super) fn settled(&self) -> bool {
        self.settled_ms
            .is_some_and(|settled_ms| clock::now_ms() >= settled_ms)
    }
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
        // The age was taken before now, so this is no earlier than the truth.
        applied_ms: now_ms - applied_age_ms?,
        horizon_ms: now_ms + remaining_ms,
    })
}

/// True if a later process runs under the same name.
fn is_replaced(state: &State, entry: &HostEntry) -> bool {
    let mut hosts = state.registered_hosts();
    hosts.any(|(_, other)| other.name == entry.name && other.changed > entry.changed)
}

fn is_target(state: &State, server: ServerKey) -> bool {
    let mut services = state.active_services();
    services.any(|(_, service)| service.targets.contains(&server))
}
