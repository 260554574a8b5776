//! Messages of the platform's published protocol.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Path of a conditional transaction (POST).
pub const TRANSACT_PATH: &str = "/v1/transact";
/// Path of a range read (POST).
pub const RANGE_PATH: &str = "/v1/range";
/// Prefix of an object's path (PUT and GET).
pub const OBJECT_PATH: &str = "/v1/objects/";
/// Path of the list of hosts (GET).
pub const HOSTS_PATH: &str = "/v1/hosts";

/// What a row must look like for a transaction to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// No such row.
    Absent,
    /// The row was written this many times.
    Version(u64),
}

/// One condition of a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Condition {
    /// Row.
    pub key: String,
    /// Expected state of the row.
    pub expect: Expect,
}

/// One write of a transaction; no value deletes the row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Write {
    /// Row.
    pub key: String,
    /// New value.
    pub value: Option<String>,
}

/// Writes that take effect together, if all conditions hold.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions, all of which must hold.
    pub conditions: Vec<Condition>,
    /// Writes.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum TransactionOutcome {
    /// All writes took effect.
    Committed,
    /// Nothing took effect; these rows were not as expected.
    Conflict {
        /// Rows whose condition failed.
        keys: Vec<String>,
    },
}

/// Read of the rows after `after` whose key starts with `prefix`, in key order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RangeRead {
    /// Common prefix.
    pub prefix: String,
    /// Exclusive lower bound.
    pub after: String,
    /// Most rows to return.
    pub limit: usize,
}

/// One row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Number of writes so far.
    pub version: u64,
    /// Value.
    pub value: String,
}

/// Rows of a range read.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rows {
    /// Rows in key order.
    pub rows: Vec<Row>,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// Running.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One host of the platform's list, which lags.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedHost {
    /// Address of the process on it.
    pub address: SocketAddr,
    /// State.
    pub state: ListedState,
}

/// The platform's list of hosts.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts.
    pub hosts: Vec<ListedHost>,
}
