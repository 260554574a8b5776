//! HTTP client of the platform's services. The client does not retry calls; the calling code
//! decides whether a failed call may be sent again.

use std::net::SocketAddr;

use bytes::Bytes;
use http::Method;
use snafu::ResultExt;

use super::{
    error::{CallSnafu, Result},
    message::{
        HOSTS_PATH, HostList, OBJECT_PATH, RANGE_PATH, RangeRead, Row, Rows, TRANSACT_PATH,
        Transaction, TransactionOutcome,
    },
};
use crate::transport::JsonClient;

/// Client of the platform's table service, object store and list of hosts, over pooled HTTP
/// connections.
#[derive(Clone, Debug)]
pub struct Platform {
    address: SocketAddr,
    client: JsonClient,
}

impl Platform {
    /// Creates a client whose calls time out after `timeout_ms` milliseconds.
    pub fn new(address: SocketAddr, timeout_ms: u64) -> Self {
        Self {
            address,
            client: JsonClient::new(timeout_ms),
        }
    }

    /// Runs a conditional transaction. After an error, the calling code cannot know whether the
    /// transaction took effect.
    pub async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome> {
        self.client
            .post(self.address, TRANSACT_PATH, transaction)
            .await
            .context(CallSnafu)
    }

    /// Reads at most `limit` rows whose key starts with `prefix` and is greater than `after`.
    pub async fn range(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<Row>> {
        let read = RangeRead {
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        let rows: Rows = self
            .client
            .post(self.address, RANGE_PATH, &read)
            .await
            .context(CallSnafu)?;
        Ok(rows.rows)
    }

    /// Reads the row `key`. Returns `None` if the row does not exist.
    pub async fn row(&self, key: &str) -> Result<Option<Row>> {
        let rows = self.range(key, "", 1).await?;
        Ok(rows.into_iter().find(|row| row.key == key))
    }

    /// Stores an object under `name` in the object store.
    pub async fn put_object(&self, name: &str, body: Bytes) -> Result<()> {
        let path = format!("{OBJECT_PATH}{name}");
        self.client
            .send(Method::PUT, self.address, &path, body)
            .await
            .context(CallSnafu)?;
        Ok(())
    }

    /// Reads the object `name`; fails if the object does not exist.
    pub async fn object(&self, name: &str) -> Result<Bytes> {
        let path = format!("{OBJECT_PATH}{name}");
        self.client
            .send(Method::GET, self.address, &path, Bytes::new())
            .await
            .context(CallSnafu)
    }

    /// Reads the platform's list of hosts, which may lag behind the set of running hosts.
    pub async fn hosts(&self) -> Result<HostList> {
        self.client
            .get(self.address, HOSTS_PATH)
            .await
            .context(CallSnafu)
    }
}
