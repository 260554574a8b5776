//! HTTP/1.1 messages of the stand-ins, on blocking sockets.

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    thread,
    time::{Duration, Instant},
};

/// Request as a stand-in has received it, with the whole body.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }

    /// Returns the decoded value of a field of the query; empty if there is none.
    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let fields = query.split('&').filter_map(|field| field.split_once('='));
        let found = fields.into_iter().find(|(field, _)| *field == name);
        found.map_or(String::new(), |(_, value)| decode(value))
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3).filter(|_| bytes[at] == b'%');
        if let Some(byte) = code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            decoded.push(byte);
            at += 3;
        } else {
            decoded.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads one request; `None` at the end of the connection or after bytes that are no request.
pub fn read_request(stream: &mut BufReader<TcpStream>) -> Option<Request> {
    let (first, headers) = read_head(stream)?;
    let mut words = first.split(' ');
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let body = if header(&headers, "transfer-encoding").eq_ignore_ascii_case("chunked") {
        read_chunks(stream)?
    } else {
        let length: usize = header(&headers, "content-length").parse().unwrap_or(0);
        let mut body = vec![0; length];
        stream.read_exact(&mut body).ok()?;
        body
    };
    Some(Request {
        method,
        target,
        headers,
        body,
    })
}

fn read_head(stream: &mut BufReader<TcpStream>) -> Option<(String, Vec<(String, String)>)> {
    let first = read_line(stream)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(stream)?;
        if line.is_empty() {
            return Some((first, headers));
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
}

fn read_line(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    let length = stream.read_line(&mut line).ok()?;
    (length > 0 && line.ends_with('\n')).then(|| line.trim_end().to_owned())
}

fn read_chunks(stream: &mut BufReader<TcpStream>) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let size = usize::from_str_radix(read_line(stream)?.split(';').next()?, 16).ok()?;
        let mut chunk = vec![0; size];
        stream.read_exact(&mut chunk).ok()?;
        read_line(stream)?;
        if size == 0 {
            return Some(body);
        }
        body.extend(chunk);
    }
}

/// Returns a response with a length.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend(body);
    bytes
}

/// Serves each connection of a listener on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    use std::os::fd::AsRawFd;
    unsafe extern "C" {
        fn setsockopt(socket: i32, level: i32, name: i32, value: *const [i32; 2], size: u32)
        -> i32;
    }
    const SOL_SOCKET: i32 = 1;
    const SO_LINGER: i32 = 13;
    // SAFETY: the descriptor is open, and the value is a `struct linger` with a time of 0.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, &[1, 0], 8) };
    let _ = stream.shutdown(std::net::Shutdown::Read);
}

/// How the answer to a client's request ended.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status; 0 if no head of an answer came.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the answer is complete by its framing.
    pub is_complete: bool,
    /// True if the connection has ended; false if the client gave up while it was open and silent.
    pub has_ended: bool,
    /// Time from the sending of the request until the answer was complete, the connection ended, or
    /// the client gave up.
    pub after: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }
}

/// Sends the bytes of a request on a new connection and reads the answer until it is complete, the
/// connection ends, or `patience` has passed.
pub fn exchange(to: SocketAddr, request: &[u8], patience: Duration) -> Answer {
    let began = Instant::now();
    let mut answer = Answer {
        status: 0,
        headers: Vec::new(),
        body: Vec::new(),
        is_complete: false,
        has_ended: true,
        after: Duration::ZERO,
    };
    if let Ok(stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) {
        let _ = stream.set_nodelay(true);
        receive(stream, request, began + patience, &mut answer);
    }
    answer.after = began.elapsed();
    answer
}

fn receive(mut stream: TcpStream, request: &[u8], until: Instant, answer: &mut Answer) {
    if stream.write_all(request).is_err() {
        return;
    }
    let mut bytes = Vec::new();
    let mut buffer = vec![0; 64 * 1024];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            answer.has_ended = false;
            return;
        }
        let _ = stream.set_read_timeout(Some(left));
        match stream.read(&mut buffer) {
            Ok(0) => {
                answer.is_complete |= is_ended_by_close(answer);
                return;
            }
            Ok(length) => bytes.extend(&buffer[..length]),
            Err(error) if is_timeout(&error) => continue,
            Err(_) => return,
        }
        if take(&bytes, answer) {
            answer.is_complete = true;
            return;
        }
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{Interrupted, TimedOut, WouldBlock};
    matches!(error.kind(), TimedOut | WouldBlock | Interrupted)
}

fn is_ended_by_close(answer: &Answer) -> bool {
    let is_chunked = answer.header("transfer-encoding").contains("chunked");
    answer.status > 0 && !is_chunked && answer.header("content-length").is_empty()
}

/// Takes an answer from all bytes that came so far. Returns true if it is complete.
fn take(bytes: &[u8], answer: &mut Answer) -> bool {
    let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") else {
        return false;
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next().and_then(|line| line.split(' ').nth(1));
    answer.status = status.and_then(|status| status.parse().ok()).unwrap_or(0);
    let split = |line: &str| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    };
    answer.headers = lines.filter_map(split).collect();
    let rest = &bytes[end + 4..];
    if answer.header("transfer-encoding").contains("chunked") {
        let (body, is_whole) = join_chunks(rest);
        answer.body = body;
        return is_whole;
    }
    answer.body = rest.to_vec();
    let length = answer.header("content-length").parse::<usize>();
    length.is_ok_and(|length| rest.len() >= length)
}

fn join_chunks(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(end) = rest.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let size = String::from_utf8_lossy(&rest[..end]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (body, false);
        };
        let data = &rest[end + 2..];
        if data.len() < size + 2 {
            body.extend(&data[..size.min(data.len())]);
            return (body, false);
        }
        if size == 0 {
            return (body, true);
        }
        body.extend(&data[..size]);
        rest = &data[size + 2..];
    }
}
