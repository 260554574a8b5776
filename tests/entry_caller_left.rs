//! Tests that an unrepeatable request is not sent to a server after its caller has left.

mod platform_standin;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{io::AsyncWriteExt, net::TcpStream, time};

use self::platform_standin::{
    caller::{CallerResponse, TestRequest, send_once},
    hosts::Host,
    raw_server::{RawRequest, respond_healthy, start_raw_server, until_closed},
    raw_site::PROXIES_KNOWN_AFTER,
    server_proxy::{Cut, Cuts, start_server_proxy},
    site::{Site, configuration_with_timeout, eventually, routes},
    unresponsive::Unresponsive,
};

/// Timeout of the routes.
const TIMEOUT_MS: u64 = 5_000;
/// Time after which a server responds that it did not run a request.
const NOT_RUN_AFTER: Duration = Duration::from_millis(400);
/// Time after which a caller closes its connection.
const LEAVES_AFTER: Duration = Duration::from_millis(100);
/// Time within which a host that sends a request again would have done so.
const SENT_AGAIN_WITHIN: Duration = Duration::from_millis(1_000);
/// Number of requests, of which the unresponsive server is chosen for at least one.
const REQUESTS: usize = 12;

/// Returns a configuration in which all routes are unrepeatable.
fn unrepeatable_routes() -> Value {
    let mut settings = configuration_with_timeout(&[], TIMEOUT_MS);
    for path in routes(&mut settings) {
        path["kind"] = json!("unsafe");
    }
    settings
}

async fn send(host: SocketAddr, path: &str, id: &str) -> Option<CallerResponse> {
    let ask = TestRequest {
        method: "POST",
        path,
        id,
        key: None,
        deadline_ms: TIMEOUT_MS,
    };
    send_once(host, ask).await
}

/// Sends a request and closes its connection after [`LEAVES_AFTER`].
async fn send_and_leave(host: SocketAddr, path: &str, id: &str) {
    let response = time::timeout(LEAVES_AFTER, send(host, path, id)).await;
    assert!(response.is_err(), "{id}: {response:?}");
}

/// Responds that the request did not run, by the header or by the status that the path names.
async fn respond_not_run(request: RawRequest, mut stream: TcpStream, arrivals: Arc<AtomicU32>) {
    if request.is_health() {
        return respond_healthy(stream).await;
    }
    arrivals.fetch_add(1, Ordering::Relaxed);
    time::sleep(NOT_RUN_AFTER).await;
    let status = if request.path.ends_with("421") {
        "421 Misdirected Request\r\n"
    } else {
        "503 Service Unavailable\r\nnot-run: 1\r\n"
    };
    let id = &request.id;
    let head = format!("HTTP/1.1 {status}request-id: {id}\r\ncontent-length: 0\r\n\r\n");
    // The host may have closed the connection.
    stream.write_all(head.as_bytes()).await.ok();
    until_closed(&mut stream).await;
}

/// Starts two hosts in front of two servers that run no request; returns also the number of requests
/// that arrived.
async fn start_rejecting_site() -> (Site, Cuts, Arc<AtomicU32>) {
    let mut site = Site::start_servers(2).await;
    let cuts = Cuts::default();
    let arrivals = Arc::new(AtomicU32::new(0));
    for server in &mut site.orders {
        let arrivals = arrivals.clone();
        let respond = move |request, stream| respond_not_run(request, stream, arrivals.clone());
        let proxy = start_server_proxy(start_raw_server(respond).await, cuts.clone()).await;
        server.put_behind_listener(&site.store, proxy);
    }
    site.store.put("op", "config", &unrepeatable_routes());
    for _ in 0..2 {
        let host = Host::start(&site.store);
        cuts.add_host(host.pid());
        site.hosts.push(host);
    }
    site.await_ready().await;
    time::sleep(PROXIES_KNOWN_AFTER).await;
    (site, cuts, arrivals)
}

/// Guards against requests that a server did not run and that are sent to the next server although
/// their caller has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_that_did_not_run_is_not_sent_again_for_a_caller_that_left() {
    struct Case {
        path: &'static str,
        caller_leaves: bool,
        arrivals: u32,
    }
    let cases = [
        Case {
            path: "/orders/503",
            caller_leaves: false,
            arrivals: 2,
        },
        Case {
            path: "/orders/503",
            caller_leaves: true,
            arrivals: 1,
        },
        Case {
            path: "/orders/421",
            caller_leaves: false,
            arrivals: 2,
        },
        Case {
            path: "/orders/421",
            caller_leaves: true,
            arrivals: 1,
        },
    ];
    let (site, cuts, arrivals) = start_rejecting_site().await;
    let host = &site.hosts[0];
    let mut failures = Vec::new();
    for route in ["direct", "tunnel"] {
        if route == "tunnel" {
            cuts.begin(host.pid(), Cut::NewReset);
            eventually("requests take tunnels", 8_000, async || {
                send(host.callers, "/orders/503", "first").await;
                host.events("path_lost").len() >= 2
            })
            .await;
            time::sleep(SENT_AGAIN_WITHIN).await;
        }
        for case in &cases {
            arrivals.store(0, Ordering::Relaxed);
            let id = format!("{:016x}", rand::random::<u64>());
            if case.caller_leaves {
                send_and_leave(host.callers, case.path, &id).await;
                time::sleep(NOT_RUN_AFTER + SENT_AGAIN_WITHIN).await;
            } else {
                send(host.callers, case.path, &id).await;
            }
            let arrived = arrivals.load(Ordering::Relaxed);
            if arrived != case.arrivals {
                let (path, leaves) = (case.path, case.caller_leaves);
                failures.push(format!("{route}, {path}, {leaves}: {arrived} arrivals"));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against requests that are sent to the next server, after a connection attempt without a
/// response, although their caller has left.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_other_server_is_tried_for_a_caller_that_left() {
    let unresponsive = Unresponsive::start(false).await;
    let mut site = Site::start_servers(2).await;
    site.orders[1].put_behind_listener(&site.store, unresponsive.address());
    site.store.put("op", "config", &unrepeatable_routes());
    site.hosts.push(Host::start(&site.store));
    site.await_ready().await;
    let callers = site.hosts[0].callers;
    let mut unanswered = Vec::new();
    for _ in 0..REQUESTS {
        let id = format!("{:016x}", rand::random::<u64>());
        let response = send(callers, "/orders/a", &id);
        if time::timeout(LEAVES_AFTER, response).await.is_err() {
            unanswered.push(id);
        }
    }
    assert!(!unanswered.is_empty(), "all requests were answered at once");
    time::sleep(SENT_AGAIN_WITHIN).await;
    let mut received = site.orders[0].received_requests();
    received.retain(|request| unanswered.contains(&request.id));
    assert!(received.is_empty(), "{received:#?}");
}
