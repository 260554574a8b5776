//! Tests in virtual time how evenly hosts admit requests to servers with a rate limit.

use ashroad::entry::decide::{
    pacer::{Pacer, is_admitted},
    rate_shares::{Bucket, DemandRates, ServerDemand},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 200;
/// Time in which the served requests are counted, and time before it in which the hosts learn the
/// request rates, in milliseconds.
const COUNTED_MS: u64 = 9_000;
const SETTLING_MS: u64 = 2_000;
const ANNOUNCE_EVERY_MS: u64 = 150;

struct Case {
    hosts: usize,
    limit_per_s: f64,
    demand_per_s: f64,
    /// Largest standard deviation of the served requests per second over all seeds. It is half of
    /// that of independent draws.
    deviation_max_per_s: f64,
}

#[derive(Default)]
struct Host {
    demand: ServerDemand,
    pacer: Pacer,
    bucket: Bucket,
}

/// Returns the served requests per second after the hosts have learned the request rates.
fn served_per_s(case: &Case, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut hosts: Vec<Host> = (0..case.hosts).map(|_| Host::default()).collect();
    let mut served = 0;
    for now_ms in 1_000..1_000 + SETTLING_MS + COUNTED_MS {
        if now_ms.is_multiple_of(ANNOUNCE_EVERY_MS) {
            let reports = hosts.iter_mut().map(|host| host.demand.report(now_ms));
            let sum = DemandRates {
                all_per_s: reports.map(|rates| rates.all_per_s).sum(),
                urgent_per_s: 0.0,
            };
            hosts
                .iter_mut()
                .for_each(|h| h.demand.note_sum(sum, now_ms));
        }
        if !rng.random_bool(case.demand_per_s / 1_000.0) {
            continue;
        }
        let host = &mut hosts[rng.random_range(0..case.hosts)];
        host.demand.note(false, now_ms);
        let share = host
            .demand
            .rate_share(case.limit_per_s, case.hosts, false, now_ms);
        let is_sent = host.pacer.admits(share.admit_probability, rng.random())
            && host.bucket.has_token(share.bucket_per_s, now_ms);
        if is_sent {
            host.bucket.take();
            served += u64::from(now_ms >= 1_000 + SETTLING_MS);
        }
    }
    served as f64 / (COUNTED_MS as f64 / 1_000.0)
}

/// Guards against a served rate that varies by chance, so that hosts use too little of a limit.
#[test]
fn the_served_rate_varies_little() {
    let cases = [
        Case {
            hosts: 3,
            limit_per_s: 60.0,
            demand_per_s: 120.0,
            deviation_max_per_s: 0.9,
        },
        Case {
            hosts: 8,
            limit_per_s: 20.0,
            demand_per_s: 60.0,
            deviation_max_per_s: 0.6,
        },
    ];
    for case in cases {
        let served: Vec<f64> = (0..SEEDS).map(|seed| served_per_s(&case, seed)).collect();
        let mean = served.iter().sum::<f64>() / SEEDS as f64;
        let squares = served.iter().map(|per_s| (per_s - mean).powi(2));
        let deviation = (squares.sum::<f64>() / SEEDS as f64).sqrt();
        let least = served.iter().copied().fold(f64::INFINITY, f64::min);
        let name = format!("{} hosts, limit {}", case.hosts, case.limit_per_s);
        let seen = format!("{name}: mean {mean:.1}, deviation {deviation:.2}, least {least:.1}");
        println!("{seen}");
        assert!(deviation <= case.deviation_max_per_s, "{seen}");
        assert!(least >= 0.8 * case.limit_per_s, "{seen}");
    }
}

/// Guards against hosts that all admit their first requests, or all refuse them: among 300 hosts
/// with few requests each, the admitted requests must add up to the sum of their probabilities.
#[test]
fn many_hosts_with_few_requests_admit_their_sum() {
    let mut rng = StdRng::seed_from_u64(7);
    for (requests, probability) in [(1, 0.1), (1, 0.9), (3, 0.3), (5, 0.7), (20, 0.02)] {
        let mut admitted = 0;
        for _host in 0..300 * 100 {
            let mut pacer = Pacer::default();
            admitted += (0..requests)
                .filter(|_| pacer.admits(probability, rng.random()))
                .count();
        }
        let expected = 30_000.0 * f64::from(requests) * probability;
        let ratio = admitted as f64 / expected;
        // A request that becomes due together with another one is admitted at the next request.
        assert!(
            (0.93..1.03).contains(&ratio),
            "{requests} x {probability}: {ratio:.3}"
        );
    }
}

/// Guards against starving one of two callers that send by turns, and against admitting more or
/// less than the sum of the probabilities when these change.
#[test]
fn requests_in_a_fixed_pattern_are_all_served() {
    let mut rng = StdRng::seed_from_u64(8);
    let mut pacer = Pacer::default();
    let (mut sum, mut admitted) = (0.0, [0; 2]);
    for number in 0..10_000 {
        let probability = if number < 5_000 { 0.5 } else { rng.random() };
        sum += probability;
        admitted[number % 2] += usize::from(pacer.admits(probability, rng.random()));
        let all = admitted.iter().sum::<usize>() as f64;
        assert!((all - sum).abs() <= 2.5, "{all} of {sum}");
    }
    let ratio = admitted[0] as f64 / admitted[1] as f64;
    assert!((0.9..1.1).contains(&ratio), "{admitted:?}");
}

/// Guards against admitting a request at two servers or at none while the limits of the servers of
/// a service suffice, and against preferring one of them.
#[test]
fn each_request_is_admitted_at_one_server_of_a_service() {
    let mut rng = StdRng::seed_from_u64(9);
    for shares in [
        [0.1, 0.2, 0.2],
        [0.3, 0.3, 0.4],
        [0.2, 0.5, 0.9],
        [0.1, 1.2, 0.3],
    ] {
        let total: f64 = shares.iter().sum();
        let mut pacer = Pacer::default();
        let mut admitted = [0_u32; 3];
        let mut requests_without_server = 0;
        for _ in 0..10_000 {
            let Some(point) = pacer.point(total, rng.random(), rng.random()) else {
                requests_without_server += 1;
                continue;
            };
            let mut before = 0.0;
            let mut at = 0;
            for (share, admitted) in shares.iter().zip(&mut admitted) {
                let is_at = is_admitted(point, before, *share);
                before += share;
                *admitted += u32::from(is_at);
                at += u32::from(is_at);
            }
            assert!(
                at >= 1 && (total > 1.0 || at == 1),
                "{shares:?}: at {at} servers"
            );
        }
        let refused = (1.0 - total).max(0.0) * 10_000.0;
        assert!(
            (f64::from(requests_without_server) - refused).abs() <= 2.5,
            "{shares:?}"
        );
        for (share, admitted) in shares.iter().zip(admitted) {
            let wanted = share.min(1.0) * 10_000.0;
            assert!(
                (f64::from(admitted) - wanted).abs() < 250.0,
                "{shares:?}: {admitted}"
            );
        }
    }
}
