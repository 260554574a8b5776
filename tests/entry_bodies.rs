//! Tests pipelined requests, and slow uploads and downloads by so many callers that a host cannot
//! buffer all bodies.

mod platform_standin;

use std::{net::SocketAddr, time::Duration};

use http::StatusCode;
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinSet,
    time::{self, Instant},
};

use self::platform_standin::{
    hosts::Host,
    server::LARGE_BYTES,
    site::{Site, configuration, eventually, get},
};

/// Number of requests that a caller sends on one connection before it reads a response.
const PIPELINED: usize = 8;
/// Number of callers that send their request bodies slowly.
const SLOW_CALLERS: usize = 500;
/// Number of bytes that each slow caller sends of its body before it stops. A host must not buffer
/// these bytes for all slow callers: together they exceed the memory of the smallest host,
/// [`MEMORY_MB`].
const SENT_BYTES: usize = 250_000;
/// Length of the body that each slow caller announces.
const BODY_BYTES: usize = 400_000;
/// Number of callers that read large responses slowly.
const SLOW_READERS: usize = 200;
/// Size of the receive buffer of each slow reader.
const RECEIVED_BYTES: u32 = 16_384;
/// Memory of the smallest host that the users run, in megabytes.
const MEMORY_MB: u64 = 120;

#[tokio::test]
async fn responses_to_pipelined_requests_come_in_order() {
    let site = Site::start(1, 2).await;
    let mut stream = TcpStream::connect(site.hosts[0].callers)
        .await
        .expect("connected");
    let ids: Vec<String> = (0..PIPELINED)
        .map(|number| format!("pipelined-{number}"))
        .collect();
    let mut requests = String::new();
    for (number, id) in ids.iter().enumerate() {
        let last = if number + 1 == PIPELINED {
            "connection: close\r\n"
        } else {
            ""
        };
        let key = number * 8_000;
        requests += &format!(
            "GET /keyed/{number} HTTP/1.1\r\nhost: site.example\r\nrequest-id: {id}\r\n\
             deadline-ms: 800\r\nshard-key: {key}\r\n{last}\r\n"
        );
    }
    stream.write_all(requests.as_bytes()).await.expect("sent");
    let mut responses = String::new();
    let reading = stream.read_to_string(&mut responses);
    let read = time::timeout(Duration::from_secs(10), reading).await;
    read.expect("responses in time").expect("responses");
    let received_ids: Vec<&str> = responses
        .lines()
        .filter_map(|line| line.strip_prefix("request-id: "))
        .collect();
    assert_eq!(received_ids, ids, "{responses}");
}

/// Sends the beginning of a large body and keeps the connection open.
async fn send_slowly(callers: SocketAddr, number: usize) -> TcpStream {
    let mut stream = TcpStream::connect(callers).await.expect("connected");
    let head = format!(
        "POST /orders/{number} HTTP/1.1\r\nhost: site.example\r\nrequest-id: slow-{number}\r\n\
         deadline-ms: 20000\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let part = vec![b'x'; SENT_BYTES];
    // A host without memory for more bodies stops reading, or refuses the request and closes the
    // connection.
    let sending = stream.write_all(&part);
    match time::timeout(Duration::from_millis(300), sending).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => eprintln!("body {number} was not accepted: {error}"),
        Err(_) => eprintln!("body {number} was not read completely"),
    }
    stream
}

/// Writes version 2 of the configuration, waits until the host has applied it, and returns the
/// host.
async fn apply_configuration<'a>(site: &'a Site, wire: &Value) -> &'a Host {
    site.store.put("op", "config", wire);
    let host = &site.hosts[0];
    eventually("the configuration is in force", 4_000, async || {
        let lines = host.events("configuration");
        lines.iter().any(|line| line.contains("\"version\":2"))
    })
    .await;
    host
}

/// Reads keys for 3 s; every read must succeed.
async fn read_quickly(host: &Host) {
    let until = Instant::now() + Duration::from_secs(3);
    let mut reads = 0;
    let mut key = 0u16;
    while Instant::now() < until {
        key = key.wrapping_add(4_001);
        assert_eq!(get(host, key).await, Some(StatusCode::OK), "read {reads}");
        reads += 1;
    }
}

#[tokio::test]
async fn slow_uploads_use_little_memory_and_do_not_delay_reads() {
    let site = Site::start(1, 2).await;
    let mut wire = configuration(2, &[]);
    wire["hosts"][0]["paths"][1]["timeout"] = json!("20s");
    wire["hosts"][0]["paths"][1]["kind"] = json!("upload");
    let host = apply_configuration(&site, &wire).await;
    let mut sending = JoinSet::new();
    for number in 0..SLOW_CALLERS {
        sending.spawn(send_slowly(host.callers, number));
    }
    let slow = sending.join_all().await;
    read_quickly(host).await;
    let memory_mb = host.memory_mb();
    assert!(
        memory_mb < MEMORY_MB,
        "{memory_mb} MB with {} slow uploads",
        slow.len()
    );
}

/// Requests a large response and reads only its status.
async fn read_slowly(callers: SocketAddr, number: usize) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVED_BYTES).expect("a size");
    let mut stream = socket.connect(callers).await.expect("connected");
    let head = format!(
        "GET /large/{number} HTTP/1.1\r\nhost: site.example\r\nrequest-id: slow-{number}\r\n\
         deadline-ms: 20000\r\nconnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("sent");
    let mut status = [0; 12];
    stream.read_exact(&mut status).await.expect("a status");
    assert_eq!(&status, b"HTTP/1.1 200", "response {number}");
    stream
}

#[tokio::test]
async fn slow_downloads_use_little_memory_and_do_not_delay_reads() {
    let site = Site::start(1, 2).await;
    let mut wire = configuration(2, &["/large/"]);
    wire["hosts"][0]["paths"][2]["timeout"] = json!("20s");
    wire["hosts"][0]["paths"][2]["kind"] = json!("download");
    let host = apply_configuration(&site, &wire).await;
    let mut reading = Vec::new();
    for number in 0..SLOW_READERS {
        reading.push(read_slowly(host.callers, number).await);
    }
    read_quickly(host).await;
    let memory_mb = host.memory_mb();
    assert!(
        memory_mb < MEMORY_MB,
        "{memory_mb} MB with {SLOW_READERS} slow downloads"
    );
    // The slow readers still get complete responses.
    for mut stream in reading {
        let mut rest = Vec::new();
        let read = time::timeout(Duration::from_secs(10), stream.read_to_end(&mut rest)).await;
        read.expect("in time").expect("a response");
        assert!(rest.len() > LARGE_BYTES, "{} bytes", rest.len());
    }
}
