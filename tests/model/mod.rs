//! Simulation around the real ownership code: state, staleness, renewals, expiry of leases,
//! registry and the grants of a server. Time is virtual. Messages are delayed, lost, duplicated and
//! reordered; processes are paused, killed and restarted; the store is down or its responses are
//! lost.

mod host;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
};

use ashroad::{
    id::{HostKey, Incarnation, OperationId, Revision, ServerKey, Slot},
    membership::staleness::HeartbeatReply,
    ownership::message::{LeaseRequest, LeaseResponse, SlotGrant},
    standin::grants::{ClockReading, Grants},
    state::{Change, CompletedMove, LogEntry, SlotMove, State},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use self::host::Host;

pub const SERVICE: &str = "w/s";
pub const SLOTS: u32 = 4;
pub const MAX_STALENESS_MS: u64 = 700;
pub const TTL_MS: u64 = 1_200;
pub const MARGIN_MS: u64 = 100;
pub const EXPIRY_BOUND_MS: u64 = MAX_STALENESS_MS + TTL_MS + MARGIN_MS;
const TICK_MS: u64 = 50;
const SERVERS: usize = 3;

/// Rule that a test can disable, to show that the invariant check detects the absence of the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenRule {
    Nothing,
    /// A server forgets which slots were revoked.
    Fence,
    /// A server keeps its grants in a new lease epoch.
    LeaseEpoch,
    /// Leases are declared expired without waiting.
    ExpiryWait,
    /// The expiry of a lease is declared when one host has reported.
    Majority,
    /// Hosts renew leases however stale their view is.
    StalenessBound,
    /// The duration of a lease is counted from the arrival of the order.
    ClockBound,
    /// A writer whose response was lost writes the same change again after the current head of the
    /// log.
    OperationId,
}

/// Host process that sent a request. Replies use the connection of the request, so a restarted
/// process gets none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requester {
    host: usize,
    incarnation: Incarnation,
}

/// Messages between processes, each of which may have been replaced since the message was sent.
#[derive(Clone, Debug)]
pub enum Message {
    Ping {
        from: Requester,
        sent_ms: u64,
    },
    Pong(HeartbeatReply),
    ReadLog {
        from: Requester,
        after: Revision,
        sent_ms: u64,
    },
    LogRead {
        entries: Vec<LogEntry>,
        sent_ms: u64,
    },
    Append {
        from: Requester,
        entry: LogEntry,
    },
    AppendOutcome(LogEntry),
    Lease {
        from: Requester,
        order: LeaseRequest,
    },
    LeaseAnswered {
        server: usize,
        ordered: bool,
        intended: Incarnation,
        response: LeaseResponse,
    },
    Revoke {
        from: Requester,
        incarnation: Incarnation,
        slots: Vec<CompletedMove>,
    },
    Released {
        slots: Vec<CompletedMove>,
    },
    Grant {
        from: Requester,
        order: LeaseRequest,
        slots: Vec<CompletedMove>,
    },
    Granted {
        slots: Vec<CompletedMove>,
    },
    QueryHorizon {
        from: Requester,
        server: ServerKey,
        lost: Revision,
    },
    Horizon(host::HorizonReply),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Node {
    Host(usize),
    Server(usize),
    Store,
}

#[derive(Clone, Debug)]
struct Envelope {
    to: Node,
    incarnation: Incarnation,
    message: Message,
}

pub struct Server {
    pub incarnation: Incarnation,
    pub grants: Grants,
    frozen_until_ms: u64,
    offset_ms: u64,
    drift_ppt: u64,
}

pub struct Simulation {
    pub broken: BrokenRule,
    pub now_ms: u64,
    pub hosts: Vec<Host>,
    pub servers: Vec<Server>,
    pub log: Vec<LogEntry>,
    rng: StdRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    envelopes: HashMap<u64, Envelope>,
    next_envelope: u64,
    store_down_until_ms: u64,
    cut: BTreeMap<(Node, Node), u64>,
    pub faults_ended: bool,
    trace: bool,
}

fn local_ms(now_ms: u64, offset_ms: u64, drift_ppt: u64) -> u64 {
    offset_ms + now_ms * (1_000 + drift_ppt) / 1_000
}

impl Simulation {
    pub fn new(seed: u64, broken: BrokenRule) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let hosts = rng.random_range(1..=5);
        let mut simulation = Self {
            broken,
            now_ms: 10_000,
            hosts: Vec::new(),
            servers: Vec::new(),
            log: declarations(),
            queue: BinaryHeap::new(),
            envelopes: HashMap::new(),
            next_envelope: 0,
            store_down_until_ms: 0,
            cut: BTreeMap::new(),
            faults_ended: false,
            trace: std::env::var_os("ASHROAD_TRACE").is_some(),
            rng,
        };
        for index in 0..hosts {
            let host = Host::new(index, &mut simulation.rng);
            simulation.hosts.push(host);
        }
        // Most cases begin with all hosts registered, so that the steps are spent on faults of a
        // complete system.
        if simulation.rng.random_bool(0.8) {
            simulation.register_all_hosts();
        }
        for _ in 0..SERVERS {
            let server = Server {
                incarnation: Incarnation(simulation.rng.random()),
                grants: Grants::default(),
                frozen_until_ms: 0,
                offset_ms: simulation.rng.random_range(0..1_000_000),
                drift_ppt: simulation.rng.random_range(0..5),
            };
            simulation.servers.push(server);
        }
        simulation
    }

    /// Registers every host and promotes it to a quorum member.
    fn register_all_hosts(&mut self) {
        let changes: Vec<Change> = self.hosts.iter().map(Host::registration).collect();
        let promote = |(key, host): (u32, &Host)| Change::HostPromoted {
            host: HostKey(key),
            incarnation: host.incarnation,
        };
        let promotions = (0..).zip(&self.hosts).map(promote);
        for change in changes.into_iter().chain(promotions) {
            let revision = self.log.len() as u64 + 1;
            let promoted = matches!(change, Change::HostPromoted { .. });
            self.log.push(entry(revision, change));
            if promoted {
                let registry = Revision(revision);
                self.log
                    .push(entry(revision + 1, Change::RegistrySettled { registry }));
            }
        }
    }

    /// Runs one step: possibly a fault, then a random span of time.
    pub fn step(&mut self) {
        if !self.faults_ended {
            self.fault();
        }
        let span_ms = self.rng.random_range(1..=150);
        self.run(span_ms);
    }

    /// Runs for `span_ms`, checking the invariant after each event.
    pub fn run(&mut self, span_ms: u64) {
        let end_ms = self.now_ms + span_ms;
        while self.now_ms < end_ms {
            let next = self.queue.peek().map(|Reverse((at_ms, _))| *at_ms);
            let tick_ms = (self.now_ms / TICK_MS + 1) * TICK_MS;
            let until_ms = next
                .unwrap_or(u64::MAX)
                .max(self.now_ms)
                .min(tick_ms)
                .min(end_ms);
            self.now_ms = until_ms;
            while let Some(Reverse((at_ms, id))) = self.queue.peek().copied() {
                if at_ms > self.now_ms {
                    break;
                }
                self.queue.pop();
                if let Some(envelope) = self.envelopes.remove(&id) {
                    self.deliver(envelope);
                }
            }
            if self.now_ms == tick_ms {
                for index in 0..self.hosts.len() {
                    self.tick(index);
                }
            }
            self.check();
        }
    }

    /// Ends all faults, makes one host the leader and runs until moves and registrations are
    /// complete.
    pub fn recover(&mut self) {
        self.faults_ended = true;
        self.cut.clear();
        self.store_down_until_ms = 0;
        for server in &mut self.servers {
            server.frozen_until_ms = 0;
        }
        for (index, host) in self.hosts.iter_mut().enumerate() {
            host.paused_until_ms = 0;
            host.leading = index == 0;
        }
        self.run(30_000);
    }

    fn fault(&mut self) {
        let until_ms = self.now_ms + self.rng.random_range(1..6_000);
        let host = self.rng.random_range(0..self.hosts.len());
        let server = self.rng.random_range(0..SERVERS);
        match self.rng.random_range(0..50) {
            0 => self.hosts[host].paused_until_ms = until_ms,
            1 => self.servers[server].frozen_until_ms = until_ms,
            2 => self.store_down_until_ms = until_ms,
            3..5 => {
                let one = self.any_node();
                let other = self.any_node();
                // Half of these cuts affect one direction only.
                self.cut.insert((one, other), until_ms);
                if self.rng.random() {
                    self.cut.insert((other, one), until_ms);
                }
            }
            5 => {
                let number = self.rng.random_range(0..3);
                for peer in 0..self.hosts.len() {
                    let cut = Node::Host(peer);
                    self.cut.insert((cut, Node::Server(number)), until_ms);
                }
            }
            6 => self.hosts[host].leading ^= true,
            7 => {
                let fresh = Host::new(host, &mut self.rng);
                self.hosts[host] = fresh;
            }
            8 => {
                self.servers[server].grants = Grants::default();
                self.servers[server].incarnation = Incarnation(self.rng.random());
            }
            9 => self.hosts[host].false_suspicion = true,
            10 => self.isolate_hosts(until_ms),
            _ => {}
        }
    }

    /// Cuts some hosts off from the store and from the other hosts, while all servers stay
    /// reachable.
    fn isolate_hosts(&mut self, until_ms: u64) {
        let isolated: Vec<bool> = self.hosts.iter().map(|_| self.rng.random()).collect();
        // The remaining hosts continue to make changes, and have enough time to complete them.
        let until_ms = until_ms + EXPIRY_BOUND_MS * 2;
        for (host, _) in self
            .hosts
            .iter_mut()
            .zip(&isolated)
            .filter(|(_, isolated)| !**isolated)
        {
            host.leading = true;
            host.false_suspicion = true;
        }
        for (one, one_isolated) in isolated.iter().enumerate() {
            let host = Node::Host(one);
            if *one_isolated {
                self.cut.insert((host, Node::Store), until_ms);
                self.cut.insert((Node::Store, host), until_ms);
            }
            for (other, other_isolated) in isolated.iter().enumerate() {
                if one_isolated != other_isolated {
                    self.cut.insert((host, Node::Host(other)), until_ms);
                }
            }
        }
    }

    fn any_node(&mut self) -> Node {
        match self.rng.random_range(0..5) {
            0 => Node::Store,
            1 | 2 => Node::Server(self.rng.random_range(0..SERVERS)),
            _ => Node::Host(self.rng.random_range(0..self.hosts.len())),
        }
    }

    fn incarnation(&self, node: Node) -> Incarnation {
        match node {
            Node::Host(host) => self.hosts[host].incarnation,
            Node::Server(server) => self.servers[server].incarnation,
            Node::Store => Incarnation::default(),
        }
    }

    pub fn send(&mut self, from: Node, to: Node, message: Message) {
        if !self.faults_ended {
            let cut_ms = self.cut.get(&(from, to)).copied().unwrap_or_default();
            if cut_ms > self.now_ms || self.rng.random_bool(0.02) {
                return;
            }
            if self.rng.random_bool(0.02) {
                self.post(to, message.clone());
            }
        }
        self.post(to, message);
    }

    pub fn requester(&self, host: usize) -> Requester {
        Requester {
            host,
            incarnation: self.hosts[host].incarnation,
        }
    }

    pub fn reply(&mut self, from: Node, to: Requester, message: Message) {
        if self.hosts[to.host].incarnation == to.incarnation {
            self.send(from, Node::Host(to.host), message);
        }
    }

    fn post(&mut self, to: Node, message: Message) {
        let slow = !self.faults_ended && self.rng.random_bool(0.03);
        let delay_ms = self.rng.random_range(if slow { 100..3_000 } else { 0..15 });
        let id = self.next_envelope;
        self.next_envelope += 1;
        let envelope = Envelope {
            to,
            // An address outlives a process, so a delayed message reaches the process that replaced
            // it.
            incarnation: self.incarnation(to),
            message,
        };
        self.envelopes.insert(id, envelope);
        self.queue.push(Reverse((self.now_ms + delay_ms, id)));
    }

    fn deliver(&mut self, envelope: Envelope) {
        if self.trace {
            eprintln!(
                "{} {:?} receives {:?}",
                self.now_ms, envelope.to, envelope.message
            );
        }
        let held_until_ms = match envelope.to {
            Node::Host(host) => self.hosts[host].paused_until_ms,
            Node::Server(server) => self.servers[server].frozen_until_ms,
            Node::Store => self.store_down_until_ms,
        };
        if held_until_ms > self.now_ms {
            // A paused process receives the messages that arrived meanwhile once it resumes.
            let id = self.next_envelope;
            self.next_envelope += 1;
            self.envelopes.insert(id, envelope);
            self.queue.push(Reverse((held_until_ms, id)));
            return;
        }
        match envelope.to {
            Node::Store => self.store(envelope.message),
            Node::Server(server) => self.server(server, envelope.message),
            // A connection to a host closes when its process exits, whereas an order to a server
            // reaches any process at its address.
            Node::Host(host) if envelope.incarnation == self.hosts[host].incarnation => {
                self.host_receives(host, envelope.message);
            }
            Node::Host(_) => {}
        }
    }

    fn store(&mut self, message: Message) {
        match message {
            Message::ReadLog {
                from,
                after,
                sent_ms,
            } => {
                let entries = self.log[after.0 as usize..].to_vec();
                let response = Message::LogRead { entries, sent_ms };
                self.reply(Node::Store, from, response);
            }
            Message::Append { from, mut entry } => {
                let next = self.log.len() as u64 + 1;
                if entry.revision.0 != next {
                    let own = |held: &LogEntry| held.operation_id == entry.operation_id;
                    if self.broken != BrokenRule::OperationId || !self.log.iter().any(own) {
                        return;
                    }
                    entry.revision = Revision(next);
                }
                self.log.push(entry.clone());
                self.reply(Node::Store, from, Message::AppendOutcome(entry));
            }
            _ => {}
        }
    }

    fn reading(&self, server: usize) -> ClockReading {
        let held = &self.servers[server];
        ClockReading {
            clock_ms: local_ms(self.now_ms, held.offset_ms, held.drift_ppt),
            unix_us: self.now_ms * 1_000,
        }
    }

    fn server(&mut self, index: usize, message: Message) {
        let now = self.reading(index);
        let broken = self.broken;
        let server = &mut self.servers[index];
        match message {
            Message::Lease { from, mut order }
            | Message::Grant {
                from, mut order, ..
            } if order.incarnation.is_none() => {
                order.grants.clear();
                let response = lease_response(server, now, false);
                self.reply_to_lease(index, from, &order, response);
            }
            Message::Lease { from, mut order } => {
                let accepted = renew(server, &mut order, now, broken);
                let response = lease_response(server, now, accepted);
                self.reply_to_lease(index, from, &order, response);
            }
            Message::Grant {
                from,
                mut order,
                slots,
            } => {
                let accepted = renew(server, &mut order, now, broken);
                if accepted {
                    self.reply(Node::Server(index), from, Message::Granted { slots });
                }
            }
            Message::Revoke {
                from,
                incarnation,
                slots,
            } if incarnation == server.incarnation => {
                for done in &slots {
                    if broken != BrokenRule::Fence {
                        server.grants.revoke(&slot_grant(done), now);
                    }
                }
                self.reply(Node::Server(index), from, Message::Released { slots });
            }
            _ => {}
        }
    }

    fn reply_to_lease(
        &mut self,
        index: usize,
        to: Requester,
        order: &LeaseRequest,
        response: LeaseResponse,
    ) {
        let message = Message::LeaseAnswered {
            server: index,
            ordered: order.incarnation.is_some(),
            intended: order.incarnation.unwrap_or_default(),
            response,
        };
        self.reply(Node::Server(index), to, message);
    }

    /// Checks the invariant: no slot is owned by two servers at a time.
    fn check(&self) {
        for slot in (0..SLOTS).map(Slot) {
            let owners = self.owners(slot);
            assert!(owners.len() <= 1, "{slot:?} is owned by servers {owners:?}");
        }
    }

    /// Describes the state of the first host, which is the leader after [`Self::recover`], for the
    /// report of a failed case.
    pub fn describe(&self) -> String {
        let state = &self.hosts[0].state;
        let (hosts, servers) = (&state.hosts, &state.servers);
        let slots: Vec<_> = state
            .services
            .iter()
            .map(|service| &service.slots)
            .collect();
        let log = self.log.len();
        format!("log {log}, hosts {hosts:#?}, servers {servers:#?}, slots {slots:#?}")
    }

    /// Returns the servers that would serve a slot now.
    pub fn owners(&self, slot: Slot) -> Vec<usize> {
        let owns = |index: &usize| {
            let clock_ms = self.reading(*index).clock_ms;
            self.servers[*index].grants.owns(SERVICE, slot, clock_ms)
        };
        (0..SERVERS).filter(owns).collect()
    }
}

fn renew(
    server: &mut Server,
    order: &mut LeaseRequest,
    now: ClockReading,
    broken: BrokenRule,
) -> bool {
    if order.incarnation != Some(server.incarnation) {
        return false;
    }
    if broken == BrokenRule::LeaseEpoch && server.grants.lease_epoch().0 > 0 {
        order.lease_epoch = server.grants.lease_epoch();
    }
    if broken == BrokenRule::ClockBound && order.not_after_ms > 0 {
        order.not_after_ms = now.clock_ms + TTL_MS;
    }
    server.grants.renew(order, now)
}

fn lease_response(server: &Server, now: ClockReading, accepted: bool) -> LeaseResponse {
    LeaseResponse {
        incarnation: server.incarnation,
        clock_ms: now.clock_ms,
        lease_epoch: server.grants.lease_epoch(),
        accepted,
        draining: false,
        grants_digest: server.grants.digest(),
    }
}

pub fn slot_grant(done: &CompletedMove) -> SlotGrant {
    SlotGrant {
        service: SERVICE.to_owned(),
        slot: done.slot,
        epoch: done.epoch,
    }
}

fn declarations() -> Vec<LogEntry> {
    let template = format!(
        "template: t\nparameters: [{{ name: targets, type: targets, max: 9 }}]\n\
         services:\n  - {{ name: s, targets: targets, key: {{ path: 0 }}, slots: {SLOTS}, \
         server_slots: 4, server_connections: 9 }}\n"
    );
    let mut workspace = "workspace: w\ntemplate: t\nparameters:\n  targets:\n".to_owned();
    for server in 0..SERVERS {
        workspace += &format!(
            "    - {{ address: '10.0.0.{}:80', availability_zone: z }}\n",
            server + 1
        );
    }
    vec![
        entry(1, Change::TemplateSubmitted { document: template }),
        entry(
            2,
            Change::WorkspaceSubmitted {
                document: workspace,
            },
        ),
    ]
}

pub fn entry(revision: u64, change: Change) -> LogEntry {
    LogEntry {
        revision: Revision(revision),
        operation_id: OperationId::random(),
        actor: String::new(),
        at_unix_ms: 0,
        change,
    }
}

/// Returns moves for all slots without a live owner, and at random for a few slots with one.
pub fn wanted_moves(state: &State, rng: &mut StdRng, faults_ended: bool) -> Option<Change> {
    let live: Vec<ServerKey> = state
        .server_entries()
        .filter(|(_, server)| server.state == ashroad::state::ServerState::Live)
        .map(|(key, _)| key)
        .collect();
    let (service, entry) = state.active_services().next()?;
    let mut moves = Vec::new();
    for (slot, held) in entry.slot_entries() {
        if held.next.is_some() || live.is_empty() {
            continue;
        }
        let owned = held.owner.is_some_and(|owner| live.contains(&owner));
        if owned && (faults_ended || !rng.random_bool(0.02)) {
            continue;
        }
        moves.push(SlotMove {
            slot,
            to: live[rng.random_range(0..live.len())],
            epoch: held.epoch.next(),
        });
    }
    (!moves.is_empty()).then_some(Change::MovesBegun { service, moves })
}
