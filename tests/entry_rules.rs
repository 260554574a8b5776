//! Tests the rules of entry hosts in one process and without sockets: assigned ranges, plans of
//! moves, routes, choice of servers, retries.

use std::{collections::HashMap, sync::Arc};

use ashroad::{
    clock,
    entry::{
        bounds::Bounds,
        decide::{
            Candidate, Demand, Policy, admission,
            attempt_stats::AttemptStats,
            budget::RetryBudget,
            choice::{self, HostCount},
            first::{self, FirstAssignmentWait},
            hold::{MoveTimeLeft, MoveWait},
            hot_keys::{self, HotKey, HotKeys},
            key_loads::{KeyCounts, KeyLoads},
            plan::{self, Inputs, Move, PlanServer},
        },
        explain::Source,
        keys::{AssignedRange, Assignment, KeyPartition, KeyRange},
        losses::{Loss, losses},
        model::{CallerLimits, Configuration, Route, RouteTarget, ServerEntry},
        peers::{message::Message, outbox::Outbox, report_every_ms},
        registry::Registry,
        seal::{Seal, SecretRow},
        server::Server,
        settings::Settings,
        updates::{
            announcement::MoveAnnouncement,
            server_changes::{Selection, ServerChange, ServerChanges, ServerUpdate},
        },
    },
    platform::store::{Row, Rows},
};
use quickcheck::quickcheck;

fn range(first: u16, last: u16) -> KeyRange {
    KeyRange { first, last }
}

fn assigned_range(first: u16, last: u16, server: &str, fence: u64) -> AssignedRange {
    AssignedRange {
        range: range(first, last),
        server: server.into(),
        fence,
        from: None,
    }
}

fn assignment(assigned_ranges: &[AssignedRange]) -> Assignment {
    let mut assignment = Assignment::default();
    for assigned_range in assigned_ranges {
        assignment.put(assigned_range.clone());
    }
    assignment
}

#[test]
fn a_holding_replaces_what_it_overlaps() {
    struct Case {
        put: AssignedRange,
        result: Vec<AssignedRange>,
        gaps: Vec<KeyRange>,
    }
    let cases = [
        Case {
            put: assigned_range(10, 19, "b", 9),
            result: vec![
                assigned_range(0, 9, "a", 1),
                assigned_range(10, 19, "b", 9),
                assigned_range(20, 99, "a", 1),
                assigned_range(100, 199, "c", 2),
            ],
            gaps: vec![range(200, 65_535)],
        },
        Case {
            put: assigned_range(50, 300, "b", 9),
            result: vec![
                assigned_range(0, 49, "a", 1),
                assigned_range(50, 300, "b", 9),
            ],
            gaps: vec![range(301, 65_535)],
        },
        Case {
            put: assigned_range(1_000, 65_535, "b", 9),
            result: vec![
                assigned_range(0, 99, "a", 1),
                assigned_range(100, 199, "c", 2),
                assigned_range(1_000, 65_535, "b", 9),
            ],
            gaps: vec![range(200, 999)],
        },
    ];
    for case in cases {
        let mut assignment = assignment(&[
            assigned_range(0, 99, "a", 1),
            assigned_range(100, 199, "c", 2),
        ]);
        assignment.put(case.put.clone());
        assert_eq!(assignment.assigned_ranges, case.result, "{:?}", case.put);
        assert_eq!(assignment.gaps(), case.gaps, "{:?}", case.put);
        assert_eq!(assignment.fence, 9);
        assert_eq!(assignment.next_fence(0), 10);
    }
}

/// Returns the server and the fence of each key, by the index of the key; `None` for a key without
/// an assigned range.
fn by_key(assignment: &Assignment) -> Vec<Option<(Arc<str>, u64)>> {
    let mut keys = vec![None; 1 << 16];
    for assigned_range in &assignment.assigned_ranges {
        for key in assigned_range.range.first..=assigned_range.range.last {
            assert!(
                keys[usize::from(key)].is_none(),
                "key {key} has two assigned ranges"
            );
            keys[usize::from(key)] = Some((assigned_range.server.clone(), assigned_range.fence));
        }
    }
    keys
}

#[test]
fn records_of_many_assigned_ranges_fit_a_row() {
    let mut many = Assignment::default();
    for number in 0..2_000u16 {
        let fence = many.next_fence(1);
        let mut assigned_range = assigned_range(
            number * 32,
            number * 32 + 31,
            &format!("i-{:010x}", number % 180),
            fence,
        );
        assigned_range.from = (number % 3 == 0).then(|| "i-0123456789".into());
        many.put(assigned_range);
    }
    let bytes = many.encode().expect("a record");
    assert!(bytes.len() < 48 * 1024, "{} bytes", bytes.len());
    assert_eq!(Assignment::decode(&bytes).expect("assigned ranges"), many);
    assert!(Assignment::decode(b"").is_err());
    assert!(Assignment::decode(b"{}").is_err());
    assert!(Assignment::decode(&bytes[..bytes.len() / 2]).is_err());
}

/// Largest row that the store accepts, in bytes.
const ROW_BYTES_MAX: usize = 65_536;

#[test]
fn records_of_thousands_of_servers_fit_rows() {
    struct Case {
        assigned_ranges: u32,
        servers: u32,
    }
    let cases = [
        Case {
            assigned_ranges: 3_440,
            servers: 3_440,
        },
        Case {
            assigned_ranges: 13_760,
            servers: 6_880,
        },
        // One assigned range for each key.
        Case {
            assigned_ranges: 65_536,
            servers: 20_000,
        },
    ];
    for case in cases {
        let first = |number: u32| u64::from(number) * 65_536 / u64::from(case.assigned_ranges);
        let assigned_ranges = (0..case.assigned_ranges).map(|number| {
            let server = format!("i-{:010x}@19abcdef012", number % case.servers);
            let (from, to) = (first(number), first(number + 1) - 1);
            let mut assigned_range =
                assigned_range(from as u16, to as u16, &server, u64::from(number) + 1);
            assigned_range.from = (number % 3 == 0).then(|| "i-0123456789@19abcdef012".into());
            assigned_range
        });
        let many = Assignment {
            fence: u64::from(case.assigned_ranges),
            assigned_ranges: assigned_ranges.collect(),
        };
        let rows: Vec<Assignment> = KeyPartition::all().map(|part| many.part(part)).collect();
        for row in &rows {
            let bytes = row.encode().expect("a record");
            assert!(bytes.len() <= ROW_BYTES_MAX, "{} bytes", bytes.len());
            assert_eq!(Assignment::decode(&bytes).expect("assigned ranges"), *row);
        }
        assert!(Assignment::join(rows.iter()) == many);
    }
}

#[test]
fn rows_read_at_different_times_form_one_assignment() {
    // The first row contains the assigned ranges of all keys, as an earlier version of ashroad
    // wrote it. A later move of keys is recorded only in the row of these keys.
    let mut whole = Assignment::default();
    whole.put(assigned_range(0, 39_999, "a", 1));
    whole.put(assigned_range(40_000, 65_535, "b", 2));
    let mut moved = whole.clone();
    moved.put(assigned_range(41_000, 41_999, "c", 3));
    let rows: Vec<Assignment> = KeyPartition::all().map(|part| moved.part(part)).collect();
    let later = rows
        .iter()
        .filter(|row| !row.assigned_ranges.is_empty())
        .skip(1);
    let joined = Assignment::join(std::iter::once(&whole).chain(later));
    assert_eq!(by_key(&joined), by_key(&moved));
}

quickcheck! {
    fn any_record_is_decoded_or_refused(bytes: Vec<u8>) -> bool {
        let mut record = vec![1];
        record.extend(&bytes);
        // Decoding must not panic.
        let decoded = [Assignment::decode(&bytes), Assignment::decode(&record)];
        decoded.len() == 2
    }

    fn holdings_equal_a_table_of_keys(puts: Vec<(u16, u16, u8)>) -> bool {
        let mut assignment = Assignment::default();
        let mut expected = vec![None; 1 << 16];
        for (one, other, server) in puts.into_iter().take(12) {
            let (first, last) = (one.min(other), one.max(other));
            let fence = assignment.next_fence(1);
            let server: Arc<str> = format!("s{server}").into();
            assignment.put(assigned_range(first, last, &server, fence));
            for key in first..=last {
                expected[usize::from(key)] = Some((server.clone(), fence));
            }
        }
        by_key(&assignment) == expected
    }

    fn plans_leave_no_key_without_a_usable_server(
        ranges: Vec<(u16, u16, u8)>,
        loads: Vec<(u16, u8)>,
        usable: u8
    ) -> bool {
        let mut assignment = Assignment::default();
        for (one, other, server) in ranges.into_iter().take(10) {
            let fence = assignment.next_fence(1);
            let server = format!("s{}", server % 8);
            assignment.put(assigned_range(one.min(other), one.max(other), &server, fence));
        }
        let servers = servers(&(0..8).filter(|bit| usable >> bit & 1 == 1)
            .map(|bit| format!("s{bit}")).collect::<Vec<_>>());
        let mut key_loads = KeyLoads::default();
        for (key, load) in loads {
            key_loads.add(key, f32::from(load));
        }
        let moves = plan::plan(Inputs {
            assignment: &assignment,
            servers: &servers,
            loads: &key_loads,
            moving: &[],
            balance_moves_max: 4,
            hot: &[],
            policy: &Policy::default(),
        });
        for (number, planned) in moves.iter().enumerate() {
            let alone = moves[number + 1..].iter().all(|m| !m.range.overlaps(&planned.range));
            if !alone {
                return false;
            }
        }
        apply(&mut assignment, &moves);
        let known = |assigned: &AssignedRange| servers.iter().any(|s| s.id == assigned.server);
        servers.is_empty() || assignment.gaps().is_empty() && assignment.assigned_ranges.iter().all(known)
    }
}

fn servers(ids: &[String]) -> Vec<PlanServer> {
    let servers = ids.iter().map(|id| PlanServer {
        id: id.as_str().into(),
        capacity_per_s: 66.0,
        unlimited_per_s: 66.0,
    });
    servers.collect()
}

fn apply(assignment: &mut Assignment, moves: &[Move]) {
    for planned in moves {
        let fence = assignment.next_fence(1);
        assignment.put(assigned_range(
            planned.range.first,
            planned.range.last,
            &planned.to,
            fence,
        ));
    }
}

#[test]
fn hot_neighbouring_keys_are_spread_and_balanced_load_stays() {
    let ids: Vec<String> = (0..11).map(|n| format!("s{n:02}")).collect();
    let servers = servers(&ids);
    let mut assignment = Assignment::default();
    for (range, server) in first::first_assignment(&servers) {
        let fence = assignment.next_fence(1);
        assignment.put(assigned_range(range.first, range.last, &server, fence));
    }
    assert!(assignment.gaps().is_empty());
    let mut loads = KeyLoads::default();
    for key in (0..=u16::MAX).step_by(64) {
        loads.add(key, 0.22);
    }
    // 40% of all requests go to 60 keys next to each other.
    for key in 30_000..30_060 {
        loads.add(key, 2.5);
    }
    let mut rounds = 0;
    loop {
        let moves = plan::plan(Inputs {
            assignment: &assignment,
            servers: &servers,
            loads: &loads,
            moving: &[],
            balance_moves_max: 8,
            hot: &[],
            policy: &Policy::default(),
        });
        if moves.is_empty() {
            break;
        }
        rounds += 1;
        assert!(rounds <= 6, "the planner does not stop planning moves");
        apply(&mut assignment, &moves);
    }
    let mut used: HashMap<Arc<str>, f64> = HashMap::new();
    for assigned_range in &assignment.assigned_ranges {
        *used.entry(assigned_range.server.clone()).or_default() += loads.of(assigned_range.range);
    }
    let mean = loads.of(KeyRange::ALL) / servers.len() as f64;
    let most = used.values().copied().fold(0.0, f64::max);
    assert!(most <= mean * 1.25, "a load of {most} at a mean of {mean}");
}

/// Distributes the keys among the servers in proportion to their capacities, which are equal here.
fn equal_parts(servers: &[PlanServer]) -> Assignment {
    let mut assignment = Assignment::default();
    for (range, server) in first::first_assignment(servers) {
        let fence = assignment.next_fence(1);
        assignment.put(assigned_range(range.first, range.last, &server, fence));
    }
    assignment
}

#[test]
fn joining_servers_get_keys_even_at_low_load() {
    let ids: Vec<String> = (0..5).map(|n| format!("s{n}")).collect();
    let servers = servers(&ids);
    let mut assignment = equal_parts(&servers[..3]);
    let mut loads = KeyLoads::default();
    for key in (0..=u16::MAX).step_by(64) {
        loads.add(key, 0.01);
    }
    for _ in 0..2 {
        let moves = plan::plan(Inputs {
            assignment: &assignment,
            servers: &servers,
            loads: &loads,
            moving: &[],
            balance_moves_max: 8,
            hot: &[],
            policy: &Policy::default(),
        });
        apply(&mut assignment, &moves);
    }
    for server in &servers {
        let mut held = assignment.assigned_ranges.iter();
        let load: f64 = held
            .by_ref()
            .filter(|assigned| assigned.server == server.id)
            .map(|assigned| loads.of(assigned.range))
            .sum();
        assert!(load > 0.0, "{} has no load", server.id);
    }
}

/// Counts `per_interval` requests in each of `intervals` intervals, for keys that are drawn from
/// `keys` by a fixed pseudo-random sequence.
fn count_drawn(counts: &mut KeyCounts, intervals: u32, per_interval: u32, keys: KeyRange) {
    let mut state = 88_172_645_463_325_252u64;
    for _ in 0..intervals {
        counts.decay();
        for _ in 0..per_interval {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            let key = u64::from(keys.first) + state % u64::from(keys.len());
            counts.add(key as u16, 1, 10.0);
        }
    }
}

#[test]
fn uneven_load_by_chance_moves_little() {
    struct Case {
        name: &'static str,
        servers: usize,
        /// Requests in each interval for all keys; one server can run 1.5 requests in an interval.
        requests: u32,
        moves_max: usize,
    }
    let cases = [
        Case {
            name: "a fifth of the capacity",
            servers: 119,
            requests: 36,
            moves_max: 0,
        },
        Case {
            name: "four fifths of the capacity",
            servers: 119,
            requests: 143,
            moves_max: 3,
        },
        Case {
            name: "nine tenths of the capacity, few servers",
            servers: 11,
            requests: 15,
            moves_max: 1,
        },
    ];
    for case in cases {
        let ids: Vec<String> = (0..case.servers).map(|n| format!("s{n:03}")).collect();
        let mut servers = servers(&ids);
        for server in &mut servers {
            server.capacity_per_s = 15.0;
        }
        let assignment = equal_parts(&servers);
        let mut counts = KeyCounts::default();
        count_drawn(&mut counts, 400, case.requests, KeyRange::ALL);
        let moves = plan::plan(Inputs {
            assignment: &assignment,
            servers: &servers,
            loads: &counts.loads(&assignment.assigned_ranges, 10.0),
            moving: &[],
            balance_moves_max: 30,
            hot: &[],
            policy: &Policy::default(),
        });
        let number = moves.len();
        assert!(number <= case.moves_max, "{}: {number} moves", case.name);
    }
}

#[test]
fn the_first_keys_wait_for_servers_that_are_starting() {
    struct Case {
        /// Times at which the servers start, in milliseconds.
        starts_ms: Vec<u64>,
        requested_ms: u64,
        /// Time, in milliseconds, at which the keys are distributed, and the number of servers that
        /// have started by then.
        result: (u64, usize),
    }
    let cases = [
        Case {
            starts_ms: vec![0, 0, 500, 2_000, 3_500],
            requested_ms: u64::MAX,
            result: (5_000, 5),
        },
        Case {
            starts_ms: vec![0, 700],
            requested_ms: u64::MAX,
            result: (2_500, 2),
        },
        Case {
            starts_ms: vec![0, 700, 1_400],
            requested_ms: 1_000,
            result: (1_000, 2),
        },
        Case {
            starts_ms: (0..20).map(|n| n * 500).collect(),
            requested_ms: u64::MAX,
            result: (5_000, 11),
        },
    ];
    for case in cases {
        let mut wait = FirstAssignmentWait::new(0);
        let started = |now_ms| case.starts_ms.iter().filter(|at| **at <= now_ms).count();
        let mut times = (0..).step_by(100).map(|now_ms| (now_ms, started(now_ms)));
        let requested = |now_ms| now_ms >= case.requested_ms;
        let over = times.find(|(now_ms, n)| wait.is_over(*n, requested(*now_ms), *now_ms));
        assert_eq!(over, Some(case.result));
    }
}

#[test]
fn a_surge_counts_at_once_and_random_variation_does_not() {
    struct Case {
        intervals: u32,
        per_interval: u32,
        is_counted: bool,
    }
    let cases = [
        Case {
            intervals: 4,
            per_interval: 20,
            is_counted: true,
        },
        Case {
            intervals: 4,
            per_interval: 2,
            is_counted: false,
        },
        Case {
            intervals: 1,
            per_interval: 3,
            is_counted: false,
        },
    ];
    let hot = range(30_000, 30_199);
    let assigned_ranges = [assigned_range(30_000, 30_999, "a", 1)];
    for case in cases {
        let mut counts = KeyCounts::default();
        count_drawn(&mut counts, 100, 1, range(30_000, 30_999));
        count_drawn(&mut counts, case.intervals, case.per_interval, hot);
        let load = counts.loads(&assigned_ranges, 10.0).of(hot);
        let truth = f64::from(case.per_interval) * 10.0;
        let seen = load > truth / 2.0;
        assert_eq!(seen, case.is_counted, "{load} of {truth}");
    }
}

#[test]
fn only_keys_beyond_a_servers_capacity_are_hot() {
    let ids: Vec<String> = (0..4).map(|n| format!("s{n}")).collect();
    let servers = servers(&ids);
    let assignment = equal_parts(&servers);
    struct Case {
        loads: &'static [(u16, f32)],
        hot: &'static [u16],
    }
    let cases = [
        Case {
            loads: &[(5, 60.0), (40_000, 20.0)],
            hot: &[],
        },
        Case {
            // Together, the loads of these keys exceed the capacity of a server. Each load alone is
            // below the capacity of a server, so the keys can be moved to different servers.
            loads: &[(5, 50.0), (6, 50.0)],
            hot: &[],
        },
        Case {
            loads: &[(5, 660.0), (6, 50.0), (40_000, 132.0)],
            hot: &[5, 40_000],
        },
    ];
    for case in cases {
        let mut loads = KeyLoads::default();
        for (key, load) in case.loads {
            loads.add(*key, *load);
        }
        let found = hot_keys::find(9, &assignment, &servers, &loads, &Policy::default());
        let keys: Vec<u16> = found.iter().map(|hot| hot.key).collect();
        assert_eq!(keys, case.hot);
        for hot in found {
            let served = hot.admitted(&Policy::default()) * f64::from(hot.load_per_s);
            assert!((66.0..=80.0).contains(&served), "{served} of {hot:?}");
        }
    }
}

#[test]
fn a_hot_key_expires_without_announcements_of_the_leader() {
    let known = HotKeys::default();
    let hot = HotKey {
        service_tag: 9,
        key: 5,
        load_per_s: 660.0,
        capacity_per_s: 66.0,
    };
    known.note_found(9, vec![hot]);
    assert_eq!(known.get(9, 5, 100), None, "not announced yet");
    assert_eq!(known.announce(100), [hot]);
    assert_eq!(known.get(9, 5, 1_000), Some(hot));
    assert_eq!(known.get(9, 5, 1_200), None, "the announcement has expired");
    assert_eq!(known.get(8, 5, 1_000), None);
    assert_eq!(known.get(9, 6, 1_000), None);
    known.note_announced(Vec::new(), 1_000);
    assert_eq!(known.get(9, 5, 1_000), None);
}

fn secret(made_unix_ms: u64) -> Vec<u8> {
    serde_json::to_vec(&SecretRow::generate(made_unix_ms)).expect("JSON")
}

#[test]
fn only_datagrams_sealed_with_a_known_secret_are_opened() {
    let (first, second, unknown_secret) = (secret(1), secret(2), secret(3));
    let seal = |secrets: &[(&[u8], u64)]| {
        let seal = Seal::default();
        for (secret, version) in secrets {
            seal.set(secret, *version).expect("a secret");
        }
        seal
    };
    assert_eq!(Seal::default().seal(b"message"), None);
    let datagram = seal(&[(&first, 1)]).seal(b"message").expect("a datagram");
    let mut changed = datagram.clone();
    changed[10] ^= 1;
    struct Case<'a> {
        name: &'static str,
        reader: Seal,
        datagram: &'a [u8],
        opened: bool,
    }
    let cases = [
        Case {
            name: "the same secret",
            reader: seal(&[(&first, 1)]),
            datagram: &datagram,
            opened: true,
        },
        Case {
            name: "the previous secret",
            reader: seal(&[(&first, 1), (&second, 2)]),
            datagram: &datagram,
            opened: true,
        },
        Case {
            name: "an older version of the secret is not restored",
            reader: seal(&[(&second, 2), (&first, 1)]),
            datagram: &datagram,
            opened: false,
        },
        Case {
            name: "an unknown secret",
            reader: seal(&[(&unknown_secret, 1)]),
            datagram: &datagram,
            opened: false,
        },
        Case {
            name: "no secret",
            reader: Seal::default(),
            datagram: &datagram,
            opened: false,
        },
        Case {
            name: "changed in transit",
            reader: seal(&[(&first, 1)]),
            datagram: &changed,
            opened: false,
        },
        Case {
            name: "too short",
            reader: seal(&[(&first, 1)]),
            datagram: &datagram[..5],
            opened: false,
        },
    ];
    for case in cases {
        let opened = case.reader.open(case.datagram);
        assert_eq!(opened.is_some(), case.opened, "{}", case.name);
    }
    for bad in ["{}", "{\"secret\":\"AAAA\",\"made_unix_ms\":1}", "secret"] {
        assert!(Seal::default().set(bad.as_bytes(), 1).is_err(), "{bad}");
    }
    let day_ms = 24 * 3_600 * 1_000;
    let row = SecretRow::generate(1_000);
    assert!(!row.is_due_for_rotation(day_ms) && row.is_due_for_rotation(day_ms + 2_000));
    assert!(!format!("{row:?}").contains("secret\":"));
}

#[test]
fn routes_are_found_by_host_and_longest_prefix() {
    let limits = CallerLimits {
        head_bytes: 16_384,
        body_bytes: 1 << 20,
        head_timeout_ms: 3_000,
        idle_timeout_ms: 15_000,
    };
    let mut configuration = Configuration::new(1, limits, Vec::new());
    for prefix in ["/a/", "/a/b/", "/", "/a/c/"] {
        let route = Route {
            name: prefix.into(),
            path_prefix: prefix.to_owned(),
            repeatable: true,
            timeout_ms: 500,
            aim_ms: 200,
            priority: 0,
            is_public: false,
            regions: Vec::new(),
            targets: vec![RouteTarget {
                service: "s".into(),
                weight: 1.0,
            }],
            attempts_max: 2,
        };
        let host = if prefix == "/" {
            "other.example"
        } else {
            "one.example"
        };
        configuration.add_route(host, route);
    }
    struct Case {
        host: &'static str,
        path: &'static str,
        prefix: Option<&'static str>,
    }
    let cases = [
        Case {
            host: "one.example",
            path: "/a/b/c",
            prefix: Some("/a/b/"),
        },
        Case {
            host: "one.example:80",
            path: "/a/x",
            prefix: Some("/a/"),
        },
        Case {
            host: "ONE.example",
            path: "/a/c/",
            prefix: Some("/a/c/"),
        },
        Case {
            host: "one.example",
            path: "/a",
            prefix: None,
        },
        Case {
            host: "one.example",
            path: "/b/",
            prefix: None,
        },
        Case {
            host: "other.example",
            path: "/b/",
            prefix: Some("/"),
        },
        Case {
            host: "third.example",
            path: "/a/",
            prefix: None,
        },
    ];
    for case in cases {
        let found = configuration.route(case.host, case.path);
        let prefix = found.map(|route| route.path_prefix.as_str());
        assert_eq!(prefix, case.prefix, "{} {}", case.host, case.path);
    }
}

const FEW_HOSTS: HostCount = HostCount {
    same_zone: 4,
    all: 11,
};

fn server(id: &str, availability_zone: &str, leaving: bool) -> Arc<Server> {
    Arc::new(Server::new(ServerEntry {
        id: id.into(),
        name: id.into(),
        started_ms: 0,
        service: "s".into(),
        address: ([127, 0, 0, 1], 1).into(),
        availability_zone: availability_zone.into(),
        slots: 4,
        leaving,
        cold_ms: 0,
    }))
}

#[test]
fn announcements_of_many_moves_take_few_datagrams() {
    let outbox = Outbox::default();
    let now_ms = clock::now_ms();
    for number in 0..40u16 {
        let announcement = MoveAnnouncement {
            range: range(number, number),
            above_fence: 1,
            time_left: MoveTimeLeft {
                wait: MoveWait::Work,
                remaining_ms: 2_500,
            },
        };
        outbox.announce_move(9, announcement);
        outbox.announce_grant(9, &assigned_range(number, number, "a", 2));
    }
    let later_ms = now_ms + 100;
    let first = outbox.take_due(later_ms);
    let is_move = |message: &Message| matches!(message, Message::Moving { .. });
    assert_eq!(first.len(), 4, "30 and 10 of each");
    assert!(is_move(&first[0]) && is_move(&first[1]) && !is_move(&first[2]));
    assert_eq!(outbox.take_due(later_ms).len(), 0);
    // The leader repeats each announcement of a grant twice.
    assert_eq!(outbox.take_due(now_ms + 5_000).len(), 3);
    assert_eq!(outbox.take_due(now_ms + 9_000).len(), 0);
    for message in first {
        let bytes = postcard::to_stdvec(&message).expect("a message");
        assert!(bytes.len() < 1_200, "{} bytes", bytes.len());
    }
}

#[test]
fn server_changes_are_applied_only_in_order() {
    let change = |version| ServerChange {
        version,
        update: ServerUpdate::Entry(
            server(&format!("i-{version:010}"), "oslo-a", false)
                .entry
                .clone(),
        ),
    };
    let broadcast = ServerChanges {
        selection: Selection::All,
        after: 100,
        up_to: 190,
        changes: (101..=160).map(change).collect(),
    };
    struct Case {
        applied: u64,
        new: Option<usize>,
    }
    let cases = [
        Case {
            applied: 99,
            new: None,
        },
        Case {
            applied: 100,
            new: Some(60),
        },
        Case {
            applied: 150,
            new: Some(10),
        },
        Case {
            applied: 500,
            new: Some(0),
        },
    ];
    for case in cases {
        let new = broadcast.clone().new_after(case.applied);
        assert_eq!(new.map(|changes| changes.len()), case.new);
    }
}

#[test]
fn a_full_table_yields_the_changes_since_the_known_version() {
    let row = |id: &str, version| Row {
        key: id.to_owned(),
        value: Vec::new(),
        version,
        removed: false,
    };
    let mut registry = Registry::default();
    for id in ["a", "b", "c"] {
        registry.put(server(id, "z", false).entry.clone());
    }
    // The reader knows version 10. After it, "b" was removed, "c" was changed and "d" was added.
    let whole = Rows {
        rows: vec![row("a", 4), row("c", 12), row("d", 11)],
        version: 15,
    };
    let changes = registry.difference(&whole, 10);
    let reported: Vec<(&str, u64, bool)> = changes
        .rows
        .iter()
        .map(|row| (row.key.as_str(), row.version, row.removed))
        .collect();
    assert_eq!(
        reported,
        [("d", 11, false), ("c", 12, false), ("b", 15, true)]
    );
    assert_eq!(changes.version, 15);
}

#[test]
fn an_entry_at_the_address_of_another_server_removes_neither() {
    let entry = |id: &str, port| ServerEntry {
        id: id.into(),
        name: id.into(),
        address: ([127, 0, 0, 1], port).into(),
        ..server(id, "z", false).entry.clone()
    };
    // The registry cannot tell which of the two entries is the later one: either may be a late
    // heartbeat of an earlier incarnation.
    for puts in [
        [("a", 1), ("b", 1)],
        [("b", 1), ("a", 1)],
        [("a", 1), ("b", 2)],
    ] {
        let mut registry = Registry::default();
        for (id, port) in puts {
            registry.put(entry(id, port));
        }
        for id in ["a", "b"] {
            assert!(registry.server(id).is_some(), "{id} of {puts:?}");
            assert!(registry.former(id).is_none());
        }
    }
}

/// A warm server with four slots, all free, and a run time of 50 ms.
const GOOD: Candidate = Candidate {
    slots: 4,
    load: 0,
    run_ms: 50.0,
    since_outcome_ms: 0,
    slowdown: 1.0,
    failures: 0.0,
    is_paused: false,
    is_same_zone: true,
    is_other_region: false,
    has_idle_connection: false,
};

/// Picks a server for a request whose latency objective and deadline are in one second.
fn pick(servers: &[Candidate]) -> Option<usize> {
    let inputs = choice::Inputs {
        servers,
        typical_ms: admission::typical_run_ms(servers.iter().map(|server| server.run_ms)),
        demand: Demand {
            objective_ms: 1_000,
            deadline_ms: 1_000,
            run_share: 1.0,
            is_urgent: false,
        },
        hosts: FEW_HOSTS,
    };
    choice::pick(inputs, &Policy::default(), &mut rand::rng())
}

/// Returns [`GOOD`] with the share of failures and the pause that result from the attempts.
fn after(attempts: fn(&mut AttemptStats)) -> Candidate {
    let mut attempt_stats = AttemptStats::default();
    attempts(&mut attempt_stats);
    Candidate {
        failures: attempt_stats.failures(10),
        is_paused: attempt_stats.is_paused(10),
        ..GOOD
    }
}

#[test]
fn the_choice_avoids_full_slow_and_failing_servers() {
    struct Case {
        name: &'static str,
        bad: Candidate,
    }
    let cases = [
        Case {
            name: "full",
            bad: Candidate { load: 16, ..GOOD },
        },
        Case {
            name: "slow",
            bad: Candidate {
                run_ms: 500.0,
                ..GOOD
            },
        },
        Case {
            name: "failing",
            bad: after(|server| (0..10).for_each(|_| server.failed(10))),
        },
        Case {
            name: "not connected",
            bad: after(|server| server.not_connected(10)),
        },
    ];
    for case in cases {
        for _ in 0..50 {
            assert_eq!(pick(&[case.bad, GOOD]), Some(1), "{}", case.name);
        }
    }
}

#[test]
fn servers_that_leave_or_were_tried_are_not_usable() {
    let mut registry = Registry::default();
    for id in ["a", "b", "c"] {
        registry.put(server(id, "z", id == "b").entry.clone());
    }
    let usable = |tried: &[Arc<str>]| {
        let servers = registry.usable("s", tried).into_iter();
        servers.map(|s| s.entry.id.to_string()).collect::<Vec<_>>()
    };
    assert_eq!(usable(&[]), ["a", "c"]);
    assert_eq!(usable(&["a".into()]), ["c"]);
    assert_eq!(usable(&["a".into(), "c".into()]), Vec::<String>::new());
    assert!(registry.usable("another", &[]).is_empty());
}

#[test]
fn samples_of_a_server_expire() {
    let mut attempt_stats = AttemptStats::default();
    attempt_stats.answered(50.0, true, 1_000);
    attempt_stats.failed(1_000);
    attempt_stats.not_connected(1_000);
    assert_eq!(attempt_stats.run_ms(2_000), 50.0);
    assert!(attempt_stats.is_paused(1_100) && !attempt_stats.is_paused(1_300));
    assert!(attempt_stats.failures(1_000) > 0.2);
    assert!(attempt_stats.failures(10_000) < 0.05);
    assert_eq!(attempt_stats.run_ms(10_000), 0.0);
}

#[test]
fn capacity_estimates_stay_within_a_range_around_the_mean() {
    struct Case {
        run_ms: f64,
        capacity_per_s: f64,
    }
    let cases = [
        Case {
            run_ms: 0.0,
            capacity_per_s: 40.0,
        },
        Case {
            run_ms: 80.0,
            capacity_per_s: 50.0,
        },
        Case {
            run_ms: 2.0,
            capacity_per_s: 40.0 / 0.6,
        },
        Case {
            run_ms: 4_000.0,
            capacity_per_s: 10.0,
        },
    ];
    for case in cases {
        let server = Candidate {
            run_ms: case.run_ms,
            ..GOOD
        };
        let capacity = admission::capacity_per_s(&server, 100.0);
        assert!((capacity - case.capacity_per_s).abs() < 0.1, "{capacity}");
    }
}

#[test]
fn the_choice_prefers_near_and_unknown_servers_and_avoids_full_ones() {
    let full = Candidate { load: 16, ..GOOD };
    assert_eq!(pick(&[]), None);
    assert_eq!(pick(&[full, full]), None);
    let far = Candidate {
        is_same_zone: false,
        ..GOOD
    };
    let picks = (0..100).filter(|_| pick(&[GOOD, far]) == Some(0));
    assert_eq!(picks.count(), 100, "the server of the own zone");
    let unknown = Candidate { run_ms: 0.0, ..far };
    assert_eq!(pick(&[GOOD, unknown]), Some(1), "a server without samples");
}

#[test]
fn report_traffic_is_bounded_for_any_number_of_hosts() {
    struct Case {
        hosts: usize,
        every_ms: u64,
    }
    let cases = [
        Case {
            hosts: 11,
            every_ms: 100,
        },
        Case {
            hosts: 60,
            every_ms: 150,
        },
        Case {
            hosts: 640,
            every_ms: 1_000,
        },
    ];
    for case in cases {
        assert_eq!(report_every_ms(case.hosts), case.every_ms);
        let datagrams_per_s = case.hosts as u64 * 1_000 / case.every_ms;
        assert!(datagrams_per_s <= 640, "{datagrams_per_s}");
    }
}

#[test]
fn all_hosts_together_stay_within_the_retry_budget() {
    let bounds = Bounds {
        revocation_ms: None,
        drain_ms: 2_000,
        configuration_ms: 2_000,
        contact_ms: 3_000,
        evacuation_ms: 5_000,
        stop_grace_ms: 6_000,
        lease_max_ms: 10_000,
        retry_window_ms: 10_000,
        retry_ratio: 0.2,
        retry_allowance: 62.0,
    };
    let service: Arc<str> = "s".into();
    for hosts in [1usize, 4, 11, 90] {
        for requests in [0u32, 10, 400] {
            let mut retries = 0;
            for _ in 0..hosts {
                let budget = RetryBudget::new(&bounds);
                for _ in 0..requests {
                    budget.request(&service, hosts, 0);
                    // Each request asks for three retries, more than any route allows.
                    retries += (0..3).filter(|_| budget.retry(&service, hosts, 0)).count();
                }
            }
            let all = f64::from(requests) * hosts as f64;
            let allowed = bounds.retry_ratio * all + bounds.retry_allowance.max(hosts as f64);
            assert!(
                retries as f64 <= allowed,
                "{hosts} hosts, {requests}: {retries}"
            );
            if requests == 400 {
                assert!(retries as f64 >= 0.1 * all, "{hosts} hosts: only {retries}");
            }
        }
    }
}

#[test]
fn settings_report_all_their_problems() {
    let good = "name: h\navailability_zone: z\nlisten: {callers: '127.0.0.1:1', \
        readiness: '127.0.0.1:2', peers: '127.0.0.1:3', metrics: '127.0.0.1:4'}\n\
        store: {address: '127.0.0.1:5', server_heartbeat: 870ms}\n\
        bounds: {stop_grace: 6s, lease_max: 10000ms, retry_window: 10s, retry_ratio: 0.2, \
        retry_allowance: 62}\n";
    struct Case {
        text: String,
        problems: &'static [&'static str],
    }
    let cases = [
        Case {
            text: good.to_owned(),
            problems: &[],
        },
        Case {
            text: good
                .replace("10000ms", "3s")
                .replace("ratio: 0.2", "ratio: 1.5"),
            problems: &["leases.lease_ms", "bounds.retry_ratio"],
        },
        Case {
            text: good.replace("870ms", "often"),
            problems: &["duration"],
        },
        Case {
            text: good.replace("name: h", "name: h\nsurname: x"),
            problems: &["surname"],
        },
        Case {
            text: good.replace("store:", "shop:"),
            problems: &["shop"],
        },
        Case {
            text: format!(
                "{good}policy: {{shortage_begin: 1.1, shortage_end: 1.2, shortage_queue_share: 0}}\n"
            ),
            problems: &["policy.shortage_begin", "policy.shortage_queue_share"],
        },
        Case {
            text: format!("{good}policy: {{shortage_begin: .nan, shortage_end: 0.0}}\n"),
            problems: &["policy.shortage_begin", "policy.shortage_end"],
        },
    ];
    let directory = std::env::temp_dir().join(format!("ashroad-rules-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("directory");
    for (number, case) in cases.iter().enumerate() {
        let path = directory.join(format!("{number}.yaml"));
        std::fs::write(&path, &case.text).expect("file");
        let message = Settings::read(&path).err().map(|error| error.to_string());
        assert_eq!(message.is_none(), case.problems.is_empty(), "{message:?}");
        for problem in case.problems {
            let reported = message.as_ref().is_some_and(|m| m.contains(problem));
            assert!(reported, "{problem} in {message:?}");
        }
    }
}

#[test]
fn losses_are_counted_by_time_route_and_reason() {
    let line = |at_ms: u64, decision: &str, reason: &str, server: &str, load: u32| {
        format!(
            "1.5 host-1 {{\"at_unix_ms\":{at_ms},\"event\":\"request\",\"route\":\"r\",\"decision\":\
             \"{decision}\",\"reason\":\"{reason}\",\"server\":\"{server}\",\"load\":{load},\"after_ms\":10}}"
        )
    };
    let text = [
        line(100_000, "refused", "full: 4.5 for each served", "a", 6),
        line(101_999, "refused", "full: 12.25 for each served", "b", 8),
        line(102_000, "refused", "full: 1 for each served", "a", 9),
        line(100_100, "answered", "status 200 OK", "a", 1),
        line(100_200, "failed", "no answer", "a", 1),
        "1.6 host-1 {\"at_unix_ms\":100000,\"event\":\"dropped\",\"lines\":7}".to_owned(),
        "no event".to_owned(),
    ]
    .join("\n");
    let source = Source {
        name: "host-1",
        text: &text,
    };
    let found = losses(&[source], 2);
    assert_eq!(found.dropped_lines, 7);
    let loss = |at_unix_s, decision: &str, reason: &str, requests, servers, load_mean| Loss {
        at_unix_s,
        route: "r".to_owned(),
        decision: decision.to_owned(),
        reason: reason.to_owned(),
        requests,
        servers,
        load_mean,
        after_mean_ms: 10.0,
    };
    let expected = [
        loss(100, "failed", "no answer", 1, 1, 1.0),
        loss(100, "refused", "full: N for each served", 2, 2, 7.0),
        loss(102, "refused", "full: N for each served", 1, 1, 9.0),
    ];
    assert_eq!(found.losses, expected);
}
