//! Takes in what the other hosts send.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::UdpSocket, time};

use super::{
    HostFacts,
    message::{DATAGRAM_BYTES_MAX, Message, VERSION},
};
use crate::{
    clock,
    entry::{
        Entry,
        decide::hot_keys::HotKey,
        keys::Holding,
        owners::Owner,
        server::tag_of,
        updates::{
            announcement::MoveAnnouncement, followed::FollowedTable, freshness::StoreStateReport,
        },
    },
};

/// Pause after a failed reading of the socket.
const READ_PAUSE_MS: u64 = 100;

impl Entry {
    /// Takes in what the other hosts send.
    pub(in crate::entry) async fn keep_listening(self: Arc<Self>, socket: UdpSocket) {
        let socket = Arc::new(socket);
        if self.peers.socket.set(socket.clone()).is_err() {
            log::warn!("the socket for hosts is set already");
        }
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            let (length, from) = match socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("no datagram: {error}");
                    time::sleep(Duration::from_millis(READ_PAUSE_MS)).await;
                    continue;
                }
            };
            self.take_in(&buffer[..length], from);
        }
    }

    fn take_in(&self, datagram: &[u8], from: SocketAddr) {
        let Some(message) = self.peers.seal.open(datagram) else {
            // Another secret may be in use, if it was a host.
            log::debug!("datagram of {from} has no known seal");
            if self.peers.knows(from) {
                self.join.doubt_secret();
                self.view.request_read(FollowedTable::Own);
            }
            return;
        };
        let Some((&VERSION, body)) = message.split_first() else {
            return;
        };
        self.peers.note_heard(from);
        let decoded = postcard::from_bytes(body);
        if !self.peers.knows(from) {
            self.learn_sender(from, decoded.as_ref().ok());
        }
        match decoded {
            Ok(Message::Relay(message)) => {
                self.peers.forward(from, (*message).clone());
                if matches!(*message, Message::Holder { .. } | Message::ZoneLoads { .. }) {
                    self.peers.send(&Message::RelayAck, &[from]);
                }
                self.take(*message, from);
            }
            Ok(Message::Relayed { origin, message }) => {
                if origin != self.settings.listen.peers {
                    self.take(*message, origin);
                }
            }
            Ok(message) => self.take(message, from),
            Err(error) => log::debug!("datagram of {from} cannot be read: {error}"),
        }
    }

    /// Takes up a host whose row was not read yet. It tells what it is in its reports and
    /// questions, so that not each host reads the rows for each new one.
    fn learn_sender(&self, from: SocketAddr, message: Option<&Message>) {
        let Some(Message::Report { sender, .. } | Message::AskWord { sender, .. }) = message else {
            self.view.request_read(FollowedTable::Own);
            return;
        };
        let facts = HostFacts {
            // Only its row proves which process runs there.
            incarnation: None,
            zone_tag: sender.zone_tag,
            is_near: sender.zone_tag == tag_of(&self.settings.availability_zone),
            processor_share: sender.processor_share,
        };
        self.peers.add(from, facts);
    }

    /// Takes in a message of the host at `from`, sent by it or by a relay.
    fn take(&self, message: Message, from: SocketAddr) {
        match message {
            Message::Holder {
                term,
                sent_ms,
                updates,
                hosts,
                hot,
                evacuations,
                quarantined,
            } => {
                self.peers.note_told_hosts(hosts);
                // A later state counts, however it came here.
                self.view.evacuate(evacuations);
                self.put_in_quarantine(&quarantined, "the holder of the duty tells it");
                let updates = updates.aged_by(self.peers.excess_delay_ms(term, sent_ms));
                self.note_holder(from, term, updates, hot);
            }
            Message::Report { servers, paces, .. } => {
                self.peers.note_report(from, servers);
                self.peers.note_paces(&paces);
            }
            Message::RunTimes(run_times) => self.peers.note_run_times(from, run_times),
            Message::ZoneLoads {
                zone_tag,
                summaries,
            } => self.peers.note_zone_loads(zone_tag, summaries),
            Message::Servers(changes) => self.take_servers(changes),
            Message::Configuration(piece) => self.take_configuration(piece),
            Message::WhoHolds { service_tag, key } => self.tell_holder(from, service_tag, key),
            Message::Stopped { term } => self.duty.note_stopped(from, term),
            Message::Keys(keys) => {
                if self.duty.term() > 0 {
                    self.peers.add_reported(&keys);
                }
            }
            Message::Held {
                service_tag,
                holdings,
            } => self.note_held(service_tag, holdings),
            Message::Moving {
                service_tag,
                announcements,
            } => self.note_moves(service_tag, &announcements),
            Message::ServerEnded {
                server_tag,
                digests,
                shared,
            } => self.note_suspects(server_tag, &digests, &shared),
            Message::Cleared {
                digest,
                sent_ago_ms,
            } => {
                let sent_ms = clock::now_ms().saturating_sub(u64::from(sent_ago_ms));
                self.clear_suspect(digest, sent_ms);
            }
            Message::Trying(claimed) => self.note_trial(claimed, from),
            Message::Tried(claimed) => self.note_tried(claimed),
            Message::Resting(rests) => self.take_rests(from, &rests),
            Message::Asked(rates) => self.take_rates(from, &rates),
            Message::Rates(rates) => self.take_sums(&rates),
            Message::Used(reports) => self.take_used(&reports),
            Message::Admitted(told) => self.quotas.note_announced(&told),
            Message::AskWord { nonce, .. } => {
                if let Some(word) = self.word_for(nonce) {
                    self.peers.send(&word, &[from]);
                }
            }
            Message::Word {
                nonce,
                updates,
                evacuations,
            } => self.note_relay_report(nonce, updates, evacuations),
            Message::AskProof { nonce } => {
                if let Some(proof) = self.proof_for(nonce) {
                    self.peers.send(&proof, &[from]);
                }
            }
            Message::Proof {
                nonce,
                age_ms,
                changed,
            } => self.note_proof(nonce, age_ms, changed),
            Message::SaidLeaving(tags) => self.take_said_leaving(&tags),
            Message::Leaving(tags) => {
                self.note_leaving_elsewhere(&tags);
            }
            Message::RelayAck => {}
            Message::Relay(_) | Message::Relayed { .. } => {
                log::debug!("message of {from} that was relayed twice");
            }
        }
    }

    fn note_holder(
        &self,
        from: SocketAddr,
        term: u64,
        updates: StoreStateReport,
        hot: Vec<HotKey>,
    ) {
        if let Some(term) = self.duty.note_other_term(term) {
            self.peers.send(&Message::Stopped { term }, &[from]);
        }
        if self.peers.note_holder(from, term) {
            self.note_store_answer(self.freshness.note_announced(updates));
            self.hot_keys.note_announced(hot, clock::now_ms());
        }
    }

    fn note_moves(&self, service_tag: u32, announcements: &[MoveAnnouncement]) {
        let Some(service) = self.service_of(service_tag) else {
            return;
        };
        for announcement in announcements {
            self.view.announce_move(&service, *announcement);
        }
    }

    fn note_held(&self, service_tag: u32, holdings: Vec<Holding>) {
        let Some(service) = self.service_of(service_tag) else {
            return;
        };
        for holding in holdings {
            self.view.note_granted(&service, holding);
        }
    }

    /// Tells a host that met a server without a key who holds it, while this host has the duty.
    fn tell_holder(&self, to: SocketAddr, service_tag: u32, key: u16) {
        if self.duty.term() == 0 {
            return;
        }
        let Some(service) = self.service_of(service_tag) else {
            return;
        };
        let Owner::Server(_, fence) = self.view.owner(&service, key) else {
            return;
        };
        let Some(held) = self.view.held(&service) else {
            return;
        };
        let holding = held.assignment.holding(key).filter(|h| h.fence == fence);
        let Some(holding) = holding.cloned() else {
            return;
        };
        let message = Message::Held {
            service_tag,
            holdings: vec![holding],
        };
        self.peers.send(&message, &[to]);
    }

    fn service_of(&self, tag: u32) -> Option<Arc<str>> {
        let configuration = self.view.configuration()?;
        let mut services = configuration.services();
        let service = services.find(|service| tag_of(&service.name) == tag)?;
        Some(service.name.clone())
    }
}
