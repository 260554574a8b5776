//! Tests which services count as contended.

use ashroad::entry::decide::{
    Policy,
    contended::{ServiceProfile, is_contended},
};

/// A sharded service with three slots a server, whose callers wait for three times the latency
/// objective.
const CONTENDED: ServiceProfile = ServiceProfile {
    is_sharded: true,
    slots_max: 3,
    timeout_factor: 3.0,
};

/// Guards against queueing for services whose callers have left before a queue has drained, or
/// whose requests any server can run.
#[test]
fn a_service_is_contended_if_it_is_sharded_with_few_slots_and_callers_that_wait() {
    struct Case {
        name: &'static str,
        service: ServiceProfile,
        policy: Policy,
        result: bool,
    }
    let disabled = Policy {
        contended_slots_max: 0,
        ..Policy::default()
    };
    let cases = [
        Case {
            name: "few slots and callers that wait",
            service: CONTENDED,
            policy: Policy::default(),
            result: true,
        },
        Case {
            name: "not sharded",
            service: ServiceProfile {
                is_sharded: false,
                ..CONTENDED
            },
            policy: Policy::default(),
            result: false,
        },
        Case {
            name: "many slots",
            service: ServiceProfile {
                slots_max: 4,
                ..CONTENDED
            },
            policy: Policy::default(),
            result: false,
        },
        Case {
            name: "callers that do not wait",
            service: ServiceProfile {
                timeout_factor: 1.5,
                ..CONTENDED
            },
            policy: Policy::default(),
            result: false,
        },
        Case {
            name: "no known server",
            service: ServiceProfile {
                slots_max: 0,
                ..CONTENDED
            },
            policy: Policy::default(),
            result: false,
        },
        Case {
            name: "disabled by the settings",
            service: CONTENDED,
            policy: disabled,
            result: false,
        },
    ];
    for case in cases {
        let found = is_contended(case.service, &case.policy);
        assert_eq!(found, case.result, "{}", case.name);
    }
}
