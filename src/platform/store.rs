//! Client of the platform's store: reads, conditional transactions and change feeds (long polls
//! that return the rows of a table that changed after a version).

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, utf8_percent_encode};
use serde::de::DeserializeOwned;

use super::{
    error::{DecodeSnafu, Error, Result, StatusSnafu},
    link::{BufferedResponse, Link},
    wire::{WireExpect, WirePut, WireRemove, WireRow, WireRows, WireTransaction},
};

/// Timeout of a transaction. The store usually takes 8 ms for a transaction, and 60 times as long
/// when the store is slow.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// Timeout for reading one page of rows. A read takes half as long as a transaction.
const READ_TIMEOUT_MS: u64 = 1_000;
/// Time in milliseconds that is added to the requested wait of a feed call to get the timeout of
/// the call.
pub const FEED_SLACK_MS: u64 = 1_000;
/// Timeout of a feed call whose wait is 0, to which the store responds at once. Hosts use such
/// calls to probe whether the store is reachable again, and a probe must not hang on a connection
/// that a network failure has silently broken.
const PROBE_TIMEOUT_MS: u64 = 500;
/// Maximum number of rows that one read requests.
const PAGE_ROWS: usize = 500;
/// Default partition of a table. A transaction covers rows of one partition only, and each
/// partition accepts a bounded number of writes per second.
pub const DEFAULT_PARTITION: &str = "";

/// Row of the store, decoded from its wire form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key of the row, unique within its table and partition.
    pub key: String,
    /// Content of the row; empty if the row was removed or if its content is not valid base64.
    pub value: Vec<u8>,
    /// Version of the store at the row's last change.
    pub version: u64,
    /// True if the row was removed; only feeds return such rows.
    pub removed: bool,
}

/// Condition of a transaction: a row must have a given version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expect<'a> {
    /// Name of the table that contains the row.
    pub table: &'a str,
    /// Key of the row within the table and the transaction's partition.
    pub key: &'a str,
    /// Version that the row must have; 0 if the row must not exist.
    pub version: u64,
}

/// Write of a transaction: a row is created or replaced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Put<'a> {
    /// Name of the table that contains the row.
    pub table: &'a str,
    /// Key of the row within the table and the transaction's partition.
    pub key: &'a str,
    /// New content of the row, which replaces the old one completely.
    pub value: &'a [u8],
}

/// Removal of a row by a transaction, identified by table and key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remove<'a> {
    /// Name of the table that contains the row.
    pub table: &'a str,
    /// Key of the row within the table and the transaction's partition.
    pub key: &'a str,
}

/// Atomic transaction: if all conditions hold, all writes and removals take effect, otherwise none.
#[derive(Clone, Debug, Default)]
pub struct Transaction<'a> {
    /// Partition that contains all rows of the transaction; empty for [`DEFAULT_PARTITION`].
    pub part: &'a str,
    /// Conditions on rows; if one of the conditions does not hold, the transaction changes no row.
    pub expect: Vec<Expect<'a>>,
    /// Rows to create or replace.
    pub puts: Vec<Put<'a>>,
    /// Rows to remove; may be empty.
    pub removals: Vec<Remove<'a>>,
}

/// Outcome of a transaction that the store has decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// The transaction took effect: all its writes and removals were made.
    Done {
        /// Version of the store after the transaction, which all rows that it wrote have.
        version: u64,
    },
    /// A condition did not hold, so the transaction changed no row.
    Conflict {
        /// Current state of the rows that the conditions refer to; rows that do not exist are left
        /// out.
        rows: Vec<Row>,
    },
}

/// Rows of a table, or the changes of a table after a version.
#[derive(Clone, Debug)]
pub struct Rows {
    /// Rows that were read; if the rows are changes, they are in the order of their versions.
    pub rows: Vec<Row>,
    /// Version of the store up to which the rows are current.
    pub version: u64,
}

impl Rows {
    /// Returns true if the response contains the maximum number of rows, so that the store may have
    /// more.
    pub fn is_full_page(&self) -> bool {
        self.rows.len() >= PAGE_ROWS
    }
}

/// Response of a change feed (a long poll for the changes after a version).
#[derive(Clone, Debug)]
pub enum Feed {
    /// Changes in the order of their versions, possibly none.
    Changes(Rows),
    /// The store no longer has the changes after the requested version, so the whole table must be
    /// read again.
    HistoryGone,
}

/// Kind of a call to the store; calls are counted by kind, because the platform charges for each
/// call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Read of one page of rows; reading a large table takes several such calls.
    Read,
    /// Call of a change feed. The store holds the call until there are changes or the requested
    /// wait has passed.
    Feed,
    /// Transaction, with or without conditions.
    Transaction,
}

impl CallKind {
    /// Returns the name by which metrics report this kind of call.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Feed => "feed",
            Self::Transaction => "transaction",
        }
    }
}

/// Client of the platform's store, which also counts its calls. Concurrent calls use separate
/// connections.
#[derive(Debug)]
pub struct Store {
    link: Link,
    /// Number of calls so far by kind and table. A transaction counts for the table of its first
    /// write.
    calls: Mutex<BTreeMap<(CallKind, String), u64>>,
}

impl Store {
    /// Creates a client that connects on its first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            link: Link::new(address).for_rows(),
            calls: Mutex::default(),
        }
    }

    /// Returns the number of calls so far by kind and table. Refused calls count as well, because
    /// the platform charges for each call.
    pub fn calls(&self) -> Vec<(CallKind, String, u64)> {
        let calls = self.call_counts();
        let calls = calls.iter();
        calls
            .map(|((kind, table), calls)| (*kind, table.clone(), *calls))
            .collect()
    }

    fn count(&self, kind: CallKind, table: &str) {
        *self
            .call_counts()
            .entry((kind, table.to_owned()))
            .or_default() += 1;
    }

    fn call_counts(&self) -> MutexGuard<'_, BTreeMap<(CallKind, String), u64>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads all rows of the default partition of a table.
    pub async fn table(&self, table: &str) -> Result<Rows> {
        self.table_partition(table, DEFAULT_PARTITION).await
    }

    /// Reads all rows of a partition of a table, page by page. The returned version is the store's
    /// version at the first page. A feed call after that version returns all changes that were made
    /// while the later pages were read.
    pub async fn table_partition(&self, table: &str, part: &str) -> Result<Rows> {
        let mut all = Rows {
            rows: Vec::new(),
            version: 0,
        };
        let mut from = String::new();
        loop {
            let path = format!("/rows-get?table={table}&part={part}&from={from}&limit={PAGE_ROWS}");
            self.count(CallKind::Read, table);
            let page: WireRows = self.get(&path, READ_TIMEOUT_MS).await?;
            // Takes the version of the first page, because a feed after that version returns all
            // changes that were made while later pages were read.
            if all.rows.is_empty() {
                all.version = page.ver;
            }
            let Some(last) = page.rows.last() else {
                return Ok(all);
            };
            // The next page starts at the smallest key that is greater than the last key of this
            // page.
            from = format!("{}%00", encoded(&last.key_file));
            all.rows.extend(decode_rows(page.rows));
            if !page.has_more {
                return Ok(all);
            }
        }
    }

    /// Reads the rows of a table whose keys are between `first` and `last`, both included. Returns
    /// at most one page of rows.
    pub async fn range(&self, table: &str, part: &str, first: &str, last: &str) -> Result<Rows> {
        let path = format!(
            "/rows-get?table={table}&part={part}&from={first}&toVersion={last}%00&limit={PAGE_ROWS}"
        );
        self.count(CallKind::Read, table);
        let page: WireRows = self.get(&path, READ_TIMEOUT_MS).await?;
        Ok(Rows {
            rows: decode_rows(page.rows),
            version: page.ver,
        })
    }

    /// Makes a feed call: waits up to `wait_ms` for changes of a table after version `after`. Sets
    /// `head_received` to true when the head of the response has arrived.
    pub async fn feed(
        &self,
        table: &str,
        after: u64,
        wait_ms: u64,
        head_received: &AtomicBool,
    ) -> Result<Feed> {
        self.count(CallKind::Feed, table);
        let path = format!("/rows-feed?table={table}&after={after}&waitMs={wait_ms}");
        let slack_ms = if wait_ms == 0 {
            PROBE_TIMEOUT_MS
        } else {
            FEED_SLACK_MS
        };
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let response = self
            .link
            .call_with_head_flag(request, wait_ms + slack_ms, head_received);
        let response = response.await?;
        if response.status == StatusCode::GONE {
            return Ok(Feed::HistoryGone);
        }
        let changes: WireRows = self.decode(response)?;
        Ok(Feed::Changes(Rows {
            rows: decode_rows(changes.rows),
            version: changes.ver,
        }))
    }

    /// Runs a transaction. After an error for which [`Error::may_have_run`] returns true, the
    /// transaction may have taken effect. The transaction may also take effect seconds later, if
    /// its conditions hold at that time.
    pub async fn transact(&self, transaction: &Transaction<'_>) -> Result<TransactionOutcome> {
        self.transact_within(transaction, CALL_TIMEOUT_MS).await
    }

    /// Runs a transaction as [`Store::transact`] does, but with the given timeout.
    pub async fn transact_within(
        &self,
        transaction: &Transaction<'_>,
        timeout_ms: u64,
    ) -> Result<TransactionOutcome> {
        let body = serde_json::to_vec(&encode(transaction)).map_err(|error| Error::Document {
            what: "transaction".to_owned(),
            message: error.to_string(),
        })?;
        let table = transaction.puts.first().map_or("", |put| put.table);
        self.count(CallKind::Transaction, table);
        let response = self.send(Method::POST, "/rows-tx", body.into(), timeout_ms);
        let response = response.await?;
        if response.status == StatusCode::PRECONDITION_FAILED {
            let found: WireRows = self.parse(&response.body)?;
            let rows = decode_rows(found.rows);
            return Ok(TransactionOutcome::Conflict { rows });
        }
        let done: WireRows = self.decode(response)?;
        Ok(TransactionOutcome::Done { version: done.ver })
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, timeout_ms: u64) -> Result<T> {
        let response = self
            .send(Method::GET, path, Bytes::new(), timeout_ms)
            .await?;
        self.decode(response)
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout_ms: u64,
    ) -> Result<BufferedResponse> {
        let request = self.request(method, path, body)?;
        self.link.call(request, timeout_ms).await
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Full<Bytes>>> {
        let address = self.link.address();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body));
        request.map_err(|error| Error::Document {
            what: "call".to_owned(),
            message: error.to_string(),
        })
    }

    fn decode<T: DeserializeOwned>(&self, response: BufferedResponse) -> Result<T> {
        if response.status != StatusCode::OK {
            return StatusSnafu {
                address: self.link.address(),
                status: response.status,
            }
            .fail();
        }
        self.parse(&response.body)
    }

    fn parse<T: DeserializeOwned>(&self, body: &[u8]) -> Result<T> {
        serde_json::from_slice(body).map_err(|error| {
            DecodeSnafu {
                address: self.link.address(),
                message: error.to_string(),
            }
            .build()
        })
    }
}

/// Bytes of a key that are encoded in the query of a URI: all but the unreserved ones.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Returns a key as a value in the query of a URI. Other programs may have written keys with characters
/// that have a meaning there, or that no URI has.
fn encoded(key: &str) -> PercentEncode<'_> {
    utf8_percent_encode(key, ENCODED)
}

/// Decodes the rows of a response. A row whose content is not valid base64 gets empty content, so
/// that one invalid row does not make the other rows unusable.
fn decode_rows(rows: Vec<WireRow>) -> Vec<Row> {
    rows.into_iter().map(decode_row).collect()
}

fn decode_row(row: WireRow) -> Row {
    let value = BASE64_STANDARD.decode(&row.value);
    let value = value.unwrap_or_else(|error| {
        log::warn!(
            "the content of row {} is not valid base64: {error}",
            row.key_file
        );
        Vec::new()
    });
    Row {
        key: row.key_file,
        value,
        version: row.ver,
        removed: row.deleted,
    }
}

fn encode<'a>(transaction: &Transaction<'a>) -> WireTransaction<'a> {
    let expect = transaction.expect.iter().map(|expect| WireExpect {
        table: expect.table,
        part: transaction.part,
        key_file: expect.key,
        ver: expect.version,
    });
    let puts = transaction.puts.iter().map(|put| WirePut {
        table: put.table,
        part: transaction.part,
        key_file: put.key,
        value: BASE64_STANDARD.encode(put.value),
    });
    let removals = transaction.removals.iter().map(|removal| WireRemove {
        table: removal.table,
        part: transaction.part,
        key_file: removal.key,
    });
    WireTransaction {
        expect_rev: expect.collect(),
        puts: puts.collect(),
        remove: removals.collect(),
    }
}
