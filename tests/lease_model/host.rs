//! Simulated hosts: leadership, renewals, moves and suspects, with the timers of the product.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use ashroad::entry::decide::{
    Policy,
    ended::{ConnectionAttempt, EntryState, Evidence},
    lease_expiry::{self, EarlierLeaders, FormerServer, GRANT_TIMEOUT_MS, MoveStep, SentGrants},
};

use super::{
    Assigned, Assignment, BrokenRule, Caller, Command, Event, HOSTS, Item, KEYS, LEASE_MS, Name,
    OUTAGE_MS, Outcome, Pid, Row, Simulation, StoreCall, StoreReply, StoredEntry,
};

const TICK_MS: u64 = 100;
const CONFIRM_EVERY_MS: u64 = 700;
const CONFIRM_TIMEOUT_MS: u64 = 1_000;
const RECORD_TIMEOUT_MS: u64 = 1_500;
const CONFIRMED_MS: u64 = 1_900;
const TAKEOVER_MS: u64 = 1_600;
const STOPPED_REPORT_MS: u64 = 3_000;
const RENEW_EVERY_MS: u64 = 1_200;
const STORE_AGE_MAX_MS: u64 = 3_600;
const FAILURES_BEFORE_PROBE: u32 = 2;
const ATTEMPTS_MAX: u32 = 12;
const ATTEMPT_PAUSE_MS: u64 = 205;
const FENCE_STEP: u64 = 16;

/// Change of assigned ranges that the leader records.
#[derive(Clone, Debug)]
pub enum Change {
    Assign(Vec<(usize, Pid)>),
    Complete(Vec<u64>),
    Raise(usize, u64),
}

/// Call of a host that has not been answered yet.
#[derive(Clone, Debug)]
pub enum Call {
    ReadRow,
    CheckRow,
    Confirm {
        sent_ms: u64,
    },
    TakeOver {
        row: Row,
        sent_ms: u64,
        earlier: EarlierLeaders,
        predecessor: Option<Predecessor>,
    },
    Record {
        change: Change,
        assignment: Assignment,
        sent_ms: u64,
    },
    Feed,
    ConfirmEntries {
        sent_ms: u64,
    },
    Connect {
        pid: Pid,
    },
    Grant {
        pid: Pid,
        key: usize,
        fence: u64,
        sent_ms: u64,
        is_move: bool,
    },
    Release {
        pid: Pid,
        key: usize,
        sent_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
pub struct Predecessor {
    host: usize,
    incarnation: u64,
    term: u64,
    before_until_ms: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct ServerState {
    grants: SentGrants,
    failures: u32,
    is_silent: bool,
}

/// Connection over which grants are sent to a server that keeps its name over restarts.
#[derive(Clone, Copy, Debug)]
enum Connection {
    Opening,
    Open { process: Pid, opened_ms: u64 },
}

#[derive(Clone, Copy, Debug)]
struct KeyMove {
    assigned: Assigned,
    is_asked: bool,
    /// Time of the next step; `None` while a command is in flight.
    next_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Suspect {
    evidence: Evidence,
    is_tried: bool,
    has_ended: bool,
}

/// State of one term, discarded with it.
#[derive(Default)]
struct Term {
    servers: HashMap<Pid, ServerState>,
    /// Time of the last successful renewal by fence; `None` while one is in flight.
    renewed: HashMap<u64, Option<u64>>,
    moves: [Option<KeyMove>; KEYS],
    completed: Vec<u64>,
    suspects: BTreeMap<Pid, Suspect>,
    is_confirming: bool,
    changes: Vec<Change>,
    /// True if a grant waits for a confirmation of the leadership.
    needs_confirmation: bool,
}

impl Term {
    fn has_ended(&self, pid: Pid) -> bool {
        self.suspects.get(&pid).is_some_and(|s| s.has_ended)
    }

    fn remove_open(&mut self, pid: Pid) {
        if !self.has_ended(pid) {
            self.suspects.remove(&pid);
        }
    }
}

pub struct Host {
    pub number: usize,
    pub incarnation: u64,
    pub is_up: bool,
    pub frozen_until_ms: u64,
    pub heard_ms: u64,
    pub answered_ms: HashMap<Pid, u64>,
    pub calls: BTreeMap<u64, Call>,
    next_call: u64,
    term: u64,
    confirmed_ms: u64,
    earlier_until_ms: u64,
    predecessor: Option<Predecessor>,
    lost: (u64, u64),
    row_version: u64,
    confirmation: u64,
    is_writing: bool,
    /// End of the last write of the leadership row.
    last_write_ms: u64,
    /// Time at which the last successful write of the leadership row was sent.
    row_confirmed_ms: u64,
    seen_row: Option<(u64, u64)>,
    read_ms: u64,
    assignment: Assignment,
    assignment_version: u64,
    view: BTreeMap<Name, StoredEntry>,
    applied: u64,
    store_heard_ms: u64,
    is_feeding: bool,
    /// Connections for grants, by the server that they were opened to.
    connections: BTreeMap<Pid, Connection>,
    state: Term,
}

impl Host {
    pub fn new(number: usize) -> Self {
        Self {
            number,
            incarnation: 0,
            is_up: false,
            frozen_until_ms: 0,
            heard_ms: 0,
            answered_ms: HashMap::new(),
            calls: BTreeMap::new(),
            next_call: 0,
            term: 0,
            confirmed_ms: 0,
            earlier_until_ms: 0,
            predecessor: None,
            lost: (0, 0),
            row_version: 0,
            confirmation: 0,
            is_writing: false,
            last_write_ms: 0,
            row_confirmed_ms: 0,
            seen_row: None,
            read_ms: 0,
            assignment: Assignment::default(),
            assignment_version: 0,
            view: BTreeMap::new(),
            applied: 0,
            store_heard_ms: 0,
            is_feeding: false,
            connections: BTreeMap::new(),
            state: Term::default(),
        }
    }

    pub fn begin_call(&mut self, call: Call) -> Caller {
        self.next_call += 1;
        self.calls.insert(self.next_call, call);
        Caller {
            host: self.number,
            incarnation: self.incarnation,
            call: self.next_call,
        }
    }

    fn lose(&mut self, now_ms: u64) {
        if self.term > 0 {
            self.lost = (self.term, now_ms);
            self.term = 0;
            self.end_term();
        }
    }

    /// Drops the state and the calls of a term, except the feed and open connections.
    fn end_term(&mut self) {
        self.state = Term::default();
        self.is_writing = false;
        self.seen_row = None;
        self.calls.retain(|_, call| matches!(call, Call::Feed));
        let is_open = |connection: &Connection| matches!(connection, Connection::Open { .. });
        self.connections.retain(|_, connection| is_open(connection));
    }

    fn predecessor_ended(&mut self, now_ms: u64, is_over: impl FnOnce(&Predecessor) -> bool) {
        if let Some(over) = self.predecessor.take_if(|p| is_over(p)) {
            let until_ms = over.before_until_ms.max(now_ms);
            self.earlier_until_ms = self.earlier_until_ms.min(until_ms);
        }
    }

    fn entry_state(&self, pid: Pid, name: Name) -> EntryState {
        match self.view.get(&name) {
            Some(entry) if entry.pid == pid && entry.is_leaving => EntryState::Other,
            Some(entry) if entry.pid == pid => EntryState::Ready,
            _ => EntryState::Absent,
        }
    }

    fn knows(&self, pid: Pid) -> bool {
        self.view.values().any(|entry| entry.pid == pid)
    }

    fn is_unfinished(&self, assigned: &Assigned) -> bool {
        assigned.from.is_some() && !self.state.completed.contains(&assigned.fence)
    }

    fn lease_end_ms(&self, pid: Pid, now_ms: u64, broken: BrokenRule) -> u64 {
        let own_ms = self
            .state
            .servers
            .get(&pid)
            .map_or(0, |s| s.grants.last_ms(now_ms));
        let earlier_ms = match broken {
            BrokenRule::EarlierLeaders => 0,
            _ => self.earlier_until_ms,
        };
        if broken == BrokenRule::ClockBound {
            return own_ms.max(earlier_ms) + LEASE_MS;
        }
        lease_expiry::lease_end_ms(own_ms, earlier_ms, LEASE_MS)
    }

    fn apply(&self, change: &Change) -> Assignment {
        let mut assignment = self.assignment.clone();
        match change {
            Change::Assign(moves) => {
                for (key, server) in moves {
                    assignment.fence += 1;
                    let from = assignment.keys[*key].map(|assigned| assigned.server);
                    let assigned = Assigned {
                        server: *server,
                        fence: assignment.fence,
                        from,
                    };
                    assignment.keys[*key] = Some(assigned);
                }
            }
            Change::Complete(fences) => {
                for assigned in assignment.keys.iter_mut().flatten() {
                    if fences.contains(&assigned.fence) {
                        assigned.from = None;
                    }
                }
            }
            Change::Raise(key, fence) => {
                let raised = assignment.fence + FENCE_STEP;
                if let Some(assigned) = assignment.keys[*key].as_mut().filter(|a| a.fence == *fence)
                {
                    assigned.fence = raised;
                    assignment.fence = raised;
                }
            }
        }
        assignment
    }
}

impl Simulation {
    pub(super) fn host_event(&mut self, host: usize, event: Event) {
        let now_ms = self.now_ms;
        match event {
            Event::HostTick => {
                self.host_tick(host);
                self.at_host(host, TICK_MS, Event::HostTick);
            }
            Event::Hello {
                from,
                from_incarnation,
                term,
            } => {
                let state = &mut self.hosts[host];
                state.predecessor_ended(now_ms, |p| {
                    p.host == from && p.incarnation != from_incarnation
                });
                if term == 0 || term < state.term {
                    return;
                }
                if state.term > 0 && state.term < term {
                    state.lose(now_ms);
                }
                state.heard_ms = now_ms;
                let (lost_term, lost_ms) = state.lost;
                if lost_term > 0 && lost_term < term && now_ms < lost_ms + STOPPED_REPORT_MS {
                    self.datagram(
                        host,
                        from,
                        Event::Stopped {
                            from: host,
                            term: lost_term,
                        },
                    );
                }
            }
            Event::Stopped { from, term } => {
                let state = &mut self.hosts[host];
                state.predecessor_ended(now_ms, |p| p.host == from && p.term == term);
            }
            Event::Reply { call, reply } => {
                if let Some(pending) = self.hosts[host].calls.remove(&call) {
                    self.store_replied(host, pending, reply);
                }
            }
            Event::Answer { call, outcome } => match self.hosts[host].calls.remove(&call) {
                Some(Call::Grant {
                    pid,
                    key,
                    fence,
                    sent_ms,
                    is_move,
                }) => {
                    self.grant_answered(host, (pid, key, fence), sent_ms, is_move, outcome);
                }
                Some(Call::Connect { pid }) => self.connect_answered(host, pid, outcome),
                Some(Call::Release { pid, key, sent_ms }) => {
                    self.release_answered(host, pid, key, sent_ms, outcome);
                }
                _ => {}
            },
            Event::TryConnection { term, pid, left } => {
                if self.hosts[host].term == term {
                    let incarnation = self.hosts[host].incarnation;
                    let delay_ms = self.between(0, 40);
                    let began_ms = now_ms;
                    let item = Item::Connection {
                        host,
                        incarnation,
                        term,
                        pid,
                        left,
                        began_ms,
                    };
                    self.after(delay_ms, item);
                }
            }
            Event::Tried {
                term,
                pid,
                left,
                began_ms,
                is_refused,
            } => {
                if self.hosts[host].term == term {
                    self.note_attempt(host, pid, left, began_ms, is_refused);
                }
            }
        }
    }

    fn datagram(&mut self, from: usize, to: usize, event: Event) {
        let is_cut = self.now_ms < self.faults.host_host[from][to] || self.is_lost();
        if !is_cut && self.hosts[to].is_up {
            let delay_ms = self.between(1, 60);
            self.at_host(to, delay_ms, event);
        }
    }

    fn may_send(&self, host: usize) -> bool {
        let state = &self.hosts[host];
        let ignores_bound = self.is_broken(BrokenRule::OutageBound);
        state.term > 0
            && (ignores_bound
                || lease_expiry::may_grant(state.confirmed_ms, OUTAGE_MS, self.now_ms))
    }

    fn host_tick(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.hosts[host];
        if !state.is_feeding {
            state.is_feeding = true;
            let after = state.applied;
            self.call_store(host, Call::Feed, StoreCall::Feed { after }, 0);
        }
        let state = &self.hosts[host];
        let is_confirmed = lease_expiry::may_grant(state.confirmed_ms, CONFIRMED_MS, now_ms);
        let term = if is_confirmed { state.term } else { 0 };
        let hello = Event::Hello {
            from: host,
            from_incarnation: state.incarnation,
            term,
        };
        if now_ms % 300 < TICK_MS {
            for other in (0..HOSTS).filter(|other| *other != host) {
                self.datagram(host, other, hello.clone());
            }
        }
        self.receive_responses(host);
        if self.hosts[host].term == 0 {
            self.watch_leader(host);
            return;
        }
        self.write(host);
        if self.may_send(host) {
            self.examine_suspects(host);
            self.renew(host);
            self.plan(host);
            self.advance_moves(host);
        }
    }

    /// Callers' requests that servers have answered this host.
    fn receive_responses(&mut self, host: usize) {
        if self.config.responses_per_tick == 0.0 {
            return;
        }
        for pid in self.at_address.into_iter().flatten() {
            let process = &self.processes[pid];
            let address = process.address;
            let blocked_ms = self.faults.host_server[host][address]
                .max(self.faults.refusing[host][address])
                .max(process.frozen_until_ms);
            if self.now_ms >= blocked_ms && self.chance(self.config.responses_per_tick) {
                self.hosts[host].answered_ms.insert(pid, self.now_ms);
            }
        }
    }

    fn watch_leader(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.hosts[host];
        let is_silent = now_ms > state.heard_ms + TAKEOVER_MS / 2;
        if !is_silent {
            state.seen_row = None;
            return;
        }
        if !state.is_writing && now_ms >= state.read_ms + 300 {
            state.is_writing = true;
            state.read_ms = now_ms;
            self.call_store(host, Call::ReadRow, StoreCall::Read, CONFIRM_TIMEOUT_MS);
        }
    }

    /// Starts the next write of the leader. Writes follow one another.
    fn write(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.hosts[host];
        if state.is_writing {
            return;
        }
        let needs_confirmation = std::mem::take(&mut state.state.needs_confirmation);
        if needs_confirmation || now_ms >= state.last_write_ms + CONFIRM_EVERY_MS {
            let row = Row {
                leader: Some((host, state.incarnation)),
                term: state.term,
                confirmation: state.confirmation + 1,
                earlier_ms: state.earlier_until_ms.saturating_sub(now_ms),
            };
            state.is_writing = true;
            state.last_write_ms = now_ms;
            let version = state.row_version;
            let call = Call::Confirm { sent_ms: now_ms };
            if self.faults.is_isolated_after_record && self.chance(0.5) {
                self.faults.host_store[host] = now_ms + CONFIRM_TIMEOUT_MS / 2;
            }
            self.call_store(
                host,
                call,
                StoreCall::WriteRow { row, version },
                CONFIRM_TIMEOUT_MS,
            );
        } else if !state.state.changes.is_empty() {
            let change = state.state.changes.remove(0);
            state.is_writing = true;
            self.record(host, change);
        }
    }

    fn record(&mut self, host: usize, change: Change) {
        let state = &mut self.hosts[host];
        let assignment = state.apply(&change);
        let request = StoreCall::Record {
            assignment: assignment.clone(),
            version: state.assignment_version,
            row_version: state.row_version,
        };
        let call = Call::Record {
            change,
            assignment,
            sent_ms: self.now_ms,
        };
        self.call_store(host, call, request, RECORD_TIMEOUT_MS);
    }

    fn store_replied(&mut self, host: usize, call: Call, reply: StoreReply) {
        let now_ms = self.now_ms;
        if !matches!(reply, StoreReply::Failed) {
            self.hosts[host].store_heard_ms = now_ms;
        }
        let records_extend = self.is_broken(BrokenRule::RowConfirmation);
        let state = &mut self.hosts[host];
        match (call, reply) {
            (Call::Feed, reply) => {
                state.is_feeding = false;
                if let StoreReply::Feed {
                    version, entries, ..
                } = reply
                {
                    state.applied = version;
                    state.view = entries;
                }
            }
            (Call::ReadRow, StoreReply::Read { row, version }) => {
                state.is_writing = false;
                let since_ms = match state.seen_row {
                    Some((seen, since_ms)) if seen == version => since_ms,
                    _ => now_ms,
                };
                state.seen_row = Some((version, since_ms));
                let is_resumed = row.leader.is_some_and(|(leader, _)| leader == host);
                if is_resumed || row.leader.is_none() || now_ms >= since_ms + TAKEOVER_MS {
                    self.take_over(
                        host,
                        row,
                        version,
                        if is_resumed { now_ms } else { since_ms },
                    );
                }
            }
            (Call::ReadRow, _) => {
                state.is_writing = false;
                state.seen_row = None;
            }
            (Call::Confirm { sent_ms }, StoreReply::Written { version, .. }) => {
                state.is_writing = false;
                state.row_version = version;
                state.confirmation += 1;
                state.confirmed_ms = sent_ms;
                state.row_confirmed_ms = sent_ms;
                state.last_write_ms = now_ms;
            }
            (Call::Confirm { .. }, _) => {
                self.call_store(host, Call::CheckRow, StoreCall::Read, CONFIRM_TIMEOUT_MS);
            }
            (Call::CheckRow, StoreReply::Read { row, version }) => {
                state.is_writing = false;
                if row.term != state.term || row.leader != Some((host, state.incarnation)) {
                    state.lose(now_ms);
                } else {
                    state.row_version = version;
                    state.last_write_ms = now_ms;
                    state.confirmation = state.confirmation.max(row.confirmation);
                }
            }
            (Call::CheckRow, _) => {
                state.is_writing = false;
                state.last_write_ms = now_ms;
            }
            (
                Call::TakeOver {
                    row,
                    sent_ms,
                    earlier,
                    predecessor,
                },
                StoreReply::Written {
                    version,
                    assignment,
                    assignment_version,
                },
            ) => {
                state.end_term();
                state.term = row.term;
                state.row_version = version;
                state.confirmation = 1;
                state.confirmed_ms = sent_ms;
                state.last_write_ms = now_ms;
                state.earlier_until_ms = earlier.until_ms;
                state.predecessor = predecessor;
                state.assignment = assignment;
                state.assignment_version = assignment_version;
                let incarnation = state.incarnation;
                state.predecessor_ended(now_ms, |p| p.host == host && p.incarnation != incarnation);
                self.counts.takeovers += 1;
                self.log(|| format!("host {host} is the leader of term {}", row.term));
            }
            (Call::TakeOver { .. }, _) => {
                state.is_writing = false;
                state.seen_row = None;
            }
            (
                Call::Record {
                    change,
                    assignment,
                    sent_ms,
                },
                StoreReply::Written {
                    assignment_version, ..
                },
            ) => {
                if records_extend {
                    state.confirmed_ms = sent_ms;
                }
                self.recorded(host, &change, assignment, assignment_version);
            }
            (
                Call::Record {
                    change, assignment, ..
                },
                StoreReply::Conflict {
                    row,
                    version,
                    assignment: stored,
                    assignment_version,
                },
            ) => {
                let is_own =
                    row.term == state.term && row.leader == Some((host, state.incarnation));
                if stored == assignment {
                    self.recorded(host, &change, assignment, assignment_version);
                } else if !is_own {
                    state.lose(now_ms);
                } else if assignment_version != state.assignment_version {
                    state.is_writing = false;
                    state.assignment = stored;
                    state.assignment_version = assignment_version;
                } else {
                    state.row_version = version;
                    self.record(host, change);
                }
            }
            (Call::Record { change, .. }, _) => {
                if self.may_send(host) {
                    self.record(host, change);
                } else {
                    self.hosts[host].lose(now_ms);
                }
            }
            (Call::ConfirmEntries { sent_ms }, reply) => {
                self.note_confirmation(host, sent_ms, reply)
            }
            _ => {}
        }
    }

    fn take_over(&mut self, host: usize, found: Row, version: u64, seen_ms: u64) {
        let now_ms = self.now_ms;
        let is_handed_over = found.leader.is_none();
        let earlier = EarlierLeaders::new(seen_ms, found.earlier_ms, OUTAGE_MS, is_handed_over);
        let state = &mut self.hosts[host];
        let row = Row {
            leader: Some((host, state.incarnation)),
            term: found.term + 1,
            confirmation: 1,
            earlier_ms: earlier.until_ms.saturating_sub(now_ms),
        };
        let predecessor = found.leader.map(|(leader, incarnation)| Predecessor {
            host: leader,
            incarnation,
            term: found.term,
            before_until_ms: earlier.before_predecessor_until_ms,
        });
        state.is_writing = true;
        let call = Call::TakeOver {
            row,
            sent_ms: now_ms,
            earlier,
            predecessor,
        };
        self.call_store(
            host,
            call,
            StoreCall::WriteRow { row, version },
            CONFIRM_TIMEOUT_MS,
        );
    }

    fn recorded(&mut self, host: usize, change: &Change, assignment: Assignment, version: u64) {
        let now_ms = self.now_ms;
        let confirmed_ms = self.hosts[host].row_confirmed_ms;
        if self.faults.is_isolated_after_record && now_ms > confirmed_ms + CONFIRM_EVERY_MS {
            self.isolate_leader(host);
        }
        let state = &mut self.hosts[host];
        state.is_writing = false;
        state.assignment = assignment;
        state.assignment_version = version;
        match change {
            Change::Assign(moves) => {
                for (key, _) in moves {
                    self.begin_move(host, *key);
                }
            }
            Change::Complete(fences) => state.state.completed.retain(|f| !fences.contains(f)),
            Change::Raise(key, _) => {
                if let Some(assigned) = state.assignment.keys[*key] {
                    state.state.renewed.insert(assigned.fence, Some(0));
                }
            }
        }
        self.log(|| format!("host {host} has recorded {change:?} at {now_ms}"));
    }

    fn begin_move(&mut self, host: usize, key: usize) {
        let state = &mut self.hosts[host];
        let Some(assigned) = state.assignment.keys[key] else {
            return;
        };
        let is_asked = assigned.from.is_some_and(|from| !state.knows(from));
        state.state.moves[key] = Some(KeyMove {
            assigned,
            is_asked,
            next_ms: Some(0),
        });
    }

    fn renew(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let ignores_suspects = self.is_broken(BrokenRule::GrantsToSuspects);
        for key in 0..KEYS {
            let state = &mut self.hosts[host];
            let Some(assigned) = state.assignment.keys[key] else {
                continue;
            };
            let pid = assigned.server;
            let is_silent = state.state.servers.get(&pid).is_some_and(|s| s.is_silent);
            let has_ended = state.state.has_ended(pid) && !ignores_suspects;
            if is_silent || has_ended || state.is_unfinished(&assigned) || !state.knows(pid) {
                continue;
            }
            let renewed = state.state.renewed.entry(assigned.fence).or_insert(Some(0));
            if renewed.is_none_or(|renewed_ms| now_ms < renewed_ms + RENEW_EVERY_MS) {
                continue;
            }
            *renewed = None;
            if !self.grant(host, pid, key, assigned.fence, false) {
                self.hosts[host]
                    .state
                    .renewed
                    .insert(assigned.fence, Some(0));
            }
        }
    }

    /// Sends a grant unless this host or the server may have none. Returns true if it was sent.
    fn grant(&mut self, host: usize, pid: Pid, key: usize, fence: u64, is_move: bool) -> bool {
        let ignores_suspects = self.is_broken(BrokenRule::GrantsToSuspects);
        if !self.may_send(host) {
            return false;
        }
        let state = &mut self.hosts[host].state;
        let suspect = state.suspects.get(&pid);
        let refuses = suspect.is_some_and(|s| s.has_ended || s.evidence.refused() > 0);
        let server = state.servers.entry(pid).or_default();
        if refuses && !ignores_suspects || server.is_silent {
            return false;
        }
        let mut process = None;
        if self.processes[pid].has_start_time && !self.grants_over_new_connections() {
            process = self.connection(host, pid);
            if process.is_none() {
                return false;
            }
        }
        let state = &mut self.hosts[host].state;
        state.servers.entry(pid).or_default().grants.begin();
        let sent_ms = self.now_ms;
        let call = Call::Grant {
            pid,
            key,
            fence,
            sent_ms,
            is_move,
        };
        self.log(|| format!("host {host} grants key {key} to server {pid} under {fence}"));
        let command = Command::Grant { key, fence };
        match process {
            None => self.send(host, pid, command, call, GRANT_TIMEOUT_MS),
            Some(process) => {
                self.send_item(host, call, GRANT_TIMEOUT_MS, |caller| Item::AtProcess {
                    caller,
                    process,
                    target: pid,
                    command,
                })
            }
        }
        true
    }

    fn grants_over_new_connections(&self) -> bool {
        self.config.grants_over_new_connections || self.is_broken(BrokenRule::NewConnections)
    }

    /// Returns the process to which the host has a connection for grants to a server. Without a
    /// connection, or if it is newer than the last confirmation of the leadership, the grant is not
    /// sent now.
    fn connection(&mut self, host: usize, pid: Pid) -> Option<Pid> {
        let confirmed_ms = self.hosts[host].confirmed_ms;
        let state = &mut self.hosts[host];
        match state.connections.get(&pid) {
            Some(Connection::Open { process, opened_ms })
                if lease_expiry::is_confirmed_after(confirmed_ms, *opened_ms) =>
            {
                Some(*process)
            }
            Some(Connection::Open { .. }) => {
                state.state.needs_confirmation = true;
                None
            }
            Some(Connection::Opening) => None,
            None => {
                state.connections.insert(pid, Connection::Opening);
                let call = Call::Connect { pid };
                self.send(host, pid, Command::Connect, call, GRANT_TIMEOUT_MS);
                None
            }
        }
    }

    fn connect_answered(&mut self, host: usize, pid: Pid, outcome: Outcome) {
        let opened_ms = self.now_ms;
        let state = &mut self.hosts[host];
        if let Outcome::Connected(process) = outcome {
            let connection = Connection::Open { process, opened_ms };
            state.connections.insert(pid, connection);
            return;
        }
        state.connections.remove(&pid);
        self.note_unanswered(host, pid, outcome);
    }

    /// Records that a server has not answered a connection attempt or a grant.
    fn note_unanswered(&mut self, host: usize, pid: Pid, outcome: Outcome) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[host];
        let server = host.state.servers.entry(pid).or_default();
        server.failures += 1;
        let answered_ms = host.answered_ms.get(&pid).copied().unwrap_or(0);
        server.is_silent =
            server.failures >= FAILURES_BEFORE_PROBE && now_ms >= answered_ms + 1_000;
        if outcome == Outcome::Refused {
            host.state.suspects.entry(pid).or_default();
        }
    }

    fn grant_answered(
        &mut self,
        host: usize,
        order: (Pid, usize, u64),
        sent_ms: u64,
        is_move: bool,
        outcome: Outcome,
    ) {
        let (pid, key, fence) = order;
        let now_ms = self.now_ms;
        let is_answered = !matches!(outcome, Outcome::Refused | Outcome::TimedOut);
        let host_state = &mut self.hosts[host];
        if is_answered && outcome != Outcome::OtherServer {
            host_state.answered_ms.insert(pid, now_ms);
        }
        let state = &mut host_state.state;
        let server = state.servers.entry(pid).or_default();
        server.grants.complete(sent_ms, outcome != Outcome::Refused);
        if is_answered {
            server.failures = 0;
            server.is_silent = false;
            state.remove_open(pid);
        } else {
            host_state.connections.remove(&pid);
            self.note_unanswered(host, pid, outcome);
        }
        let state = &mut self.hosts[host].state;
        let renewed_ms = if outcome == Outcome::Held { sent_ms } else { 0 };
        state.renewed.insert(fence, Some(renewed_ms));
        if is_move {
            self.complete_move(host, key);
        } else if outcome == Outcome::Superseded {
            state.changes.push(Change::Raise(key, fence));
        }
    }

    fn complete_move(&mut self, host: usize, key: usize) {
        let state = &mut self.hosts[host].state;
        if let Some(done) = state.moves[key].take() {
            if done.assigned.from.is_some() {
                state.completed.push(done.assigned.fence);
            }
            self.counts.moves += 1;
        }
    }

    fn plan(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let state = &mut self.hosts[host];
        for server in state.state.servers.values_mut() {
            if server.is_silent && now_ms > server.grants.last_ms(now_ms) + 2 * LEASE_MS {
                server.is_silent = false;
                server.failures = 0;
            }
        }
        if !state.state.changes.is_empty()
            || state.is_writing
            || now_ms > state.store_heard_ms + STORE_AGE_MAX_MS
        {
            return;
        }
        let term = &state.state;
        let is_usable = |entry: &&StoredEntry| {
            let is_silent = term.servers.get(&entry.pid).is_some_and(|s| s.is_silent);
            !entry.is_leaving && !is_silent && !term.has_ended(entry.pid)
        };
        let usable: Vec<Pid> = state
            .view
            .values()
            .filter(is_usable)
            .map(|e| e.pid)
            .collect();
        if usable.is_empty() {
            return;
        }
        let completed = state.state.completed.clone();
        let mut moves = Vec::new();
        for key in 0..KEYS {
            let state = &self.hosts[host];
            if state.state.moves[key].is_some() {
                continue;
            }
            let assigned = state.assignment.keys[key];
            if assigned.is_some_and(|assigned| state.is_unfinished(&assigned)) {
                self.begin_move(host, key);
                continue;
            }
            let stays = assigned.is_some_and(|assigned| usable.contains(&assigned.server));
            if stays && !self.chance(0.01) {
                continue;
            }
            let to = usable[self.between(0, usable.len() as u64 - 1) as usize];
            if assigned.is_none_or(|assigned| assigned.server != to) {
                moves.push((key, to));
            }
        }
        let changes = &mut self.hosts[host].state.changes;
        if !moves.is_empty() {
            changes.push(Change::Assign(moves));
        } else if !completed.is_empty() && now_ms % 1_000 < TICK_MS {
            changes.push(Change::Complete(completed));
        }
    }

    fn advance_moves(&mut self, host: usize) {
        for key in 0..KEYS {
            let now_ms = self.now_ms;
            let state = &mut self.hosts[host];
            let Some(mut moving) = state.state.moves[key] else {
                continue;
            };
            if moving.next_ms.is_none_or(|next_ms| now_ms < next_ms) {
                continue;
            }
            let Some(from) = moving.assigned.from else {
                self.finish_move(host, key);
                continue;
            };
            let lease_end_ms = state.lease_end_ms(from, now_ms, self.config.broken);
            let former = FormerServer {
                has_ended: state.state.has_ended(from),
                lease_end_ms,
                is_asked: moving.is_asked,
                has_address: state.knows(from) || !from.is_multiple_of(4),
            };
            moving.is_asked |= now_ms >= lease_end_ms;
            let step = match self.config.broken {
                BrokenRule::Release => MoveStep::Grant,
                _ => former.next_step(now_ms),
            };
            match step {
                MoveStep::Grant => {
                    if former.has_ended && now_ms < lease_end_ms {
                        self.counts.early_moves += 1;
                    }
                    self.finish_move(host, key);
                }
                MoveStep::Wait { .. } => {}
                MoveStep::Release { timeout_ms } => {
                    moving.next_ms = None;
                    state.state.moves[key] = Some(moving);
                    let command = Command::Release {
                        key,
                        fence: moving.assigned.fence,
                    };
                    self.send(
                        host,
                        from,
                        command,
                        Call::Release {
                            pid: from,
                            key,
                            sent_ms: now_ms,
                        },
                        timeout_ms,
                    );
                }
            }
        }
    }

    /// Grants the keys of a move whose former server no longer holds them.
    fn finish_move(&mut self, host: usize, key: usize) {
        let state = &mut self.hosts[host];
        let Some(moving) = state.state.moves[key].as_mut() else {
            return;
        };
        moving.next_ms = None;
        let Assigned { server, fence, .. } = moving.assigned;
        if !state.knows(server) || !self.grant(host, server, key, fence, true) {
            self.complete_move(host, key);
        }
    }

    fn release_answered(
        &mut self,
        host: usize,
        pid: Pid,
        key: usize,
        sent_ms: u64,
        outcome: Outcome,
    ) {
        let now_ms = self.now_ms;
        let may_send = self.may_send(host);
        let state = &mut self.hosts[host];
        match outcome {
            Outcome::Released | Outcome::OtherServer => {
                if outcome == Outcome::Released {
                    state.answered_ms.insert(pid, now_ms);
                    state.state.remove_open(pid);
                }
                let is_early = sent_ms < state.earlier_until_ms + GRANT_TIMEOUT_MS;
                let has_start_time = self.processes[pid].has_start_time;
                if self.config.repeats_releases && has_start_time && is_early {
                    if let Some(moving) = state.state.moves[key].as_mut() {
                        moving.next_ms = Some(now_ms + 200);
                    }
                } else if may_send {
                    self.finish_move(host, key);
                } else {
                    self.complete_move(host, key);
                }
            }
            _ => {
                if outcome == Outcome::Refused && state.knows(pid) {
                    state.state.suspects.entry(pid).or_default();
                }
                if let Some(moving) = state.state.moves[key].as_mut() {
                    moving.next_ms = Some(now_ms + 200);
                }
            }
        }
    }

    fn examine_suspects(&mut self, host: usize) {
        let now_ms = self.now_ms;
        let broken = self.config.broken;
        let policy = self.config.policy();
        // Reports of hosts are only reasons to try, so any server may become a suspect.
        if self.chance(0.05) {
            let entries: Vec<Pid> = self.hosts[host].view.values().map(|e| e.pid).collect();
            if !entries.is_empty() {
                let pid = entries[self.between(0, entries.len() as u64 - 1) as usize];
                self.hosts[host].state.suspects.entry(pid).or_default();
            }
        }
        let state = &mut self.hosts[host];
        let term = state.term;
        let mut tried = Vec::new();
        for (pid, suspect) in &mut state.state.suspects {
            if !suspect.has_ended && !suspect.is_tried && !suspect.evidence.is_sufficient(&policy) {
                suspect.is_tried = true;
                tried.push(*pid);
            }
        }
        let mut open = state.state.suspects.values().filter(|s| !s.has_ended);
        let is_due = !state.state.is_confirming && open.any(|s| s.evidence.needs_confirmation());
        let after = state.applied;
        for pid in tried {
            self.at_host(
                host,
                1,
                Event::TryConnection {
                    term,
                    pid,
                    left: ATTEMPTS_MAX,
                },
            );
        }
        if is_due {
            self.hosts[host].state.is_confirming = true;
            let call = Call::ConfirmEntries { sent_ms: now_ms };
            self.call_store(host, call, StoreCall::Feed { after }, RECORD_TIMEOUT_MS);
        }
        let suspects = self.hosts[host].state.suspects.clone();
        for (pid, suspect) in suspects {
            let is_forgotten = {
                let state = &self.hosts[host];
                let is_over = now_ms >= state.lease_end_ms(pid, now_ms, broken);
                suspect.has_ended
                    && is_over
                    && (!state.knows(pid) || self.processes[pid].is_running)
            };
            if is_forgotten {
                self.hosts[host].state.suspects.remove(&pid);
            } else if !suspect.has_ended && self.is_proof(pid, &suspect.evidence, &policy) {
                self.counts.ended += 1;
                self.log(|| format!("host {host} finds that server {pid} has ended"));
                if let Some(suspect) = self.hosts[host].state.suspects.get_mut(&pid) {
                    suspect.has_ended = true;
                }
                for moving in self.hosts[host].state.moves.iter_mut().flatten() {
                    moving.next_ms = moving.next_ms.map(|_| 0);
                }
            }
        }
    }

    fn is_proof(&self, pid: Pid, evidence: &Evidence, policy: &Policy) -> bool {
        let first_ms = evidence.latest_ms() - evidence.span_ms();
        let has_answered =
            |host: &Host| host.answered_ms.get(&pid).is_some_and(|at| *at >= first_ms);
        if self.config.needs_silence_for_all && self.hosts.iter().any(has_answered) {
            return false;
        }
        evidence.is_proof(policy)
            || self.is_broken(BrokenRule::Confirmation) && evidence.is_sufficient(policy)
    }

    fn note_attempt(&mut self, host: usize, pid: Pid, left: u32, began_ms: u64, is_refused: bool) {
        let policy = self.config.policy();
        let ignores_name = self.is_broken(BrokenRule::SameName);
        let process = &self.processes[pid];
        let (name, has_start_time) = (process.name, process.has_start_time);
        let state = &mut self.hosts[host];
        let attempt = ConnectionAttempt {
            began_ms,
            completed_ms: self.now_ms,
            is_refused,
            has_open_connection: false,
            may_follow_under_name: has_start_time
                && began_ms < state.earlier_until_ms
                && !ignores_name,
            entry: state.entry_state(pid, name),
            has_leave_notice: false,
            view_age_ms: self.now_ms - state.store_heard_ms,
            answered_ms: state.answered_ms.get(&pid).copied().unwrap_or(0),
        };
        let term = state.term;
        let servers = &state.state.servers;
        let has_grants = servers
            .get(&pid)
            .is_some_and(|s| s.grants.is_any_in_flight());
        let Some(suspect) = state.state.suspects.get_mut(&pid) else {
            return;
        };
        let is_gone = match attempt.entry {
            EntryState::Ready => false,
            EntryState::Absent => !suspect.evidence.is_confirmed(),
            EntryState::Other => true,
        };
        if !attempt.is_refused || is_gone || left == 0 {
            state.state.remove_open(pid);
            return;
        }
        if has_grants {
            suspect.evidence = Evidence::default();
        } else {
            suspect.evidence.note(&attempt, &policy);
        }
        suspect.is_tried = !suspect.evidence.is_sufficient(&policy);
        if suspect.is_tried {
            let next = Event::TryConnection {
                term,
                pid,
                left: left - 1,
            };
            self.at_host(host, ATTEMPT_PAUSE_MS, next);
        }
    }

    fn note_confirmation(&mut self, host: usize, sent_ms: u64, reply: StoreReply) {
        let changed: Option<BTreeSet<Name>> = match reply {
            StoreReply::Feed { changed, .. } => Some(changed),
            _ => None,
        };
        let processes = &self.processes;
        let state = &mut self.hosts[host];
        state.state.is_confirming = false;
        let mut suspects = std::mem::take(&mut state.state.suspects);
        suspects.retain(|pid, suspect| {
            let is_open = !suspect.has_ended && suspect.evidence.needs_confirmation();
            if !is_open || !suspect.evidence.is_open_to_confirmation(sent_ms) {
                return true;
            }
            let name = processes[*pid].name;
            let is_ready = state.entry_state(*pid, name) == EntryState::Ready;
            suspect.evidence.confirm(sent_ms);
            is_ready
                && changed
                    .as_ref()
                    .is_some_and(|changed| !changed.contains(&name))
        });
        state.state.suspects = suspects;
    }
}
