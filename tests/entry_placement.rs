//! Tests of the placement of keys on the servers of contended services, and of the plans for other
//! services, which are compared with those of an earlier version.

use std::sync::Arc;

use ashroad::entry::{
    decide::{
        Policy,
        key_loads::{KEYS, KeyLoads},
        plan::{self, Inputs, PlanServer},
    },
    keys::{AssignedRange, Assignment, KeyRange},
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use xxhash_rust::xxh3::xxh3_64;

/// Assigns the keys evenly to servers with the given capacities, in requests per second.
fn even(capacities: &[f64]) -> (Vec<PlanServer>, Assignment) {
    let mut assignment = Assignment::default();
    let mut servers = Vec::new();
    let count = capacities.len();
    for (number, capacity_per_s) in capacities.iter().enumerate() {
        let id: Arc<str> = format!("s{number:03}").into();
        assignment.put(AssignedRange {
            range: KeyRange {
                first: (number * KEYS / count) as u16,
                last: ((number + 1) * KEYS / count - 1) as u16,
            },
            server: id.clone(),
            fence: number as u64 + 1,
            from: None,
        });
        servers.push(PlanServer {
            id,
            capacity_per_s: *capacity_per_s,
            unlimited_per_s: *capacity_per_s,
        });
    }
    (servers, assignment)
}

/// Returns random loads with a dense range, which need plans of every kind.
fn random_loads(random: &mut StdRng, total_per_s: f32) -> KeyLoads {
    let mut loads = KeyLoads::default();
    for _ in 0..2_000 {
        loads.add(random.random(), total_per_s / 4_000.0);
    }
    let dense = random.random_range(0..60_000);
    for key in dense..dense + 200 {
        loads.add(key, total_per_s / 400.0);
    }
    loads
}

/// Guards against changes of the plans for services that are not contended. The digests are those
/// of the plans of the version before contended services were planned differently.
#[test]
fn plans_for_other_services_are_unchanged() {
    struct Case {
        servers: usize,
        gone: usize,
        joined: usize,
        has_hot_key: bool,
        balance_moves_max: usize,
        digest: u64,
    }
    let case = |servers, gone, joined, has_hot_key, balance_moves_max, digest| Case {
        servers,
        gone,
        joined,
        has_hot_key,
        balance_moves_max,
        digest,
    };
    let cases = [
        case(8, 0, 0, false, 8, 16_296_810_175_497_691_190),
        case(8, 2, 1, true, 8, 434_681_055_080_151_173),
        case(40, 0, 0, false, 10, 5_980_069_931_476_364_699),
        case(40, 10, 3, true, 10, 16_445_548_601_515_087_062),
        case(107, 0, 0, true, 26, 17_307_914_820_420_083_213),
        case(291, 41, 20, true, 72, 13_633_909_800_282_814_441),
        case(291, 41, 0, false, 0, 11_137_447_361_909_023_141),
    ];
    let mut found = Vec::new();
    for (number, case) in cases.iter().enumerate() {
        let random = &mut StdRng::seed_from_u64(number as u64);
        let speeds: Vec<f64> = (0..case.servers)
            .map(|_| random.random_range(8.0..20.0))
            .collect();
        let (mut servers, mut assignment) = even(&speeds);
        servers.truncate(case.servers - case.gone);
        for joined in 0..case.joined {
            servers.push(PlanServer {
                id: format!("t{joined:03}").into(),
                capacity_per_s: 15.0,
                unlimited_per_s: 15.0,
            });
        }
        let mut loads = random_loads(random, 6.0 * case.servers as f32);
        let hot = if case.has_hot_key { vec![17] } else { vec![] };
        hot.iter().for_each(|key| loads.add(*key, 40.0));
        let mut text = String::new();
        for _ in 0..4 {
            let moves = plan::plan(Inputs {
                assignment: &assignment,
                servers: &servers,
                loads: &loads,
                moving: &[],
                balance_moves_max: case.balance_moves_max,
                hot: &hot,
                policy: &Policy::default(),
            });
            for planned in moves {
                text += &format!("{:?} {} {};", planned.range, planned.to, planned.cause);
                let fence = assignment.next_fence(1);
                assignment.put(AssignedRange {
                    range: planned.range,
                    server: planned.to,
                    fence,
                    from: None,
                });
            }
        }
        found.push(xxh3_64(text.as_bytes()));
    }
    let expected: Vec<u64> = cases.iter().map(|case| case.digest).collect();
    assert_eq!(found, expected);
}
