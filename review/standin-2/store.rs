//! Stand-in of the platform's store: rows, conditional transactions and change feeds.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message, response},
    json::{Json, base64, quoted},
};

/// Time that the store takes for a read, as on the users' sheet.
const READ_TIME: Duration = Duration::from_millis(4);
/// Time that the store takes for a transaction, as on the users' sheet.
const TRANSACTION_TIME: Duration = Duration::from_millis(8);
/// Time for which the store keeps its history, as on the users' sheet.
const HISTORY: Duration = Duration::from_secs(20);
/// Maximum number of rows in a response.
const ROWS_MAX: usize = 500;

/// Table, partition and key of a row.
type Key = (String, String, String);

#[derive(Clone)]
struct Row {
    value: String,
    version: u64,
}

#[derive(Clone)]
struct Change {
    key: Key,
    version: u64,
    /// Content in base64; `None` if the row was removed.
    value: Option<String>,
    at: Instant,
}

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<Key, Row>,
    changes: Vec<Change>,
    /// Version of the latest change that is no longer in the history.
    forgotten: u64,
}

impl Rows {
    fn set(&mut self, key: Key, value: Option<String>) {
        match &value {
            Some(value) => {
                let row = Row {
                    value: value.clone(),
                    version: self.version,
                };
                self.rows.insert(key.clone(), row);
            }
            None => {
                if self.rows.remove(&key).is_none() {
                    return;
                }
            }
        }
        let change = Change {
            key,
            version: self.version,
            value,
            at: Instant::now(),
        };
        self.changes.push(change);
        let kept = self
            .changes
            .iter()
            .position(|change| change.at.elapsed() < HISTORY);
        let gone = kept.unwrap_or(0);
        if let Some(last) = self.changes.drain(..gone).next_back() {
            self.forgotten = last.version;
        }
    }
}

/// Store of the platform, shared by all of its connections.
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
    /// Number of the latest silence; connections of earlier ones say nothing further.
    silence: AtomicU64,
    /// True while feeds hear nothing of changes.
    is_deaf: AtomicBool,
    /// Number of the latest cut of the waiting feeds.
    cut: AtomicU64,
}

/// Answer of the store to a call.
enum Answer {
    Bytes(Vec<u8>),
    /// The connection stays open and says nothing further.
    Silence,
    /// The connection is closed without an answer.
    Cut,
}

impl Store {
    /// Starts a store on a free port of the loopback address.
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let store = Arc::new(Self {
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
            silence: AtomicU64::new(0),
            is_deaf: AtomicBool::new(false),
            cut: AtomicU64::new(0),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                let silence = store.silence.load(Ordering::SeqCst);
                thread::spawn(move || store.serve(Connection::new(stream), silence));
            }
        });
        (store, address)
    }

    /// Makes all open connections silent for good, without a reset. New connections work.
    pub fn silence_open_connections(&self) {
        self.silence.fetch_add(1, Ordering::SeqCst);
    }

    /// Lets the feeds hear nothing of changes from now on.
    pub fn deafen_feeds(&self) {
        self.is_deaf.store(true, Ordering::SeqCst);
    }

    /// Forgets the history, cuts the waiting feeds, and lets further ones hear of changes again.
    pub fn forget_history(&self) {
        let mut rows = self.lock();
        rows.changes.clear();
        rows.forgotten = rows.version;
        self.cut.fetch_add(1, Ordering::SeqCst);
        self.is_deaf.store(false, Ordering::SeqCst);
        drop(rows);
        self.changed.notify_all();
    }

    /// Writes a row, or removes it if there is no content.
    pub fn set(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.lock();
        rows.version += 1;
        let value = value.map(|value| base64(value.as_bytes()));
        rows.set((table.to_owned(), String::new(), key.to_owned()), value);
        drop(rows);
        self.changed.notify_all();
    }

    /// Returns the content of a row in base64.
    pub fn get(&self, table: &str, key: &str) -> Option<String> {
        let key = (table.to_owned(), String::new(), key.to_owned());
        self.lock().rows.get(&key).map(|row| row.value.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.lock().expect("no thread panics with the lock")
    }

    fn is_silent(&self, silence: u64) -> bool {
        self.silence.load(Ordering::SeqCst) != silence
    }

    fn serve(&self, mut connection: Connection, silence: u64) {
        while let Ok(Some(request)) = connection.read() {
            let mut answer = self.answer(&request, silence);
            if self.is_silent(silence) {
                answer = Answer::Silence;
            }
            match answer {
                Answer::Bytes(bytes) => {
                    if connection.write(&bytes).is_err() {
                        return;
                    }
                }
                Answer::Silence => loop {
                    thread::sleep(Duration::from_secs(60));
                },
                Answer::Cut => return,
            }
        }
    }

    fn answer(&self, request: &Message, silence: u64) -> Answer {
        if self.is_silent(silence) {
            return Answer::Silence;
        }
        let path = request.word(1).split('?').next().unwrap_or_default();
        match path {
            "/rows-get" => {
                thread::sleep(READ_TIME);
                Answer::Bytes(self.read(request))
            }
            "/rows-tx" => {
                thread::sleep(TRANSACTION_TIME);
                if self.is_silent(silence) {
                    return Answer::Silence;
                }
                Answer::Bytes(self.transact(request))
            }
            "/rows-feed" => self.feed(request, silence),
            _ => Answer::Bytes(response(404, &[], b"")),
        }
    }

    fn read(&self, request: &Message) -> Vec<u8> {
        let parameter = |name: &str| request.query(name).unwrap_or_default();
        let (table, part) = (parameter("table"), parameter("part"));
        let (from, until) = (parameter("from"), request.query("toVersion"));
        let limit = parameter("limit").parse().unwrap_or(ROWS_MAX).min(ROWS_MAX);
        let rows = self.lock();
        let wanted = rows.rows.iter().filter(|((of, in_part, key), _)| {
            let before = until
                .as_ref()
                .is_none_or(|until| until.is_empty() || key < until);
            *of == table && *in_part == part && *key >= from && before
        });
        let found: Vec<String> = wanted
            .take(limit + 1)
            .map(|(key, row)| written_row(key, Some(&row.value), row.version))
            .collect();
        let has_more = found.len() > limit;
        let listed = found[..found.len().min(limit)].join(",");
        let body = format!(
            "{{\"rows\":[{listed}],\"hasMore\":{has_more},\"ver\":{},\"now\":{}}}",
            rows.version,
            self.now()
        );
        response(200, &JSON, body.as_bytes())
    }

    fn transact(&self, request: &Message) -> Vec<u8> {
        let Some(wanted) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return response(400, &[], b"");
        };
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("keyFile"));
        let mut rows = self.lock();
        let version_of =
            |rows: &Rows, row: &Json| rows.rows.get(&key(row)).map_or(0, |r| r.version);
        let expected = wanted.list("expectRev");
        if expected
            .iter()
            .any(|row| version_of(&rows, row) != row.number("ver"))
        {
            let present: Vec<String> = expected
                .iter()
                .filter_map(|row| {
                    let key = key(row);
                    let found = rows.rows.get(&key)?;
                    Some(written_row(&key, Some(&found.value), found.version))
                })
                .collect();
            let body = format!(
                "{{\"rows\":[{}],\"ver\":{},\"now\":{}}}",
                present.join(","),
                rows.version,
                self.now()
            );
            return response(412, &JSON, body.as_bytes());
        }
        rows.version += 1;
        for row in wanted.list("puts") {
            rows.set(key(row), Some(row.text("value")));
        }
        for row in wanted.list("remove") {
            rows.set(key(row), None);
        }
        let body = format!("{{\"ver\":{},\"now\":{}}}", rows.version, self.now());
        drop(rows);
        self.changed.notify_all();
        response(200, &JSON, body.as_bytes())
    }

    fn feed(&self, request: &Message, silence: u64) -> Answer {
        let table = request.query("table").unwrap_or_default();
        let number = |name: &str| request.query(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let wait = Duration::from_millis(number("waitMs").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        thread::sleep(READ_TIME);
        let cut = self.cut.load(Ordering::SeqCst);
        let mut rows = self.lock();
        loop {
            if self.is_silent(silence) {
                return Answer::Silence;
            }
            if self.cut.load(Ordering::SeqCst) != cut {
                return Answer::Cut;
            }
            if after < rows.forgotten {
                return Answer::Bytes(response(410, &[], b""));
            }
            let is_deaf = self.is_deaf.load(Ordering::SeqCst);
            let of_table = |change: &&Change| change.key.0 == table && change.version > after;
            let mut latest: BTreeMap<&Key, &Change> = BTreeMap::new();
            for change in rows.changes.iter().filter(of_table) {
                latest.insert(&change.key, change);
            }
            let mut found: Vec<&Change> = latest.into_values().collect();
            found.sort_by_key(|change| change.version);
            let left = until.saturating_duration_since(Instant::now());
            if is_deaf {
                found.clear();
            }
            if !found.is_empty() || left.is_zero() && !is_deaf {
                let listed: Vec<String> = found
                    .iter()
                    .map(|change| written_row(&change.key, change.value.as_deref(), change.version))
                    .collect();
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{},\"now\":{}}}",
                    listed.join(","),
                    rows.version,
                    self.now()
                );
                return Answer::Bytes(response(200, &JSON, body.as_bytes()));
            }
            let pause = left.min(Duration::from_millis(20));
            rows = self
                .changed
                .wait_timeout(rows, pause)
                .expect("no thread panics")
                .0;
        }
    }

    fn now(&self) -> String {
        quoted(&format!("{}ms", self.began.elapsed().as_millis()))
    }
}

const JSON: [(&str, &str); 1] = [("Content-Type", "application/json")];

fn written_row((table, part, key): &Key, value: Option<&str>, version: u64) -> String {
    let rest = match value {
        Some(value) => format!("\"value\":{}", quoted(value)),
        None => "\"deleted\":true".to_owned(),
    };
    format!(
        "{{\"table\":{},\"part\":{},\"keyFile\":{},\"ver\":{version},{rest}}}",
        quoted(table),
        quoted(part),
        quoted(key)
    )
}
