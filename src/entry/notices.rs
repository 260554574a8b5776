//! What servers say in their answers goes from the host that was told to the holder of the duty, which
//! moves their keys, and tells all hosts which servers leave. A wish for rest is for the host alone that was told.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;

use super::{
    Entry,
    events::Event,
    model::Notice,
    peers::message::{ENTRIES_MAX, Message, ServerRest},
    server::Server,
};
use crate::clock;

/// Interval at which notices are told again: datagrams may be lost, and a later holder knows nothing.
const TELL_EVERY_MS: u64 = 500;
/// Time for which the holder tells all hosts that a server leaves: four times.
const TELL_ALL_MS: u64 = 3 * TELL_EVERY_MS + TELL_EVERY_MS / 2;

impl Entry {
    /// Takes in what an answer of a server said of its wish for further requests.
    pub(in crate::entry) fn note_notice(&self, server: &Server, notice: Notice) {
        if notice == Notice::default() {
            return;
        }
        let learned = server.note_notice(notice);
        if !learned.leaves && !learned.rests {
            return;
        }
        log_notice(server, notice, "its answer");
        self.notice_received.notify_one();
    }

    /// Tells the holder what servers have said; the holder tells all hosts.
    pub(in crate::entry) async fn keep_telling_notices(self: Arc<Self>) {
        loop {
            let pause = Duration::from_millis(TELL_EVERY_MS);
            // Either way what servers have said is told.
            if time::timeout(pause, self.notice_received.notified())
                .await
                .is_ok()
            {
                log::debug!("a server has said something new");
            }
            self.tell_leaving();
            self.tell_rests();
        }
    }

    /// Tells the holder which servers want no requests of this host; as the holder, notes it.
    fn tell_rests(&self) {
        let registry = self.view.registry();
        let rests = registry.servers().filter_map(|server| {
            let rest_ms = u32::try_from(server.rest_ms()).ok()?;
            (rest_ms > 0).then_some(ServerRest {
                server_tag: server.tag,
                rest_ms,
            })
        });
        let rests: Vec<ServerRest> = rests.take(ENTRIES_MAX).collect();
        if rests.is_empty() {
            return;
        }
        if self.duty.term() > 0 {
            self.take_rests(self.settings.listen.peers, &rests);
        } else if !self.peers.send_to_holder(&Message::Resting(rests)) {
            log::debug!("no holder hears that servers want a rest");
        }
    }

    /// Notes, as the holder, which servers want no requests of a host.
    pub(in crate::entry) fn take_rests(&self, host: SocketAddr, rests: &[ServerRest]) {
        if self.duty.term() == 0 {
            return;
        }
        let now_ms = clock::now_ms();
        for rest in rests {
            let rest_ms = u64::from(rest.rest_ms);
            self.rests.note(rest.server_tag, host, rest_ms, now_ms);
        }
    }

    fn tell_leaving(&self) {
        let registry = self.view.registry();
        if self.duty.term() == 0 {
            let said = registry.servers().filter(|s| s.leaves_by_notice_only());
            let tags: Vec<u32> = said.map(|s| s.tag).take(ENTRIES_MAX).collect();
            if !tags.is_empty() && !self.peers.send_to_holder(&Message::SaidLeaving(tags)) {
                log::debug!("no holder hears that servers leave");
            }
            return;
        }
        let is_new = |server: &&Arc<Server>| {
            let known_for_ms = server.leaves_for_ms();
            known_for_ms.is_some_and(|known_for_ms| known_for_ms < TELL_ALL_MS)
        };
        let tags: Vec<u32> = registry.servers().filter(is_new).map(|s| s.tag).collect();
        for tags in tags.chunks(ENTRIES_MAX) {
            self.peers.send_to_all(Message::Leaving(tags.to_vec()));
        }
    }

    /// Takes in, as the holder, that servers have told another host that they leave.
    pub(in crate::entry) fn take_said_leaving(&self, tags: &[u32]) {
        if self.duty.term() > 0 && self.note_leaving_elsewhere(tags) {
            self.notice_received.notify_one();
        }
    }

    /// Notes that servers have told other hosts that they leave; true if this host did not know of one.
    pub(in crate::entry) fn note_leaving_elsewhere(&self, tags: &[u32]) -> bool {
        let registry = self.view.registry();
        let named = registry.servers().filter(|s| tags.contains(&s.tag));
        let mut is_new = false;
        for server in named.filter(|s| s.note_leaving_elsewhere()) {
            let notice = Notice {
                leaves: true,
                rest_ms: None,
            };
            log_notice(server, notice, "another host");
            is_new = true;
        }
        is_new
    }
}

fn log_notice(server: &Server, notice: Notice, source: &'static str) {
    Event::ServerNotice {
        server: server.entry.id.clone(),
        service: server.entry.service.clone(),
        leaves: notice.leaves,
        rest_ms: notice.rest_ms.unwrap_or(0),
        leaves_by_entry: server.leaving(),
        source,
    }
    .log();
}
