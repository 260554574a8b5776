//! Handles notices. By a notice in a response, a server states that the server is leaving, or asks
//! the host for a backoff (a period without requests). The host that receives a notice reports it
//! to the leader, which moves the server's keys and announces leaving servers to all hosts. A
//! backoff applies only to the host that received the notice.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::time;

use super::{
    Entry,
    events::Event,
    model::Notice,
    peers::message::{ENTRIES_MAX, Message, ServerBackoff},
    server::Server,
};
use crate::clock;

/// Interval at which hosts report notices again: datagrams may be lost, and a host that has just
/// become the leader knows of no notices.
const REPORT_EVERY_MS: u64 = 500;
/// Time for which the leader announces a leaving server to all hosts, enough for four
/// announcements.
const ANNOUNCE_FOR_MS: u64 = 3 * REPORT_EVERY_MS + REPORT_EVERY_MS / 2;

impl Entry {
    /// Records the notice in a server's response. A notice that this host did not know yet is
    /// logged and reported to the leader at once.
    pub(in crate::entry) fn note_notice(&self, server: &Server, notice: Notice) {
        if notice == Notice::default() {
            return;
        }
        let learned = server.note_notice(notice);
        if !learned.leaves && !learned.starts_backoff {
            return;
        }
        log_notice(server, notice, "its answer");
        self.notice_received.notify_one();
    }

    /// Reports notices to the leader periodically and after each new notice. If this host is the
    /// leader, announces leaving servers to all hosts instead.
    pub(in crate::entry) async fn keep_reporting_notices(self: Arc<Self>) {
        loop {
            let pause = Duration::from_millis(REPORT_EVERY_MS);
            // Notices are sent again after the timeout even if no new notice was received.
            if time::timeout(pause, self.notice_received.notified())
                .await
                .is_ok()
            {
                log::debug!("reporting notices early: a new notice was received");
            }
            self.report_leaving();
            self.report_backoffs();
        }
    }

    /// Reports to the leader which servers asked this host for a backoff. If this host is the
    /// leader, records the backoffs itself.
    fn report_backoffs(&self) {
        let engaged = self.view.registry().engaged();
        let backoffs = engaged.iter().filter_map(|server| {
            let backoff_ms = u32::try_from(server.backoff_ms()).ok()?;
            (backoff_ms > 0).then_some(ServerBackoff {
                server_tag: server.tag,
                backoff_ms,
            })
        });
        let backoffs: Vec<ServerBackoff> = backoffs.take(ENTRIES_MAX).collect();
        if backoffs.is_empty() {
            return;
        }
        if self.leadership.term() > 0 {
            self.handle_backoff_report(self.settings.listen.peers, &backoffs);
        } else if !self
            .peers
            .send_to_leader(&Message::ReportBackoffs(backoffs))
        {
            log::debug!("backoffs of servers not reported: no leader can be reached");
        }
    }

    /// Records, as the leader, which servers asked a host for a backoff.
    pub(in crate::entry) fn handle_backoff_report(
        &self,
        host: SocketAddr,
        backoffs: &[ServerBackoff],
    ) {
        if self.leadership.term() == 0 {
            return;
        }
        let now_ms = clock::now_ms();
        for backoff in backoffs {
            let backoff_ms = u64::from(backoff.backoff_ms);
            self.backoffs
                .note(backoff.server_tag, host, backoff_ms, now_ms);
        }
    }

    /// Reports to the leader the servers that announced their leaving to this host while their
    /// entries in the store do not say that they leave. If this host is the leader, announces each
    /// leaving server to all hosts until [`ANNOUNCE_FOR_MS`] after this host first learned that the
    /// server leaves.
    fn report_leaving(&self) {
        let registry = self.view.registry();
        if self.leadership.term() == 0 {
            let engaged = registry.engaged();
            let leaving_servers = engaged.iter().filter(|s| s.leaves_by_notice_only());
            let tags: Vec<u32> = leaving_servers.map(|s| s.tag).take(ENTRIES_MAX).collect();
            if !tags.is_empty() && !self.peers.send_to_leader(&Message::ReportLeaving(tags)) {
                log::debug!("leaving servers not reported: no leader can be reached");
            }
            return;
        }
        let is_new = |server: &&Arc<Server>| {
            let known_for_ms = server.leaves_for_ms();
            known_for_ms.is_some_and(|known_for_ms| known_for_ms < ANNOUNCE_FOR_MS)
        };
        let tags: Vec<u32> = registry.servers().filter(is_new).map(|s| s.tag).collect();
        for tags in tags.chunks(ENTRIES_MAX) {
            self.peers
                .send_to_all(Message::AnnounceLeaving(tags.to_vec()));
        }
    }

    /// Records, as the leader, servers that announced to another host that they are leaving. If
    /// this host did not know yet that at least one of the servers leaves, wakes the task that
    /// announces leaving servers to all hosts.
    pub(in crate::entry) fn handle_leaving_report(&self, tags: &[u32]) {
        if self.leadership.term() > 0 && self.note_leaving_elsewhere(tags) {
            self.notice_received.notify_one();
        }
    }

    /// Records servers that announced to other hosts that they are leaving. Returns true if this
    /// host did not know yet that at least one of them leaves.
    pub(in crate::entry) fn note_leaving_elsewhere(&self, tags: &[u32]) -> bool {
        let registry = self.view.registry();
        let named = registry.servers().filter(|s| tags.contains(&s.tag));
        let mut is_new = false;
        for server in named.filter(|s| s.note_leaving_elsewhere()) {
            let notice = Notice {
                leaves: true,
                backoff_ms: None,
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
        backoff_ms: notice.backoff_ms.unwrap_or(0),
        leaves_by_entry: server.leaving(),
        source,
    }
    .log();
}
