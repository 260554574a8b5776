//! Tests of unrepeatable requests with real processes: duplicates of a request, killed processes
//! and lost responses of the store.

mod common;

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use ashroad::standin::{backend, invariants, platform};
use common::{Caller, CallerResponse, Cluster, NO_FLAGS};
use tokio::{sync::Mutex, time};

const RULE: &str = "    unrepeatable:\n      - { method: POST, path_prefix: / }\n";

#[tokio::test]
async fn a_duplicate_at_another_host_gets_the_stored_response() {
    let cluster = Cluster::start(2, 2, NO_FLAGS);
    cluster.declare(RULE).await;
    let caller = Caller::default();
    let (one, other) = (cluster.hosts[0].callers, cluster.hosts[1].callers);
    let first = caller.post(one, "/w/s/parcel-7", "order-1").await;
    let first = first.expect("a response");
    assert_eq!(first.status, 200);
    // The host records the response shortly after it has sent the response to the caller.
    time::sleep(Duration::from_millis(300)).await;
    let second = caller.post(other, "/w/s/parcel-7", "order-1").await;
    let second = second.expect("a response");
    assert_eq!((second.status, second.body), (200, first.body));
    let reused = caller.post(other, "/w/s/parcel-8", "order-1").await;
    let reused = reused.expect("a response");
    assert_eq!(reused.status, 422, "{reused:?}");
    assert_eq!(reused.outcome.as_deref(), Some("not-run"));
    let records = cluster.records(&[0, 1]).await;
    assert!(invariants::double_runs(&records).is_empty());
}

#[tokio::test]
async fn an_idempotency_key_that_cannot_be_kept_is_refused() {
    let cluster = Cluster::start(1, 1, NO_FLAGS);
    cluster.declare(RULE).await;
    let caller = Caller::default();
    for key in ["", "Pe\u{f1}a"] {
        let response = caller
            .post(cluster.hosts[0].callers, "/w/s/parcel-7", key)
            .await;
        let response = response.expect("a response");
        assert_eq!(
            response.reason.as_deref(),
            Some("bad-idempotency-key"),
            "{key:?}"
        );
        assert_eq!(response.outcome.as_deref(), Some("not-run"));
    }
    assert!(cluster.record(0).await.runs.is_empty());
}

#[tokio::test]
async fn a_duplicate_of_a_running_request_does_not_run() {
    let cluster = Cluster::start(1, 2, &["--work-ms", "400"]);
    cluster.declare(RULE).await;
    let (one, other) = (cluster.hosts[0].callers, cluster.hosts[1].callers);
    let first = tokio::spawn(async move {
        Caller::default()
            .post(one, "/w/s/parcel-7", "order-1")
            .await
    });
    time::sleep(Duration::from_millis(200)).await;
    let second = Caller::default()
        .post(other, "/w/s/parcel-7", "order-1")
        .await;
    let second = second.expect("a response");
    assert_eq!(second.status, 409, "{second:?}");
    assert_eq!(second.reason.as_deref(), Some("in-progress"));
    assert!(second.retry_after.is_some());
    let first = first
        .await
        .expect("the task completes")
        .expect("a response");
    assert_eq!(first.status, 200);
}

#[tokio::test]
async fn without_the_store_an_unrepeatable_request_is_refused_as_not_run() {
    let cluster = Cluster::start(1, 1, NO_FLAGS);
    cluster.declare(RULE).await;
    cluster
        .platform_faults(platform::Faults {
            down: true,
            ..platform::Faults::default()
        })
        .await;
    let caller = Caller::default();
    let host = cluster.hosts[0].callers;
    let refused = caller.post(host, "/w/s/parcel-7", "order-1").await;
    let refused = refused.expect("a response");
    assert_eq!(refused.reason.as_deref(), Some("claims-unavailable"));
    assert_eq!(refused.outcome.as_deref(), Some("not-run"));
    assert!(refused.retry_after.is_some());
    let plain = caller.get(host, "/w/s/parcel-7").await.expect("a response");
    assert_eq!(plain.status, 200);
    let records = cluster.records(&[0]).await;
    assert!(records[0].runs.iter().all(|run| run.request != "order-1"));
}

#[tokio::test]
async fn a_truncated_response_is_an_error_and_its_request_does_not_run_again() {
    let cluster = Cluster::start(1, 1, NO_FLAGS);
    cluster.declare(RULE).await;
    cluster
        .server_faults(
            0,
            backend::Faults {
                cut_answers: true,
                ..backend::Faults::default()
            },
        )
        .await;
    let caller = Caller::default();
    let host = cluster.hosts[0].callers;
    let cut = caller.get(host, "/w/s/parcel-7").await;
    assert!(cut.is_err(), "a truncated response was accepted: {cut:?}");
    let order = caller.post(host, "/w/s/parcel-7", "order-1").await;
    let order = order.expect("a response");
    assert_eq!(order.outcome.as_deref(), Some("unknown"), "{order:?}");
    cluster.server_faults(0, backend::Faults::default()).await;
    time::sleep(Duration::from_millis(200)).await;
    let again = caller.post(host, "/w/s/parcel-7", "order-1").await;
    let again = again.expect("a response");
    assert_eq!(again.reason.as_deref(), Some("unsettled"), "{again:?}");
    let records = cluster.records(&[0]).await;
    assert!(invariants::double_runs(&records).is_empty());
}

/// Outcomes that callers received for one order and for all duplicates of the order.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedOutcomes {
    answered: bool,
    unknown: bool,
}

async fn send_order(
    reported: &Mutex<HashMap<String, ReportedOutcomes>>,
    caller: &Caller,
    host: SocketAddr,
    order: &str,
) {
    let path = format!("/w/s/{order}");
    let response = caller.post(host, &path, order).await;
    let mut reported = reported.lock().await;
    let reported = reported.entry(order.to_owned()).or_default();
    match response {
        Ok(CallerResponse { status: 200, .. }) => reported.answered = true,
        Ok(CallerResponse { outcome, .. }) if outcome.as_deref() == Some("not-run") => {}
        _ => reported.unknown = true,
    }
}

#[tokio::test]
async fn orders_run_at_most_once_through_kills_and_lost_responses() {
    let mut cluster = Cluster::start(3, 3, NO_FLAGS);
    cluster.declare(RULE).await;
    cluster
        .platform_faults(platform::Faults {
            lose_answer_every: 17,
            ..platform::Faults::default()
        })
        .await;
    let reported = Arc::new(Mutex::new(HashMap::new()));
    let hosts: Vec<SocketAddr> = cluster.hosts.iter().map(|host| host.callers).collect();
    let mut tasks = Vec::new();
    for task in 0..20_usize {
        let (reported, hosts) = (reported.clone(), hosts.clone());
        tasks.push(tokio::spawn(async move {
            let caller = Caller::default();
            for number in 0..60_usize {
                let order = format!("order-{task}-{number}");
                let host = hosts[(task + number) % 3];
                if number % 3 > 0 {
                    send_order(&reported, &caller, host, &order).await;
                    continue;
                }
                let other = hosts[(task + number + 1) % 3];
                let one = send_order(&reported, &caller, host, &order);
                let two = send_order(&reported, &caller, other, &order);
                tokio::join!(one, two);
                time::sleep(Duration::from_millis(20)).await;
            }
        }));
    }
    time::sleep(Duration::from_millis(500)).await;
    cluster.hosts[2].process.kill();
    time::sleep(Duration::from_millis(300)).await;
    // The server is frozen instead of killed, so that its record can be read afterwards.
    cluster.servers[0].process.signal("STOP");
    for task in tasks {
        task.await.expect("a caller stops");
    }
    cluster.servers[0].process.signal("CONT");
    time::sleep(Duration::from_millis(500)).await;
    let records = cluster.records(&[0, 1, 2]).await;
    assert_eq!(invariants::double_runs(&records).len(), 0);
    assert_eq!(invariants::double_owned(&records).len(), 0);
    let ran = |order: &str| {
        let mut runs = records.iter().flat_map(|record| &record.runs);
        runs.any(|run| run.request == order)
    };
    let reported = reported.lock().await;
    assert_eq!(reported.len(), 1_200);
    for (order, reported) in reported.iter() {
        assert!(
            !reported.answered || ran(order),
            "{order} was answered but never ran"
        );
        let only_not_run = !reported.answered && !reported.unknown;
        assert!(
            !only_not_run || !ran(order),
            "{order} ran but was reported as not run"
        );
    }
    let answered = reported
        .values()
        .filter(|reported| reported.answered)
        .count();
    assert!(answered > 600, "{answered} of {} answered", reported.len());
}

#[tokio::test]
async fn two_arrivals_at_one_host_in_the_same_moment_run_once() {
    let cluster = Cluster::start(1, 1, NO_FLAGS);
    cluster.declare(RULE).await;
    let host = cluster.hosts[0].callers;
    for round in 0..50 {
        let order = format!("order-{round}");
        let (one, two) = (Caller::default(), Caller::default());
        let (one, two) = tokio::join!(
            one.post(host, "/w/s/parcel-7", &order),
            two.post(host, "/w/s/parcel-7", &order)
        );
        let statuses = [
            one.expect("a response").status,
            two.expect("a response").status,
        ];
        assert!(statuses.contains(&200), "{statuses:?}");
    }
    let records = cluster.records(&[0]).await;
    assert_eq!(invariants::double_runs(&records).len(), 0);
}
