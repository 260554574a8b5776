//! What callers get from the decisions under load; no sockets and no clock.

use ashroad::entry::decide::{
    Candidate, Policy, TimeLeft, admission,
    behaviour::Behaviour,
    hold::{self, Hold, MoveRest, MoveWait},
};

/// A warm server with free slots of which nothing is known.
const SERVER: Candidate = Candidate {
    slots: 6,
    load: 0,
    run_ms: 0.0,
    failures: 0.0,
    is_cold: false,
    is_paused: false,
    is_near: true,
    has_idle_connection: true,
};

#[test]
fn a_server_that_was_slow_for_a_moment_is_not_left_idle() {
    // The only server of some keys: requests took 900 ms for a moment, and take 120 ms since. What
    // this host remembers of it can only be corrected by requests that get there.
    let policy = Policy::default();
    let mut behaviour = Behaviour::default();
    let mut now_ms = 1_000_000;
    for _ in 0..20 {
        now_ms += 50;
        behaviour.answered(900.0, true, now_ms);
    }
    let (mut asked, mut refused) = (0, 0);
    for _ in 0..200 {
        now_ms += 20;
        let seen = Candidate {
            run_ms: behaviour.run_ms(now_ms),
            ..SERVER
        };
        let left = TimeLeft {
            objective_ms: 400,
            deadline_ms: 1_500,
        };
        asked += 1;
        if admission::has_room(&seen, 120.0, left, &policy) {
            behaviour.answered(120.0, true, now_ms);
        } else {
            refused += 1;
        }
    }
    assert_eq!(refused, 0, "of {asked}");
}

#[test]
fn a_server_with_free_slots_gets_nothing_that_it_cannot_answer_before_the_deadline() {
    let slow = Candidate {
        run_ms: 2_000.0,
        ..SERVER
    };
    let left = TimeLeft {
        objective_ms: 400,
        deadline_ms: 1_500,
    };
    let policy = Policy::default();
    assert!(!admission::has_room(&slow, 120.0, left, &policy));
}

#[test]
fn requests_wait_for_a_move_only_if_it_can_end_in_time() {
    struct Case {
        wait: MoveWait,
        rest_ms: u64,
        held_ms: u64,
        left_ms: u64,
        aim_ms: u64,
        result: Hold,
    }
    let cases = [
        // The former server is at work: most such moves end soon.
        Case {
            wait: MoveWait::Work,
            rest_ms: 2_500,
            held_ms: 0,
            left_ms: 800,
            aim_ms: 400,
            result: Hold::For(400),
        },
        Case {
            wait: MoveWait::Work,
            rest_ms: 2_500,
            held_ms: 395,
            left_ms: 405,
            aim_ms: 400,
            result: Hold::Refuse,
        },
        // Slow requests may wait longer.
        Case {
            wait: MoveWait::Work,
            rest_ms: 2_500,
            held_ms: 0,
            left_ms: 9_000,
            aim_ms: 2_000,
            result: Hold::For(500),
        },
        // A lease takes just as long as it does: waiting for a part of that is in vain.
        Case {
            wait: MoveWait::Lease,
            rest_ms: 2_500,
            held_ms: 0,
            left_ms: 800,
            aim_ms: 400,
            result: Hold::Refuse,
        },
        Case {
            wait: MoveWait::Lease,
            rest_ms: 120,
            held_ms: 0,
            left_ms: 800,
            aim_ms: 400,
            result: Hold::For(120),
        },
        Case {
            wait: MoveWait::Lease,
            rest_ms: 120,
            held_ms: 0,
            left_ms: 100,
            aim_ms: 400,
            result: Hold::Refuse,
        },
    ];
    for case in cases {
        let rest = MoveRest {
            wait: case.wait,
            rest_ms: case.rest_ms,
        };
        let policy = Policy::default();
        let result = hold::decide(rest, case.held_ms, case.left_ms, case.aim_ms, &policy);
        assert_eq!(result, case.result, "{rest:?} held for {}", case.held_ms);
    }
}
