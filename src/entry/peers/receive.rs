//! Receives datagrams from the other hosts and dispatches their messages.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::UdpSocket, time};

use super::{
    HostProperties,
    message::{DATAGRAM_BYTES_MAX, Message, VERSION},
};
use crate::{
    clock,
    entry::{
        Entry,
        decide::hot_keys::HotKey,
        keys::AssignedRange,
        owners::Owner,
        tag::tag_of,
        updates::{
            announcement::MoveAnnouncement,
            configuration_pieces::PieceEncoding,
            followed::FollowedTable,
            report::{Reporter, StoreStateReport},
        },
    },
};

/// Pause after a failed read of the socket, so that a lasting error does not cause a busy loop.
const READ_PAUSE_MS: u64 = 100;

impl Entry {
    /// Receives datagrams from the other hosts, and handles those that are sealed with the hosts'
    /// secret.
    pub(in crate::entry) async fn keep_listening(self: Arc<Self>, socket: UdpSocket) {
        let socket = Arc::new(socket);
        if self.peers.socket.set(socket.clone()).is_err() {
            log::warn!("the socket for messages between hosts is already set");
        }
        tokio::spawn(self.clone().keep_sending_queued(socket.clone()));
        let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            let (length, from) = match socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    log::debug!("receiving a datagram failed: {error}");
                    time::sleep(Duration::from_millis(READ_PAUSE_MS)).await;
                    continue;
                }
            };
            self.handle_datagram(&buffer[..length], from);
        }
    }

    async fn keep_sending_queued(self: Arc<Self>, socket: Arc<UdpSocket>) {
        self.peers.datagrams.keep_sending(&socket).await;
    }

    fn handle_datagram(&self, datagram: &[u8], from: SocketAddr) {
        let Some(message) = self.peers.seal.open(datagram) else {
            // If the sender is a known host, the hosts may have replaced the secret that this host
            // knows.
            log::debug!("datagram of {from} is not sealed with the known secret");
            if self.peers.knows(from) {
                self.join.flag_stale_secret();
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
                self.peers.forward_to_zone(from, (*message).clone());
                if matches!(
                    *message,
                    Message::Heartbeat { .. } | Message::ZoneLoads { .. }
                ) {
                    self.peers.send(&Message::RelayAck, &[from]);
                }
                self.handle_message(*message, from);
            }
            Ok(Message::Relayed { origin, message }) => {
                if origin != self.settings.listen.peers {
                    self.handle_message(*message, origin);
                }
            }
            Ok(message) => self.handle_message(message, from),
            Err(error) => log::debug!("datagram of {from} cannot be decoded: {error}"),
        }
    }

    /// Adds the unknown host at `from` to the known hosts if `message` describes the sender. Hosts
    /// describe themselves in load reports and in queries for the state of the store, so that not
    /// every host must read the host rows for each new host. After any other message, requests a
    /// read of the host rows.
    fn learn_sender(&self, from: SocketAddr, message: Option<&Message>) {
        let Some(Message::Report { sender, .. } | Message::QueryStoreState { sender, .. }) =
            message
        else {
            self.view.request_read(FollowedTable::Own);
            return;
        };
        let properties = HostProperties {
            // Only the stored row of the sending host shows for certain which process runs on that
            // host.
            incarnation: None,
            zone_tag: sender.zone_tag,
            is_same_zone: sender.zone_tag == tag_of(&self.settings.availability_zone),
            processor_share: sender.processor_share,
        };
        self.peers.add(from, properties);
    }

    /// Handles a message from the host at `from`. The message arrived directly from that host or
    /// through a relay.
    fn handle_message(&self, message: Message, from: SocketAddr) {
        match message {
            Message::Heartbeat {
                term,
                sent_ms,
                updates,
                hosts,
                hot,
                evacuations,
                quarantined,
            } => {
                self.peers.note_hosts_known_to_leader(hosts);
                // The list of evacuated zones with the latest version is kept, even if an earlier
                // list arrives later.
                self.view.evacuate(evacuations);
                self.put_in_quarantine(&quarantined, "the leader announced it");
                let updates = updates.aged_by(self.peers.excess_delay_ms(term, sent_ms));
                self.note_leader(from, term, updates, hot);
            }
            Message::Report {
                servers, slowdowns, ..
            } => {
                self.peers.note_report(from, servers);
                self.peers.note_slowdowns(&slowdowns);
            }
            Message::RunTimes(run_times) => self.peers.note_run_times(from, run_times),
            Message::ZoneLoads {
                zone_tag,
                summaries,
            } => self.peers.note_zone_loads(zone_tag, summaries),
            Message::Servers(piece) => self.receive_changes_piece(piece),
            Message::Configuration(piece) => {
                self.receive_configuration_piece(PieceEncoding::Plain, piece)
            }
            Message::CompressedConfiguration(piece) => {
                self.receive_configuration_piece(PieceEncoding::Compressed, piece)
            }
            Message::QueryKeyOwner { service_tag, key } => {
                self.send_key_owner(from, service_tag, key)
            }
            Message::Stopped { term } => self.leadership.note_stopped(from, term),
            Message::Keys(keys) => {
                if self.leadership.term() > 0 {
                    self.peers.add_reported_key_counts(&keys);
                }
            }
            Message::Granted {
                service_tag,
                assigned_ranges,
            } => self.note_grants(service_tag, assigned_ranges),
            Message::Moving {
                service_tag,
                announcements,
            } => self.note_moves(service_tag, &announcements),
            Message::ServerEnded {
                server_tag,
                digests,
                shared,
            } => {
                self.note_suspects(server_tag, &digests, &shared);
                self.note_refusing_servers(&[server_tag]);
            }
            Message::RefusedConnections(tags) => self.note_refusing_servers(&tags),
            Message::SuspectCleared {
                digest,
                sent_ago_ms,
            } => {
                let sent_ms = clock::now_ms().saturating_sub(u64::from(sent_ago_ms));
                self.clear_suspect(digest, sent_ms);
            }
            Message::TrialStarted(claimed) => self.note_trial(claimed, from),
            Message::TrialEnded(claimed) => self.note_trial_end(claimed),
            Message::ReportBackoffs(backoffs) => self.handle_backoff_report(from, &backoffs),
            Message::ReportRates(rates) => self.handle_rate_report(from, &rates),
            Message::RateTotals(rates) => self.apply_rate_totals(&rates),
            Message::ReportUsage(reports) => self.handle_usage_report(&reports),
            Message::AdmittedShare(shares) => self.quotas.note_announced(&shares),
            Message::QueryStoreState { nonce, .. } => {
                if let Some(state) = self.store_state_for(nonce) {
                    self.peers.send(&state, &[from]);
                }
            }
            Message::StoreState {
                nonce,
                updates,
                evacuations,
            } => self.note_relay_report(nonce, updates, evacuations),
            Message::QueryConfigurationAge { nonce } => {
                if let Some(confirmation) = self.confirmation_for(nonce) {
                    self.peers.send(&confirmation, &[from]);
                }
            }
            Message::ConfigurationAge {
                nonce,
                age_ms,
                changed,
            } => self.note_confirmation(nonce, age_ms, changed),
            Message::ReportLeaving(tags) => self.handle_leaving_report(&tags),
            Message::AnnounceLeaving(tags) => {
                self.note_leaving_elsewhere(&tags);
            }
            Message::LeadershipReleased { term } => self.peers.note_leadership_released(from, term),
            Message::QueryTunnels => self.offer_tunnels(from),
            Message::OfferTunnels { contact_age_ms } => {
                self.note_tunnel_offer(from, contact_age_ms)
            }
            Message::QueryConfiguration { applied } => self.send_configuration(from, applied),
            Message::RelayAck => {}
            Message::Relay(_) | Message::Relayed { .. } => {
                log::debug!("ignoring a message of {from} that was relayed twice");
            }
        }
    }

    fn note_leader(
        &self,
        from: SocketAddr,
        term: u64,
        updates: StoreStateReport,
        hot: Vec<HotKey>,
    ) {
        if let Some(term) = self.leadership.note_other_term(term) {
            self.peers.send(&Message::Stopped { term }, &[from]);
        }
        if self.peers.note_leader(from, term) {
            let updates = self.checked_report(updates, Reporter::Leader);
            self.note_store_response(self.freshness.note_announced(updates));
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

    fn note_grants(&self, service_tag: u32, assigned_ranges: Vec<AssignedRange>) {
        let Some(service) = self.service_of(service_tag) else {
            return;
        };
        for assigned_range in assigned_ranges {
            self.view.note_granted(&service, assigned_range);
        }
    }

    /// If this host is the leader, sends the assigned range that contains `key` to the host at
    /// `to`, whose request reached a server that does not hold the key.
    fn send_key_owner(&self, to: SocketAddr, service_tag: u32, key: u16) {
        if self.leadership.term() == 0 {
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
        let assigned_range = held
            .assignment
            .assigned_range(key)
            .filter(|assigned| assigned.fence == fence);
        let Some(assigned_range) = assigned_range.cloned() else {
            return;
        };
        let message = Message::Granted {
            service_tag,
            assigned_ranges: vec![assigned_range],
        };
        self.peers.send(&message, &[to]);
    }

    /// Returns the name of the service with a tag; `None` if the configuration in force has no such
    /// service.
    fn service_of(&self, tag: u32) -> Option<Arc<str>> {
        let configuration = self.view.configuration()?;
        let mut services = configuration.services();
        let service = services.find(|service| tag_of(&service.name) == tag)?;
        Some(service.name.clone())
    }
}
