//! Retry times and ages of requests for a contended service, with a real host and stand-ins of the
//! store and of backend servers.

mod platform_standin;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use http::StatusCode;
use tokio::{task::JoinSet, time};

use self::platform_standin::{
    caller::{CallerResponse, TestRequest, send_once},
    hosts::Host,
    site::{Site, eventually},
};

/// Settings by which the service with 4 slots a server is contended.
const CONTENDED: &str = "policy:\n  contended_slots_max: 4\n";
/// Waiting time of callers, longer than the timeout of the route.
const CALLER_WAIT_MS: u64 = 6_000;

async fn read(host: SocketAddr, id: &str, key: u16, deadline_ms: u64) -> CallerResponse {
    let ask = TestRequest {
        method: "GET",
        path: "/keyed/level",
        id,
        key: Some(key),
        deadline_ms,
    };
    send_once(host, ask).await.expect("a response")
}

/// Sends a request with this header line and returns the first line of the response.
fn status_line(host: SocketAddr, header_line: &str) -> String {
    let mut stream = TcpStream::connect(host).expect("host");
    let request = format!(
        "GET /keyed/level HTTP/1.1\r\nhost: site.example\r\nrequest-id: raw\r\nshard-key: 7\r\n\
         {header_line}connection: close\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("request");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("response");
    text.lines().next().unwrap_or_default().to_owned()
}

/// Guards against retry times at the end of a lease that callers do not honour or that are all the
/// same, against malformed deadlines that are refused, and against retries that are not counted.
#[tokio::test(flavor = "multi_thread")]
async fn refused_callers_of_a_contended_service_return_at_different_times() {
    let mut site = Site::start_servers(2).await;
    let host = Host::start_with(site.store.address, CONTENDED);
    site.hosts.push(host);
    site.await_ready().await;
    let host = &site.hosts[0];
    for line in ["", "deadline-ms: soon\r\n", "deadline-ms: -1\r\n"] {
        let status = status_line(host.callers, line);
        assert!(status.starts_with("HTTP/1.1 200"), "{line:?}: {status}");
    }
    for number in 0..30 {
        let response = read(host.callers, &format!("first-{number}"), 7, CALLER_WAIT_MS).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    let retry = read(host.callers, "retry", 7, CALLER_WAIT_MS - 1_000).await;
    assert_eq!(retry.status, StatusCode::OK);
    site.keyed[0].crash(&site.store);
    let mut retry_times_s = Vec::new();
    for number in 0..60u16 {
        let response = read(
            host.callers,
            &format!("lost-{number}"),
            number * 1_000,
            CALLER_WAIT_MS,
        )
        .await;
        if response.status == StatusCode::SERVICE_UNAVAILABLE {
            let after = response.headers["retry-after"].to_str().expect("text");
            retry_times_s.push(after.parse::<f64>().expect("seconds"));
        }
    }
    assert!(retry_times_s.len() >= 10, "{retry_times_s:?}");
    let third_s = CALLER_WAIT_MS as f64 / 3_000.0;
    assert!(
        retry_times_s.iter().all(|s| *s < third_s),
        "{retry_times_s:?}"
    );
    retry_times_s.sort_unstable_by(f64::total_cmp);
    retry_times_s.dedup();
    assert!(retry_times_s.len() >= 5, "{retry_times_s:?}");
    eventually("the steps are logged", 8_000, async || {
        let logged = host.events("contention").concat();
        let steps = ["retry", "retry_answered", "told_to_retry"];
        steps
            .iter()
            .all(|step| logged.contains(&format!("\"{step}\"")))
    })
    .await;
}

/// Guards against callers of a service that is short of capacity who are told to retry while it
/// still is, and against a shortage that is not reported or that outlasts its requests.
#[tokio::test(flavor = "multi_thread")]
async fn refused_callers_of_a_service_that_is_short_return_late() {
    let mut site = Site::start_servers(2).await;
    let host = Host::start_with(site.store.address, CONTENDED);
    site.hosts.push(host);
    site.await_ready().await;
    let host = &site.hosts[0];
    for server in &site.keyed {
        server.set_work_ms(150);
    }
    let callers = host.callers;
    let calls: JoinSet<CallerResponse> = (0..160u16)
        .map(|number| async move {
            time::sleep(Duration::from_millis(u64::from(number) * 4)).await;
            let id = format!("burst-{number}");
            read(callers, &id, number.wrapping_mul(7_919), CALLER_WAIT_MS).await
        })
        .collect();
    eventually("the shortage is in the metrics", 8_000, async || {
        host.metrics_text().contains("\nashroad_services_short 1\n")
    })
    .await;
    let responses = calls.join_all().await;
    let told = responses
        .iter()
        .filter_map(|r| r.headers.get("retry-after"));
    let told_s: Vec<f64> = told
        .map(|text| text.to_str().expect("text").parse().expect("seconds"))
        .collect();
    let honoured_s = CALLER_WAIT_MS as f64 / 3_000.0;
    let late = told_s.iter().filter(|s| **s >= honoured_s * 0.48);
    assert!(late.count() >= 20, "{told_s:?}");
    assert!(told_s.iter().all(|s| *s < honoured_s), "{told_s:?}");
    eventually(
        "begin and end are logged, the step is counted",
        12_000,
        async || {
            let changes = host.events("shortage");
            let begins = changes
                .iter()
                .filter(|event| event.contains("\"begins\":true"));
            let steps = host.events("contention").concat();
            changes.len() == 2 * begins.count()
                && !changes.is_empty()
                && steps.contains("\"told_to_retry_in_shortage\"")
        },
    )
    .await;
}
