//! Tests of starting hosts, which fetch servers, assigned ranges and hosts from other hosts and
//! read the store's tables only if no other host has them, and of hosts that have missed changes.

mod platform_standin;

use std::{
    ops::Range,
    time::{Duration, Instant},
};

use ashroad::entry::{
    keys::{AssignedRange, Assignment, KeyPartition, KeyRange},
    model::{ServerEntry, incarnation_id},
    recorded_assignment::AssignmentRow,
    updates::snapshot::Snapshot,
};
use http::StatusCode;
use serde_json::{Value, json};
use tokio::time;

use self::platform_standin::{
    hosts::Host,
    site::{Site, check_call_count, configuration, eventually, get},
    store::Faults,
};

const SERVERS_READ: &str = "/rows-get servers";
/// Number of servers in tests with many servers: more than the 1,000 up to which a host reads the
/// servers from the store by itself.
const MANY_SERVERS: usize = 1_200;
/// Number of pages of 500 rows that a host reads to get [`MANY_SERVERS`] servers from the store.
const PAGES: u64 = 3;

async fn all_serve(site: &Site, limit_ms: u64) {
    for host in &site.hosts {
        eventually("a host serves all keys", limit_ms, async || {
            for key in [0, 20_000, 40_000, 65_535] {
                if get(host, key).await != Some(StatusCode::OK) {
                    return false;
                }
            }
            true
        })
        .await;
    }
}

/// Adds [`MANY_SERVERS`] servers of a service that no route uses, so that the table of servers is
/// large.
fn add_many_servers(site: &Site) {
    add_servers(site, 0..MANY_SERVERS);
}

fn add_servers(site: &Site, numbers: Range<usize>) {
    for number in numbers {
        let name = format!("idle-{number:06}");
        site.store.put("servers", &name, &idle_server(number));
    }
}

fn idle_server(number: usize) -> Value {
    json!({
        "addr": format!("127.0.0.1:{}", 10_000 + number),
        "info": {"service": "idle", "version": "v1", "zone": "a", "slots": 4},
        "status": {"state": "ready", "seq": 1, "warmupLeft": "0ms"},
    })
}

/// Number of hosts in tests with many hosts: so many that the leader sends messages to all hosts
/// through relays.
const MANY_HOSTS: usize = 24;

fn feeds(site: &Site) -> u64 {
    let hosts = site.hosts.iter();
    hosts.map(|host| host.store_calls("feed")).sum()
}

#[tokio::test]
async fn many_hosts_learn_of_many_new_servers_with_few_calls() {
    /// Maximum number of feed calls of all hosts together. It allows for calls of the leader, of
    /// relays, and of hosts that got no response from other hosts in time.
    const CALLS_MAX: u64 = MANY_HOSTS as u64;
    let mut site = Site::start(MANY_HOSTS, 2).await;
    time::sleep(Duration::from_millis(4_000)).await;
    check_call_count(&mut site, CALLS_MAX, async |site, span| {
        let before = feeds(site);
        // Each span adds other servers than the spans before it.
        let first = span * (MANY_SERVERS + 1);
        add_servers(site, first..first + MANY_SERVERS);
        time::sleep(Duration::from_millis(3_000)).await;
        // Hosts apply changes in order, so a host that knows the last server knows all servers.
        let last = format!("idle-last-{span}");
        let entry = idle_server(first + MANY_SERVERS);
        site.store.put("servers", &last, &entry);
        let knows_all = |host: &Host| {
            host.events("server")
                .iter()
                .any(|line| line.contains(&last))
        };
        eventually("all hosts know all servers", 8_000, async || {
            site.hosts.iter().all(knows_all)
        })
        .await;
        feeds(site) - before
    })
    .await;
}

/// Guards against hosts that keep using an outdated configuration after the store has rejected
/// calls. Among 985 hosts, some did so for up to 17.7 s: the store rejected the servers' feed of a
/// host, and the other feeds of the host waited until the servers' feed got a response. When the
/// leader confirmed the store again, the servers' feed had nothing to request and paused, so the
/// other feeds kept waiting.
#[tokio::test]
async fn a_configuration_reaches_many_hosts_after_the_store_was_away() {
    /// Number of routes of a configuration that is too large for the leader to broadcast in
    /// datagrams, also compressed, because the names of the routes are random.
    const ROUTES: usize = 1_000;
    const IN_FORCE_MS: u64 = 2_500;
    let site = Site::start(MANY_HOSTS, 2).await;
    add_many_servers(&site);
    time::sleep(Duration::from_secs(4)).await;
    site.store.set_faults(Faults {
        refusing: true,
        ..Faults::default()
    });
    time::sleep(Duration::from_secs(5)).await;
    site.store.set_faults(Faults::default());
    time::sleep(Duration::from_secs(4)).await;
    let prefixes: Vec<String> = (0..ROUTES)
        .map(|_| {
            format!(
                "/more/{:032x}{:032x}/",
                rand::random::<u128>(),
                rand::random::<u128>()
            )
        })
        .collect();
    let prefixes: Vec<&str> = prefixes.iter().map(String::as_str).collect();
    site.store.put("op", "config", &configuration(2, &prefixes));
    let is_in_force = |host: &Host| {
        let mut lines = host.events("configuration").into_iter();
        lines.any(|line| line.contains("\"version\":2"))
    };
    eventually("the configuration is in force", IN_FORCE_MS, async || {
        site.hosts.iter().all(is_in_force)
    })
    .await;
}

/// Guards against hosts that go on trusting the previous configuration because they do not know of
/// a later one. A configuration that cannot be read may revoke API keys.
#[tokio::test]
async fn all_hosts_know_that_a_configuration_cannot_be_read() {
    /// Size in bytes of a configuration that is too large for the leader to broadcast in
    /// datagrams, also compressed, because the bytes are random.
    const BYTES: usize = 20_000;
    let site = Site::start(MANY_HOSTS, 2).await;
    time::sleep(Duration::from_secs(4)).await;
    let content: Vec<u8> = (0..BYTES).map(|_| rand::random()).collect();
    site.store.put_bytes("op", "config", &content);
    let knows = |host: &Host| {
        let lines = host.events("bad_row");
        lines.iter().any(|line| line.contains("op/config"))
    };
    eventually(
        "all hosts know that the configuration cannot be read",
        4_000,
        async || site.hosts.iter().all(knows),
    )
    .await;
}

#[tokio::test]
async fn hosts_that_join_are_registered_together() {
    /// Number of joining hosts. The store accepts only one transaction with host rows per second,
    /// whatever their number.
    const JOINING: usize = 12;
    /// Timeout for all registrations together. If each host registered itself, each registration
    /// would take a second, and the last would end after the timeout.
    const LIMIT_MS: u64 = 7_000;
    let mut site = Site::start(MANY_HOSTS, 2).await;
    time::sleep(Duration::from_millis(4_000)).await;
    site.store.set_faults(Faults {
        part_writes_every_ms: 1_000,
        ..Faults::default()
    });
    for _ in 0..JOINING {
        site.hosts.push(Host::start(&site.store));
    }
    eventually("all hosts are registered", LIMIT_MS, async || {
        let mut hosts = site.hosts.iter();
        hosts.all(|host| {
            site.store
                .row("ashroad", &format!("host/{}", host.peers))
                .is_some()
        })
    })
    .await;
    all_serve(&site, 4_000).await;
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

fn reads_of_servers(site: &Site) -> u64 {
    let calls = site.store.calls_by_kind();
    calls.get(SERVERS_READ).copied().unwrap_or(0)
}

#[tokio::test]
async fn hosts_that_join_read_no_table_of_servers() {
    let mut site = Site::start(3, 3).await;
    add_many_servers(&site);
    // The leader stores the list of seed hosts again once it knows that there are many servers.
    eventually("seed hosts are stored", 8_000, async || {
        let seed_hosts = site.store.row("ashroad", "secret-guides");
        seed_hosts.is_some_and(|seed_hosts| seed_hosts["has_many_servers"] == true)
    })
    .await;
    time::sleep(Duration::from_millis(1_500)).await;
    let before = reads_of_servers(&site);
    for _ in 0..6 {
        site.hosts.push(Host::start(&site.store));
    }
    all_serve(&site, 8_000).await;
    assert_eq!(reads_of_servers(&site), before);
    // Hosts that fetched servers from another host learn of later changes like hosts that read the
    // store.
    site.keyed[0].write_entry(&site.store, "draining");
    eventually("the keys have moved", 8_000, async || {
        site.keyed[0].keys_held() == 0
    })
    .await;
    all_serve(&site, 4_000).await;
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn few_hosts_reread_the_tables_after_the_store_dropped_its_history() {
    let site = Site::start(6, 3).await;
    add_many_servers(&site);
    time::sleep(Duration::from_millis(4_000)).await;
    let before = reads_of_servers(&site);
    site.store.set_faults(Faults {
        refusing: true,
        ..Faults::default()
    });
    time::sleep(Duration::from_millis(4_000)).await;
    // The store drops this change from its history before any host has read it.
    site.orders[0].write_entry(&site.store, "ready");
    site.store.compact_history();
    site.store.set_faults(Faults::default());
    // A server leaves when the store responds again. All hosts must learn that it leaves, including
    // hosts that fetched the tables from other hosts.
    site.keyed[0].write_entry(&site.store, "draining");
    eventually("the keys have moved", 10_000, async || {
        site.keyed[0].keys_held() == 0
    })
    .await;
    all_serve(&site, 6_000).await;
    let pages = reads_of_servers(&site) - before;
    assert!(pages <= 3 * PAGES, "{pages} pages by 6 hosts");
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn hosts_serve_again_after_all_were_killed() {
    /// Bounds of the time until all hosts serve keys again, with few servers and with many servers.
    /// The hosts read servers and assigned ranges from the store, since no other host can provide
    /// them.
    const AGAIN_MS: [u64; 2] = [2_000, 4_000];
    let mut site = Site::start(3, 3).await;
    for again_ms in AGAIN_MS {
        for host in &mut site.hosts {
            host.kill();
        }
        for host in &mut site.hosts {
            host.restart();
        }
        let restarted = Instant::now();
        all_serve(&site, 12_000).await;
        let took = restarted.elapsed();
        assert!(took < Duration::from_millis(again_ms), "{took:?}");
        add_many_servers(&site);
        time::sleep(Duration::from_millis(4_000)).await;
    }
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

fn entry(number: usize) -> ServerEntry {
    let name = format!("i-{number:010x}");
    ServerEntry {
        id: incarnation_id(&name, 1_791_000_000_000),
        name: name.into(),
        started_ms: 1_791_000_000_000,
        service: format!("service-{}", number % 4).into(),
        address: format!("10.{}.{}.9:8080", number / 250 % 250, number % 250)
            .parse()
            .expect("address"),
        availability_zone: format!("zone-{}", number % 5).into(),
        slots: 4,
        leaving: number.is_multiple_of(7),
        cold_ms: 0,
    }
}

#[test]
fn a_snapshot_is_unchanged_by_encoding_and_decoding() {
    let entries: Vec<ServerEntry> = (0..10_003).map(entry).collect();
    let mut assignment = Assignment::default();
    for number in 0..3_440u16 {
        assignment.put(AssignedRange {
            range: KeyRange {
                first: number * 19,
                last: number * 19 + 18,
            },
            server: entries[usize::from(number)].id.clone(),
            fence: u64::from(number) + 1,
            from: None,
        });
    }
    let mut snapshot = Snapshot::default();
    snapshot.set_servers(entries.iter().cloned());
    for part in KeyPartition::all() {
        let row = AssignmentRow {
            assignment: assignment.part(part),
            version: 9,
        };
        snapshot.add_assignment_row(&"service-0".into(), part, &row);
    }
    let bytes = postcard::to_stdvec(&snapshot).expect("encoded");
    // A snapshot of this size is transferred in about 0.1 s on a link of 40 Mbit/s. The tables of
    // the store are seven times as large.
    assert!(bytes.len() < 700_000, "{} bytes", bytes.len());
    let received: Snapshot = postcard::from_bytes(&bytes).expect("decoded");
    assert!(received.servers().eq(entries));
    let rows = &received.assignment_rows()["service-0"];
    let whole = Assignment::join(rows.iter().map(|(_, row)| &row.assignment));
    assert!(whole == assignment);
}
