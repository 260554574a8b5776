//! Simulated server processes and their entries in the store.

use super::{
    ADDRESSES, BrokenRule, Caller, Command, DRAIN_BOUND_MS, ENTRY_LIFETIME_MS, Item, KEYS,
    LEASE_MS, Name, Outcome, Pid, Simulation, StoredEntry,
};

/// Share by which the clock of a slow server is slow.
const SLOW_CLOCK: f64 = 0.02;
const HEARTBEAT_MS: u64 = 900;
/// Longest delay from the arrival of a command to its execution.
const EXECUTION_DELAY_MAX_MS: u64 = 12_000;
/// Longest time for which a request for a key runs on after the release of the key, and within its
/// lease.
const RUN_MAX_MS: u64 = 2_000;

pub struct Process {
    pub address: usize,
    pub name: Name,
    /// True if the entry states a start time, so that a later process has the same name.
    pub has_start_time: bool,
    pub is_of_service: bool,
    pub is_running: bool,
    pub is_listening: bool,
    pub frozen_until_ms: u64,
    is_draining: bool,
    is_slow: bool,
    /// Fence and end of the lease of each key.
    leases: [(u64, u64); KEYS],
    seen: [u64; KEYS],
    /// Time until which requests for released keys run.
    running_until_ms: [u64; KEYS],
}

impl Process {
    fn holds(&self, key: usize, now_ms: u64) -> bool {
        let until_ms = self.leases[key].1.max(self.running_until_ms[key]);
        self.is_running && now_ms < until_ms
    }
}

impl Simulation {
    pub(super) fn listener(&self, address: usize) -> Option<Pid> {
        self.at_address[address].filter(|pid| self.processes[*pid].is_listening)
    }

    pub(super) fn start_server(&mut self, address: usize) {
        if self.at_address[address].is_some() {
            return;
        }
        let pid = self.processes.len();
        let is_of_service = pid < ADDRESSES || !self.chance(0.1);
        // The addresses with even numbers have entries with start times.
        let has_start_time = self.config.reuses_names && address.is_multiple_of(2);
        let name = if has_start_time && is_of_service {
            address
        } else {
            ADDRESSES + pid
        };
        let is_slow = self.chance(0.5);
        self.processes.push(Process {
            address,
            name,
            has_start_time,
            is_of_service,
            is_running: true,
            is_listening: true,
            frozen_until_ms: 0,
            is_draining: false,
            is_slow,
            leases: [(0, 0); KEYS],
            seen: [0; KEYS],
            running_until_ms: [0; KEYS],
        });
        self.at_address[address] = Some(pid);
        self.log(|| format!("server {pid} starts at address {address}"));
        self.after(1, Item::ServerTick(pid));
    }

    /// Ends a server process, and starts another one at its address later.
    pub(super) fn end_server(&mut self, pid: Pid) {
        let process = &mut self.processes[pid];
        if !process.is_running {
            return;
        }
        process.is_running = false;
        process.is_listening = false;
        let address = process.address;
        self.at_address[address] = None;
        self.log(|| format!("server {pid} at address {address} ends"));
        let down_ms = if self.chance(0.5) {
            self.between(30, 900)
        } else {
            self.between(900, 9_000)
        };
        self.after(down_ms, Item::StartServer(address));
    }

    pub(super) fn begin_drain(&mut self, address: usize) {
        if let Some(pid) = self.at_address[address] {
            self.processes[pid].is_draining = true;
            self.log(|| format!("server {pid} begins to shut down"));
        }
    }

    pub(super) fn server_tick(&mut self, pid: Pid) {
        let process = &self.processes[pid];
        if !process.is_running {
            return;
        }
        let frozen_until_ms = process.frozen_until_ms;
        if self.now_ms < frozen_until_ms {
            self.after(frozen_until_ms - self.now_ms, Item::ServerTick(pid));
            return;
        }
        let (is_draining, is_of_service) = (process.is_draining, process.is_of_service);
        if is_of_service && self.now_ms >= self.faults.server_store[process.address] {
            let delay_ms = self.between(1, 60);
            self.after(delay_ms, Item::EntryWrite(pid, is_draining));
        }
        let pause_ms = if is_draining { 200 } else { HEARTBEAT_MS };
        self.after(pause_ms, Item::ServerTick(pid));
    }

    /// The store applies a heartbeat. The write of a leaving server takes effect once.
    pub(super) fn write_entry(&mut self, pid: Pid, is_leaving: bool) {
        if self.now_ms < self.faults.store_down || self.store.departed.contains(&pid) {
            return;
        }
        let Process { name, .. } = self.processes[pid];
        let found = self.store.entries.get(&name).map(|(entry, _)| *entry);
        if found.is_some_and(|found| found.pid > pid) {
            return;
        }
        let entry = StoredEntry { pid, is_leaving };
        let is_changed = found != Some(entry);
        if is_leaving {
            self.store.departed.insert(pid);
            let pause_ms = DRAIN_BOUND_MS + self.between(0, 500);
            self.after(pause_ms, Item::CloseListener(pid));
        }
        if is_leaving && self.chance(0.5) {
            self.store.entries.remove(&name);
        } else {
            self.store.entries.insert(name, (entry, self.now_ms));
        }
        if is_changed {
            self.store.version += 1;
            self.store.changes.push((self.store.version, name));
        }
    }

    pub(super) fn expire_entries(&mut self) {
        let now_ms = self.now_ms;
        let outage_end_ms = self.faults.store_down;
        let is_old = |heard_ms: &u64| now_ms > heard_ms.max(&outage_end_ms) + ENTRY_LIFETIME_MS;
        let entries = self.store.entries.iter();
        let old = entries.filter(|(_, (_, heard_ms))| is_old(heard_ms));
        let names: Vec<Name> = old.map(|(name, _)| *name).collect();
        for name in names {
            self.store.entries.remove(&name);
            self.store.version += 1;
            self.store.changes.push((self.store.version, name));
        }
    }

    /// A command arrives at the address of a server.
    pub(super) fn arrive(&mut self, caller: Caller, target: Pid, command: Command) {
        let address = self.processes[target].address;
        if self.now_ms < self.faults.host_server[caller.host][address] {
            return;
        }
        let is_refused = self.now_ms < self.faults.refusing[caller.host][address];
        let Some(pid) = self.listener(address).filter(|_| !is_refused) else {
            self.answer(caller, address, Outcome::Refused, 1);
            return;
        };
        if matches!(command, Command::Connect) {
            self.answer(caller, address, Outcome::Connected(pid), 1);
            return;
        }
        self.take(caller, pid, target, command);
    }

    /// A command for the server `target` arrives over a connection to a process. The connection ends
    /// with the process.
    pub(super) fn arrive_at_process(
        &mut self,
        caller: Caller,
        pid: Pid,
        target: Pid,
        command: Command,
    ) {
        let address = self.processes[pid].address;
        let is_cut = self.now_ms < self.faults.host_server[caller.host][address];
        if self.processes[pid].is_running && !is_cut {
            self.take(caller, pid, target, command);
        }
    }

    /// A process gets a command for the server `target`, and executes it soon or late if its own
    /// name is that of the server.
    fn take(&mut self, caller: Caller, pid: Pid, target: Pid, command: Command) {
        let address = self.processes[pid].address;
        if self.processes[pid].name != self.processes[target].name {
            // A frozen process answers nothing.
            if self.now_ms >= self.processes[pid].frozen_until_ms {
                self.answer(caller, address, Outcome::OtherServer, 5);
            }
            return;
        }
        let is_late = self.now_ms < self.faults.late && self.chance(0.5) || self.chance(0.02);
        let longest_ms = if is_late { EXECUTION_DELAY_MAX_MS } else { 20 };
        let delay_ms = self.between(0, longest_ms);
        self.after(delay_ms, Item::Execute(caller, pid, command, self.now_ms));
    }

    pub(super) fn execute(&mut self, caller: Caller, pid: Pid, command: Command, arrived_ms: u64) {
        let now_ms = self.now_ms;
        let ignores_fence = self.is_broken(BrokenRule::Fence);
        let process = &mut self.processes[pid];
        if !process.is_running {
            return;
        }
        if now_ms < process.frozen_until_ms {
            let wait_ms = process.frozen_until_ms - now_ms;
            self.after(wait_ms, Item::Execute(caller, pid, command, arrived_ms));
            return;
        }
        let address = process.address;
        match command {
            Command::Connect => {}
            Command::Grant { key, fence } => {
                if fence < process.seen[key] && !ignores_fence {
                    self.answer(caller, address, Outcome::Superseded, 2);
                    return;
                }
                process.seen[key] = process.seen[key].max(fence);
                let clock = if process.is_slow {
                    1.0 / (1.0 - SLOW_CLOCK)
                } else {
                    1.0
                };
                let until_ms = arrived_ms + (LEASE_MS as f64 * clock) as u64;
                process.leases[key] = (fence, process.leases[key].1.max(until_ms));
                self.log(|| {
                    format!("server {pid} executes a grant of key {key} under {fence} by host {}, lease until {}", caller.host, until_ms.saturating_sub(20_000))
                });
                self.check(key);
                self.answer(caller, address, Outcome::Held, 2);
            }
            Command::Release { key, fence } => {
                process.seen[key] = process.seen[key].max(fence);
                let (held_fence, until_ms) = process.leases[key];
                let is_held = now_ms < until_ms;
                if held_fence <= fence {
                    process.leases[key] = (held_fence, 0);
                }
                // A server serves no request for a key beyond its lease.
                let left_ms = until_ms.saturating_sub(now_ms).min(RUN_MAX_MS);
                let run_ms = if is_held && self.chance(0.5) {
                    self.between(0, left_ms)
                } else {
                    0
                };
                let process = &mut self.processes[pid];
                let running_until_ms = process.running_until_ms[key].max(now_ms + run_ms);
                process.running_until_ms[key] = running_until_ms;
                self.log(|| format!("server {pid} releases key {key} under {fence}"));
                self.answer(
                    caller,
                    address,
                    Outcome::Released,
                    running_until_ms - now_ms + 2,
                );
            }
        }
    }

    /// Checks that at most one server holds a key.
    fn check(&mut self, key: usize) {
        let now_ms = self.now_ms;
        let processes = self.processes.iter().enumerate();
        let holders = processes.filter(|(_, process)| process.holds(key, now_ms));
        let holders: Vec<Pid> = holders.map(|(pid, _)| pid).collect();
        if holders.len() > 1 {
            self.log(|| format!("servers {holders:?} hold key {key}"));
            self.violation = Some(format!(
                "{} ms: servers {holders:?} hold key {key}",
                now_ms - 20_000
            ));
        }
    }
}
