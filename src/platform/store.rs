//! Client of the platform's store: reads, conditional transactions and change feeds.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicBool},
};

use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{Method, Request, StatusCode, header};
use http_body_util::Full;
use serde::de::DeserializeOwned;

use super::{
    error::{DecodeSnafu, Error, Result, StatusSnafu},
    link::{BufferedResponse, Link},
    wire::{WireExpect, WirePut, WireRemove, WireRow, WireRows, WireTransaction},
};

/// Time for a transaction. The store takes 8 ms as a rule and 60 times as long on its slow days.
const CALL_TIMEOUT_MS: u64 = 2_000;
/// Time for a read of a page, which takes half of that.
const READ_TIMEOUT_MS: u64 = 1_000;
/// Allowance on top of the time that a feed waits at the store.
pub const FEED_SLACK_MS: u64 = 1_000;
/// Allowance for a feed that does not wait: it shows whether the store is back, and must not hang
/// on a connection that a cut has swallowed.
const PROBE_SLACK_MS: u64 = 500;
/// Rows of one page.
const PAGE_ROWS: usize = 500;
/// The usual part: rows that one transaction can cover. Each part takes a bounded number of writes a second.
pub const DEFAULT_PARTITION: &str = "";

/// A row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Content; empty if the row was removed.
    pub value: Vec<u8>,
    /// Version of the row's last change.
    pub version: u64,
    /// True if the row was removed.
    pub removed: bool,
}

/// Row that a transaction depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expect<'a> {
    /// Table.
    pub table: &'a str,
    /// Key.
    pub key: &'a str,
    /// Version that the row must have; 0 if it must not exist.
    pub version: u64,
}

/// Row that a transaction writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Put<'a> {
    /// Table.
    pub table: &'a str,
    /// Key.
    pub key: &'a str,
    /// Content.
    pub value: &'a [u8],
}

/// Row that a transaction removes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Remove<'a> {
    /// Table.
    pub table: &'a str,
    /// Key.
    pub key: &'a str,
}

/// Transaction: all of it takes effect or nothing.
#[derive(Clone, Debug, Default)]
pub struct Transaction<'a> {
    /// Part of the tables in which all rows lie; empty for the usual one.
    pub part: &'a str,
    /// Conditions.
    pub expect: Vec<Expect<'a>>,
    /// Writes.
    pub puts: Vec<Put<'a>>,
    /// Removals.
    pub removals: Vec<Remove<'a>>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransactionOutcome {
    /// It took effect; its rows have this version now.
    Done {
        /// Version of the transaction.
        version: u64,
    },
    /// A condition does not hold.
    Conflict {
        /// Rows of the conditions as they are; absent rows are missing.
        rows: Vec<Row>,
    },
}

/// All rows of a table, or what changed in it.
#[derive(Clone, Debug)]
pub struct Rows {
    /// Rows.
    pub rows: Vec<Row>,
    /// Version of the store at which they stood so.
    pub version: u64,
}

impl Rows {
    /// True if there are as many rows as an answer has at most, so that more may wait at the store.
    pub fn is_full_page(&self) -> bool {
        self.rows.len() >= PAGE_ROWS
    }
}

/// Answer of a change feed.
#[derive(Clone, Debug)]
pub enum Feed {
    /// Changes in order, possibly none.
    Changes(Rows),
    /// The store has forgotten what changed since the version asked for.
    HistoryGone,
}

/// Kind of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallKind {
    /// Page of a table.
    Read,
    /// Change feed.
    Feed,
    /// Transaction.
    Transaction,
}

impl CallKind {
    /// Name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => "read",
            Self::Feed => "feed",
            Self::Transaction => "transaction",
        }
    }
}

/// Client of the store. Calls that overlap use connections of their own.
#[derive(Debug)]
pub struct Store {
    link: Link,
    /// Calls so far by kind and table; those of a transaction count for the first that it writes.
    calls: Mutex<BTreeMap<(CallKind, String), u64>>,
}

impl Store {
    /// A client that is not connected yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            link: Link::new(address),
            calls: Mutex::default(),
        }
    }

    /// Calls so far by kind and table, refused ones included: each is priced.
    pub fn calls(&self) -> Vec<(CallKind, String, u64)> {
        let calls = self.counted();
        let calls = calls.iter();
        calls
            .map(|((kind, table), calls)| (*kind, table.clone(), *calls))
            .collect()
    }

    fn count(&self, kind: CallKind, table: &str) {
        *self.counted().entry((kind, table.to_owned())).or_default() += 1;
    }

    fn counted(&self) -> MutexGuard<'_, BTreeMap<(CallKind, String), u64>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads all rows of the usual part of a table at one version.
    pub async fn table(&self, table: &str) -> Result<Rows> {
        self.table_partition(table, DEFAULT_PARTITION).await
    }

    /// Reads all rows of a part of a table at one version.
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
            // Changes after the first page's version come again by the feed.
            if all.rows.is_empty() {
                all.version = page.ver;
            }
            let Some(last) = page.rows.last() else {
                return Ok(all);
            };
            // The least key that is greater than the last one.
            from = format!("{}%00", last.key_file);
            all.rows.extend(decode_rows(page.rows));
            if !page.has_more {
                return Ok(all);
            }
        }
    }

    /// Reads the rows of a table whose keys lie between two, both included: a page at most.
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

    /// Waits up to `wait_ms` for changes of a table after a version, and notes when the answer has
    /// begun.
    pub async fn feed(
        &self,
        table: &str,
        after: u64,
        wait_ms: u64,
        begun: &AtomicBool,
    ) -> Result<Feed> {
        self.count(CallKind::Feed, table);
        let path = format!("/rows-feed?table={table}&after={after}&waitMs={wait_ms}");
        let slack_ms = if wait_ms == 0 {
            PROBE_SLACK_MS
        } else {
            FEED_SLACK_MS
        };
        let request = self.request(Method::GET, &path, Bytes::new())?;
        let answer = self
            .link
            .call_noting_start(request, wait_ms + slack_ms, begun);
        let answer = answer.await?;
        if answer.status == StatusCode::GONE {
            return Ok(Feed::HistoryGone);
        }
        let changes: WireRows = self.decode(answer)?;
        Ok(Feed::Changes(Rows {
            rows: decode_rows(changes.rows),
            version: changes.ver,
        }))
    }

    /// Runs a transaction. After an error for which [`Error::may_have_run`] holds it may have
    /// taken effect, or may do so seconds later if its conditions still hold then.
    pub async fn transact(&self, transaction: &Transaction<'_>) -> Result<TransactionOutcome> {
        self.transact_within(transaction, CALL_TIMEOUT_MS).await
    }

    /// Does the same with a time of the caller's choice for the answer.
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
        let answer = self.send(Method::POST, "/rows-tx", body.into(), timeout_ms);
        let answer = answer.await?;
        if answer.status == StatusCode::PRECONDITION_FAILED {
            let found: WireRows = self.parse(&answer.body)?;
            let rows = decode_rows(found.rows);
            return Ok(TransactionOutcome::Conflict { rows });
        }
        let done: WireRows = self.decode(answer)?;
        Ok(TransactionOutcome::Done { version: done.ver })
    }

    async fn get<T: DeserializeOwned>(&self, path: &str, timeout_ms: u64) -> Result<T> {
        let answer = self
            .send(Method::GET, path, Bytes::new(), timeout_ms)
            .await?;
        self.decode(answer)
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

    fn decode<T: DeserializeOwned>(&self, answer: BufferedResponse) -> Result<T> {
        if answer.status != StatusCode::OK {
            return StatusSnafu {
                address: self.link.address(),
                status: answer.status,
            }
            .fail();
        }
        self.parse(&answer.body)
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

/// Rows of an answer. One whose content is no base64 has none, so that it does not sink the others.
fn decode_rows(rows: Vec<WireRow>) -> Vec<Row> {
    rows.into_iter().map(decode_row).collect()
}

fn decode_row(row: WireRow) -> Row {
    let value = BASE64_STANDARD.decode(&row.value);
    let value = value.unwrap_or_else(|error| {
        log::warn!(
            "the content of row {} cannot be read: {error}",
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
