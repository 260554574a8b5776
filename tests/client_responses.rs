//! Tests that no client of a host takes a broken response for a whole one, or reads bytes without end.

use std::{
    future::Future,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    pin::Pin,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use ashroad::{
    platform::Link,
    transport::{JsonClient, TunnelResponse, request_tunnel},
};
use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{Empty, Full};

/// Timeout of a call.
const TIMEOUT_MS: u64 = 8_000;
/// Longest time that a call takes that does not wait for its timeout.
const PROMPT_MAX: Duration = Duration::from_secs(2);
/// Number of bytes that a peer can send before a client closes the connection, with those that the
/// operating system buffers.
const SENT_BYTES_MAX: usize = 16_000_000;
/// Body of a whole response.
const BODY: &str = "{\"rows\":[]}";

/// Way in which a host reads the response of a peer; returns the body of a usable response.
struct Client {
    name: &'static str,
    call: fn(SocketAddr) -> Call,
}

type Call = Pin<Box<dyn Future<Output = Option<Bytes>>>>;

const CLIENTS: [Client; 2] = [
    Client {
        name: "link of the adapter",
        call: |peer| {
            Box::pin(async move {
                let link = Link::new(peer);
                let request = Request::get("/").body(Full::new(Bytes::new()));
                let response = link.call(request.expect("a request"), TIMEOUT_MS);
                response.await.ok().map(|response| response.body)
            })
        },
    },
    Client {
        name: "client of JSON calls",
        call: |peer| {
            Box::pin(async move {
                let client = JsonClient::new(TIMEOUT_MS);
                let response = client.send(Method::GET, peer, "/", Bytes::new());
                response.await.ok()
            })
        },
    },
];

/// Starts a peer that sends `start` and then `repeated` without end, or nothing more if it is empty;
/// returns the number of bytes that it has sent when the client closes the connection.
fn start_peer(start: String, repeated: &'static str) -> (SocketAddr, JoinHandle<usize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let sender = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        read_head(&mut stream);
        let piece = repeated.repeat(1_000);
        let mut sent_bytes = 0;
        let mut next = start.as_str();
        while !next.is_empty() && stream.write_all(next.as_bytes()).is_ok() {
            sent_bytes += next.len();
            next = &piece;
        }
        sent_bytes
    });
    (address, sender)
}

fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    let mut byte = [0];
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
}

/// Guards against responses that callers of a server do not get, but that a host itself believes: those
/// to commands, checks of health, calls of the store and of other hosts.
#[tokio::test]
async fn no_client_takes_a_broken_response_for_a_whole_one() {
    struct Case {
        name: &'static str,
        fields: &'static str,
        start: &'static str,
        is_whole: bool,
    }
    const CASES: [Case; 9] = [
        Case {
            name: "whole",
            fields: "content-length: 11",
            start: "HTTP/1.1 200 OK",
            is_whole: true,
        },
        Case {
            name: "without a length",
            fields: "connection: close",
            start: "HTTP/1.1 200 OK",
            is_whole: true,
        },
        Case {
            name: "unknown coding",
            fields: "transfer-encoding: chunkex",
            start: "HTTP/1.1 200 OK",
            is_whole: false,
        },
        Case {
            name: "misnamed coding",
            fields: "transfer-encodinx: chunked",
            start: "HTTP/1.1 200 OK",
            is_whole: false,
        },
        Case {
            name: "length and coding",
            fields: "content-length: 11\r\ntransfer-encoding: chunked",
            start: "HTTP/1.1 200 OK",
            is_whole: false,
        },
        Case {
            name: "length too small",
            fields: "content-length: 1",
            start: "HTTP/1.1 200 OK",
            is_whole: false,
        },
        Case {
            name: "length too small, connection closes",
            fields: "connection: close\r\ncontent-length: 1",
            start: "HTTP/1.1 200 OK",
            is_whole: false,
        },
        Case {
            name: "status 000",
            fields: "content-length: 11",
            start: "HTTP/1.1 000 OK",
            is_whole: false,
        },
        Case {
            name: "name with a blank",
            fields: "content length: 11",
            start: "HTTP/1.1 200 OK",
            is_whole: false,
        },
    ];
    let mut failures = Vec::new();
    for client in CLIENTS {
        for case in CASES {
            let response = format!("{}\r\n{}\r\n\r\n{BODY}", case.start, case.fields);
            let (peer, sender) = start_peer(response, "");
            let received = (client.call)(peer).await;
            let expected = case.is_whole.then_some(Bytes::from_static(BODY.as_bytes()));
            if received != expected {
                failures.push(format!("{}, {}: {received:?}", client.name, case.name));
            }
            sender.join().expect("the peer");
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a response that a host believes although its head, or its body, broke off, or its
/// status is 000.
#[tokio::test]
async fn no_client_takes_the_beginning_of_a_response_for_a_whole_one() {
    const WHOLE: &str = "HTTP/1.1 200 OK\r\nx: y\r\ncontent-length: 11\r\n\r\n{\"rows\":[]}";
    const STATUSES: [&str; 5] = ["000", "000 OK", "0 OK", "00 OK", "001 OK"];
    let cuts = (0..WHOLE.len()).map(|length| WHOLE[..length].to_owned());
    let statuses = STATUSES.map(|status| WHOLE.replace("200 OK", status));
    let responses: Vec<String> = cuts.chain(statuses).collect();
    let mut failures = Vec::new();
    for client in CLIENTS {
        for response in &responses {
            let (peer, sender) = start_peer(response.clone(), "");
            if let Some(received) = (client.call)(peer).await {
                failures.push(format!("{}, {response:?}: {received:?}", client.name));
            }
            sender.join().expect("the peer");
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a tunnel through a host whose response broke off, or whose status is 000.
#[tokio::test]
async fn no_tunnel_begins_behind_a_broken_head() {
    const WHOLE: &str = "HTTP/1.1 200 OK\r\nx: y\r\n\r\n";
    let cuts = (0..WHOLE.len()).map(|length| WHOLE[..length].to_owned());
    let statuses = ["000 OK", "00 OK", "001 OK"].map(|status| WHOLE.replace("200 OK", status));
    let mut failures = Vec::new();
    for response in cuts.chain(statuses) {
        let (peer, sender) = start_peer(response.clone(), "");
        if ask_for_tunnel(peer).await.is_ok() {
            failures.push(response);
        }
        sender.join().expect("the peer");
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Bytes without end: a beginning, and what follows again and again.
struct Endless {
    name: &'static str,
    start: &'static str,
    repeated: &'static str,
}

const ENDLESS_HEADS: [Endless; 3] = [
    Endless {
        name: "header line",
        start: "HTTP/1.1 200 OK\r\nx: ",
        repeated: "x",
    },
    Endless {
        name: "headers",
        start: "HTTP/1.1 200 OK\r\n",
        repeated: "x: y\r\n",
    },
    Endless {
        name: "interim responses",
        start: "HTTP/1.1 100 Continue\r\n\r\n",
        repeated: "HTTP/1.1 100 Continue\r\n\r\n",
    },
];

const ENDLESS_BODIES: [Endless; 2] = [
    Endless {
        name: "chunk size",
        start: "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        repeated: "0",
    },
    Endless {
        name: "no response",
        start: "x",
        repeated: "\0\u{1}",
    },
];

/// Returns what was wrong with a call to a peer that sends bytes without end.
fn endless_failure(started: Instant, is_usable: bool, sender: JoinHandle<usize>) -> Option<String> {
    let took = started.elapsed();
    let sent_bytes = sender.join().expect("the peer");
    let is_bounded = took < PROMPT_MAX && sent_bytes < SENT_BYTES_MAX;
    (is_usable || !is_bounded)
        .then(|| format!("usable {is_usable}, {took:?}, {sent_bytes} bytes sent"))
}

/// Guards against a peer that fills the memory of a host, or occupies it, by bytes without end.
#[tokio::test]
async fn no_client_reads_bytes_without_end() {
    let mut failures = Vec::new();
    for client in CLIENTS {
        for case in ENDLESS_HEADS.iter().chain(&ENDLESS_BODIES) {
            let (peer, sender) = start_peer(case.start.to_owned(), case.repeated);
            let started = Instant::now();
            let received = (client.call)(peer).await;
            let failure = endless_failure(started, received.is_some(), sender);
            failures.extend(failure.map(|f| format!("{}, {}: {f}", client.name, case.name)));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against a host in trouble that answers a request for a tunnel with bytes without end.
#[tokio::test]
async fn a_request_for_a_tunnel_reads_no_bytes_without_end() {
    let mut failures = Vec::new();
    for case in &ENDLESS_HEADS {
        let (peer, sender) = start_peer(case.start.to_owned(), case.repeated);
        let started = Instant::now();
        let responded = ask_for_tunnel(peer).await;
        let failure = endless_failure(started, responded.is_ok(), sender);
        failures.extend(failure.map(|f| format!("{}: {f}", case.name)));
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

async fn ask_for_tunnel(peer: SocketAddr) -> hyper::Result<TunnelResponse> {
    let stream = tokio::net::TcpStream::connect(peer).await;
    let request = Request::connect("127.0.0.1:1").body(Empty::<Bytes>::new());
    request_tunnel(stream.expect("connection"), request.expect("request")).await
}
