//! Tables of the store that a host follows by change feeds, and the wait and pause times of these
//! feeds. A wait is the time for which a feed call waits at the store for changes; a pause is the
//! time between two feed calls. Another host confirms the store by reporting that the store
//! responds and which versions the tables have.

use super::own_rows::TABLE;
use crate::{
    entry::{limits::Timings, pauses::FOLLOWER_PAUSE_MAX_MS},
    platform::{config, servers},
};

/// Maximum wait of a feed call at the store while no other host confirms the store, that is,
/// reports that the store responds. A store that stopped responding is detected within a second
/// after the wait, early enough to apply the configuration within its bound once a network
/// partition has healed.
const ALONE_WAIT_MS: u64 = 3_000;
/// Maximum wait at the store of a feed call that does not need a short wait: if another host
/// reports a change that the feed did not deliver, the call is abandoned and repeated. Calls are
/// billed, so the wait is long; the store allows up to 30 s.
const FOLLOWER_WAIT_MS: u64 = 25_000;
/// Time for which a host that has just read the entry hosts' own rows waits for a heartbeat from
/// the leader before the host requests changes of these rows.
const OWN_START_WAIT_MS: u64 = 2_500;
/// Minimum pause of the change feed of the entry hosts' own rows (assigned ranges and hosts).
const OWN_PAUSE_MIN_MS: u64 = 300;
/// Time without a feed call after which the table of the entry hosts' own rows is read as a whole.
/// The store keeps the changes of the last 20 s, and a feed call for older changes only returns
/// that they are gone, which costs an extra call.
pub const HISTORY_MS: u64 = 15_000;
/// Number of hosts up to which change feeds use their minimum pause. With more hosts the pause
/// grows in proportion to their number, up to a maximum.
const FEW_HOSTS: u64 = 11;

/// Role of a host in following the store, by the source from which the host learns that the store
/// has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SyncRole {
    /// This host is the leader; the other hosts depend on its change feeds of the store.
    Leader,
    /// This host is a relay, and no other host reports to this host that the store responds; the
    /// hosts of its zone depend on its feeds.
    Relay,
    /// This host depends on the leader or a relay, which reports to this host that the store
    /// responds.
    Follower,
    /// No other host reports to this host that the store responds; this host depends on its own
    /// feeds alone.
    Alone,
}

/// A table of the store that hosts follow by a change feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FollowedTable {
    /// Operators' table with the configuration and the evacuated zones.
    Configuration,
    /// Table of the entries by which servers register.
    Servers,
    /// The entry hosts' own rows: assigned ranges and hosts.
    Own,
}

impl FollowedTable {
    /// All followed tables, in the order of [`Self::index`].
    pub const ALL: [Self; 3] = [Self::Configuration, Self::Servers, Self::Own];

    /// Maximum time until a store that stopped responding is detected while no other host confirms
    /// the store.
    pub const OUTAGE_DETECTION_MS: u64 = ALONE_WAIT_MS + 500;

    /// Returns the index of the table in per-table arrays.
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the name of the table in the store.
    pub fn table(self) -> &'static str {
        match self {
            Self::Configuration => config::TABLE,
            Self::Servers => servers::TABLE,
            Self::Own => TABLE,
        }
    }

    /// Returns the maximum wait of a feed call at the store. The leader and hosts that hear no
    /// leader use short waits: if their connection to the store has failed silently, no other host
    /// reports the missed changes to them.
    pub fn wait_ms(self, sync_role: SyncRole, limits: &Timings) -> u64 {
        match (self, sync_role) {
            (Self::Own, _) | (_, SyncRole::Follower) => FOLLOWER_WAIT_MS,
            (_, SyncRole::Leader) => limits.leader_wait_ms,
            (_, SyncRole::Relay) => limits.relay_wait_ms,
            (_, SyncRole::Alone) => ALONE_WAIT_MS,
        }
    }

    /// Returns the time for which a host that has just read the table waits for a heartbeat from
    /// the leader before the host requests changes. Without this wait, hosts that start together
    /// would all fetch each other's rows. Hosts usually write their rows within 2 s after their
    /// start, and by then there is a leader as well. The wait lies within the contact grace period,
    /// in which the bounds do not apply.
    pub fn start_wait_ms(self, limits: &Timings) -> u64 {
        match self {
            Self::Own => OWN_START_WAIT_MS,
            Self::Configuration | Self::Servers => limits.start_wait_ms,
        }
    }

    /// Returns the pause between two feed calls. Each change ends the waiting feed calls of all
    /// hosts, so the pause grows with the number of hosts, up to the longest pause with which
    /// changes still take effect within their bound.
    pub fn feed_pause(self, hosts: usize, sync_role: SyncRole, limits: &Timings) -> FeedPause {
        let scaled = |few_hosts_ms: u64, many_hosts_ms: u64| {
            let scaled_ms = few_hosts_ms * hosts as u64 / FEW_HOSTS;
            scaled_ms.clamp(few_hosts_ms.min(many_hosts_ms), many_hosts_ms)
        };
        match (self, sync_role) {
            // The other hosts learn of changes from the leader or a relay, so the change feeds of
            // the leader and the relays pause only briefly.
            (Self::Configuration | Self::Servers, SyncRole::Leader | SyncRole::Relay) => {
                FeedPause::fixed(limits.leader_pause_ms)
            }
            (Self::Configuration, SyncRole::Follower) => FeedPause {
                min_ms: limits.configuration_pause_ms,
                max_ms: FOLLOWER_PAUSE_MAX_MS,
            },
            (Self::Configuration, SyncRole::Alone) => {
                FeedPause::fixed(scaled(150, limits.configuration_pause_ms))
            }
            (Self::Servers, SyncRole::Follower) => FeedPause {
                min_ms: scaled(SERVERS_PAUSE_MS, 1_000),
                max_ms: FOLLOWER_PAUSE_MAX_MS,
            },
            (Self::Servers, SyncRole::Alone) => {
                FeedPause::fixed(scaled(SERVERS_PAUSE_MS, limits.servers_pause_ms))
            }
            // Assigned ranges also arrive by datagram once the leader knows this host.
            (Self::Own, SyncRole::Follower) => FeedPause {
                min_ms: OWN_PAUSE_MIN_MS,
                max_ms: FOLLOWER_PAUSE_MAX_MS,
            },
            (Self::Own, _) => FeedPause {
                min_ms: OWN_PAUSE_MIN_MS,
                max_ms: scaled(1_000, 2_000),
            },
        }
    }
}

/// Pause of the feed of servers' entries with up to [`FEW_HOSTS`] hosts.
const SERVERS_PAUSE_MS: u64 = 250;

/// Pause between two feed calls, which lets changes in quick succession share one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FeedPause {
    /// Minimum pause, kept even if there is a reason to call the store early, such as a read
    /// request or a missed change.
    pub min_ms: u64,
    /// Maximum pause, after which the store is called even if there is no reason for an early call.
    pub max_ms: u64,
}

impl FeedPause {
    fn fixed(pause_ms: u64) -> Self {
        Self {
            min_ms: pause_ms,
            max_ms: pause_ms,
        }
    }
}
