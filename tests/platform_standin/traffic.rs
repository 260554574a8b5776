//! Callers that continuously send requests to the hosts of a test, and a record of the outcome of
//! each request.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use http::StatusCode;
use tokio::time;

use super::caller::{Caller, CallerResponse, TestRequest};

/// Pause between the response to one request of a caller and the caller's next request.
const PAUSE: Duration = Duration::from_millis(15);
/// Deadline of the callers' requests, in milliseconds after the sending of a request.
const DEADLINE_MS: u64 = 800;

/// Kind of requests that the callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Workload {
    /// Reads of random keys of the sharded service.
    Keys,
    /// Reads of keys of the sharded service, of which 400 adjacent keys get most requests.
    BusyKeys,
    /// Unrepeatable requests to the service without keys.
    Orders,
}

/// Outcome of a caller's request.
#[derive(Clone, Debug)]
pub struct RequestOutcome {
    /// Index of the host that the request was sent to.
    pub host: usize,
    /// Time at which the request was sent.
    pub at: Instant,
    /// Status of the response; `None` if no response arrived.
    pub status: Option<StatusCode>,
    /// Time at which the response arrived, the connection closed or the caller's wait ended.
    pub response_arrived: Instant,
    /// True if the response announces that its server leaves.
    pub announces_leaving: bool,
    /// True if the response advertises a rate limit.
    pub advertises_limit: bool,
}

/// Callers of a test, which send requests until this value is dropped, and the outcomes of their
/// requests.
#[derive(Debug)]
pub struct Traffic {
    sent: Arc<Mutex<HashMap<String, RequestOutcome>>>,
    stopped: Arc<AtomicBool>,
    workload: Workload,
}

impl Traffic {
    /// Creates traffic without callers.
    pub fn new(workload: Workload) -> Self {
        Self {
            sent: Arc::default(),
            stopped: Arc::default(),
            workload,
        }
    }

    /// Starts a caller that sends its requests to one host.
    pub fn add(&self, host: usize, address: SocketAddr) {
        let (sent, stopped) = (self.sent.clone(), self.stopped.clone());
        let workload = self.workload;
        tokio::spawn(async move {
            let mut caller = None;
            while !stopped.load(Ordering::Relaxed) {
                time::sleep(PAUSE).await;
                if caller.is_none() {
                    caller = Caller::connect(address).await;
                }
                let Some(connected) = &mut caller else {
                    continue;
                };
                let (id, outcome) = send(connected, host, workload).await;
                if outcome.status.is_none() {
                    caller = None;
                }
                lock(&sent).insert(id, outcome);
            }
        });
    }

    /// Returns the completed requests by their identifier.
    pub fn sent(&self) -> HashMap<String, RequestOutcome> {
        lock(&self.sent).clone()
    }

    /// Returns the share of the requests sent between two times that were answered with 200.
    pub fn served(&self, from: Instant, until: Instant) -> f64 {
        let sent = lock(&self.sent);
        let within = |sent: &&RequestOutcome| (from..until).contains(&sent.at);
        let all = sent.values().filter(within).count();
        let is_served = |sent: &&RequestOutcome| sent.status == Some(StatusCode::OK);
        let served = sent.values().filter(within).filter(is_served).count();
        served as f64 / all.max(1) as f64
    }
}

impl Drop for Traffic {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
    }
}

async fn send(caller: &mut Caller, host: usize, workload: Workload) -> (String, RequestOutcome) {
    let id = format!("{:016x}", rand::random::<u64>());
    let (method, path, key) = match workload {
        Workload::Keys => ("GET", "/keyed/level", Some(rand::random())),
        Workload::BusyKeys => ("GET", "/keyed/level", Some(busy_key())),
        Workload::Orders => ("POST", "/orders/new", None),
    };
    let at = Instant::now();
    let response = caller
        .ask(TestRequest {
            method,
            path,
            id: &id,
            key,
            deadline_ms: DEADLINE_MS,
        })
        .await;
    let announces_leaving =
        |response: &CallerResponse| response.headers.contains_key("server-leaving");
    let advertises_limit =
        |response: &CallerResponse| response.headers.contains_key("server-limit");
    let sent = RequestOutcome {
        host,
        at,
        status: response.as_ref().map(|response| response.status),
        response_arrived: Instant::now(),
        announces_leaving: response.as_ref().is_some_and(announces_leaving),
        advertises_limit: response.as_ref().is_some_and(advertises_limit),
    };
    (id, sent)
}

/// Draws a key at random. With a probability of 3/4 the key is one of 400 adjacent keys, and half
/// of these draws take one of the first 40 of them.
fn busy_key() -> u16 {
    const FIRST: u16 = 41_500;
    const BUSY: u16 = 400;
    if rand::random_bool(0.25) {
        return rand::random();
    }
    let range = if rand::random_bool(0.5) {
        BUSY / 10
    } else {
        BUSY
    };
    FIRST + rand::random_range(0..range)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
