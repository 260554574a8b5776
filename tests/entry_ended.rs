//! Tests of the decision that the process of a server has ended.

use ashroad::entry::{
    crashes::reports::RefusingServers,
    decide::{
        Policy,
        ended::{ConnectionAttempt, EntryState, Evidence},
    },
};

const REFUSED: ConnectionAttempt = ConnectionAttempt {
    began_ms: 0,
    completed_ms: 0,
    is_refused: true,
    has_open_connection: false,
    may_follow_under_name: false,
    entry: EntryState::Ready,
    has_leave_notice: false,
    view_age_ms: 400,
    answered_ms: 500,
};

fn at(began_ms: u64) -> ConnectionAttempt {
    ConnectionAttempt {
        began_ms,
        completed_ms: began_ms + 2,
        ..REFUSED
    }
}

fn absent_at(began_ms: u64) -> ConnectionAttempt {
    ConnectionAttempt {
        entry: EntryState::Absent,
        ..at(began_ms)
    }
}

/// Guards against two owners of a key: a server whose process may run must not count as ended.
#[test]
fn only_refused_connections_of_a_ready_server_prove_its_end() {
    struct Case {
        name: &'static str,
        attempts: Vec<ConnectionAttempt>,
        /// Number of attempts after which the store confirmed the entry, and the time at which the
        /// call was sent.
        confirmed: (usize, u64),
        has_ended: bool,
    }
    let proof = vec![at(1_000), at(1_150), at(1_300)];
    let with = |place: usize, attempt: ConnectionAttempt| {
        let mut attempts = proof.clone();
        attempts[place] = attempt;
        attempts
    };
    let mut cases = vec![
        Case {
            name: "three refused attempts over 300 ms",
            attempts: proof.clone(),
            confirmed: (3, 1_301),
            has_ended: true,
        },
        Case {
            name: "confirmed after the first attempt",
            attempts: proof.clone(),
            confirmed: (1, 1_003),
            has_ended: true,
        },
        Case {
            name: "confirmed before the first attempt had been completed",
            attempts: proof.clone(),
            confirmed: (1, 1_002),
            has_ended: false,
        },
        Case {
            name: "confirmed before any attempt",
            attempts: proof.clone(),
            confirmed: (0, 2_000),
            has_ended: false,
        },
        Case {
            name: "confirmed before a response discarded the first attempt",
            attempts: vec![
                at(1_000),
                ConnectionAttempt {
                    answered_ms: 1_050,
                    ..at(1_100)
                },
                at(1_250),
                at(1_400),
            ],
            confirmed: (1, 1_003),
            has_ended: false,
        },
        Case {
            name: "no entry any longer after the confirmation",
            attempts: vec![at(1_000), absent_at(1_150), absent_at(1_300)],
            confirmed: (1, 1_003),
            has_ended: true,
        },
        Case {
            name: "no entry any longer, long after the first attempt",
            attempts: vec![at(1_000), absent_at(1_150), absent_at(2_500)],
            confirmed: (1, 1_003),
            has_ended: false,
        },
        Case {
            name: "a leave notice after the confirmation",
            attempts: vec![
                at(1_000),
                at(1_150),
                ConnectionAttempt {
                    has_leave_notice: true,
                    ..absent_at(1_300)
                },
            ],
            confirmed: (1, 1_003),
            has_ended: false,
        },
        Case {
            name: "another entry after the confirmation",
            attempts: vec![
                at(1_000),
                at(1_150),
                ConnectionAttempt {
                    entry: EntryState::Other,
                    ..at(1_300)
                },
            ],
            confirmed: (1, 1_003),
            has_ended: false,
        },
        Case {
            name: "two attempts",
            attempts: vec![at(1_000), at(1_400)],
            confirmed: (3, 2_000),
            has_ended: false,
        },
        Case {
            name: "three attempts over 299 ms",
            attempts: vec![at(1_000), at(1_150), at(1_299)],
            confirmed: (3, 2_000),
            has_ended: false,
        },
        Case {
            name: "a fourth attempt over 300 ms",
            attempts: vec![at(1_000), at(1_100), at(1_200), at(1_300)],
            confirmed: (3, 2_000),
            has_ended: true,
        },
        Case {
            name: "attempts far apart, of a leader that was frozen",
            attempts: vec![at(1_000), at(1_150), at(9_000)],
            confirmed: (3, 9_100),
            has_ended: true,
        },
        Case {
            name: "a success before three refused attempts",
            attempts: vec![
                ConnectionAttempt {
                    is_refused: false,
                    ..at(900)
                },
                at(1_000),
                at(1_150),
                at(1_300),
            ],
            confirmed: (3, 2_000),
            has_ended: true,
        },
        Case {
            name: "a response between the attempts, by another connection",
            attempts: with(
                2,
                ConnectionAttempt {
                    answered_ms: 1_200,
                    ..at(1_300)
                },
            ),
            confirmed: (3, 2_000),
            has_ended: false,
        },
        Case {
            name: "a response after the begin of an attempt",
            attempts: with(
                2,
                ConnectionAttempt {
                    answered_ms: 1_310,
                    ..at(1_300)
                },
            ),
            confirmed: (3, 2_000),
            has_ended: false,
        },
    ];
    let other_outcomes = [
        (
            "a timeout or a reset",
            ConnectionAttempt {
                is_refused: false,
                ..REFUSED
            },
        ),
        (
            "an open connection",
            ConnectionAttempt {
                has_open_connection: true,
                ..REFUSED
            },
        ),
        (
            "a name that a later process may bear while earlier leaders may grant",
            ConnectionAttempt {
                may_follow_under_name: true,
                ..REFUSED
            },
        ),
        (
            "no entry",
            ConnectionAttempt {
                entry: EntryState::Absent,
                ..REFUSED
            },
        ),
        (
            "a leaving server, or another entry",
            ConnectionAttempt {
                entry: EntryState::Other,
                ..REFUSED
            },
        ),
        (
            "a leave notice",
            ConnectionAttempt {
                has_leave_notice: true,
                ..REFUSED
            },
        ),
        (
            "an old view of the store",
            ConnectionAttempt {
                view_age_ms: 1_001,
                ..REFUSED
            },
        ),
    ];
    for (name, outcome) in other_outcomes {
        for (place, refused) in proof.iter().enumerate() {
            let began_ms = refused.began_ms;
            cases.push(Case {
                name,
                attempts: with(
                    place,
                    ConnectionAttempt {
                        began_ms,
                        ..outcome
                    },
                ),
                confirmed: (3, 2_000),
                has_ended: false,
            });
        }
    }
    let policy = Policy::default();
    for case in cases {
        let mut evidence = Evidence::default();
        let (before, after) = case
            .attempts
            .split_at(case.confirmed.0.min(case.attempts.len()));
        for attempt in before {
            evidence.note(attempt, &policy);
        }
        evidence.confirm(case.confirmed.1);
        for attempt in after {
            evidence.note(attempt, &policy);
        }
        assert_eq!(evidence.is_proof(&policy), case.has_ended, "{}", case.name);
    }
}

/// Guards against a datagram for each refused connection when hundreds of servers crash together,
/// and against a new leader that does not learn of the refusals.
#[test]
fn refused_connections_are_reported_three_times_to_each_leader_at_a_bounded_rate() {
    let mut refusing = RefusingServers::default();
    refusing.add(7);
    assert_eq!(refusing.due(1, 1_000), [7]);
    refusing.add(8);
    assert_eq!(refusing.due(1, 1_099), [0; 0]);
    assert_eq!(refusing.due(1, 1_100), [7, 8]);
    assert_eq!(refusing.due(1, 1_200), [7, 8]);
    assert_eq!(refusing.due(1, 1_300), [8]);
    assert_eq!(refusing.due(1, 1_400), [0; 0]);
    assert_eq!(refusing.due(2, 1_500), [7, 8]);
    for tag in 0..500 {
        refusing.add(tag);
    }
    assert_eq!(refusing.due(3, 1_600).len(), 120);
}
