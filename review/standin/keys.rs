//! Stand-in of a server that holds keys under fences for a limited time.

use std::{
    fs,
    io::{BufReader, Write},
    net::{SocketAddr, SocketAddrV4, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use super::{
    hosts::next_ip,
    http::{self, Request, read_request, response},
    json::Json,
    store::Store,
};

/// Length of an answer, the mean of the small classes of the site files.
const ANSWER_BYTES: usize = 400;

/// State of a key: the highest fence that was seen, and the end of the grant.
#[derive(Clone, Copy, Default)]
struct Key {
    fence: u64,
    until: Option<Instant>,
}

/// What a server does beyond serving.
#[derive(Default)]
pub struct Trouble {
    /// Process that has no path to the server while `is_cut` is true; 0 for none.
    pub cut_process: AtomicU32,
    pub is_cut: AtomicBool,
    /// One in so many answers has no length and is reset in its middle; 0 for none.
    pub breaks_every: u64,
    /// Requests that ran, and how the server answered.
    pub runs: Mutex<Vec<(String, &'static str)>>,
    number: AtomicU64,
}

impl Trouble {
    /// Returns a trouble that breaks off one in `every` answers.
    pub fn breaking(every: u64) -> Self {
        Trouble {
            breaks_every: every,
            ..Trouble::default()
        }
    }

    /// Returns true if the next answer is to be broken off.
    fn breaks_next(&self) -> bool {
        let number = self.number.fetch_add(1, Ordering::Relaxed) + 1;
        self.breaks_every > 0 && number.is_multiple_of(self.breaks_every)
    }
}

/// Server of one service. A server without keys serves every request.
#[derive(Clone)]
pub struct Server {
    pub trouble: Arc<Trouble>,
    pub id: String,
    pub address: SocketAddr,
    keys: Option<Arc<Mutex<Vec<Key>>>>,
    work: Duration,
}

impl Server {
    /// Starts a server and writes its entry.
    pub fn start(id: &str, service: &str, is_sharded: bool, work: Duration, store: &Store) -> Self {
        Self::start_with(id, service, is_sharded, work, store, Trouble::default())
    }

    /// Starts a server with a trouble.
    pub fn start_with(
        id: &str,
        service: &str,
        is_sharded: bool,
        work: Duration,
        store: &Store,
        trouble: Trouble,
    ) -> Self {
        let listener = TcpListener::bind((next_ip(), 0)).expect("listener");
        let keys = is_sharded.then(|| Arc::new(Mutex::new(vec![Key::default(); 1 << 16])));
        let address = listener.local_addr().expect("address");
        let server = Server {
            id: id.to_owned(),
            address,
            keys,
            work,
            trouble: Arc::new(trouble),
        };
        let served = server.clone();
        http::serve(listener, move |stream| served.serve(stream));
        let entry = format!(
            r#"{{"addr":"{address}","info":{{"service":"{service}","version":"v1","zone":"bern-ost","slots":4}},"status":{{"state":"ready","seq":1,"warmupLeft":"0ms"}}}}"#
        );
        store.put("servers", id, &entry);
        server
    }

    /// Returns the number of keys that the server holds.
    pub fn keys_held(&self) -> usize {
        let Some(keys) = &self.keys else { return 0 };
        let now = Instant::now();
        let keys = keys.lock().expect("lock");
        keys.iter()
            .filter(|key| key.until.is_some_and(|until| now < until))
            .count()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let trouble = &self.trouble;
        let process = trouble.cut_process.load(Ordering::Relaxed);
        let is_of_cut_process = process != 0 && is_of_process(&stream, process);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            // What a cut holds up is lost, since the other side closes the connection meanwhile.
            while is_of_cut_process && trouble.is_cut.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
            let answer = self.answer(&request);
            if answer.starts_with(b"HTTP/1.1 200") && !request.header("request-id").is_empty() {
                let breaks = trouble.breaks_next();
                let how = if breaks {
                    "answered without a length, reset"
                } else {
                    "answered whole"
                };
                let id = request.header("request-id").to_owned();
                trouble.runs.lock().expect("lock").push((id, how));
                if breaks {
                    let text = String::from_utf8_lossy(&answer).into_owned();
                    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
                    let lines = head
                        .split("\r\n")
                        .filter(|line| !line.starts_with("Content-Length"));
                    let head: Vec<&str> = lines.collect();
                    let part = format!("{}\r\n\r\n{}", head.join("\r\n"), &body[..body.len() / 2]);
                    let _ = writer.write_all(part.as_bytes());
                    thread::sleep(Duration::from_millis(30));
                    http::reset(writer);
                    return;
                }
            }
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Request) -> Vec<u8> {
        let id = request.header("request-id");
        let headers = [("Request-Id", id), ("Instance-Id", &*self.id)];
        let not_run = [headers[0], headers[1], ("Not-Run", "1")];
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return response(421, &not_run, b"");
        }
        match request.path() {
            "/grant" => return self.grant(request),
            "/release" => return self.release(request),
            _ if id.is_empty() => return response(200, &headers, b""),
            _ => {}
        }
        if let Some(keys) = &self.keys {
            let key: Option<usize> = request.header("shard-key").parse().ok();
            let is_held = |key: usize| {
                let key = keys.lock().expect("lock")[key];
                key.until.is_some_and(|until| Instant::now() < until)
            };
            if !key.is_some_and(|key| key < 1 << 16 && is_held(key)) {
                return response(421, &not_run, b"");
            }
        }
        thread::sleep(self.work);
        let signed = [headers[0], headers[1], ("Server-Signature", "s")];
        response(200, &signed, &whole_body(id))
    }

    fn grant(&self, request: &Request) -> Vec<u8> {
        let arrived = Instant::now();
        let Some((keys, order)) = self.keys.as_ref().zip(order(request)) else {
            return response(400, &[("Not-Run", "1")], b"");
        };
        let hold = order.json.get("hold_time").text().trim_end_matches("ms");
        let until = arrived + Duration::from_millis(hold.parse().unwrap_or(0));
        let mut keys = keys.lock().expect("lock");
        let keys = &mut keys[order.first..=order.last];
        if keys.iter().any(|key| key.fence > order.fence) {
            return response(409, &[], b"{}");
        }
        keys.fill(Key {
            fence: order.fence,
            until: Some(until),
        });
        response(200, &[], b"{}")
    }

    fn release(&self, request: &Request) -> Vec<u8> {
        let Some((keys, order)) = self.keys.as_ref().zip(order(request)) else {
            return response(400, &[("Not-Run", "1")], b"");
        };
        for key in &mut keys.lock().expect("lock")[order.first..=order.last] {
            *key = Key {
                fence: key.fence.max(order.fence),
                until: None,
            };
        }
        // What ran on the keys has ended after the time of one request.
        thread::sleep(self.work);
        response(200, &[("Handover", "5c0e7a21d94b36f8")], b"{}")
    }
}

/// Returns the whole body of the answer to a request.
pub fn whole_body(id: &str) -> Vec<u8> {
    id.bytes().cycle().take(ANSWER_BYTES).collect()
}

/// Returns true if the process holds the other end of a connection.
fn is_of_process(stream: &TcpStream, process: u32) -> bool {
    let ends = stream.peer_addr().ok().zip(stream.local_addr().ok());
    let Some((SocketAddr::V4(peer), SocketAddr::V4(own))) = ends else {
        return false;
    };
    let text = |address: SocketAddrV4| {
        let ip = u32::from_ne_bytes(address.ip().octets());
        format!("{ip:08X}:{:04X}", address.port())
    };
    let (peer, own) = (text(peer), text(own));
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let inode = table.lines().find_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let is_wanted = fields.get(1) == Some(&&*peer) && fields.get(2) == Some(&&*own);
        fields
            .get(9)
            .filter(|_| is_wanted)
            .map(|inode| format!("socket:[{inode}]"))
    });
    let (Some(inode), Ok(entries)) = (inode, fs::read_dir(format!("/proc/{process}/fd"))) else {
        return false;
    };
    let links = entries.filter_map(|entry| fs::read_link(entry.ok()?.path()).ok());
    links.into_iter().any(|link| link.as_os_str() == &*inode)
}

struct Order {
    json: Json,
    first: usize,
    last: usize,
    fence: u64,
}

fn order(request: &Request) -> Option<Order> {
    let json = Json::parse(&String::from_utf8_lossy(&request.body))?;
    let number = |name: &str| json.get(name).number();
    let (first, last, fence) = (number("from"), number("toVersion"), number("fence"));
    let is_valid = first <= last && last < 1 << 16;
    is_valid.then_some(Order {
        json,
        first: first as usize,
        last: last as usize,
        fence,
    })
}
