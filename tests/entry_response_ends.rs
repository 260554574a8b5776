//! Tests that a response without a length is passed on as whole only if its server has ended it, and
//! an upload without a length only if its caller has.

mod platform_standin;

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{LazyLock, Mutex as StdMutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    time::{self, Instant},
};

use self::platform_standin::{
    caller::{TestRequest, send_once},
    hosts::Host,
    raw_server::{RawRequest, reset, respond_healthy, until_closed},
    raw_site::{start_raw_site, take_tunnels},
    server_proxy::Cuts,
    site::{Site, eventually},
};

/// Timeout of the routes.
const TIMEOUT_MS: u64 = 3_000;
/// Length of a body that a host buffers whole.
const SMALL_BYTES: usize = 40_000;
/// Length of a body that a host passes on while it arrives.
const LARGE_BYTES: usize = 600_000;
/// Length of a body that neither a host nor the operating system buffers.
const VERY_LARGE_BYTES: usize = 8_000_000;
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
    if request.is_health() {
        return respond_healthy(stream).await;
    }
    let mut path = request.path.split('/').skip(2);
    let (end, size) = (path.next(), path.next());
    let size = size.and_then(|size| size.parse().ok()).unwrap_or(0);
    let body = vec![b'x'; size];
    let (first, second) = body.split_at(size / 2);
    if end == Some("upload") {
        return receive_upload(request, stream).await;
    }
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

/// Starts hosts in front of a server whose responses have no length.
async fn start_site(hosts: usize) -> (Site, Cuts) {
    start_raw_site(hosts, TIMEOUT_MS, STOP_GRACE, respond).await
}

/// Whole response.
const WHOLE: Case = Case {
    end: End::Close,
    body_bytes: SMALL_BYTES,
};

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

/// Guards against a broken response that looks whole to a caller of HTTP/1.0, for whom a body without
/// a length ends with the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_response_to_a_caller_of_http_1_0_is_reset() {
    let _guard = RUN_LOCK.lock().await;
    let (mut site, _) = start_site(1).await;
    let callers = site.hosts[0].callers;
    let cases = [
        (End::Close, "", Some(LARGE_BYTES)),
        (End::Close, "connection: keep-alive\r\n", Some(LARGE_BYTES)),
        (End::Reset, "", None),
        (End::Reset, "connection: keep-alive\r\n", None),
    ];
    let mut failures = Vec::new();
    for (end, more_headers, expected) in cases {
        let case = Case {
            end,
            body_bytes: LARGE_BYTES,
        };
        let received = receive_to_end(send_http_1_0(callers, case, more_headers).await).await;
        if received != expected {
            failures.push(format!("{case:?} {more_headers:?}: {received:?}"));
        }
    }
    let held = Case {
        end: End::Hold,
        body_bytes: LARGE_BYTES,
    };
    let stream = send_http_1_0(callers, held, "").await;
    time::sleep(2 * PAUSE).await;
    site.hosts[0].kill();
    let received = receive_to_end(stream).await;
    if received.is_some() {
        failures.push(format!("the host is killed: {received:?}"));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Sends a request of HTTP/1.0 and returns its connection.
async fn send_http_1_0(callers: SocketAddr, case: Case, more_headers: &str) -> TcpStream {
    let mut stream = TcpStream::connect(callers).await.expect("connection");
    let path = case.path();
    let id = format!("{:016x}", rand::random::<u64>());
    let request = format!(
        "POST {path} HTTP/1.0\r\nhost: site.example\r\nrequest-id: {id}\r\n\
         deadline-ms: {TIMEOUT_MS}\r\ncontent-length: 0\r\n{more_headers}\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("sent");
    stream
}

/// Returns the length of the body if the connection ends in order.
async fn receive_to_end(mut stream: TcpStream) -> Option<usize> {
    let mut response = Vec::new();
    stream.read_to_end(&mut response).await.ok()?;
    let head_end = response.windows(4).position(|bytes| bytes == b"\r\n\r\n");
    Some(response.len() - head_end.expect("a head") - 4)
}

/// Guards against an upload without a length that its caller resets and that looks whole to the
/// server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_upload_that_its_caller_breaks_off_is_not_whole() {
    let _guard = RUN_LOCK.lock().await;
    let (site, cuts) = start_site(2).await;
    let callers = site.hosts[0].callers;
    let mut failures = Vec::new();
    for is_behind_tunnel in [false, true] {
        if is_behind_tunnel {
            take_tunnels(&site, &cuts).await;
        }
        for end in [UploadEnd::Last, UploadEnd::Close, UploadEnd::Reset] {
            let id = format!("{:016x}", rand::random::<u64>());
            upload(callers, &id, end).await;
            let received = received_upload(&id).await;
            if received != (end == UploadEnd::Last) {
                failures.push(format!(
                    "{end:?}, tunnel {is_behind_tunnel}: whole {received}"
                ));
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Last chunk of a body.
const LAST_CHUNK: &[u8] = b"0\r\n\r\n";
/// Length of each chunk of an upload.
const CHUNK_BYTES: usize = 100_000;
/// Number of chunks, of which a host does not buffer all.
const CHUNKS: usize = 5;
/// Whether the uploads that arrived at the server were whole, by the id of the request.
static UPLOADS: LazyLock<StdMutex<HashMap<String, bool>>> = LazyLock::new(StdMutex::default);

fn uploads() -> MutexGuard<'static, HashMap<String, bool>> {
    UPLOADS.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Way in which a caller ends an upload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum UploadEnd {
    /// By the last chunk.
    Last,
    /// By an orderly end of the connection between two chunks.
    Close,
    /// By a reset of the connection between two chunks.
    Reset,
}

/// Sends a large body in chunks.
async fn upload(callers: SocketAddr, id: &str, end: UploadEnd) {
    let mut stream = TcpStream::connect(callers).await.expect("connection");
    let head = format!(
        "POST /orders/upload/0 HTTP/1.1\r\nhost: site.example\r\nrequest-id: {id}\r\n\
         deadline-ms: {TIMEOUT_MS}\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let chunk = format!("{CHUNK_BYTES:x}\r\n{}\r\n", "x".repeat(CHUNK_BYTES));
    for _ in 0..CHUNKS {
        stream.write_all(chunk.as_bytes()).await.expect("sent");
    }
    time::sleep(2 * PAUSE).await;
    match end {
        UploadEnd::Last => {
            stream.write_all(LAST_CHUNK).await.expect("sent");
            let mut status = [0; 12];
            stream.read_exact(&mut status).await.expect("a status");
            assert_eq!(&status, b"HTTP/1.1 200");
        }
        UploadEnd::Close => stream.shutdown().await.expect("closed"),
        UploadEnd::Reset => reset(stream),
    }
}

/// Reads an upload until its last chunk or the end of the connection.
async fn receive_upload(request: RawRequest, mut stream: TcpStream) {
    let mut body = request.body.clone();
    while !body.ends_with(LAST_CHUNK) {
        match stream.read_buf(&mut body).await {
            Ok(length) if length > 0 => {}
            _ => break,
        }
    }
    let is_whole = body.ends_with(LAST_CHUNK);
    uploads().insert(request.id.clone(), is_whole);
    let response = format!("{}content-length: 0\r\n\r\n", request.head());
    // The host may have closed the connection.
    stream.write_all(response.as_bytes()).await.ok();
}

/// Waits until an upload has ended at the server, and returns whether it was whole.
async fn received_upload(id: &str) -> bool {
    let received = || uploads().get(id).copied();
    eventually("the upload ends at the server", 8_000, async || {
        received().is_some()
    })
    .await;
    received() == Some(true)
}

/// Time after the timeout of a route by which a response must have its end.
const END_GRACE: Duration = Duration::from_millis(500);
/// Number of bytes that a slow caller reads at a time.
const SLOW_READ_BYTES: usize = 20_000;

/// Guards against large responses whose server falls silent and that never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_large_response_of_a_silent_server_ends_with_the_timeout() {
    let _guard = RUN_LOCK.lock().await;
    let (site, cuts) = start_site(2).await;
    let held = Case {
        end: End::Hold,
        body_bytes: LARGE_BYTES,
    };
    let mut failures = Vec::new();
    for is_behind_tunnel in [false, true] {
        if is_behind_tunnel {
            take_tunnels(&site, &cuts).await;
        }
        let began = Instant::now();
        let limit = Duration::from_millis(TIMEOUT_MS) + END_GRACE;
        let ended = time::timeout(2 * limit, held.failure(&site.hosts[0])).await;
        if ended != Ok(None) || began.elapsed() > limit {
            let after = began.elapsed();
            failures.push(format!(
                "tunnel {is_behind_tunnel}: {ended:?} after {after:?}"
            ));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a limit of time that cuts callers who read slowly, but within the timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_reads_slowly_gets_the_whole_response() {
    let _guard = RUN_LOCK.lock().await;
    let (site, _) = start_site(1).await;
    let case = Case {
        end: End::Close,
        body_bytes: VERY_LARGE_BYTES,
    };
    let began = Instant::now();
    let mut stream = send_http_1_0(site.hosts[0].callers, case, "").await;
    let mut response = Vec::new();
    let pieces = VERY_LARGE_BYTES / SLOW_READ_BYTES;
    let pause = Duration::from_millis(TIMEOUT_MS) * 3 / 4 / pieces as u32;
    let mut piece = vec![0; SLOW_READ_BYTES];
    loop {
        let length = stream.read(&mut piece).await.expect("no reset");
        if length == 0 {
            break;
        }
        response.extend_from_slice(&piece[..length]);
        time::sleep(pause).await;
    }
    assert!(began.elapsed() > Duration::from_millis(TIMEOUT_MS / 2));
    assert!(response.len() > VERY_LARGE_BYTES, "{}", response.len());
}
