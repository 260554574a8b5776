//! Tests when refused callers are told to retry and how the age of a request is estimated, alone
//! and with the load of many hosts in virtual time.

mod retry_simulation;

use ashroad::{
    entry::decide::{
        Policy,
        request_age::DeadlineEvidence,
        retry_schedule::{self, RefusedCaller, RetrySchedule, honoured_ms, interval_ms},
    },
    platform::headers::DEADLINE_MS,
    transport::header_number,
};
use http::{HeaderMap, HeaderValue};
use rand::{Rng, SeedableRng, rngs::StdRng};

use retry_simulation::{Block, Outcome, Rules, Scenario, Tally, play};

const TODAY: Rules = Rules {
    schedules_retries: false,
    infers_request_age: false,
    handles_shortage: false,
};
const SCHEDULE: Rules = Rules {
    schedules_retries: true,
    ..TODAY
};
const AGE: Rules = Rules {
    infers_request_age: true,
    ..TODAY
};
const BOTH: Rules = Rules {
    schedules_retries: true,
    infers_request_age: true,
    ..TODAY
};
const SHORTAGE: Rules = Rules {
    handles_shortage: true,
    ..AGE
};
const SHORTAGE_AND_SCHEDULE: Rules = Rules {
    handles_shortage: true,
    ..BOTH
};

/// Load below the capacity, with a lease of lost servers that blocks all keys for 4 s.
const LEASE: Scenario = Scenario {
    hosts: 70,
    servers: 200,
    slots: [3, 3],
    callers_per_s: 2_000.0,
    burst_ms: [0, 0],
    burst_factor: 1.0,
    is_balanced: false,
    length_ms: 20_000,
    block: Block::Lease,
    block_begin_ms: 6_000,
    block_end_ms: 10_000,
    impatient: 0.2,
    assumed_hosts: [70, 70],
    restart_ms: 0,
    seed: 1,
};

/// Returns a load of 1.4 times the capacity, in which a fifth of the callers retry at once.
fn overload() -> Scenario {
    let scenario = Scenario {
        servers: 60,
        slots: [2, 3],
        length_ms: 30_000,
        block_begin_ms: 0,
        block_end_ms: 0,
        ..LEASE
    };
    Scenario {
        callers_per_s: 1.4 * scenario.capacity_per_s(),
        ..scenario
    }
}

/// Plays a scenario, prints the results and returns them with the value of all responses, relative
/// to a response in time for every caller; a late response has 0.3 of the value.
fn measure(name: &str, scenario: Scenario, rules: Rules) -> (Outcome, f64) {
    let outcome = play(scenario, rules);
    let both = [("urgent", outcome.urgent), ("others", outcome.others)];
    let peak = (outcome.peak, outcome.retries_peak);
    let shortages = outcome.shortages;
    println!(
        "{name}, {rules:?}: requests and retries in the busiest 100 ms: {peak:?}, shortages: {shortages}"
    );
    for (kind, tally) in both {
        println!("  {kind}: {tally:?}");
    }
    let sum = |part: fn(&Tally) -> u32| f64::from(both.iter().map(|(_, t)| part(t)).sum::<u32>());
    let value = (sum(|t| t.in_time) + 0.3 * sum(|t| t.late)) / sum(|t| t.callers);
    println!("  value {value:.4}");
    (outcome, value)
}

/// Guards against callers that all return when a lease ends, and that are refused again then, also
/// if hosts restart or disagree on their number.
#[test]
fn the_end_of_a_lease_does_not_bring_all_callers_back_at_once() {
    let (today, today_value) = measure("lease", LEASE, TODAY);
    measure("lease", LEASE, SCHEDULE);
    measure("lease", LEASE, AGE);
    let restart = Scenario {
        restart_ms: 8_000,
        ..LEASE
    };
    let disagreeing = Scenario {
        assumed_hosts: [35, 10_000],
        ..LEASE
    };
    for (name, scenario) in [
        ("lease", LEASE),
        ("restart", restart),
        ("disagreeing", disagreeing),
    ] {
        let (found, value) = measure(name, scenario, BOTH);
        assert!(found.peak * 4 < today.peak, "{name}: {}", found.peak);
        assert!(value > today_value, "{name}: {value}");
        let served = |t: Tally| f64::from(t.served_at_first_retry) / f64::from(t.first_retries);
        assert!(served(found.urgent) > served(today.urgent), "{name}");
        assert!(
            found.urgent.refused_again < today.urgent.refused_again,
            "{name}"
        );
    }
}

/// Guards against retry times that make callers of a short block late, or lose them.
#[test]
fn callers_of_a_short_block_are_not_told_to_wait_too_long() {
    for (block, block_end_ms) in [
        (Block::Work, 6_900),
        (Block::Work, 8_000),
        (Block::Gone, 6_300),
        (Block::Gone, 7_000),
        (Block::Gone, 10_000),
    ] {
        let scenario = Scenario {
            block,
            block_end_ms,
            ..LEASE
        };
        let name = format!("{block:?} to {block_end_ms}");
        let (today, today_value) = measure(&name, scenario, AGE);
        let (found, value) = measure(&name, scenario, BOTH);
        // Random variation of a seed is 0.003.
        assert!(value > today_value - 0.01, "{name}: {value}, {today_value}");
        let lost = |t: Tally| t.callers - t.in_time - t.late;
        assert!(lost(found.urgent) <= lost(today.urgent), "{name}");
    }
}

/// Guards against a long overload in which retries displace the requests that can still be answered
/// in time.
#[test]
fn retries_do_not_displace_timely_requests_in_an_overload() {
    let (today, today_value) = measure("overload", overload(), TODAY);
    measure("overload", overload(), SCHEDULE);
    measure("overload", overload(), AGE);
    let (found, value) = measure("overload", overload(), BOTH);
    assert!(value > today_value + 0.05, "{value}, {today_value}");
    assert!(found.urgent.in_time > today.urgent.in_time);
    assert!(found.others.in_time > today.others.in_time);
    let refused_again = |o: &Outcome| o.urgent.refused_again + o.others.refused_again;
    assert!(refused_again(&found) < refused_again(&today));
}

/// Returns a load of `share` of the capacity, divided by the capacities of the servers, with a burst
/// of 1.8 times the capacity for 4 s if `has_burst`.
fn balanced(share: f64, has_burst: bool) -> Scenario {
    let scenario = Scenario {
        servers: 200,
        slots: [3, 3],
        length_ms: 20_000,
        burst_ms: if has_burst { [8_000, 12_000] } else { [0, 0] },
        burst_factor: 1.8 / share,
        is_balanced: true,
        ..overload()
    };
    Scenario {
        callers_per_s: share * scenario.capacity_per_s(),
        ..scenario
    }
}

/// Guards against a shortage of a whole service that costs callers their response because they are
/// told to retry while it lasts, after one run each. Where retries are scheduled instead, callers
/// already return late, and as many as before must be answered in time.
#[test]
fn more_callers_get_a_response_in_a_shortage() {
    for (name, scenario) in [
        ("burst", balanced(0.8, true)),
        ("constant", balanced(1.2, false)),
    ] {
        // Callers answered in time, and all that were answered.
        let answered = |rules| {
            let outcomes = (1..4).map(|seed| play(Scenario { seed, ..scenario }, rules));
            let tallies = outcomes.flat_map(|outcome| [outcome.urgent, outcome.others]);
            let [in_time, late, callers] = tallies.fold([0; 3], |[in_time, late, callers], t| {
                [in_time + t.in_time, late + t.late, callers + t.callers]
            });
            let lost = callers - in_time - late;
            println!("{name}, {rules:?}: in time {in_time}, late {late}, lost {lost}");
            (in_time, in_time + late)
        };
        let (today, found) = (answered(AGE), answered(SHORTAGE));
        assert!(found.0 >= today.0 && found.1 > today.1, "{name}");
        let (today, found) = (answered(BOTH), answered(SHORTAGE_AND_SCHEDULE));
        assert!(found.0 >= today.0, "{name}, scheduled");
    }
}

/// Guards against queues that form by chance and that are taken for a shortage of the service.
#[test]
fn a_load_below_the_capacity_is_no_shortage() {
    for (servers, slots) in [(107, [2, 2]), (291, [3, 3])] {
        for seed in 1..6 {
            let scenario = Scenario {
                servers,
                slots,
                seed,
                ..balanced(0.8, false)
            };
            let scenario = Scenario {
                callers_per_s: 0.8 * scenario.capacity_per_s(),
                ..scenario
            };
            let found = play(scenario, SHORTAGE);
            assert_eq!(found.shortages, 0, "{servers} servers, seed {seed}");
        }
    }
}

/// Guards against retry times that callers do not honour, whatever the store or leader announces.
#[test]
fn retry_times_stay_within_the_time_that_callers_honour() {
    let cases = [
        ("no time left", 0, 0),
        ("less than the margin", 50, 100),
        ("nothing blocks", 6_000, 0),
        ("a lease", 6_000, 1_500),
        ("a lease beyond the honoured time", 6_000, 4_000),
        ("minutes left, remaining time of minutes", 600_000, 900_000),
    ];
    let mut rng = StdRng::seed_from_u64(1);
    for (name, left_ms, blocked_ms) in cases {
        let honoured_ms = honoured_ms(left_ms);
        let mut schedule = RetrySchedule::default();
        for step in 0..10_000 {
            // The announced remaining time grows, although time passes.
            let caller = RefusedCaller {
                now_ms: 1_000_000 + step,
                blocked_ms: blocked_ms + 3 * step,
                honoured_ms,
                is_urgent: step % 5 == 0,
            };
            let after_ms = schedule.retry_after_ms(caller, interval_ms(15.0, 70), rng.random());
            assert!(after_ms * 3 <= left_ms, "{name}: {after_ms}");
            let is_placed = after_ms >= caller.blocked_ms;
            assert!(
                is_placed || after_ms * 4 + 4 >= honoured_ms * 3,
                "{name}: {after_ms}"
            );
        }
        let unknown_ms = retry_schedule::unknown_ms(100, honoured_ms, rng.random());
        assert!(unknown_ms <= honoured_ms, "{name}: {unknown_ms}");
        assert!(schedule.is_idle(1_010_000 + honoured_ms + 10_000), "{name}");
    }
}

/// Guards against urgent callers that wait behind others, and against two callers of the same
/// urgency at one time.
#[test]
fn places_follow_at_the_rate_of_the_server_with_urgent_callers_first() {
    let mut schedule = RetrySchedule::default();
    let mut after_ms = |is_urgent, now_ms| {
        let caller = RefusedCaller {
            now_ms,
            blocked_ms: 500,
            honoured_ms: 1_900,
            is_urgent,
        };
        schedule.retry_after_ms(caller, 200.0, [0.5; 2])
    };
    assert_eq!([after_ms(false, 0), after_ms(false, 0)], [600, 800]);
    assert_eq!([after_ms(true, 0), after_ms(true, 0)], [600, 800]);
    assert_eq!(after_ms(false, 0), 1_400);
    // Places that have passed are forgotten, whether or not their callers returned.
    assert_eq!(after_ms(false, 5_000), 600);
}

/// Guards against places that a host gave before it knew the number of hosts, and that leave all
/// callers of a server without a place long after.
#[test]
fn a_schedule_recovers_from_an_interval_that_was_far_too_long() {
    for is_urgent in [false, true] {
        let mut schedule = RetrySchedule::default();
        let mut after_ms = |now_ms, hosts, first| {
            let caller = RefusedCaller {
                now_ms,
                blocked_ms: 500,
                honoured_ms: 1_900,
                is_urgent,
            };
            schedule.retry_after_ms(caller, interval_ms(10.0, hosts), [first, 0.0])
        };
        assert_eq!(after_ms(0, 10_000, 0.0), 500);
        assert_eq!(after_ms(1_000, 7, 0.0), 1_900, "no place yet");
        assert_eq!(after_ms(13_000, 7, 0.0), 500, "urgent: {is_urgent}");
    }
}

/// Guards against a schedule without ages, which displaces timely requests.
#[test]
fn retries_are_scheduled_only_if_ages_are_inferred() {
    for (schedules_retries, infers_request_age, is_scheduled) in [
        (false, false, false),
        (false, true, false),
        (true, false, false),
        (true, true, true),
    ] {
        let policy = Policy {
            schedules_retries,
            infers_request_age,
            ..Policy::default()
        };
        assert_eq!(policy.schedules_retries_by_age(), is_scheduled);
    }
}

/// Guards against requests that are taken for retries without clear evidence.
#[test]
fn the_age_is_zero_unless_the_evidence_is_clear() {
    struct Case {
        name: &'static str,
        deadlines_ms: fn(u64) -> u64,
        own_ms: u64,
        age_ms: u64,
    }
    let cases = [
        Case {
            name: "a retry among first attempts",
            deadlines_ms: |n| if n % 3 == 0 { 6_000 - n } else { 6_000 },
            own_ms: 4_100,
            age_ms: 1_900,
        },
        Case {
            name: "a first attempt, rounded",
            deadlines_ms: |_| 6_000,
            own_ms: 5_997,
            age_ms: 0,
        },
        Case {
            name: "deadline 0",
            deadlines_ms: |_| 6_000,
            own_ms: 0,
            age_ms: 6_000,
        },
        Case {
            name: "all deadlines 0",
            deadlines_ms: |_| 0,
            own_ms: 0,
            age_ms: 0,
        },
        Case {
            name: "one caller that waits for minutes",
            deadlines_ms: |n| if n == 50 { 600_000 } else { 6_000 },
            own_ms: 4_100,
            age_ms: 0,
        },
        Case {
            name: "the largest number",
            deadlines_ms: |n| if n == 50 { u64::MAX } else { 6_000 },
            own_ms: 4_100,
            age_ms: 0,
        },
        Case {
            name: "all deadlines differ",
            deadlines_ms: |n| 6_000 - 37 * n,
            own_ms: 1_000,
            age_ms: 0,
        },
        Case {
            name: "deadlines that grow slowly: the least age",
            deadlines_ms: |n| 5_000 + 3 * n,
            own_ms: 1_000,
            age_ms: 3_235,
        },
        Case {
            name: "callers that wait for 5 to 6 s: a clear retry",
            deadlines_ms: |n| 5_000 + 617 * n % 1_000,
            own_ms: 3_900,
            age_ms: 899,
        },
        Case {
            name: "callers that wait for 5 to 6 s: possibly a first attempt",
            deadlines_ms: |n| 5_000 + 617 * n % 1_000,
            own_ms: 4_900,
            age_ms: 0,
        },
    ];
    for case in cases {
        let mut evidence = DeadlineEvidence::default();
        for n in 0..100 {
            evidence.age_ms((case.deadlines_ms)(n), 1_000_000 + n);
        }
        let age_ms = evidence.age_ms(case.own_ms, 1_000_100);
        assert_eq!(age_ms, case.age_ms, "{}", case.name);
    }
    let mut evidence = DeadlineEvidence::default();
    for n in 0..10 {
        evidence.age_ms(6_000, 1_000_000 + n);
    }
    assert_eq!(evidence.age_ms(4_100, 1_000_010), 0, "few requests");
}

/// Guards against an age from a header that is missing or malformed: there is no number then, and
/// the request counts as a first attempt.
#[test]
fn a_malformed_deadline_is_no_deadline() {
    for text in [
        "",
        "soon",
        "-1",
        "6000.5",
        "1e3",
        "99999999999999999999",
        "6,000",
    ] {
        let mut headers = HeaderMap::new();
        headers.insert(DEADLINE_MS, HeaderValue::from_static(text));
        assert_eq!(
            header_number(&headers, DEADLINE_MS.as_str()),
            None,
            "{text}"
        );
    }
    assert_eq!(header_number(&HeaderMap::new(), DEADLINE_MS.as_str()), None);
}

/// Guards against estimates that are lost while most requests are retries, and against estimates
/// from the deadlines of callers that have stopped.
#[test]
fn a_known_deadline_of_first_attempts_outlasts_many_retries_but_not_its_callers() {
    let mut evidence = DeadlineEvidence::default();
    for n in 0..100 {
        evidence.age_ms(6_000, 1_000_000 + n);
    }
    for n in 0..600 {
        let left_ms = if n % 5 < 2 { 6_000 } else { 4_000 - n };
        evidence.age_ms(left_ms, 1_005_000 + 20 * n);
    }
    assert_eq!(evidence.age_ms(4_100, 1_017_000), 1_900);
    for n in 0..100 {
        evidence.age_ms(5_000, 1_040_000 + n);
    }
    assert_eq!(evidence.age_ms(4_500, 1_040_100), 500);
}
