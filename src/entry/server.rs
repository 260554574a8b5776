//! A backend server as one host sees it: its entry, its standing, its load and its recent behaviour.

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    crashes::{break_offs::BreakOffs, reports::Suspects},
    decide::{
        Candidate, Policy,
        behaviour::Behaviour,
        notices::{Learned, Notices},
        pace::Pace,
        warmup::{self, Turns},
    },
    digest::RequestDigests,
    events::Event,
    model::{Notice, ServerEntry, Warmup},
    pool::Pool,
    runs::Runs,
    shared_rate::SharedRate,
};
use crate::{clock, platform::Link};

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// What it says of itself, as first seen.
    pub entry: ServerEntry,
    /// Short name in messages between hosts.
    pub tag: u32,
    /// Connections for requests.
    pub pool: Pool,
    /// Connection for orders.
    pub orders: Link,
    leaving: AtomicBool,
    /// When its zone was seen to be evacuated; 0 if it is not.
    evacuated_ms: AtomicU64,
    cold_until_ms: AtomicU64,
    /// Time that it remains cold, as its entry told last.
    entry_cold_ms: AtomicU64,
    /// Shared with what is kept of it while its entry is gone.
    notices: Arc<Mutex<Notices>>,
    turns: Mutex<Turns>,
    own: AtomicU32,
    others: AtomicU32,
    shared_run_us: AtomicU64,
    answered_ms: AtomicU64,
    paces: Mutex<PaceReports>,
    behaviour: Mutex<Behaviour>,
    runs: Mutex<Runs>,
    /// Rate that it takes from all hosts together, and this host's part.
    pub rate: SharedRate,
    /// Connections to it that broke off.
    pub break_offs: BreakOffs,
}

/// What is known of a server's pace.
#[derive(Debug, Default)]
struct PaceReports {
    /// By what it told any host.
    known: Pace,
    /// What it told this host last, and when.
    own: Option<(f64, u64)>,
}

/// What the servers of a service bear while they are cold, and how many hosts share that.
#[derive(Clone, Copy, Debug)]
pub struct WarmupLimit {
    turn_every_ms: u64,
}

impl WarmupLimit {
    /// The rule for a host that knows so many hosts, itself included.
    pub fn new(warmup: Warmup, hosts: usize) -> Self {
        Self {
            turn_every_ms: warmup::turn_every_ms(warmup.per_s, hosts),
        }
    }
}

/// Short name of a server or service in messages between hosts.
pub fn tag_of(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

impl Server {
    /// A server whose entry was just seen, and which has told nothing yet.
    pub fn new(entry: ServerEntry) -> Self {
        Self::with_notices(entry, Arc::default())
    }

    /// A server whose entry is back, with what it told before.
    pub fn with_notices(entry: ServerEntry, notices: Arc<Mutex<Notices>>) -> Self {
        let server = Self {
            tag: tag_of(&entry.id),
            pool: Pool::new(entry.address),
            orders: Link::new(entry.address),
            leaving: AtomicBool::new(entry.leaving),
            evacuated_ms: AtomicU64::new(0),
            cold_until_ms: AtomicU64::new(0),
            entry_cold_ms: AtomicU64::new(entry.cold_ms),
            rate: SharedRate::new(notices.clone()),
            notices,
            turns: Mutex::default(),
            own: AtomicU32::new(0),
            others: AtomicU32::new(0),
            shared_run_us: AtomicU64::new(0),
            answered_ms: AtomicU64::new(0),
            paces: Mutex::default(),
            behaviour: Mutex::default(),
            runs: Mutex::default(),
            break_offs: BreakOffs::default(),
            entry,
        };
        server.set_cold_for(server.entry.cold_ms);
        server
    }

    /// Its entry as it is now.
    pub fn current_entry(&self) -> ServerEntry {
        ServerEntry {
            leaving: self.leaving(),
            cold_ms: self.cold_remaining_ms(),
            ..self.entry.clone()
        }
    }

    /// True if an entry is about this incarnation and says the same of what stays while it lives.
    /// Another writer may have put a known name to another service or address.
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

    /// Takes in a later entry of this incarnation.
    pub fn renew(&self, entry: &ServerEntry) {
        if self.leaving() != entry.leaving {
            self.set_leaving(entry.leaving);
            Event::server(entry).log();
        }
        let told_ms = self.entry_cold_ms.swap(entry.cold_ms, Ordering::Relaxed);
        if told_ms != entry.cold_ms {
            self.set_cold_for(entry.cold_ms);
        }
    }

    /// True if it may get work that any server of its service could do, and keys.
    pub fn takes_new_work(&self) -> bool {
        !self.leaving() && !self.notices().leaves() && !self.is_evacuated()
    }

    /// True if a request may go to it for want of a server that takes new work: it has said that it leaves, so
    /// lately that it still serves.
    pub fn takes_work_while_leaving(&self, arrived_ms: u64, hold_ms: u64) -> bool {
        !self.leaving() && !self.is_evacuated() && !self.is_closed_to(arrived_ms, hold_ms)
    }

    /// True if a request that came to this host at a time must not go there, since the server had told this
    /// host `hold_ms` before that it leaves.
    pub fn is_closed_to(&self, arrived_ms: u64, hold_ms: u64) -> bool {
        self.notices().is_closed_to(arrived_ms, hold_ms)
    }

    fn is_evacuated(&self) -> bool {
        self.evacuated_ms.load(Ordering::Relaxed) != 0
    }

    /// Notes since when its zone is evacuated; `None` if it is not.
    pub fn set_evacuated(&self, since_ms: Option<u64>) {
        let since_ms = since_ms.unwrap_or(0);
        self.evacuated_ms.store(since_ms, Ordering::Relaxed);
    }

    /// True if it still gets requests for keys that it holds: for a while after its zone was
    /// evacuated, until they have gone to others.
    pub fn serves_held_keys(&self, evacuation_hold_ms: u64) -> bool {
        let since_ms = self.evacuated_ms.load(Ordering::Relaxed);
        let held = since_ms == 0 || clock::now_ms() < since_ms + evacuation_hold_ms;
        held && !self.leaving()
    }

    /// Notes that it is cold from now on for a time.
    pub fn set_cold_for(&self, cold_ms: u64) {
        let until_ms = if cold_ms > 0 {
            clock::now_ms() + cold_ms
        } else {
            0
        };
        self.cold_until_ms.store(until_ms, Ordering::Relaxed);
    }

    /// Time for which it remains cold.
    pub fn cold_remaining_ms(&self) -> u64 {
        let until_ms = self.cold_until_ms.load(Ordering::Relaxed);
        until_ms.saturating_sub(clock::now_ms())
    }

    /// True if it is cold and this host has no turn at it.
    pub fn is_limited_by_warmup(&self, rule: Option<WarmupLimit>) -> bool {
        let Some(rule) = rule.filter(|_| self.cold_remaining_ms() > 0) else {
            return false;
        };
        let mut turns = self.turns();
        !turns.is_open(rule.turn_every_ms, rand::random(), clock::now_ms())
    }

    /// Notes that a request is about to be sent, which uses a turn if it is cold.
    pub fn take_turn(&self, rule: Option<WarmupLimit>) {
        if let Some(rule) = rule.filter(|_| self.cold_remaining_ms() > 0) {
            self.turns().take(rule.turn_every_ms);
        }
    }

    /// True if it must get no new work.
    pub fn leaving(&self) -> bool {
        self.leaving.load(Ordering::Relaxed)
    }

    /// Notes whether it must get no new work.
    pub fn set_leaving(&self, leaving: bool) {
        self.leaving.store(leaving, Ordering::Relaxed);
    }

    /// Takes in what an answer said of the wish for further requests.
    pub fn note_notice(&self, notice: Notice) -> Learned {
        self.notices().note(notice, clock::now_ms())
    }

    /// Notes that it told another host that it leaves; true if this host did not know.
    pub fn note_leaving_elsewhere(&self) -> bool {
        self.notices().note_leaving_elsewhere(clock::now_ms())
    }

    /// True if it has told this host that it leaves, and its entry does not say so.
    pub fn leaves_by_notice_only(&self) -> bool {
        !self.leaving() && self.notices().has_told_leaving()
    }

    /// Time since this host first knew from notices that it leaves.
    pub fn leaves_for_ms(&self) -> Option<u64> {
        self.notices().leaves_for_ms(clock::now_ms())
    }

    /// What it told, to be kept while its entry is gone.
    pub fn kept_notices(&self) -> Arc<Mutex<Notices>> {
        self.notices.clone()
    }

    /// Time for which it wants no requests of this host; 0 if it takes them.
    pub fn rest_ms(&self) -> u64 {
        self.notices().rest_ms(clock::now_ms())
    }

    /// Requests of this host that are at the server.
    pub fn own_load(&self) -> u32 {
        self.own.load(Ordering::Relaxed)
    }

    /// Requests of all hosts that are at the server, as last reported.
    pub fn load(&self) -> u32 {
        self.own_load() + self.others.load(Ordering::Relaxed)
    }

    /// Notes what the other hosts report: their requests and their average run time, 0 if unknown.
    pub fn set_others(&self, load: u32, run_ms: f64) {
        self.others.store(load, Ordering::Relaxed);
        let run_us = (run_ms * 1000.0) as u64;
        self.shared_run_us.store(run_us, Ordering::Relaxed);
    }

    /// Counts a request until the result is dropped.
    pub fn enter(self: &Arc<Self>, digests: RequestDigests) -> InFlight {
        self.runs().begin(digests);
        self.in_flight(digests)
    }

    /// Counts a suspect until the result is dropped; no other one runs there.
    pub fn enter_for_trial(self: &Arc<Self>, digests: RequestDigests) -> InFlight {
        self.runs().begin_trial(digests);
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

    /// This host's requests that it may have been running just now.
    pub fn suspects(&self) -> Suspects {
        let now_ms = clock::now_ms();
        let runs = self.runs();
        Suspects {
            digests: runs.suspects(now_ms),
            shared: runs.shared_suspects(now_ms),
        }
    }

    /// True if it has answered this host after the latest connection that broke off.
    pub fn has_answered_since_break_off(&self) -> bool {
        self.answered_ms() > self.break_offs.latest_ms()
    }

    /// Average run time by this host's and the others' evidence; 0 if unknown.
    pub fn run_ms(&self) -> f64 {
        let own = self.own_run_ms();
        let shared = self.shared_run_us.load(Ordering::Relaxed) as f64 / 1000.0;
        match (own > 0.0, shared > 0.0) {
            (true, true) => (own + shared) / 2.0,
            (true, false) => own,
            _ => shared,
        }
    }

    /// Average run time by this host's evidence; 0 if unknown.
    pub fn own_run_ms(&self) -> f64 {
        self.behaviour().run_ms(clock::now_ms())
    }

    /// The server as decisions of a host in `availability_zone` see it now.
    pub fn candidate(
        &self,
        availability_zone: &str,
        rule: Option<WarmupLimit>,
        policy: &Policy,
    ) -> Candidate {
        let now_ms = clock::now_ms();
        let behaviour = *self.behaviour();
        Candidate {
            slots: self.entry.slots,
            load: self.load(),
            run_ms: self.run_ms(),
            unheard_ms: behaviour.unheard_ms(now_ms),
            pace: self.paces().known.relative(now_ms, policy.pace_memory_ms),
            failures: behaviour.failures(now_ms),
            is_paused: behaviour.is_paused(now_ms) || self.is_limited_by_warmup(rule),
            is_far: false,
            is_near: *self.entry.availability_zone == *availability_zone,
            has_idle_connection: self.pool.has_idle(),
        }
    }

    /// Notes an answer; `found_free_slot` if it did not have to queue.
    pub fn answered(&self, run_ms: f64, found_free_slot: bool) {
        let now_ms = clock::now_ms();
        self.answered_ms.store(now_ms, Ordering::Relaxed);
        self.behaviour().answered(run_ms, found_free_slot, now_ms);
    }

    /// Notes the pace that the server told another host at a time.
    pub fn note_pace(&self, pace: f64, at_ms: u64) {
        self.paces().known.note(pace, at_ms);
    }

    /// Notes the pace that the server told this host.
    pub fn note_own_pace(&self, pace: f64) {
        let now_ms = clock::now_ms();
        let mut paces = self.paces();
        paces.known.note(pace, now_ms);
        paces.own = Some((pace, now_ms));
    }

    /// What it told this host last of its pace, and when.
    pub fn own_pace(&self) -> Option<(f64, u64)> {
        self.paces().own
    }

    /// When it last answered a request of this host.
    pub fn answered_ms(&self) -> u64 {
        self.answered_ms.load(Ordering::Relaxed)
    }

    /// Notes an attempt that was shed, broke off or timed out.
    pub fn failed(&self) {
        self.behaviour().failed(clock::now_ms());
    }

    /// Notes a connection that did not come up.
    pub fn not_connected(&self) {
        self.behaviour().not_connected(clock::now_ms());
    }

    fn paces(&self) -> MutexGuard<'_, PaceReports> {
        self.paces.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn notices(&self) -> MutexGuard<'_, Notices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn turns(&self) -> MutexGuard<'_, Turns> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn runs(&self) -> MutexGuard<'_, Runs> {
        self.runs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request at a server; counted until dropped.
#[derive(Debug)]
pub struct InFlight {
    server: Arc<Server>,
    digests: RequestDigests,
    is_answered: bool,
}

impl InFlight {
    /// Notes that the server has answered, or said that it did not run the request.
    pub fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.server.own.fetch_sub(1, Ordering::Relaxed);
        let mut runs = self.server.runs();
        if self.is_answered {
            runs.answered(self.digests);
        } else {
            runs.cut_off(self.digests, clock::now_ms());
        }
    }
}
