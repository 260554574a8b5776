//! Plays hosts, servers and callers of a contended service in virtual time, with the decisions that
//! hosts run. Not played: moves of keys after the start, hot keys, slow periods of servers, and
//! repeated attempts by hosts.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
};

use ashroad::entry::decide::{
    Candidate, Demand, Policy, admission,
    hold::{self, Hold, MoveTimeLeft, MoveWait},
    request_age::DeadlineEvidence,
    retry_schedule::{self, RefusedCaller, RetrySchedule},
    shortage::{self, ServiceLoad, Shortage, ShortageChange},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Waiting time of a caller from its first attempt, in milliseconds.
const CALLER_WAIT_MS: u64 = 6_000;
const ROUTE_TIMEOUT_MS: u64 = 3_000;
const RETRIES_MAX: u32 = 2;
/// Time from a caller to a host or from a host to a server, in milliseconds.
const LATENCY_MS: u64 = 1;
const SERVER_QUEUE: usize = 12;
/// Interval of the load reports between hosts, which are that old when they are replaced.
const REPORT_MS: u64 = 100;
/// Mean run time of the requests of both kinds at a server of speed 1, in milliseconds.
const MEAN_RUN_MS: f64 = 241.0;
const SPEED_MAX: f64 = 1.2;

/// Cause that blocks all keys for a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Block {
    /// A lease, whose end the hosts know.
    Lease,
    /// A move, which ends when the running requests have ended.
    Work,
    /// The keys' servers refuse connections, and the hosts do not know why.
    Gone,
}

/// Rules that hosts apply in a simulation, as [`Policy`] states them.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    pub schedules_retries: bool,
    pub infers_request_age: bool,
    pub handles_shortage: bool,
}

/// Load and servers of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub hosts: usize,
    /// Number of servers; the slots of each are one of `slots` in turn.
    pub servers: usize,
    pub slots: [u32; 2],
    pub callers_per_s: f64,
    /// Begin and end of the time in which the rate is `burst_factor` times as high.
    pub burst_ms: [u64; 2],
    pub burst_factor: f64,
    /// True if the servers get requests in proportion to their capacity, false in equal numbers.
    pub is_balanced: bool,
    pub length_ms: u64,
    /// Begin and end of the time for which all keys are blocked; 0 for no block.
    pub block: Block,
    pub block_begin_ms: u64,
    pub block_end_ms: u64,
    /// Fraction of the callers that retry at once whatever they are told.
    pub impatient: f64,
    /// Numbers of hosts that the hosts assume, each host one of them in turn.
    pub assumed_hosts: [usize; 2],
    /// Time at which a third of the hosts restarts.
    pub restart_ms: u64,
    pub seed: u64,
}

impl Scenario {
    fn slots(&self, server: usize) -> u32 {
        self.slots[server % 2]
    }

    /// Returns the rate that all servers together can serve.
    pub fn capacity_per_s(&self) -> f64 {
        let capacities = (0..self.servers)
            .map(|server| f64::from(self.slots(server)) * speed(server) * 1000.0 / MEAN_RUN_MS);
        capacities.sum()
    }
}

fn speed(server: usize) -> f64 {
    [0.55, SPEED_MAX, SPEED_MAX, SPEED_MAX][server / 2 % 4]
}

/// Results of the callers of one urgency, and of their retries.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub callers: u32,
    pub in_time: u32,
    pub late: u32,
    pub refusals: u32,
    pub retries: u32,
    pub refused_again: u32,
    /// Callers that retried for the first time after the end of the block, and how many of them
    /// were served then.
    pub first_retries: u32,
    pub served_at_first_retry: u32,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub urgent: Tally,
    pub others: Tally,
    /// Most retries that arrive within 100 ms after the end of the block.
    pub retries_peak: u32,
    /// Most requests of any kind that arrive within 100 ms after the end of the block.
    pub peak: u32,
    /// Shortages that began, over all hosts.
    pub shortages: u32,
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    server: usize,
    first_ms: u64,
    is_urgent: bool,
    is_impatient: bool,
    run_ms: f64,
    attempts: u32,
    host: usize,
    /// Time at which the host got the current attempt, unless the host holds it.
    arrived_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Arrive(usize),
    Send(usize),
    End(usize),
    Report,
}

struct Server {
    running: u32,
    queue: VecDeque<usize>,
}

struct Simulation {
    scenario: Scenario,
    rules: Rules,
    policy: Policy,
    rng: StdRng,
    steps: BinaryHeap<Reverse<(u64, u64, Step)>>,
    number: u64,
    callers: Vec<Caller>,
    servers: Vec<Server>,
    /// Requests in flight by host and server, now and when the last report was taken.
    own: Vec<Vec<u32>>,
    own_taken: Vec<Vec<u32>>,
    own_reported: Vec<Vec<u32>>,
    /// Sums of `own_reported` over the hosts, by server.
    reported: Vec<u32>,
    shortages: Vec<Shortage>,
    evidence: Vec<[DeadlineEvidence; 2]>,
    schedules: Vec<Vec<RetrySchedule>>,
    outcome: Outcome,
    arrivals: Vec<[u32; 2]>,
}

/// Plays a scenario.
pub fn play(scenario: Scenario, rules: Rules) -> Outcome {
    let pairs = vec![vec![0; scenario.servers]; scenario.hosts];
    let server = |_| Server {
        running: 0,
        queue: VecDeque::new(),
    };
    let mut simulation = Simulation {
        rules,
        policy: Policy::default(),
        rng: StdRng::seed_from_u64(scenario.seed),
        steps: BinaryHeap::new(),
        number: 0,
        callers: Vec::new(),
        servers: (0..scenario.servers).map(server).collect(),
        own: pairs.clone(),
        own_taken: pairs.clone(),
        own_reported: pairs,
        reported: vec![0; scenario.servers],
        shortages: vec![Shortage::default(); scenario.hosts],
        evidence: vec![Default::default(); scenario.hosts],
        schedules: vec![vec![RetrySchedule::default(); scenario.servers]; scenario.hosts],
        outcome: Outcome::default(),
        arrivals: vec![[0; 2]; (scenario.length_ms + 2 * CALLER_WAIT_MS) as usize / 100],
        scenario,
    };
    simulation.run();
    simulation.finish()
}

impl Simulation {
    fn at(&mut self, at_ms: u64, step: Step) {
        self.number += 1;
        self.steps.push(Reverse((at_ms, self.number, step)));
    }

    fn run(&mut self) {
        let mut at_ms = 0.0;
        while at_ms < self.scenario.length_ms as f64 {
            self.add_caller(at_ms as u64);
            let random: f64 = self.rng.random();
            let [begin_ms, end_ms] = self.scenario.burst_ms;
            let is_burst = (begin_ms..end_ms).contains(&(at_ms as u64));
            let factor = if is_burst {
                self.scenario.burst_factor
            } else {
                1.0
            };
            at_ms -= (1.0 - random).ln() * 1000.0 / (self.scenario.callers_per_s * factor);
        }
        self.at(0, Step::Report);
        while let Some(Reverse((now_ms, _, step))) = self.steps.pop() {
            match step {
                Step::Arrive(caller) => self.arrive(caller, now_ms),
                Step::Send(caller) => self.decide(caller, now_ms),
                Step::End(caller) => self.end(caller, now_ms),
                Step::Report => self.report(now_ms),
            }
        }
    }

    fn add_caller(&mut self, first_ms: u64) {
        let is_urgent = self.rng.random_bool(389.0 / 1849.0);
        let mean_ms = if is_urgent {
            260.0
        } else if self.rng.random_bool(0.03) {
            1_400.0
        } else {
            200.0
        };
        let caller = Caller {
            server: self.random_server(),
            first_ms,
            is_urgent,
            is_impatient: self.rng.random_bool(self.scenario.impatient),
            run_ms: mean_ms * self.rng.random_range(0.7..1.3),
            attempts: 0,
            host: 0,
            arrived_ms: 0,
        };
        self.callers.push(caller);
        self.tally(is_urgent).callers += 1;
        self.at(first_ms, Step::Arrive(self.callers.len() - 1));
    }

    fn random_server(&mut self) -> usize {
        loop {
            let server = self.rng.random_range(0..self.scenario.servers);
            let capacity = f64::from(self.scenario.slots(server)) * speed(server);
            let most = f64::from(*self.scenario.slots.iter().max().expect("slots")) * SPEED_MAX;
            if !self.scenario.is_balanced || self.rng.random_bool(capacity / most) {
                return server;
            }
        }
    }

    fn tally(&mut self, is_urgent: bool) -> &mut Tally {
        if is_urgent {
            &mut self.outcome.urgent
        } else {
            &mut self.outcome.others
        }
    }

    /// Replaces the loads that hosts know by those of the previous report.
    fn report(&mut self, now_ms: u64) {
        self.own_reported = std::mem::replace(&mut self.own_taken, self.own.clone());
        for (server, sum) in self.reported.iter_mut().enumerate() {
            *sum = self.own_reported.iter().map(|own| own[server]).sum();
        }
        if now_ms == self.scenario.restart_ms {
            for host in (0..self.scenario.hosts).step_by(3) {
                self.schedules[host].fill(RetrySchedule::default());
                self.evidence[host] = Default::default();
            }
        }
        if now_ms < self.scenario.length_ms + CALLER_WAIT_MS {
            self.at(now_ms + REPORT_MS, Step::Report);
        }
    }

    fn arrive(&mut self, index: usize, now_ms: u64) {
        let previous = self.callers[index].host;
        let others = self.rng.random_range(1..self.scenario.hosts);
        let caller = &mut self.callers[index];
        caller.host = (previous + others) % self.scenario.hosts;
        caller.arrived_ms = now_ms;
        caller.attempts += 1;
        let (is_urgent, is_retry) = (caller.is_urgent, caller.attempts > 1);
        let is_first_retry = caller.attempts == 2 && now_ms >= self.scenario.block_end_ms;
        self.tally(is_urgent).retries += u32::from(is_retry);
        self.tally(is_urgent).first_retries += u32::from(is_first_retry);
        if let Some(arrivals) = self.arrivals.get_mut(now_ms as usize / 100) {
            arrivals[0] += 1;
            arrivals[1] += u32::from(is_retry);
        }
        self.decide(index, now_ms);
    }

    fn decide(&mut self, index: usize, now_ms: u64) {
        let caller = self.callers[index];
        let waited_ms = caller.arrived_ms - caller.first_ms;
        let left_ms = (CALLER_WAIT_MS - waited_ms).min(ROUTE_TIMEOUT_MS);
        let evidence = &mut self.evidence[caller.host][usize::from(caller.is_urgent)];
        let mut age_ms = evidence.age_ms(CALLER_WAIT_MS - waited_ms, caller.arrived_ms);
        if !self.rules.infers_request_age {
            age_ms = 0;
        }
        let aim_ms = aim_ms(caller.is_urgent);
        if (self.scenario.block_begin_ms..self.scenario.block_end_ms).contains(&now_ms) {
            self.decide_blocked(index, now_ms, left_ms, aim_ms);
            return;
        }
        let seen = self.seen(&caller);
        let demand = Demand {
            objective_ms: aim_ms.saturating_sub(age_ms + now_ms - caller.arrived_ms),
            deadline_ms: left_ms,
            run_share: 1.0,
            is_urgent: caller.is_urgent,
        };
        let policy = if !caller.is_urgent && self.is_short(caller.host, now_ms) {
            shortage::admission_policy(&self.policy)
        } else {
            self.policy
        };
        let policy = Policy {
            late_may_queue: policy.late_may_queue && age_ms == 0,
            ..policy
        };
        if admission::has_room(&seen, MEAN_RUN_MS, demand, &policy) {
            self.own[caller.host][caller.server] += 1;
            self.begin(index, now_ms + LATENCY_MS);
            return;
        }
        self.refuse_overloaded(index, now_ms, &seen);
    }

    /// Decides on a request whose key is blocked.
    fn decide_blocked(&mut self, index: usize, now_ms: u64, left_ms: u64, aim_ms: u64) {
        let remaining_ms = self.scenario.block_end_ms - now_ms;
        let (wait, told_ms) = match self.scenario.block {
            Block::Lease => (MoveWait::Lease, remaining_ms),
            Block::Work => (MoveWait::Work, MEAN_RUN_MS as u64),
            Block::Gone => {
                let least_ms = self.policy.return_min_ms;
                let told_ms = if self.rules.schedules_retries {
                    retry_schedule::unknown_ms(least_ms, CALLER_WAIT_MS / 3, self.rng.random())
                } else {
                    least_ms
                };
                self.refuse(index, now_ms, told_ms, false);
                return;
            }
        };
        let time_left = MoveTimeLeft { wait, remaining_ms };
        let held_ms = now_ms - self.callers[index].arrived_ms;
        match hold::decide(time_left, held_ms, left_ms, aim_ms, &self.policy) {
            Hold::For(room_ms) => {
                let held_ms = room_ms.min(remaining_ms);
                self.at(now_ms + held_ms, Step::Send(index));
            }
            Hold::Refuse => self.refuse(index, now_ms, told_ms, self.rules.schedules_retries),
        }
    }

    /// Returns true if a host handles a shortage.
    fn is_short(&mut self, host: usize, now_ms: u64) -> bool {
        if self.shortages[host].take_due(now_ms) {
            let mut sum = ServiceLoad::default();
            for server in 0..self.scenario.servers {
                let others = self.reported[server] - self.own_reported[host][server];
                sum.add(self.scenario.slots(server), others + self.own[host][server]);
            }
            let change = self.shortages[host].update(sum, &self.policy);
            let begins = change == Some(ShortageChange::Begin);
            self.outcome.shortages += u32::from(begins);
        }
        self.rules.handles_shortage && self.shortages[host].is_short()
    }

    fn seen(&self, caller: &Caller) -> Candidate {
        let (host, server) = (caller.host, caller.server);
        let others = self.reported[server] - self.own_reported[host][server];
        Candidate {
            slots: self.scenario.slots(server),
            load: others + self.own[host][server],
            run_ms: MEAN_RUN_MS / speed(server),
            since_outcome_ms: 0,
            slowdown: 1.0,
            failures: 0.0,
            is_paused: false,
            is_same_zone: true,
            is_other_region: false,
            has_idle_connection: true,
        }
    }

    fn refuse_overloaded(&mut self, index: usize, now_ms: u64, seen: &Candidate) {
        let is_scheduled = self.rules.schedules_retries && !self.callers[index].is_urgent;
        let blocked_ms = if is_scheduled {
            f64::from(seen.load) * 1000.0 / admission::capacity_per_s(seen, MEAN_RUN_MS)
        } else {
            MEAN_RUN_MS
        };
        self.refuse(index, now_ms, blocked_ms as u64, is_scheduled);
    }

    fn refuse(&mut self, index: usize, now_ms: u64, blocked_ms: u64, is_scheduled: bool) {
        let caller = self.callers[index];
        let block_ms = self.scenario.block_begin_ms..self.scenario.block_end_ms;
        let by_queue = !block_ms.contains(&now_ms);
        let tally = self.tally(caller.is_urgent);
        tally.refusals += 1;
        tally.refused_again += u32::from(caller.attempts > 1);
        if caller.attempts > RETRIES_MAX {
            return;
        }
        let left_ms = (caller.first_ms + CALLER_WAIT_MS).saturating_sub(now_ms);
        let mut told_ms = blocked_ms;
        if !caller.is_urgent && by_queue && self.is_short(caller.host, now_ms) {
            let honoured_ms = retry_schedule::honoured_ms(left_ms);
            told_ms = shortage::retry_after_ms(honoured_ms, self.rng.random());
        } else if is_scheduled {
            let refused = RefusedCaller {
                now_ms,
                blocked_ms,
                honoured_ms: retry_schedule::honoured_ms(left_ms),
                is_urgent: caller.is_urgent,
            };
            let seen = self.seen(&caller);
            let capacity_per_s = admission::capacity_per_s(&seen, MEAN_RUN_MS);
            let hosts = self.scenario.assumed_hosts[caller.host % 2];
            let interval_ms = retry_schedule::interval_ms(capacity_per_s, hosts);
            let schedule = &mut self.schedules[caller.host][caller.server];
            told_ms = schedule.retry_after_ms(refused, interval_ms, self.rng.random());
        }
        let wait_ms = if caller.is_impatient {
            self.rng.random_range(0..20)
        } else {
            told_ms.max(self.policy.return_min_ms).min(left_ms / 3)
        };
        if wait_ms < left_ms {
            self.at(now_ms + 2 * LATENCY_MS + wait_ms, Step::Arrive(index));
        }
    }

    /// Begins a request at its server, or queues it there.
    fn begin(&mut self, index: usize, now_ms: u64) {
        let caller = self.callers[index];
        let slots = self.scenario.slots(caller.server);
        let server = &mut self.servers[caller.server];
        if server.running < slots {
            server.running += 1;
            let run_ms = (caller.run_ms / speed(caller.server)) as u64;
            self.at(now_ms + run_ms, Step::End(index));
        } else if server.queue.len() < SERVER_QUEUE {
            server.queue.push_back(index);
        } else {
            self.own[caller.host][caller.server] -= 1;
            let seen = self.seen(&caller);
            self.refuse_overloaded(index, now_ms, &seen);
        }
    }

    fn end(&mut self, index: usize, now_ms: u64) {
        let caller = self.callers[index];
        self.own[caller.host][caller.server] -= 1;
        let after_ms = now_ms - caller.first_ms;
        let is_answered =
            now_ms < caller.arrived_ms + ROUTE_TIMEOUT_MS && after_ms < CALLER_WAIT_MS;
        let is_in_time = after_ms <= aim_ms(caller.is_urgent);
        let is_first_retry =
            caller.attempts == 2 && caller.arrived_ms >= self.scenario.block_end_ms;
        let tally = self.tally(caller.is_urgent);
        tally.in_time += u32::from(is_answered && is_in_time);
        tally.late += u32::from(is_answered && !is_in_time);
        tally.served_at_first_retry += u32::from(is_answered && is_first_retry);
        let server = &mut self.servers[caller.server];
        server.running -= 1;
        if let Some(next) = server.queue.pop_front() {
            self.begin(next, now_ms);
        }
    }

    fn finish(mut self) -> Outcome {
        let from = self.scenario.block_end_ms as usize / 100;
        for [all, retries] in self.arrivals.iter().skip(from) {
            self.outcome.peak = self.outcome.peak.max(*all);
            self.outcome.retries_peak = self.outcome.retries_peak.max(*retries);
        }
        self.outcome
    }
}

/// Returns the latency objective of a kind of requests, in milliseconds.
fn aim_ms(is_urgent: bool) -> u64 {
    if is_urgent { 1_000 } else { 800 }
}
