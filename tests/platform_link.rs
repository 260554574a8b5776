//! Tests of calls to the store over an idle connection that was silently broken.
//!
//! Guards against a configuration that takes effect too late: at one host, a configuration took
//! effect 4.2 s after its write was acknowledged, where 4 s are allowed. The store had stopped
//! responding to some hosts, and the connections that these hosts had open at that time no longer
//! carried data. Later the store rejected the calls of the leader, so the other hosts read changes
//! by their own feeds. On a broken connection, a feed call with a wait of 3 s fails only after 4 s.

use std::{
    io::{Read, Write},
    net::{TcpListener, TcpStream},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use ashroad::platform::Link;
use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::Full;
use tokio::time;

/// Timeout of a call. A call on a broken connection fails only after this time.
const TIMEOUT_MS: u64 = 4_000;
/// Longest time that a call takes if it does not use the broken connection.
const PROMPT_MAX: Duration = Duration::from_millis(1_000);

/// Number of bytes that a peer can send before a client closes the connection, with those that the
/// operating system buffers.
const SENT_BYTES_MAX: usize = 16_000_000;

/// Responds to `calls` requests on a connection and then keeps it open without responding.
fn respond(mut stream: TcpStream, calls: usize) {
    for _ in 0..calls {
        let mut head = Vec::new();
        let mut byte = [0];
        while !head.ends_with(b"\r\n\r\n") {
            if stream.read(&mut byte).is_ok_and(|length| length == 0) {
                return;
            }
            head.push(byte[0]);
        }
        let sent = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
        sent.expect("a response");
    }
    thread::sleep(Duration::from_secs(20));
}

/// Starts a stand-in of the store whose n-th connection stops responding after `calls[n]` requests,
/// and returns a client of the stand-in.
fn peer(calls: &'static [usize]) -> Link {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for calls in calls {
            let (stream, _) = listener.accept().expect("a connection");
            thread::spawn(move || respond(stream, *calls));
        }
    });
    Link::new(address)
}

async fn call(link: &Link) -> StatusCode {
    let request = Request::get("/")
        .header("host", "store")
        .body(Full::new(Bytes::new()));
    let respond = link.call(request.expect("a request"), TIMEOUT_MS).await;
    respond.expect("a response").status
}

#[tokio::test]
async fn a_connection_that_was_idle_for_long_is_not_reused() {
    let link = peer(&[1, 1]);
    assert_eq!(call(&link).await, StatusCode::OK);
    time::sleep(Duration::from_millis(5_500)).await;
    let started = Instant::now();
    assert_eq!(call(&link).await, StatusCode::OK);
    assert!(started.elapsed() < PROMPT_MAX, "{:?}", started.elapsed());
}

#[tokio::test]
async fn a_connection_in_use_is_kept() {
    let link = peer(&[4]);
    for _ in 0..4 {
        assert_eq!(call(&link).await, StatusCode::OK);
        time::sleep(Duration::from_millis(500)).await;
    }
}

/// Guards against a server that counts as ended because of a failure that is no refusal, or whose
/// refusal is not noticed.
#[tokio::test]
async fn a_refused_connection_is_told_from_other_failures() {
    let closed = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let closed_address = closed.local_addr().expect("an address");
    drop(closed);
    let silent = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let silent_address = silent.local_addr().expect("an address");
    let reset = peer(&[0]);
    let cases = [
        ("nothing listens", closed_address, true),
        ("no answer", silent_address, false),
        ("closed after the request", reset.address(), false),
    ];
    for (name, address, is_refused) in cases {
        let link = Link::new(address);
        let request = Request::get("/").body(Full::new(Bytes::new()));
        let error = link.call(request.expect("a request"), 200).await;
        let error = error.expect_err(name);
        assert_eq!(error.is_refused(), is_refused, "{name}: {error}");
        assert!(!(is_refused && error.may_have_run()), "{name}");
        assert!(!link.has_open_connection(), "{name}");
    }
}

/// Guards against a server that fills the memory of a host by a response without end to a command or
/// a health check.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_response_without_end_fails_at_once() {
    let cases = [
        ("head", "HTTP/1.1 200 OK\r\nx: "),
        ("interim responses", ""),
        ("body", "HTTP/1.1 200 OK\r\n\r\n"),
    ];
    for (name, start) in cases {
        let repeated = if start.is_empty() {
            "HTTP/1.1 100 Continue\r\n\r\n"
        } else {
            "x"
        };
        let (link, sent) = endless_peer(start, repeated);
        let request = Request::get("/").body(Full::new(Bytes::new()));
        let started = Instant::now();
        let error = link.call(request.expect("a request"), TIMEOUT_MS).await;
        error.expect_err(name);
        assert!(started.elapsed() < PROMPT_MAX, "{name}: {started:?}");
        let sent_bytes = sent.join().expect("the sender");
        assert!(sent_bytes < SENT_BYTES_MAX, "{name}: {sent_bytes} bytes");
    }
}

/// Starts a peer that sends `start`, and then `repeated` without end; returns a client and the number
/// of bytes that the peer has sent when the client closes the connection.
fn endless_peer(start: &'static str, repeated: &'static str) -> (Link, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let sender = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1024];
        let length = stream.read(&mut request).expect("a request");
        assert!(length > 0, "no request");
        let piece = repeated.repeat(1_000);
        let mut sent_bytes = 0;
        let mut next = start;
        while stream.write_all(next.as_bytes()).is_ok() {
            sent_bytes += next.len();
            next = &piece;
        }
        sent_bytes
    });
    (Link::new(address), sender)
}
