//! Stand-in of a server that holds keys under fences for a limited time.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use super::{
    hosts::next_ip,
    http::{self, Request, read_request, response},
    json::Json,
    store::Store,
};

/// State of a key: the highest fence that was seen, and the end of the grant.
#[derive(Clone, Copy, Default)]
struct Key {
    fence: u64,
    until: Option<Instant>,
}

/// Server of one service. A server without keys serves every request.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    keys: Option<Arc<Mutex<Vec<Key>>>>,
    work: Duration,
}

impl Server {
    /// Starts a server and writes its entry.
    pub fn start(id: &str, service: &str, is_sharded: bool, work: Duration, store: &Store) -> Self {
        let listener = TcpListener::bind((next_ip(), 0)).expect("listener");
        let keys = is_sharded.then(|| Arc::new(Mutex::new(vec![Key::default(); 1 << 16])));
        let address = listener.local_addr().expect("address");
        let server = Server {
            id: id.to_owned(),
            address,
            keys,
            work,
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
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader) {
            if writer.write_all(&self.answer(&request)).is_err() {
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
        response(200, &signed, id.as_bytes())
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
