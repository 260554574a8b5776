//! Tests that a response whose head breaks off, or whose status is 000, is not passed on as a success.

mod platform_standin;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use http::StatusCode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, BufReader},
    net::TcpStream,
    sync::Mutex,
    time,
};

use self::platform_standin::{
    caller::{Caller, TestRequest, send_once},
    hosts::Host,
    raw_server::{RawRequest, read_head, reset, respond_healthy, until_closed},
    raw_site::{start_raw_site, take_tunnels},
    site::Site,
};

/// Timeout of the routes.
const TIMEOUT_MS: u64 = 2_000;
/// Body of the responses.
const BODY: &str = "the whole body";
/// Number of bytes between two places at which a head is cut.
const CUT_EVERY_BYTES: usize = 9;
/// Length of an upload of which the caller has sent half when its response arrives: more than a host
/// buffers before it sends a request.
const UPLOAD_BYTES: usize = 1_000_000;
/// Time in which a caller gets the response to an upload.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Lock that a test holds while it runs, so that few host processes start at a time.
static RUN_LOCK: Mutex<()> = Mutex::const_new(());

/// End of a connection whose response was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Close,
    Reset,
    /// The connection stays open, and nothing more is sent.
    Silence,
}

/// Response of which a server sends the beginning.
#[derive(Clone, Copy, Debug)]
struct Response {
    /// Name, which the path of the request contains.
    name: &'static str,
    /// Interim responses and the status line.
    start: &'static str,
    /// Header lines besides the identifier and the signature.
    fields: &'static str,
    /// Bytes behind the head.
    bytes: &'static str,
}

const CHUNKED: &str = "transfer-encoding: chunked\r\n";

#[rustfmt::skip]
const RESPONSES: [Response; 7] = [
    Response { name: "length", start: "HTTP/1.1 200 OK", fields: "content-length: 14\r\n", bytes: BODY },
    Response { name: "length-last", start: "HTTP/1.1 200 OK", fields: "x: y\r\ncontent-length: 14\r\n", bytes: BODY },
    Response { name: "chunks", start: "HTTP/1.1 200 OK", fields: CHUNKED, bytes: "e\r\nthe whole body\r\n0\r\n\r\n" },
    Response { name: "trailer", start: "HTTP/1.1 200 OK", fields: CHUNKED, bytes: "e\r\nthe whole body\r\n0\r\nx: y\r\nz: w\r\n\r\n" },
    Response { name: "no-length", start: "HTTP/1.1 200 OK", fields: "connection: close\r\n", bytes: BODY },
    Response { name: "interim", start: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK", fields: "content-length: 14\r\n", bytes: BODY },
    Response { name: "http-1.0", start: "HTTP/1.0 200 OK", fields: "content-length: 14\r\n", bytes: BODY },
];

/// Responses whose status is no status.
#[rustfmt::skip]
const STATUS_000: [Response; 8] = [
    Response { name: "status-000", start: "HTTP/1.1 000 OK", fields: "content-length: 14\r\n", bytes: BODY },
    Response { name: "status-000-no-reason", start: "HTTP/1.1 000", fields: "content-length: 14\r\n", bytes: BODY },
    Response { name: "status-000-chunks", start: "HTTP/1.1 000 OK", fields: CHUNKED, bytes: "e\r\nthe whole body\r\n0\r\n\r\n" },
    Response { name: "status-000-no-length", start: "HTTP/1.1 000 OK", fields: "connection: close\r\n", bytes: BODY },
    Response { name: "status-000-http-1.0", start: "HTTP/1.0 000 OK", fields: "content-length: 14\r\n", bytes: BODY },
    Response { name: "status-000-interim", start: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK", fields: "content-length: 14\r\n", bytes: BODY },
    Response { name: "status-00", start: "HTTP/1.1 00 OK", fields: "content-length: 14\r\n", bytes: BODY },
    Response { name: "status-001", start: "HTTP/1.1 001 OK", fields: "content-length: 14\r\n", bytes: BODY },
];

impl Response {
    /// Returns the whole response to the request with an identifier.
    fn whole(self, id: &str) -> String {
        let Self {
            start,
            fields,
            bytes,
            ..
        } = self;
        format!("{start}\r\nrequest-id: {id}\r\nserver-signature: signed\r\n{fields}\r\n{bytes}")
    }

    /// Returns the number of bytes that must not count as a whole response: those of the head, and
    /// those of the body if its end is marked.
    fn incomplete_bytes(self, id: &str) -> usize {
        let whole = self.whole(id).len();
        if self.fields.contains("connection: close") {
            whole - BODY.len()
        } else {
            whole
        }
    }
}

/// What a server does with the response to a request; the path of the request states it.
#[derive(Clone, Copy, Debug)]
struct Cut {
    response: Response,
    /// Number of bytes that the server sends.
    sent_bytes: usize,
    end: End,
    /// True if the response before it on the same connection is whole.
    is_second: bool,
}

impl Cut {
    fn name(self) -> String {
        let Self {
            response,
            sent_bytes,
            end,
            is_second,
        } = self;
        let order = if is_second { "second" } else { "first" };
        format!("{}/{sent_bytes}/{end:?}/{order}", response.name)
    }

    fn parse(path: &str) -> Option<Self> {
        let mut parts = path.split('/').skip(2);
        let name = parts.next()?;
        let response = RESPONSES
            .into_iter()
            .chain(STATUS_000)
            .find(|r| r.name == name)?;
        let sent_bytes = parts.next()?.parse().ok()?;
        let end = match parts.next()? {
            "Close" => End::Close,
            "Reset" => End::Reset,
            _ => End::Silence,
        };
        let is_second = parts.next()? == "second";
        Some(Self {
            response,
            sent_bytes,
            end,
            is_second,
        })
    }

    async fn send(self, id: &str, mut stream: TcpStream) {
        let whole = self.response.whole(id);
        let sent = &whole.as_bytes()[..self.sent_bytes.min(whole.len())];
        // The host may close the connection at any time.
        stream.write_all(sent).await.ok();
        match self.end {
            End::Close => {
                stream.shutdown().await.ok();
                // Unread bytes of the request would reset the connection.
                until_closed(&mut stream).await;
            }
            End::Reset => reset(stream),
            End::Silence => until_closed(&mut stream).await,
        }
    }

    /// Sends an unrepeatable request to a host. Returns what the caller got if that is a success, or
    /// an answer that the server has signed.
    async fn failure(self, host: &Host) -> Option<String> {
        let name = self.name();
        if self.is_second {
            request(host, "/orders/whole/connection").await;
        }
        let received = request(host, &format!("/orders/{name}")).await;
        let is_expected = received
            .as_ref()
            .is_some_and(|(status, is_signed)| status.is_server_error() && !is_signed);
        (!is_expected).then(|| format!("{name}: {received:?}"))
    }
}

/// Returns the cuts of all responses, each ended in two ways.
fn cuts(is_second: bool) -> Vec<Cut> {
    let id = "0123456789abcdef";
    let of_response = |response: Response| {
        let places = (1..response.incomplete_bytes(id)).step_by(CUT_EVERY_BYTES);
        places.flat_map(move |sent_bytes| {
            [End::Close, End::Reset].map(|end| Cut {
                response,
                sent_bytes,
                end,
                is_second,
            })
        })
    };
    RESPONSES.into_iter().flat_map(of_response).collect()
}

/// Returns the responses with status 000, which the server sends as a whole.
fn without_status() -> Vec<Cut> {
    let whole = |response| Cut {
        response,
        sent_bytes: usize::MAX,
        end: End::Close,
        is_second: false,
    };
    STATUS_000.into_iter().map(whole).collect()
}

/// Sends an unrepeatable request to a host; returns the status, and whether the server signed the
/// response. Returns `None` if the response has no end.
async fn request(host: &Host, path: &str) -> Option<(StatusCode, bool)> {
    let id = format!("{:016x}", rand::random::<u64>());
    let ask = TestRequest {
        method: "POST",
        path,
        id: &id,
        key: None,
        deadline_ms: TIMEOUT_MS,
    };
    let response = send_once(host.callers, ask).await?;
    let is_signed = response.headers.contains_key("server-signature");
    Some((response.status, is_signed))
}

/// Server that cuts its responses as the path of the request states.
#[derive(Clone, Debug, Default)]
struct CuttingServer {
    /// Number of requests that were the second ones of their connections.
    seconds: Arc<AtomicUsize>,
}

impl CuttingServer {
    async fn respond(self, request: RawRequest, mut stream: TcpStream) {
        if request.is_health() {
            return respond_healthy(stream).await;
        }
        if let Some(cut) = Cut::parse(&request.path) {
            return cut.send(&request.id, stream).await;
        }
        let whole = RESPONSES[0].whole(&request.id);
        // The host may close the connection at any time.
        stream.write_all(whole.as_bytes()).await.ok();
        if !request.path.ends_with("/connection") {
            stream.shutdown().await.ok();
            return until_closed(&mut stream).await;
        }
        // The body of the first request was read together with its head.
        let mut stream = BufReader::new(stream);
        let Some(second) = read_head(&mut stream).await else {
            return;
        };
        self.seconds.fetch_add(1, Ordering::Relaxed);
        if let Some(cut) = Cut::parse(&second.path) {
            cut.send(&second.id, stream.into_inner()).await;
        }
    }

    async fn start_site(&self, hosts: usize) -> (Site, platform_standin::server_proxy::Cuts) {
        let server = self.clone();
        let respond = move |request, stream| server.clone().respond(request, stream);
        start_raw_site(hosts, TIMEOUT_MS, "", respond).await
    }
}

/// Plays cuts with a host that reaches the server, and with one that takes tunnels.
async fn failures(cuts: &[Cut]) -> Vec<String> {
    let (site, paths) = CuttingServer::default().start_site(2).await;
    let mut failures = Vec::new();
    for cut in cuts {
        failures.extend(cut.failure(&site.hosts[0]).await);
    }
    take_tunnels(&site, &paths).await;
    for cut in cuts {
        let failure = cut.failure(&site.hosts[0]).await;
        failures.extend(failure.map(|failure| format!("tunnel, {failure}")));
    }
    failures
}

/// Guards against a success with an empty or short body for a response that broke off in its head, in
/// its body or in its trailer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_that_break_off_are_no_successes() {
    let _guard = RUN_LOCK.lock().await;
    let failures = failures(&cuts(false)).await;
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a status that callers get although it is none.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn responses_with_status_000_are_not_passed_on() {
    let _guard = RUN_LOCK.lock().await;
    let failures = failures(&without_status()).await;
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a head that breaks off behind a whole response on the same connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn second_responses_of_a_connection_that_break_off_are_no_successes() {
    /// Number of second requests that must have reached the server on the connection of the first.
    const SECONDS_MIN: usize = 20;
    let _guard = RUN_LOCK.lock().await;
    let server = CuttingServer::default();
    let (site, _paths) = server.start_site(1).await;
    let mut failures = Vec::new();
    for cut in cuts(true) {
        failures.extend(cut.failure(&site.hosts[0]).await);
    }
    assert!(failures.is_empty(), "{failures:#?}");
    let seconds = server.seconds.load(Ordering::Relaxed);
    assert!(
        seconds >= SECONDS_MIN,
        "{seconds} connections were used again"
    );
}

/// Guards against a success whose head broke off after which nothing more arrives.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_head_behind_which_nothing_arrives_ends_with_the_timeout() {
    let _guard = RUN_LOCK.lock().await;
    let (site, _paths) = CuttingServer::default().start_site(1).await;
    let mut failures = Vec::new();
    for response in [RESPONSES[0], RESPONSES[4]] {
        let cut = Cut {
            response,
            sent_bytes: response.whole("0123456789abcdef").len() / 2,
            end: End::Silence,
            is_second: false,
        };
        failures.extend(cut.failure(&site.hosts[0]).await);
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a success for an upload whose response breaks off, or has no status, while the
/// caller still sends.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_response_to_an_upload_is_no_success() {
    let _guard = RUN_LOCK.lock().await;
    let (site, _paths) = CuttingServer::default().start_site(1).await;
    let mut failures = Vec::new();
    let cuts = cuts(false).into_iter().step_by(8);
    for cut in cuts.chain(without_status()) {
        let text = upload_half(site.hosts[0].callers, &cut.name()).await;
        if !text.starts_with("HTTP/1.1 5") || text.contains("server-signature") {
            failures.push(format!("{}: {text:?}", cut.name()));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Sends half of an upload to a host; returns the status line and the fields that name the server's
/// signature, or nothing if the host closes the connection.
async fn upload_half(callers: SocketAddr, name: &str) -> String {
    let mut stream = TcpStream::connect(callers).await.expect("connection");
    let head = format!(
        "POST /orders/{name} HTTP/1.1\r\nhost: site.example\r\nrequest-id: {:016x}\r\n\
         deadline-ms: {TIMEOUT_MS}\r\ncontent-length: {UPLOAD_BYTES}\r\nconnection: close\r\n\r\n",
        rand::random::<u64>()
    );
    // The host may respond before it has read everything.
    stream.write_all(head.as_bytes()).await.ok();
    stream.write_all(&vec![b'x'; UPLOAD_BYTES / 2]).await.ok();
    let mut response = Vec::new();
    let read = time::timeout(
        UPLOAD_TIMEOUT,
        read_response_head(&mut stream, &mut response),
    )
    .await;
    read.expect("a response, or an end of the connection");
    let text = String::from_utf8_lossy(&response).into_owned();
    let is_kept = |line: &&str| line.starts_with("HTTP/") || line.contains("server-signature");
    text.lines().filter(is_kept).collect::<Vec<_>>().join(" ")
}

/// Reads until the end of a head, or until the connection ends.
async fn read_response_head(stream: &mut TcpStream, response: &mut Vec<u8>) {
    while !response.windows(4).any(|end| end == b"\r\n\r\n") {
        if !stream
            .read_buf(response)
            .await
            .is_ok_and(|length| length > 0)
        {
            return;
        }
    }
}

/// Guards against a whole response that a caller gets for another request of its connection, whose
/// response broke off.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_broken_response_does_not_shift_the_responses_of_a_connection() {
    let _guard = RUN_LOCK.lock().await;
    let (site, _paths) = CuttingServer::default().start_site(1).await;
    let callers = site.hosts[0].callers;
    let mut failures = Vec::new();
    for cut in cuts(false).into_iter().step_by(12) {
        let mut caller = Caller::connect(callers).await.expect("connection");
        let paths = [
            format!("/orders/{}", cut.name()),
            "/orders/whole/close".to_owned(),
        ];
        let mut statuses = Vec::new();
        for path in &paths {
            let id = format!("{:016x}", rand::random::<u64>());
            let ask = TestRequest {
                method: "POST",
                path,
                id: &id,
                key: None,
                deadline_ms: TIMEOUT_MS,
            };
            let response = caller.ask(ask).await;
            statuses.push(response.map(|response| {
                let is_own = response
                    .headers
                    .get("request-id")
                    .is_some_and(|own| own == id.as_str());
                (response.status.is_success(), is_own)
            }));
        }
        // The failure is one of the host itself, which does not name the request.
        if statuses != [Some((false, false)), Some((true, true))] {
            failures.push(format!("{}: {statuses:?}", cut.name()));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
