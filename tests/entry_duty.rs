//! The duty of giving leases when its holder, the store or both fail: real entry hosts against
//! stand-ins.

mod platform_standin;

use std::time::{Duration, Instant};

use tokio::{
    task::{JoinSet, LocalSet},
    time,
};

use self::platform_standin::{
    caller::{Ask, ask_once},
    hosts::Host,
    server::Server,
    site::{ORDERS, Site, eventually},
    store::Faults,
};

/// Times that a host has taken the duty.
fn taken(host: &Host) -> usize {
    host.events("duty_taken").len()
}

fn holder(site: &Site) -> usize {
    let holder = site.hosts.iter().position(|host| taken(host) > 0);
    holder.expect("a holder")
}

fn all_keys_held(servers: &[Server]) -> bool {
    servers.iter().map(Server::keys_held).sum::<usize>() == 1 << 16
}

#[tokio::test]
async fn a_restarted_holder_resumes_the_duty_also_when_reads_are_slower_than_writes() {
    let mut site = Site::start(3, 2).await;
    let holder = holder(&site);
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
    // Well before the row has stood still for long enough to be taken.
    eventually("the former holder has the duty", 1_600, async || {
        taken(&site.hosts[holder]) == 2
    })
    .await;
    assert_eq!(site.record.violations(), Vec::<String>::new());
}

#[tokio::test]
async fn the_holder_keeps_the_duty_over_an_outage() {
    // At several moments of the rhythm of the holder's calls.
    let outages = (0..8).map(|phase| 4_200 + phase * 450);
    let mut sites = JoinSet::new();
    let local = LocalSet::new();
    for outage_ms in outages {
        sites.spawn_local_on(terms_over_outage(outage_ms), &local);
    }
    for (outage_ms, terms) in local.run_until(sites.join_all()).await {
        assert_eq!(terms, 1, "after an outage of {outage_ms} ms");
    }
}

/// Terms of the duty by some time after an outage.
async fn terms_over_outage(outage_ms: u64) -> (u64, usize) {
    let site = Site::start(3, 2).await;
    site.store.set_faults(Faults {
        silent: true,
        ..Faults::default()
    });
    time::sleep(Duration::from_millis(outage_ms)).await;
    site.store.set_faults(Faults::default());
    time::sleep(Duration::from_millis(3_500)).await;
    (outage_ms, site.hosts.iter().map(taken).sum())
}

#[tokio::test]
async fn a_holder_that_was_paused_tells_the_next_one_that_it_has_stopped() {
    // At several moments of the rhythm of the holder's calls.
    for extra_ms in [0, 130, 260] {
        let site = Site::start(3, 3).await;
        let paused = &site.hosts[holder(&site)];
        paused.signal("STOP");
        let lost = &site.keyed[0];
        lost.crash(&site.store);
        let began = Instant::now();
        eventually("another host takes the duty", 6_000, async || {
            site.hosts.iter().map(taken).sum::<usize>() == 2
        })
        .await;
        time::sleep(Duration::from_millis(extra_ms)).await;
        paused.signal("CONT");
        site.record.excuse(300);
        let resumed = Instant::now();
        // Without the earlier holder's word this takes its 9 s and a lease.
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
    let site = Site::start(6, 2).await;
    time::sleep(Duration::from_millis(3_000)).await;
    let before = site.store.calls();
    let mut joined = Vec::new();
    for _ in 0..5 {
        joined.push(Server::start(&site.store, &site.record, ORDERS).await);
        time::sleep(Duration::from_millis(1_200)).await;
    }
    let leaving = &joined[0];
    leaving.declare(&site.store, "draining");
    time::sleep(Duration::from_millis(1_000)).await;
    // The holder confirms its duty 12 times in 7 s and asks for each of the six changes, once more
    // when its feeds end. The five others would ask for each change as well.
    let calls = site.store.calls() - before;
    assert!(calls <= 12 + 10 + 6, "{calls} calls");
    for host in &site.hosts {
        let seen = host.events("server");
        for server in &joined {
            assert!(seen.iter().any(|line| line.contains(&server.id)));
        }
        let served = leaving.served();
        for number in 0..30 {
            let id = format!("{}-{number}", host.callers);
            let ask = Ask {
                method: "POST",
                path: "/orders/new",
                id: &id,
                key: None,
                deadline_ms: 800,
            };
            ask_once(host.callers, ask).await;
        }
        assert_eq!(leaving.served(), served, "{}", host.callers);
    }
}
