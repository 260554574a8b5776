//! Tests that hosts survive servers that send bytes without end: requests get their final response in
//! time, the connections are closed, and the memory stays bounded.

mod platform_standin;

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex as StdMutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::{self, Instant},
};

use self::platform_standin::{
    hosts::Host,
    raw_server::{RawRequest, respond_healthy, until_closed},
    raw_site::{is_served, start_raw_site, take_tunnels},
    server_proxy::{Cut, Cuts},
    site::{Site, eventually},
};

/// Timeout of the routes.
const TIMEOUT_MS: u64 = 1_500;
/// Time after the timeout by which a request must have its final response.
const GRACE_MS: u64 = 500;
/// Time after the timeout by which the server's connections must be closed.
const CLOSED_MS: u64 = 2_000;
/// Time after which a host must serve other requests to the server.
const SERVED_MS: u64 = 4_000;
/// Number of requests at the same time.
const REQUESTS: usize = 100;
/// Memory of the smallest host that the users run, in megabytes.
const MEMORY_MB: u64 = 120;
/// Number of bytes that a caller reads of a response at a time.
const READ_BYTES: usize = 16 * 1024;
/// Least length of the pieces in which the server writes.
const PIECE_BYTES: usize = 32 * 1024;
/// Lock that a test holds while it runs, so that few host processes start at a time.
static RUN_LOCK: Mutex<()> = Mutex::const_new(());

/// Bytes without end: a beginning, and what follows again and again.
#[derive(Clone, Copy, Debug)]
struct Case {
    /// Name, which the request's path contains.
    name: &'static str,
    /// True if `start` follows a status line and the headers of a response to the request.
    has_head: bool,
    start: &'static str,
    repeated: &'static str,
}

/// Responses that have no end before or between the parts of their bodies, or none behind their bodies.
const FRAMING: [Case; 11] = [
    Case {
        name: "status-line",
        has_head: false,
        start: "HTTP/1.1 200 ",
        repeated: "x",
    },
    Case {
        name: "no-protocol",
        has_head: false,
        start: "",
        repeated: "\0\u{1}",
    },
    Case {
        name: "empty-lines",
        has_head: false,
        start: "",
        repeated: "\r\n",
    },
    Case {
        name: "header-line",
        has_head: true,
        start: "x-long: ",
        repeated: "x",
    },
    Case {
        name: "headers",
        has_head: true,
        start: "",
        repeated: "x: y\r\n",
    },
    Case {
        name: "informational",
        has_head: false,
        start: "",
        repeated: "HTTP/1.1 103 Early Hints\r\nlink: <x>\r\n\r\n",
    },
    Case {
        name: "chunk-size",
        has_head: true,
        start: "transfer-encoding: chunked\r\n\r\n",
        repeated: "0",
    },
    Case {
        name: "chunk-extension",
        has_head: true,
        start: "transfer-encoding: chunked\r\n\r\n1;",
        repeated: "x",
    },
    Case {
        name: "chunks",
        has_head: true,
        start: "transfer-encoding: chunked\r\n\r\n",
        repeated: "5\r\nxxxxx\r\n",
    },
    Case {
        name: "trailers",
        has_head: true,
        start: "transfer-encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n",
        repeated: "x: y\r\n",
    },
    Case {
        name: "past-length",
        has_head: true,
        start: "content-length: 5\r\n\r\nwhole",
        repeated: "x",
    },
];

/// Responses whose bodies have no end.
const BODIES: [Case; 2] = [
    Case {
        name: "no-length",
        has_head: true,
        start: "\r\n",
        repeated: "x",
    },
    Case {
        name: "huge-length",
        has_head: true,
        start: "content-length: 1000000000000\r\n\r\n",
        repeated: "x",
    },
];

/// Server that sends bytes without end.
#[derive(Clone, Debug, Default)]
struct EndlessServer {
    /// Number of connections on which bytes without end are sent.
    sending: Arc<AtomicUsize>,
    /// What health requests are answered with; `None` for a regular response.
    health: Arc<StdMutex<Option<Case>>>,
    /// Number of health requests that were answered with bytes without end.
    endless_checks: Arc<AtomicUsize>,
}

impl EndlessServer {
    async fn respond(self, request: RawRequest, mut stream: TcpStream) {
        let case = if request.is_health() {
            let case = *self.health.lock().expect("not poisoned");
            if case.is_none() {
                return respond_healthy(stream).await;
            }
            self.endless_checks.fetch_add(1, Ordering::Relaxed);
            case
        } else {
            let name = request.path.split('/').nth(2).unwrap_or_default();
            let mut cases = FRAMING.into_iter().chain(BODIES);
            cases.find(|case| case.name == name)
        };
        let Some(case) = case else {
            let head = request.head();
            let response = format!("{head}connection: close\r\ncontent-length: 5\r\n\r\nwhole");
            // The host may close the connection at any time.
            stream.write_all(response.as_bytes()).await.ok();
            return until_closed(&mut stream).await;
        };
        self.sending.fetch_add(1, Ordering::Relaxed);
        case.send(&request, stream).await;
        self.sending.fetch_sub(1, Ordering::Relaxed);
    }

    /// Returns a failure if connections stay open.
    async fn still_sending(&self, when: &str) -> Option<String> {
        let until = Instant::now() + Duration::from_millis(CLOSED_MS);
        while self.sending.load(Ordering::Relaxed) > 0 && Instant::now() < until {
            time::sleep(Duration::from_millis(20)).await;
        }
        let sending = self.sending.load(Ordering::Relaxed);
        (sending > 0).then(|| format!("{when}: {sending} connections are open"))
    }

    /// Starts hosts in front of such a server.
    async fn start_site(&self, hosts: usize) -> (Site, Cuts) {
        let server = self.clone();
        let respond = move |request, stream| server.clone().respond(request, stream);
        start_raw_site(hosts, TIMEOUT_MS, "", respond).await
    }
}

impl Case {
    /// Sends until the host closes the connection.
    async fn send(&self, request: &RawRequest, mut stream: TcpStream) {
        let head = if self.has_head {
            request.head()
        } else {
            String::new()
        };
        let start = format!("{head}{}", self.start);
        let repetitions = PIECE_BYTES.div_ceil(self.repeated.len());
        let piece = self.repeated.repeat(repetitions);
        if stream.write_all(start.as_bytes()).await.is_err() {
            return;
        }
        while stream.write_all(piece.as_bytes()).await.is_ok() {}
    }

    /// Sends requests to a host at the same time, and returns what failed.
    async fn play(&self, site: &Site, server: &EndlessServer) -> Vec<String> {
        let host = &site.hosts[0];
        let mut requests = JoinSet::new();
        for _ in 0..REQUESTS {
            requests.spawn(exchange(host.callers, self.name));
        }
        let mut failures = Vec::new();
        let mut memory_mb = 0;
        let until = Instant::now() + Duration::from_millis(TIMEOUT_MS);
        while Instant::now() < until {
            for host in &site.hosts {
                memory_mb = memory_mb.max(host.memory_mb());
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        for ended in requests.join_all().await {
            failures.extend(ended.err());
        }
        failures.truncate(3);
        if memory_mb >= MEMORY_MB {
            failures.push(format!("{memory_mb} MB"));
        }
        failures.extend(server.still_sending("after the timeout").await);
        failures.extend(unserved(host).await);
        failures
            .into_iter()
            .map(|failure| format!("{}: {failure}", self.name))
            .collect()
    }
}

/// Sends one request and reads the response until its end, which must come in time.
async fn exchange(callers: SocketAddr, name: &str) -> Result<(), String> {
    let began = Instant::now();
    let limit = Duration::from_millis(TIMEOUT_MS + GRACE_MS);
    let receiving = receive(callers, name);
    let received = time::timeout(2 * limit, receiving).await;
    let took = began.elapsed();
    match received {
        Err(_) => Err(format!("no end after {} ms", took.as_millis())),
        Ok(Err(error)) => Err(error),
        Ok(Ok(())) if took > limit => Err(format!("the end after {} ms", took.as_millis())),
        Ok(Ok(())) => Ok(()),
    }
}

/// Sends one request and returns its connection.
async fn send(callers: SocketAddr, name: &str) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(callers).await?;
    let id = format!("{:016x}", rand::random::<u64>());
    let request = format!(
        "POST /orders/{name} HTTP/1.1\r\nhost: site.example\r\nrequest-id: {id}\r\n\
         deadline-ms: 8000\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await?;
    Ok(stream)
}

/// Reads one response until the connection ends. It must begin with a final status.
async fn receive(callers: SocketAddr, name: &str) -> Result<(), String> {
    let sent = send(callers, name).await;
    let mut stream = sent.map_err(|error| error.to_string())?;
    let mut status = [0; 12];
    let read = stream.read_exact(&mut status).await;
    read.map_err(|error| format!("no status: {error}"))?;
    let is_final =
        [b"200", b"502", b"503", b"504"].contains(&status.last_chunk().expect("3 bytes"));
    if !is_final {
        return Err(format!("status {}", String::from_utf8_lossy(&status)));
    }
    let mut bytes = vec![0; READ_BYTES];
    // A response that is broken off may end in a reset.
    while stream.read(&mut bytes).await.is_ok_and(|length| length > 0) {}
    Ok(())
}

/// Returns a failure if the host does not serve the server soon.
async fn unserved(host: &Host) -> Option<String> {
    let until = Instant::now() + Duration::from_millis(SERVED_MS);
    while Instant::now() < until {
        if is_served(host, TIMEOUT_MS).await {
            return None;
        }
        time::sleep(Duration::from_millis(20)).await;
    }
    Some("the server is no longer served".to_owned())
}

/// Plays cases with a host that reaches the server, and with one that takes tunnels.
async fn failures(cases: &[Case]) -> Vec<String> {
    let server = EndlessServer::default();
    let (site, cuts) = server.start_site(2).await;
    let mut failures = Vec::new();
    for case in cases {
        failures.extend(case.play(&site, &server).await);
    }
    take_tunnels(&site, &cuts).await;
    for case in cases {
        let failed = case.play(&site, &server).await;
        failures.extend(failed.into_iter().map(|f| format!("tunnel, {f}")));
    }
    failures
}

/// Guards against servers that occupy a host by heads, chunk sizes, trailers and the like without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bytes_that_are_no_body_do_not_occupy_a_host() {
    let _guard = RUN_LOCK.lock().await;
    let failures = failures(&FRAMING).await;
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against responses whose bodies never end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_without_end_end_with_the_timeout() {
    let _guard = RUN_LOCK.lock().await;
    let failures = failures(&BODIES).await;
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against callers that read nothing and keep the connections to a server open with them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn callers_that_read_nothing_keep_no_connection_to_a_server() {
    let _guard = RUN_LOCK.lock().await;
    let server = EndlessServer::default();
    let (site, cuts) = server.start_site(2).await;
    let mut failures = Vec::new();
    for path in ["direct", "tunnel"] {
        if path == "tunnel" {
            take_tunnels(&site, &cuts).await;
        }
        for case in &BODIES {
            let mut unread = Vec::new();
            for _ in 0..REQUESTS {
                let sent = send(site.hosts[0].callers, case.name).await;
                unread.push(sent.expect("a connection"));
            }
            time::sleep(Duration::from_millis(TIMEOUT_MS)).await;
            let memory_mb = site.hosts.iter().map(Host::memory_mb).max();
            if memory_mb >= Some(MEMORY_MB) {
                failures.push(format!("{path}, {}: {memory_mb:?} MB", case.name));
            }
            failures.extend(server.still_sending(path).await);
            failures.extend(unserved(&site.hosts[0]).await);
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against checks of paths and of health that read without end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn checks_do_not_read_bytes_without_end() {
    let _guard = RUN_LOCK.lock().await;
    let server = EndlessServer::default();
    let (site, cuts) = server.start_site(2).await;
    let host = &site.hosts[0];
    let mut failures = Vec::new();
    for case in FRAMING.iter().chain(&BODIES) {
        *server.health.lock().expect("not poisoned") = Some(*case);
        let checks_before = server.endless_checks.load(Ordering::Relaxed);
        cuts.begin(host.pid(), Cut::NewReset);
        let until = Instant::now() + Duration::from_millis(TIMEOUT_MS);
        while Instant::now() < until {
            is_served(host, TIMEOUT_MS).await;
            time::sleep(Duration::from_millis(100)).await;
        }
        cuts.end(host.pid());
        let is_checked = server.endless_checks.load(Ordering::Relaxed) > checks_before;
        if !is_checked {
            failures.push(format!("{}: no check", case.name));
        }
        failures.extend(server.still_sending(case.name).await);
        let memory_mb = site.hosts.iter().map(Host::memory_mb).max();
        if memory_mb >= Some(MEMORY_MB) {
            failures.push(format!("{}: {memory_mb:?} MB", case.name));
        }
        *server.health.lock().expect("not poisoned") = None;
        failures.extend(unserved(host).await);
        eventually("the host uses its own path again", 8_000, async || {
            host.events("path_usable").len() == host.events("path_lost").len()
        })
        .await;
    }
    assert!(failures.is_empty(), "{failures:#?}");
}
