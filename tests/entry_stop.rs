//! Tests the responses to requests that are unanswered at the end of the stop grace period.

mod platform_standin;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::StatusCode;
use serde_json::json;
use tokio::time;

use self::platform_standin::{
    caller::{CallerResponse, TestRequest, send_once},
    hosts::Host,
    site::{Site, configuration_with_timeout, eventually},
    store::Store,
    unresponsive::Unresponsive,
};

/// Timeout of the routes, and time until the deadline of the requests.
const DEADLINE_MS: u64 = 5_000;

async fn send(host: SocketAddr, method: &str, path: &str) -> Option<CallerResponse> {
    let ask = TestRequest {
        method,
        path,
        id: path,
        key: None,
        deadline_ms: DEADLINE_MS,
    };
    send_once(host, ask).await
}

/// Guards against closing a connection without a response at the end of the grace period, and
/// against a 503 response, which allows a caller to repeat the request, after the request was sent.
#[tokio::test]
async fn requests_get_a_response_at_the_end_of_the_grace_period() {
    struct Case {
        is_reachable: bool,
        status: StatusCode,
    }
    let cases = [
        Case {
            is_reachable: true,
            status: StatusCode::GATEWAY_TIMEOUT,
        },
        Case {
            is_reachable: false,
            status: StatusCode::SERVICE_UNAVAILABLE,
        },
    ];
    for case in cases {
        let server = Unresponsive::start(case.is_reachable).await;
        let store = Store::start().await;
        let settings = configuration_with_timeout(&["/reads/"], DEADLINE_MS);
        store.put("op", "config", &settings);
        // Further servers at the address are tried after the first failed connection attempt.
        for id in ["i-0000000001", "i-0000000002", "i-0000000003"] {
            let entry = json!({
                "addr": server.address().to_string(),
                "info": {"service": "orders", "version": "v1", "zone": "a", "slots": 4},
                "status": {"state": "ready", "seq": 1, "warmupLeft": "0ms"},
            });
            store.put("servers", id, &entry);
        }
        let mut host = Host::start_with(store.address, "  stop_grace: 1s\n");
        eventually("the host is ready", 8_000, async || {
            let ready = send(host.readiness, "GET", "/readyz").await;
            ready.is_some_and(|ready| ready.status == StatusCode::OK)
        })
        .await;
        let callers = host.callers;
        let requests = [("GET", "/reads/1"), ("POST", "/orders/1")];
        let sent = requests.map(|(method, path)| tokio::spawn(send(callers, method, path)));
        time::sleep(Duration::from_millis(50)).await;
        let stop_began = Instant::now();
        host.signal("TERM");
        for ((method, _), response) in requests.into_iter().zip(sent) {
            let response = response.await.expect("task");
            let response = response.unwrap_or_else(|| panic!("no response to {method}"));
            assert_eq!(
                response.status, case.status,
                "{method}: {:?}",
                response.body
            );
            assert_eq!(response.headers["connection"], "close");
            let has_retry_time = response.headers.contains_key("retry-after");
            assert_eq!(
                has_retry_time,
                case.status == StatusCode::SERVICE_UNAVAILABLE
            );
            assert!(stop_began.elapsed() >= Duration::from_millis(600), "early");
        }
        eventually("the process exits", 1_000, async || host.has_exited()).await;
        assert!(stop_began.elapsed() < Duration::from_millis(1_000));
        assert_eq!(host.events("grace_period_ended").len(), 2);
    }
}

/// Guards against an exit that cuts off a server's run because nobody waits for its response.
#[tokio::test]
async fn a_stop_waits_for_an_unrepeatable_request_whose_caller_has_left() {
    let mut site = Site::start_servers(1).await;
    let settings = configuration_with_timeout(&[], DEADLINE_MS);
    site.store.put("op", "config", &settings);
    site.hosts.push(Host::start(&site.store));
    site.await_ready().await;
    let host = &mut site.hosts[0];
    let served = site.orders[0].served();
    // Longer than a stop without callers takes, which is 2.3 s.
    site.orders[0].set_work_ms(3_500);
    let sent = tokio::spawn(send(host.callers, "POST", "/orders/1"));
    time::sleep(Duration::from_millis(200)).await;
    sent.abort();
    host.signal("TERM");
    eventually("the process exits", 6_000, async || host.has_exited()).await;
    assert_eq!(site.orders[0].served(), served + 1);
}
