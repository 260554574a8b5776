//! Load and run time of a server over all hosts: this host's own values, and those that the other
//! hosts report.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};

use super::Server;

/// Load and run time of a server, by the latest reports from the other hosts.
#[derive(Debug, Default)]
pub struct OtherHostsLoad {
    /// Number of other hosts' requests in flight at the server.
    in_flight: AtomicU32,
    /// Average run time of other hosts' requests at the server, in microseconds; 0 if unknown.
    run_us: AtomicU64,
}

impl Server {
    /// Returns the number of requests of all hosts in flight at the server: this host's own number
    /// plus the latest numbers that the other hosts reported.
    pub fn load(&self) -> u32 {
        self.own_load() + self.other_hosts.in_flight.load(Ordering::Relaxed)
    }

    /// Records the load that the other hosts report for the server: the number of their requests in
    /// flight, and the average run time of their requests in milliseconds, 0 if unknown.
    pub fn set_other_hosts_load(&self, load: u32, run_ms: f64) {
        self.other_hosts.in_flight.store(load, Ordering::Relaxed);
        let run_us = (run_ms * 1000.0) as u64;
        self.other_hosts.run_us.store(run_us, Ordering::Relaxed);
    }

    /// Returns the average run time of requests at the server, in milliseconds, from the
    /// measurements of this host and of the other hosts; 0 if unknown.
    pub fn run_ms(&self) -> f64 {
        let own = self.own_run_ms();
        let shared = self.other_hosts.run_us.load(Ordering::Relaxed) as f64 / 1000.0;
        match (own > 0.0, shared > 0.0) {
            (true, true) => (own + shared) / 2.0,
            (true, false) => own,
            _ => shared,
        }
    }
}
