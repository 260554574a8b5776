//! Answers what arrives from peers.

use std::sync::Arc;

use tokio::sync::{mpsc, oneshot};

use super::Host;
use crate::{
    clock,
    id::{HostKey, Incarnation, LeaseEpoch, Revision, ServerKey},
    membership::freshness::{PeerAnswer, Voter},
    peer::{
        Inbound,
        message::{Datagram, PeerReply, PeerRequest, encode},
    },
    state::Snapshot,
};

impl Host {
    /// Runs until the endpoint closes.
    pub(super) async fn answer_peers(self: Arc<Self>, mut inbox: mpsc::Receiver<Inbound>) {
        while let Some(inbound) = inbox.recv().await {
            match inbound {
                Inbound::Datagram {
                    connection,
                    datagram,
                } => self.heartbeat(&connection, datagram),
                Inbound::Request { request, reply } => {
                    let host = self.clone();
                    tokio::spawn(async move { host.reply(request, reply).await });
                }
            }
        }
    }

    fn heartbeat(self: &Arc<Self>, connection: &quinn::Connection, datagram: Datagram) {
        match datagram {
            Datagram::Ping {
                host,
                incarnation,
                asked_ms,
                revision,
            } => {
                self.view.asked_by(host, incarnation);
                let pong = self.pong(asked_ms).map(|pong| encode(&pong));
                if let Some(Ok(bytes)) = pong {
                    let _ = connection.send_datagram(bytes.into());
                }
                if revision > self.view.revision() {
                    self.catch_up_with(connection.remote_address(), revision);
                }
            }
            Datagram::Pong {
                host,
                incarnation,
                asked_ms,
                revision,
                basis_age_ms,
            } => {
                if revision > self.view.revision() {
                    self.catch_up_with(connection.remote_address(), revision);
                }
                self.take_pong(PeerAnswer {
                    host,
                    incarnation,
                    asked_ms,
                    revision,
                    basis_age_ms,
                });
            }
        }
    }

    fn take_pong(&self, answer: PeerAnswer) {
        let Some(host) = self.key() else { return };
        let own = Voter {
            host,
            incarnation: self.incarnation,
        };
        self.view.peer_answered(answer, own);
    }

    fn catch_up_with(self: &Arc<Self>, address: std::net::SocketAddr, revision: Revision) {
        let host = self.clone();
        tokio::spawn(async move { host.catch_up(address, revision).await });
    }

    async fn reply(self: Arc<Self>, request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        let answer = match request {
            PeerRequest::Push { entries, relay } => {
                self.push(&entries, &relay);
                self.take_push(&entries)
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

    fn take_push(&self, entries: &[crate::state::LogEntry]) -> PeerReply {
        self.apply(entries);
        let last = entries.last().map(|entry| entry.revision);
        if last > Some(self.view.revision()) {
            self.sync_wanted.notify_one();
        }
        PeerReply::Applied {
            revision: self.view.revision(),
        }
    }

    /// How long this host's renewals of a lost server may still hold. Renewals are decided on
    /// under the same lock, so none can follow this answer.
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

    /// Registered hosts other than this one.
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
