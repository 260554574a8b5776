//! Tests with host processes of servers of a contended service that end, or only seem to have
//! ended. A background task checks in each test that no key has two owners.

mod platform_standin;

use std::time::{Duration, Instant};

use tokio::time;

use self::platform_standin::{
    caller::{TestRequest, send_once},
    hosts::Host,
    proxy::{Mode, Proxy},
    server::{Place, Server, ServerKind},
    site::{CONTENDED, ORDERS, Site, all_keys_held, eventually, get},
};

/// Duration of a lease.
const LEASE_MS: u64 = 4_000;
/// Start time that the entries of servers state.
const STARTED_MS: u64 = 1_791_000_000_000;
/// Time after its last heartbeat at which the platform removes the entry of a server.
const ENTRY_LAPSE_MS: u64 = 2_400;

fn is_leader(host: &Host) -> bool {
    !host.events("duty_taken").is_empty()
}

fn leader(site: &Site) -> usize {
    let leader = site.hosts.iter().position(is_leader);
    leader.expect("a host is the leader")
}

/// Returns the logged ends of servers, after the time in which hosts write their buffered log lines.
async fn ended_events(site: &Site) -> Vec<String> {
    time::sleep(Duration::from_millis(600)).await;
    let hosts = site.hosts.iter();
    hosts
        .flat_map(|host| host.events("server_process_ended"))
        .collect()
}

/// Waits until the servers together hold all keys. Returns the time since `since`.
async fn all_keys_held_ms(servers: &[Server], since: Instant, limit_ms: u64) -> u64 {
    eventually("all keys are held", limit_ms, async || {
        servers.iter().map(Server::keys_held).sum::<usize>() == 1 << 16
    })
    .await;
    since.elapsed().as_millis() as u64
}

/// Guards against keys that wait for leases that an earlier leader may have granted, although
/// nothing listens at the addresses of their servers: the wait takes 13 s.
#[tokio::test]
async fn keys_of_servers_lost_with_the_leader_are_served_within_a_lease_and_two_seconds() {
    let mut site = Site::start_contended(3, 6).await;
    let lost_leader = leader(&site);
    site.hosts[lost_leader].kill();
    time::sleep(Duration::from_millis(1_200)).await;
    let lost_at = Instant::now();
    for server in &site.keyed[..3] {
        server.end_process();
    }
    let lapse = async {
        time::sleep(Duration::from_millis(ENTRY_LAPSE_MS)).await;
        for server in &site.keyed[..3] {
            server.remove_entry(&site.store);
        }
    };
    let held = all_keys_held_ms(&site.keyed[3..], lost_at, 20_000);
    let (held_ms, ()) = tokio::join!(held, lapse);
    println!(
        "all keys held after {held_ms} ms: {:#?}",
        ended_events(&site).await
    );
    assert!(held_ms < LEASE_MS + 2_000, "{held_ms} ms");
    let next = &site.hosts[(lost_leader + 1) % 3];
    eventually("all keys are served", 1_000, async || {
        for key in (0..=u16::MAX).step_by(4_001) {
            if !get(next, key).await.is_some_and(|s| s.is_success()) {
                return false;
            }
        }
        true
    })
    .await;
    assert_eq!(ended_events(&site).await.len(), 3);
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

/// Guards against keys that wait for the lease of their servers, 3 to 4 s, while the leader runs.
#[tokio::test]
async fn keys_of_lost_servers_are_served_again_before_their_lease_ends() {
    let site = Site::start_contended(3, 6).await;
    let lost_at = Instant::now();
    for server in &site.keyed[..3] {
        server.end_process();
    }
    let requests = async {
        for key in (0..=u16::MAX).step_by(1_001) {
            get(&site.hosts[usize::from(key) % 3], key).await;
        }
    };
    let held = all_keys_held_ms(&site.keyed[3..], lost_at, 10_000);
    let (held_ms, ()) = tokio::join!(held, requests);
    println!(
        "all keys held after {held_ms} ms: {:#?}",
        ended_events(&site).await
    );
    assert!(held_ms < 2_500, "{held_ms} ms");
    assert_eq!(ended_events(&site).await.len(), 3);
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

/// Guards against two owners of the keys of a server that leaves: it closes its listener while its
/// last requests run.
#[tokio::test]
async fn a_leaving_server_keeps_its_keys_until_its_requests_have_ended() {
    struct Case {
        /// Time from the entry that shows the leaving until the listener closes.
        announced_ms: u64,
        /// True if the entry is removed when the listener closes.
        entry_is_removed: bool,
    }
    let cases = [
        Case {
            announced_ms: 500,
            entry_is_removed: false,
        },
        Case {
            announced_ms: 500,
            entry_is_removed: true,
        },
        Case {
            announced_ms: 0,
            entry_is_removed: true,
        },
        // The leader's release is refused, so that the leader tries whether the server has ended.
        Case {
            announced_ms: 0,
            entry_is_removed: false,
        },
    ];
    const RUN_MS: u64 = 2_500;
    for case in cases {
        let site = Site::start_contended(2, 3).await;
        let leaving = &site.keyed[0];
        let key = (0..=u16::MAX).find(|key| leaving.holds(*key));
        let key = key.expect("the server holds a key");
        leaving.set_work_ms(RUN_MS);
        let request = TestRequest {
            method: "GET",
            path: "/keyed/long",
            id: "long",
            key: Some(key),
            deadline_ms: RUN_MS + 1_000,
        };
        let served_before = leaving.served();
        let run = send_once(leaving.address, request);
        let watch = async {
            // A listener that closes before it has read the request drops the connection.
            eventually("the request runs", 5_000, async || {
                site.record.runs("long") == 1
            })
            .await;
            leaving.write_entry(&site.store, "draining");
            time::sleep(Duration::from_millis(case.announced_ms)).await;
            leaving.close_listener();
            if case.entry_is_removed {
                leaving.remove_entry(&site.store);
            }
            // Hosts meet the refused connections and report them.
            while leaving.served() == served_before {
                let taken = site.keyed[1..].iter().any(|server| server.holds(key));
                assert!(!taken, "the key has a second owner during a request");
                get(&site.hosts[0], key).await;
                time::sleep(Duration::from_millis(20)).await;
            }
        };
        let (response, ()) = tokio::join!(run, watch);
        assert!(response.expect("a response").status.is_success());
        all_keys_held_ms(&site.keyed[1..], Instant::now(), 8_000).await;
        assert_eq!(ended_events(&site).await, Vec::<String>::new());
        assert_eq!(site.record.violations(), Vec::<String>::new());
    }
}

/// Guards against two owners of the keys of a server that accepts connections and does not answer.
#[tokio::test]
async fn a_frozen_server_keeps_its_keys_for_its_lease() {
    let site = Site::start_contended(2, 3).await;
    let frozen_at = Instant::now();
    site.keyed[0].set_silent(true);
    let held_ms = all_keys_held_ms(&site.keyed[1..], frozen_at, 12_000).await;
    // The last renewal was sent up to 1.2 s before the server froze.
    assert!(held_ms > LEASE_MS - 1_300, "{held_ms} ms");
    assert_eq!(ended_events(&site).await, Vec::<String>::new());
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

/// Guards against confusion with a process that starts at the address of an ended server, before or
/// after the leader has found the end.
#[tokio::test]
async fn a_process_at_the_address_of_an_ended_server_gets_none_of_its_leases() {
    struct Case {
        name: &'static str,
        kind: ServerKind<'static>,
        keeps_name: bool,
        after_ms: u64,
        /// True if the entries state start times, which a later process under the same name needs.
        states_start: bool,
        /// True if the leader is lost with the server.
        leader_is_lost: bool,
        /// True if the end must be found, false if it must not be; `None` if it may be.
        is_found: Option<bool>,
    }
    let other_service = Case {
        name: "another service, before the end is found",
        kind: ORDERS,
        keeps_name: false,
        after_ms: 150,
        states_start: false,
        leader_is_lost: false,
        is_found: None,
    };
    let cases = [
        Case {
            name: "another service, after the end is found",
            after_ms: 2_500,
            is_found: Some(true),
            ..other_service
        },
        Case {
            name: "the same name, before the end is found",
            kind: CONTENDED,
            keeps_name: true,
            ..other_service
        },
        Case {
            name: "the same name, after the end is found",
            kind: CONTENDED,
            keeps_name: true,
            after_ms: 2_500,
            is_found: Some(true),
            ..other_service
        },
        Case {
            name: "the same name, and the leader is frozen",
            kind: CONTENDED,
            keeps_name: true,
            after_ms: 500,
            leader_is_lost: true,
            ..other_service
        },
        Case {
            name: "the same name and a later start, before the end is found",
            kind: CONTENDED,
            keeps_name: true,
            states_start: true,
            ..other_service
        },
        Case {
            name: "the same name and a later start, after the end is found",
            kind: CONTENDED,
            keeps_name: true,
            after_ms: 2_500,
            states_start: true,
            is_found: Some(true),
            ..other_service
        },
        // The next leader must not find the end while the frozen one may grant the former keys to
        // the later process.
        Case {
            name: "the same name and a later start, under the next leader",
            kind: CONTENDED,
            keeps_name: true,
            after_ms: 4_300,
            states_start: true,
            leader_is_lost: true,
            is_found: Some(false),
        },
        Case {
            name: "another service, after the next leader has found the end",
            after_ms: 4_300,
            leader_is_lost: true,
            is_found: Some(true),
            ..other_service
        },
        other_service,
    ];
    for case in cases {
        let started_ms = case.states_start.then_some(STARTED_MS);
        let site = Site::start_contended_since(3, 3, started_ms).await;
        let lost = &site.keyed[0];
        let frozen = &site.hosts[leader(&site)];
        if case.leader_is_lost {
            frozen.signal("STOP");
        }
        lost.end_process();
        time::sleep(Duration::from_millis(case.after_ms)).await;
        let mut place = Place::new();
        place.address = lost.address;
        place.started_ms = started_ms.map(|started_ms| started_ms + case.after_ms);
        if case.keeps_name {
            place.id.clone_from(&lost.id);
        } else {
            lost.remove_entry(&site.store);
        }
        let later = Server::start_crashable_at(place, &site.store, &site.record, case.kind).await;
        if case.leader_is_lost {
            time::sleep(Duration::from_millis(3_500)).await;
            frozen.signal("CONT");
        }
        let began = Instant::now();
        eventually(case.name, 20_000, async || {
            let held: usize = site.keyed[1..].iter().map(Server::keys_held).sum();
            held + later.keys_held() == 1 << 16
        })
        .await;
        println!("{}: {} ms", case.name, began.elapsed().as_millis());
        time::sleep(Duration::from_millis(500)).await;
        let ended = ended_events(&site).await;
        if let Some(is_found) = case.is_found {
            assert_eq!(!ended.is_empty(), is_found, "{}: {ended:?}", case.name);
        }
        let violations = site.record.violations();
        assert_eq!(violations, Vec::<String>::new(), "{}", case.name);
    }
}

/// Starts a deployment with one host, which reaches the store through a proxy, and with servers
/// whose entries state start times.
async fn start_behind_store_proxy(servers: usize) -> (Site, Proxy) {
    let mut site = Site::start_servers(servers).await;
    site.replace_by_contended(Some(STARTED_MS)).await;
    let proxy = Proxy::start(site.store.address).await;
    site.hosts.push(Host::start_at(proxy.address));
    site.await_ready().await;
    site.record.spawn_owner_checks();
    (site, proxy)
}

/// Guards against two owners of keys that a later leader has moved: an earlier leader, cut off from
/// the store but not from the servers, renews the released lease at a process that has started under
/// the name of the former server and has seen no fence. The test takes the part of the later leader.
#[tokio::test]
async fn an_earlier_leader_renews_no_released_lease_at_a_later_process_under_the_name() {
    const LATER_FENCE: u64 = 1_000;
    // The host may grant for 9 s after its last confirmation.
    const WATCHED_MS: u64 = 10_000;
    for silent_before_ms in [0, 1_500] {
        let (site, proxy) = start_behind_store_proxy(2).await;
        let [released, other] = &site.keyed[..] else {
            unreachable!("the deployment has two servers");
        };
        proxy.set(Mode::Silent);
        time::sleep(Duration::from_millis(silent_before_ms)).await;
        released.release_all(LATER_FENCE);
        other.hold_all(LATER_FENCE, 2 * WATCHED_MS);
        released.end_process();
        time::sleep(Duration::from_millis(100)).await;
        let place = Place {
            id: released.id.clone(),
            address: released.address,
            started_ms: Some(STARTED_MS + 1),
        };
        let later = Server::start_crashable_at(place, &site.store, &site.record, CONTENDED).await;
        let until = Instant::now() + Duration::from_millis(WATCHED_MS);
        while Instant::now() < until {
            let held = later.keys_held();
            assert_eq!(
                held, 0,
                "keys of the later process, silent for {silent_before_ms} ms"
            );
            time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(site.record.violations(), Vec::<String>::new());
    }
}

/// Guards against keys of servers with start times that lose their leases in an outage of the store:
/// grants then go over the connections that were open before it.
#[tokio::test]
async fn leases_of_servers_with_start_times_outlast_an_outage_of_the_store() {
    let (site, proxy) = start_behind_store_proxy(3).await;
    for mode in [Mode::Silent, Mode::Reset] {
        proxy.set(mode);
        let until = Instant::now() + Duration::from_millis(8_000);
        while Instant::now() < until {
            assert!(all_keys_held(&site.keyed), "{mode:?}");
            time::sleep(Duration::from_millis(100)).await;
        }
        proxy.set(Mode::Pass);
        time::sleep(Duration::from_millis(3_000)).await;
    }
    assert_eq!(site.record.violations(), Vec::<String>::new());
}
