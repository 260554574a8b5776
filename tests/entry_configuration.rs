//! Tests of the ways by which a configuration reaches many hosts.

mod platform_standin;

use std::{net::UdpSocket, process::Command, time::Duration};

use tokio::time;

use self::platform_standin::{
    hosts::Host,
    site::{Site, configuration, eventually},
};

/// Number of hosts: more than the leader addresses directly, so that it uses relays.
const HOSTS: usize = 24;
/// Default of the bound on configurations.
const IN_FORCE_MS: u64 = 2_000;
/// Number of routes of the largest known configuration, of 38 KB.
const ROUTES: usize = 261;

/// Leaves a host no descriptors for further connections. Connections that are open stay open.
fn allow_no_connections(host: &Host) {
    let pid = host.pid().to_string();
    let limited = Command::new("prlimit")
        .args(["--pid", &pid, "--nofile=1:"])
        .status();
    assert!(limited.expect("prlimit").success());
}

fn put_configuration(site: &Site, version: u32, routes: usize) {
    let prefixes: Vec<String> = (0..routes).map(|n| format!("/more/{n}/")).collect();
    let prefixes: Vec<&str> = prefixes.iter().map(String::as_str).collect();
    let configuration = configuration(version, &prefixes);
    site.store.put("op", "config", &configuration);
}

fn is_in_force(host: &Host, version: u32) -> bool {
    let mut lines = host.events("configuration").into_iter();
    lines.any(|line| line.contains(&format!("\"version\":{version},")))
}

/// Fills the receive buffer of a host that is stopped by signal, so that datagrams of other hosts are
/// lost.
fn fill_receive_buffer(host: &Host) {
    const DATAGRAMS: usize = 2_000;
    let socket = UdpSocket::bind((host.peers.ip(), 0)).expect("socket");
    for _ in 0..DATAGRAMS {
        socket.send_to(&[0; 1_000], host.peers).expect("sent");
    }
}

/// Returns the number of a host that is not the leader.
fn follower(site: &Site) -> usize {
    let is_follower = |host: &Host| host.events("duty_taken").is_empty();
    let place = site.hosts.iter().position(is_follower);
    place.expect("a host that is not the leader")
}

#[tokio::test]
async fn a_configuration_reaches_hosts_that_can_open_no_connections() {
    let site = Site::start(HOSTS, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    site.hosts[..4].iter().for_each(allow_no_connections);
    put_configuration(&site, 2, ROUTES);
    eventually("the configuration is in force", IN_FORCE_MS, async || {
        site.hosts.iter().all(|host| is_in_force(host, 2))
    })
    .await;
}

#[tokio::test]
async fn a_configuration_that_is_not_broadcast_is_logged() {
    let site = Site::start(HOSTS, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    // Random bytes do not become smaller by compression.
    let content: Vec<u8> = (0..20_000).map(|_| rand::random()).collect();
    site.store.put_bytes("op", "config", &content);
    eventually("the leader logs it", IN_FORCE_MS, async || {
        let lines = site.hosts.iter().flat_map(|host| host.events("message"));
        lines
            .into_iter()
            .any(|line| line.contains("20000 bytes is too large to be broadcast"))
    })
    .await;
}

#[tokio::test]
async fn a_configuration_whose_datagrams_were_lost_needs_no_connection() {
    let site = Site::start(HOSTS, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    let host = &site.hosts[follower(&site)];
    host.signal("STOP");
    allow_no_connections(host);
    fill_receive_buffer(host);
    put_configuration(&site, 2, ROUTES);
    time::sleep(Duration::from_millis(600)).await;
    host.signal("CONT");
    eventually("the configuration is in force", IN_FORCE_MS, async || {
        is_in_force(host, 2)
    })
    .await;
}
