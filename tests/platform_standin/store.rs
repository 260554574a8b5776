//! Stand-in of the platform's store: rows, conditional transactions and change feeds, with faults.

use std::{
    borrow::Cow,
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::{Duration, Instant},
};

use ashroad::transport::{self, ListenerLimits, ResponseBody};
use base64::{Engine, prelude::BASE64_STANDARD};
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    runtime,
    sync::{Notify, watch},
    time,
};

use super::next_address;

/// Faults that the store injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// True if calls get no response and have no effect.
    pub silent: bool,
    /// True if calls are rejected with 503 and have no effect.
    pub refusing: bool,
    /// Interval of lost responses: one in this many transactions gets no response but takes effect
    /// if its conditions hold; 0 to lose no response.
    pub lose_response_every: u64,
    /// Minimum time in milliseconds between two transactions of named partitions; transactions that
    /// follow sooner are rejected with 429. 0 for no limit.
    pub part_writes_every_ms: u64,
    /// Delay in milliseconds before each call takes effect.
    pub slow_ms: u64,
    /// Additional delay in milliseconds before a read of rows takes effect.
    pub slow_reads_ms: u64,
}

/// Content of a row.
#[derive(Debug)]
struct StoredRow {
    /// Value in base64.
    value: String,
    version: u64,
    /// The row as JSON in responses. It is encoded once per change: with 1,200 rows, encoding a
    /// response took 50 ms of processor time, so 24 hosts that read them at once got no response
    /// within their timeouts beside other load.
    json: String,
}

/// Contents of the store and its counters.
#[derive(Debug, Default)]
struct Rows {
    /// Version of the latest change.
    version: u64,
    /// Content of each row by table and key.
    rows: BTreeMap<(String, String), StoredRow>,
    /// Partition by table and key; rows without an entry are in the default partition.
    parts: BTreeMap<(String, String), String>,
    /// Changes in the order of their versions: version, table, key.
    changes: Vec<(u64, String, String)>,
    /// Version up to which the history of changes is compacted; a feed from an earlier version is
    /// rejected with 410.
    compacted_version: u64,
    /// Faults that are in effect.
    faults: Faults,
    /// Number of transactions so far, by which the fault `lose_response_every` selects
    /// transactions.
    transactions: u64,
    /// Time of the last transaction of a named partition that was not rejected with 429.
    partition_written_at: Option<Instant>,
    calls: u64,
    /// Number of calls so far by path and table.
    calls_by_path: BTreeMap<String, u64>,
}

/// Stand-in of the platform's store, which runs in the process of the test.
#[derive(Debug)]
pub struct Store {
    /// Address that the store listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    _stop: watch::Sender<bool>,
}

/// State that the store's handlers share.
#[derive(Debug)]
struct State {
    rows: Mutex<Rows>,
    /// Wakes the feeds that wait for a change.
    changed: Notify,
    /// Start of the store, from which the times in its responses are counted.
    started_at: Instant,
}

impl Store {
    /// Starts a store without rows.
    pub async fn start() -> Self {
        let listener = std::net::TcpListener::bind(next_address(0)).expect("listener");
        listener.set_nonblocking(true).expect("listener");
        let address = listener.local_addr().expect("address");
        let state = Arc::new(State {
            rows: Mutex::default(),
            changed: Notify::new(),
            started_at: Instant::now(),
        });
        let (stop, stopped) = watch::channel(false);
        let handled = state.clone();
        let handler = move |request| handled.clone().handle(request);
        // The store has its own thread, so that it responds while the test or a server's stand-in
        // uses the thread of the test.
        thread::spawn(move || {
            let runtime = runtime::Builder::new_current_thread().enable_all().build();
            runtime.expect("a runtime").block_on(async move {
                let listener = TcpListener::from_std(listener).expect("listener");
                transport::serve(listener, ListenerLimits::default(), stopped, handler).await;
            });
        });
        Self {
            address,
            state,
            _stop: stop,
        }
    }

    /// Writes a JSON row, as an operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &Value) {
        self.put_bytes(table, key, value.to_string().as_bytes());
    }

    /// Writes a row with arbitrary content.
    pub fn put_bytes(&self, table: &str, key: &str, value: &[u8]) {
        let text = BASE64_STANDARD.encode(value);
        let mut rows = self.state.rows();
        rows.version += 1;
        rows.write(table, key, Some(text));
        drop(rows);
        self.state.changed.notify_waiters();
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.state.rows();
        rows.version += 1;
        rows.write(table, key, None);
        drop(rows);
        self.state.changed.notify_waiters();
    }

    /// Removes rows in one transaction each, and drops the history before any feed delivers the
    /// removals.
    pub fn remove_without_history(&self, table: &str, keys: &[String]) {
        let mut rows = self.state.rows();
        for key in keys {
            rows.version += 1;
            rows.write(table, key, None);
        }
        rows.compact_history();
        drop(rows);
        self.state.changed.notify_waiters();
    }

    /// Replaces the faults that the store injects.
    pub fn set_faults(&self, faults: Faults) {
        self.state.rows().faults = faults;
    }

    /// Compacts the whole history of changes, so that feeds from earlier versions are rejected and
    /// their callers have to read the table again.
    pub fn compact_history(&self) {
        self.state.rows().compact_history();
        self.state.changed.notify_waiters();
    }

    /// Returns the number of calls by path and table, which a failed test prints to explain its
    /// count.
    pub fn calls_by_kind(&self) -> BTreeMap<String, u64> {
        self.state.rows().calls_by_path.clone()
    }

    /// Returns the content of a row as JSON; `None` if the row is missing or its content is not
    /// JSON.
    pub fn row(&self, table: &str, key: &str) -> Option<Value> {
        let rows = self.state.rows();
        let row = rows.rows.get(&(table.to_owned(), key.to_owned()))?;
        let bytes = BASE64_STANDARD.decode(&row.value).ok()?;
        serde_json::from_slice(&bytes).ok()
    }

    pub fn calls(&self) -> u64 {
        self.state.rows().calls
    }
}

/// Returns the path and table of a call.
fn kind_of(request: &Request<Incoming>) -> String {
    let query = parse_query(request.uri().query().unwrap_or_default());
    let table = query.get("table").map_or("", String::as_str);
    format!("{} {table}", request.uri().path())
}

impl Rows {
    fn write_in(&mut self, part: &str, table: &str, key: &str, value: Option<String>) {
        let row_key = (table.to_owned(), key.to_owned());
        self.parts.insert(row_key, part.to_owned());
        self.write(table, key, value);
    }

    fn part_of(&self, table: &str, key: &str) -> &str {
        let row_key = (table.to_owned(), key.to_owned());
        self.parts.get(&row_key).map_or("", String::as_str)
    }

    fn write(&mut self, table: &str, key: &str, value: Option<String>) {
        let version = self.version;
        let row_key = (table.to_owned(), key.to_owned());
        match value {
            Some(value) => {
                let json = json!({"table": table, "part": "", "keyFile": key, "value": value,
                    "ver": version});
                let row = StoredRow {
                    json: json.to_string(),
                    value,
                    version,
                };
                self.rows.insert(row_key, row);
            }
            None => {
                self.rows.remove(&row_key);
            }
        }
        self.changes
            .push((version, table.to_owned(), key.to_owned()));
    }

    fn compact_history(&mut self) {
        self.compacted_version = self.version;
        self.changes.clear();
    }

    fn json_row(&self, table: &str, key: &str) -> Option<&str> {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()))?;
        Some(&row.json)
    }

    /// Returns true if a transaction of a named partition follows the previous transaction of a
    /// named partition too soon.
    fn is_over_write_rate(&mut self, body: &Value, faults: Faults) -> bool {
        let part = body["puts"][0]["part"].as_str().unwrap_or_default();
        if part.is_empty() || faults.part_writes_every_ms == 0 {
            return false;
        }
        let every = Duration::from_millis(faults.part_writes_every_ms);
        let is_over_write_rate = self
            .partition_written_at
            .is_some_and(|at| at.elapsed() < every);
        if !is_over_write_rate {
            self.partition_written_at = Some(Instant::now());
        }
        is_over_write_rate
    }

    fn transact(&mut self, body: &Value) -> (StatusCode, Answer) {
        let none = Vec::new();
        let list = |name: &str| body[name].as_array().unwrap_or(&none).clone();
        let text = |value: &Value, name: &str| value[name].as_str().unwrap_or_default().to_owned();
        let expects = list("expectRev");
        let holds = expects.iter().all(|expect| {
            let row_key = (text(expect, "table"), text(expect, "keyFile"));
            let version = self.rows.get(&row_key).map_or(0, |row| row.version);
            Some(version) == expect["ver"].as_u64()
        });
        if !holds {
            let rows: Vec<&str> = expects
                .iter()
                .filter_map(|e| self.json_row(&text(e, "table"), &text(e, "keyFile")))
                .collect();
            return (StatusCode::PRECONDITION_FAILED, self.answer(&rows, false));
        }
        self.version += 1;
        for put in list("puts") {
            let value = text(&put, "value");
            let part = text(&put, "part");
            self.write_in(
                &part,
                &text(&put, "table"),
                &text(&put, "keyFile"),
                Some(value),
            );
        }
        for removal in list("remove") {
            self.write(&text(&removal, "table"), &text(&removal, "keyFile"), None);
        }
        (StatusCode::OK, self.answer(&[], false))
    }

    fn answer(&self, rows: &[&str], has_more: bool) -> Answer {
        Answer {
            rows: rows.join(","),
            has_more,
            version: self.version,
        }
    }

    fn get(&self, query: &HashMap<String, String>) -> Answer {
        let table = &query["table"];
        let from = query.get("from").cloned().unwrap_or_default();
        let limit: usize = query
            .get("limit")
            .and_then(|l| l.parse().ok())
            .unwrap_or(500);
        let to = query.get("toVersion");
        let start = (table.clone(), from);
        let mut found = self
            .rows
            .range(start..)
            .take_while(|((t, key), _)| t == table && to.is_none_or(|to| key < to));
        let part = query.get("part").map_or("", String::as_str);
        let rows: Vec<&str> = found
            .by_ref()
            .filter(|((table, key), _)| self.part_of(table, key) == part)
            .take(limit)
            .map(|(_, row)| row.json.as_str())
            .collect();
        self.answer(&rows, found.next().is_some())
    }

    /// Returns the changes of a table after a version; `None` if there are none.
    fn feed(&self, table: &str, after: u64) -> Option<Answer> {
        let known = self
            .changes
            .partition_point(|(version, _, _)| *version <= after);
        let changes = self.changes[known..].iter().filter(|(_, t, _)| t == table);
        let rows = changes.map(|(version, table, key)| match self.json_row(table, key) {
            Some(row) => Cow::Borrowed(row),
            None => {
                let removed = json!({"table": table, "part": "", "keyFile": key, "ver": version,
                    "deleted": true});
                Cow::Owned(removed.to_string())
            }
        });
        let rows: Vec<Cow<'_, str>> = rows.collect();
        let rows: Vec<&str> = rows.iter().map(AsRef::as_ref).collect();
        (!rows.is_empty()).then(|| self.answer(&rows, false))
    }
}

/// Content of a response.
struct Answer {
    /// Rows as JSON, separated by commas.
    rows: String,
    has_more: bool,
    version: u64,
}

impl State {
    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let faults = {
            let mut rows = self.rows();
            rows.calls += 1;
            *rows.calls_by_path.entry(kind_of(&request)).or_default() += 1;
            rows.faults
        };
        let is_read = request.uri().path() == "/rows-get";
        let read_ms = if is_read { faults.slow_reads_ms } else { 0 };
        time::sleep(Duration::from_millis(faults.slow_ms + read_ms)).await;
        if faults.silent {
            return std::future::pending().await;
        }
        if faults.refusing {
            return transport::json(StatusCode::SERVICE_UNAVAILABLE, &json!({}));
        }
        let path = request.uri().path().to_owned();
        let query = parse_query(request.uri().query().unwrap_or_default());
        let body = request.into_body().collect().await;
        let body = body.map(|body| body.to_bytes()).unwrap_or_default();
        match path.as_str() {
            "/rows-tx" => self.transact(&body, faults).await,
            "/rows-get" => self.answer(StatusCode::OK, self.rows().get(&query)),
            "/rows-feed" => self.feed(&query).await,
            _ => transport::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    async fn transact(&self, body: &Bytes, faults: Faults) -> Response<ResponseBody> {
        let Ok(body) = serde_json::from_slice(body) else {
            return transport::json(StatusCode::BAD_REQUEST, &json!({}));
        };
        let (status, answer, lost) = {
            let mut rows = self.rows();
            rows.transactions += 1;
            let every = faults.lose_response_every;
            let lost = every > 0 && rows.transactions.is_multiple_of(every);
            if rows.is_over_write_rate(&body, faults) {
                return transport::json(StatusCode::TOO_MANY_REQUESTS, &json!({}));
            }
            let (status, answer) = rows.transact(&body);
            (status, answer, lost)
        };
        self.changed.notify_waiters();
        if lost {
            return std::future::pending().await;
        }
        self.answer(status, answer)
    }

    async fn feed(&self, query: &HashMap<String, String>) -> Response<ResponseBody> {
        let after: u64 = query.get("after").and_then(|a| a.parse().ok()).unwrap_or(0);
        let wait_ms: u64 = query
            .get("waitMs")
            .and_then(|w| w.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            {
                let rows = self.rows();
                if after < rows.compacted_version {
                    return self.answer(StatusCode::GONE, rows.answer(&[], false));
                }
                let mut found = rows.feed(&query["table"], after);
                if found.is_none() && Instant::now() >= until {
                    found = Some(rows.answer(&[], false));
                }
                if let Some(found) = found {
                    return self.answer(StatusCode::OK, found);
                }
            }
            let left = until.saturating_duration_since(Instant::now());
            if time::timeout(left, changed).await.is_err() {
                continue;
            }
        }
    }

    fn answer(&self, status: StatusCode, answer: Answer) -> Response<ResponseBody> {
        let Answer {
            rows,
            has_more,
            version,
        } = answer;
        let now_ms = self.started_at.elapsed().as_millis();
        let body = format!(
            r#"{{"rows":[{rows}],"hasMore":{has_more},"ver":{version},"now":"{now_ms}ms"}}"#
        );
        transport::buffered(status, "application/json", body.into())
    }
}

fn parse_query(query: &str) -> HashMap<String, String> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    fields
        .map(|(name, value)| {
            (
                name.to_owned(),
                percent_decode_str(value).decode_utf8_lossy().into_owned(),
            )
        })
        .collect()
}
