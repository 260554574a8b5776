//! Seed hosts, from which starting hosts fetch a snapshot of servers, assigned ranges and hosts.
//! The leader stores the list of seed hosts.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{
    entry::{
        Entry,
        peers::SeedHost,
        tag::tag_of,
        updates::own_rows::{SEED_HOSTS_KEY, TABLE},
    },
    platform::store::{Put, Row, Transaction},
};

/// Interval at which the leader compares the current seed hosts with the list that it has stored.
const SEED_HOSTS_EVERY_MS: u64 = 300;
/// Number of servers up to which every host reads the tables from the store by itself. Reading a
/// few pages from the store is faster than a query to another host, which may itself still be
/// starting.
const READ_SERVERS_MAX: usize = 1_000;

/// Content of the row in which the leader stores the list of seed hosts, as JSON. Starting hosts
/// read the row together with the hosts' secret.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct SeedHosts {
    /// Seed hosts of all zones; empty if the row cannot be decoded.
    pub hosts: Vec<SeedHost>,
    /// True if there are more servers than every host should read from the store by itself.
    pub has_many_servers: bool,
}

impl SeedHosts {
    /// Decodes the row of the seed hosts. Logs a warning and returns an empty list if the row
    /// cannot be decoded.
    pub fn decode(row: &Row) -> Self {
        serde_json::from_slice(&row.value).unwrap_or_else(|error| {
            log::warn!("the stored list of seed hosts cannot be decoded: {error}");
            Self::default()
        })
    }
}

impl Entry {
    /// Returns true if there are more servers than every host should read from the store by itself.
    pub(super) fn has_many_servers(&self) -> bool {
        self.view.registry().servers_count() > READ_SERVERS_MAX
    }

    /// While this host is the leader, stores the list of seed hosts whenever the list differs from
    /// the list that this host stored last.
    pub(in crate::entry) async fn maintain_seed_hosts(self: Arc<Self>) {
        let mut last_stored = None;
        loop {
            time::sleep(Duration::from_millis(SEED_HOSTS_EVERY_MS)).await;
            if !self.leadership.is_confirmed() || !self.peers.seal.is_known() {
                last_stored = None;
                continue;
            }
            let seed_hosts = SeedHosts {
                hosts: self.seed_hosts(),
                has_many_servers: self.has_many_servers(),
            };
            if last_stored.as_ref() != Some(&seed_hosts) && self.store_seed_hosts(&seed_hosts).await
            {
                last_stored = Some(seed_hosts);
            }
        }
    }

    fn seed_hosts(&self) -> Vec<SeedHost> {
        self.peers.seed_hosts(SeedHost {
            address: self.settings.listen.peers,
            zone_tag: tag_of(&self.settings.availability_zone),
        })
    }

    async fn store_seed_hosts(&self, seed_hosts: &SeedHosts) -> bool {
        let Ok(value) = serde_json::to_vec(seed_hosts) else {
            return false;
        };
        let transaction = Transaction {
            puts: vec![Put {
                table: TABLE,
                key: SEED_HOSTS_KEY,
                value: &value,
            }],
            ..Transaction::default()
        };
        let stored = self.store.transact(&transaction).await;
        if let Err(error) = &stored {
            log::debug!("storing the list of seed hosts failed: {error}");
        }
        stored.is_ok()
    }
}
