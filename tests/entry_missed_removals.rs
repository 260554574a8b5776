//! Hosts learn that servers' entries were removed also if the host that reports the state of the
//! store has not seen the removals itself.

mod platform_standin;

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time;

use self::platform_standin::{
    hosts::Host,
    site::{Site, eventually},
};

const HOSTS: usize = 4;
/// Setting of the hosts: time after the removal of a server's entry from which the server must get
/// no requests.
const DRAIN_MS: u64 = 2_000;
/// Time in which a leader that was killed is not running. It resumes its leadership after that time.
const LEADER_DOWN_MS: u64 = 300;
/// Time from the last change until the test removes entries, in which all hosts apply that change.
const SETTLED_MS: u64 = 1_500;

/// Way in which no host sees removals of entries one by one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Unseen {
    /// The leader's process is killed, the entries are removed, and the process starts again.
    LeaderRestarts,
    /// The store drops its history right after the removals, before its feeds deliver them.
    HistoryDropped,
}

#[derive(Clone, Copy, Debug)]
struct UnseenRemovals {
    name: &'static str,
    unseen: Unseen,
    /// Number of entries that are removed.
    removed: usize,
}

fn idle_name(number: usize) -> String {
    format!("idle-{number:06}")
}

/// Returns the entry of a server of a service that no route uses.
fn idle_entry(number: usize) -> Value {
    json!({
        "addr": format!("127.0.0.1:{}", 10_000 + number),
        "info": {"service": "idle", "version": "v1", "zone": "a", "slots": 4},
        "status": {"state": "ready", "seq": 1, "warmupLeft": "0ms"},
    })
}

fn leader(site: &Site) -> usize {
    let leader = site
        .hosts
        .iter()
        .position(|host| !host.events("duty_taken").is_empty());
    leader.expect("a host is the leader")
}

/// Returns the number of servers among the first `removed` ones whose removal a host has logged.
fn known_removals(host: &Host, removed: usize) -> usize {
    let lines = host.events("server_gone").join("\n");
    let names = (0..removed).map(idle_name);
    names.filter(|name| lines.contains(name)).count()
}

impl UnseenRemovals {
    async fn check(&self) {
        let mut site = self.start().await;
        let leader = leader(&site);
        let names: Vec<String> = (0..self.removed).map(idle_name).collect();
        match self.unseen {
            Unseen::LeaderRestarts => {
                site.hosts[leader].kill();
                for name in &names {
                    site.store.remove("servers", name);
                }
                time::sleep(Duration::from_millis(LEADER_DOWN_MS)).await;
                site.hosts[leader].restart();
            }
            Unseen::HistoryDropped => site.store.remove_without_history("servers", &names),
        }
        let others = site.hosts.iter().enumerate();
        let others: Vec<&Host> = others
            .filter(|(number, _)| *number != leader)
            .map(|(_, host)| host)
            .collect();
        let what = format!("{}: all hosts know the removals", self.name);
        eventually(&what, DRAIN_MS, async || {
            others
                .iter()
                .all(|host| known_removals(host, self.removed) == self.removed)
        })
        .await;
    }

    /// Starts hosts that know the servers whose entries are removed, and one more server.
    async fn start(&self) -> Site {
        let mut site = Site::start_servers(2).await;
        for number in 0..=self.removed {
            let name = idle_name(number);
            site.store.put("servers", &name, &idle_entry(number));
        }
        let bounds = format!("  drain: {DRAIN_MS}ms\n");
        for _ in 0..HOSTS {
            let host = Host::start_with(site.store.address, &bounds);
            site.hosts.push(host);
        }
        site.await_ready().await;
        time::sleep(Duration::from_millis(SETTLED_MS)).await;
        site
    }
}

/// Guards against hosts that send requests to a server whose entry was removed while the leader's
/// process was not running: the leader that had started again reported versions without gaps.
#[tokio::test]
async fn an_entry_that_is_removed_while_the_leader_restarts_is_removed_at_all_hosts() {
    let cases = [
        UnseenRemovals {
            name: "one entry",
            unseen: Unseen::LeaderRestarts,
            removed: 1,
        },
        UnseenRemovals {
            name: "more entries than one datagram contains",
            unseen: Unseen::LeaderRestarts,
            removed: 30,
        },
    ];
    for case in cases {
        case.check().await;
    }
}

/// Guards against hosts that send requests to servers whose entries were removed before the store
/// dropped its history: the leader's broadcast was cut between removals of one version.
#[tokio::test]
async fn entries_that_are_removed_before_history_is_dropped_are_removed_at_all_hosts() {
    let cases = [
        UnseenRemovals {
            name: "one datagram",
            unseen: Unseen::HistoryDropped,
            removed: 20,
        },
        UnseenRemovals {
            name: "two datagrams",
            unseen: Unseen::HistoryDropped,
            removed: 30,
        },
        UnseenRemovals {
            name: "three datagrams",
            unseen: Unseen::HistoryDropped,
            removed: 55,
        },
    ];
    for case in cases {
        case.check().await;
    }
}
