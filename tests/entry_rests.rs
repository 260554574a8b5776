//! Tests decisions about servers that ask hosts for a backoff, in virtual time and without
//! processes.

use std::net::SocketAddr;

use ashroad::entry::decide::{
    Policy,
    backoffs::{Backoffs, not_in_backoff},
    retry_after::Refused,
};

const SERVER: u32 = 7;

fn host(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 7_620).into()
}

#[test]
fn a_backoff_is_widespread_when_a_third_of_the_hosts_are_refused() {
    struct Case {
        name: &'static str,
        hosts: usize,
        /// Refusals of hosts as `(host, time of the refusal, length of the backoff)`.
        refusals: &'static [(u8, u64, u64)],
        at_ms: u64,
        wide: bool,
    }
    let cases = [
        Case {
            name: "the only host",
            hosts: 1,
            refusals: &[(1, 0, 3_000)],
            at_ms: 100,
            wide: true,
        },
        Case {
            name: "one of eight may itself be the cause",
            hosts: 8,
            refusals: &[(1, 0, 3_000), (1, 50, 3_000)],
            at_ms: 100,
            wide: false,
        },
        Case {
            name: "three of eight",
            hosts: 8,
            refusals: &[(1, 0, 3_000), (2, 50, 3_000), (3, 90, 3_000)],
            at_ms: 100,
            wide: true,
        },
        Case {
            name: "four of 295: the only ones that send requests within the backoff",
            hosts: 295,
            refusals: &[(1, 0, 3_000), (2, 0, 3_000), (3, 0, 3_000), (4, 0, 3_000)],
            at_ms: 100,
            wide: true,
        },
        Case {
            name: "just before the end of the backoff",
            hosts: 3,
            refusals: &[(1, 0, 3_000)],
            at_ms: 2_999,
            wide: true,
        },
        Case {
            name: "after the backoff",
            hosts: 3,
            refusals: &[(1, 0, 3_000)],
            at_ms: 3_000,
            wide: false,
        },
        Case {
            name: "a backoff that is shorter than two moves",
            hosts: 3,
            refusals: &[(1, 0, 200), (2, 0, 200), (3, 0, 200)],
            at_ms: 100,
            wide: false,
        },
        Case {
            name: "a later report of the same backoff, with less left",
            hosts: 3,
            refusals: &[(1, 0, 3_000), (1, 2_900, 100)],
            at_ms: 2_950,
            wide: true,
        },
    ];
    for case in cases {
        let backoffs = Backoffs::default();
        for (number, now_ms, backoff_ms) in case.refusals {
            backoffs.note(SERVER, host(*number), *backoff_ms, *now_ms);
        }
        let wide = backoffs.is_widespread(SERVER, case.hosts, case.at_ms);
        assert_eq!(wide, case.wide, "{}", case.name);
        assert!(!backoffs.is_widespread(SERVER + 1, case.hosts, case.at_ms));
    }
}

#[test]
fn keys_stay_where_they_are_when_most_servers_ask_for_a_backoff() {
    struct Case {
        servers: u32,
        in_backoff: u32,
        not_in_backoff: u32,
    }
    let case = |servers, in_backoff, not_in_backoff| Case {
        servers,
        in_backoff,
        not_in_backoff,
    };
    let cases = [
        case(9, 0, 9),
        case(9, 3, 6),
        case(9, 4, 5),
        // If most servers ask for a backoff, all of them count as overloaded: no server is left
        // out, and no key moves because of the backoffs.
        case(9, 5, 9),
        case(9, 9, 9),
        case(2, 1, 1),
        case(1, 1, 1),
        case(0, 0, 0),
    ];
    for case in cases {
        let servers: Vec<u32> = (0..case.servers).collect();
        let left = not_in_backoff(servers, |server| *server < case.in_backoff);
        assert_eq!(
            left.len() as u32,
            case.not_in_backoff,
            "{} servers in a backoff",
            case.in_backoff
        );
    }
}

#[test]
fn callers_retry_when_the_keys_have_moved_or_the_backoff_is_over() {
    let policy = Policy::default();
    for (backoff_ms, retry_after_ms) in [(3_000, 150), (150, 150), (120, 120), (5, 100)] {
        assert_eq!(
            Refused::in_backoff(backoff_ms, &policy).retry_after_ms,
            retry_after_ms
        );
    }
}
