//! Simulated host, which runs the real decision code with the timers of the real tasks.

use ashroad::{
    id::{HostKey, Incarnation, LeaseEpoch, Revision, ServerKey},
    membership::{
        registry::{self, ChangeTracker, RegistryLimits, Silence, quorum_members, registered},
        staleness::{HeartbeatReply, HostProcess, StalenessTracker},
    },
    ownership::{
        expiry::{HorizonReport, RenewingHosts, expired_at_ms},
        message::{LeaseRequest, SlotGrant, grant_hash},
        moves::{next_grants, ready_groups},
        renewal::{RenewalOutcome, RenewalState},
    },
    state::{Change, CompletedMove, LogEntry, ServerState, State},
};
use rand::{Rng, rngs::StdRng};

use super::{
    BrokenRule, EXPIRY_BOUND_MS, MARGIN_MS, MAX_STALENESS_MS, Message, Node, SERVERS, SERVICE,
    Simulation, TTL_MS, local_ms, wanted_moves,
};

const RENEW_MS: u64 = 300;
const SUSPECT_MS: u64 = 350;
const ORDER_MS: u64 = 200;
const MOVE_MS: u64 = 150;
const READ_MS: u64 = 150;

/// Reply to a query for a lease horizon.
#[derive(Clone, Copy, Debug)]
pub struct HorizonReply {
    pub host: HostKey,
    pub incarnation: Incarnation,
    pub server: ServerKey,
    pub lost: Revision,
    pub applied_age_ms: u64,
    pub remaining_ms: u64,
}

pub struct Host {
    pub incarnation: Incarnation,
    pub paused_until_ms: u64,
    pub leading: bool,
    pub false_suspicion: bool,
    pub state: State,
    index: usize,
    offset_ms: u64,
    drift_ppt: u64,
    staleness: StalenessTracker,
    renewal_states: Vec<RenewalState>,
    waiting: Vec<Option<u64>>,
    applied_ms: Vec<(Revision, u64)>,
    reports: Vec<(ServerKey, Revision, HorizonReport)>,
    registry: ChangeTracker,
    read_ms: u64,
    append_ms: u64,
    move_ms: u64,
    query_ms: u64,
}

impl Host {
    pub fn new(index: usize, rng: &mut StdRng) -> Self {
        Self {
            incarnation: Incarnation(rng.random()),
            paused_until_ms: 0,
            leading: rng.random_bool(0.5),
            false_suspicion: false,
            state: State::default(),
            index,
            offset_ms: rng.random_range(0..1_000_000),
            drift_ppt: rng.random_range(0..5),
            staleness: StalenessTracker::default(),
            renewal_states: vec![RenewalState::default(); SERVERS],
            waiting: vec![None; SERVERS],
            applied_ms: Vec::new(),
            reports: Vec::new(),
            registry: ChangeTracker::default(),
            read_ms: 0,
            append_ms: 0,
            move_ms: 0,
            query_ms: 0,
        }
    }

    pub fn registration(&self) -> Change {
        Change::HostRegistered {
            name: format!("host-{}", self.index),
            incarnation: self.incarnation,
            peer_address: ([10, 0, 1, self.index as u8], 1).into(),
            availability_zone: "z".to_owned(),
        }
    }

    fn key(&self) -> Option<HostKey> {
        self.state.host_key(self.incarnation)
    }

    fn own(&self) -> Option<HostProcess> {
        Some(HostProcess {
            host: self.key()?,
            incarnation: self.incarnation,
        })
    }

    fn clock_ms(&self, now_ms: u64) -> u64 {
        local_ms(now_ms, self.offset_ms, self.drift_ppt)
    }

    fn is_up_to_date(&self, clock_ms: u64, broken: BrokenRule) -> bool {
        let up_to_date_ms = self.staleness.up_to_date_ms();
        broken == BrokenRule::StalenessBound
            || up_to_date_ms.is_some_and(|b| clock_ms <= b + MAX_STALENESS_MS)
    }

    fn apply(&mut self, entries: &[LogEntry], clock_ms: u64) {
        for entry in entries {
            if entry.revision == self.state.revision.next() {
                self.state
                    .apply(entry)
                    .expect("an entry of the log applies");
                self.applied_ms.push((entry.revision, clock_ms));
            }
        }
    }

    fn applied_at(&self, revision: Revision) -> u64 {
        let applied = self.applied_ms.iter().find(|(r, _)| *r == revision);
        applied.map_or(0, |(_, applied_ms)| *applied_ms)
    }

    fn applied_age_ms(&self, revision: Revision, clock_ms: u64) -> Option<u64> {
        let applied = self.applied_ms.iter().find(|(r, _)| *r == revision)?;
        Some(clock_ms - applied.1)
    }

    fn pong(&self, sent_ms: u64, clock_ms: u64) -> Option<HeartbeatReply> {
        let up_to_date_ms = self.staleness.up_to_date_ms();
        Some(HeartbeatReply {
            host: self.key()?,
            incarnation: self.incarnation,
            sent_ms,
            revision: self.state.revision,
            staleness_ms: up_to_date_ms.map(|up_to_date_ms| clock_ms - up_to_date_ms),
        })
    }

    fn horizon_reply(
        &self,
        server: ServerKey,
        lost: Revision,
        clock_ms: u64,
    ) -> Option<HorizonReply> {
        let lease_epoch = self.state.server(server)?.lease_epoch;
        let renewal_state = self.renewal_states[server.0 as usize];
        Some(HorizonReply {
            host: self.key()?,
            incarnation: self.incarnation,
            server,
            lost,
            applied_age_ms: self.applied_age_ms(lost, clock_ms)?,
            remaining_ms: renewal_state.remaining_ms(lease_epoch, clock_ms, MARGIN_MS),
        })
    }

    /// Returns the order that renews a lease, or `None` if the host must not send one. The
    /// conditions are those of the real host.
    fn order(&mut self, server: usize, clock_ms: u64, broken: BrokenRule) -> Option<LeaseRequest> {
        let key = ServerKey(server as u32);
        self.key()?;
        let entry = self.state.server(key)?.clone();
        if entry.state != ServerState::Live || !self.is_up_to_date(clock_ms, broken) {
            return None;
        }
        let renewal_state = &mut self.renewal_states[server];
        renewal_state.start_lease_epoch(entry.lease_epoch, clock_ms);
        if !renewal_state.is_due(clock_ms) {
            return None;
        }
        renewal_state.record_sent(clock_ms, ORDER_MS);
        let not_after_ms = renewal_state.order(entry.incarnation, clock_ms, TTL_MS);
        let grants = missing(&self.state, key, renewal_state.digest);
        Some(LeaseRequest {
            incarnation: not_after_ms.map(|_| entry.incarnation),
            lease_epoch: entry.lease_epoch,
            not_after_ms: not_after_ms.unwrap_or_default(),
            grants,
        })
    }

    fn expired(
        &self,
        server: ServerKey,
        lost: Revision,
        clock_ms: u64,
        broken: BrokenRule,
    ) -> bool {
        let reports: Vec<HorizonReport> = self
            .reports
            .iter()
            .filter(|(s, r, _)| *s == server && *r == lost)
            .map(|(_, _, report)| *report)
            .collect();
        let (registered, quorum_members) = (registered(&self.state), quorum_members(&self.state));
        let few = [quorum_members.first().copied()]
            .into_iter()
            .flatten()
            .collect::<Vec<_>>();
        let renewing_hosts = RenewingHosts {
            registered: &registered,
            quorum_members: if broken == BrokenRule::Majority {
                &few
            } else {
                &quorum_members
            },
            previous: if broken == BrokenRule::Majority {
                &[]
            } else {
                &self.state.registry.previous_quorum_members
            },
            majority_since_ms: self.applied_at(self.state.registry.majority_since()),
            change_complete: self.state.registry.is_change_complete(),
        };
        let at_ms = expired_at_ms(renewing_hosts, &reports, EXPIRY_BOUND_MS);
        broken == BrokenRule::ExpiryWait || at_ms.is_some_and(|at_ms| clock_ms >= at_ms)
    }

    fn registry_change(&self, clock_ms: u64) -> Option<Change> {
        let limits = RegistryLimits {
            removal_ms: 5_000,
            leaving_ms: EXPIRY_BOUND_MS,
        };
        let silence = |host, entry: &ashroad::state::HostEntry| {
            let heard_ms = self.staleness.heard_ms(host);
            Silence {
                silent_ms: heard_ms.map(|heard_ms| clock_ms.saturating_sub(heard_ms)),
                expected: true,
                entry_age_ms: self
                    .applied_age_ms(entry.changed, clock_ms)
                    .unwrap_or_default(),
            }
        };
        registry::next_change(&self.state, self.key(), limits, silence)
    }
}

fn missing(state: &State, server: ServerKey, digest: Option<u64>) -> Vec<SlotGrant> {
    let mut grants = Vec::new();
    let mut expected = 0;
    for (_, service) in state.active_services() {
        for (slot, entry) in service.slot_entries() {
            if entry.stable_owner() == Some(server) {
                expected ^= grant_hash(SERVICE, slot, entry.epoch);
                let epoch = entry.epoch;
                grants.push(super::slot_grant(&CompletedMove { slot, epoch }));
            }
        }
    }
    if digest.is_none_or(|digest| digest == expected) {
        grants.clear();
    }
    grants
}

impl Simulation {
    pub fn host_receives(&mut self, index: usize, message: Message) {
        let host = &mut self.hosts[index];
        let clock_ms = host.clock_ms(self.now_ms);
        let me = Node::Host(index);
        match message {
            Message::Ping { from, sent_ms } => {
                if let Some(pong) = host.pong(sent_ms, clock_ms) {
                    self.reply(me, from, Message::Pong(pong));
                }
            }
            Message::Pong(response) => {
                let (applied, quorum_members) = (host.state.revision, quorum_members(&host.state));
                if let Some(own) = host.own() {
                    host.staleness
                        .record_heartbeat_reply(response, applied, own, &quorum_members);
                }
            }
            Message::LogRead { entries, sent_ms } => {
                host.apply(&entries, clock_ms);
                let end = entries.last().map(|entry| entry.revision);
                if end.is_none_or(|end| host.state.revision >= end) {
                    host.staleness.record_log_read(sent_ms);
                }
            }
            Message::AppendOutcome(entry) => {
                host.append_ms = 0;
                host.apply(&[entry], clock_ms);
            }
            Message::LeaseAnswered {
                server,
                ordered,
                intended,
                response,
            } => {
                self.apply_lease_reply(index, server, ordered, intended, &response);
            }
            Message::Released { slots } => self.grant(index, &slots),
            Message::Granted { slots } => {
                let service = host.state.active_services().next().map(|(key, _)| key);
                if let Some(service) = service {
                    let done = slots;
                    self.append(index, Change::MovesCompleted { service, done });
                }
            }
            Message::QueryHorizon { from, server, lost } => {
                if let Some(horizon_reply) = host.horizon_reply(server, lost, clock_ms) {
                    self.reply(me, from, Message::Horizon(horizon_reply));
                }
            }
            Message::Horizon(horizon_reply) => {
                let report = HorizonReport {
                    host: horizon_reply.host,
                    incarnation: horizon_reply.incarnation,
                    applied_ms: clock_ms - horizon_reply.applied_age_ms,
                    horizon_ms: clock_ms + horizon_reply.remaining_ms,
                };
                host.reports
                    .push((horizon_reply.server, horizon_reply.lost, report));
            }
            _ => {}
        }
    }

    fn apply_lease_reply(
        &mut self,
        index: usize,
        server: usize,
        ordered: bool,
        intended: Incarnation,
        response: &ashroad::ownership::message::LeaseResponse,
    ) {
        let host = &mut self.hosts[index];
        let clock_ms = host.clock_ms(self.now_ms);
        let key = ServerKey(server as u32);
        let Some(entry) = host.state.server(key).cloned() else {
            return;
        };
        if entry.state == ServerState::Absent {
            let incarnation = response.incarnation;
            self.append(
                index,
                Change::ServerJoined {
                    server: key,
                    incarnation,
                },
            );
            return;
        }
        host.waiting[server] = None;
        let intended = if ordered { intended } else { entry.incarnation };
        let outcome = host.renewal_states[server]
            .record_response(response, intended, ordered, clock_ms, RENEW_MS);
        if outcome == RenewalOutcome::Replaced && response.incarnation != entry.incarnation {
            let lease_epoch = entry.lease_epoch;
            self.append(
                index,
                Change::ServerLost {
                    server: key,
                    lease_epoch,
                },
            );
        }
    }

    /// Appends a change as one conditional write, if the change is valid in the state that this
    /// host has applied.
    fn append(&mut self, index: usize, change: Change) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[index];
        if host.append_ms > now_ms {
            return;
        }
        let entry = super::entry(host.state.revision.0 + 1, change);
        if host.state.clone().apply(&entry).is_err() {
            return;
        }
        host.append_ms = now_ms + 100;
        let message = Message::Append {
            from: self.requester(index),
            entry,
        };
        // Some writes are sent twice, as after a lost response. The condition on the head of the
        // log lets only one of them succeed.
        if self.rng.random_bool(0.1) {
            self.send(Node::Host(index), Node::Store, message.clone());
        }
        self.send(Node::Host(index), Node::Store, message);
    }

    fn grant(&mut self, index: usize, slots: &[CompletedMove]) {
        let host = &self.hosts[index];
        let clock_ms = host.clock_ms(self.now_ms);
        if !host.is_up_to_date(clock_ms, self.broken) {
            return;
        }
        let Some((_, service)) = host.state.active_services().next() else {
            return;
        };
        // The slots must still have the epochs for which they were released, in this host's current
        // state.
        let same = |done: &CompletedMove| service.slots[done.slot.0 as usize].epoch == done.epoch;
        let Some(first) = slots.first().filter(|_| slots.iter().all(same)) else {
            return;
        };
        let to = service.slots[first.slot.0 as usize].next;
        let entry = to.and_then(|to| host.state.server(to));
        let (Some(to), Some(entry)) = (to, entry) else {
            return;
        };
        let order = LeaseRequest {
            incarnation: Some(entry.incarnation),
            lease_epoch: entry.lease_epoch,
            not_after_ms: 0,
            grants: next_grants(service, slots),
        };
        let slots = slots.to_vec();
        let message = Message::Grant {
            from: self.requester(index),
            order,
            slots,
        };
        self.send(Node::Host(index), Node::Server(to.0 as usize), message);
    }

    pub fn tick(&mut self, index: usize) {
        if self.hosts[index].paused_until_ms > self.now_ms {
            return;
        }
        self.read_log_and_ping(index);
        let host = &self.hosts[index];
        if host.state.revision.0 > 0 && host.key().is_none() {
            let change = host.registration();
            self.append(index, change);
        }
        self.renew(index);
        let host = &self.hosts[index];
        if host.leading && host.key().is_some() {
            self.lead(index);
        }
    }

    fn read_log_and_ping(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let clock_ms = host.clock_ms(self.now_ms);
        if let Some(own) = host.own() {
            let quorum_members = quorum_members(&host.state);
            host.staleness
                .advance_if_only_quorum_member(clock_ms, own, &quorum_members);
        }
        let after = host.state.revision;
        if clock_ms >= host.read_ms + READ_MS {
            host.read_ms = clock_ms;
            let read = Message::ReadLog {
                from: self.requester(index),
                after,
                sent_ms: clock_ms,
            };
            self.send(Node::Host(index), Node::Store, read);
        }
        for peer in 0..self.hosts.len() {
            if peer != index {
                let ping = Message::Ping {
                    from: self.requester(index),
                    sent_ms: clock_ms,
                };
                self.send(Node::Host(index), Node::Host(peer), ping);
            }
        }
    }

    fn renew(&mut self, index: usize) {
        for server in 0..SERVERS {
            let broken = self.broken;
            let host = &mut self.hosts[index];
            let clock_ms = host.clock_ms(self.now_ms);
            let mut lost = std::mem::take(&mut host.false_suspicion);
            if host.waiting[server].is_some_and(|sent_ms| clock_ms > sent_ms + ORDER_MS) {
                host.waiting[server] = None;
                lost |= host.renewal_states[server].record_failure(clock_ms, SUSPECT_MS);
            }
            let key = ServerKey(server as u32);
            let lease_epoch = host.state.server(key).map(|entry| entry.lease_epoch);
            if lost && let Some(lease_epoch) = lease_epoch {
                self.append(
                    index,
                    Change::ServerLost {
                        server: key,
                        lease_epoch,
                    },
                );
                continue;
            }
            if let Some(order) = host.order(server, clock_ms, broken) {
                host.waiting[server] = Some(clock_ms);
                let message = Message::Lease {
                    from: self.requester(index),
                    order,
                };
                self.send(Node::Host(index), Node::Server(server), message);
            }
        }
    }

    fn lead(&mut self, index: usize) {
        let clock_ms = self.hosts[index].clock_ms(self.now_ms);
        self.lead_registry(index, clock_ms);
        self.lead_losses(index, clock_ms);
        let host = &mut self.hosts[index];
        if !host.is_up_to_date(clock_ms, self.broken) {
            return;
        }
        if clock_ms >= host.query_ms + RENEW_MS {
            host.query_ms = clock_ms;
            self.query_absent_servers(index);
        }
        let host = &mut self.hosts[index];
        if clock_ms >= host.move_ms + MOVE_MS {
            host.move_ms = clock_ms;
            self.lead_moves(index);
        }
        let change = wanted_moves(&self.hosts[index].state, &mut self.rng, self.faults_ended);
        if let Some(change) = change {
            self.append(index, change);
        }
    }

    fn lead_registry(&mut self, index: usize, clock_ms: u64) {
        let host = &self.hosts[index];
        let mut tracker = host.registry;
        if tracker.pending(&host.state) {
            let latest = host.state.registry.changed;
            let own = host.own();
            // All peers are queried at the same instant here; hosts that are cut off or paused do
            // not reply.
            let reach = |peer: usize| {
                let link = (Node::Host(index), Node::Host(peer));
                let back = (Node::Host(peer), Node::Host(index));
                let cut = |link| self.cut.get(link).is_some_and(|ms| *ms > self.now_ms);
                !cut(&link) && !cut(&back) && self.hosts[peer].paused_until_ms <= self.now_ms
            };
            let applied: Vec<HostProcess> = (0..self.hosts.len())
                .filter(|peer| *peer == index || reach(*peer))
                .filter(|peer| self.hosts[*peer].state.revision >= latest)
                .filter_map(|peer| self.hosts[peer].own())
                .chain(own)
                .collect();
            tracker.record_applied(
                &self.hosts[index].state,
                &applied,
                clock_ms,
                EXPIRY_BOUND_MS,
            );
        }
        self.hosts[index].registry = tracker;
        let host = &self.hosts[index];
        let change = match tracker.completion(&host.state, clock_ms) {
            None if host.state.registry.is_change_complete() => host.registry_change(clock_ms),
            completion => completion,
        };
        if let Some(change) = change {
            self.append(index, change);
        }
    }

    fn lead_losses(&mut self, index: usize, clock_ms: u64) {
        let lost: Vec<(ServerKey, LeaseEpoch, Revision)> = self.hosts[index]
            .state
            .server_entries()
            .filter(|(_, entry)| entry.state == ServerState::Lost)
            .map(|(key, entry)| (key, entry.lease_epoch, entry.changed))
            .collect();
        for (server, lease_epoch, revision) in lost {
            let host = &mut self.hosts[index];
            if let Some(own) = host.horizon_reply(server, revision, clock_ms) {
                let report = HorizonReport {
                    host: own.host,
                    incarnation: own.incarnation,
                    applied_ms: clock_ms - own.applied_age_ms,
                    horizon_ms: clock_ms + own.remaining_ms,
                };
                host.reports.push((server, revision, report));
            }
            if host.expired(server, revision, clock_ms, self.broken) {
                self.append(
                    index,
                    Change::ServerLapsed {
                        server,
                        lease_epoch,
                    },
                );
                continue;
            }
            for peer in 0..self.hosts.len() {
                if peer != index {
                    let ask = Message::QueryHorizon {
                        from: self.requester(index),
                        server,
                        lost: revision,
                    };
                    self.send(Node::Host(index), Node::Host(peer), ask);
                }
            }
        }
    }

    fn query_absent_servers(&mut self, index: usize) {
        for server in 0..SERVERS {
            let key = ServerKey(server as u32);
            let entry = self.hosts[index].state.server(key);
            if entry.is_some_and(|entry| entry.state == ServerState::Absent) {
                let order = LeaseRequest {
                    incarnation: None,
                    lease_epoch: LeaseEpoch::default(),
                    not_after_ms: 0,
                    grants: Vec::new(),
                };
                let message = Message::Lease {
                    from: self.requester(index),
                    order,
                };
                self.send(Node::Host(index), Node::Server(server), message);
            }
        }
    }

    fn lead_moves(&mut self, index: usize) {
        let state = self.hosts[index].state.clone();
        for (group, slots) in ready_groups(&state) {
            let Some(from) = group.from else {
                self.grant(index, &slots);
                continue;
            };
            let Some(entry) = state.server(from) else {
                continue;
            };
            let message = Message::Revoke {
                from: self.requester(index),
                incarnation: entry.incarnation,
                slots,
            };
            self.send(Node::Host(index), Node::Server(from.0 as usize), message);
        }
    }
}
