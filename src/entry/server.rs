//! State of a backend server as one host sees it: the server's entry, whether the server takes
//! work, its load, and statistics of the host's attempts at the server.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU32, AtomicU64, Ordering},
};

use super::{
    contact::ContactTime,
    crashes::{broken_connections::BrokenConnections, reports::Suspects},
    decide::{
        Candidate, Policy,
        attempt_stats::AttemptStats,
        notices::{NoticeEffect, Notices},
        slowdown::SlowdownReports,
        warmup::{WarmupLimit, WarmupWindows},
    },
    digest::RequestDigests,
    events::Event,
    model::{Notice, ServerEntry},
    pool::Pool,
    running_requests::RunningRequests,
    server_path::ServerPath,
    shared_rate::SharedRate,
    tag::tag_of,
};
use crate::{clock, platform::Link};

/// A backend server, from the first reading of its entry until the entry is removed or replaced.
#[derive(Debug)]
pub struct Server {
    /// Entry of the server as it was first read; [`Self::current_entry`] includes later changes.
    pub entry: ServerEntry,
    /// Tag that identifies the server's incarnation in messages between hosts, see [`tag_of`].
    pub tag: u32,
    /// Idle connections to the server, reused for callers' requests.
    pub pool: Pool,
    /// Connection to the server for commands that grant or release keys, and for health checks.
    pub orders: Link,
    /// Time at which this host learned from the latest entry that the server is leaving and must get
    /// no new work; 0 if the entry does not say so.
    leaving_since_ms: AtomicU64,
    /// Time at which this host learned that the server's zone was evacuated; 0 if the zone is not
    /// evacuated.
    evacuated_ms: AtomicU64,
    /// Time until which the server is treated as cold; 0 if it is marked as warm.
    cold_until_ms: AtomicU64,
    /// Cold time that the server's latest entry states. An entry that repeats the same value does
    /// not restart the cold time.
    entry_cold_ms: AtomicU64,
    /// Notices that the server sent in its responses. The registry also refers to the notices, so
    /// that they outlast the removal of the server's entry.
    notices: Arc<Mutex<Notices>>,
    warmup_windows: Mutex<WarmupWindows>,
    /// Number of this host's requests in flight at the server.
    own: AtomicU32,
    /// Number of other hosts' requests in flight at the server, by the latest reports from these
    /// hosts.
    others: AtomicU32,
    /// Average run time of other hosts' requests at the server, in microseconds; 0 if unknown.
    shared_run_us: AtomicU64,
    /// Time at which the server last answered a request of this host; 0 if it never did.
    answered_ms: AtomicU64,
    slowdowns: Mutex<SlowdownReports>,
    attempt_stats: Mutex<AttemptStats>,
    running_requests: Mutex<RunningRequests>,
    /// Rate limit that the server advertises for all hosts together, and this host's share of it.
    pub rate: SharedRate,
    /// Record of broken connections between this host and the server.
    pub broken_connections: BrokenConnections,
    /// Time of the last direct response from the server to this host.
    pub contact: ContactTime,
    /// Network path from this host to the server.
    pub path: ServerPath,
}

impl Server {
    /// Creates a server from an entry that was read for the first time.
    pub fn new(entry: ServerEntry) -> Self {
        Self::with_notices(entry, Arc::default())
    }

    /// Creates a server from an entry, with the notices that the registry kept if an earlier entry
    /// of the server was removed.
    pub fn with_notices(entry: ServerEntry, notices: Arc<Mutex<Notices>>) -> Self {
        let server = Self {
            tag: tag_of(&entry.id),
            pool: Pool::new(entry.address),
            orders: Link::new(entry.address),
            leaving_since_ms: AtomicU64::new(leaving_since_ms(entry.leaving)),
            evacuated_ms: AtomicU64::new(0),
            cold_until_ms: AtomicU64::new(0),
            entry_cold_ms: AtomicU64::new(entry.cold_ms),
            rate: SharedRate::new(notices.clone()),
            notices,
            warmup_windows: Mutex::default(),
            own: AtomicU32::new(0),
            others: AtomicU32::new(0),
            shared_run_us: AtomicU64::new(0),
            answered_ms: AtomicU64::new(0),
            slowdowns: Mutex::default(),
            attempt_stats: Mutex::default(),
            running_requests: Mutex::default(),
            broken_connections: BrokenConnections::default(),
            contact: ContactTime::default(),
            path: ServerPath::default(),
            entry,
        };
        server.set_cold_for(server.entry.cold_ms);
        server
    }

    /// Returns the entry with the current leaving state and the remaining cold time.
    pub fn current_entry(&self) -> ServerEntry {
        ServerEntry {
            leaving: self.leaving(),
            cold_ms: self.cold_remaining_ms(),
            ..self.entry.clone()
        }
    }

    /// Returns true if `entry` belongs to this incarnation of the server and agrees in all fields
    /// that are fixed for the lifetime of the incarnation. Another program may have written a row
    /// that gives the server's name another service or address.
    pub fn matches_entry(&self, entry: &ServerEntry) -> bool {
        let known = &self.entry;
        let same = |entry: &ServerEntry| {
            (
                entry.id.clone(),
                entry.service.clone(),
                entry.address,
                entry.availability_zone.clone(),
                entry.slots,
            )
        };
        same(known) == same(entry)
    }

    /// Applies the leaving state and the cold time of a later entry of this incarnation.
    pub fn renew(&self, entry: &ServerEntry) {
        if self.leaving() != entry.leaving {
            self.set_leaving(entry.leaving);
            Event::server(entry).log();
        }
        let previous_cold_ms = self.entry_cold_ms.swap(entry.cold_ms, Ordering::Relaxed);
        if previous_cold_ms != entry.cold_ms {
            self.set_cold_for(entry.cold_ms);
        }
    }

    /// Returns true if the server may be assigned keys and may get requests that any server of its
    /// service can run.
    pub fn takes_new_work(&self) -> bool {
        !self.leaving() && !self.notices().leaves() && !self.is_evacuated()
    }

    /// Returns true if a request that arrived at `arrived_ms` may go to this server when no server
    /// takes new work. The server must not be leaving by its entry or be in an evacuated zone, and
    /// must not have announced its leaving to this host `hold_ms` or longer before the arrival.
    pub fn takes_work_while_leaving(&self, arrived_ms: u64, hold_ms: u64) -> bool {
        !self.leaving() && !self.is_evacuated() && !self.is_closed_to(arrived_ms, hold_ms)
    }

    /// Returns true if a request that arrived at `arrived_ms` must not go to the server, because
    /// the server had announced its leaving to this host at least `hold_ms` before.
    pub fn is_closed_to(&self, arrived_ms: u64, hold_ms: u64) -> bool {
        self.notices().is_closed_to(arrived_ms, hold_ms)
    }

    fn is_evacuated(&self) -> bool {
        self.evacuated_ms.load(Ordering::Relaxed) != 0
    }

    /// Sets the time at which this host learned of the evacuation of the server's zone; `None` if
    /// the zone is not evacuated.
    pub fn set_evacuated(&self, since_ms: Option<u64>) {
        let since_ms = since_ms.unwrap_or(0);
        self.evacuated_ms.store(since_ms, Ordering::Relaxed);
    }

    /// Returns true if the server still gets requests for the keys that it holds. After this host
    /// has learned of the evacuation of the server's zone, the server gets such requests for
    /// `evacuation_hold_ms`, while the keys are moved to other servers.
    pub fn serves_held_keys(&self, evacuation_hold_ms: u64) -> bool {
        let since_ms = self.evacuated_ms.load(Ordering::Relaxed);
        let held = since_ms == 0 || clock::now_ms() < since_ms + evacuation_hold_ms;
        held && !self.leaving()
    }

    /// Marks the server as cold for `cold_ms`, counted from this call; 0 marks the server as warm.
    pub fn set_cold_for(&self, cold_ms: u64) {
        let until_ms = if cold_ms > 0 {
            clock::now_ms() + cold_ms
        } else {
            0
        };
        self.cold_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Returns the remaining time for which the server is cold; 0 for a warm server.
    pub fn cold_remaining_ms(&self) -> u64 {
        let until_ms = self.cold_until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(clock::now_ms())
    }

    /// Returns true if the server is cold and this host may not send it a request at present,
    /// because no warm-up window of this host is open.
    pub fn is_limited_by_warmup(&self, rule: Option<WarmupLimit>) -> bool {
        let Some(rule) = rule.filter(|_| self.cold_remaining_ms() > 0) else {
            return false;
        };
        let mut warmup_windows = self.warmup_windows();
        !warmup_windows.is_open(rule.window_every_ms, rand::random(), clock::now_ms())
    }

    /// Records that this host is about to send the server a request, which uses up the current
    /// warm-up window if the server is cold.
    pub fn take_warmup_window(&self, rule: Option<WarmupLimit>) {
        if let Some(rule) = rule.filter(|_| self.cold_remaining_ms() > 0) {
            self.warmup_windows().take(rule.window_every_ms);
        }
    }

    /// Returns true if the entry says that the server is leaving and must get no new work.
    pub fn leaving(&self) -> bool {
        self.leaving_since_ms.load(Ordering::Relaxed) != 0
    }

    /// Returns the time, in milliseconds, since this host learned from the entry that the server is
    /// leaving; `None` if the entry does not say so.
    pub fn entry_leaving_for_ms(&self) -> Option<u64> {
        let since_ms = self.leaving_since_ms.load(Ordering::Relaxed);
        (since_ms != 0).then(|| clock::now_ms().saturating_sub(since_ms))
    }

    /// Sets whether the server is leaving and must get no new work.
    pub fn set_leaving(&self, leaving: bool) {
        if self.leaving() != leaving {
            let since_ms = leaving_since_ms(leaving);
            self.leaving_since_ms.store(since_ms, Ordering::Relaxed);
        }
    }

    /// Records the notice in a response from the server to this host. A notice states that the
    /// server leaves, or asks for a backoff, which is a period without requests.
    pub fn note_notice(&self, notice: Notice) -> NoticeEffect {
        self.notices().note(notice, clock::now_ms())
    }

    /// Records that the server announced its leaving to another host. Returns true if no notice had
    /// told this host before that the server leaves.
    pub fn note_leaving_elsewhere(&self) -> bool {
        self.notices().note_leaving_elsewhere(clock::now_ms())
    }

    /// Returns true if the server has announced its leaving to this host in a response while its
    /// entry does not say so.
    pub fn leaves_by_notice_only(&self) -> bool {
        !self.leaving() && self.notices().has_announced_leaving()
    }

    /// Returns the time since this host first learned from notices that the server leaves; `None`
    /// if no notice says so.
    pub fn leaves_for_ms(&self) -> Option<u64> {
        self.notices().leaves_for_ms(clock::now_ms())
    }

    /// Returns a shared reference to the notices, which the registry keeps after the server's entry
    /// was removed.
    pub fn kept_notices(&self) -> Arc<Mutex<Notices>> {
        self.notices.clone()
    }

    /// Returns the remaining backoff, in which this host must send the server no requests; 0 if
    /// there is none.
    pub fn backoff_ms(&self) -> u64 {
        self.notices().backoff_ms(clock::now_ms())
    }

    /// Returns the number of this host's requests in flight at the server.
    pub fn own_load(&self) -> u32 {
        self.own.load(Ordering::Relaxed)
    }

    /// Returns the number of requests of all hosts in flight at the server: this host's own number
    /// plus the latest numbers that the other hosts reported.
    pub fn load(&self) -> u32 {
        self.own_load() + self.others.load(Ordering::Relaxed)
    }

    /// Records the load that the other hosts report for the server: the number of their requests in
    /// flight, and the average run time of their requests in milliseconds, 0 if unknown.
    pub fn set_others(&self, load: u32, run_ms: f64) {
        self.others.store(load, Ordering::Relaxed);
        let run_us = (run_ms * 1000.0) as u64;
        self.shared_run_us.store(run_us, Ordering::Relaxed);
    }

    /// Counts a request as in flight at the server until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>, digests: RequestDigests) -> InFlight {
        self.running_requests().begin(digests);
        self.in_flight(digests)
    }

    /// Counts a suspect (a request that may crash servers) as in flight at the server until the
    /// returned guard is dropped. No other suspect may run on the server at the same time.
    pub fn begin_trial_request(self: &Arc<Self>, digests: RequestDigests) -> InFlight {
        self.running_requests().begin_trial(digests);
        self.in_flight(digests)
    }

    fn in_flight(self: &Arc<Self>, digests: RequestDigests) -> InFlight {
        self.own.fetch_add(1, Ordering::Relaxed);
        self.rate.note_sent();
        InFlight {
            server: self.clone(),
            digests,
            is_answered: false,
        }
    }

    /// Returns this host's requests that the server may have been running when the server crashed.
    pub fn suspects(&self) -> Suspects {
        let now_ms = clock::now_ms();
        let running_requests = self.running_requests();
        Suspects {
            digests: running_requests.suspects(now_ms),
            shared: running_requests.shared_suspects(now_ms),
        }
    }

    /// Returns true if the server has answered this host since the latest broken connection.
    pub fn has_answered_since_broken_connection(&self) -> bool {
        self.answered_ms() > self.broken_connections.latest_ms()
    }

    /// Returns true if a liveness probe of this host found that the server has crashed.
    pub fn is_known_crashed(&self) -> bool {
        self.broken_connections.is_crash_known(self.answered_ms())
    }

    /// Returns the average run time of requests at the server, in milliseconds, from the
    /// measurements of this host and of the other hosts; 0 if unknown.
    pub fn run_ms(&self) -> f64 {
        let own = self.own_run_ms();
        let shared = self.shared_run_us.load(Ordering::Relaxed) as f64 / 1000.0;
        match (own > 0.0, shared > 0.0) {
            (true, true) => (own + shared) / 2.0,
            (true, false) => own,
            _ => shared,
        }
    }

    /// Returns the average run time of this host's requests at the server, in milliseconds; 0 if
    /// unknown.
    pub fn own_run_ms(&self) -> f64 {
        self.attempt_stats().run_ms(clock::now_ms())
    }

    /// Returns the server's current state as input for the choice of a server by a host in
    /// `availability_zone`.
    pub fn candidate(
        &self,
        availability_zone: &str,
        rule: Option<WarmupLimit>,
        policy: &Policy,
    ) -> Candidate {
        let now_ms = clock::now_ms();
        let attempt_stats = *self.attempt_stats();
        Candidate {
            slots: self.entry.slots,
            load: self.load(),
            run_ms: self.run_ms(),
            since_outcome_ms: attempt_stats.since_outcome_ms(now_ms),
            slowdown: self
                .slowdowns()
                .known
                .relative(now_ms, policy.slowdown_memory_ms),
            failures: attempt_stats.failures(now_ms),
            is_paused: attempt_stats.is_paused(now_ms) || self.is_limited_by_warmup(rule),
            is_other_region: false,
            is_same_zone: *self.entry.availability_zone == *availability_zone,
            has_idle_connection: self.pool.has_idle(),
        }
    }

    /// Records a response from the server. `run_ms` is the run time of the request, and
    /// `found_free_slot` is true if the request did not have to queue, which makes the run time a
    /// valid sample.
    pub fn answered(&self, run_ms: f64, found_free_slot: bool) {
        let now_ms = clock::now_ms();
        self.answered_ms.store(now_ms, Ordering::Relaxed);
        self.attempt_stats()
            .answered(run_ms, found_free_slot, now_ms);
    }

    /// Records the slowdown that the server reported to another host at `at_ms`.
    pub fn note_slowdown(&self, slowdown: f64, at_ms: u64) {
        self.slowdowns().known.note(slowdown, at_ms);
    }

    /// Records the slowdown that the server reported to this host.
    pub fn note_own_slowdown(&self, slowdown: f64) {
        let now_ms = clock::now_ms();
        let mut slowdowns = self.slowdowns();
        slowdowns.known.note(slowdown, now_ms);
        slowdowns.own = Some((slowdown, now_ms));
    }

    /// Returns the latest slowdown that the server reported to this host, and the time of the
    /// report.
    pub fn own_slowdown(&self) -> Option<(f64, u64)> {
        self.slowdowns().own
    }

    /// Returns the time at which the server last answered a request of this host; 0 if it never
    /// did.
    pub fn answered_ms(&self) -> u64 {
        self.answered_ms.load(Ordering::Relaxed)
    }

    /// Records an attempt that failed because the server shed the request, the connection broke or
    /// the attempt timed out.
    pub fn failed(&self) {
        self.attempt_stats().failed(clock::now_ms());
    }

    /// Forgets failed attempts and ends the pause after them, because they were failures of the
    /// path to the server.
    pub fn reset_failures(&self) {
        self.attempt_stats().reset_failures();
    }

    /// Records an attempt that failed because no connection could be opened.
    pub fn not_connected(&self) {
        self.attempt_stats().not_connected(clock::now_ms());
    }

    fn slowdowns(&self) -> MutexGuard<'_, SlowdownReports> {
        self.slowdowns
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn notices(&self) -> MutexGuard<'_, Notices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn warmup_windows(&self) -> MutexGuard<'_, WarmupWindows> {
        self.warmup_windows
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn running_requests(&self) -> MutexGuard<'_, RunningRequests> {
        self.running_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn attempt_stats(&self) -> MutexGuard<'_, AttemptStats> {
        self.attempt_stats
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the current time if a server is leaving, else 0.
fn leaving_since_ms(is_leaving: bool) -> u64 {
    if is_leaving { clock::now_ms() } else { 0 }
}

/// Guard of a request in flight at a server; the request counts as in flight until the guard is
/// dropped.
#[derive(Debug)]
pub struct InFlight {
    server: Arc<Server>,
    digests: RequestDigests,
    is_answered: bool,
}

impl InFlight {
    /// Records that the server has answered, or has stated that it did not run the request. Without
    /// this call the request counts as abandoned when the guard is dropped, so the server may still
    /// be running it.
    pub fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.server.own.fetch_sub(1, Ordering::Relaxed);
        let mut running_requests = self.server.running_requests();
        if self.is_answered {
            running_requests.answered(self.digests);
        } else {
            running_requests.abandoned(self.digests, clock::now_ms());
        }
    }
}
