//! Simulation of the lease rules of `entry::leases` and `entry::leadership` in virtual time: hosts,
//! servers with a few keys, and a store. The decisions are those of `decide::ended` and
//! `decide::lease_expiry`; timers and messages follow the asynchronous code around them.
//!
//! A grant reaches a server within its timeout and counts from then on, also if it is executed
//! later. Checks and the sending that depends on them are one step, so a host is never frozen
//! between them.

mod host;
mod server;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
};

use ashroad::entry::decide::Policy;
use rand::{Rng, SeedableRng, rngs::StdRng};

use self::host::{Call, Host};
pub use self::server::Process;

pub const KEYS: usize = 4;
pub const HOSTS: usize = 3;
pub const ADDRESSES: usize = 4;
pub const LEASE_MS: u64 = 4_000;
pub const OUTAGE_MS: u64 = 9_000;
/// Time after which the store removes an entry without heartbeats.
const ENTRY_LIFETIME_MS: u64 = 3_000;
const STORE_TICK_MS: u64 = 250;
const DRAIN_BOUND_MS: u64 = 2_000;

/// Server process. Every start of a server has a new number.
pub type Pid = usize;
/// Name that commands carry. Entries with a start time keep it over restarts.
pub type Name = usize;

/// Rule that a test leaves out, to show that the check of the invariant notices it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    Nothing,
    /// A refused connection is evidence without a confirmation of the entry by the store.
    Confirmation,
    /// Refused connections are evidence while an earlier leader may renew leases of a later process
    /// under the same name.
    SameName,
    /// The leader grants to servers that refuse connections.
    GrantsToSuspects,
    /// A new leader does not wait for the leases of earlier leaders.
    EarlierLeaders,
    /// The wait for a lease has neither a clock factor nor a margin.
    ClockBound,
    /// A leader grants however old its last confirmation is.
    OutageBound,
    /// Servers accept grants with lower fences than they have seen.
    Fence,
    /// The store accepts changes of assigned ranges from replaced leaders.
    RowCondition,
    /// Keys are granted to the new server without a release or an expired lease.
    Release,
    /// Any failed connection attempt counts as refused.
    OnlyRefusals,
    /// A write of assigned ranges extends the time in which a leader may grant, although it leaves
    /// the version of the leadership row as it is.
    RowConfirmation,
    /// Grants to servers that keep their name over restarts are sent over new connections as well.
    NewConnections,
}

/// Where network elements refuse connections on behalf of running servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusing {
    Nowhere,
    /// Between one host and one server at a time.
    OneHost,
    /// Between all hosts and one server at a time.
    AllHosts,
}

#[derive(Clone, Copy, Debug)]
pub struct Config {
    pub broken: BrokenRule,
    pub refusing: Refusing,
    /// True if network elements that refuse connections are the only faults.
    pub no_other_faults: bool,
    /// True if a server counts as ended only if no host has received a response from it since the
    /// first refused attempt. Reports of the hosts arrive at once, which no network achieves.
    pub needs_silence_for_all: bool,
    /// Probability that a host has received a response from a server that it can reach in 100 ms.
    pub responses_per_tick: f64,
    /// True if the servers at half of the addresses keep their name over restarts, as entries with
    /// a start time allow; false if every start has a new name, as the platform guarantees.
    pub reuses_names: bool,
    /// True if a release by a server that keeps its name counts only if it was sent after the time
    /// in which earlier leaders may grant. The product has no such rule.
    pub repeats_releases: bool,
    /// True if grants to servers that keep their name take the process that listens when they
    /// arrive, as if each were sent over a new connection.
    pub grants_over_new_connections: bool,
    /// True if leaders may be cut off right after a write of assigned ranges.
    pub isolates_after_record: bool,
    /// True if the keys of ended servers move before their leases end.
    pub moves_ended_early: bool,
    pub is_traced: bool,
}

impl Config {
    pub const PLATFORM: Self = Self {
        broken: BrokenRule::Nothing,
        refusing: Refusing::Nowhere,
        no_other_faults: false,
        needs_silence_for_all: false,
        responses_per_tick: 0.0,
        reuses_names: false,
        repeats_releases: false,
        grants_over_new_connections: false,
        isolates_after_record: false,
        moves_ended_early: true,
        is_traced: false,
    };

    fn policy(&self) -> Policy {
        let mut policy = Policy::default();
        if !self.moves_ended_early {
            policy.ended_attempts = u32::MAX;
        }
        policy
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assigned {
    pub server: Pid,
    pub fence: u64,
    pub from: Option<Pid>,
}

#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Assignment {
    pub fence: u64,
    pub keys: [Option<Assigned>; KEYS],
}

/// Row of the store that names the leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Row {
    /// Host and incarnation.
    pub leader: Option<(usize, u64)>,
    pub term: u64,
    pub confirmation: u64,
    pub earlier_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoredEntry {
    pub pid: Pid,
    pub is_leaving: bool,
}

#[derive(Clone, Debug)]
pub enum StoreCall {
    Read,
    WriteRow {
        row: Row,
        version: u64,
    },
    Record {
        assignment: Assignment,
        version: u64,
        row_version: u64,
    },
    Feed {
        after: u64,
    },
}

#[derive(Clone, Debug)]
pub enum StoreReply {
    Read {
        row: Row,
        version: u64,
    },
    Written {
        version: u64,
        assignment: Assignment,
        assignment_version: u64,
    },
    Conflict {
        row: Row,
        version: u64,
        assignment: Assignment,
        assignment_version: u64,
    },
    Feed {
        version: u64,
        changed: BTreeSet<Name>,
        entries: BTreeMap<Name, StoredEntry>,
    },
    Failed,
}

#[derive(Clone, Copy, Debug)]
pub enum Command {
    /// Opens a connection, over which grants are sent.
    Connect,
    Grant {
        key: usize,
        fence: u64,
    },
    Release {
        key: usize,
        fence: u64,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A connection to a process is open.
    Connected(Pid),
    Held,
    Superseded,
    Released,
    OtherServer,
    Refused,
    TimedOut,
}

/// Process of a host that waits for the result of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Caller {
    pub host: usize,
    pub incarnation: u64,
    pub call: u64,
}

#[derive(Clone, Debug)]
pub enum Event {
    HostTick,
    Hello {
        from: usize,
        from_incarnation: u64,
        term: u64,
    },
    Stopped {
        from: usize,
        term: u64,
    },
    Reply {
        call: u64,
        reply: StoreReply,
    },
    Answer {
        call: u64,
        outcome: Outcome,
    },
    TryConnection {
        term: u64,
        pid: Pid,
        left: u32,
    },
    Tried {
        term: u64,
        pid: Pid,
        left: u32,
        began_ms: u64,
        is_refused: bool,
    },
}

#[derive(Clone, Debug)]
enum Item {
    /// Event at one incarnation of a host.
    Host(usize, u64, Event),
    AtStore(Caller, StoreCall),
    AtAddress(Caller, Pid, Command),
    /// Command for a server, which arrives over a connection to a process.
    AtProcess {
        caller: Caller,
        process: Pid,
        target: Pid,
        command: Command,
    },
    Execute(Caller, Pid, Command, u64),
    Connection {
        host: usize,
        incarnation: u64,
        term: u64,
        pid: Pid,
        left: u32,
        began_ms: u64,
    },
    StartHost(usize),
    StartServer(usize),
    ServerTick(Pid),
    EntryWrite(Pid, bool),
    CloseListener(Pid),
    Exit(Pid),
    StoreTick,
    Fault,
}

#[derive(Default)]
struct Store {
    version: u64,
    row: Row,
    row_version: u64,
    assignment: Assignment,
    assignment_version: u64,
    entries: BTreeMap<Name, (StoredEntry, u64)>,
    changes: Vec<(u64, Name)>,
    departed: BTreeSet<Pid>,
}

/// Faults that end at a time.
#[derive(Default)]
struct Faults {
    store_down: u64,
    store_slow: u64,
    lossy: u64,
    late: u64,
    host_store: [u64; HOSTS],
    feed: [u64; HOSTS],
    host_host: [[u64; HOSTS]; HOSTS],
    host_server: [[u64; ADDRESSES]; HOSTS],
    refusing: [[u64; ADDRESSES]; HOSTS],
    server_store: [u64; ADDRESSES],
    /// True if the leader is isolated after its next write of assigned ranges.
    is_isolated_after_record: bool,
}

/// What happened in a case, to show that the cases reach the rules.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub ended: u64,
    pub early_moves: u64,
    pub moves: u64,
    pub takeovers: u64,
}

pub struct Simulation {
    pub config: Config,
    pub now_ms: u64,
    pub counts: Counts,
    pub trace: Vec<String>,
    /// First violation of the invariant.
    pub violation: Option<String>,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    items: BTreeMap<u64, Item>,
    sequence: u64,
    hosts: Vec<Host>,
    processes: Vec<Process>,
    at_address: [Option<Pid>; ADDRESSES],
    store: Store,
    faults: Faults,
}

impl Simulation {
    pub fn new(seed: u64, config: Config) -> Self {
        let mut simulation = Self {
            config,
            now_ms: 20_000,
            counts: Counts::default(),
            trace: Vec::new(),
            violation: None,
            rng: StdRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            items: BTreeMap::new(),
            sequence: 0,
            hosts: (0..HOSTS).map(Host::new).collect(),
            processes: Vec::new(),
            at_address: [None; ADDRESSES],
            store: Store::default(),
            faults: Faults::default(),
        };
        for host in 0..HOSTS {
            simulation.after(host as u64 * 30, Item::StartHost(host));
        }
        for address in 0..ADDRESSES {
            simulation.after(10, Item::StartServer(address));
        }
        simulation.after(STORE_TICK_MS, Item::StoreTick);
        simulation.after(6_000, Item::Fault);
        simulation
    }

    /// Runs until a time, or until the invariant is violated.
    pub fn run(&mut self, until_ms: u64) {
        while self.violation.is_none() {
            let Some(Reverse((at_ms, sequence))) = self.queue.pop() else {
                return;
            };
            if at_ms > until_ms {
                return;
            }
            self.now_ms = at_ms;
            let item = self
                .items
                .remove(&sequence)
                .expect("an item is queued once");
            self.handle(item);
        }
    }

    fn after(&mut self, delay_ms: u64, item: Item) {
        self.sequence += 1;
        let at_ms = self.now_ms + delay_ms;
        self.queue.push(Reverse((at_ms, self.sequence)));
        self.items.insert(self.sequence, item);
    }

    fn at_host(&mut self, host: usize, delay_ms: u64, event: Event) {
        let incarnation = self.hosts[host].incarnation;
        self.after(delay_ms, Item::Host(host, incarnation, event));
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random_bool(probability)
    }

    fn between(&mut self, low: u64, high: u64) -> u64 {
        self.rng.random_range(low..=high)
    }

    fn log(&mut self, text: impl FnOnce() -> String) {
        if self.config.is_traced {
            let line = format!("{:>6} {}", self.now_ms - 20_000, text());
            self.trace.push(line);
        }
    }

    fn is_broken(&self, rule: BrokenRule) -> bool {
        self.config.broken == rule
    }

    fn is_lost(&mut self) -> bool {
        self.now_ms < self.faults.lossy && self.chance(0.4)
    }

    fn handle(&mut self, item: Item) {
        match item {
            Item::Host(host, incarnation, event) => {
                let state = &self.hosts[host];
                if !state.is_up || state.incarnation != incarnation {
                    return;
                }
                let frozen_until_ms = state.frozen_until_ms;
                if self.now_ms < frozen_until_ms {
                    let wait_ms = frozen_until_ms - self.now_ms;
                    self.after(wait_ms, Item::Host(host, incarnation, event));
                    return;
                }
                self.host_event(host, event);
            }
            Item::AtStore(caller, call) => self.store_call(caller, call),
            Item::AtAddress(caller, pid, command) => self.arrive(caller, pid, command),
            Item::AtProcess {
                caller,
                process,
                target,
                command,
            } => self.arrive_at_process(caller, process, target, command),
            Item::Execute(caller, pid, command, arrived_ms) => {
                self.execute(caller, pid, command, arrived_ms);
            }
            Item::Connection {
                host,
                incarnation,
                term,
                pid,
                left,
                began_ms,
            } => {
                let address = self.processes[pid].address;
                let is_reachable = self.now_ms >= self.faults.host_server[host][address];
                let is_refused = is_reachable
                    && (self.now_ms < self.faults.refusing[host][address]
                        || self.listener(address).is_none());
                let is_failed = !is_reachable || is_refused;
                let counts = is_refused || is_failed && self.is_broken(BrokenRule::OnlyRefusals);
                let delay_ms = if is_reachable {
                    self.between(1, 50)
                } else {
                    350
                };
                let tried = Event::Tried {
                    term,
                    pid,
                    left,
                    began_ms,
                    is_refused: counts,
                };
                self.after(delay_ms, Item::Host(host, incarnation, tried));
            }
            Item::StartHost(host) => {
                if self.hosts[host].is_up {
                    return;
                }
                let incarnation = self.hosts[host].incarnation + 1;
                let known = std::mem::take(&mut self.hosts[host].answered_ms);
                self.hosts[host] = Host::new(host);
                self.hosts[host].answered_ms = known;
                self.hosts[host].incarnation = incarnation;
                self.hosts[host].is_up = true;
                self.hosts[host].heard_ms = self.now_ms;
                self.at_host(host, 10, Event::HostTick);
            }
            Item::StartServer(address) => self.start_server(address),
            Item::ServerTick(pid) => self.server_tick(pid),
            Item::EntryWrite(pid, is_leaving) => self.write_entry(pid, is_leaving),
            Item::CloseListener(pid) => {
                self.processes[pid].is_listening = false;
                self.log(|| format!("server {pid} closes its listener"));
                let run_ms = self.between(0, 6_000);
                self.after(run_ms, Item::Exit(pid));
            }
            Item::Exit(pid) => self.end_server(pid),
            Item::StoreTick => {
                if self.now_ms >= self.faults.store_down {
                    self.expire_entries();
                }
                self.after(STORE_TICK_MS, Item::StoreTick);
            }
            Item::Fault => self.fault(),
        }
    }

    fn call_store(&mut self, host: usize, call: Call, request: StoreCall, timeout_ms: u64) {
        let caller = self.hosts[host].begin_call(call);
        let slow_ms = if self.now_ms < self.faults.store_slow {
            700
        } else {
            20
        };
        let mut delay_ms = self.between(1, slow_ms);
        if matches!(self.hosts[host].calls.get(&caller.call), Some(Call::Feed)) {
            delay_ms = delay_ms.max(self.faults.feed[host].saturating_sub(self.now_ms));
        } else {
            let reply = Event::Reply {
                call: caller.call,
                reply: StoreReply::Failed,
            };
            self.at_host(host, timeout_ms, reply);
        }
        self.after(delay_ms, Item::AtStore(caller, request));
    }

    fn store_call(&mut self, caller: Caller, call: StoreCall) {
        let is_feed = matches!(call, StoreCall::Feed { .. });
        let is_cut = self.now_ms < self.faults.host_store[caller.host].max(self.faults.store_down);
        if is_cut || self.is_lost() {
            if is_feed {
                let failed = Event::Reply {
                    call: caller.call,
                    reply: StoreReply::Failed,
                };
                self.after(300, Item::Host(caller.host, caller.incarnation, failed));
            }
            return;
        }
        let reply = self.apply_store_call(call);
        if self.is_lost() && !is_feed {
            return;
        }
        let slow_ms = if self.now_ms < self.faults.store_slow {
            500
        } else {
            15
        };
        let delay_ms = self.between(1, slow_ms);
        let event = Event::Reply {
            call: caller.call,
            reply,
        };
        self.after(delay_ms, Item::Host(caller.host, caller.incarnation, event));
    }

    fn apply_store_call(&mut self, call: StoreCall) -> StoreReply {
        let ignores_row = self.is_broken(BrokenRule::RowCondition);
        let store = &mut self.store;
        let conflict = |store: &Store| StoreReply::Conflict {
            row: store.row,
            version: store.row_version,
            assignment: store.assignment.clone(),
            assignment_version: store.assignment_version,
        };
        match call {
            StoreCall::Read => {
                return StoreReply::Read {
                    row: store.row,
                    version: store.row_version,
                };
            }
            StoreCall::Feed { after } => {
                let changes = store.changes.iter().rev();
                let later = changes.take_while(|(version, _)| *version > after);
                let entries = store.entries.iter();
                return StoreReply::Feed {
                    version: store.version,
                    changed: later.map(|(_, name)| *name).collect(),
                    entries: entries.map(|(name, (entry, _))| (*name, *entry)).collect(),
                };
            }
            StoreCall::WriteRow { row, version } => {
                if store.row_version != version {
                    return conflict(store);
                }
                store.version += 1;
                store.row = row;
                store.row_version = store.version;
            }
            StoreCall::Record {
                assignment,
                version,
                row_version,
            } => {
                let holds = store.assignment_version == version
                    && (store.row_version == row_version || ignores_row);
                if !holds && !ignores_row {
                    return conflict(store);
                }
                store.version += 1;
                store.assignment = assignment;
                store.assignment_version = store.version;
            }
        }
        StoreReply::Written {
            version: store.version,
            assignment: store.assignment.clone(),
            assignment_version: store.assignment_version,
        }
    }

    /// Sends a command to the address of a server.
    fn send(&mut self, host: usize, pid: Pid, command: Command, call: Call, timeout_ms: u64) {
        let item = |caller| Item::AtAddress(caller, pid, command);
        self.send_item(host, call, timeout_ms, item);
    }

    /// Sends what `item` returns for the caller, and lets the call time out.
    fn send_item(
        &mut self,
        host: usize,
        call: Call,
        timeout_ms: u64,
        item: impl FnOnce(Caller) -> Item,
    ) {
        let caller = self.hosts[host].begin_call(call);
        let slowest_ms = if self.chance(0.1) { 290 } else { 20 };
        let delay_ms = self.between(1, slowest_ms);
        self.after(delay_ms, item(caller));
        let timeout = Event::Answer {
            call: caller.call,
            outcome: Outcome::TimedOut,
        };
        self.at_host(host, timeout_ms, timeout);
    }

    fn answer(&mut self, caller: Caller, address: usize, outcome: Outcome, delay_ms: u64) {
        if self.now_ms < self.faults.host_server[caller.host][address] || self.is_lost() {
            return;
        }
        let event = Event::Answer {
            call: caller.call,
            outcome,
        };
        self.after(delay_ms, Item::Host(caller.host, caller.incarnation, event));
    }

    fn fault(&mut self) {
        let pause_ms = self.between(50, 1_200);
        self.after(pause_ms, Item::Fault);
        let host = self.between(0, HOSTS as u64 - 1) as usize;
        let address = self.between(0, ADDRESSES as u64 - 1) as usize;
        let until = self.now_ms + self.between(200, 3_000);
        let long = self.now_ms + self.between(500, 14_000);
        if self.config.refusing != Refusing::Nowhere && self.chance(0.1) {
            self.log(|| format!("connections of host {host} to address {address} are refused"));
            for (other, refusing) in self.faults.refusing.iter_mut().enumerate() {
                if other == host || self.config.refusing == Refusing::AllHosts {
                    refusing[address] = until.max(self.now_ms + 1_500);
                }
            }
        }
        if self.config.isolates_after_record && self.chance(0.1) {
            self.faults.is_isolated_after_record = true;
            if let Some((leader, _)) = self.store.row.leader {
                self.cut_hosts(leader);
            }
        }
        if self.config.no_other_faults {
            return;
        }
        let kind = self.between(0, 17);
        self.log(|| format!("fault {kind}: host {host}, address {address}, {until}, {long}"));
        match kind {
            0 => self.hosts[host].frozen_until_ms = long,
            1 => self.stop_host(host),
            2 => self.faults.host_store[host] = long,
            3 | 4 => {
                let other = (host + 1) % HOSTS;
                self.faults.host_host[host][other] = long;
                self.faults.host_host[other][host] = long;
            }
            5 | 6 => self.faults.host_server[host][address] = long,
            7 => self.faults.server_store[address] = until,
            8 => {
                if let Some(pid) = self.at_address[address] {
                    self.processes[pid].frozen_until_ms = long.min(self.now_ms + 12_000);
                }
            }
            9 | 10 => {
                if let Some(pid) = self.at_address[address] {
                    self.end_server(pid);
                }
            }
            11 => self.begin_drain(address),
            12 => self.faults.store_down = until.max(self.now_ms + 2_000),
            13 => self.faults.store_slow = until,
            14 => self.faults.feed[host] = long,
            15 => self.faults.lossy = until,
            16 => self.faults.late = until,
            // The leader, and with it some servers, cut off from the others.
            _ => {
                let leader = self.store.row.leader.map_or(host, |(leader, _)| leader);
                for other in 0..HOSTS {
                    self.faults.host_host[leader][other] = long;
                    self.faults.host_host[other][leader] = long;
                    if other != leader {
                        self.faults.host_server[other][address] = long;
                    }
                }
                self.faults.host_store[leader] = self.now_ms + self.between(3_000, 14_000);
                if self.chance(0.5) {
                    for pid in self.at_address.into_iter().flatten() {
                        if self.chance(0.4) {
                            self.end_server(pid);
                        }
                    }
                }
            }
        }
    }

    /// Cuts a host off from the other hosts.
    fn cut_hosts(&mut self, host: usize) {
        for other in (0..HOSTS).filter(|other| *other != host) {
            self.faults.host_host[host][other] = self.now_ms + 16_000;
            self.faults.host_host[other][host] = self.now_ms + 16_000;
        }
    }

    /// Cuts a leader off from the store and the other hosts, and these from the servers.
    fn isolate_leader(&mut self, leader: usize) {
        self.faults.is_isolated_after_record = false;
        let until = self.now_ms + 16_000;
        self.log(|| format!("host {leader} alone reaches the servers"));
        self.faults.host_store[leader] = until;
        self.faults.host_server[leader] = [0; ADDRESSES];
        self.cut_hosts(leader);
        for other in (0..HOSTS).filter(|other| *other != leader) {
            let address = self.between(0, ADDRESSES as u64 - 1) as usize;
            self.faults.host_server[other][address] = until;
        }
    }

    fn stop_host(&mut self, host: usize) {
        if self.hosts[host].is_up {
            self.hosts[host].is_up = false;
            let down_ms = self.between(200, 6_000);
            self.after(down_ms, Item::StartHost(host));
        }
    }
}
