//! A backend server as one host sees it: its entry, its load and its recent behaviour.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use xxhash_rust::xxh3::xxh3_64;

use super::{model::ServerEntry, pool::Pool};
use crate::{clock, platform::Link};

/// Share of a new sample in the average of run times.
const RUN_SAMPLE_WEIGHT: f64 = 0.2;
/// Share of a new outcome in the share of failures.
const FAILURE_SAMPLE_WEIGHT: f64 = 0.15;
/// Time in which half of what is known of a server is forgotten, so that one that was avoided is
/// tried again.
const FORGET_HALF_MS: f64 = 3_000.0;
/// First pause after a failed connect; it doubles with each further one.
const PAUSE_FIRST_MS: u64 = 200;
/// Longest pause after failed connects.
const PAUSE_MAX_MS: u64 = 2_000;

/// What one host has learnt of a server.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    /// Average time of requests that found a free slot; 0 if unknown.
    run_ms: f64,
    /// Share of attempts that failed or were shed.
    failures: f64,
    /// When the two were last brought up to date.
    at_ms: u64,
    /// Failed connects in a row.
    connect_failures: u32,
    /// No attempt before this time.
    paused_until_ms: u64,
}

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
    cold_until_ms: u64,
    leaving: AtomicBool,
    own: AtomicU32,
    others: AtomicU32,
    shared_run_us: AtomicU64,
    record: Mutex<Record>,
}

/// Short name of a server or service in messages between hosts.
pub fn tag_of(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

impl Server {
    /// A server whose entry was just seen.
    pub fn new(entry: ServerEntry) -> Self {
        Self {
            tag: tag_of(&entry.id),
            pool: Pool::new(entry.address),
            orders: Link::new(entry.address),
            cold_until_ms: clock::now_ms() + entry.cold_ms,
            leaving: AtomicBool::new(entry.leaving),
            own: AtomicU32::new(0),
            others: AtomicU32::new(0),
            shared_run_us: AtomicU64::new(0),
            record: Mutex::default(),
            entry,
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

    /// True while it is slow after its start.
    pub fn cold(&self) -> bool {
        clock::now_ms() < self.cold_until_ms
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
    pub fn enter(self: &std::sync::Arc<Self>) -> InFlight {
        self.own.fetch_add(1, Ordering::Relaxed);
        InFlight(self.clone())
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
        let record = self.record();
        // After long silence the evidence is worth nothing.
        let age_ms = clock::now_ms().saturating_sub(record.at_ms) as f64;
        if age_ms > 2.0 * FORGET_HALF_MS {
            return 0.0;
        }
        record.run_ms
    }

    /// Share of attempts that failed of late.
    pub fn failures(&self) -> f64 {
        let record = self.record();
        record.failures * remembered(record.at_ms)
    }

    /// True while no attempt should be made because connections fail.
    pub fn paused(&self) -> bool {
        clock::now_ms() < self.record().paused_until_ms
    }

    /// Notes an answer; `found_free_slot` if it did not have to queue.
    pub fn answered(&self, run_ms: f64, found_free_slot: bool) {
        let mut record = self.record();
        record.update_failures(0.0);
        record.connect_failures = 0;
        record.paused_until_ms = 0;
        if !found_free_slot {
            return;
        }
        record.run_ms = if record.run_ms == 0.0 {
            run_ms
        } else {
            record.run_ms + RUN_SAMPLE_WEIGHT * (run_ms - record.run_ms)
        };
    }

    /// Notes an attempt that was shed, broke off or timed out.
    pub fn failed(&self) {
        self.record().update_failures(1.0);
    }

    /// Notes a connection that did not come up.
    pub fn not_connected(&self) {
        let mut record = self.record();
        record.update_failures(1.0);
        let pause_ms = PAUSE_FIRST_MS << record.connect_failures.min(8);
        record.connect_failures += 1;
        record.paused_until_ms = clock::now_ms() + pause_ms.min(PAUSE_MAX_MS);
    }

    fn record(&self) -> MutexGuard<'_, Record> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Record {
    fn update_failures(&mut self, outcome: f64) {
        let before = self.failures * remembered(self.at_ms);
        self.failures = before + FAILURE_SAMPLE_WEIGHT * (outcome - before);
        self.at_ms = clock::now_ms();
    }
}

/// Share of evidence of that time which still counts.
fn remembered(at_ms: u64) -> f64 {
    let age_ms = clock::now_ms().saturating_sub(at_ms) as f64;
    0.5_f64.powf(age_ms / FORGET_HALF_MS)
}

/// A request at a server; counted until dropped.
#[derive(Debug)]
pub struct InFlight(std::sync::Arc<Server>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.own.fetch_sub(1, Ordering::Relaxed);
    }
}
