//! Stand-in of the platform: table service, object store and a list of hosts that can lag behind
//! the actual hosts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    ops::Bound,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time;

use super::Running;
use crate::{
    clock,
    store::message::{
        Expect, HOSTS_PATH, HostList, OBJECT_PATH, RANGE_PATH, RangeRead, Row, Rows, TRANSACT_PATH,
        Transaction, TransactionOutcome,
    },
    transport::{self, ResponseBody},
};

/// Path of the endpoint that sets the [`Faults`] of the stand-in (POST).
pub const FAULTS_PATH: &str = "/faults";
/// Path of the endpoint that returns the [`Counters`] of calls to the stand-in (GET).
pub const COUNTERS_PATH: &str = "/counters";

/// Time in milliseconds for which requests in flight may continue when the stand-in is stopped.
const STOP_DRAIN_MS: u64 = 100;
/// Maximum size of a request body in bytes, large enough for a snapshot of the state.
const BODY_BYTES_MAX: usize = 64 * 1024 * 1024;

/// Faults that the stand-in injects until other faults are set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The platform is down: no call takes effect or gets a response until the fault ends.
    pub down: bool,
    /// Delay in milliseconds before each call takes effect.
    pub slow_ms: u64,
    /// Interval of lost responses: every n-th transaction, if its conditions hold, takes effect but
    /// gets no response; 0 to lose no response.
    pub lose_answer_every: u64,
    /// Age in milliseconds of the list of hosts that readers get; 0 for the current list.
    pub list_lag_ms: u64,
}

/// Numbers of calls that the stand-in has received since its start.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct Counters {
    /// Number of range reads of the table service.
    pub reads: u64,
    /// Number of transactions, refused ones included.
    pub transactions: u64,
    /// Number of transactions that took effect.
    pub committed: u64,
    /// Number of transactions whose response was dropped by the fault `lose_answer_every`.
    pub lost_answers: u64,
}

#[derive(Debug, Default)]
struct Table {
    rows: BTreeMap<String, (u64, String)>,
    objects: BTreeMap<String, Bytes>,
    lists: Vec<(u64, HostList)>,
    faults: Faults,
    counters: Counters,
}

#[derive(Clone, Debug, Default)]
struct Store {
    table: Arc<Mutex<Table>>,
}

/// Starts the stand-in on `listen` in this process; fails if the address cannot be bound.
pub async fn start(listen: SocketAddr) -> std::io::Result<Running> {
    let store = Store::default();
    Running::start(listen, STOP_DRAIN_MS, move |request| {
        let store = store.clone();
        async move { store.answer(request).await }
    })
    .await
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, Table> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match request.uri().path() {
            FAULTS_PATH => return self.set_faults(request).await,
            COUNTERS_PATH => return transport::json(StatusCode::OK, &self.lock().counters),
            _ => {}
        }
        self.delay().await;
        match self.dispatch(request).await {
            Ok(answer) => answer,
            Err(answer) => answer,
        }
    }

    async fn set_faults(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        match transport::read_json::<Faults>(request, BODY_BYTES_MAX).await {
            Ok(faults) => {
                self.lock().faults = faults;
                transport::json(StatusCode::OK, &faults)
            }
            Err(answer) => answer,
        }
    }

    async fn delay(&self) {
        let faults = self.lock().faults;
        if faults.slow_ms > 0 {
            time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        // Sends no response, as in a network partition. Callers notice the fault by their own
        // timeouts.
        while self.lock().faults.down {
            time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn dispatch(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Response<ResponseBody>> {
        let path = request.uri().path().to_owned();
        match (request.method().clone(), path.as_str()) {
            (Method::POST, TRANSACT_PATH) => {
                let transaction = transport::read_json(request, BODY_BYTES_MAX).await?;
                let (outcome, lost) = self.lock().transact(transaction);
                if lost {
                    time::sleep(Duration::from_secs(3600)).await;
                }
                Ok(transport::json(StatusCode::OK, &outcome))
            }
            (Method::POST, RANGE_PATH) => {
                let read = transport::read_json(request, BODY_BYTES_MAX).await?;
                Ok(transport::json(StatusCode::OK, &self.lock().range(&read)))
            }
            (Method::GET, HOSTS_PATH) => Ok(transport::json(StatusCode::OK, &self.lock().hosts())),
            (Method::POST, HOSTS_PATH) => {
                let list: HostList = transport::read_json(request, BODY_BYTES_MAX).await?;
                self.lock().lists.push((clock::now_ms(), list));
                Ok(transport::json(StatusCode::OK, &()))
            }
            (method, path) => self.object(method, path, request).await,
        }
    }

    async fn object(
        &self,
        method: Method,
        path: &str,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Response<ResponseBody>> {
        let not_found = || transport::buffered(StatusCode::NOT_FOUND, "text/plain", Bytes::new());
        let name = path.strip_prefix(OBJECT_PATH).ok_or_else(not_found)?;
        if method != Method::PUT {
            let body = self.lock().objects.get(name).cloned();
            let body = body.ok_or_else(not_found)?;
            return Ok(transport::buffered(
                StatusCode::OK,
                "application/octet-stream",
                body,
            ));
        }
        let body = request.into_body().collect().await.map_err(|error| {
            transport::buffered(
                StatusCode::BAD_REQUEST,
                "text/plain",
                error.to_string().into(),
            )
        })?;
        self.lock().objects.insert(name.to_owned(), body.to_bytes());
        Ok(transport::json(StatusCode::OK, &()))
    }
}

impl Table {
    /// Runs a transaction. The returned flag is true if the transaction's response must be dropped
    /// because of the fault `lose_answer_every`.
    fn transact(&mut self, transaction: Transaction) -> (TransactionOutcome, bool) {
        self.counters.transactions += 1;
        let conflicts = self.conflicts(&transaction);
        if !conflicts.is_empty() {
            return (TransactionOutcome::Conflict { keys: conflicts }, false);
        }
        for write in transaction.writes {
            self.write(write.key, write.value);
        }
        self.counters.committed += 1;
        let every = self.faults.lose_answer_every;
        let lost = every > 0 && self.counters.transactions.is_multiple_of(every);
        self.counters.lost_answers += u64::from(lost);
        (TransactionOutcome::Committed, lost)
    }

    fn conflicts(&self, transaction: &Transaction) -> Vec<String> {
        let fails = |key: &str, expect: Expect| match (expect, self.rows.get(key)) {
            (Expect::Absent, found) => found.is_some(),
            (Expect::Version(version), found) => found.map(|row| row.0) != Some(version),
        };
        transaction
            .conditions
            .iter()
            .filter(|condition| fails(&condition.key, condition.expect))
            .map(|condition| condition.key.clone())
            .collect()
    }

    fn write(&mut self, key: String, value: Option<String>) {
        let Some(value) = value else {
            self.rows.remove(&key);
            return;
        };
        let row = self.rows.entry(key).or_default();
        row.0 += 1;
        row.1 = value;
    }

    fn range(&mut self, read: &RangeRead) -> Rows {
        self.counters.reads += 1;
        let start = if read.after < read.prefix {
            Bound::Included(read.prefix.clone())
        } else {
            Bound::Excluded(read.after.clone())
        };
        let rows = self
            .rows
            .range((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&read.prefix))
            .take(read.limit)
            .map(|(key, (version, value))| Row {
                key: key.clone(),
                version: *version,
                value: value.clone(),
            })
            .collect();
        Rows { rows }
    }

    fn hosts(&self) -> HostList {
        let visible_ms = clock::now_ms().saturating_sub(self.faults.list_lag_ms);
        self.lists
            .iter()
            .rev()
            .find(|(at_ms, _)| *at_ms <= visible_ms)
            .map(|(_, list)| list.clone())
            .unwrap_or_default()
    }
}
