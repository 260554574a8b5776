//! Tests that the timeouts and intervals of [`Timings`] keep the bounds in the settings, from
//! which they are derived.

use ashroad::entry::{bounds::Bounds, limits::Timings, settings::Settings};
use quickcheck::quickcheck;

fn bounds(drain_ms: u64, configuration_ms: u64) -> Bounds {
    Bounds {
        revocation_ms: None,
        drain_ms,
        configuration_ms,
        contact_ms: 3_000,
        evacuation_ms: 5_000,
        stop_grace_ms: 6_000,
        lease_max_ms: 10_000,
        retry_window_ms: 10_000,
        retry_ratio: 0.2,
        retry_allowance: 60.0,
    }
}

/// Returns bounds with drawn values for drain and configuration. Both are at least 800 ms, the
/// tightest values that hosts can keep.
fn drawn(drain: u16, configuration: u16) -> Bounds {
    bounds(
        800 + u64::from(drain) / 4,
        800 + u64::from(configuration) / 4,
    )
}

quickcheck! {
    fn every_path_keeps_its_bound(drain: u16, configuration: u16) -> bool {
        let bounds = drawn(drain, configuration);
        let limits = Timings::new(&bounds);
        limits.paths(&bounds).iter().all(|path| path.is_met())
    }

    fn the_leader_is_heard_three_times_within_the_trust_period(drain: u16) -> bool {
        let limits = Timings::new(&drawn(drain, 0));
        let confirm_every_ms = limits.confirm_every_ms(700);
        let two_heartbeats_ms = confirm_every_ms + 2 * limits.leader_heartbeat_ms;
        two_heartbeats_ms <= limits.trust_ms
    }
}

#[test]
fn a_limit_raised_past_its_bound_breaks_a_path() {
    let bounds = bounds(1_900, 900);
    let limits = Timings::new(&bounds);
    struct Case {
        name: &'static str,
        raise: fn(&mut Timings),
    }
    let case = |name, raise| Case { name, raise };
    let cases = [
        case("trust_ms", |limits| limits.trust_ms += 1),
        case("servers_pause_ms", |limits| limits.servers_pause_ms += 101),
        case("configuration_pause_ms", |limits| {
            limits.configuration_pause_ms += 101;
        }),
        case("leader_pause_ms", |limits| limits.leader_pause_ms += 1_000),
        case("notice_hold_ms", |limits| limits.notice_hold_ms += 1),
        case("leader_heartbeat_ms", |limits| {
            limits.leader_heartbeat_ms += 500
        }),
    ];
    for Case { name, raise } in cases {
        let mut limits = limits;
        raise(&mut limits);
        let broken = limits.paths(&bounds).iter().any(|path| !path.is_met());
        assert!(broken, "{name}");
    }
}

#[test]
fn bounds_that_cannot_be_kept_are_refused_with_a_reason() {
    struct Case {
        drain: &'static str,
        configuration: &'static str,
        problems: &'static [&'static str],
    }
    let cases = [
        Case {
            drain: "800ms",
            configuration: "800ms",
            problems: &[],
        },
        Case {
            drain: "2s",
            configuration: "600ms",
            problems: &[
                "bounds.configuration of 600 ms cannot be kept when the configuration changes \
                 while its feed pauses: that takes 700 ms",
            ],
        },
        Case {
            drain: "790ms",
            configuration: "2s",
            problems: &[
                "bounds.drain of 790 ms cannot be kept when the leader fails before it \
                 broadcasts that a server leaves: that takes 800 ms",
            ],
        },
    ];
    let example = include_str!("../examples/mittelland/entry.yaml");
    for (index, case) in cases.into_iter().enumerate() {
        let text = example
            .replace("drain: 2s", &format!("drain: {}", case.drain))
            .replace(
                "configuration: 2s",
                &format!("configuration: {}", case.configuration),
            );
        let path = std::env::temp_dir().join(format!("limits-{}-{index}", std::process::id()));
        std::fs::write(&path, text).expect("settings");
        let messages = match Settings::read(&path) {
            Ok(settings) => settings.problems(),
            Err(error) => vec![error.to_string()],
        };
        std::fs::remove_file(&path).expect("settings");
        assert_eq!(
            messages.is_empty(),
            case.problems.is_empty(),
            "{messages:?}"
        );
        for problem in case.problems {
            assert!(
                messages.iter().any(|messages| messages.contains(problem)),
                "{messages:?}"
            );
        }
    }
}
