//! Tests which services count as contended.

use ashroad::{
    entry::decide::{
        Policy,
        contended::{ServiceProfile, is_contended},
    },
    platform::config,
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
                timeout_factor: 2.5,
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

/// Guards against a route that states no objective, one beyond its timeout or one close to it, and
/// thereby switches off the handling of a contended service.
#[test]
fn one_route_whose_callers_wait_suffices() {
    struct Case {
        /// Timeouts and objectives of the routes to the service.
        routes: &'static [(&'static str, Option<&'static str>)],
        factor: f64,
    }
    let cases = [
        Case {
            routes: &[],
            factor: 0.0,
        },
        Case {
            routes: &[("3s", Some("1s"))],
            factor: 3.0,
        },
        Case {
            routes: &[("3s", Some("1s")), ("1s", None)],
            factor: 3.0,
        },
        Case {
            routes: &[
                ("400ms", Some("1s")),
                ("1200ms", Some("1s")),
                ("3s", Some("1s")),
                ("4s", Some("2s")),
            ],
            factor: 3.0,
        },
    ];
    for case in cases {
        let paths = case.routes.iter().enumerate().map(|(number, (timeout, aim))| {
            let aim = aim.map_or(String::new(), |aim| format!(r#""aim":"{aim}","#));
            format!(
                r#"{{"name":"r-{number}","pathPrefix":"/{number}/","kind":"safe","timeout":"{timeout}",
                    {aim}"priority":1,"service":"parts","maxAttempts":2}}"#
            )
        });
        let paths: Vec<String> = paths.collect();
        let document = format!(
            r#"{{"version":"00000001","services":[{{"name":"parts","healthPath":"/up",
                "maxConns":9,"protocol":"h1","tls":false,"sharded":true}}],
                "limits":{{"maxHeaderBytes":9999,"maxBodyBytes":9999,"headerTimeout":"3s",
                "idleTimeout":"9s"}},"hosts":[{{"host":"a.example","paths":[{}]}}]}}"#,
            paths.join(",")
        );
        let configuration = config::decode(document.as_bytes()).expect("a configuration");
        assert_eq!(
            configuration.timeout_factor("parts"),
            case.factor,
            "{:?}",
            case.routes
        );
    }
}
