//! Randomised runs of the real ownership code under faults. `ASHROAD_CASES` sets the number of
//! cases and `ASHROAD_SEED` the first seed; both are printed.

mod model;

use std::{
    env,
    panic::{self, AssertUnwindSafe},
    sync::atomic::{AtomicU64, Ordering},
    thread,
};

use ashroad::id::Slot;
use model::{BrokenRule, SLOTS, Simulation};
use quickcheck::{Gen, QuickCheck};

const STEPS: usize = 200;
const CASES_IN_CI: u64 = 400;
const FIRST_SEED: u64 = 1;
/// Number of cases within which the model must detect each broken rule.
const MUTATION_CASES: u64 = 1_500;

fn number(name: &str, default: u64) -> u64 {
    let value = env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

/// Runs one case: random steps with faults, then a time without faults, after which every slot must
/// have one owner again.
fn case(seed: u64, broken: BrokenRule) {
    let mut simulation = Simulation::new(seed, broken);
    for _ in 0..STEPS {
        simulation.step();
    }
    if broken == BrokenRule::Nothing {
        simulation.recover();
        for slot in (0..SLOTS).map(Slot) {
            let owners = simulation.owners(slot).len();
            assert_eq!(
                owners,
                1,
                "{slot:?} has no owner after the faults: {}",
                simulation.describe()
            );
        }
    }
}

fn fails(seed: u64, broken: BrokenRule) -> bool {
    panic::catch_unwind(AssertUnwindSafe(|| case(seed, broken))).is_err()
}

#[test]
fn no_slot_is_owned_twice_and_all_are_owned_again() {
    let cases = number("ASHROAD_CASES", CASES_IN_CI);
    let first = number("ASHROAD_SEED", FIRST_SEED);
    println!("{cases} cases of {STEPS} steps from seed {first}");
    let next = AtomicU64::new(first);
    let failed: Vec<u64> = thread::scope(|scope| {
        let workers = thread::available_parallelism()
            .map_or(1, usize::from)
            .min(8);
        let mut running = Vec::new();
        for _ in 0..workers {
            running.push(scope.spawn(|| {
                let mut failed = Vec::new();
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= first + cases {
                        return failed;
                    }
                    if fails(seed, BrokenRule::Nothing) {
                        failed.push(seed);
                    }
                }
            }));
        }
        let ended = running.into_iter().map(|worker| worker.join());
        ended
            .flat_map(|failed| failed.expect("a worker thread completes"))
            .collect()
    });
    assert!(
        failed.is_empty(),
        "{} seeds failed: {failed:?}",
        failed.len()
    );
}

#[test]
fn quickcheck_finds_no_seed_with_a_double_owner() {
    fn property(seed: u64) -> bool {
        case(seed, BrokenRule::Nothing);
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, FIRST_SEED))
        .tests(50)
        .quickcheck(property as fn(u64) -> bool);
}

#[test]
fn the_model_detects_each_broken_rule() {
    let broken = [
        BrokenRule::Fence,
        BrokenRule::LeaseEpoch,
        BrokenRule::ExpiryWait,
        BrokenRule::Majority,
        BrokenRule::StalenessBound,
        BrokenRule::ClockBound,
        BrokenRule::OperationId,
    ];
    thread::scope(|scope| {
        for rule in broken {
            scope.spawn(move || {
                let mut seeds = FIRST_SEED..FIRST_SEED + MUTATION_CASES;
                let noticed = seeds.find(|seed| fails(*seed, rule));
                println!("{rule:?} detected at seed {noticed:?}");
                assert!(noticed.is_some(), "{rule:?} was not detected");
            });
        }
    });
}
