//! Messages of the platform's public API, as JSON.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Path for running a conditional transaction (POST).
pub const TRANSACT_PATH: &str = "/v1/transact";
/// Path for reading a range of rows (POST).
pub const RANGE_PATH: &str = "/v1/range";
/// Prefix of the path for storing (PUT) or reading (GET) an object. The name of the object follows
/// the prefix.
pub const OBJECT_PATH: &str = "/v1/objects/";
/// Path for reading the platform's list of hosts (GET).
pub const HOSTS_PATH: &str = "/v1/hosts";

/// State that a row must have for a transaction to take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// The row does not exist.
    Absent,
    /// The row exists and has the given version. The version of a row counts the writes since the
    /// row was created.
    Version(u64),
}

/// Condition on one row that must hold for a transaction to take effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row that must be in the expected state.
    pub key: String,
    /// Required state of the row when the transaction is executed.
    pub expect: Expect,
}

/// Write of one row in a transaction.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row that is written or deleted.
    pub key: String,
    /// New value of the row; `None` deletes the row.
    pub value: Option<String>,
}

/// Writes that take effect together if all conditions hold. If a condition fails, no write takes
/// effect.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Transaction {
    /// Conditions that are checked before the writes. Without conditions, the writes always take
    /// effect.
    pub conditions: Vec<Condition>,
    /// Rows to write or delete; either all of the writes take effect or none of them.
    pub writes: Vec<Write>,
}

/// Outcome of a transaction that the table service has executed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "outcome")]
pub enum TransactionOutcome {
    /// All writes took effect.
    Committed,
    /// No write took effect, because a condition failed.
    Conflict {
        /// Keys of the rows whose condition failed.
        keys: Vec<String>,
    },
}

/// Request for one page of rows, in ascending order of their keys: the rows whose key starts with
/// `prefix` and is greater than `after`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RangeRead {
    /// Prefix that the keys of the returned rows share; empty for all rows.
    pub prefix: String,
    /// Exclusive lower bound of the keys; empty for no lower bound.
    pub after: String,
    /// Maximum number of rows to return.
    pub limit: usize,
}

/// Row of the table service, with the version that conditions refer to.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row, unique in the table service.
    pub key: String,
    /// Number of times that the row has been written since it was created.
    pub version: u64,
    /// Value of the row, as text.
    pub value: String,
}

/// Response to a [`RangeRead`], which holds one page of rows.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Rows {
    /// Rows in ascending key order, at most the requested number.
    pub rows: Vec<Row>,
}

/// State of an entry host in the platform's list of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// The host is running.
    Live,
    /// The platform is about to remove the host.
    Leaving,
}

/// Entry of the platform's list of hosts. The list lags behind the real state.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ListedHost {
    /// IP address and port of the process on the entry host.
    pub address: SocketAddr,
    /// State of the entry host when the platform made the list.
    pub state: ListedState,
}

/// Response with the platform's list of hosts, which may lag behind the real state.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HostList {
    /// Hosts as the platform listed them, possibly some time ago.
    pub hosts: Vec<ListedHost>,
}
