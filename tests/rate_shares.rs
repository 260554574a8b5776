//! Simulates hosts that share the rate limit of a server, in virtual time, with the decision code
//! that hosts run. The tests check how many requests the server gets in each window of time, and
//! which share of the limit the hosts use.

use std::{
    collections::VecDeque,
    net::{Ipv4Addr, SocketAddr},
};

use ashroad::entry::decide::{
    pacer::Pacer,
    rate_limit::{AdvertisedLimit, RateLimit},
    rate_meter::RateMeter,
    rate_shares::{Bucket, DemandByHost, DemandRates, ServerDemand},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Interval at which hosts report their demand and the leader announces the sum, in milliseconds.
const ANNOUNCE_EVERY_MS: u64 = 150;
/// Time, in milliseconds, from a report of a host until all hosts know the sum that includes the
/// report.
const ANNOUNCE_DELAY_MS: u64 = 100;
/// Contact grace period, in milliseconds: the bound on requests applies from this time after the
/// first advertisement of a limit.
const CONTACT_MS: u64 = 3_000;
/// Length of the windows in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;
/// Factor in the users' bound on the requests in a window. The bound is this multiple of the limit,
/// plus [`SLACK`] requests.
const EXCESS: f64 = 1.5;
const SLACK: f64 = 5.0;
/// Simulated time of each case, in milliseconds.
const SIMULATED_MS: u64 = 24_000;
/// Minimum share of the limit that hosts must use while callers send at least twice as many
/// requests as the limit allows.
const USED_MIN: f64 = 0.8;
/// Number of seeds for each case.
const SEEDS: u64 = 40;

/// A simulated host, with its state for the server. An isolated host neither reports its demand nor
/// receives sums.
#[derive(Default)]
struct Host {
    demand: ServerDemand,
    pacers: [Pacer; 2],
    bucket: Bucket,
    is_isolated: bool,
}

#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    hosts: usize,
    limit_per_s: f64,
    /// Requests per second of all callers, in the first and in the second half of the simulation.
    demand_per_s: (f64, f64),
    /// Share of the requests that callers send to one preferred host; they send the others to
    /// random hosts. The preferred host is the first one.
    first_share: f64,
    /// True if the preferred host is the second one in the second half of the simulation.
    moves: bool,
    /// Number of isolated hosts: they receive no sums, and their reports are lost.
    isolated: usize,
    /// Number of hosts that each host assumes, as a share of the actual number.
    counted: f64,
    /// Share of the requests that are urgent.
    urgent: f64,
}

const CASE: Case = Case {
    name: "three hosts",
    hosts: 3,
    limit_per_s: 10.0,
    demand_per_s: (40.0, 40.0),
    first_share: 0.0,
    moves: false,
    isolated: 0,
    counted: 1.0,
    urgent: 0.0,
};

/// Simulates a case. Returns the times, in milliseconds, at which hosts sent requests to the
/// server.
fn simulate(case: Case, seed: u64) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let host = |index| Host {
        is_isolated: index < case.isolated,
        ..Host::default()
    };
    let mut hosts: Vec<Host> = (0..case.hosts).map(host).collect();
    let mut sums = DemandByHost::default();
    let mut announcements: VecDeque<(u64, DemandRates)> = VecDeque::new();
    let mut sent = Vec::new();
    for now_ms in 1_000..1_000 + SIMULATED_MS {
        let is_late = now_ms >= 1_000 + SIMULATED_MS / 2;
        let (early_per_s, late_per_s) = case.demand_per_s;
        let per_s = if is_late { late_per_s } else { early_per_s };
        let preferred_host = usize::from(case.moves && is_late);
        if rng.random::<f64>() < per_s / 1_000.0 {
            let index = if rng.random::<f64>() < case.first_share {
                preferred_host
            } else {
                rng.random_range(0..case.hosts)
            };
            if is_sent_by(&mut hosts[index], case, now_ms, &mut rng) {
                sent.push(now_ms);
            }
        }
        if now_ms.is_multiple_of(ANNOUNCE_EVERY_MS) {
            for (index, host) in hosts
                .iter_mut()
                .enumerate()
                .filter(|(_, host)| !host.is_isolated)
            {
                let address = SocketAddr::from((Ipv4Addr::from(index as u32), 1));
                let own = host.demand.report(now_ms);
                sums.note(1, address, own, now_ms);
            }
            let sum = sums.sum(1, now_ms);
            announcements.push_back((now_ms + ANNOUNCE_DELAY_MS, sum));
        }
        while announcements
            .front()
            .is_some_and(|(at_ms, _)| *at_ms <= now_ms)
        {
            let (_, sum) = announcements.pop_front().expect("a sum");
            let connected = hosts.iter_mut().filter(|host| !host.is_isolated);
            connected.for_each(|host| host.demand.note_sum(sum, now_ms));
        }
    }
    sent
}

/// Counts a request of a caller at a host, and returns true if the host sends the request to the
/// server.
fn is_sent_by(host: &mut Host, case: Case, now_ms: u64, rng: &mut StdRng) -> bool {
    let is_urgent = rng.random::<f64>() < case.urgent;
    host.demand.note(is_urgent, now_ms);
    let counted = (case.hosts as f64 * case.counted) as usize;
    let rate_share = host
        .demand
        .rate_share(case.limit_per_s, counted, is_urgent, now_ms);
    let pacer = &mut host.pacers[usize::from(is_urgent)];
    let is_admitted = pacer.admits(rate_share.admit_probability, rng.random());
    let is_sent = is_admitted && host.bucket.has_token(rate_share.bucket_per_s, now_ms);
    if is_sent {
        host.bucket.take();
    }
    is_sent
}

/// Returns the largest number of requests that the server got in any window after the contact grace
/// period.
fn most_in_a_window(sent: &[u64]) -> usize {
    let counted: Vec<u64> = sent
        .iter()
        .copied()
        .filter(|at| *at >= 1_000 + CONTACT_MS)
        .collect();
    let within = |begin: &u64| {
        let first = counted.partition_point(|at| at < begin);
        counted.partition_point(|at| *at < begin + WINDOW_MS) - first
    };
    counted.iter().map(within).max().unwrap_or(0)
}

#[test]
fn hosts_share_a_rate_and_use_it() {
    let cases = [
        CASE,
        Case {
            name: "eight hosts",
            hosts: 8,
            ..CASE
        },
        Case {
            name: "twelve hosts",
            hosts: 12,
            ..CASE
        },
        Case {
            name: "300 hosts",
            hosts: 300,
            ..CASE
        },
        Case {
            name: "twice the limit is requested",
            hosts: 8,
            demand_per_s: (20.0, 20.0),
            ..CASE
        },
        Case {
            name: "one host has half of the requests",
            hosts: 12,
            first_share: 0.5,
            ..CASE
        },
        Case {
            name: "half of the requests move to another host",
            hosts: 12,
            first_share: 0.5,
            moves: true,
            ..CASE
        },
        Case {
            name: "half of the requests move to another host, among 300",
            hosts: 300,
            first_share: 0.5,
            moves: true,
            ..CASE
        },
        Case {
            name: "a third of the requests is urgent",
            hosts: 8,
            urgent: 0.3,
            ..CASE
        },
        Case {
            name: "urgent requests alone exceed the limit",
            hosts: 8,
            urgent: 0.7,
            ..CASE
        },
        Case {
            name: "all requests are urgent, among 300 hosts",
            hosts: 300,
            urgent: 1.0,
            ..CASE
        },
        Case {
            name: "a low limit",
            hosts: 8,
            limit_per_s: 2.0,
            ..CASE
        },
        Case {
            name: "a limit of 0.5",
            hosts: 8,
            limit_per_s: 0.5,
            ..CASE
        },
        Case {
            name: "a limit of 0.5 among 300 hosts",
            hosts: 300,
            limit_per_s: 0.5,
            ..CASE
        },
        Case {
            name: "a high limit among 300 hosts",
            hosts: 300,
            limit_per_s: 60.0,
            demand_per_s: (200.0, 200.0),
            ..CASE
        },
        Case {
            name: "a surge",
            hosts: 8,
            demand_per_s: (20.0, 100.0),
            ..CASE
        },
        Case {
            name: "a surge among 300 hosts",
            hosts: 300,
            demand_per_s: (20.0, 60.0),
            ..CASE
        },
        Case {
            name: "all hosts are isolated",
            hosts: 8,
            isolated: 8,
            ..CASE
        },
        Case {
            name: "all of 300 hosts are isolated",
            hosts: 300,
            isolated: 300,
            ..CASE
        },
        Case {
            name: "all hosts are isolated, and know only two thirds of the hosts",
            hosts: 12,
            isolated: 12,
            counted: 0.67,
            ..CASE
        },
        Case {
            name: "the host with half of the requests is isolated",
            hosts: 12,
            first_share: 0.5,
            isolated: 1,
            ..CASE
        },
    ];
    let mut failed = Vec::new();
    for case in cases {
        let mut all = 0;
        for seed in 0..SEEDS {
            let sent = simulate(case, seed);
            all += sent.len();
            let allowed = EXCESS * case.limit_per_s * WINDOW_MS as f64 / 1_000.0 + SLACK;
            let most = most_in_a_window(&sent);
            if most as f64 > allowed {
                failed.push(format!("{}, seed {seed}: {most} of {allowed}", case.name));
            }
        }
        let used = all as f64 / SEEDS as f64 / (SIMULATED_MS as f64 / 1_000.0) / case.limit_per_s;
        println!("{}: {used:.2} used", case.name);
        // An isolated host uses an equal share of the limit, whatever the request rate of its
        // callers, so hosts may use less of the limit in these cases.
        if case.isolated == 0 && used < USED_MIN {
            failed.push(format!("{}: {used:.2} used", case.name));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

#[test]
fn requests_below_the_limit_are_sent() {
    for hosts in [3, 12, 300] {
        let case = Case {
            hosts,
            demand_per_s: (4.5, 4.5),
            ..CASE
        };
        let sent: usize = (0..SEEDS).map(|seed| simulate(case, seed).len()).sum();
        let share = sent as f64 / SEEDS as f64 / (4.5 * SIMULATED_MS as f64 / 1_000.0);
        assert!(
            share > 0.9,
            "{share:.2} of the requests of {hosts} hosts sent"
        );
    }
}

#[test]
fn a_surge_from_below_the_limit_stays_within_the_bound() {
    // The token buckets of all hosts are full when the surge begins. Among hundreds of hosts, the
    // buckets together hold more tokens than the bound allows, so the admission probability must
    // limit the surge.
    for (hosts, surge_per_s) in [(3, 200.0), (8, 100.0), (12, 60.0), (300, 30.0)] {
        for seed in 0..SEEDS {
            let case = Case {
                hosts,
                demand_per_s: (5.0, surge_per_s),
                ..CASE
            };
            let most = most_in_a_window(&simulate(case, seed));
            let allowed = EXCESS * 10.0 * 4.0 + SLACK;
            assert!(
                most as f64 <= allowed,
                "{hosts} hosts, seed {seed}: {most} of {allowed}"
            );
        }
    }
}

#[test]
fn the_latest_limit_applies_until_it_is_withdrawn() {
    let advertised = |per_s, at_ms| AdvertisedLimit { per_s, at_ms };
    let mut limit = RateLimit::default();
    limit.note(advertised(None, 1_000));
    assert_eq!((limit.per_s(), limit.should_announce(1_000)), (None, false));
    limit.note(advertised(Some(8.0), 2_000));
    limit.note(advertised(None, 1_500));
    assert_eq!(
        limit.per_s(),
        Some(8.0),
        "an earlier advertisement is ignored"
    );
    assert!(limit.take_change() && !limit.take_change());
    assert_eq!(limit.planned_per_s(11_000), Some(8.0));
    assert_eq!(
        limit.planned_per_s(23_000),
        Some(32.0),
        "the planner assumes a higher limit"
    );
    assert_eq!(limit.per_s(), Some(8.0), "but hosts keep to the limit");
    assert_eq!(limit.shared_per_s(23_000), Some(8.0));
    limit.note(advertised(None, 24_000));
    assert_eq!(limit.per_s(), None);
    assert_eq!(limit.planned_per_s(24_000), None);
    assert!(limit.take_change());
    assert!(
        limit.should_announce(28_999),
        "the withdrawal of the limit is announced"
    );
    assert!(!limit.should_announce(29_000));
    assert_eq!(limit.own(), None, "all advertisements went to other hosts");
    limit.note_own(advertised(Some(3.0), 25_000));
    assert_eq!(limit.own(), limit.latest());
}

/// Guards against hosts that apply a limit forever after the server has withdrawn it. A server that
/// gets few requests seldom advertises its limit, so the withdrawal may come long after the last
/// advertisement of the limit, and must still be announced to the other hosts.
#[test]
fn the_withdrawal_of_a_limit_is_announced_however_long_ago_it_was_advertised() {
    const ENDED_MS: u64 = 20_000;
    for tells in [RateLimit::note_own, RateLimit::note] {
        let mut limit = RateLimit::default();
        limit.note(AdvertisedLimit {
            per_s: Some(20.0),
            at_ms: 1_000,
        });
        tells(
            &mut limit,
            AdvertisedLimit {
                per_s: None,
                at_ms: ENDED_MS,
            },
        );
        assert!(
            limit.should_announce(ENDED_MS + 1_000),
            "the withdrawal is not announced"
        );
        assert!(
            !limit.should_announce(ENDED_MS + 10_000),
            "the withdrawal is announced forever"
        );
    }
}

#[test]
fn a_meter_measures_the_rate_of_the_last_seconds() {
    let mut meter = RateMeter::default();
    assert_eq!(meter.per_s(1_000), 0.0);
    for step in 0..400 {
        meter.note(1_000 + step * 20);
    }
    assert!((meter.per_s(9_000) - 50.0).abs() < 2.0);
    assert!(meter.per_s(14_000) < 1.0);
}

#[test]
fn urgent_requests_come_first_and_the_others_keep_a_share() {
    struct Served {
        urgent_per_s: f64,
        non_urgent_per_s: f64,
    }
    // Returns the requests per second, urgent and not urgent, that hosts send to a server with a
    // limit of ten requests per second.
    let served = |urgent_per_s: f64, non_urgent_per_s: f64| {
        let mut demand = ServerDemand::default();
        let sum = DemandRates {
            all_per_s: urgent_per_s + non_urgent_per_s,
            urgent_per_s,
        };
        demand.note_sum(sum, 1_000);
        let admit_probability = |is_urgent| {
            demand
                .rate_share(10.0, 8, is_urgent, 1_000)
                .admit_probability
                .min(1.0)
        };
        Served {
            urgent_per_s: urgent_per_s * admit_probability(true),
            non_urgent_per_s: non_urgent_per_s * admit_probability(false),
        }
    };
    let few = served(4.0, 30.0);
    assert!((few.urgent_per_s - 4.0).abs() < 0.01, "all urgent requests");
    assert!(few.non_urgent_per_s > 4.0);
    let many = served(40.0, 30.0);
    assert!(many.urgent_per_s > 6.0 && many.non_urgent_per_s > 2.0);
    let alone = served(40.0, 0.0);
    assert!(alone.urgent_per_s > 8.0);
    for (urgent_per_s, non_urgent_per_s) in [(4.0, 30.0), (40.0, 30.0), (40.0, 0.0), (0.0, 40.0)] {
        let served = served(urgent_per_s, non_urgent_per_s);
        let all_per_s = served.urgent_per_s + served.non_urgent_per_s;
        assert!((8.0..10.0).contains(&all_per_s), "{all_per_s}");
    }
}

#[test]
fn a_server_with_a_limit_of_zero_still_gets_a_request_now_and_then() {
    let mut limit = RateLimit::default();
    limit.note(AdvertisedLimit {
        per_s: Some(0.0),
        at_ms: 10_000,
    });
    assert!(!limit.is_stale(11_000));
    assert_eq!(limit.shared_per_s(11_000), Some(0.25));
    assert!(limit.is_stale(12_000));
    assert_eq!(limit.shared_per_s(12_000), Some(0.5));
    assert_eq!(limit.shared_per_s(600_000), Some(1.0));
}
