//! How a host that starts learns of servers, holdings and hosts: from a host that knows them, if there is one, else by
//! reading the store's tables. The holder of the duty stores the addresses of a few hosts of each zone, beside the
//! hosts' secret, so that one call finds both. The same hosts register those that start, and tell the others later what
//! they have missed.

mod ask;
mod catch_up;
mod guides;
mod newcomers;
mod paths;
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
use self::{guides::Guides, newcomers::Newcomers};
use super::{
    Entry,
    events::Event,
    news::{
        followed::Followed,
        own_rows::{GUIDES_KEY, SECRET_KEY, TABLE},
    },
    server::tag_of,
    watch::pause,
};
use crate::{clock, platform::store::DEFAULT_PARTITION};

/// Pause between two questions.
const ASK_EVERY_MS: u64 = 250;
/// Time for which a host asks others before it reads the tables by itself.
const ASK_FOR_MS: u64 = 4_000;
/// The same for a host that is to know early what the others ask it for.
const ASK_EARLY_FOR_MS: u64 = 600;
/// Time after which a host looks for guides again that found none, at the first start of a deployment. The first
/// holder of the duty has named some by then.
const LOOK_AGAIN_MS: u64 = 2_200;
/// Time over which hosts spread that.
const LOOK_SPREAD_MS: u64 = 700;
/// One in so many weak hosts reads the tables early.
const EARLY_ONE_IN: u32 = 32;
/// Share of a processor from which a host does.
const EARLY_PROCESSOR_SHARE: f32 = 0.5;

/// What a host that starts finds in the store.
enum Found {
    /// Nobody has named guides yet.
    Nobody,
    /// Addresses of guides.
    Guides {
        addresses: Vec<SocketAddr>,
        has_many_servers: bool,
    },
}

/// Whether this host has learned from another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    Asking,
    Told,
    /// It reads the tables by itself.
    Alone,
}

/// This host's start.
#[derive(Debug)]
pub struct Join {
    outcome: watch::Sender<Outcome>,
    /// Last snapshot that was handed on, sealed, and when it was made.
    encoded: Mutex<Option<(Bytes, u64)>>,
    /// A datagram of a known host came under another secret than this host knows.
    secret_doubted: AtomicBool,
    newcomers: Newcomers,
}

impl Default for Join {
    fn default() -> Self {
        Self {
            outcome: watch::channel(Outcome::Asking).0,
            encoded: Mutex::default(),
            secret_doubted: AtomicBool::new(false),
            newcomers: Newcomers::default(),
        }
    }
}

impl Join {
    /// True if another host has told this one what a table has; waits for that.
    pub(super) async fn was_told(&self, followed: Followed) -> bool {
        if followed == Followed::Configuration {
            return false;
        }
        self.ended().await == Outcome::Told
    }

    /// Notes that the hosts' secret may be another one by now, which only the store can tell.
    pub(super) fn doubt_secret(&self) {
        self.secret_doubted.store(true, Ordering::Relaxed);
    }

    /// True if the secret was doubted since the last call.
    fn take_secret_doubt(&self) -> bool {
        self.secret_doubted.swap(false, Ordering::Relaxed)
    }

    /// How this host has learned what it knows; waits for that.
    pub(super) async fn ended(&self) -> Outcome {
        let mut outcome = self.outcome.subscribe();
        let known = outcome
            .wait_for(|outcome| *outcome != Outcome::Asking)
            .await;
        known.map_or(Outcome::Alone, |outcome| *outcome)
    }
}

impl Entry {
    /// Learns what other hosts know, or finds that this host must read the tables by itself.
    pub(super) async fn join(self: Arc<Self>) {
        let began_ms = clock::now_ms();
        let outcome = if self.ask_guides().await {
            Outcome::Told
        } else {
            Outcome::Alone
        };
        Event::Joined {
            told: outcome == Outcome::Told,
            after_ms: clock::now_ms() - began_ms,
        }
        .log();
        self.join.outcome.send_replace(outcome);
    }

    async fn ask_guides(&self) -> bool {
        let mut looks = 0;
        let guides = loop {
            match self.find_guides().await {
                // At the first start nobody knows yet how many servers there will be, and nobody is in a hurry.
                Some(Found::Guides {
                    addresses,
                    has_many_servers,
                }) if has_many_servers || looks > 0 => break addresses,
                Some(Found::Guides { .. }) => return false,
                Some(Found::Nobody) => {}
                None => {
                    pause().await;
                    continue;
                }
            }
            looks += 1;
            if self.is_early() || looks > 1 {
                return false;
            }
            let wait_ms = LOOK_AGAIN_MS + rand::random_range(0..LOOK_SPREAD_MS);
            time::sleep(Duration::from_millis(wait_ms)).await;
        };
        let ask_for_ms = if self.is_early() {
            ASK_EARLY_FOR_MS
        } else {
            ASK_FOR_MS
        };
        let until_ms = clock::now_ms() + ask_for_ms;
        while clock::now_ms() < until_ms {
            let guide = guides[rand::random_range(0..guides.len())];
            match self.ask(guide, paths::SNAPSHOT).await {
                Ok(snapshot) => {
                    self.take_snapshot(&snapshot);
                    return true;
                }
                Err(error) => log::debug!("{guide} hands nothing on: {error}"),
            }
            time::sleep(Duration::from_millis(ASK_EVERY_MS)).await;
        }
        false
    }

    /// Guides of the own zone, or all of them if it has none; `None` if the store does not answer.
    async fn find_guides(&self) -> Option<Found> {
        let rows = match self
            .store
            .range(TABLE, DEFAULT_PARTITION, SECRET_KEY, GUIDES_KEY)
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
        let mut guides = Guides::default();
        for row in &rows {
            if row.key == SECRET_KEY {
                self.apply_secret(row);
            } else if row.key == GUIDES_KEY {
                guides = Guides::decode(row);
            }
        }
        let own = self.settings.listen.peers;
        guides.hosts.retain(|guide| guide.address != own);
        if guides.hosts.is_empty() || !self.peers.seal.is_known() {
            return Some(Found::Nobody);
        }
        let own_zone = tag_of(&self.settings.availability_zone);
        let near = guides
            .hosts
            .iter()
            .filter(|guide| guide.zone_tag == own_zone);
        let near: Vec<SocketAddr> = near.map(|guide| guide.address).collect();
        let all = guides.hosts.iter().map(|guide| guide.address);
        Some(Found::Guides {
            addresses: if near.is_empty() { all.collect() } else { near },
            has_many_servers: guides.has_many_servers,
        })
    }

    /// True for the hosts that read the tables and look after the duty at once, so that the others can ask them, and the
    /// first holder's secret is there by then.
    pub(super) fn is_early(&self) -> bool {
        let tag = tag_of(&self.settings.listen.peers.to_string());
        self.settings.processor_share >= EARLY_PROCESSOR_SHARE || tag.is_multiple_of(EARLY_ONE_IN)
    }
}
