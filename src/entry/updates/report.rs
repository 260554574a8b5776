//! Reports on the state of the store, by which hosts learn from each other that the store responds
//! and which versions its tables have.

use serde::{Deserialize, Serialize};

use super::followed::FollowedTable;

/// Number of tables that a report covers.
pub const TABLES: usize = FollowedTable::ALL.len();
/// Age stated in a report whose real age does not fit the field; such a report is too old to be
/// trusted.
pub const TOO_OLD_MS: u32 = u32::MAX;

/// Report from the leader, or from a relay, on the sender's view of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreStateReport {
    /// Time since the store's last response, or since the sender's feed last waited for changes of
    /// the servers' entries or the configuration if that is longer ago. The sender knows all
    /// changes that were made before that time.
    pub age_ms: u32,
    /// Version of the latest change that the sender has seen, by table.
    pub changed: [u64; TABLES],
    /// Version of the latest change of a server's entry that ends new work for the server: the
    /// server leaves, or its entry was removed or cannot be decoded.
    pub leave_version: u64,
    /// Version up to which the sender has read each table, whether or not anything changed.
    pub up_to: [u64; TABLES],
    /// Version at which the sender last took over the table of servers' entries as a whole, from the
    /// store or another host. The sender may not know of entries that were removed before, since no
    /// row is left of them; `changed` and `leave_version` then do not state the removals.
    pub full_read_version: u64,
    /// Number of servers' entries in the table at the version up to which the sender has read it.
    pub server_entries: u32,
}

impl StoreStateReport {
    /// Returns the report with the age increased by `excess_delay_ms`, the delay of the report
    /// beyond the shortest delay of the leader's reports in the same term.
    pub fn aged_by(self, excess_delay_ms: u64) -> Self {
        let excess_delay_ms = u32::try_from(excess_delay_ms).unwrap_or(TOO_OLD_MS);
        Self {
            age_ms: self.age_ms.saturating_add(excess_delay_ms),
            ..self
        }
    }

    /// Returns this report with each version of a change replaced by the version in `earlier` if
    /// that version is later. The two reports may come from different hosts, and the sender of this
    /// report may not have seen all changes that `earlier` states.
    pub fn with_changes_of(self, earlier: Self) -> Self {
        Self {
            changed: std::array::from_fn(|table| self.changed[table].max(earlier.changed[table])),
            leave_version: self.leave_version.max(earlier.leave_version),
            ..self
        }
    }
}

/// Host that sent a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reporter {
    /// The leader, in a heartbeat.
    Leader,
    /// A relay of this host's zone, in the response to a query.
    Relay,
}

/// Sender and age of the latest report that a host received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LatestReport {
    /// Host that sent the report.
    pub reporter: Reporter,
    /// Time since the store's last response to the reporter.
    pub age_ms: u64,
}

/// Report from another host, with the time of the store's last response by this host's clock.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedReport {
    /// Host that sent the report.
    pub reporter: Reporter,
    /// Time of the store's last response to the reporter.
    pub answered_ms: u64,
    /// State of the store, as the reporter knows it.
    pub updates: StoreStateReport,
}

impl ReceivedReport {
    /// Returns the later one of two reports, with the latest versions of changes that either report
    /// states.
    pub fn or_later(self, other: Self) -> Self {
        let (later, earlier) = if self.answered_ms >= other.answered_ms {
            (self, other)
        } else {
            (other, self)
        };
        Self {
            updates: later.updates.with_changes_of(earlier.updates),
            ..later
        }
    }
}
