//! Heartbeats between hosts. They carry revisions and the age of the basis, so a missed push is
//! noticed and a host whose own reads fail stays fresh through its peers.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::Host;
use crate::{
    clock,
    membership::{freshness::Voter, tree},
    peer::message::Datagram,
};

impl Host {
    /// Runs until the process ends.
    pub(super) async fn keep_beating(self: Arc<Self>) {
        let pause = Duration::from_millis(self.settings.ownership.heartbeat_ms);
        let mut ticks = time::interval(pause);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.beat();
        }
    }

    fn beat(self: &Arc<Self>) {
        let Some(own) = self.key() else { return };
        self.view.beat(Voter {
            host: own,
            incarnation: self.incarnation,
        });
        let state = self.view.state();
        let hosts = tree::order(&state);
        self.claims.set_host_count(hosts.len());
        for key in tree::asked(&hosts, own) {
            let Some(entry) = state.host(key) else {
                continue;
            };
            let ping = Datagram::Ping {
                host: own,
                incarnation: self.incarnation,
                asked_ms: clock::now_ms(),
                revision: state.revision,
            };
            let address = entry.peer_address;
            let host = self.clone();
            tokio::spawn(async move {
                let _ = host.peers.send(address, ping).await;
            });
        }
    }

    /// Answer to a ping; none before this host is registered.
    pub(super) fn pong(&self, asked_ms: u64) -> Option<Datagram> {
        Some(Datagram::Pong {
            host: self.key()?,
            incarnation: self.incarnation,
            asked_ms,
            revision: self.view.revision(),
            basis_age_ms: self.view.basis_age_ms(),
        })
    }
}
