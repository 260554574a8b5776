//! Tests of evacuated zones, cold servers and unanswered orders, with real entry hosts and
//! stand-ins of the platform.

mod platform_standin;

use std::{
    future,
    task::Poll,
    time::{Duration, Instant},
};

use serde_json::json;
use tokio::time;

use self::platform_standin::{
    caller::{TestRequest, send_once},
    hosts::Host,
    server::{Server, ServerKind},
    site::{KEYED, ORDERS, Site, configuration, eventually, get},
};

/// Time after the beginning of an evacuation from which the servers of the zone must get no more
/// requests.
const EVACUATION_MS: u64 = 5_000;

async fn send_order(host: &Host, number: usize) {
    let id = format!("{}-{number}", host.callers);
    let ask = TestRequest {
        method: "POST",
        path: "/orders/new",
        id: &id,
        key: None,
        deadline_ms: 800,
    };
    send_once(host.callers, ask).await;
}

/// Runs several futures concurrently and waits until all are complete.
async fn join_all(futures: impl Iterator<Item = impl Future<Output = ()>>) {
    let mut waiting: Vec<_> = futures.map(Box::pin).collect();
    future::poll_fn(|context| {
        waiting.retain_mut(|future| future.as_mut().poll(context).is_pending());
        if waiting.is_empty() {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Starts a server of each service in a second zone.
async fn start_second_zone(site: &Site) -> [Server; 2] {
    let keyed = ServerKind { zone: "b", ..KEYED };
    let orders = ServerKind {
        zone: "b",
        ..ORDERS
    };
    [
        Server::start(&site.store, &site.record, keyed).await,
        Server::start(&site.store, &site.record, orders).await,
    ]
}

#[tokio::test]
async fn an_evacuated_zone_gets_nothing_past_its_bound_also_when_the_duty_holder_is_lost() {
    for leader_is_lost in [false, true] {
        let mut site = Site::start(3, 2).await;
        let second = start_second_zone(&site).await;
        eventually("the second zone holds keys", 6_000, async || {
            second[0].keys_held() > 0
        })
        .await;
        let evacuated = Instant::now();
        site.store.put("op", "evacuate/a", &json!({}));
        if leader_is_lost {
            time::sleep(Duration::from_millis(300)).await;
            let is_leader = |host: &Host| !host.events("duty_taken").is_empty();
            let leader = site
                .hosts
                .iter()
                .position(is_leader)
                .expect("a host is the leader");
            site.hosts[leader].kill();
            site.hosts.remove(leader);
        }
        let since = |began: Instant| began.elapsed().as_millis() as u64;
        let mut number = 0;
        let mut served_late = (0, 0);
        while since(evacuated) < EVACUATION_MS + 2_000 {
            for host in &site.hosts {
                number += 1;
                send_order(host, number).await;
                let response = get(host, (number * 7_919 % 65_536) as u16).await;
                if since(evacuated) > EVACUATION_MS {
                    served_late.0 += 1;
                    served_late.1 += u32::from(response.is_some_and(|status| status.is_success()));
                }
            }
            time::sleep(Duration::from_millis(10)).await;
        }
        let bound = evacuated + Duration::from_millis(EVACUATION_MS);
        for server in site.keyed.iter().chain(&site.orders) {
            let late = server.last_arrival().is_some_and(|at| at > bound);
            assert!(
                !late,
                "{} got a request after the bound; leader lost: {leader_is_lost}",
                server.id
            );
        }
        // The servers of the other zone serve all keys after the evacuation.
        let (requests, served) = served_late;
        assert!(
            served * 100 >= requests * 95,
            "{served} of {requests} requests served"
        );
        assert_eq!(second[0].keys_held(), 1 << 16);
        site.store.remove("op", "evacuate/a");
        let before = site.orders[0].served() + site.orders[1].served();
        eventually("the zone serves again", 6_000, async || {
            for host in &site.hosts {
                number += 1;
                send_order(host, number).await;
                get(host, (number * 7_919 % 65_536) as u16).await;
            }
            let orders = site.orders[0].served() + site.orders[1].served();
            orders > before && site.keyed.iter().any(|server| server.keys_held() > 0)
        })
        .await;
        assert_eq!(site.record.violations(), Vec::<String>::new());
    }
}

#[tokio::test]
async fn a_cold_server_gets_no_more_than_its_limit_from_all_hosts_together() {
    const COLD_MS: u64 = 4_000;
    let site = Site::start(4, 1).await;
    let mut bounded = configuration(2, &[]);
    bounded["services"][1]["warmup"] = json!("4s");
    bounded["services"][1]["warmupPerS"] = json!(5.8);
    site.store.put("op", "config", &bounded);
    time::sleep(Duration::from_millis(1_500)).await;
    let joining = Server::start(&site.store, &site.record, ORDERS).await;
    joining.write_cold_entry(&site.store, COLD_MS);
    // Leaves all hosts time to learn that the server is cold.
    time::sleep(Duration::from_millis(600)).await;
    let since = Instant::now();
    let mut number = 0;
    while since.elapsed() < Duration::from_millis(COLD_MS - 800) {
        for host in &site.hosts {
            number += 1;
            send_order(host, number).await;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    let most = joining.peak_requests_per_s(since);
    assert!(
        most <= 16,
        "{most} requests in one second, of {number} in all"
    );
    assert!(most > 0, "the cold server gets requests");
    joining.write_cold_entry(&site.store, 0);
    // Sends more concurrent requests than the other server has slots. A quarter of these requests
    // is more than a cold server may get in a second.
    let mut burst = 0;
    eventually("the warm server is used", 3_000, async || {
        burst += 1;
        let before = joining.served();
        let orders = (0..12).flat_map(|index| site.hosts.iter().map(move |host| (host, index)));
        let sent = orders.map(|(host, index)| send_order(host, 1_000_000 + 100 * burst + index));
        join_all(sent).await;
        joining.served() >= before + 12
    })
    .await;
}

#[tokio::test]
async fn keys_stay_with_servers_that_leave_half_of_their_orders_unanswered() {
    let site = Site::start(3, 3).await;
    let moved = || -> usize {
        let hosts = site.hosts.iter();
        let events = hosts.flat_map(|host| host.events("moved"));
        let lost = events.filter(|line| line.contains("no server"));
        lost.count()
    };
    let before = moved();
    for server in &site.keyed {
        server.delay_orders(2);
    }
    let began = Instant::now();
    let (mut requests, mut served) = (0, 0);
    while began.elapsed() < Duration::from_millis(8_000) {
        for host in &site.hosts {
            requests += 1;
            let response = get(host, (requests * 7_919 % 65_536) as u16).await;
            served += u32::from(response.is_some_and(|status| status.is_success()));
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    assert!(
        served * 100 >= requests * 97,
        "{served} of {requests} requests served"
    );
    assert_eq!(moved(), before, "keys moved away from live servers");
    assert_eq!(site.record.violations(), Vec::<String>::new());
}
