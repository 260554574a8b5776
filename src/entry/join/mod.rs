//! Initial sync of a starting host. The host loads servers, assigned ranges and hosts as a snapshot
//! from another host that knows them. If there is no such host, the starting host reads the store's
//! tables. A seed host is a host from which starting hosts fetch the snapshot. The leader stores
//! the addresses of a few seed hosts of each zone next to the hosts' secret, so that one call to
//! the store returns both. Hosts that serve snapshots also register joining hosts, and later serve
//! changes that other hosts have missed.

mod catch_up;
mod joining_hosts;
mod paths;
mod query;
mod seed_hosts;
mod serve;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use tokio::{sync::watch, time};

pub(super) use self::joining_hosts::host_key;
use self::{joining_hosts::JoiningHosts, seed_hosts::SeedHosts};
use super::{
    Entry,
    events::Event,
    pauses::pause,
    tag::tag_of,
    updates::{
        followed::FollowedTable,
        own_rows::{SECRET_KEY, SEED_HOSTS_KEY, TABLE},
    },
};
use crate::{clock, platform::store::DEFAULT_PARTITION};

/// Pause of a starting host between two queries to seed hosts for a snapshot.
const SYNC_RETRY_MS: u64 = 250;
/// Maximum time for which a starting host queries seed hosts before it reads the store's tables
/// instead.
const SYNC_TIMEOUT_MS: u64 = 4_000;
/// Maximum time for which an early host queries seed hosts. It is shorter than [`SYNC_TIMEOUT_MS`]
/// because other starting hosts will query the early host.
const EARLY_SYNC_TIMEOUT_MS: u64 = 600;
/// Time after which a starting host that found no seed hosts in the store reads the list of seed
/// hosts again. At the first start of a deployment, the first leader has stored the list by then.
const LOOKUP_RETRY_MS: u64 = 2_200;
/// Maximum random time that is added to [`LOOKUP_RETRY_MS`], so that hosts that start together do
/// not call the store at the same moment.
const LOOKUP_JITTER_MS: u64 = 700;
/// One in this many hosts with a processor share below [`EARLY_PROCESSOR_SHARE`] is an early host,
/// selected by the tag (a hash) of the host's address. Early hosts read the store's tables before
/// other hosts do.
const EARLY_ONE_IN: u32 = 32;
/// Minimum processor share at which a host is always an early host. Early hosts read the store's
/// tables before other hosts do.
const EARLY_PROCESSOR_SHARE: f32 = 0.5;

/// Result of reading the list of seed hosts from the store.
enum SeedHostLookup {
    /// The store lists no seed hosts other than this host, or this host does not know the hosts'
    /// secret, which queries require.
    NoneStored,
    /// Addresses of the seed hosts to query. `has_many_servers` is true if there are more servers
    /// than every host should read from the store by itself.
    SeedHosts {
        addresses: Vec<SocketAddr>,
        has_many_servers: bool,
    },
}

/// Outcome of the initial sync: whether this host got servers, assigned ranges and hosts from
/// another host or must read the store's tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SyncOutcome {
    /// The initial sync of this host has not ended yet.
    Pending,
    /// Another host sent a snapshot, and this host has applied it.
    Synced,
    /// No host sent a snapshot in time, so this host reads the store's tables.
    ReadsTables,
}

/// State of this host's initial sync, and of the snapshots and registrations by which this host
/// serves other starting hosts.
#[derive(Debug)]
pub struct Join {
    outcome: watch::Sender<SyncOutcome>,
    /// Sealed bytes of the last snapshot that this host served, with the time at which the snapshot
    /// was made.
    encoded: Mutex<Option<(Bytes, u64)>>,
    /// True if a datagram from a known host was not sealed with a secret that this host knows, so
    /// that the hosts' secret may have been replaced.
    secret_may_be_stale: AtomicBool,
    joining_hosts: JoiningHosts,
}

impl Default for Join {
    fn default() -> Self {
        Self {
            outcome: watch::channel(SyncOutcome::Pending).0,
            encoded: Mutex::default(),
            secret_may_be_stale: AtomicBool::new(false),
            joining_hosts: JoiningHosts::default(),
        }
    }
}

impl Join {
    /// Waits for the end of the initial sync. Returns true if this host got the table from another
    /// host, so that the table need not be read from the store. Always returns false for the
    /// configuration, which is not part of a snapshot.
    pub(super) async fn was_synced_from_peer(&self, followed: FollowedTable) -> bool {
        if followed == FollowedTable::Configuration {
            return false;
        }
        self.sync_outcome().await == SyncOutcome::Synced
    }

    /// Records that the hosts' secret may have been replaced. Only a read of the secret's row in
    /// the store can show whether the secret was replaced.
    pub(super) fn flag_stale_secret(&self) {
        self.secret_may_be_stale.store(true, Ordering::Relaxed);
    }

    /// Returns true if [`Self::flag_stale_secret`] was called since the last call of this function,
    /// and clears the flag.
    fn take_stale_secret_flag(&self) -> bool {
        self.secret_may_be_stale.swap(false, Ordering::Relaxed)
    }

    /// Waits for the end of the initial sync of this host and returns its outcome.
    pub(super) async fn sync_outcome(&self) -> SyncOutcome {
        let mut outcome = self.outcome.subscribe();
        let known = outcome
            .wait_for(|outcome| *outcome != SyncOutcome::Pending)
            .await;
        known.map_or(SyncOutcome::ReadsTables, |outcome| *outcome)
    }
}

impl Entry {
    /// Runs the initial sync of this host: fetches a snapshot from a seed host, or determines that
    /// this host must read the store's tables. Then wakes the tasks that wait for the outcome.
    pub(super) async fn join(self: Arc<Self>) {
        let began_ms = clock::now_ms();
        let outcome = if self.query_seed_hosts().await {
            SyncOutcome::Synced
        } else {
            SyncOutcome::ReadsTables
        };
        Event::Joined {
            synced_from_peer: outcome == SyncOutcome::Synced,
            after_ms: clock::now_ms() - began_ms,
        }
        .log();
        self.join.outcome.send_replace(outcome);
    }

    async fn query_seed_hosts(&self) -> bool {
        let mut lookups = 0;
        let seed_hosts = loop {
            match self.find_seed_hosts().await {
                // The first lookup is sufficient if there are many servers. Otherwise this host
                // reads the tables itself, unless no seed hosts were listed at first: at the first
                // start of a deployment, this host uses the seed hosts that the second lookup
                // finds, since the number of servers is still unknown.
                Some(SeedHostLookup::SeedHosts {
                    addresses,
                    has_many_servers,
                }) if has_many_servers || lookups > 0 => break addresses,
                Some(SeedHostLookup::SeedHosts { .. }) => return false,
                Some(SeedHostLookup::NoneStored) => {}
                None => {
                    pause().await;
                    continue;
                }
            }
            lookups += 1;
            if self.is_early() || lookups > 1 {
                return false;
            }
            let wait_ms = LOOKUP_RETRY_MS + rand::random_range(0..LOOKUP_JITTER_MS);
            time::sleep(Duration::from_millis(wait_ms)).await;
        };
        let sync_timeout_ms = if self.is_early() {
            EARLY_SYNC_TIMEOUT_MS
        } else {
            SYNC_TIMEOUT_MS
        };
        let until_ms = clock::now_ms() + sync_timeout_ms;
        while clock::now_ms() < until_ms {
            let seed_host = seed_hosts[rand::random_range(0..seed_hosts.len())];
            match self.query(seed_host, paths::SNAPSHOT).await {
                Ok(snapshot) => {
                    self.apply_snapshot(&snapshot);
                    return true;
                }
                Err(error) => log::debug!("fetching a snapshot from {seed_host} failed: {error}"),
            }
            time::sleep(Duration::from_millis(SYNC_RETRY_MS)).await;
        }
        false
    }

    /// Reads the hosts' secret and the list of seed hosts from the store. The result contains the
    /// seed hosts of this host's availability zone, or all seed hosts if the zone has none. Returns
    /// `None` if the store does not respond.
    async fn find_seed_hosts(&self) -> Option<SeedHostLookup> {
        let rows = match self
            .store
            .range(TABLE, DEFAULT_PARTITION, SECRET_KEY, SEED_HOSTS_KEY)
            .await
        {
            Ok(rows) => {
                self.note_store_response(clock::now_ms());
                rows.rows
            }
            Err(error) => {
                log::debug!("reading the list of seed hosts failed: {error}");
                return None;
            }
        };
        let mut seed_hosts = SeedHosts::default();
        for row in &rows {
            if row.key == SECRET_KEY {
                self.apply_secret(row);
            } else if row.key == SEED_HOSTS_KEY {
                seed_hosts = SeedHosts::decode(row);
            }
        }
        let own = self.settings.listen.peers;
        seed_hosts
            .hosts
            .retain(|seed_host| seed_host.address != own);
        if seed_hosts.hosts.is_empty() || !self.peers.seal.is_known() {
            return Some(SeedHostLookup::NoneStored);
        }
        let own_zone = tag_of(&self.settings.availability_zone);
        let same_zone = seed_hosts
            .hosts
            .iter()
            .filter(|seed_host| seed_host.zone_tag == own_zone);
        let same_zone: Vec<SocketAddr> = same_zone.map(|seed_host| seed_host.address).collect();
        let all = seed_hosts.hosts.iter().map(|seed_host| seed_host.address);
        Some(SeedHostLookup::SeedHosts {
            addresses: if same_zone.is_empty() {
                all.collect()
            } else {
                same_zone
            },
            has_many_servers: seed_hosts.has_many_servers,
        })
    }

    /// Returns true if this host is an early host. Early hosts read the store's tables and check
    /// whether there is a leader before other hosts do. When the other hosts need a snapshot and
    /// the hosts' secret, the early hosts can then serve snapshots, and the first leader has stored
    /// the secret.
    pub(super) fn is_early(&self) -> bool {
        let tag = tag_of(&self.settings.listen.peers.to_string());
        self.settings.processor_share >= EARLY_PROCESSOR_SHARE || tag.is_multiple_of(EARLY_ONE_IN)
    }
}
