//! Entry hosts as real processes, tested against stand-ins of the platform's store and of backend
//! servers.

mod platform_standin;

use std::time::{Duration, Instant};

use ashroad::entry::keys::{AssignedRange, Assignment, KeyRange};
use http::StatusCode;
use tokio::time;

use self::platform_standin::{
    caller::{Caller, TestRequest, send_once},
    hosts::Host,
    proxy::{Mode, Proxy},
    server::Server,
    site::{KEYED, ORDERS, Site, configuration, eventually, get},
    store::Faults,
};

/// Returns a GET request for key 7 with the given request id.
fn read<'a>(id: &'a str, path: &'a str) -> TestRequest<'a> {
    TestRequest {
        method: "GET",
        path,
        id,
        key: Some(7),
        deadline_ms: 800,
    }
}

/// Returns a POST request without a key, which hosts must not repeat, with the given request id.
fn order<'a>(id: &'a str) -> TestRequest<'a> {
    TestRequest {
        method: "POST",
        path: "/orders/new?count=2",
        id,
        key: None,
        deadline_ms: 800,
    }
}

#[tokio::test]
async fn requests_are_routed_and_responses_are_exact() {
    struct Case {
        ask: TestRequest<'static>,
        status: StatusCode,
        body: &'static str,
        signed: bool,
    }
    let cases = [
        Case {
            ask: read("id-1", "/keyed/level"),
            status: StatusCode::OK,
            body: "id-1 /keyed/level 0",
            signed: true,
        },
        Case {
            ask: order("id-2"),
            status: StatusCode::OK,
            body: "id-2 /orders/new 6",
            signed: true,
        },
        Case {
            ask: read("id-3", "/keyed"),
            status: StatusCode::NOT_FOUND,
            body: "no route",
            signed: false,
        },
        Case {
            ask: read("id-4", "/elsewhere/"),
            status: StatusCode::NOT_FOUND,
            body: "no route",
            signed: false,
        },
    ];
    let site = Site::start(2, 2).await;
    for host in &site.hosts {
        for case in &cases {
            let response = send_once(host.callers, case.ask).await.expect("a response");
            assert_eq!(response.status, case.status, "{case:?}", case = case.ask);
            assert_eq!(response.body, case.body);
            assert_eq!(
                response.headers.contains_key("server-signature"),
                case.signed
            );
            if case.signed {
                assert_eq!(response.headers["request-id"], case.ask.id);
            }
        }
    }
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn a_host_without_configuration_refuses() {
    let store = platform_standin::store::Store::start().await;
    let host = Host::start(&store);
    eventually("the host listens", 5_000, async || {
        Caller::connect(host.callers).await.is_some()
    })
    .await;
    let response = send_once(host.callers, read("id", "/keyed/")).await;
    let response = response.expect("a response");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers.contains_key("retry-after"));
    let ready = send_once(host.readiness, read("id", "/readyz")).await;
    assert_eq!(
        ready.expect("a response").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
}

#[tokio::test]
async fn configurations_take_effect_and_never_revert() {
    let site = Site::start(2, 1).await;
    let added = |id| read(id, "/added/x");
    site.store
        .put("op", "config", &configuration(0x10, &["/added/"]));
    for host in &site.hosts {
        eventually("the new route is served", 2_000, async || {
            let response = send_once(host.callers, added("id")).await;
            response.is_some_and(|response| response.status == StatusCode::OK)
        })
        .await;
    }
    // Writes an older version of the configuration, as a stale read would return it, and compacts
    // the store's history, so that the feeds must read the whole table again.
    site.store.put("op", "config", &configuration(0x0f, &[]));
    site.store.compact_history();
    time::sleep(Duration::from_millis(600)).await;
    for host in &site.hosts {
        let response = send_once(host.callers, added("id"))
            .await
            .expect("a response");
        assert_eq!(response.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn a_configuration_is_in_force_soon_after_a_silent_store_is_back() {
    let site = Site::start(1, 1).await;
    // The outages differ in length, so that they end at different phases of the feeds' retry
    // interval.
    for (version, outage_ms) in [(0x10, 5_000), (0x20, 6_300), (0x30, 7_700)] {
        site.store.set_faults(Faults {
            silent: true,
            ..Faults::default()
        });
        time::sleep(Duration::from_millis(outage_ms)).await;
        site.store.set_faults(Faults::default());
        let prefix = format!("/added-{version}/");
        site.store
            .put("op", "config", &configuration(version, &[&prefix]));
        eventually("the new route is served", 2_000, async || {
            let response = send_once(site.hosts[0].callers, read("id", &prefix)).await;
            response.is_some_and(|response| response.status == StatusCode::OK)
        })
        .await;
    }
}

#[tokio::test]
async fn hosts_that_hear_the_duty_holder_rarely_call_the_store() {
    let site = Site::start(5, 2).await;
    time::sleep(Duration::from_millis(4_000)).await;
    // Uses the lowest count of up to three periods. If the leader gets no processor time for 2 s,
    // the other hosts consider it unresponsive and call the store themselves.
    let mut least = u64::MAX;
    for _ in 0..3 {
        let before = site.store.calls();
        time::sleep(Duration::from_millis(9_000)).await;
        least = least.min(site.store.calls() - before);
        if least <= 22 {
            break;
        }
    }
    // Allows for the leader's renewals of the leadership every 0.7 s, its feed calls every 3 s, and
    // a few more calls.
    assert!(least <= 22, "{least} calls");
}

#[tokio::test]
async fn answers_come_by_the_deadline() {
    let site = Site::start(1, 2).await;
    for server in &site.orders {
        server.lose_responses(2);
    }
    let mut late = 0;
    let mut unanswered = 0;
    for number in 0..12 {
        let id = format!("lost-{number}");
        let began = Instant::now();
        let response = send_once(site.hosts[0].callers, order(&id)).await;
        let status = response.expect("a response").status;
        unanswered += u32::from(status == StatusCode::GATEWAY_TIMEOUT);
        late += u32::from(began.elapsed() > Duration::from_millis(1_000));
    }
    assert!(unanswered > 0);
    // One response may be late because the host got no processor time.
    assert!(
        late <= 1,
        "{late} of 12 responses came over 0.2 s after their deadline"
    );
}

#[tokio::test]
async fn all_hosts_know_the_first_holdings_at_once() {
    let mut site = Site::start_servers(2).await;
    for _ in 0..5 {
        site.hosts.push(Host::start(&site.store));
    }
    eventually("all keys are held", 8_000, async || {
        site.keyed.iter().map(Server::keys_held).sum::<usize>() == 1 << 16
    })
    .await;
    time::sleep(Duration::from_millis(800)).await;
    for host in &site.hosts {
        assert_eq!(get(host, 7).await, Some(StatusCode::OK));
    }
}

#[tokio::test]
async fn unauthenticated_datagrams_change_nothing() {
    let site = Site::start(2, 1).await;
    let unauthenticated = tokio::net::UdpSocket::bind("127.0.0.1:0").await;
    let unauthenticated = unauthenticated.expect("a socket");
    // The message claims the leadership for term 99. Each host gets the message once without a seal
    // and once with a guessed seal.
    let claim = [5, 0, 99, 0, 0, 0, 0, 0, 0];
    let guessed = [&[7; 8], &claim[..]].concat();
    for host in &site.hosts {
        for datagram in [&claim[..], &guessed, &[], &[0; 2_000]] {
            let sent = unauthenticated.send_to(datagram, host.peers).await;
            assert_eq!(sent.expect("a datagram"), datagram.len());
        }
    }
    time::sleep(Duration::from_millis(1_000)).await;
    for host in &site.hosts {
        assert_eq!(host.events("duty_lost"), Vec::<String>::new());
    }
}

#[tokio::test]
async fn an_unavailable_store_is_called_rarely() {
    let site = Site::start(5, 2).await;
    time::sleep(Duration::from_millis(3_000)).await;
    site.store.set_faults(Faults {
        refusing: true,
        ..Faults::default()
    });
    time::sleep(Duration::from_millis(4_000)).await;
    let before = site.store.calls();
    time::sleep(Duration::from_millis(4_000)).await;
    let calls = site.store.calls() - before;
    // Allows for one call of each host every 0.4 to 0.6 s, and for the leader's renewals of the
    // leadership and its reads.
    assert!(calls <= 5 * 10 + 14, "{calls} calls");
}

#[tokio::test]
async fn a_host_detects_stalled_feeds_from_the_duty_holders_reports() {
    let mut site = Site::start(1, 1).await;
    let proxy = Proxy::start(site.store.address).await;
    site.hosts.push(Host::start_at(proxy.address));
    site.await_ready().await;
    time::sleep(Duration::from_millis(4_000)).await;
    // The feed calls of the second host wait at the store at this time. Changes that the store
    // sends to this host while the proxy is silent never arrive.
    proxy.set(Mode::Silent);
    time::sleep(Duration::from_millis(300)).await;
    let added = configuration(0x10, &["/added/"]);
    site.store.put("op", "config", &added);
    time::sleep(Duration::from_millis(2_500)).await;
    proxy.set(Mode::Pass);
    eventually("the new route is served", 1_500, async || {
        let response = send_once(site.hosts[1].callers, read("id", "/added/x")).await;
        response.is_some_and(|response| response.status == StatusCode::OK)
    })
    .await;
}

#[tokio::test]
async fn a_large_configuration_arrives_over_a_slow_link() {
    let mut site = Site::start(1, 1).await;
    let proxy = Proxy::start(site.store.address).await;
    site.hosts.push(Host::start_at(proxy.address));
    site.await_ready().await;
    time::sleep(Duration::from_millis(4_000)).await;
    proxy.set(Mode::Throttled);
    let prefixes: Vec<String> = (0..600).map(|number| format!("/added-{number}/")).collect();
    let prefixes: Vec<&str> = prefixes.iter().map(String::as_str).collect();
    let large = configuration(0x10, &prefixes);
    // The configuration is so large that its transfer to the host behind the slow link takes over a
    // second, while the leader gets the configuration at once.
    assert!(large.to_string().len() > 80_000);
    site.store.put("op", "config", &large);
    eventually("the new route is served", 2_500, async || {
        let response = send_once(site.hosts[1].callers, read("id", "/added-599/x")).await;
        response.is_some_and(|response| response.status == StatusCode::OK)
    })
    .await;
}

#[tokio::test]
async fn a_host_notices_removed_servers_soon_after_a_partition() {
    let mut site = Site::start_servers(2).await;
    let proxy = Proxy::start(site.store.address).await;
    site.hosts.push(Host::start_at(proxy.address));
    site.await_ready().await;
    proxy.set(Mode::Silent);
    time::sleep(Duration::from_millis(6_000)).await;
    let removed_server = &site.orders[0];
    site.store.remove("servers", &removed_server.id);
    site.store.compact_history();
    time::sleep(Duration::from_millis(500)).await;
    // Resets the connections, so that data held back by the proxy is not delivered later.
    proxy.set(Mode::Reset);
    time::sleep(Duration::from_millis(50)).await;
    proxy.set(Mode::Pass);
    time::sleep(Duration::from_millis(3_000)).await;
    let served = removed_server.served();
    for number in 0..30 {
        let id = format!("after-{number}");
        send_once(site.hosts[0].callers, order(&id)).await;
    }
    assert_eq!(removed_server.served(), served);
}

#[tokio::test]
async fn a_stopping_host_finishes_requests_in_flight_and_refuses_late_ones() {
    let mut site = Site::start(2, 1).await;
    let mut unused = Caller::connect(site.hosts[0].callers)
        .await
        .expect("connection");
    let mut persistent = Caller::connect(site.hosts[0].callers)
        .await
        .expect("connection");
    assert!(persistent.ask(order("before")).await.is_some());
    site.hosts[0].signal("TERM");
    let began = Instant::now();
    time::sleep(Duration::from_millis(100)).await;
    let ready = send_once(site.hosts[0].readiness, read("id", "/readyz")).await;
    assert_eq!(
        ready.expect("a response").status,
        StatusCode::SERVICE_UNAVAILABLE
    );
    let response = persistent.ask(order("during")).await.expect("a response");
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.headers["connection"], "close");
    // A connection that a caller opened before the stop and never used stays open after the host
    // has closed its listener.
    time::sleep(Duration::from_millis(5_150).saturating_sub(began.elapsed())).await;
    if let Some(response) = unused.ask(order("late")).await {
        assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers.contains_key("retry-after"));
    }
    assert_eq!(site.record.runs("late"), 0);
    let host = &mut site.hosts[0];
    eventually(
        "the process exits within the grace period",
        6_000,
        async || host.has_exited(),
    )
    .await;
    assert!(began.elapsed() < Duration::from_millis(6_000));
}

#[tokio::test]
async fn keys_stay_served_when_the_duty_holder_is_killed() {
    let mut site = Site::start(3, 3).await;
    let leader = site
        .hosts
        .iter()
        .position(|host| !host.events("duty_taken").is_empty())
        .expect("a leader");
    site.hosts[leader].kill();
    let others: Vec<&Host> = (0..3)
        .filter(|i| *i != leader)
        .map(|i| &site.hosts[i])
        .collect();
    // Leases last longer than a takeover of the leadership, so every key is served throughout.
    let until = Instant::now() + Duration::from_millis(7_000);
    while Instant::now() < until {
        for key in [3, 30_000, 60_000] {
            assert_eq!(get(others[0], key).await, Some(StatusCode::OK));
        }
        time::sleep(Duration::from_millis(40)).await;
    }
    assert!(
        others
            .iter()
            .any(|host| !host.events("duty_taken").is_empty())
    );
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn a_restarted_duty_holder_soon_moves_keys_of_a_crashed_server() {
    let mut site = Site::start(2, 3).await;
    let leader = site
        .hosts
        .iter()
        .position(|host| !host.events("duty_taken").is_empty())
        .expect("a leader");
    site.hosts[leader].kill();
    site.keyed[0].crash(&site.store);
    time::sleep(Duration::from_millis(1_000)).await;
    site.hosts[leader].restart();
    // If the next leader does not learn that the previous leader's term has ended, it waits 13 s,
    // and then the duration of a lease.
    eventually("all keys are held", 12_000, async || {
        site.keyed[1..].iter().map(Server::keys_held).sum::<usize>() == 1 << 16
    })
    .await;
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn a_late_heartbeat_of_an_earlier_incarnation_takes_no_keys() {
    let site = Site::start(2, 3).await;
    let live_server = &site.keyed[0];
    let held = live_server.keys_held();
    assert!(held > 0);
    // The store accepts a late entry of an earlier incarnation of the server at the same address.
    live_server.register_another(&site.store, "i-earlier");
    time::sleep(Duration::from_millis(2_000)).await;
    site.store.remove("servers", "i-earlier");
    time::sleep(Duration::from_millis(2_000)).await;
    assert_eq!(live_server.keys_held(), held);
    for host in &site.hosts {
        for key in [3, 30_000, 60_000] {
            assert_eq!(get(host, key).await, Some(StatusCode::OK));
        }
    }
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn a_restarted_duty_holder_resumes_the_duty_at_once() {
    let mut site = Site::start(3, 2).await;
    let taken = |host: &Host| host.events("duty_taken").len();
    let leader = site.hosts.iter().position(|host| taken(host) > 0);
    let leader = leader.expect("a leader");
    for host in &mut site.hosts {
        host.kill();
    }
    for host in &mut site.hosts {
        host.restart();
    }
    // The 1.2 s are well below the time without a change of the leadership row after which any host
    // may take over the leadership.
    eventually(
        "the previous leader is the leader again",
        1_200,
        async || taken(&site.hosts[leader]) == 2,
    )
    .await;
    site.await_ready().await;
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn a_planned_stop_of_the_duty_holder_hands_the_duty_over() {
    let site = Site::start(2, 2).await;
    let is_leader = |host: &&Host| !host.events("duty_taken").is_empty();
    let leader = site.hosts.iter().find(is_leader).expect("a leader");
    let other = site
        .hosts
        .iter()
        .find(|host| !is_leader(host))
        .expect("another host");
    leader.signal("TERM");
    eventually(
        "the other host takes over the leadership",
        2_500,
        async || {
            let taken = other.events("duty_taken");
            taken
                .iter()
                .any(|line| line.contains("\"handed_over\":true"))
        },
    )
    .await;
}

#[tokio::test]
async fn keys_of_servers_that_leave_crash_or_fall_silent_are_served_again() {
    struct Case {
        name: &'static str,
        /// Longest time until all keys are served again.
        limit_ms: u64,
        leave: fn(&Site, &Server),
    }
    let cases = [
        Case {
            name: "drains",
            limit_ms: 1_500,
            leave: |site, server| server.write_entry(&site.store, "draining"),
        },
        Case {
            name: "its entry is removed while it still serves",
            limit_ms: 1_500,
            leave: |site, server| site.store.remove("servers", &server.id),
        },
        Case {
            name: "crashes",
            limit_ms: 7_000,
            leave: |site, server| server.crash(&site.store),
        },
        Case {
            name: "falls silent",
            limit_ms: 9_000,
            leave: |_, server| server.set_silent(true),
        },
    ];
    for case in cases {
        let site = Site::start(2, 3).await;
        let leaving = &site.keyed[0];
        assert!(leaving.keys_held() > 0, "{}", case.name);
        (case.leave)(&site, leaving);
        let others = &site.keyed[1..];
        eventually(case.name, case.limit_ms, async || {
            let held: usize = others.iter().map(Server::keys_held).sum();
            held == 1 << 16
        })
        .await;
        assert_eq!(leaving.keys_held(), 0, "{}", case.name);
        for key in (0..=u16::MAX).step_by(4_001) {
            assert_eq!(
                get(&site.hosts[1], key).await,
                Some(StatusCode::OK),
                "{}",
                case.name
            );
        }
        assert_eq!(
            site.record.violations(),
            Vec::<String>::new(),
            "{}",
            case.name
        );
    }
}

#[tokio::test]
async fn leases_outlast_an_outage_of_the_store() {
    let faults = [
        Faults {
            silent: true,
            ..Faults::default()
        },
        Faults {
            refusing: true,
            ..Faults::default()
        },
    ];
    for faults in faults {
        let site = Site::start(2, 2).await;
        site.store.set_faults(faults);
        let until = Instant::now() + Duration::from_millis(9_000);
        while Instant::now() < until {
            for key in [5, 50_000] {
                assert_eq!(
                    get(&site.hosts[0], key).await,
                    Some(StatusCode::OK),
                    "{faults:?}"
                );
            }
            time::sleep(Duration::from_millis(100)).await;
        }
        site.store.set_faults(Faults::default());
        // Soon after the store responds again, hosts learn of a server that registers and send it
        // requests.
        let joined = Server::start(&site.store, &site.record, ORDERS).await;
        eventually("a server that joined is used", 6_000, async || {
            for _ in 0..8 {
                let id = format!("{:016x}", rand::random::<u64>());
                send_once(site.hosts[0].callers, order(&id)).await;
            }
            joined.served() > 0
        })
        .await;
        assert_eq!(site.record.violations(), Vec::<String>::new());
    }
}

#[tokio::test]
async fn the_duty_holder_remembers_its_leases_over_a_long_outage() {
    // The outage lasts longer than the time for which a leader may grant leases without confirming
    // its leadership in the store. A server that begins to drain after the outage still holds its
    // keys when the store responds again.
    let site = Site::start(1, 3).await;
    site.store.set_faults(Faults {
        refusing: true,
        ..Faults::default()
    });
    time::sleep(Duration::from_millis(13_200)).await;
    site.store.set_faults(Faults::default());
    let leaving = &site.keyed[0];
    leaving.write_entry(&site.store, "draining");
    let until = Instant::now() + Duration::from_millis(4_000);
    while Instant::now() < until {
        for key in (0..=u16::MAX).step_by(2_003) {
            get(&site.hosts[0], key).await;
        }
    }
    assert_eq!(leaving.keys_held(), 0);
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn an_unfinished_move_is_finished_before_its_keys_move_again() {
    // By the stored record of an earlier leader, all keys move from the first server to the second,
    // which begins to drain in the meantime. The first server still holds all keys.
    let mut site = Site::start_servers(3).await;
    site.keyed[0].hold_all(4, 20_000);
    let assignment = Assignment {
        fence: 5,
        assigned_ranges: vec![AssignedRange {
            range: KeyRange::ALL,
            server: site.keyed[1].id.as_str().into(),
            fence: 5,
            from: Some(site.keyed[0].id.as_str().into()),
        }],
    };
    let record = assignment.encode().expect("a record");
    site.store.put_bytes("ashroad", "keys/keyed", &record);
    site.keyed[1].write_entry(&site.store, "draining");
    site.hosts.push(Host::start(&site.store));
    site.await_ready().await;
    assert_eq!(site.keyed[1].keys_held(), 0);
    for key in (0..=u16::MAX).step_by(1_001) {
        assert_eq!(get(&site.hosts[0], key).await, Some(StatusCode::OK));
    }
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn lost_answers_of_the_store_do_no_harm() {
    let site = Site::start_servers(3).await;
    site.store.set_faults(Faults {
        lose_response_every: 3,
        ..Faults::default()
    });
    let hosts = [Host::start(&site.store), Host::start(&site.store)];
    eventually("all keys are held", 10_000, async || {
        site.keyed.iter().map(Server::keys_held).sum::<usize>() == 1 << 16
    })
    .await;
    site.keyed[0].write_entry(&site.store, "draining");
    eventually("the keys have moved", 10_000, async || {
        site.keyed[0].keys_held() == 0
            && site.keyed[1..].iter().map(Server::keys_held).sum::<usize>() == 1 << 16
    })
    .await;
    let status = get(&hosts[0], 9).await;
    if status != Some(StatusCode::OK) {
        // Waits until the host has written its log, which states the reason for the failure. The
        // log is written every 0.2 s.
        time::sleep(Duration::from_millis(500)).await;
        panic!("{status:?}: {:#?}", hosts[0].events("request"));
    }
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn unrepeatable_requests_run_at_most_once_when_responses_are_lost() {
    let site = Site::start(2, 2).await;
    for server in &site.orders {
        server.lose_responses(4);
    }
    let mut statuses = Vec::new();
    for number in 0..40 {
        let id = format!("order-{number}");
        let response = send_once(site.hosts[number % 2].callers, order(&id)).await;
        let status = response.expect("a response").status;
        assert!(site.record.runs(&id) <= 1, "{id} ran twice");
        if status == StatusCode::SERVICE_UNAVAILABLE {
            assert_eq!(site.record.runs(&id), 0, "{id} ran after a refusal");
        }
        statuses.push(status);
    }
    assert!(statuses.contains(&StatusCode::GATEWAY_TIMEOUT));
}

#[tokio::test]
async fn servers_that_join_get_keys_by_load() {
    let site = Site::start(2, 2).await;
    let joined = Server::start(&site.store, &site.record, KEYED).await;
    let until = Instant::now() + Duration::from_millis(8_000);
    let mut key = 0u16;
    while joined.keys_held() == 0 {
        assert!(Instant::now() < until, "the new server got no keys");
        for host in &site.hosts {
            key = key.wrapping_add(977);
            get(host, key).await;
        }
    }
    assert_eq!(site.record.violations(), Vec::<String>::new());
}
