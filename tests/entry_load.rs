//! What callers get from the decisions under load; no sockets and no clock.

use ashroad::entry::decide::{
    Policy,
    hold::{self, Hold, MoveRest, MoveWait},
};

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
