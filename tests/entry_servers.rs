//! Tests of a host's view of servers: incarnations, undecodable entries that other software wrote,
//! evacuated zones, cold servers, and notices by which servers announce that they leave or ask for
//! a backoff. The tests start no processes.

use std::{collections::HashSet, sync::Arc};

use ashroad::{
    entry::{
        decide::{
            notices::Notices,
            warmup::{WarmupLimit, WarmupWindows, window_every_ms},
        },
        digest::{RequestDigest, RequestDigests},
        model::{Notice, ServerEntry, Warmup, incarnation_id},
        registry::Registry,
        updates::{
            configuration_pieces::{PieceAssembly, split_into_pieces},
            evacuation::Evacuations,
        },
        view::View,
    },
    platform::{config, servers},
};
use quickcheck::quickcheck;
use rand::{Rng, SeedableRng, rngs::StdRng};

const ENTRY: &str = r#"{"addr":"10.128.0.9:8080","born":1791000000123,
    "info":{"service":"pegel1","version":"v1","zone":"bern-ost","slots":4},
    "status":{"state":"ready","seq":4,"warmupLeft":"1200ms"}}"#;

fn entry(name: &str, started_ms: u64) -> ServerEntry {
    ServerEntry {
        id: incarnation_id(name, started_ms),
        name: name.into(),
        started_ms,
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        availability_zone: "z".into(),
        slots: 4,
        leaving: false,
        cold_ms: 0,
    }
}

#[test]
fn undecodable_entries_of_other_writers_are_refused() {
    struct Case {
        from: &'static str,
        to: &'static str,
    }
    let case = |from, to| Case { from, to };
    let cases = [
        case(r#""addr":"10.128.0.9:8080","#, ""),
        case(r#""10.128.0.9:8080""#, "808"),
        case(r#""10.128.0.9:8080""#, r#""somewhere""#),
        case("1791000000123", "1791000000123.5"),
        case("1791000000123", r#""1791000000123""#),
        case("1791000000123", "-1"),
        case(r#""service":"pegel1","#, ""),
        case(r#""pegel1""#, "7"),
        case(r#""version":"v1","#, ""),
        case(r#""zone":"bern-ost","#, ""),
        case(r#","slots":4"#, ""),
        case("4}", r#""4"}"#),
        case("4}", "-4}"),
        case(r#""state":"ready","#, ""),
        case(r#""ready""#, r#""resting""#),
        case(r#""ready""#, "true"),
        case(r#""seq":4,"#, ""),
        case(r#""seq":4"#, r#""seq":"four""#),
        case(r#""1200ms""#, "1200"),
        case(r#""1200ms""#, r#""soon""#),
        case(r#""status":{"#, r#""status":[{"#),
        case(ENTRY, ""),
        case(ENTRY, "\u{0}\u{1}"),
        case(ENTRY, "[]"),
    ];
    let whole = servers::decode("i-1", ENTRY.as_bytes()).expect("an entry");
    assert_eq!(
        (whole.started_ms, whole.cold_ms),
        (1_791_000_000_123, 1_200)
    );
    for Case { from, to } in cases {
        let text = ENTRY.replacen(from, to, 1);
        assert_ne!(text, ENTRY, "{from}");
        assert!(servers::decode("i-1", text.as_bytes()).is_err(), "{text}");
    }
    // Entries with unknown fields or without a start time are decoded.
    for (from, to) in [
        (r#""seq":4"#, r#""seq":4,"mood":"good""#),
        (r#""born":1791000000123,"#, ""),
    ] {
        let text = ENTRY.replacen(from, to, 1);
        assert!(servers::decode("i-1", text.as_bytes()).is_ok(), "{text}");
    }
}

quickcheck! {
    fn any_bytes_are_decoded_or_refused(bytes: Vec<u8>, index: usize, byte: u8) -> bool {
        // Decoding must not panic for any input. The inputs are random bytes, and an entry that is
        // cut off at any place or has one byte changed.
        let mut changed = ENTRY.as_bytes().to_vec();
        let index = index % changed.len();
        let cut_off = servers::decode("i-1", &changed[..index]);
        changed[index] = byte;
        let decoded = [
            servers::decode("i-1", &bytes).is_ok(),
            servers::decode("i-1", &changed).is_ok(),
            config::decode(&bytes).is_ok(),
        ];
        cut_off.is_err() && decoded.len() == 3
    }
}

#[test]
fn a_later_start_under_the_same_name_is_another_server() {
    let mut registry = Registry::default();
    registry.put(entry("a", 1_000));
    let first = registry.server("a@3e8").expect("the first").clone();
    let digest = RequestDigest(1);
    let digests = RequestDigests {
        whole: digest,
        path: digest,
        content: digest,
        any_path: digest,
        caller_tag: 1,
    };
    let in_flight = first.begin_request(digests);
    registry.put(entry("a", 2_000));
    let second = registry.server("a@7d0").expect("the second").clone();
    // The second incarnation starts without the load and run times of the first, and no further
    // requests go to the first incarnation.
    assert!(registry.server("a@3e8").is_none());
    assert!(first.leaving());
    assert_eq!((second.own_load(), second.run_ms()), (0, 0.0));
    assert_ne!(first.tag, second.tag);
    let former = registry.former("a@3e8").expect("a former server");
    assert_eq!(&*former.name, "a");
    assert_eq!(registry.of_service("s").count(), 1);
    // A late heartbeat of the first incarnation changes nothing.
    registry.put(ServerEntry {
        leaving: true,
        ..entry("a", 1_000)
    });
    assert!(!registry.server("a@7d0").expect("the second").leaving());
    assert_eq!(registry.of_service("s").count(), 1);
    // The removal of the entry removes the latest incarnation.
    registry.remove("a", 0);
    assert!(registry.server("a@7d0").is_none());
    drop(in_flight);
}

#[test]
fn an_entry_that_names_another_service_or_address_replaces_the_server() {
    struct Case {
        name: &'static str,
        change: fn(&mut ServerEntry),
        replaced: bool,
    }
    let cases = [
        Case {
            name: "service",
            change: |entry| entry.service = "other".into(),
            replaced: true,
        },
        Case {
            name: "address",
            change: |entry| entry.address = ([127, 0, 0, 2], 1).into(),
            replaced: true,
        },
        Case {
            name: "zone",
            change: |entry| entry.availability_zone = "y".into(),
            replaced: true,
        },
        Case {
            name: "leaving",
            change: |entry| entry.leaving = true,
            replaced: false,
        },
    ];
    for Case {
        name,
        change,
        replaced,
    } in cases
    {
        let mut registry = Registry::default();
        registry.put(entry("a", 1));
        let known = registry.server("a@1").expect("a server").clone();
        let mut later = entry("a", 1);
        change(&mut later);
        let service = later.service.clone();
        registry.put(later);
        let now = registry.server("a@1").expect("a server");
        assert_eq!(Arc::ptr_eq(&known, now), !replaced, "{name}");
        assert_eq!(registry.of_service(&service).count(), 1, "{name}");
    }
}

#[test]
fn a_row_that_becomes_unreadable_removes_its_server() {
    let mut registry = Registry::default();
    registry.put(entry("a", 1));
    registry.put(entry("b", 1));
    // The server is removed at once, even in the grace period in which lapsed entries may return
    // after an outage of the store.
    registry.drop_server("a");
    assert!(registry.server("a@1").is_none());
    assert_eq!(registry.usable("s", &[]).len(), 1);
    assert!(registry.former("a@1").is_some());
    let present: HashSet<Arc<str>> = ["a".into(), "b".into()].into();
    registry.retain(&present, 0);
    registry.put(entry("a", 1));
    assert_eq!(registry.usable("s", &[]).len(), 2);
}

fn evacuations(version: u64, zones: &[&str]) -> Evacuations {
    Evacuations {
        version,
        zones: zones.iter().map(|zone| Arc::from(*zone)).collect(),
    }
}

#[test]
fn servers_of_an_evacuated_zone_get_no_work_until_it_is_restored() {
    let view = View::default();
    view.update_registry(|registry| {
        registry.put(entry("a", 1));
        registry.put(ServerEntry {
            availability_zone: "y".into(),
            ..entry("b", 1)
        });
    });
    let usable = || -> Vec<String> {
        let registry = view.registry();
        let names = registry.usable("s", &[]).into_iter();
        names.map(|server| server.entry.name.to_string()).collect()
    };
    struct Case {
        evacuations: Evacuations,
        usable: &'static [&'static str],
    }
    let cases = [
        Case {
            evacuations: evacuations(5, &["z"]),
            usable: &["b"],
        },
        // A new leader that does not know of the evacuation yet announces no zones, under an
        // earlier version.
        Case {
            evacuations: evacuations(0, &[]),
            usable: &["b"],
        },
        Case {
            evacuations: evacuations(6, &["y", "z"]),
            usable: &[],
        },
        Case {
            evacuations: evacuations(7, &["y"]),
            usable: &["a"],
        },
        // A list with an earlier version arrives after a list with a later version.
        Case {
            evacuations: evacuations(6, &["y", "z"]),
            usable: &["a"],
        },
        Case {
            evacuations: evacuations(9, &[]),
            usable: &["a", "b"],
        },
    ];
    for case in cases {
        let context = format!("{:?}", case.evacuations);
        view.evacuate(case.evacuations);
        assert_eq!(usable(), case.usable, "{context}");
    }
    // The evacuation also applies to a server whose entry is added later.
    view.evacuate(evacuations(10, &["z"]));
    view.update_registry(|registry| registry.put(entry("c", 1)));
    assert_eq!(usable(), ["b"]);
    // An evacuated server still serves requests for keys that it holds until the hold time has
    // passed.
    let registry = view.registry();
    let evacuated = registry.server("a@1").expect("a server");
    assert!(evacuated.serves_held_keys(60_000));
    assert!(!evacuated.serves_held_keys(0));
}

#[test]
fn servers_of_a_restored_zone_count_as_cold() {
    let warmup_ms = |service: &str| if service == "s" { 3_000 } else { 0 };
    let mut registry = Registry::default();
    registry.put(entry("a", 1));
    registry.set_evacuations(&evacuations(1, &["z"]), warmup_ms);
    registry.set_evacuations(&evacuations(2, &[]), warmup_ms);
    let remaining_ms = registry
        .server("a@1")
        .expect("a server")
        .cold_remaining_ms();
    assert!((2_900..=3_000).contains(&remaining_ms), "{remaining_ms}");
    // Adding the same entry again does not change the remaining cold time. An entry with another
    // cold time replaces it.
    registry.put(entry("a", 1));
    assert!(
        registry
            .server("a@1")
            .expect("a server")
            .cold_remaining_ms()
            > 0
    );
    for cold_ms in [800, 0] {
        registry.put(ServerEntry {
            cold_ms,
            ..entry("a", 1)
        });
        let remaining_ms = registry
            .server("a@1")
            .expect("a server")
            .cold_remaining_ms();
        assert!(
            remaining_ms <= cold_ms && remaining_ms + 100 > cold_ms,
            "{remaining_ms}"
        );
    }
}

#[test]
fn a_broadcast_configuration_does_not_hide_an_earlier_evacuation() {
    let pieces = split_into_pieces(7, 6, b"content").pieces;
    assert!(pieces.iter().all(|piece| piece.evacuations == 6));
    let mut assembly = PieceAssembly::default();
    let whole = pieces.into_iter().find_map(|piece| assembly.take(piece));
    assert_eq!(whole.expect("the content"), b"content");
}

#[test]
fn changes_of_zones_count_in_their_order() {
    let mut known = Evacuations::default();
    known.change(3, "z", true);
    known.change(2, "z", false);
    known.change(4, "y", true);
    assert_eq!(known, evacuations(4, &["y", "z"]));
    known.change(5, "z", false);
    assert_eq!(known, evacuations(5, &["y"]));
}

/// Returns the largest number of requests that a cold server gets in one second of a run of ten
/// seconds. Each host assumes a number of hosts that is between about 20% too low and 10% too high.
fn most_in_a_second(hosts: usize, per_s: f64, demand_per_s: f64, rng: &mut StdRng) -> usize {
    const LENGTH_MS: f64 = 10_000.0;
    let mut warmup_windows: Vec<(WarmupWindows, u64)> = (0..hosts)
        .map(|_| {
            let known = (hosts as f64 * rng.random_range(0.8..1.1)).ceil() as usize;
            (WarmupWindows::default(), window_every_ms(per_s, known))
        })
        .collect();
    for (warmup_windows, every_ms) in &mut warmup_windows {
        warmup_windows.is_open(*every_ms, rng.random(), 0);
    }
    let mut sent_ms = Vec::new();
    // Requests begin at a random time. Hosts may have left warm-up windows unused before that time.
    let mut at_ms = rng.random_range(0.0..4_000.0);
    while at_ms < LENGTH_MS {
        at_ms += 2.0 * rng.random::<f64>() * 1_000.0 / demand_per_s;
        let now_ms = at_ms as u64;
        // Half of the requests arrive at the first host, the others at a random host.
        let host = if rng.random() {
            0
        } else {
            rng.random_range(0..hosts)
        };
        let (warmup_windows, every_ms) = &mut warmup_windows[host];
        if warmup_windows.is_open(*every_ms, 0.0, now_ms) {
            warmup_windows.take(*every_ms);
            sent_ms.push(now_ms);
        }
    }
    let within = |first: u64| {
        let second = first..first + 1_000;
        sent_ms.iter().filter(|at| second.contains(at)).count()
    };
    sent_ms
        .iter()
        .map(|first| within(*first))
        .max()
        .unwrap_or(0)
}

#[test]
fn all_hosts_together_keep_the_limit_of_a_cold_server() {
    let mut rng = StdRng::seed_from_u64(5);
    let per_s = 5.8;
    for _ in 0..400 {
        let hosts = rng.random_range(2..400);
        let demand_per_s = rng.random_range(5.0..400.0);
        let most = most_in_a_second(hosts, per_s, demand_per_s, &mut rng);
        assert!(
            most <= 16,
            "{most} requests from {hosts} hosts at a demand of {demand_per_s}"
        );
    }
    // Under high load the capacity of the cold server is used: it gets at least 4 requests in some
    // second, at a limit of 5.8 per second.
    let sent = most_in_a_second(74, per_s, 2_000.0, &mut rng);
    assert!(sent >= 4, "{sent}");
}

#[test]
fn a_host_that_knows_no_hosts_yet_sends_nothing_to_cold_servers() {
    let mut registry = Registry::default();
    registry.put(ServerEntry {
        cold_ms: 3_000,
        ..entry("a", 1)
    });
    let server = registry.server("a@1").expect("a server");
    let warmup = Warmup {
        time_ms: 3_000,
        per_s: 5.8,
    };
    let limited = (0..1_000)
        .filter(|_| server.is_limited_by_warmup(Some(WarmupLimit::new(warmup.per_s, 10_000))));
    assert_eq!(limited.count(), 1_000);
    // A cold server whose service sets no limit for the warm-up is treated like any other server.
    assert!(!server.is_limited_by_warmup(None));
}

const LEAVES: Notice = Notice {
    leaves: true,
    backoff_ms: None,
};

#[test]
fn a_server_that_announces_its_leaving_gets_no_requests_after_the_hold_time() {
    let hold_ms = 1_850;
    let mut notices = Notices::default();
    // Other hosts report first that the server leaves. The server then gets no new work, but still
    // gets requests for keys that it holds.
    assert!(notices.note_leaving_elsewhere(1_000));
    assert!(!notices.note_leaving_elsewhere(1_100));
    assert!(notices.leaves() && !notices.has_announced_leaving());
    assert!(!notices.is_closed_to(900_000, hold_ms));
    // Then responses of the server to this host announce the leaving repeatedly. The hold time
    // starts with the first of these responses.
    assert!(notices.note(LEAVES, 5_000).leaves);
    assert!(!notices.note(LEAVES, 6_000).leaves);
    assert!(!notices.is_closed_to(5_000 + hold_ms - 1, hold_ms));
    assert!(notices.is_closed_to(5_000 + hold_ms, hold_ms));
    // A response without the announcement, for instance a response that was sent earlier, does not
    // revoke the announcement.
    notices.note(Notice::default(), 7_000);
    assert!(notices.is_closed_to(7_000, hold_ms));
}

#[test]
fn a_rest_lasts_until_the_latest_end_that_was_asked_for() {
    struct Case {
        notices_sent: &'static [(u64, u64)],
        at_ms: u64,
        backoff_ms: u64,
    }
    let case = |notices_sent, at_ms, backoff_ms| Case {
        notices_sent,
        at_ms,
        backoff_ms,
    };
    // Each pair is the time at which a server asks for a backoff and the duration of the backoff,
    // in milliseconds.
    let cases = [
        case(&[], 0, 0),
        case(&[(100, 3_000)], 100, 3_000),
        case(&[(100, 3_000)], 3_099, 1),
        case(&[(100, 3_000)], 3_100, 0),
        case(&[(100, 3_000), (200, 3_000)], 3_100, 100),
        case(&[(100, 3_000), (200, 500)], 1_000, 2_100),
        // A backoff is limited to ten minutes, so that a corrupt duration does not keep requests
        // from the server forever.
        case(&[(100, u64::MAX)], 100, 600_000),
    ];
    for Case {
        notices_sent,
        at_ms,
        backoff_ms,
    } in cases
    {
        let mut notices = Notices::default();
        for (now_ms, backoff_ms) in notices_sent {
            let notice = Notice {
                leaves: false,
                backoff_ms: Some(*backoff_ms),
            };
            notices.note(notice, *now_ms);
        }
        assert_eq!(
            notices.backoff_ms(at_ms),
            backoff_ms,
            "{notices_sent:?} at {at_ms}"
        );
    }
}

#[test]
fn notices_outlast_the_entry_of_a_server() {
    let mut registry = Registry::default();
    registry.put(entry("a", 1));
    registry.put(entry("b", 1));
    let backoff_notice = Notice {
        leaves: false,
        backoff_ms: Some(60_000),
    };
    let server = |registry: &Registry, id: &str| registry.server(id).expect("a server").clone();
    server(&registry, "a@1").note_notice(LEAVES);
    server(&registry, "b@1").note_notice(backoff_notice);
    // The entry is written again, or lapses and is added again, and does not show that the server
    // leaves or has asked for a backoff.
    for _ in 0..3 {
        registry.put(entry("a", 1));
        registry.put(entry("b", 1));
        assert!(!server(&registry, "a@1").takes_new_work());
        assert!(server(&registry, "a@1").leaves_by_notice_only());
        assert!(server(&registry, "b@1").backoff_ms() > 50_000);
        registry.remove("a", 0);
        registry.remove("b", 0);
        assert!(registry.server("a@1").is_none());
    }
    // A response with a notice may arrive while the server has no entry. The notice counts when the
    // entry returns.
    registry.put(entry("c", 1));
    let gone = server(&registry, "c@1");
    registry.remove("c", 0);
    gone.note_notice(LEAVES);
    registry.put(entry("c", 1));
    assert!(!server(&registry, "c@1").takes_new_work());
    // A later incarnation under the same name has sent no notices.
    registry.put(entry("a", 2));
    assert!(server(&registry, "a@2").takes_new_work());
}

#[test]
fn servers_that_leave_are_the_last_ones_to_get_requests() {
    let mut registry = Registry::default();
    for name in ["a", "b"] {
        registry.put(entry(name, 1));
    }
    let names = |servers: Vec<&Arc<ashroad::entry::server::Server>>| {
        let names = servers.iter().map(|server| server.entry.name.to_string());
        names.collect::<Vec<_>>()
    };
    let leave = |name| registry.server(name).expect("a server").note_notice(LEAVES);
    leave("a@1");
    assert_eq!(names(registry.usable("s", &[])), ["b"]);
    leave("b@1");
    assert!(registry.usable("s", &[]).is_empty());
    // If no other server can run the request, a leaving server gets it within the server's hold
    // time, unless the request has tried that server before.
    let now_ms = ashroad::clock::now_ms();
    let at_last = |tried: &[Arc<str>], arrived_ms| {
        names(registry.usable_while_leaving("s", tried, arrived_ms, 1_850))
    };
    assert_eq!(at_last(&[], now_ms), ["a", "b"]);
    assert_eq!(at_last(&["a@1".into()], now_ms), ["b"]);
    assert!(at_last(&[], now_ms + 1_850).is_empty());
}
