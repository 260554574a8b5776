//! Ways by which rows of the followed tables reach a host.

use serde::Serialize;

/// Way by which rows reached this host, for logs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RowSource {
    /// Change feed of the store.
    Feed,
    /// Read of the whole table from the store.
    Table,
    /// Broadcast of the leader.
    Broadcast,
    /// Response of another host to a query.
    Peer,
}
