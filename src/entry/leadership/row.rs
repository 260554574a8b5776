//! Leadership row: the row of the store that names the leader.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Table of the store that contains only the leadership row. The row changes often, and no host
/// follows it by a change feed, so the table is separate from the tables that hosts follow.
pub const LEADERSHIP_TABLE: &str = "ashroad_duty";
/// Key of the leadership row.
pub const LEADERSHIP_KEY: &str = "leases";

/// Content of the leadership row, which names the leader. The content is stored as JSON in the
/// table `ashroad_duty`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadershipRow {
    /// Incarnation of the host process that is the leader; 0 after the leader has given up the
    /// leadership.
    #[serde(rename = "holder")]
    pub leader_incarnation: u64,
    /// Number of the leader's term. Each takeover of the leadership adds 1, so a later term has a
    /// higher number.
    pub term: u64,
    /// Number of the confirmation within the term. This number makes the content of the row differ
    /// from one confirmation to the next.
    pub confirmation: u64,
    /// Address at which the leader receives datagrams and queries from other hosts; `None` in rows
    /// that were written by a version of ashroad without this field.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// Time after the write of this row, in milliseconds, in which leaders of earlier terms may
    /// still grant leases.
    #[serde(default, rename = "earlier_ms")]
    pub earlier_leases_ms: u64,
}

/// Leadership row as this host has written it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrittenRow {
    /// Version of the row in the store.
    pub version: u64,
    /// True if an earlier attempt of the same write has taken effect, whose response was lost.
    pub is_by_earlier_attempt: bool,
}
