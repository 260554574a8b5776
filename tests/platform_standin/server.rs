//! Stand-in of a backend server that holds keys under fences and leases, and a record of what ran
//! where that all servers of a test share.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use ashroad::{
    platform::parse_ms,
    transport::{self, ListenerLimits, ResponseBody, header_text},
};
use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::{
    net::TcpListener,
    runtime::{Builder, Handle, Runtime},
    sync::{Semaphore, watch},
    time,
};

use super::{fresh_address, store::Store};

const KEYS: usize = 1 << 16;
/// Beginning of the paths whose answers are large, and their length.
pub const LARGE_PATH: &str = "/large/";
pub const LARGE_BYTES: usize = 2_000_000;
/// Time that a deadly request runs until it ends its server.
const CRASH_DELAY_MS: u64 = 40;
/// Time after which an order is carried out that was not answered.
const LATE_ORDER_MS: u64 = 2_000;

/// What ran where, over all servers of a test.
#[derive(Debug, Default)]
pub struct Record {
    /// Runs by request id.
    runs: Mutex<HashMap<String, u32>>,
    /// Servers that hold keys, for the check of single ownership.
    all_holdings: Mutex<Vec<Arc<Holdings>>>,
    /// What broke a promise.
    violations: Mutex<Vec<String>>,
    /// Path of requests that end each mortal server which begins to run them, and those ends.
    crash_triggers: Mutex<CrashTriggers>,
    /// Headers of requests that ran, by request id.
    heads: Mutex<HashMap<String, HeaderMap>>,
    /// Until then ownership is not checked.
    ownership_unchecked_until: Mutex<Option<Instant>>,
}

/// Requests that end servers.
#[derive(Debug, Default)]
struct CrashTriggers {
    paths: Vec<&'static str>,
    runs: Vec<Instant>,
    ends: Vec<Instant>,
}

impl Record {
    /// Lets requests for a path end each mortal server that begins to run them; `None` for no path.
    pub fn set_crash_path(&self, path: Option<&'static str>) {
        self.set_crash_paths(path.into_iter().collect());
    }

    /// Lets requests for some paths do so.
    pub fn set_crash_paths(&self, paths: Vec<&'static str>) {
        lock(&self.crash_triggers).paths = paths;
    }

    /// When servers ended under a deadly request.
    pub fn ends(&self) -> Vec<Instant> {
        lock(&self.crash_triggers).ends.clone()
    }

    /// When servers began to run deadly requests.
    pub fn crashing_runs(&self) -> Vec<Instant> {
        lock(&self.crash_triggers).runs.clone()
    }

    /// True if a request that is about to run ends its server.
    fn note_crashing_run(&self, path: &str) -> bool {
        let mut crash_triggers = lock(&self.crash_triggers);
        let triggers_crash = crash_triggers.paths.contains(&path);
        if triggers_crash {
            crash_triggers.runs.push(Instant::now());
        }
        triggers_crash
    }

    /// What broke a promise.
    pub fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    /// Notes a broken promise.
    pub fn report_violation(&self, text: String) {
        lock(&self.violations).push(text);
    }

    /// Leaves ownership unchecked for a while: a process that was paused may have had a grant under
    /// way.
    pub fn pause_ownership_checks(&self, time_ms: u64) {
        *lock(&self.ownership_unchecked_until) =
            Some(Instant::now() + Duration::from_millis(time_ms));
    }

    fn ownership_checks_paused(&self) -> bool {
        lock(&self.ownership_unchecked_until).is_some_and(|until| Instant::now() < until)
    }

    /// Headers with which a request ran.
    pub fn head(&self, id: &str) -> Option<HeaderMap> {
        lock(&self.heads).get(id).cloned()
    }

    /// How often a request ran.
    pub fn runs(&self, id: &str) -> u32 {
        lock(&self.runs).get(id).copied().unwrap_or(0)
    }

    fn begin(&self, id: &str, key: Option<u16>, server: &Holdings) {
        *lock(&self.runs).entry(id.to_owned()).or_default() += 1;
        let Some(key) = key.filter(|_| !self.ownership_checks_paused()) else {
            return;
        };
        let others = lock(&self.all_holdings).clone();
        for other in others {
            let same_service = other.service == server.service;
            if same_service && other.id != server.id && other.holds(key) {
                let text = format!("key {key} is held by {} and {}", server.id, other.id);
                self.report_violation(text);
            }
        }
    }

    /// A key is taken: its fence must be above every other server's.
    fn take(&self, key: u16, fence: u64, server: &Holdings) {
        if self.ownership_checks_paused() {
            return;
        }
        let others = lock(&self.all_holdings).clone();
        for other in others {
            if other.service != server.service || other.id == server.id {
                continue;
            }
            let held = lock(&other.keys)[usize::from(key)].granted_fence;
            if held >= fence {
                let text = format!(
                    "{} takes key {key} at fence {fence} under {held}",
                    server.id
                );
                self.report_violation(text);
                return;
            }
        }
    }
}

/// One key at one server.
#[derive(Clone, Copy, Debug, Default)]
struct KeyState {
    /// Highest fence seen, by grants and releases.
    fence: u64,
    /// Highest fence of a grant that was taken.
    granted_fence: u64,
    until: Option<Instant>,
}

/// Keys that one server holds.
#[derive(Debug)]
pub struct Holdings {
    id: String,
    service: String,
    up: AtomicBool,
    keys: Mutex<Vec<KeyState>>,
}

impl Holdings {
    fn holds(&self, key: u16) -> bool {
        let until = lock(&self.keys)[usize::from(key)].until;
        self.up.load(Ordering::Relaxed) && until.is_some_and(|until| Instant::now() < until)
    }
}

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// Incarnation.
    pub id: String,
    /// Address it listens on.
    pub address: SocketAddr,
    state: Arc<State>,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

#[derive(Debug)]
struct State {
    holdings: Arc<Holdings>,
    record: Arc<Record>,
    zone: String,
    sharded: bool,
    slots: Semaphore,
    work_ms: AtomicU64,
    running: AtomicU64,
    /// Nothing is answered.
    silent: AtomicBool,
    /// Each n-th answer of a run is lost; 0 for none.
    lose_answer_every: AtomicU64,
    /// Each n-th order is carried out late, without an answer; 0 for none.
    late_order_every: AtomicU64,
    orders: AtomicU64,
    arrivals: Mutex<Vec<Instant>>,
    /// All answers say that it leaves.
    leaving: AtomicBool,
    /// Rest that it asks for as it turns every request away; 0 if it takes them.
    rest_ms: AtomicU64,
    /// Rate that all answers name.
    rate_limit: Mutex<Option<String>>,
    received_requests: Mutex<Vec<ReceivedRequest>>,
    served: AtomicU64,
    /// What a mortal server runs on: its end closes all of its sockets at once, as that of a process.
    runtime: Mutex<Option<Runtime>>,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// Identifier of the request.
    pub id: String,
    /// When it arrived.
    pub at: Instant,
    /// Rest that the server asked for as it turned the request away.
    pub rest: Option<Duration>,
}

/// What a server is like.
#[derive(Clone, Copy, Debug)]
pub struct Kind<'a> {
    /// Service.
    pub service: &'a str,
    /// Availability zone.
    pub zone: &'a str,
    /// True if it runs only requests for keys that it holds.
    pub sharded: bool,
    /// Time that a request runs.
    pub work_ms: u64,
}

impl Server {
    /// Starts a server that ends as a process would when it begins to run a deadly request. Its entry
    /// stays until the platform notices, which this stand-in does not do.
    pub async fn start_crashable(store: &Store, record: &Arc<Record>, kind: Kind<'_>) -> Self {
        let mut builder = Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build();
        let runtime = runtime.expect("runtime");
        let server = Self::start_on(runtime.handle(), store, record, kind).await;
        *lock(&server.state.runtime) = Some(runtime);
        server
    }

    /// Starts a server and writes its entry.
    pub async fn start(store: &Store, record: &Arc<Record>, kind: Kind<'_>) -> Self {
        let runtime = Handle::current();
        Self::start_on(&runtime, store, record, kind).await
    }

    #[allow(clippy::unused_async, reason = "callers await the start of a server")]
    async fn start_on(
        runtime: &Handle,
        store: &Store,
        record: &Arc<Record>,
        kind: Kind<'_>,
    ) -> Self {
        let listener = {
            let _entered = runtime.enter();
            let listener = std::net::TcpListener::bind(fresh_address(0)).expect("listener");
            listener.set_nonblocking(true).expect("not blocking");
            TcpListener::from_std(listener).expect("listener")
        };
        let address = listener.local_addr().expect("address");
        let id = format!("i-{:010x}", rand::random::<u32>());
        let holdings = Arc::new(Holdings {
            id: id.clone(),
            service: kind.service.to_owned(),
            up: AtomicBool::new(true),
            keys: Mutex::new(vec![KeyState::default(); KEYS]),
        });
        lock(&record.all_holdings).push(holdings.clone());
        let state = Arc::new(State {
            holdings,
            record: record.clone(),
            zone: kind.zone.to_owned(),
            sharded: kind.sharded,
            slots: Semaphore::new(4),
            work_ms: AtomicU64::new(kind.work_ms),
            running: AtomicU64::new(0),
            silent: AtomicBool::new(false),
            lose_answer_every: AtomicU64::new(0),
            late_order_every: AtomicU64::new(0),
            orders: AtomicU64::new(0),
            arrivals: Mutex::default(),
            leaving: AtomicBool::new(false),
            rest_ms: AtomicU64::new(0),
            rate_limit: Mutex::default(),
            received_requests: Mutex::default(),
            served: AtomicU64::new(0),
            runtime: Mutex::new(None),
        });
        let (stop, stopped) = watch::channel(false);
        let handled = state.clone();
        let handler = move |request| handled.clone().handle(request);
        let task = runtime.spawn(transport::serve(
            listener,
            ListenerLimits::default(),
            stopped,
            handler,
        ));
        let server = Self {
            id,
            address,
            state,
            stop,
            task,
        };
        server.write_entry(store, "ready");
        server
    }

    /// Writes the server's entry.
    pub fn write_entry(&self, store: &Store, state: &str) {
        let entry = json!({
            "addr": self.address.to_string(),
            "info": {"service": self.state.holdings.service, "version": "v1",
                "zone": self.state.zone, "slots": 4},
            "status": {"state": state, "seq": 1, "warmupLeft": "0ms"},
        });
        store.put("servers", &self.id, &entry);
    }

    /// Writes the entry of a cold server.
    pub fn write_cold_entry(&self, store: &Store, cold_ms: u64) {
        let entry = json!({
            "addr": self.address.to_string(),
            "born": 1_791_000_000_000u64,
            "info": {"service": self.state.holdings.service, "version": "v1",
                "zone": self.state.zone, "slots": 4},
            "status": {"state": "ready", "seq": 2, "warmupLeft": format!("{cold_ms}ms")},
        });
        store.put("servers", &self.id, &entry);
    }

    /// Lets all answers say from now on that the server leaves. Its entry does not.
    pub fn announce_leaving(&self) {
        self.state.leaving.store(true, Ordering::Relaxed);
    }

    /// Turns every request away with a wish to rest for so long; 0 takes them again.
    pub fn reject_with_rest(&self, rest_ms: u64) {
        self.state.rest_ms.store(rest_ms, Ordering::Relaxed);
    }

    /// Lets all answers name from now on the requests a second that the server takes; `None` for no limit.
    pub fn advertise_limit(&self, rate: Option<&str>) {
        *lock(&self.state.rate_limit) = rate.map(str::to_owned);
    }

    /// Sets the time that a request runs.
    pub fn set_work_ms(&self, work_ms: u64) {
        self.state.work_ms.store(work_ms, Ordering::Relaxed);
    }

    /// Requests that reached it.
    pub fn received_requests(&self) -> Vec<ReceivedRequest> {
        lock(&self.state.received_requests).clone()
    }

    /// Removes the entry, as the platform does when it hears no heartbeat.
    pub fn remove_entry(&self, store: &Store) {
        store.remove("servers", &self.id);
    }

    /// Of so many orders one is not answered, and carried out two seconds later; 0 for none.
    pub fn delay_orders(&self, every: u64) {
        self.state.late_order_every.store(every, Ordering::Relaxed);
    }

    /// Most requests that arrived within a second, of those after a moment.
    pub fn peak_requests_per_s(&self, since: Instant) -> usize {
        let arrivals = lock(&self.state.arrivals);
        let later: Vec<Instant> = arrivals
            .iter()
            .filter(|at| **at >= since)
            .copied()
            .collect();
        let within = |first: Instant| {
            let end = first + Duration::from_secs(1);
            later.iter().filter(|at| (first..end).contains(*at)).count()
        };
        later.iter().map(|first| within(*first)).max().unwrap_or(0)
    }

    /// When the last request arrived.
    pub fn last_arrival(&self) -> Option<Instant> {
        lock(&self.state.arrivals).last().copied()
    }

    /// Ends the server as a crash would, and removes its entry.
    pub fn crash(&self, store: &Store) {
        self.state.holdings.up.store(false, Ordering::Relaxed);
        self.state.silent.store(true, Ordering::Relaxed);
        self.task.abort();
        if self.stop.send(true).is_err() {
            // The listener has ended with its task.
        }
        store.remove("servers", &self.id);
    }

    /// Writes the entry of another server, of another service, that has this one's address.
    pub fn register_another(&self, store: &Store, id: &str) {
        let entry = json!({
            "addr": self.address.to_string(),
            "info": {"service": "orders", "version": "v1", "zone": "a", "slots": 4},
            "status": {"state": "ready", "seq": 1, "warmupLeft": "0ms"},
        });
        store.put("servers", id, &entry);
    }

    /// Lets the server answer nothing, or answer again. What it holds stays held.
    pub fn set_silent(&self, silent: bool) {
        self.state.silent.store(silent, Ordering::Relaxed);
    }

    /// Loses each n-th answer.
    pub fn lose_answers(&self, every: u64) {
        self.state.lose_answer_every.store(every, Ordering::Relaxed);
    }

    /// Holds all keys as if an earlier holder of the duty had granted them.
    pub fn hold_all(&self, fence: u64, lease_ms: u64) {
        let until = Some(Instant::now() + Duration::from_millis(lease_ms));
        for state in lock(&self.state.holdings.keys).iter_mut() {
            *state = KeyState {
                fence,
                granted_fence: fence,
                until,
            };
        }
    }

    /// True if it was mortal and has ended.
    pub fn has_ended(&self) -> bool {
        !self.state.holdings.up.load(Ordering::Relaxed)
    }

    /// Requests served.
    pub fn served(&self) -> u64 {
        self.state.served.load(Ordering::Relaxed)
    }

    /// Number of keys that it holds now.
    pub fn keys_held(&self) -> usize {
        (0..=u16::MAX)
            .filter(|key| self.state.holdings.holds(*key))
            .count()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        if let Some(runtime) = lock(&self.state.runtime).take() {
            runtime.shutdown_background();
        }
    }
}

impl State {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let leaves = self.leaving.load(Ordering::Relaxed);
        let mut response = self.clone().respond(request).await;
        if let Some(rate) = lock(&self.rate_limit).as_deref() {
            let value = HeaderValue::from_str(rate).expect("a value");
            response.headers_mut().insert("server-limit", value);
        }
        if leaves {
            let value = HeaderValue::from_static("1");
            response.headers_mut().insert("server-leaving", value);
        }
        response
    }

    async fn respond(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        if self.silent.load(Ordering::Relaxed) {
            return std::future::pending().await;
        }
        let expected = header_text(request.headers(), "expect-instance");
        if expected.is_some_and(|id| id != self.holdings.id) {
            return self.not_run(StatusCode::MISDIRECTED_REQUEST, "");
        }
        match request.uri().path() {
            "/grant" | "/release" => self.order(request).await,
            _ => self.run(request).await,
        }
    }

    async fn order(self: Arc<Self>, request: Request<Incoming>) -> Response<ResponseBody> {
        let arrived = Instant::now();
        let is_grant = request.uri().path() == "/grant";
        let order = read(request).await;
        let number = self.orders.fetch_add(1, Ordering::Relaxed) + 1;
        let every = self.late_order_every.load(Ordering::Relaxed);
        if every > 0 && number.is_multiple_of(every) {
            tokio::spawn(async move {
                time::sleep(Duration::from_millis(LATE_ORDER_MS)).await;
                if is_grant {
                    self.grant(&order, arrived);
                } else {
                    self.release(&order).await;
                }
            });
            return std::future::pending().await;
        }
        if is_grant {
            self.grant(&order, arrived)
        } else {
            self.release(&order).await
        }
    }

    fn grant(&self, order: &Value, arrived: Instant) -> Response<ResponseBody> {
        let (first, last, fence) = range_of(order);
        let hold = parse_ms(order["hold_time"].as_str().unwrap_or_default()).expect("hold time");
        let until = arrived + Duration::from_millis(hold);
        let mut taken = Vec::new();
        {
            let mut keys = lock(&self.holdings.keys);
            let seen = keys[first..=last].iter().map(|key| key.fence).max();
            if seen > Some(fence) {
                return transport::json(StatusCode::CONFLICT, &json!({}));
            }
            for (key, state) in (first..=last).zip(&mut keys[first..=last]) {
                let held = state.until.is_some_and(|until| arrived < until);
                if !held || state.granted_fence != fence {
                    taken.push(key as u16);
                }
                state.fence = fence;
                state.granted_fence = fence;
                state.until = Some(until);
            }
        }
        // Ends of the range stand for all of it; a check of each key would take too long.
        if let (Some(first), Some(last)) = (taken.first(), taken.last()) {
            self.record.take(*first, fence, &self.holdings);
            self.record.take(*last, fence, &self.holdings);
        }
        transport::json(StatusCode::OK, &json!({}))
    }

    async fn release(&self, order: &Value) -> Response<ResponseBody> {
        let (first, last, fence) = range_of(order);
        {
            let mut keys = lock(&self.holdings.keys);
            for state in &mut keys[first..=last] {
                state.fence = state.fence.max(fence);
                state.until = None;
            }
        }
        // All running work counts, which is more than the released keys' work.
        while self.running.load(Ordering::Relaxed) > 0 {
            time::sleep(Duration::from_millis(2)).await;
        }
        let mut response = transport::json(StatusCode::OK, &json!({}));
        let token = HeaderValue::from_static("5c0e7a21d94b36f8");
        response.headers_mut().insert("handover", token);
        response
    }

    async fn run(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let id = header_text(request.headers(), "request-id").unwrap_or_default();
        let id = id.to_owned();
        lock(&self.arrivals).push(Instant::now());
        let rest = self.record_received(&id);
        if let Some(rest) = rest {
            return self.rejection(&id, rest);
        }
        let key = header_text(request.headers(), "shard-key").and_then(|key| key.parse().ok());
        let Ok(permit) = self.slots.acquire().await else {
            return std::future::pending().await;
        };
        if self.sharded && !key.is_some_and(|key| self.holdings.holds(key)) {
            return self.not_run(StatusCode::MISDIRECTED_REQUEST, &id);
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let running = Running(&self.running);
        let checked = if self.sharded { key } else { None };
        self.record.begin(&id, checked, &self.holdings);
        lock(&self.record.heads).insert(id.clone(), request.headers().clone());
        let path = request.uri().path().to_owned();
        if self.record.note_crashing_run(&path) {
            time::sleep(Duration::from_millis(CRASH_DELAY_MS)).await;
            self.end();
            return std::future::pending().await;
        }
        let body = request.into_body().collect().await;
        let length = body.map(|body| body.to_bytes().len()).unwrap_or(0);
        let work_ms = self.work_ms.load(Ordering::Relaxed);
        time::sleep(Duration::from_millis(work_ms)).await;
        drop(running);
        drop(permit);
        let served = self.served.fetch_add(1, Ordering::Relaxed) + 1;
        let every = self.lose_answer_every.load(Ordering::Relaxed);
        if every > 0 && served.is_multiple_of(every) {
            return std::future::pending().await;
        }
        let body = if path.starts_with(LARGE_PATH) {
            vec![b'x'; LARGE_BYTES].into()
        } else {
            Bytes::from(format!("{id} {path} {length}"))
        };
        let mut response = transport::whole(StatusCode::OK, "text/plain", body);
        let headers = response.headers_mut();
        headers.insert("server-signature", HeaderValue::from_static("signed"));
        headers.insert("request-id", HeaderValue::from_str(&id).expect("id"));
        response
    }

    /// Ends a mortal server, as a process ends: all of its sockets close.
    fn end(&self) {
        let Some(runtime) = lock(&self.runtime).take() else {
            return;
        };
        self.holdings.up.store(false, Ordering::Relaxed);
        lock(&self.record.crash_triggers).ends.push(Instant::now());
        runtime.shutdown_background();
    }

    /// Notes a request; the rest that is asked for if it is turned away.
    fn record_received(&self, id: &str) -> Option<Duration> {
        let rest_ms = self.rest_ms.load(Ordering::Relaxed);
        let rest = (rest_ms > 0).then(|| Duration::from_millis(rest_ms));
        lock(&self.received_requests).push(ReceivedRequest {
            id: id.to_owned(),
            at: Instant::now(),
            rest,
        });
        rest
    }

    fn rejection(&self, id: &str, rest: Duration) -> Response<ResponseBody> {
        let mut response = self.not_run(StatusCode::SERVICE_UNAVAILABLE, id);
        let seconds = format!("{}", rest.as_secs_f64());
        let value = HeaderValue::from_str(&seconds).expect("a number");
        response.headers_mut().insert("retry-after", value);
        response
    }

    fn not_run(&self, status: StatusCode, id: &str) -> Response<ResponseBody> {
        let mut response = transport::json(status, &json!({}));
        let headers = response.headers_mut();
        headers.insert("not-run", HeaderValue::from_static("1"));
        headers.insert("request-id", HeaderValue::from_str(id).expect("id"));
        response
    }
}

/// Counts a run until dropped.
struct Running<'a>(&'a AtomicU64);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

async fn read(request: Request<Incoming>) -> Value {
    let body = request.into_body().collect().await.expect("body");
    serde_json::from_slice(&body.to_bytes()).expect("order")
}

fn range_of(order: &Value) -> (usize, usize, u64) {
    let number = |name: &str| order[name].as_u64().expect("number");
    (
        number("from") as usize,
        number("toVersion") as usize,
        number("fence"),
    )
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
