//! Record of all runs that the servers of a test share, with the checks that each key has a single
//! owner.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use http::HeaderMap;
use tokio::time;

/// Record of the runs of requests at all servers of a test. The record checks that each key has a
/// single owner at a time.
#[derive(Debug, Default)]
pub struct RunRecord {
    /// Number of runs by request id.
    runs: Mutex<HashMap<String, u32>>,
    /// Keys that each server holds, for the check of single ownership.
    pub(super) held_keys_of_servers: Mutex<Vec<Arc<HeldKeys>>>,
    /// Descriptions of violated invariants.
    violations: Mutex<Vec<String>>,
    /// Paths of crashing requests, and the crashes that such requests caused.
    pub(super) crash_triggers: Mutex<CrashTriggers>,
    /// Headers of the requests that ran, by request id.
    pub(super) headers_by_request: Mutex<HashMap<String, HeaderMap>>,
    /// Time until which the single ownership of keys is not checked; `None` if the checks were
    /// never suspended.
    ownership_unchecked_until: Mutex<Option<Instant>>,
}

/// Crashing requests, i.e. requests that crash each crashable server that begins to run them.
#[derive(Debug, Default)]
pub(super) struct CrashTriggers {
    /// Paths of crashing requests.
    paths: Vec<&'static str>,
    /// Times at which servers began to run a crashing request.
    runs: Vec<Instant>,
    /// Times at which servers crashed because of a crashing request.
    pub(super) crashes: Vec<Instant>,
}

impl RunRecord {
    /// Makes requests for a path crash each crashable server that begins to run them. With `None`,
    /// no request crashes a server.
    pub fn set_crash_path(&self, path: Option<&'static str>) {
        self.set_crash_paths(path.into_iter().collect());
    }

    /// Makes requests for any of these paths crash each crashable server that begins to run them.
    pub fn set_crash_paths(&self, paths: Vec<&'static str>) {
        lock(&self.crash_triggers).paths = paths;
    }

    /// Returns the times at which servers crashed because of crashing requests.
    pub fn crashes(&self) -> Vec<Instant> {
        lock(&self.crash_triggers).crashes.clone()
    }

    /// Returns the times at which servers began to run crashing requests.
    pub fn crashing_runs(&self) -> Vec<Instant> {
        lock(&self.crash_triggers).runs.clone()
    }

    /// Returns true if a request for `path` that is about to run is a crashing request, and records
    /// the time of its run in this case.
    pub(super) fn record_crashing_run(&self, path: &str) -> bool {
        let mut crash_triggers = lock(&self.crash_triggers);
        let triggers_crash = crash_triggers.paths.contains(&path);
        if triggers_crash {
            crash_triggers.runs.push(Instant::now());
        }
        triggers_crash
    }

    pub fn violations(&self) -> Vec<String> {
        lock(&self.violations).clone()
    }

    pub fn report_violation(&self, text: String) {
        lock(&self.violations).push(text);
    }

    /// Suspends the checks of single ownership for `time_ms`. Tests that pause a host need this,
    /// because a grant that the host had in flight when it was paused arrives late.
    pub fn pause_ownership_checks(&self, time_ms: u64) {
        *lock(&self.ownership_unchecked_until) =
            Some(Instant::now() + Duration::from_millis(time_ms));
    }

    /// Reports a violation if two servers of the same service hold a key at the same time.
    pub fn check_single_owners(&self) {
        if self.ownership_checks_paused() {
            return;
        }
        let servers = lock(&self.held_keys_of_servers).clone();
        let now = Instant::now();
        let mut owners_of_services: HashMap<&str, Vec<Option<&HeldKeys>>> = HashMap::new();
        for server in &servers {
            let owners = owners_of_services.entry(&server.service);
            let owners = owners.or_insert_with(|| vec![None; lock(&server.keys).len()]);
            for key in server.held_at(now) {
                if let Some(other) = owners[key].replace(server)
                    && server.holds_with(other, key)
                {
                    let text = format!("key {key} is held by {} and {}", server.id, other.id);
                    self.report_violation(text);
                    return;
                }
            }
        }
    }

    /// Checks every 50 ms that no two servers hold a key, for as long as the servers run. The checks
    /// of earlier deployments of a test would delay its other tasks.
    pub fn spawn_owner_checks(self: &Arc<Self>) {
        let record = Arc::downgrade(self);
        tokio::spawn(async move {
            while let Some(record) = record.upgrade() {
                record.check_single_owners();
                drop(record);
                time::sleep(Duration::from_millis(50)).await;
            }
        });
    }

    fn ownership_checks_paused(&self) -> bool {
        lock(&self.ownership_unchecked_until).is_some_and(|until| Instant::now() < until)
    }

    /// Returns the headers with which a request arrived at the server that ran it; `None` if the
    /// request did not run.
    pub fn head(&self, id: &str) -> Option<HeaderMap> {
        lock(&self.headers_by_request).get(id).cloned()
    }

    /// Returns the number of runs of a request.
    pub fn runs(&self, id: &str) -> u32 {
        lock(&self.runs).get(id).copied().unwrap_or(0)
    }

    /// Records a run of a request at `server`, and a violation if another server of the same
    /// service holds the key of the request.
    pub(super) fn record_run(&self, id: &str, key: Option<u16>, server: &HeldKeys) {
        *lock(&self.runs).entry(id.to_owned()).or_default() += 1;
        let Some(key) = key.filter(|_| !self.ownership_checks_paused()) else {
            return;
        };
        let others = lock(&self.held_keys_of_servers).clone();
        for other in others {
            let same_service = other.service == server.service;
            if same_service && other.id != server.id && other.holds(key) {
                let text = format!("key {key} is held by {} and {}", server.id, other.id);
                self.report_violation(text);
            }
        }
    }

    /// Checks the grant of a key to `server`. The fence of the grant must be greater than the
    /// fences at which other servers of the same service were granted the key.
    pub(super) fn take(&self, key: u16, fence: u64, server: &HeldKeys) {
        if self.ownership_checks_paused() {
            return;
        }
        let others = lock(&self.held_keys_of_servers).clone();
        for other in others {
            if other.service != server.service || other.id == server.id {
                continue;
            }
            let held = lock(&other.keys)[usize::from(key)].granted_fence;
            if held >= fence {
                let text = format!(
                    "{} was granted key {key} at fence {fence}, not above fence {held} of another server",
                    server.id
                );
                self.report_violation(text);
                return;
            }
        }
    }
}

/// State of one key at one server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct KeyState {
    /// Highest fence of all accepted grants and releases of the key.
    pub(super) fence: u64,
    /// Highest fence of all accepted grants of the key.
    pub(super) granted_fence: u64,
    /// End of the lease on the key; `None` if the server was never granted the key or has released
    /// the key.
    pub(super) until: Option<Instant>,
}

/// Keys that one server holds.
#[derive(Debug)]
pub struct HeldKeys {
    pub(super) id: String,
    /// Service that the server belongs to.
    pub(super) service: String,
    /// False once the server has crashed, which ends all its leases.
    pub(super) up: AtomicBool,
    pub(super) keys: Mutex<Vec<KeyState>>,
}

impl HeldKeys {
    /// Returns true if this server and `other` hold a key at the same time. The states of both are
    /// locked together: a key may move from one to the other between two separate checks.
    fn holds_with(&self, other: &Self, key: usize) -> bool {
        let keys = lock(&self.keys);
        let keys_of_other = lock(&other.keys);
        let now = Instant::now();
        let is_held = |state: &KeyState| state.until.is_some_and(|until| now < until);
        let are_up = self.up.load(Ordering::Relaxed) && other.up.load(Ordering::Relaxed);
        are_up && is_held(&keys[key]) && is_held(&keys_of_other[key])
    }

    /// Returns the keys that the server holds at `now`; none if it has crashed.
    fn held_at(&self, now: Instant) -> Vec<usize> {
        if !self.up.load(Ordering::Relaxed) {
            return Vec::new();
        }
        let keys = lock(&self.keys);
        let is_held = |key: &usize| keys[*key].until.is_some_and(|until| now < until);
        (0..keys.len()).filter(is_held).collect()
    }

    /// Returns true if the server runs and its lease on a key has not expired.
    pub(super) fn holds(&self, key: u16) -> bool {
        let until = lock(&self.keys)[usize::from(key)].until;
        self.up.load(Ordering::Relaxed) && until.is_some_and(|until| Instant::now() < until)
    }
}

pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
