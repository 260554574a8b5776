//! Takes in what the other hosts send.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{net::UdpSocket, time};

use super::message::{DATAGRAM_BYTES_MAX, Message, VERSION};
use crate::{
    clock,
    entry::{
        Entry, decide::hot_keys::HotKey, freshness::StoreNews, keys::Holding, server::tag_of,
        view::Announcement,
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
            log::debug!("datagram of {from} has no known seal");
            return;
        };
        let Some((&VERSION, body)) = message.split_first() else {
            return;
        };
        match postcard::from_bytes(body) {
            Ok(Message::Holder { term, news, hot }) => self.note_holder(from, term, news, hot),
            Ok(Message::Report { servers, run_times }) => {
                self.peers.note_report(from, servers, run_times);
            }
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

    fn service_of(&self, tag: u32) -> Option<Arc<str>> {
        let configuration = self.view.configuration()?;
        let mut services = configuration.services();
        let service = services.find(|service| tag_of(&service.name) == tag)?;
        Some(service.name.clone())
    }
}
