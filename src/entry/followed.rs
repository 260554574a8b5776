//! The tables of the store that a host follows, and how often it asks for what has changed.

use super::watch::TABLE;
use crate::platform::{config, servers};

/// Longest wait of the servers' feed at the store while no other host vouches for the store. A
/// silent store is noticed a second after that, early enough to know the configuration within the
/// bounds once a cut has healed.
const CANARY_WAIT_MS: u64 = 3_000;
/// Longest wait of feeds that are called anew when anything shows that they are deaf. Calls are
/// priced, so they wait for long; the store allows 30 s.
const FEED_WAIT_MS: u64 = 25_000;
/// Number of hosts up to which feeds rest for their shortest time.
const FEW_HOSTS: u64 = 11;

/// A table that the host follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Followed {
    /// The operators' configuration.
    Configuration,
    /// The servers' entries.
    Servers,
    /// The product's own rows: holdings and hosts.
    Own,
}

impl Followed {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Servers, Self::Own];

    /// Time in which a silent store is noticed at the latest, when nobody vouches for it.
    pub const NOTICED_MS: u64 = CANARY_WAIT_MS + 500;

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

    /// Time for which a feed may wait at the store.
    pub fn wait_ms(self, vouched: bool) -> u64 {
        match self {
            Self::Servers if !vouched => CANARY_WAIT_MS,
            _ => FEED_WAIT_MS,
        }
    }

    /// Least time between two answers of a feed, so that changes that come together cost one call.
    /// It grows with the number of hosts, since each change wakes all of them, as far as changes
    /// still take effect in time: configuration and servers have two seconds. Holdings also come by
    /// datagram, and are read at once when a server does not hold what was thought.
    pub fn least_interval_ms(self, hosts: usize) -> u64 {
        let (few_hosts_ms, many_hosts_ms) = match self {
            Self::Configuration => (150, 500),
            Self::Servers => (250, 1_500),
            Self::Own => (1_000, 8_000),
        };
        let scaled_ms = few_hosts_ms * hosts as u64 / FEW_HOSTS;
        scaled_ms.clamp(few_hosts_ms, many_hosts_ms)
    }
}
