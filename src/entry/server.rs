//! A backend server as one host sees it: its entry, its load and its recent behaviour.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    decide::{Candidate, behaviour::Behaviour},
    model::ServerEntry,
    pool::Pool,
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
    own: AtomicU32,
    others: AtomicU32,
    shared_run_us: AtomicU64,
    behaviour: Mutex<Behaviour>,
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
            leaving: AtomicBool::new(entry.leaving),
            own: AtomicU32::new(0),
            others: AtomicU32::new(0),
            shared_run_us: AtomicU64::new(0),
            behaviour: Mutex::default(),
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
        self.behaviour().run_ms(clock::now_ms())
    }

    /// The server as decisions of a host in `availability_zone` see it now.
    pub fn candidate(&self, availability_zone: &str) -> Candidate {
        let now_ms = clock::now_ms();
        let behaviour = *self.behaviour();
        Candidate {
            slots: self.entry.slots,
            load: self.load(),
            run_ms: self.run_ms(),
            failures: behaviour.failures(now_ms),
            is_paused: behaviour.is_paused(now_ms),
            is_near: *self.entry.availability_zone == *availability_zone,
            has_idle_connection: self.pool.has_idle(),
        }
    }

    /// Notes an answer; `found_free_slot` if it did not have to queue.
    pub fn answered(&self, run_ms: f64, found_free_slot: bool) {
        let now_ms = clock::now_ms();
        self.behaviour().answered(run_ms, found_free_slot, now_ms);
    }

    /// Notes an attempt that was shed, broke off or timed out.
    pub fn failed(&self) {
        self.behaviour().failed(clock::now_ms());
    }

    /// Notes a connection that did not come up.
    pub fn not_connected(&self) {
        self.behaviour().not_connected(clock::now_ms());
    }

    fn behaviour(&self) -> MutexGuard<'_, Behaviour> {
        self.behaviour
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request at a server; counted until dropped.
#[derive(Debug)]
pub struct InFlight(std::sync::Arc<Server>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.own.fetch_sub(1, Ordering::Relaxed);
    }
}
