//! Tests of the leadership when the leader, the store or both fail. The tests run real entry host
//! processes against stand-ins of the platform. Names of tests and log events call the leadership
//! the "duty".

mod platform_standin;

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::{
    sync::Mutex,
    task::{JoinSet, LocalSet},
    time,
};

use self::platform_standin::{
    caller::{TestRequest, send_once},
    hosts::Host,
    proxy::{Mode, Proxy},
    server::Server,
    site::{ORDERS, Site, all_keys_held, check_call_count, eventually},
    store::Faults,
};

/// Returns the number of times that a host has logged a takeover of the leadership.
fn times_taken(host: &Host) -> usize {
    host.events("duty_taken").len()
}

fn leader(site: &Site) -> usize {
    let leader = site.hosts.iter().position(|host| times_taken(host) > 0);
    leader.expect("a host is the leader")
}

#[tokio::test]
async fn a_restarted_duty_holder_resumes_the_duty_also_when_reads_are_slower_than_writes() {
    let mut site = Site::start(3, 2).await;
    let leader = leader(&site);
    for host in &mut site.hosts {
        host.kill();
    }
    site.store.set_faults(Faults {
        slow_reads_ms: 80,
        ..Faults::default()
    });
    for host in &mut site.hosts {
        host.restart();
    }
    // If the previous leader did not resume, no host could be the leader within this time: hosts do
    // not watch the leadership row directly after their start, and the row must then stay unchanged
    // for the takeover time.
    eventually(
        "the previous leader is the leader again",
        1_600,
        async || times_taken(&site.hosts[leader]) == 2,
    )
    .await;
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn the_holder_keeps_the_duty_over_an_outage() {
    let outages_ms = (0..8).map(|phase| 4_200 + phase * 450);
    check_leader_over_outages(outages_ms, Interrupted::Nothing).await;
}

/// Guards against a leader that does not confirm its leadership in time after an outage, because
/// the write of a move, which excludes confirmations while it runs, still waits for a response to a
/// call that the store has dropped.
#[tokio::test]
async fn the_holder_keeps_the_duty_over_an_outage_that_interrupts_a_move() {
    // These outages end soon after the leader has begun its third attempt to write the move.
    let outages_ms = (0..8).map(|phase| 4_410 + phase * 40);
    check_leader_over_outages(outages_ms, Interrupted::Move).await;
}

/// Lock that a test holds while it runs its outages, since all of them together would start 48
/// hosts and delay each other's starts.
static OUTAGES_LOCK: Mutex<()> = Mutex::const_new(());

/// Work of the leader that an outage of the store interrupts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interrupted {
    Nothing,
    /// A server leaves at the start of the outage, and the leader records the moves of its keys.
    Move,
}

/// Runs outages of different lengths, so that they end at different phases of the leader's calls to
/// the store, and fails if another host takes over the leadership after one of them.
async fn check_leader_over_outages(
    outages_ms: impl Iterator<Item = u64>,
    interrupted: Interrupted,
) {
    let _guard = OUTAGES_LOCK.lock().await;
    let mut sites = JoinSet::new();
    let local = LocalSet::new();
    for outage_ms in outages_ms {
        let takeovers = leadership_takeovers_over_outage(outage_ms, interrupted);
        sites.spawn_local_on(takeovers, &local);
    }
    let sites = local.run_until(sites.join_all()).await;
    let failed: Vec<_> = sites.iter().filter(|(_, lines)| lines.len() != 1).collect();
    assert!(failed.is_empty(), "outage in ms, takeovers: {failed:#?}");
}

/// Runs an outage of the store. Returns the length of the outage, and one line for each time that a
/// host took over the leadership until 3.5 s after the outage. One takeover is always at the start
/// of the hosts. Each line ends with the events about the store and the end of the leadership, and
/// with the messages, that the same host logged.
async fn leadership_takeovers_over_outage(
    outage_ms: u64,
    interrupted: Interrupted,
) -> (u64, Vec<String>) {
    let site = Site::start(3, 2).await;
    if interrupted == Interrupted::Move {
        // The feed calls that already wait at the store still deliver this change.
        site.keyed[0].write_entry(&site.store, "draining");
    }
    site.store.set_faults(Faults {
        silent: true,
        ..Faults::default()
    });
    time::sleep(Duration::from_millis(outage_ms)).await;
    site.store.set_faults(Faults::default());
    time::sleep(Duration::from_millis(3_500)).await;
    let lines = site.hosts.iter().flat_map(|host| {
        let times_taken = host.events("duty_taken").into_iter();
        let context: Vec<String> = ["store_lost", "store_back", "duty_lost", "message"]
            .iter()
            .flat_map(|event| host.events(event))
            .collect();
        let context = context.join(" ");
        times_taken.map(move |line| format!("{line} {context}"))
    });
    (outage_ms, lines.collect())
}

#[tokio::test]
async fn a_paused_duty_holder_reports_to_its_successor_that_it_has_stopped() {
    // The paused leader is resumed at different phases of the new leader's calls.
    for extra_ms in [0, 130, 260] {
        let site = Site::start(3, 3).await;
        let paused = &site.hosts[leader(&site)];
        paused.signal("STOP");
        let lost = &site.keyed[0];
        lost.crash(&site.store);
        let began = Instant::now();
        eventually(
            "another host takes over the leadership",
            6_000,
            async || site.hosts.iter().map(times_taken).sum::<usize>() == 2,
        )
        .await;
        time::sleep(Duration::from_millis(extra_ms)).await;
        paused.signal("CONT");
        site.record.pause_ownership_checks(300);
        let resumed = Instant::now();
        // If the paused host did not report that it has stopped granting leases, the new leader
        // would grant the keys of the crashed server only after 9 s, for which the paused host
        // might grant leases, plus the duration of a lease.
        eventually("all keys are held", 6_500, async || {
            all_keys_held(&site.keyed[1..])
        })
        .await;
        assert!(resumed.duration_since(began) < Duration::from_millis(6_000));
        assert_eq!(site.record.violations(), Vec::<String>::new());
    }
}

#[tokio::test]
async fn changes_of_servers_reach_all_hosts_with_few_calls() {
    // The bound allows for 12 confirmations of the leadership in 7 s, and for the leader's feed
    // calls, which return at each of the six changes and after their maximum wait. Without the
    // leader's messages, each of the other five hosts would read each change from the store as
    // well.
    const CALLS_MAX: u64 = 12 + 10 + 6;
    let mut site = Site::start(6, 2).await;
    time::sleep(Duration::from_millis(3_000)).await;
    let mut joined_servers = Vec::new();
    check_call_count(&mut site, CALLS_MAX, async |site, _| {
        let before = site.store.calls();
        let first = joined_servers.len();
        for _ in 0..5 {
            joined_servers.push(Server::start(&site.store, &site.record, ORDERS).await);
            time::sleep(Duration::from_millis(1_200)).await;
        }
        joined_servers[first].write_entry(&site.store, "draining");
        time::sleep(Duration::from_millis(1_000)).await;
        site.store.calls() - before
    })
    .await;
    let leaving = &joined_servers[0];
    for host in &site.hosts {
        let seen = host.events("server");
        for server in &joined_servers {
            assert!(seen.iter().any(|line| line.contains(&server.id)));
        }
        let served = leaving.served();
        for number in 0..30 {
            let id = format!("{}-{number}", host.callers);
            let request = TestRequest {
                method: "POST",
                path: "/orders/new",
                id: &id,
                key: None,
                deadline_ms: 800,
            };
            send_once(host.callers, request).await;
        }
        assert_eq!(leaving.served(), served, "{}", host.callers);
    }
}

#[tokio::test]
async fn a_server_that_leaves_as_the_duty_holder_is_lost_gets_no_work_past_the_bound() {
    struct Case {
        /// True if the leader is restarted and has resumed the leadership before the server leaves.
        restarted: bool,
        /// Time from the resumption of the leadership, or from the start of the hosts, until the
        /// server announces that it leaves.
        phase_ms: u64,
        /// Time from the announcement that the server leaves until the leader gets `signal`.
        lost_after_ms: u64,
        signal: &'static str,
    }
    let mut cases = Vec::new();
    for phase_ms in [300, 390, 480, 570] {
        cases.push(Case {
            restarted: true,
            phase_ms,
            lost_after_ms: 650,
            signal: "KILL",
        });
        cases.push(Case {
            restarted: false,
            phase_ms,
            lost_after_ms: phase_ms / 10 - 20,
            signal: if phase_ms % 20 == 0 { "KILL" } else { "STOP" },
        });
    }
    let mut sites = JoinSet::new();
    let local = LocalSet::new();
    for case in cases {
        sites.spawn_local_on(
            async move {
                let late = served_after_the_bound(
                    case.restarted,
                    case.phase_ms,
                    case.lost_after_ms,
                    case.signal,
                );
                (late.await, case)
            },
            &local,
        );
    }
    for (late, case) in local.run_until(sites.join_all()).await {
        let Case {
            restarted,
            phase_ms,
            lost_after_ms,
            signal,
        } = case;
        let named = format!("restarted {restarted}, {phase_ms} ms, {signal} at {lost_after_ms} ms");
        assert_eq!(late, 0, "{named}");
    }
}

/// Runs a case in which a server leaves and the leader fails. Returns the number of requests that
/// reach the leaving server after the bound `DRAIN_MS`, counted from the announcement that the
/// server leaves.
async fn served_after_the_bound(
    restarted: bool,
    phase_ms: u64,
    lost_after_ms: u64,
    signal: &str,
) -> u64 {
    const DRAIN_MS: u64 = 2_000;
    let mut site = Site::start(3, 2).await;
    let leader = leader(&site);
    if restarted {
        site.hosts[leader].restart();
        eventually("the leader has resumed", 3_000, async || {
            times_taken(&site.hosts[leader]) == 2
        })
        .await;
    }
    time::sleep(Duration::from_millis(phase_ms)).await;
    let leaving = &site.orders[0];
    leaving.write_entry(&site.store, "draining");
    let declared = Instant::now();
    let since_ms = || declared.elapsed().as_millis() as u64;
    time::sleep(Duration::from_millis(lost_after_ms)).await;
    site.hosts[leader].signal(signal);
    let mut within = 0;
    let mut number = 0;
    while since_ms() < DRAIN_MS + 1_500 {
        if since_ms() < DRAIN_MS {
            within = leaving.served();
        }
        for (index, host) in site.hosts.iter().enumerate() {
            if index == leader {
                continue;
            }
            number += 1;
            let id = format!("late-{phase_ms}-{number}");
            let request = TestRequest {
                method: "POST",
                path: "/orders/new",
                id: &id,
                key: None,
                deadline_ms: 300,
            };
            send_once(host.callers, request).await;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    leaving.served() - within
}

#[tokio::test]
async fn many_hosts_learn_of_changes_by_relays_also_while_most_of_them_are_stopped() {
    const HOSTS: usize = 24;
    let site = Site::start(HOSTS, 2).await;
    let leader = leader(&site);
    time::sleep(Duration::from_millis(4_000)).await;
    let before = site.store.calls();
    let mut joined_servers = Vec::new();
    for _ in 0..3 {
        joined_servers.push(Server::start(&site.store, &site.record, ORDERS).await);
        time::sleep(Duration::from_millis(1_000)).await;
    }
    let calls = site.store.calls() - before;
    // The bound allows for the calls of the leader alone. Without relays, each of the other 23
    // hosts would call the store for each of the three changes.
    assert!(calls <= 20, "{calls} calls");
    for host in &site.hosts {
        let seen = host.events("server");
        for server in &joined_servers {
            assert!(seen.iter().any(|line| line.contains(&server.id)));
        }
    }
    // 18 of the 23 other hosts are stopped. With a probability of 96%, the relays are among the
    // stopped hosts.
    let others = || (0..HOSTS).filter(|number| *number != leader);
    let stopped: Vec<usize> = others().take(18).collect();
    for number in &stopped {
        site.hosts[*number].signal("STOP");
    }
    let leaving = &joined_servers[0];
    leaving.write_entry(&site.store, "draining");
    time::sleep(Duration::from_millis(2_000)).await;
    let running = others().filter(|number| !stopped.contains(number));
    for number in running {
        let host = &site.hosts[number];
        let server_events = host.events("server");
        let is_leaving_event =
            |line: &&String| line.contains(&leaving.id) && line.contains("\"leaving\":true");
        assert!(
            server_events.iter().any(|line| is_leaving_event(&line)),
            "host {number}"
        );
    }
    for number in &stopped {
        site.hosts[*number].signal("CONT");
    }
}

#[tokio::test]
async fn another_host_takes_the_duty_soon_when_only_the_duty_holder_is_without_the_store() {
    // The leader loses its connection to the store at different phases of its calls.
    let mut sites = JoinSet::new();
    let local = LocalSet::new();
    for phase_ms in [0, 170, 340, 510] {
        sites.spawn_local_on(taken_after_ms(phase_ms), &local);
    }
    let taken_ms = local.run_until(sites.join_all()).await;
    let mean_ms = taken_ms.iter().sum::<u64>() / taken_ms.len() as u64;
    // If the leader goes on sending heartbeats for 3 s after the store last confirmed the
    // leadership, the mean is 5,260 ms.
    assert!(mean_ms < 4_900, "{taken_ms:?}");
}

/// Disconnects the leader, and no other host, from the store. Returns the time in milliseconds
/// until another host takes over the leadership.
async fn taken_after_ms(phase_ms: u64) -> u64 {
    let mut site = Site::start_servers(2).await;
    let proxy = Proxy::start(site.store.address).await;
    site.hosts.push(Host::start_at(proxy.address));
    site.await_ready().await;
    for _ in 0..2 {
        site.hosts.push(Host::start(&site.store));
    }
    site.await_ready().await;
    time::sleep(Duration::from_millis(3_000 + phase_ms)).await;
    assert_eq!(times_taken(&site.hosts[0]), 1);
    proxy.set(Mode::Silent);
    let began = Instant::now();
    eventually(
        "another host takes over the leadership",
        8_000,
        async || site.hosts[1..].iter().map(times_taken).sum::<usize>() == 1,
    )
    .await;
    began.elapsed().as_millis() as u64
}

/// Guards against hosts that wait for a takeover by each host that is gone before they watch the
/// leadership row.
#[tokio::test]
async fn a_leader_is_replaced_behind_many_hosts_that_are_gone() {
    const GONE: u32 = 300;
    /// Time after their start in which hosts read the rows of all hosts.
    const HOSTS_READ_AFTER: Duration = Duration::from_secs(4);
    let mut site = Site::start_servers(1).await;
    for number in 0..GONE {
        let address = format!("127.9.{}.{}:7000", number / 250, number % 250 + 1);
        // Hosts with a larger processor share come first in the takeover order.
        let row = json!({"incarnation": number, "availability_zone": "a", "processor_share": 4.0});
        let row = row.to_string();
        site.store
            .put_bytes("ashroad", &format!("host/{address}"), row.as_bytes());
    }
    for _ in 0..2 {
        site.hosts.push(Host::start(&site.store));
    }
    site.await_ready().await;
    time::sleep(HOSTS_READ_AFTER).await;
    let leader = leader(&site);
    site.hosts[leader].kill();
    let other = &site.hosts[1 - leader];
    eventually("the other host is the leader", 10_000, async || {
        times_taken(other) == 1
    })
    .await;
}
