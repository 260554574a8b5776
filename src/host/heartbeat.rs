//! Heartbeats between hosts: a ping and its reply. A ping carries the revision of its sender. The
//! reply carries the revision of the replying host and the staleness of its view (the time since
//! that view was known to be complete). So a host notices that it has missed a push of log entries.
//! The replies also keep the host's view up to date while the host cannot read the log itself.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::Host;
use crate::{
    clock,
    membership::{heartbeat_tree, staleness::HostProcess},
    peer::message::Datagram,
};

impl Host {
    /// Sends heartbeats at the interval `heartbeat_ms` of the settings until the process ends.
    pub(super) async fn keep_sending_heartbeats(self: Arc<Self>) {
        let pause = Duration::from_millis(self.settings.ownership.heartbeat_ms);
        let mut ticks = time::interval(pause);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.on_heartbeat();
        }
    }

    /// Sends one ping to each host that this host has to ping in the heartbeat tree.
    fn on_heartbeat(self: &Arc<Self>) {
        let Some(own) = self.key() else { return };
        self.view.on_heartbeat(HostProcess {
            host: own,
            incarnation: self.incarnation,
        });
        let state = self.view.state();
        let hosts = heartbeat_tree::order(&state);
        self.claims.set_host_count(hosts.len());
        for key in heartbeat_tree::heartbeat_targets(&hosts, own) {
            let Some(entry) = state.host(key) else {
                continue;
            };
            let ping = Datagram::Ping {
                host: own,
                incarnation: self.incarnation,
                sent_ms: clock::now_ms(),
                revision: state.revision,
            };
            let address = entry.peer_address;
            let host = self.clone();
            tokio::spawn(async move {
                let _ = host.peers.send(address, ping).await;
            });
        }
    }

    /// Returns the reply to a ping that was sent at `sent_ms` on the sender's clock; `None` before
    /// this host is registered.
    pub(super) fn pong(&self, sent_ms: u64) -> Option<Datagram> {
        Some(Datagram::Pong {
            host: self.key()?,
            incarnation: self.incarnation,
            sent_ms,
            revision: self.view.revision(),
            staleness_ms: self.view.staleness_ms(),
        })
    }
}
