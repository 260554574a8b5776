//! Handles heartbeats and requests from other hosts: replies to pings, applies pushed entries and
//! serves entries, snapshots, probes and loads.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};

use super::Host;
use crate::{
    clock,
    id::{HostKey, Incarnation, LeaseEpoch, Revision, ServerKey},
    membership::staleness::{HeartbeatReply, HostProcess},
    peer::{
        Inbound,
        message::{Datagram, PeerReply, PeerRequest, encode},
    },
    state::Snapshot,
};

impl Host {
    /// Handles messages from other hosts until the endpoint closes. Each request is handled in a
    /// task of its own, so that a slow request delays no heartbeat.
    pub(super) async fn serve_peers(self: Arc<Self>, mut inbox: mpsc::Receiver<Inbound>) {
        while let Some(inbound) = inbox.recv().await {
            match inbound {
                Inbound::Datagram {
                    connection,
                    datagram,
                } => self.handle_heartbeat(&connection, datagram),
                Inbound::Request { request, reply } => {
                    let host = self.clone();
                    tokio::spawn(async move { host.handle_request(request, reply).await });
                }
            }
        }
    }

    fn handle_heartbeat(self: &Arc<Self>, connection: &quinn::Connection, datagram: Datagram) {
        match datagram {
            Datagram::Ping {
                host,
                incarnation,
                sent_ms,
                revision,
            } => {
                self.view.record_ping(host, incarnation);
                let pong = self.pong(sent_ms).map(|pong| encode(&pong));
                if let Some(Ok(bytes)) = pong {
                    let _ = connection.send_datagram(bytes.into());
                }
                if revision > self.view.revision() {
                    self.spawn_catch_up(connection.remote_address(), revision);
                }
            }
            Datagram::Pong {
                host,
                incarnation,
                sent_ms,
                revision,
                staleness_ms,
            } => {
                if revision > self.view.revision() {
                    self.spawn_catch_up(connection.remote_address(), revision);
                }
                self.receive_pong(HeartbeatReply {
                    host,
                    incarnation,
                    sent_ms,
                    revision,
                    staleness_ms,
                });
            }
        }
    }

    /// Records the reply to a heartbeat, which may advance the up-to-date time of this host's view
    /// (the latest time for which the view is known to be complete).
    fn receive_pong(&self, answer: HeartbeatReply) {
        let Some(host) = self.key() else { return };
        let own = HostProcess {
            host,
            incarnation: self.incarnation,
        };
        self.view.record_heartbeat_reply(answer, own);
    }

    /// Starts a task that fetches the missing entries from the peer that has `revision`.
    fn spawn_catch_up(self: &Arc<Self>, address: std::net::SocketAddr, revision: Revision) {
        let host = self.clone();
        tokio::spawn(async move { host.catch_up(address, revision).await });
    }

    async fn handle_request(
        self: Arc<Self>,
        request: PeerRequest,
        reply: oneshot::Sender<PeerReply>,
    ) {
        let answer = match request {
            PeerRequest::Push { entries, relay } => {
                self.push(&entries, &relay);
                self.receive_push(&entries)
            }
            PeerRequest::Entries { after } => match self.view.entries(after) {
                Some(entries) => PeerReply::Entries { entries },
                None => PeerReply::Truncated,
            },
            PeerRequest::Snapshot => {
                let state = self.view.state();
                let encoded = tokio::task::spawn_blocking(move || Snapshot::encode(&state));
                let Ok(Ok(snapshot)) = encoded.await else {
                    return;
                };
                PeerReply::Snapshot {
                    pointer: snapshot.pointer,
                    body: snapshot.body,
                }
            }
            PeerRequest::LeaseHorizon {
                server,
                lease_epoch,
                lost,
            } => self.horizon(server, lease_epoch, lost),
            PeerRequest::Probe { server } => PeerReply::Probed {
                alive: self.probe(server).await,
            },
            PeerRequest::Loads => PeerReply::Loads {
                loads: self.traffic.take(),
            },
        };
        let _ = reply.send(answer);
    }

    /// Applies pushed entries. If entries before them are missing in this host's view, requests a
    /// read of the log.
    fn receive_push(&self, entries: &[crate::state::LogEntry]) -> PeerReply {
        self.apply(entries);
        let last = entries.last().map(|entry| entry.revision);
        if last > Some(self.view.revision()) {
            self.sync_requested.notify_one();
        }
        PeerReply::Applied {
            revision: self.view.revision(),
        }
    }

    /// Returns the time for which this host's renewals may still keep the lease of a lost server
    /// valid. [`Host::order`] checks under the same lock whether this host may renew. Hence the
    /// reply covers all renewals that passed this check before, and no renewal passes the check
    /// after a reply which states that this host has applied the loss of the server.
    pub(super) fn horizon(
        &self,
        server: ServerKey,
        lease_epoch: LeaseEpoch,
        lost: Revision,
    ) -> PeerReply {
        let renewal_states = self.renewal_states();
        let applied_age_ms = self.view.applied_age_ms(lost);
        let renewal_state = renewal_states.get(server.0 as usize);
        let now_ms = clock::now_ms();
        let margin_ms = self.settings.ownership.margin_ms;
        let remaining = renewal_state.map(|c| c.remaining_ms(lease_epoch, now_ms, margin_ms));
        PeerReply::Horizon {
            applied_age_ms,
            remaining_ms: remaining.unwrap_or_default(),
        }
    }

    /// Returns the registered hosts other than this one, each with its key, the incarnation of its
    /// process and its peer address.
    pub(super) fn other_hosts(&self) -> Vec<(HostKey, Incarnation, std::net::SocketAddr)> {
        let own = self.key();
        let state = self.view.state();
        state
            .registered_hosts()
            .filter(|(key, _)| Some(*key) != own)
            .map(|(key, host)| (key, host.incarnation, host.peer_address))
            .collect()
    }
}
