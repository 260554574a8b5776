//! Tests with real processes that are killed or frozen, and with outages of the store. Most tests
//! also check the records of the stand-in servers for slots that two servers owned at once.

mod common;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use ashroad::standin::{invariants, platform};
use common::{Caller, Cluster, NO_FLAGS};
use tokio::{task::JoinHandle, time};

/// Length of the outage in which requests must still be served, and of the period before the outage
/// with which the outage is compared.
const OUTAGE: Duration = Duration::from_secs(6);
/// Lowest ratio of the requests answered during the outage to those answered before it. Callers
/// send the next request only after a response, so hosts that become slower by half fail the test.
const SERVED_SHARE: f64 = 0.5;

/// Callers that send requests to all given hosts until they are stopped. Every outcome other than
/// a response with status 200 is returned as a failure.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    tasks: Vec<JoinHandle<Vec<String>>>,
}

impl Load {
    fn start(hosts: &[SocketAddr]) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU64::new(0));
        let mut tasks = Vec::new();
        for host in hosts.iter().copied() {
            let (stop, answered) = (stop.clone(), answered.clone());
            tasks.push(tokio::spawn(async move {
                let caller = Caller::default();
                let mut failures = Vec::new();
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    number += 1;
                    let path = format!("/w/s/key-{}", number % 500);
                    match caller.get(host, &path).await {
                        Ok(response) if response.status == 200 => {
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        other => failures.push(format!("{other:?}")),
                    }
                    time::sleep(Duration::from_millis(2)).await;
                }
                failures
            }));
        }
        Self {
            stop,
            answered,
            tasks,
        }
    }

    async fn end(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        let mut failures = Vec::new();
        for task in self.tasks {
            failures.extend(task.await.expect("a caller stops"));
        }
        failures
    }
}

fn addresses(cluster: &Cluster) -> Vec<SocketAddr> {
    cluster.hosts.iter().map(|host| host.callers).collect()
}

/// Checks by the records of the servers that no slot was owned by two servers at once.
async fn assert_single_owners(cluster: &Cluster, servers: &[usize]) {
    let records = cluster.records(servers).await;
    let double = invariants::double_owned(&records);
    assert!(double.is_empty(), "owned twice: {double:#?}");
}

#[tokio::test]
async fn keys_of_a_killed_server_are_served_again_within_3_s() {
    let mut cluster = Cluster::start(3, 3, NO_FLAGS);
    cluster.declare("").await;
    let key = (0..).map(|n| format!("key-{n}"));
    let mut owned = Vec::new();
    for key in key.take(30) {
        if cluster.owner(&key).await == 0 {
            owned.push(key);
        }
    }
    let load = Load::start(&addresses(&cluster));
    time::sleep(Duration::from_millis(300)).await;
    let killed = Instant::now();
    cluster.servers[0].process.kill();
    let caller = Caller::default();
    let path = format!("/w/s/{}", owned[0]);
    loop {
        let response = caller.get(cluster.hosts[1].callers, &path).await;
        if response.is_ok_and(|response| response.status == 200) {
            break;
        }
        assert!(
            killed.elapsed() < Duration::from_secs(15),
            "never served again"
        );
    }
    let unavailable = killed.elapsed();
    println!("unavailable_ms {}", unavailable.as_millis());
    assert!(unavailable < Duration::from_secs(3), "{unavailable:?}");
    load.end().await;
    assert_single_owners(&cluster, &[1, 2]).await;
}

#[tokio::test]
async fn a_host_and_a_server_lost_together_leave_keys_served_within_3_s() {
    let mut cluster = Cluster::start(3, 3, NO_FLAGS);
    cluster.declare("").await;
    // The leader is the worst host to lose, because another host must take over the leadership
    // before keys move.
    let mut leader = 0;
    for host in 0..3 {
        if cluster.status(host).await.leading {
            leader = host;
        }
    }
    let other = (leader + 1) % 3;
    let owner = cluster.owner("key-1").await;
    let killed = Instant::now();
    cluster.hosts[leader].process.kill();
    cluster.servers[owner].process.kill();
    let caller = Caller::default();
    loop {
        let response = caller.get(cluster.hosts[other].callers, "/w/s/key-1").await;
        if response.is_ok_and(|response| response.status == 200) {
            break;
        }
        assert!(
            killed.elapsed() < Duration::from_secs(15),
            "never served again"
        );
    }
    let unavailable = killed.elapsed();
    println!("unavailable_ms {}", unavailable.as_millis());
    assert!(unavailable < Duration::from_secs(3), "{unavailable:?}");
}

#[tokio::test]
async fn a_server_frozen_past_its_lease_owns_nothing_when_it_resumes() {
    let cluster = Cluster::start(3, 3, NO_FLAGS);
    cluster.declare("").await;
    let load = Load::start(&addresses(&cluster));
    let frozen = cluster.owner("key-1").await;
    cluster.servers[frozen].process.signal("STOP");
    cluster
        .wait_for("the frozen server owns nothing", &[0], |status| {
            let address = cluster.servers[frozen].address.to_string();
            let mut servers = status.servers.iter();
            servers.any(|server| server.address == address && server.slots == 0)
        })
        .await;
    cluster.servers[frozen].process.signal("CONT");
    cluster
        .wait_for("the server is back", &[0, 1, 2], |status| {
            status.servers.iter().all(|server| server.state == "live")
        })
        .await;
    cluster.settled().await;
    load.end().await;
    assert_single_owners(&cluster, &[0, 1, 2]).await;
}

#[tokio::test]
async fn an_outage_of_the_store_stops_changes_but_not_service() {
    let mut cluster = Cluster::start(3, 3, NO_FLAGS);
    cluster.declare("").await;
    let before = cluster.status(0).await;
    let load = Load::start(&addresses(&cluster)[..2]);
    // The number of requests answered before the outage is the reference for the number answered
    // during the outage.
    time::sleep(OUTAGE).await;
    let usual = load.answered.load(Ordering::Relaxed);
    cluster
        .platform_faults(platform::Faults {
            down: true,
            ..platform::Faults::default()
        })
        .await;
    time::sleep(OUTAGE / 2).await;
    cluster.hosts[2].process.kill();
    time::sleep(OUTAGE / 2).await;
    let during = cluster.status(0).await;
    assert_eq!(before.revision, during.revision);
    let answered = load.answered.load(Ordering::Relaxed) - usual;
    let failures = load.end().await;
    assert!(
        failures.is_empty(),
        "{} failed: {:?}",
        failures.len(),
        failures.first()
    );
    let share = answered as f64 / usual as f64;
    assert!(share > SERVED_SHARE, "{answered} answered, {usual} before");
    let back = Instant::now();
    cluster.platform_faults(platform::Faults::default()).await;
    cluster
        .submit(
            ashroad::operator::client::DeclarationKind::Workspace,
            &cluster.workspace(&[0, 1]),
        )
        .await;
    cluster.owned_by(2, &[0, 1]).await;
    let after = back.elapsed();
    assert!(after < Duration::from_secs(5), "{after:?}");
    assert_single_owners(&cluster, &[0, 1, 2]).await;
}

#[tokio::test]
async fn a_host_started_in_an_outage_of_the_store_learns_the_state_from_a_peer_later() {
    let mut cluster = Cluster::start(2, 2, NO_FLAGS);
    cluster.declare("").await;
    cluster
        .platform_faults(platform::Faults {
            down: true,
            ..platform::Faults::default()
        })
        .await;
    cluster.add_host();
    let caller = Caller::default();
    let refused = caller.get(cluster.hosts[2].callers, "/w/s/key-1").await;
    let refused = refused.expect("a response");
    assert_eq!(refused.outcome.as_deref(), Some("not-run"));
    cluster.platform_faults(platform::Faults::default()).await;
    cluster.settled().await;
    let answered = caller.get(cluster.hosts[2].callers, "/w/s/key-1").await;
    assert_eq!(answered.expect("a response").status, 200);
}

#[tokio::test]
async fn a_paused_host_does_not_act_on_its_old_view() {
    let cluster = Cluster::start(3, 3, NO_FLAGS);
    cluster.declare("").await;
    let load = Load::start(&addresses(&cluster)[..2]);
    cluster.hosts[2].process.signal("STOP");
    cluster
        .submit(
            ashroad::operator::client::DeclarationKind::Workspace,
            &cluster.workspace(&[0, 1]),
        )
        .await;
    cluster.owned_by(2, &[0, 1]).await;
    cluster.hosts[2].process.signal("CONT");
    let caller = Caller::default();
    for number in 0..50 {
        let path = format!("/w/s/key-{number}");
        let response = caller.get(cluster.hosts[2].callers, &path).await;
        assert_eq!(response.expect("a response").status, 200);
    }
    let failures = load.end().await;
    assert!(
        failures.is_empty(),
        "{} failed: {:?}",
        failures.len(),
        failures.first()
    );
    assert_single_owners(&cluster, &[0, 1, 2]).await;
}

#[tokio::test]
async fn a_planned_stop_of_a_host_cuts_nothing() {
    let mut cluster = Cluster::start(2, 3, &["--work-ms", "30"]);
    cluster.declare("").await;
    let leaving = cluster.hosts[2].callers;
    let mut tasks = Vec::new();
    let stop = Arc::new(AtomicBool::new(false));
    for number in 0..8 {
        let stop = stop.clone();
        tasks.push(tokio::spawn(async move {
            let caller = Caller::default();
            let mut answered = 0;
            // Like a load balancer, the caller sends no request to a host that is not ready.
            while !stop.load(Ordering::Relaxed) {
                let ready = caller.get(leaving, "/_ashroad/ready").await;
                if !ready.is_ok_and(|ready| ready.status == 200) {
                    break;
                }
                let response = caller.get(leaving, &format!("/w/s/key-{number}")).await;
                let response = response.expect("a whole response");
                assert_eq!(response.status, 200, "{response:?}");
                answered += 1;
            }
            answered
        }));
    }
    time::sleep(Duration::from_millis(300)).await;
    cluster.hosts[2].process.signal("TERM");
    let code = cluster.hosts[2].process.wait(Duration::from_secs(5)).await;
    assert_eq!(code, Some(0));
    stop.store(true, Ordering::Relaxed);
    for task in tasks {
        assert!(task.await.expect("each request got a whole response") > 0);
    }
}

#[tokio::test]
async fn a_server_that_announces_its_leaving_gets_no_new_work_after_seconds() {
    let cluster = Cluster::start(3, 2, NO_FLAGS);
    cluster.declare("").await;
    let load = Load::start(&addresses(&cluster));
    let leaving = cluster.owner("key-1").await;
    let address = cluster.servers[leaving].address.to_string();
    let requested = Instant::now();
    let draining = ashroad::standin::backend::Faults {
        draining: true,
        ..Default::default()
    };
    cluster.server_faults(leaving, draining).await;
    cluster
        .wait_for("it owns nothing", &[0, 1], |status| {
            let mut servers = status.servers.iter();
            servers.any(|server| server.address == address && server.slots == 0)
        })
        .await;
    let handed_over = requested.elapsed();
    assert!(handed_over < Duration::from_secs(3), "{handed_over:?}");
    let failures = load.end().await;
    assert!(
        failures.is_empty(),
        "{} failed: {:?}",
        failures.len(),
        failures.first()
    );
    assert_single_owners(&cluster, &[0, 1, 2]).await;
}

#[tokio::test]
async fn moves_go_on_while_responses_of_the_store_are_lost_and_the_leader_dies() {
    let mut cluster = Cluster::start(3, 3, NO_FLAGS);
    cluster.declare("").await;
    cluster
        .platform_faults(platform::Faults {
            lose_answer_every: 3,
            ..platform::Faults::default()
        })
        .await;
    let load = Load::start(&addresses(&cluster));
    for round in 0..4 {
        let servers: &[usize] = if round % 2 == 0 { &[0, 1] } else { &[0, 1, 2] };
        cluster
            .submit(
                ashroad::operator::client::DeclarationKind::Workspace,
                &cluster.workspace(servers),
            )
            .await;
        time::sleep(Duration::from_millis(400)).await;
    }
    for host in 1..3 {
        if cluster.status(host).await.leading {
            cluster.hosts[host].process.kill();
            break;
        }
    }
    cluster
        .submit(
            ashroad::operator::client::DeclarationKind::Workspace,
            &cluster.workspace(&[0, 1]),
        )
        .await;
    cluster.owned_by(2, &[0]).await;
    load.end().await;
    assert_single_owners(&cluster, &[0, 1, 2]).await;
}
