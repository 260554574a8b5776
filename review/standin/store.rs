//! Stand-in of the platform's store: tables of rows, transactions and feeds.

use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use super::{
    http::{self, Request, read_request, response},
    json::{Json, base64, quoted},
};

/// Table, partition and key of a row.
type Place = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    /// Value in base64 and version of each row.
    rows: BTreeMap<Place, (String, u64)>,
    /// Changes in the order of their versions. The value is `None` for a removed row.
    changes: Vec<(u64, Place, Option<String>)>,
}

struct Shared {
    rows: Mutex<Rows>,
    changed: Condvar,
    began: Instant,
}

/// Store that listens on a loopback address. Clones share the rows.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    pub fn start(address: SocketAddr) -> Store {
        let listener = TcpListener::bind(address).expect("the store's listener");
        let shared = Arc::new(Shared {
            rows: Mutex::default(),
            changed: Condvar::new(),
            began: Instant::now(),
        });
        let store = Store {
            address: listener.local_addr().expect("address"),
            shared,
        };
        let served = store.clone();
        http::serve(listener, move |stream| served.serve(stream));
        store
    }

    /// Writes a row, as an operator or a server does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        let place = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows();
        rows.version += 1;
        rows.write(place, base64(value.as_bytes()));
        drop(rows);
        self.shared.changed.notify_all();
    }

    /// Removes a row, as the platform does when a server's pings have stopped.
    pub fn remove(&self, table: &str, key: &str) {
        let place = (table.to_owned(), String::new(), key.to_owned());
        let mut rows = self.rows();
        rows.version += 1;
        let version = rows.version;
        rows.rows.remove(&place);
        rows.changes.push((version, place, None));
        drop(rows);
        self.shared.changed.notify_all();
    }

    /// Returns the keys of a table's partition that begin with `prefix`.
    pub fn keys(&self, table: &str, part: &str, prefix: &str) -> Vec<String> {
        let rows = self.rows();
        let keys = rows
            .rows
            .keys()
            .filter(|place| place.0 == table && place.1 == part);
        let keys = keys.map(|place| place.2.clone());
        keys.filter(|key| key.starts_with(prefix)).collect()
    }

    fn rows(&self) -> MutexGuard<'_, Rows> {
        self.shared
            .rows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if writer
                .write_all(&response(status, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match request.path() {
            "/rows-tx" => {
                let body = String::from_utf8_lossy(&request.body).into_owned();
                let Some(call) = Json::parse(&body) else {
                    return (400, "{}".to_owned());
                };
                let (status, rows) = self.rows().transact(&call);
                self.shared.changed.notify_all();
                (status, self.document(&rows, false))
            }
            "/rows-get" => {
                let (rows, has_more) = self.rows().get(request);
                (200, self.document(&rows, has_more))
            }
            "/rows-feed" => (200, self.feed(request)),
            _ => (404, "{}".to_owned()),
        }
    }

    fn document(&self, rows: &[String], has_more: bool) -> String {
        let (version, now) = (self.rows().version, self.shared.began.elapsed().as_millis());
        let rows = rows.join(",");
        format!(r#"{{"rows":[{rows}],"hasMore":{has_more},"ver":{version},"now":"{now}ms"}}"#)
    }

    fn feed(&self, request: &Request) -> String {
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(request.query("waitMs").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let table = request.query("table");
        let mut rows = self.rows();
        loop {
            let of_table = rows
                .changes
                .iter()
                .filter(|(version, (known, _, _), _)| *version > after && *known == table);
            let found: Vec<String> = of_table
                .map(|(version, place, value)| row_text(place, value.as_deref(), *version))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                drop(rows);
                return self.document(&found, false);
            }
            let waited = self.shared.changed.wait_timeout(rows, left);
            rows = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

impl Rows {
    fn write(&mut self, place: Place, value: String) {
        self.rows
            .insert(place.clone(), (value.clone(), self.version));
        self.changes.push((self.version, place, Some(value)));
    }

    fn transact(&mut self, call: &Json) -> (u16, Vec<String>) {
        let place = |row: &Json| -> Place {
            let text = |name: &str| row.get(name).text().to_owned();
            (text("table"), text("part"), text("keyFile"))
        };
        let expected = call.get("expectRev").list();
        let version = |row: &Json| {
            self.rows
                .get(&place(row))
                .map_or(0, |(_, version)| *version)
        };
        if expected
            .iter()
            .any(|row| version(row) != row.get("ver").number())
        {
            let found = expected.iter().filter_map(|row| {
                let place = place(row);
                let (value, version) = self.rows.get(&place)?;
                Some(row_text(&place, Some(value), *version))
            });
            return (412, found.collect());
        }
        self.version += 1;
        for put in call.get("puts").list() {
            self.write(place(put), put.get("value").text().to_owned());
        }
        for removed in call.get("remove").list() {
            let place = place(removed);
            self.rows.remove(&place);
            self.changes.push((self.version, place, None));
        }
        (200, Vec::new())
    }

    fn get(&self, request: &Request) -> (Vec<String>, bool) {
        let (table, part) = (request.query("table"), request.query("part"));
        let (from, to) = (request.query("from"), request.query("toVersion"));
        let limit: usize = request.query("limit").parse().unwrap_or(500).min(500);
        let start = (table.clone(), part.clone(), from);
        let is_wanted = |place: &Place| place.0 == table && place.1 == part;
        let mut found = self
            .rows
            .range(start..)
            .take_while(|(place, _)| is_wanted(place) && (to.is_empty() || place.2 < to));
        let rows = found.by_ref().take(limit);
        let rows = rows.map(|(place, (value, version))| row_text(place, Some(value), *version));
        let rows: Vec<String> = rows.collect();
        (rows, found.next().is_some())
    }
}

fn row_text((table, part, key): &Place, value: Option<&str>, version: u64) -> String {
    let content = match value {
        Some(value) => format!("\"value\":{}", quoted(value)),
        None => "\"deleted\":true".to_owned(),
    };
    let (table, part, key) = (quoted(table), quoted(part), quoted(key));
    format!(r#"{{"table":{table},"part":{part},"keyFile":{key},"ver":{version},{content}}}"#)
}
