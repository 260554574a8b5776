//! Simulates load in virtual time, without sockets, with the decision code that hosts run.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use ashroad::entry::{
    decide::{
        Candidate, Demand, Policy, admission,
        attempt_stats::AttemptStats,
        choice::{self, HostCount},
        hold::{self, Hold, MoveTimeLeft, MoveWait},
        key_loads::KeyLoads,
        plan::{self, Inputs, PlanServer},
        run_shares::RunShares,
        slowdown::Slowdown,
    },
    keys::{AssignedRange, Assignment, KeyRange},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// A warm server whose slots are all free, without samples of its run time.
const SERVER: Candidate = Candidate {
    slots: 6,
    load: 0,
    run_ms: 0.0,
    since_outcome_ms: 0,
    slowdown: 1.0,
    failures: 0.0,
    is_paused: false,
    is_same_zone: true,
    is_other_region: false,
    has_idle_connection: true,
};

/// A request with the average run time of its service. All requests of the service are equally
/// urgent.
const DEMAND: Demand = Demand {
    objective_ms: 400,
    deadline_ms: 1_500,
    run_share: 1.0,
    is_urgent: false,
};

#[test]
fn a_server_that_was_slow_for_a_moment_is_not_left_idle() {
    // The only server of some keys took 900 ms per request for a short time, and takes 120 ms
    // again. Only requests that reach the server can correct the host's average of its run time.
    let policy = Policy::default();
    let mut attempt_stats = AttemptStats::default();
    let mut now_ms = 1_000_000;
    for _ in 0..20 {
        now_ms += 50;
        attempt_stats.answered(900.0, true, now_ms);
    }
    let (mut requests, mut refused) = (0, 0);
    for _ in 0..200 {
        now_ms += 20;
        let seen = Candidate {
            run_ms: attempt_stats.run_ms(now_ms),
            ..SERVER
        };
        let demand = Demand {
            objective_ms: 400,
            deadline_ms: 1_500,
            ..DEMAND
        };
        requests += 1;
        if admission::has_room(&seen, 120.0, demand, &policy) {
            attempt_stats.answered(120.0, true, now_ms);
        } else {
            refused += 1;
        }
    }
    assert_eq!(refused, 0, "of {requests}");
}

#[test]
fn a_server_with_free_slots_gets_nothing_that_it_cannot_answer_before_the_deadline() {
    let slow = Candidate {
        run_ms: 2_000.0,
        ..SERVER
    };
    let demand = Demand {
        objective_ms: 400,
        deadline_ms: 1_500,
        ..DEMAND
    };
    let policy = Policy::default();
    assert!(!admission::has_room(&slow, 120.0, demand, &policy));
}

/// Guards against a host that avoids an idle server after a single slow response. The response took
/// longer than the deadline because the server's machine was paused. The server is fast again, and
/// a request arrives every 50 ms.
#[test]
fn one_slow_response_does_not_keep_requests_from_an_idle_server() {
    let policy = Policy::default();
    let demand = Demand {
        objective_ms: 200,
        deadline_ms: 800,
        ..DEMAND
    };
    let mut attempt_stats = AttemptStats::default();
    let mut now_ms = 10_000;
    attempt_stats.answered(820.0, true, now_ms);
    let mut refused = 0;
    for _ in 0..200 {
        now_ms += 50;
        let seen = Candidate {
            run_ms: attempt_stats.run_ms(now_ms),
            since_outcome_ms: attempt_stats.since_outcome_ms(now_ms),
            load: 0,
            ..SERVER
        };
        if admission::has_room(&seen, 60.0, demand, &policy) {
            attempt_stats.answered(5.0, true, now_ms);
        } else {
            refused += 1;
        }
    }
    // Without probe requests, the host refused 120 of 200 requests, until the sample expired.
    assert!(refused <= 17, "{refused} of 200 are refused");
}

#[test]
fn requests_wait_for_a_move_only_if_it_can_end_in_time() {
    struct Case {
        wait: MoveWait,
        remaining_ms: u64,
        held_ms: u64,
        left_ms: u64,
        objective_ms: u64,
        result: Hold,
    }
    let cases = [
        // The former server still runs requests for the key. Most such moves complete well before
        // the announced time, so the request is held although that time is longer.
        Case {
            wait: MoveWait::Work,
            remaining_ms: 2_500,
            held_ms: 0,
            left_ms: 800,
            objective_ms: 400,
            result: Hold::For(400),
        },
        Case {
            wait: MoveWait::Work,
            remaining_ms: 2_500,
            held_ms: 395,
            left_ms: 405,
            objective_ms: 400,
            result: Hold::Refuse,
        },
        // A request with a long latency objective is held for a share of that objective, which is
        // longer than the default.
        Case {
            wait: MoveWait::Work,
            remaining_ms: 2_500,
            held_ms: 0,
            left_ms: 9_000,
            objective_ms: 2_000,
            result: Hold::For(500),
        },
        // A lease expires exactly at its end. A request that can be held only for a part of that
        // time would be held in vain, and is refused.
        Case {
            wait: MoveWait::Lease,
            remaining_ms: 2_500,
            held_ms: 0,
            left_ms: 800,
            objective_ms: 400,
            result: Hold::Refuse,
        },
        Case {
            wait: MoveWait::Lease,
            remaining_ms: 120,
            held_ms: 0,
            left_ms: 800,
            objective_ms: 400,
            result: Hold::For(120),
        },
        Case {
            wait: MoveWait::Lease,
            remaining_ms: 120,
            held_ms: 0,
            left_ms: 100,
            objective_ms: 400,
            result: Hold::Refuse,
        },
    ];
    for case in cases {
        let time_left = MoveTimeLeft {
            wait: case.wait,
            remaining_ms: case.remaining_ms,
        };
        let policy = Policy::default();
        let result = hold::decide(
            time_left,
            case.held_ms,
            case.left_ms,
            case.objective_ms,
            &policy,
        );
        assert_eq!(
            result, case.result,
            "{time_left:?} held for {}",
            case.held_ms
        );
    }
}

/// Creates servers with the given capacities, in requests per second, and an assignment of an equal
/// number of keys to each.
fn uneven_servers(capacities_per_s: &[f64]) -> (Vec<PlanServer>, Assignment) {
    let servers: Vec<PlanServer> = capacities_per_s
        .iter()
        .enumerate()
        .map(|(number, capacity_per_s)| PlanServer {
            id: format!("s{number}").into(),
            capacity_per_s: *capacity_per_s,
            unlimited_per_s: *capacity_per_s,
        })
        .collect();
    let mut assignment = Assignment::default();
    let keys = (1usize << 16) / servers.len();
    for (number, server) in servers.iter().enumerate() {
        let last = if number + 1 == servers.len() {
            usize::from(u16::MAX)
        } else {
            (number + 1) * keys - 1
        };
        assignment.put(AssignedRange {
            range: KeyRange {
                first: (number * keys) as u16,
                last: last as u16,
            },
            server: server.id.clone(),
            fence: 1,
            from: None,
        });
    }
    (servers, assignment)
}

/// Applies plans to the assignment until a plan contains no moves. Returns the load of each server,
/// in requests per second.
fn settle(
    servers: &[PlanServer],
    assignment: &mut Assignment,
    loads: &KeyLoads,
    hot: &[u16],
) -> HashMap<Arc<str>, f64> {
    let policy = Policy::default();
    for round in 0.. {
        assert!(round < 12, "the planner does not stop planning moves");
        let moves = plan::plan(Inputs {
            assignment,
            servers,
            loads,
            moving: &[],
            balance_moves_max: 8,
            hot,
            policy: &policy,
        });
        if moves.is_empty() {
            break;
        }
        for planned in moves {
            let fence = assignment.next_fence(1);
            assignment.put(AssignedRange {
                range: planned.range,
                server: planned.to,
                fence,
                from: None,
            });
        }
    }
    let mut used: HashMap<Arc<str>, f64> = HashMap::new();
    for assigned_range in &assignment.assigned_ranges {
        *used.entry(assigned_range.server.clone()).or_default() += loads.of(assigned_range.range);
    }
    used
}

#[test]
fn a_hot_key_has_the_fastest_server_and_the_others_stay_balanced() {
    // The last of eight servers is the fastest. One key of the first server gets about five times
    // the load that a server can serve, and a range of another server has a high load.
    let (servers, mut assignment) =
        uneven_servers(&[50.0, 50.0, 45.0, 50.0, 55.0, 50.0, 50.0, 70.0]);
    let mut loads = KeyLoads::default();
    for key in (0..=u16::MAX).step_by(64) {
        loads.add(key, 0.2);
    }
    for key in 20_000..20_100 {
        loads.add(key, 0.5);
    }
    let hot = 1_000;
    loads.add(hot, 250.0);
    let used = settle(&servers, &mut assignment, &loads, &[hot]);
    let hot_range = assignment.assigned_range(hot).expect("an assigned range");
    assert_eq!(&*hot_range.server, "s7");
    let other_load = used["s7"] - loads.key(hot);
    assert!(
        other_load < 3.0,
        "{other_load} requests a second in addition to the hot key"
    );
    for server in &servers[..7] {
        let share = used[&server.id] / server.capacity_per_s;
        assert!(share < 0.85, "{} is used to a share of {share}", server.id);
    }
}

#[test]
fn a_rate_limited_server_keeps_little_load_and_the_others_stay_balanced() {
    struct Case {
        name: &'static str,
        limits_per_s: &'static [f64],
        /// Requests per second for one key of the first server.
        key_per_s: f32,
    }
    let cases = [
        Case {
            name: "two limited servers of nine",
            limits_per_s: &[7.6, 9.7],
            key_per_s: 0.2,
        },
        Case {
            name: "a key with more load than its server accepts",
            limits_per_s: &[0.5],
            key_per_s: 6.0,
        },
        Case {
            name: "a server that accepts no requests",
            limits_per_s: &[0.25],
            key_per_s: 0.2,
        },
        Case {
            name: "a third of the servers",
            limits_per_s: &[5.0, 5.0, 5.0],
            key_per_s: 0.2,
        },
    ];
    for case in cases {
        let (mut servers, mut assignment) = uneven_servers(&[66.0; 9]);
        for (server, limit_per_s) in servers.iter_mut().zip(case.limits_per_s) {
            server.capacity_per_s = *limit_per_s;
        }
        let mut loads = KeyLoads::default();
        for key in (0..=u16::MAX).step_by(64) {
            loads.add(key, 0.2);
        }
        // In addition, one of the servers without a limit has more load than its share.
        for key in 60_000..60_100 {
            loads.add(key, 0.5);
        }
        loads.add(1_000, case.key_per_s);
        let used = settle(&servers, &mut assignment, &loads, &[]);
        for server in &servers {
            let used = used.get(&server.id).copied().unwrap_or(0.0);
            let most = server.capacity_per_s * 0.85;
            let (name, id) = (case.name, &server.id);
            assert!(used <= most, "{name}: {id} has {used} of {most}");
        }
    }
}

#[test]
fn a_server_with_less_capacity_than_any_move_needs_does_not_prevent_a_balance_of_the_others() {
    let (mut servers, mut assignment) = uneven_servers(&[66.0; 9]);
    servers[0].capacity_per_s = 0.25;
    let mut loads = KeyLoads::default();
    loads.add(1_000, 0.4);
    for key in (8_000..=u16::MAX).step_by(64) {
        loads.add(key, 0.2);
    }
    for key in 60_000..60_100 {
        loads.add(key, 0.5);
    }
    let used = settle(&servers, &mut assignment, &loads, &[]);
    let busiest = used["s8"];
    assert!(busiest < 66.0 * 0.85, "{busiest} of 66 requests a second");
}

#[test]
fn a_joining_server_with_a_low_limit_gets_little_load() {
    let (mut servers, assignment) = uneven_servers(&[66.0; 8]);
    servers.push(PlanServer {
        id: "joins".into(),
        capacity_per_s: 3.0,
        unlimited_per_s: 66.0,
    });
    let mut loads = KeyLoads::default();
    for key in (0..=u16::MAX).step_by(64) {
        loads.add(key, 0.2);
    }
    let moves = plan::plan(Inputs {
        assignment: &assignment,
        servers: &servers,
        loads: &loads,
        moving: &[],
        balance_moves_max: 8,
        hot: &[],
        policy: &Policy::default(),
    });
    let given = moves.iter().filter(|planned| &*planned.to == "joins");
    let load: f64 = given.map(|planned| loads.of(planned.range)).sum();
    assert!(load > 0.0 && load <= 3.0, "{load} requests a second");
}

#[test]
fn a_hot_key_stays_where_no_server_is_much_faster() {
    let (servers, mut assignment) = uneven_servers(&[50.0, 50.0, 55.0, 60.0]);
    let mut loads = KeyLoads::default();
    loads.add(1_000, 250.0);
    settle(&servers, &mut assignment, &loads, &[1_000]);
    assert_eq!(
        &*assignment
            .assigned_range(1_000)
            .expect("an assigned range")
            .server,
        "s0"
    );
}

/// Counts of requests in a simulation of hosts that learn of each other's requests with a delay.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    requests: u32,
    /// Requests that were answered within the latency objective.
    in_time: u32,
    /// Requests that were sent to a server with a full queue, which resets the connection. A
    /// request that cannot be repeated is then lost.
    reset: u32,
    refused: u32,
}

/// Simulates 12 s in which 59 hosts send requests to the 46 servers of their zone, at 92% of the
/// servers' capacity. A host's data on the requests of the other hosts is up to `load_age_ms` old.
fn simulate_load_age(load_age_ms: u64) -> Outcome {
    const HOSTS: usize = 59;
    const SERVERS: usize = 46;
    const SLOTS: usize = 4;
    const QUEUE: usize = 16;
    const MEAN_RUN_MS: f64 = 470.0;
    const OBJECTIVE_MS: u64 = 1_200;
    let mut rng = StdRng::seed_from_u64(7);
    let policy = Policy::default();
    // For each server, the end time and the host of each running or queued request.
    let mut in_flight: Vec<Vec<(u64, usize)>> = vec![Vec::new(); SERVERS];
    let mut reports = vec![vec![0u32; SERVERS]; HOSTS];
    let mut outcome = Outcome::default();
    let every_ms = MEAN_RUN_MS / (SERVERS * SLOTS) as f64 / 0.92;
    let mut due_ms = 0.0;
    for now_ms in 0u64..12_000 {
        for server in &mut in_flight {
            server.retain(|(end_ms, _)| *end_ms > now_ms);
        }
        if now_ms.is_multiple_of(load_age_ms) {
            for (host, reports) in reports.iter_mut().enumerate() {
                for (server, load) in reports.iter_mut().enumerate() {
                    let others = in_flight[server].iter().filter(|(_, by)| *by != host);
                    *load = others.count() as u32;
                }
            }
        }
        while due_ms < now_ms as f64 {
            due_ms += every_ms;
            let host = rng.random_range(0..HOSTS);
            let seen: Vec<Candidate> = (0..SERVERS)
                .map(|server| {
                    let own = in_flight[server].iter().filter(|(_, by)| *by == host);
                    Candidate {
                        slots: SLOTS as u32,
                        load: own.count() as u32 + reports[host][server],
                        run_ms: MEAN_RUN_MS,
                        ..SERVER
                    }
                })
                .collect();
            let inputs = choice::Inputs {
                servers: &seen,
                typical_ms: MEAN_RUN_MS,
                demand: Demand {
                    objective_ms: OBJECTIVE_MS,
                    deadline_ms: 3_000,
                    ..DEMAND
                },
                hosts: HostCount {
                    same_zone: HOSTS,
                    all: HOSTS,
                },
            };
            outcome.requests += 1;
            let Some(server) = choice::pick(inputs, &policy, &mut rng) else {
                outcome.refused += 1;
                continue;
            };
            if in_flight[server].len() >= SLOTS + QUEUE {
                outcome.reset += 1;
                continue;
            }
            let mut at_work: Vec<u64> = in_flight[server]
                .iter()
                .map(|(end_ms, _)| *end_ms)
                .collect();
            at_work.sort_unstable();
            let waits_for = at_work.len().checked_sub(SLOTS);
            let begin_ms = waits_for.map_or(now_ms, |index| at_work[index]);
            let run_ms = MEAN_RUN_MS * rng.random_range(0.5..1.5);
            let end_ms = begin_ms + run_ms as u64;
            in_flight[server].push((end_ms, host));
            outcome.in_time += u32::from(end_ms - now_ms <= OBJECTIVE_MS);
        }
    }
    outcome
}

#[test]
fn fresh_loads_serve_more_in_time_than_stale_ones() {
    // Sums that hosts exchange within a zone are up to 0.25 s old. With reports between zones
    // instead, the data was up to 4 s old.
    let fresh = simulate_load_age(250);
    let old = simulate_load_age(4_000);
    let share = |outcome: Outcome| f64::from(outcome.in_time) / f64::from(outcome.requests);
    assert!(share(fresh) > 0.95, "{fresh:?}");
    assert!(share(old) < share(fresh) - 0.05, "{old:?}, {fresh:?}");
    assert_eq!(fresh.reset, 0, "{fresh:?}");
}

/// A request at a server of [`simulate_noisy_servers`].
#[derive(Clone, Copy, Debug)]
struct Waiting {
    host: usize,
    sent_ms: u64,
    work_ms: f64,
}

/// A server that shares its machine with others, and therefore runs three times slower than usual
/// for a fifth of the time.
#[derive(Debug, Default)]
struct NoisyServer {
    speed: f64,
    slowdown: f64,
    running: Vec<(u64, Waiting)>,
    queue: VecDeque<Waiting>,
}

impl NoisyServer {
    const SLOTS: usize = 3;
    const QUEUE: usize = 12;

    fn load(&self) -> usize {
        self.running.len() + self.queue.len()
    }

    fn start_waiting(&mut self, now_ms: u64) {
        while self.running.len() < Self::SLOTS {
            let Some(next) = self.queue.pop_front() else {
                return;
            };
            let run_ms = next.work_ms * self.speed * self.slowdown;
            self.running.push((now_ms + run_ms as u64, next));
        }
    }
}

/// Simulates 20 s in which 25 hosts send requests to 11 servers of one zone, at 1.25 times the
/// servers' capacity. Each server has three slots. Every 100 ms, the hosts report to each other how
/// many requests they have at each server, and which slowdowns the servers reported. Returns the
/// earned share of the possible value: a response within the latency objective earns 1, a late
/// response 0.5.
fn simulate_noisy_servers(policy: &Policy) -> f64 {
    const HOSTS: usize = 25;
    const SERVERS: usize = 11;
    const MEAN_WORK_MS: f64 = 90.0;
    const SPEEDS: [f64; 3] = [0.7, 0.7, 1.6];
    const OBJECTIVE_MS: u64 = 283;
    const DEADLINE_MS: u64 = 983;
    const REQUESTS_PER_S: f64 = 335.0;
    const NOISE_EVERY_MS: u64 = 400;
    const REPORT_EVERY_MS: u64 = 100;
    let mut rng = StdRng::seed_from_u64(3);
    let mut servers: Vec<NoisyServer> = (0..SERVERS)
        .map(|number| NoisyServer {
            speed: SPEEDS[number % SPEEDS.len()],
            slowdown: 1.0,
            ..NoisyServer::default()
        })
        .collect();
    let mut own = vec![[0u32; SERVERS]; HOSTS];
    let mut reported = own.clone();
    let mut slowdowns = vec![[Slowdown::default(); SERVERS]; HOSTS];
    let mut reports: Vec<(usize, usize, f64, u64)> = Vec::new();
    let (mut requests, mut worth, mut due_ms) = (0.0, 0.0, 0.0);
    for now_ms in 1u64..20_000 {
        for (number, server) in servers.iter_mut().enumerate() {
            if (now_ms + 37 * number as u64).is_multiple_of(NOISE_EVERY_MS) {
                server.slowdown = if rng.random_bool(0.2) { 3.0 } else { 1.0 };
            }
            let (ended, running) = server.running.iter().partition(|(end, _)| *end <= now_ms);
            server.running = running;
            for (_, request) in ended {
                own[request.host][number] -= 1;
                worth += match now_ms - request.sent_ms {
                    after_ms if after_ms <= OBJECTIVE_MS => 1.0,
                    after_ms if after_ms <= DEADLINE_MS => 0.5,
                    _ => 0.0,
                };
                slowdowns[request.host][number].note(server.slowdown, now_ms);
                reports.push((request.host, number, server.slowdown, now_ms));
            }
            server.start_waiting(now_ms);
        }
        for host in 0..HOSTS {
            if (now_ms + 4 * host as u64).is_multiple_of(REPORT_EVERY_MS) {
                reported[host] = own[host];
                for (_, server, slowdown, at_ms) in
                    reports.extract_if(.., |reports| reports.0 == host)
                {
                    for slowdowns in &mut slowdowns {
                        slowdowns[server].note(slowdown, at_ms);
                    }
                }
            }
        }
        while due_ms < now_ms as f64 {
            due_ms -= (1.0 - rng.random::<f64>()).ln() * 1_000.0 / REQUESTS_PER_S;
            requests += 1.0;
            let host = rng.random_range(0..HOSTS);
            let seen: Vec<Candidate> = (0..SERVERS)
                .map(|server| {
                    let others = (0..HOSTS).filter(|other| *other != host);
                    let others: u32 = others.map(|other| reported[other][server]).sum();
                    Candidate {
                        slots: NoisyServer::SLOTS as u32,
                        load: own[host][server] + others,
                        run_ms: MEAN_WORK_MS * servers[server].speed * 1.4,
                        slowdown: slowdowns[host][server]
                            .relative(now_ms, policy.slowdown_memory_ms),
                        ..SERVER
                    }
                })
                .collect();
            let inputs = choice::Inputs {
                servers: &seen,
                typical_ms: MEAN_WORK_MS * 1.4,
                demand: Demand {
                    objective_ms: OBJECTIVE_MS,
                    deadline_ms: DEADLINE_MS,
                    ..DEMAND
                },
                hosts: HostCount {
                    same_zone: HOSTS,
                    all: 3 * HOSTS,
                },
            };
            let Some(chosen) = choice::pick(inputs, policy, &mut rng) else {
                continue;
            };
            if servers[chosen].load() >= NoisyServer::SLOTS + NoisyServer::QUEUE {
                continue;
            }
            own[host][chosen] += 1;
            // The run times of requests vary by a factor of several.
            let work_ms = MEAN_WORK_MS * 0.78 * (0.7 * normal(&mut rng)).exp();
            servers[chosen].queue.push_back(Waiting {
                host,
                sent_ms: now_ms,
                work_ms,
            });
        }
    }
    worth / requests
}

/// Draws from the standard normal distribution, approximated by the sum of twelve uniform draws.
fn normal(rng: &mut StdRng) -> f64 {
    (0..12).map(|_| rng.random::<f64>()).sum::<f64>() - 6.0
}

#[test]
fn servers_that_are_slow_for_a_moment_get_less_load_and_hosts_choose_different_servers() {
    let default = Policy::default();
    let known = simulate_noisy_servers(&default);
    let unknown = simulate_noisy_servers(&Policy {
        slowdown_memory_ms: 0,
        ..default
    });
    // Hosts compare three servers for a request. If they compared ten, the value would be 0.87,
    // because all hosts would choose the same few servers.
    assert!(known > 0.92, "{known}");
    assert!(unknown < known - 0.01, "{unknown}, {known}");
}

/// Value that the responses to short and long requests at one server have earned, as shares of the
/// possible value.
#[derive(Clone, Copy, Debug, Default)]
struct Earned {
    short: f64,
    long: f64,
}

/// Simulates 60 s of requests to the only server of some keys, which has three slots. Long requests
/// run for 500 ms and use 85% of the slots; a response within a second has a value of 1. A few
/// short requests run for 90 ms and are urgent; a response within 250 ms has a value of 3, and
/// their deadline is 600 ms. Late responses earn half of the value.
fn simulate_short_and_long(policy: &Policy) -> Earned {
    const SLOTS: usize = 3;
    const SHORT_EVERY_MS: f64 = 700.0;
    const LONG_EVERY_MS: f64 = 500.0 / (0.85 * SLOTS as f64);
    let mut rng = StdRng::seed_from_u64(11);
    let run_shares = RunShares::default();
    let (service, short): (Arc<str>, Arc<str>) = ("s".into(), "short".into());
    for _ in 0..20 {
        run_shares.note(&service, &short, 90.0, 460.0);
    }
    let mut ends_ms: Vec<f64> = Vec::new();
    let (mut earned, mut requests) = (Earned::default(), Earned::default());
    let (mut short_ms, mut long_ms) = (0.0f64, 0.0f64);
    while short_ms.min(long_ms) < 60_000.0 {
        let is_short = short_ms < long_ms;
        let now_ms = short_ms.min(long_ms);
        let (next_ms, mean_ms) = if is_short {
            (&mut short_ms, SHORT_EVERY_MS)
        } else {
            (&mut long_ms, LONG_EVERY_MS)
        };
        *next_ms -= (1.0 - rng.random::<f64>()).ln() * mean_ms;
        ends_ms.retain(|end_ms| *end_ms > now_ms);
        let seen = Candidate {
            slots: SLOTS as u32,
            load: ends_ms.len() as u32,
            run_ms: 460.0,
            ..SERVER
        };
        let demand = if is_short {
            Demand {
                objective_ms: 250,
                deadline_ms: 600,
                run_share: if policy.runs_by_route {
                    run_shares.run_share(&service, &short)
                } else {
                    1.0
                },
                is_urgent: true,
            }
        } else {
            Demand {
                objective_ms: 1_000,
                deadline_ms: 2_500,
                ..DEMAND
            }
        };
        let (of_kind, requests) = if is_short {
            (&mut earned.short, &mut requests.short)
        } else {
            (&mut earned.long, &mut requests.long)
        };
        *requests += 1.0;
        if !admission::has_room(&seen, 460.0, demand, policy) {
            continue;
        }
        ends_ms.sort_by(f64::total_cmp);
        let waits_for = ends_ms.len().checked_sub(SLOTS);
        let begin_ms = waits_for.map_or(now_ms, |index| ends_ms[index]);
        let run_ms = if is_short {
            90.0
        } else {
            rng.random_range(200.0..800.0)
        };
        let after_ms = begin_ms + run_ms - now_ms;
        ends_ms.push(begin_ms + run_ms);
        *of_kind += match after_ms {
            after_ms if after_ms <= demand.objective_ms as f64 => 1.0,
            after_ms if after_ms <= demand.deadline_ms as f64 => 0.5,
            _ => 0.0,
        };
    }
    Earned {
        short: earned.short / requests.short,
        long: earned.long / requests.long,
    }
}

#[test]
fn short_urgent_requests_are_served_among_long_ones() {
    let default = Policy::default();
    let both = simulate_short_and_long(&default);
    let neither = simulate_short_and_long(&Policy {
        runs_by_route: false,
        urgent_may_be_late: false,
        ..default
    });
    // With neither setting, a short request is refused unless a slot is free, and short requests
    // earned half of their possible value.
    assert!(neither.short < 0.65, "{neither:?}");
    assert!(both.short > neither.short + 0.1, "{both:?}, {neither:?}");
    assert!(both.long > neither.long - 0.02, "{both:?}, {neither:?}");
}

#[test]
fn servers_of_another_region_get_requests_beyond_the_capacity_of_the_own_region() {
    struct Case {
        name: &'static str,
        /// Number of requests that run or queue at each server of the host's own region.
        own_load: u32,
        is_other_region_chosen: bool,
    }
    let cases = [
        Case {
            name: "idle servers in the own region",
            own_load: 0,
            is_other_region_chosen: false,
        },
        Case {
            name: "servers without a free slot that respond in time",
            own_load: 7,
            is_other_region_chosen: false,
        },
        Case {
            name: "full servers",
            own_load: 40,
            is_other_region_chosen: true,
        },
    ];
    let policy = Policy::default();
    let mut rng = StdRng::seed_from_u64(7);
    for case in cases {
        let own = Candidate {
            load: case.own_load,
            run_ms: 120.0,
            ..SERVER
        };
        let other_region = Candidate {
            load: 0,
            run_ms: 60.0,
            is_same_zone: false,
            is_other_region: true,
            ..SERVER
        };
        let servers = [own, other_region, own, other_region, other_region];
        for _ in 0..100 {
            let inputs = choice::Inputs {
                servers: &servers,
                typical_ms: 100.0,
                demand: DEMAND,
                hosts: choice::HostCount {
                    same_zone: 20,
                    all: 75,
                },
            };
            let index = choice::pick(inputs, &policy, &mut rng).expect(case.name);
            assert_eq!(
                servers[index].is_other_region, case.is_other_region_chosen,
                "{}",
                case.name
            );
        }
    }
}
