//! End-to-end tests with separate processes: callers, entry hosts, backend servers and the
//! platform.

mod common;

use ashroad::operator::client::DeclarationKind;
use common::{Caller, Cluster, NO_FLAGS};

#[tokio::test]
async fn a_request_gets_its_whole_response_from_the_owner_of_its_key() {
    let cluster = Cluster::start(3, 2, NO_FLAGS);
    cluster.declare("").await;
    let caller = Caller::default();
    for number in 0..40 {
        let key = format!("key-{number}");
        let owner = cluster.owner(&key).await;
        let incarnation = cluster.record(owner).await.incarnation;
        for host in &cluster.hosts {
            let path = format!("/w/s/{key}/level?unit=cm");
            let answered = caller.get(host.callers, &path).await.expect("a response");
            assert_eq!(answered.status, 200, "{answered:?}");
            let answer = answered.answer();
            assert_eq!(answer.incarnation, incarnation, "key {key}");
            assert_eq!(answer.path, format!("/w/s/{key}/level"));
        }
    }
}

#[tokio::test]
async fn requests_that_cannot_be_routed_get_the_reason() {
    struct Case {
        path: &'static str,
        status: u16,
        reason: &'static str,
    }
    let cases = [
        Case {
            path: "/",
            status: 404,
            reason: "no-such-service",
        },
        Case {
            path: "/w/unknown/key",
            status: 404,
            reason: "no-such-service",
        },
        Case {
            path: "/w/s",
            status: 400,
            reason: "no-key",
        },
        Case {
            path: "/w/s//rest",
            status: 400,
            reason: "no-key",
        },
    ];
    let cluster = Cluster::start(1, 1, NO_FLAGS);
    cluster.declare("").await;
    let caller = Caller::default();
    for case in cases {
        let answered = caller.get(cluster.hosts[0].callers, case.path).await;
        let answered = answered.expect("a response");
        assert_eq!(answered.status, case.status, "{}", case.path);
        assert_eq!(answered.outcome.as_deref(), Some("not-run"));
        assert_eq!(
            answered.reason.as_deref(),
            Some(case.reason),
            "{}",
            case.path
        );
    }
}

#[tokio::test]
async fn a_server_that_leaves_the_workspace_hands_its_slots_over_under_load() {
    let cluster = Cluster::start(3, 2, NO_FLAGS);
    cluster.declare("").await;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    let mut callers = Vec::new();
    for host in &cluster.hosts {
        let (address, stopped) = (host.callers, stopped.clone());
        callers.push(tokio::spawn(async move {
            let caller = Caller::default();
            let mut answered = 0;
            while !*stopped.borrow() {
                let path = format!("/w/s/key-{answered}");
                let answer = caller.get(address, &path).await.expect("a response");
                assert_eq!(answer.status, 200, "{answer:?}");
                answered += 1;
            }
            answered
        }));
    }
    cluster
        .submit(DeclarationKind::Workspace, &cluster.workspace(&[0, 1]))
        .await;
    let gone = cluster.servers[2].address.to_string();
    cluster
        .wait_for("the server owns nothing", &[0, 1], |status| {
            let mut servers = status.servers.iter();
            servers.any(|server| server.address == gone && server.slots == 0)
        })
        .await;
    stop.send(true).expect("callers run");
    for caller in callers {
        assert!(caller.await.expect("no request failed") > 0);
    }
}
