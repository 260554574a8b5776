//! Hosts use the relays of their zone when the leader does not confirm the store.
//!
//! Guards against each host calling the store itself. With 985 hosts, each host made 34 calls to
//! the store in a day: the store rejected the leader's calls, the leader's reports became stale,
//! and each host followed the store itself until there was another leader.

mod platform_standin;

use std::{
    thread,
    time::{Duration, Instant},
};

use ashroad::entry::{
    bounds::Bounds,
    limits::Timings,
    updates::{followed::FollowedTable, freshness::Freshness, report::StoreStateReport},
};
use tokio::time;

use self::platform_standin::{
    deployment::{Deployment, Disturbance},
    traffic::Workload,
};

/// Number of hosts: more than the leader addresses directly, so that it uses relays.
const HOSTS: usize = 24;
/// Maximum number of hosts that follow the store: the relays of the zone, the hosts that watch the
/// leadership row, and the leaders.
const CALLERS_MAX: usize = 8;

fn limits() -> Timings {
    let text = "{stop_grace: 10s, lease_max: 4s, drain: 3s, configuration: 3s, contact: 3s, \
                retry_window: 10s, retry_ratio: 0.2, retry_allowance: 60}";
    let bounds: Bounds = serde_saphyr::from_str(text).expect("bounds");
    Timings::new(&bounds)
}

fn updates(age_ms: u32, changed: u64) -> StoreStateReport {
    StoreStateReport {
        age_ms,
        changed: [changed; 3],
        leave_version: changed,
        up_to: [changed; 3],
        full_read_version: 0,
        server_entries: 0,
    }
}

#[test]
fn a_relay_distrusts_the_leader_earlier_than_other_hosts() {
    let limits = limits();
    let age_ms = (limits.trust_ms * 9 / 10) as u32;
    let [relay, other] = [Freshness::new(&limits), Freshness::new(&limits)];
    relay.set_relay(true);
    for host in [&relay, &other] {
        host.note_announced(updates(age_ms, 5));
        assert!(host.needs_relay());
    }
    assert!(!relay.is_store_confirmed());
    assert!(other.is_store_confirmed());
    // The remaining time suffices for several queries.
    assert!(limits.trust_ms / 4 >= 3 * limits.relay_query_every_ms);
}

#[test]
fn a_relay_response_is_dated_from_the_query_and_counts_once() {
    let limits = limits();
    let host = Freshness::new(&limits);
    let now_ms = ashroad::clock::now_ms();
    host.start_query(1, now_ms);
    assert_eq!(
        host.note_relay_report(2, updates(0, 9)),
        None,
        "unknown nonce"
    );
    assert_eq!(
        host.note_relay_report(1, updates(300, 9)),
        Some(now_ms - 300)
    );
    assert!(host.is_store_confirmed());
    assert!(host.is_behind(FollowedTable::Servers, 8));
    assert_eq!(
        host.note_relay_report(1, updates(0, 9)),
        None,
        "already answered"
    );
    // A response that the host reads late because it was suspended after it had sent the query.
    let frozen = Freshness::new(&limits);
    frozen.start_query(1, now_ms - limits.trust_ms);
    frozen.note_relay_report(1, updates(0, 9));
    assert!(!frozen.is_store_confirmed());
}

#[test]
fn a_later_report_keeps_the_changes_of_an_earlier_one() {
    let limits = limits();
    let host = Freshness::new(&limits);
    host.note_announced(updates(1_000, 20));
    host.start_query(1, ashroad::clock::now_ms());
    host.note_relay_report(1, updates(100, 10));
    assert!(host.is_behind(FollowedTable::Servers, 19));
    assert!(host.has_leave_since(19));
    // An older report of the leader does not invalidate that of the relay.
    host.note_announced(updates(limits.trust_ms as u32, 20));
    assert!(host.is_store_confirmed());
}

#[test]
fn a_relay_that_does_not_follow_the_store_reports_nothing() {
    let limits = limits();
    let relay = Freshness::new(&limits);
    let heard_ms = ashroad::clock::now_ms();
    assert_eq!(relay.store_state(heard_ms, 0), None);
    for followed in [FollowedTable::Servers, FollowedTable::Configuration] {
        relay.versions.note_applied(followed, 7);
        drop(relay.follow(followed));
    }
    let store_state = relay
        .store_state(ashroad::clock::now_ms(), 0)
        .expect("store state");
    assert!(store_state.age_ms < 100);
    assert_eq!(store_state.up_to[FollowedTable::Servers.index()], 7);
    thread::sleep(Duration::from_millis(50));
    let later = relay
        .store_state(ashroad::clock::now_ms(), 0)
        .expect("store state");
    assert!(
        later.age_ms >= 50,
        "the store has not been followed for 50 ms"
    );
}

#[tokio::test]
async fn few_hosts_call_the_store_while_it_rejects_the_leader() {
    let mut deployment = Deployment::start_sized(Workload::Orders, HOSTS, 2).await;
    let feeds = |deployment: &Deployment| -> Vec<u64> {
        let hosts = deployment.site.hosts.iter();
        hosts.map(|host| host.store_calls("feed")).collect()
    };
    let before = feeds(&deployment);
    let cut = Instant::now();
    deployment
        .apply_disturbance(
            Disturbance::LeaderPartitioned,
            Workload::Orders,
            Duration::from_secs(5),
        )
        .await;
    let after = feeds(&deployment);
    let calls = before
        .iter()
        .zip(&after)
        .map(|(before, after)| after - before);
    let callers = calls.clone().filter(|calls| *calls > 0).count();
    assert!(
        callers <= CALLERS_MAX,
        "{callers} of {HOSTS} hosts called: {:?}",
        calls.collect::<Vec<_>>()
    );
    // Hosts still learn of a server's leaving while the leader cannot reach the store.
    let leaving = &deployment.site.orders[0];
    leaving.write_entry(&deployment.site.store, "draining");
    time::sleep(Duration::from_secs(3)).await;
    let served = leaving.served();
    time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        leaving.served(),
        served,
        "{:?} after the cut",
        cut.elapsed()
    );
}
