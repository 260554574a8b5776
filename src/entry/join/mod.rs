//! How a host that starts learns of servers, holdings and hosts: from a host that knows them, if there is one, else by
//! reading the store's tables. The holder of the duty stores the addresses of a few hosts of each zone, beside the
//! hosts' secret, so that one call finds both. The same hosts register those that start, and tell the others later what
//! they have missed.

mod ask;
mod catch_up;
mod newcomers;
mod paths;
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

pub(super) use self::newcomers::host_key;
use self::{newcomers::Newcomers, seed_hosts::SeedHosts};
use super::{
    Entry,
    events::Event,
    news::{
        followed::Followed,
        own_rows::{SECRET_KEY, SEED_HOSTS_KEY, TABLE},
    },
    server::tag_of,
    watch::pause,
};
use crate::{clock, platform::store::PART};

/// Pause between two questions.
const SYNC_RETRY_MS: u64 = 250;
/// Time for which a host asks others before it reads the tables by itself.
const SYNC_TIMEOUT_MS: u64 = 4_000;
/// The same for a host that is to know early what the others ask it for.
const EARLY_SYNC_TIMEOUT_MS: u64 = 600;
/// Time after which a host looks for guides again that found none, at the first start of a deployment. The first
/// holder of the duty has named some by then.
const LOOKUP_RETRY_MS: u64 = 2_200;
/// Time over which hosts spread that.
const LOOKUP_JITTER_MS: u64 = 700;
/// One in so many weak hosts reads the tables early.
const EARLY_ONE_IN: u32 = 32;
/// Share of a processor from which a host does.
const EARLY_PROCESSOR_SHARE: f32 = 0.5;

/// What a host that starts finds in the store.
enum SeedHostLookup {
    /// Nobody has named guides yet.
    NoneStored,
    /// Addresses of guides.
    SeedHosts {
        addresses: Vec<SocketAddr>,
        has_many_servers: bool,
    },
}

/// Whether this host has learned from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SyncOutcome {
    Pending,
    Synced,
    /// It reads the tables by itself.
    ReadsTables,
}

/// This host's start.
#[derive(Debug)]
pub struct Join {
    outcome: watch::Sender<SyncOutcome>,
    /// Last snapshot that was handed on, sealed, and when it was made.
    encoded: Mutex<Option<(Bytes, u64)>>,
    /// A datagram of a known host came under another secret than this host knows.
    secret_may_be_stale: AtomicBool,
    newcomers: Newcomers,
}

impl Default for Join {
    fn default() -> Self {
        Self {
            outcome: watch::channel(SyncOutcome::Pending).0,
            encoded: Mutex::default(),
            secret_may_be_stale: AtomicBool::new(false),
            newcomers: Newcomers::default(),
        }
    }
}

impl Join {
    /// True if another host has told this one what a table has; waits for that.
    pub(super) async fn was_synced_from_peer(&self, followed: Followed) -> bool {
        if followed == Followed::Configuration {
            return false;
        }
        self.sync_outcome().await == SyncOutcome::Synced
    }

    /// Notes that the hosts' secret may be another one by now, which only the store can tell.
    pub(super) fn flag_stale_secret(&self) {
        self.secret_may_be_stale.store(true, Ordering::Relaxed);
    }

    /// True if the secret was doubted since the last call.
    fn take_stale_secret_flag(&self) -> bool {
        self.secret_may_be_stale.swap(false, Ordering::Relaxed)
    }

    /// How this host has learned what it knows; waits for that.
    pub(super) async fn sync_outcome(&self) -> SyncOutcome {
        let mut outcome = self.outcome.subscribe();
        let known = outcome
            .wait_for(|outcome| *outcome != SyncOutcome::Pending)
            .await;
        known.map_or(SyncOutcome::ReadsTables, |outcome| *outcome)
    }
}

impl Entry {
    /// Learns what other hosts know, or finds that this host must read the tables by itself.
    pub(super) async fn join(self: Arc<Self>) {
        let began_ms = clock::now_ms();
        let outcome = if self.ask_seed_hosts().await {
            SyncOutcome::Synced
        } else {
            SyncOutcome::ReadsTables
        };
        Event::Joined {
            told: outcome == SyncOutcome::Synced,
            after_ms: clock::now_ms() - began_ms,
        }
        .log();
        self.join.outcome.send_replace(outcome);
    }

    async fn ask_seed_hosts(&self) -> bool {
        let mut looks = 0;
        let seed_hosts = loop {
            match self.find_seed_hosts().await {
                // At the first start nobody knows yet how many servers there will be, and nobody is in a hurry.
                Some(SeedHostLookup::SeedHosts {
                    addresses,
                    has_many_servers,
                }) if has_many_servers || looks > 0 => break addresses,
                Some(SeedHostLookup::SeedHosts { .. }) => return false,
                Some(SeedHostLookup::NoneStored) => {}
                None => {
                    pause().await;
                    continue;
                }
            }
            looks += 1;
            if self.is_early() || looks > 1 {
                return false;
            }
            let wait_ms = LOOKUP_RETRY_MS + rand::random_range(0..LOOKUP_JITTER_MS);
            time::sleep(Duration::from_millis(wait_ms)).await;
        };
        let ask_for_ms = if self.is_early() {
            EARLY_SYNC_TIMEOUT_MS
        } else {
            SYNC_TIMEOUT_MS
        };
        let until_ms = clock::now_ms() + ask_for_ms;
        while clock::now_ms() < until_ms {
            let seed_host = seed_hosts[rand::random_range(0..seed_hosts.len())];
            match self.ask(seed_host, paths::SNAPSHOT).await {
                Ok(snapshot) => {
                    self.take_snapshot(&snapshot);
                    return true;
                }
                Err(error) => log::debug!("{seed_host} hands nothing on: {error}"),
            }
            time::sleep(Duration::from_millis(SYNC_RETRY_MS)).await;
        }
        false
    }

    /// Guides of the own zone, or all of them if it has none; `None` if the store does not answer.
    async fn find_seed_hosts(&self) -> Option<SeedHostLookup> {
        let rows = match self
            .store
            .range(TABLE, PART, SECRET_KEY, SEED_HOSTS_KEY)
            .await
        {
            Ok(rows) => {
                self.heard_store(clock::now_ms());
                rows.rows
            }
            Err(error) => {
                log::debug!("guides cannot be read: {error}");
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
        let near = seed_hosts
            .hosts
            .iter()
            .filter(|seed_host| seed_host.zone_tag == own_zone);
        let near: Vec<SocketAddr> = near.map(|seed_host| seed_host.address).collect();
        let all = seed_hosts.hosts.iter().map(|seed_host| seed_host.address);
        Some(SeedHostLookup::SeedHosts {
            addresses: if near.is_empty() { all.collect() } else { near },
            has_many_servers: seed_hosts.has_many_servers,
        })
    }

    /// True for the hosts that read the tables and look after the duty at once, so that the others can ask them, and the
    /// first holder's secret is there by then.
    pub(super) fn is_early(&self) -> bool {
        let tag = tag_of(&self.settings.listen.peers.to_string());
        self.settings.processor_share >= EARLY_PROCESSOR_SHARE || tag.is_multiple_of(EARLY_ONE_IN)
    }
}
