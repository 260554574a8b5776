//! The tables of the store that a host follows, and how often it asks for what has changed.

use super::own_rows::TABLE;
use crate::{
    entry::limits::TimeLimits,
    platform::{config, servers},
};

/// Longest wait of the servers' feed at the store while no other host vouches for the store. A
/// silent store is noticed a second after that, early enough to know the configuration within the
/// bounds once a cut has healed.
const ALONE_WAIT_MS: u64 = 3_000;
/// Longest wait of feeds that are called anew when anything shows that they are deaf. Calls are
/// priced, so they wait for long; the store allows 30 s.
const FOLLOWER_WAIT_MS: u64 = 25_000;
/// Longest rest of a feed while the holder of the duty passes all changes on. A host that has
/// missed one notices by the holder's news, or when it meets a host or a secret that it does not
/// know, or a server that no longer holds a key.
pub const FOLLOWER_REST_MAX_MS: u64 = 120_000;
/// Time after its start until a host reads the product's own rows again, if it hears no holder.
const OWN_START_REST_MS: u64 = 2_500;
/// Least rest of the feed of the product's own rows.
const OWN_REST_MS: u64 = 300;
/// Time without a call after which a table is read as a whole: the store keeps the history of
/// 20 s, and a feed that comes too late costs a call more.
pub const HISTORY_MS: u64 = 15_000;
/// Number of hosts up to which feeds rest for their shortest time.
const FEW_HOSTS: u64 = 11;

/// What a host relies on to learn that the store has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncRole {
    /// It has the duty, and the others rely on it.
    Holder,
    /// It is a relay that hears no holder whom the store answers, and its zone relies on it.
    Relay,
    /// On the holder or a relay, one of which vouches for the store.
    Follower,
    /// On its own feeds alone.
    Alone,
}

/// A table that the host follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowedTable {
    /// The operators' configuration.
    Configuration,
    /// The servers' entries.
    Servers,
    /// The product's own rows: holdings and hosts.
    Own,
}

impl FollowedTable {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Servers, Self::Own];

    /// Time in which a silent store is noticed at the latest, when nobody vouches for it.
    pub const NOTICED_MS: u64 = ALONE_WAIT_MS + 500;

    /// Place in arrays by table.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Name of the table.
    pub fn table(self) -> &'static str {
        match self {
            Self::Configuration => config::TABLE,
            Self::Servers => servers::TABLE,
            Self::Own => TABLE,
        }
    }

    /// Time for which a feed may wait at the store. The holder of the duty has nobody who tells it
    /// that its connections have fallen silent, and nor has a host that does not hear one.
    pub fn wait_ms(self, sync_role: SyncRole, limits: &TimeLimits) -> u64 {
        match (self, sync_role) {
            (Self::Own, _) | (_, SyncRole::Follower) => FOLLOWER_WAIT_MS,
            (_, SyncRole::Holder) => limits.holder_wait_ms,
            (_, SyncRole::Relay) => limits.relay_wait_ms,
            (_, SyncRole::Alone) => ALONE_WAIT_MS,
        }
    }

    /// Time for which a host that has just read the table waits to hear the holder of the duty before
    /// it asks for changes: hosts that start together would all ask for each other's rows, which are
    /// there after 2 s, as is the first holder. Meanwhile a host owes nobody a bound.
    pub fn start_rest_ms(self, limits: &TimeLimits) -> u64 {
        match self {
            Self::Own => OWN_START_REST_MS,
            Self::Configuration | Self::Servers => limits.start_rest_ms,
        }
    }

    /// How long a feed rests between two answers. Rests grow with the number of hosts, since each
    /// change wakes all of them, as far as changes still take effect in time.
    pub fn rest(self, hosts: usize, sync_role: SyncRole, limits: &TimeLimits) -> Rest {
        let scaled = |few_hosts_ms: u64, many_hosts_ms: u64| {
            let scaled_ms = few_hosts_ms * hosts as u64 / FEW_HOSTS;
            scaled_ms.clamp(few_hosts_ms.min(many_hosts_ms), many_hosts_ms)
        };
        match (self, sync_role) {
            // The others learn from the holder, or from a relay, what changes.
            (Self::Configuration | Self::Servers, SyncRole::Holder | SyncRole::Relay) => {
                Rest::fixed(limits.holder_rest_ms)
            }
            (Self::Configuration, SyncRole::Follower) => Rest {
                least_ms: limits.configuration_rest_ms,
                most_ms: FOLLOWER_REST_MAX_MS,
            },
            (Self::Configuration, SyncRole::Alone) => {
                Rest::fixed(scaled(150, limits.configuration_rest_ms))
            }
            (Self::Servers, SyncRole::Follower) => Rest {
                least_ms: scaled(SERVERS_REST_MS, 1_000),
                most_ms: FOLLOWER_REST_MAX_MS,
            },
            (Self::Servers, SyncRole::Alone) => {
                Rest::fixed(scaled(SERVERS_REST_MS, limits.servers_rest_ms))
            }
            // Holdings also come by datagram, once the holder knows this host.
            (Self::Own, SyncRole::Follower) => Rest {
                least_ms: OWN_REST_MS,
                most_ms: FOLLOWER_REST_MAX_MS,
            },
            (Self::Own, _) => Rest {
                least_ms: OWN_REST_MS,
                most_ms: scaled(1_000, 2_000),
            },
        }
    }
}

/// Rest of the servers' feed among few hosts.
const SERVERS_REST_MS: u64 = 250;

/// Time between two answers of a feed, so that changes that come together cost one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rest {
    /// If there is reason to hurry.
    pub least_ms: u64,
    /// If there is none.
    pub most_ms: u64,
}

impl Rest {
    fn fixed(rest_ms: u64) -> Self {
        Self {
            least_ms: rest_ms,
            most_ms: rest_ms,
        }
    }
}
