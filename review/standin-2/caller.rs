//! Stand-in of callers (requesters) of one host.

use std::{
    net::{SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::Connection,
    record::{Record, Sent},
};

/// Time limit of a request.
const DEADLINE_MS: u64 = 500;

static NUMBER: AtomicU64 = AtomicU64::new(1);

/// How a caller sends its requests.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Number of keys among which the requests are spread; `None` for requests without a key.
    pub keys: Option<u64>,
    /// Pause from an answer to the next request.
    pub pause: Duration,
}

/// Sends requests to a host on a kept connection until `stop` is true.
pub fn call(
    name: &str,
    host: SocketAddr,
    call: Call,
    stop: &Arc<AtomicBool>,
    record: &Arc<Record>,
) {
    let (name, stop, record) = (name.to_owned(), stop.clone(), record.clone());
    thread::spawn(move || {
        let mut kept = None;
        while !stop.load(Ordering::SeqCst) {
            let number = NUMBER.fetch_add(1, Ordering::SeqCst);
            let request_id = format!("{number:016x}");
            // Multiples of a large prime are spread evenly among the keys.
            let key = call
                .keys
                .map(|keys| number.wrapping_mul(2_654_435_761) % keys);
            let connection = kept.take().or_else(|| connect(host));
            let sent_ms = record.now_ms();
            let mut sent = Sent {
                request_id,
                host: name.clone(),
                sent_ms,
                answered_ms: 0,
                status: 0,
            };
            if let Some(mut connection) = connection
                && let Some(status) = exchange(&mut connection, &sent.request_id, key)
            {
                sent.answered_ms = record.now_ms();
                sent.status = status;
                kept = Some(connection);
            }
            record.note_sent(sent);
            thread::sleep(call.pause);
        }
    });
}

fn connect(host: SocketAddr) -> Option<Connection> {
    let stream = TcpStream::connect_timeout(&host, Duration::from_secs(1)).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_millis(DEADLINE_MS + 500)))
        .ok()?;
    Some(Connection::new(stream))
}

/// Sends a request and returns the status of its answer; `None` if the connection is unusable.
fn exchange(connection: &mut Connection, request_id: &str, key: Option<u64>) -> Option<u16> {
    let key = key.map_or(String::new(), |key| format!("Shard-Key: {key}\r\n"));
    let request = format!(
        "GET /read/thing HTTP/1.1\r\nHost: site.example\r\nRequest-Id: {request_id}\r\n{key}\
         Deadline-Ms: {DEADLINE_MS}\r\n\r\n"
    );
    connection.write(request.as_bytes()).ok()?;
    Some(connection.read().ok()??.status())
}
