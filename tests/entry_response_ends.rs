//! Tests that a response without a length is passed on as whole only if its server has ended it.

mod platform_standin;

use std::time::Duration;

use http::StatusCode;
use serde_json::json;
use tokio::{io::AsyncWriteExt, net::TcpStream, sync::Mutex, time};

use self::platform_standin::{
    caller::{TestRequest, send_once},
    hosts::Host,
    raw_server::{RawRequest, reset, start_raw_server, until_closed},
    server_proxy::{Cut, Cuts, start_server_proxy},
    site::{Site, configuration, eventually},
};

/// Timeout of the routes.
const TIMEOUT_MS: u64 = 3_000;
/// Length of a body that a host buffers whole.
const SMALL_BYTES: usize = 40_000;
/// Length of a body that a host passes on while it arrives.
const LARGE_BYTES: usize = 600_000;
/// Pause between the halves of a body, in which the first half arrives.
const PAUSE: Duration = Duration::from_millis(50);
/// Setting by which a stopping host exits before the responses that it carries time out.
const STOP_GRACE: &str = "  stop_grace: 2s\n";
/// Lock that a test holds while it runs, so that few host processes start at a time.
static RUN_LOCK: Mutex<()> = Mutex::const_new(());

/// End of a response without a length, by the first segment of the request's path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// The server closes the connection behind the body.
    Close,
    /// The server resets the connection in the middle of the body.
    Reset,
    /// The server writes half of the body and keeps the connection open.
    Hold,
}

/// A response and its end.
#[derive(Clone, Copy, Debug)]
struct Case {
    end: End,
    body_bytes: usize,
}

impl Case {
    fn path(self) -> String {
        let end = match self.end {
            End::Close => "close",
            End::Reset => "reset",
            End::Hold => "hold",
        };
        format!("/orders/{end}/{}", self.body_bytes)
    }

    /// Returns what the caller got other than it should: the whole body if the server closed the
    /// connection, and no complete success otherwise.
    async fn failure(self, host: &Host) -> Option<String> {
        let id = format!("{:016x}", rand::random::<u64>());
        let path = self.path();
        let ask = TestRequest {
            method: "POST",
            path: &path,
            id: &id,
            key: None,
            deadline_ms: TIMEOUT_MS,
        };
        let response = send_once(host.callers, ask).await;
        let success = response.filter(|response| response.status == StatusCode::OK);
        let received = success.map(|response| response.body.len());
        let expected = (self.end == End::Close).then_some(self.body_bytes);
        (received != expected).then(|| format!("{self:?}: a success of {received:?} bytes"))
    }
}

/// Answers with a body without a length, whose end and size the path names.
async fn respond(request: RawRequest, mut stream: TcpStream) {
    let mut path = request.path.split('/').skip(2);
    let (end, size) = (path.next(), path.next());
    let size = size.and_then(|size| size.parse().ok()).unwrap_or(0);
    let body = vec![b'x'; size];
    let (first, second) = body.split_at(size / 2);
    let head = format!("{}\r\n", request.head());
    // The host may close the connection at any time.
    stream.write_all(head.as_bytes()).await.ok();
    stream.write_all(first).await.ok();
    time::sleep(PAUSE).await;
    match end {
        Some("reset") => reset(stream),
        Some("hold") => until_closed(&mut stream).await,
        _ => {
            stream.write_all(second).await.ok();
            stream.shutdown().await.ok();
            // Unread bytes of the request would reset the connection.
            until_closed(&mut stream).await;
        }
    }
}

/// Starts hosts in front of a server whose responses have no length, and waits until all serve it.
async fn start_site(hosts: usize) -> (Site, Cuts) {
    let mut site = Site::start_servers(1).await;
    let cuts = Cuts::default();
    let server = start_raw_server(respond).await;
    let proxy = start_server_proxy(server, cuts.clone()).await;
    site.orders[0].put_behind_listener(&site.store, proxy);
    let mut settings = configuration(2, &[]);
    for path in settings["hosts"][0]["paths"].as_array_mut().expect("paths") {
        path["timeout"] = json!(format!("{TIMEOUT_MS}ms"));
    }
    site.store.put("op", "config", &settings);
    for _ in 0..hosts {
        let host = Host::start_with(site.store.address, STOP_GRACE);
        cuts.add_host(host.pid());
        site.hosts.push(host);
    }
    site.await_ready().await;
    for host in &site.hosts {
        eventually("a host serves the server", 8_000, async || {
            WHOLE.failure(host).await.is_none()
        })
        .await;
    }
    // Hosts learn from each other which of them carry tunnels.
    time::sleep(Duration::from_secs(1)).await;
    (site, cuts)
}

/// Whole response.
const WHOLE: Case = Case {
    end: End::Close,
    body_bytes: SMALL_BYTES,
};

/// Partitions the first host from the servers, and waits until it takes tunnels.
async fn take_tunnels(site: &Site, cuts: &Cuts) {
    cuts.begin(site.hosts[0].pid(), Cut::NewReset);
    eventually("requests take tunnels", 8_000, async || {
        let failure = WHOLE.failure(&site.hosts[0]).await;
        failure.is_none() && !site.hosts[0].events("path_lost").is_empty()
    })
    .await;
}

/// Guards against responses without a length that were cut behind a tunnel and passed on as whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_that_its_server_resets_is_not_whole() {
    let _guard = RUN_LOCK.lock().await;
    let cases = [
        WHOLE,
        Case {
            end: End::Close,
            body_bytes: LARGE_BYTES,
        },
        Case {
            end: End::Reset,
            body_bytes: SMALL_BYTES,
        },
        Case {
            end: End::Reset,
            body_bytes: LARGE_BYTES,
        },
    ];
    let (site, cuts) = start_site(2).await;
    let host = &site.hosts[0];
    let mut failures = Vec::new();
    for case in cases {
        failures.extend(case.failure(host).await.map(|f| format!("direct, {f}")));
    }
    take_tunnels(&site, &cuts).await;
    for case in cases {
        failures.extend(case.failure(host).await.map(|f| format!("tunnel, {f}")));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against responses without a length that look whole because the host that carries their
/// tunnel dies, or exits at the end of its grace period.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_whose_carrier_exits_is_not_whole() {
    let _guard = RUN_LOCK.lock().await;
    let cases = [
        ("KILL", SMALL_BYTES),
        ("KILL", LARGE_BYTES),
        ("TERM", SMALL_BYTES),
        ("TERM", LARGE_BYTES),
    ];
    let mut failures = Vec::new();
    for (signal, body_bytes) in cases {
        let (site, cuts) = start_site(2).await;
        take_tunnels(&site, &cuts).await;
        let case = Case {
            end: End::Hold,
            body_bytes,
        };
        let exit = async {
            time::sleep(2 * PAUSE).await;
            site.hosts[1].signal(signal);
        };
        let (failure, ()) = tokio::join!(case.failure(&site.hosts[0]), exit);
        failures.extend(failure.map(|failure| format!("{signal}, {failure}")));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
