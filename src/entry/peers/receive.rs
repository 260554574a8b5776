//! Takes in what the other hosts send.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::UdpSocket, time};

use super::message::{DATAGRAM_BYTES_MAX, Message, VERSION};
use crate::{
    clock,
    entry::{
        Entry,
        decide::hot_keys::HotKey,
        followed::Followed,
        freshness::StoreNews,
        keys::Holding,
        server::tag_of,
        view::{Announcement, Owner},
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
                self.view.want_reading(Followed::Own);
            }
            return;
        };
        if !self.peers.knows(from) {
            self.view.want_reading(Followed::Own);
        }
        let Some((&VERSION, body)) = message.split_first() else {
            return;
        };
        match postcard::from_bytes(body) {
            Ok(Message::Holder { term, news, hot }) => self.note_holder(from, term, news, hot),
            Ok(Message::Report { servers, run_times }) => {
                self.peers.note_report(from, servers, run_times);
            }
            Ok(Message::Servers(changes)) => self.take_servers(changes),
            Ok(Message::WhoHolds { service_tag, key }) => self.tell_holder(from, service_tag, key),
            Ok(Message::Stopped { term }) => self.duty.note_stopped(from, term),
            Ok(Message::Keys(keys)) => {
                if self.duty.term() > 0 {
                    self.peers.add_reported(&keys);
                }
            }
            Ok(Message::Held {
                service_tag,
                holdings,
            }) => self.note_held(service_tag, holdings),
            Ok(Message::Moving {
                service_tag,
                announcements,
            }) => self.note_moves(service_tag, &announcements),
            Err(error) => log::debug!("datagram of {from} cannot be read: {error}"),
        }
    }

    fn note_holder(&self, from: SocketAddr, term: u64, news: StoreNews, hot: Vec<HotKey>) {
        if let Some(term) = self.duty.note_other_term(term) {
            self.peers.send(&Message::Stopped { term }, &[from]);
        }
        if self.peers.note_holder(from, term) {
            self.heard_store(self.freshness.note_told(news));
            self.hot_keys.note_told(hot, clock::now_ms());
        }
    }

    fn note_moves(&self, service_tag: u32, announcements: &[Announcement]) {
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
