//! Stand-in of a backend server (target) of a service that is divided by key.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc, Condvar, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Connection, Message, response},
    json::Json,
    record::Record,
};

/// Number of keys of a service.
pub const KEYS: usize = 65_536;

/// Keys that a server receives with a fence that it did not hold them under before.
#[derive(Clone, Debug)]
pub struct Receipt {
    pub server: usize,
    pub at_ms: u64,
    pub from: usize,
    pub to: usize,
    pub fence: u64,
}

/// Run of a request, from its beginning to its end.
#[derive(Clone, Debug)]
pub struct Work {
    pub server: usize,
    pub request_id: String,
    pub key: usize,
    pub began_ms: u64,
    pub ended_ms: u64,
    /// Time at which the lease of the key would have run out, without a release.
    pub lease_ms: u64,
}

/// What the servers of a service have seen.
#[derive(Default)]
pub struct Seen {
    pub receipts: Mutex<Vec<Receipt>>,
    pub works: Mutex<Vec<Work>>,
}

/// Leases of a server and the requests that run there.
struct Leases {
    /// Highest fence that the server has seen, by key.
    fences: Vec<u64>,
    /// Time until which the server holds the key; 0 after a release.
    until_ms: Vec<u64>,
    /// Time at which the last lease would have run out without a release.
    granted_until_ms: Vec<u64>,
    running: Vec<usize>,
}

/// One backend server.
pub struct KeyedServer {
    number: usize,
    pub id: String,
    service: String,
    zone: String,
    pub address: SocketAddr,
    work: Duration,
    leases: Mutex<Leases>,
    ended_run: Condvar,
    /// True once the server gives a surplus answer in the place of the next answer to an order.
    owes_surplus: AtomicBool,
    /// Numbers of whole answers and of surplus ones.
    pub answers: AtomicU64,
    pub surplus: AtomicU64,
    record: Arc<Record>,
    seen: Arc<Seen>,
}

impl KeyedServer {
    /// Starts a server, which holds no key, on a free port of the loopback address.
    pub fn start(
        number: usize,
        service: &str,
        zone: &str,
        work: Duration,
        record: &Arc<Record>,
        seen: &Arc<Seen>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let server = Arc::new(Self {
            number,
            id: format!("i-{number:08x}"),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address: listener.local_addr().expect("an address"),
            work,
            leases: Mutex::new(Leases {
                fences: vec![0; KEYS],
                until_ms: vec![0; KEYS],
                granted_until_ms: vec![0; KEYS],
                running: Vec::new(),
            }),
            ended_run: Condvar::new(),
            owes_surplus: AtomicBool::new(false),
            answers: AtomicU64::new(0),
            surplus: AtomicU64::new(0),
            record: record.clone(),
            seen: seen.clone(),
        });
        let shared = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = shared.clone();
                thread::spawn(move || server.serve(Connection::new(stream)));
            }
        });
        server
    }

    /// Returns the content of the server's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"addr\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
             \"slots\":16}},\"status\":{{\"state\":\"{state}\",\"seq\":1,\"warmupLeft\":\"0ms\"}}}}",
            self.address, self.service, self.zone
        )
    }

    /// Makes the answer to the latest grant be followed by a second one, which arrives late: in the
    /// place of the next answer on its connection.
    pub fn owe_surplus(&self) {
        self.owes_surplus.store(true, Ordering::SeqCst);
    }

    /// Returns the number of keys that the server holds.
    pub fn held(&self) -> usize {
        let now_ms = self.record.now_ms();
        self.leases()
            .until_ms
            .iter()
            .filter(|until_ms| **until_ms > now_ms)
            .count()
    }

    fn leases(&self) -> MutexGuard<'_, Leases> {
        self.leases.lock().expect("no thread panics with the lock")
    }

    fn serve(&self, mut connection: Connection) {
        // Answer to the latest grant on this connection, which may come a second time.
        let mut granted: Option<Vec<u8>> = None;
        while let Ok(Some(request)) = connection.read() {
            let is_order =
                request.word(0) == "POST" && matches!(request.word(1), "/grant" | "/release");
            if is_order
                && let Some(surplus) = granted.take()
                && self.owes_surplus.swap(false, Ordering::SeqCst)
            {
                self.surplus.fetch_add(1, Ordering::SeqCst);
                self.record.event(&format!(
                    "{} gives its answer to an earlier grant a second time, after {} whole answers",
                    self.id,
                    self.answers.load(Ordering::SeqCst)
                ));
                if connection.write(&surplus).is_err() {
                    // What was read is an order all the same.
                    let _ = self.answer(&request);
                    return;
                }
            }
            let answer = self.answer(&request);
            self.answers.fetch_add(1, Ordering::SeqCst);
            if connection.write(&answer).is_err() {
                return;
            }
            granted = (request.word(1) == "/grant").then_some(answer);
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let own = [("Instance-Id", &*self.id)];
        if request
            .field("expect-instance")
            .is_some_and(|expected| expected != self.id)
        {
            return response(421, &own, b"");
        }
        match (request.word(0), request.word(1)) {
            ("POST", "/grant") => self.grant(request),
            ("POST", "/release") => self.release(request),
            (_, "/healthz") => response(200, &own, b""),
            _ => self.run(request),
        }
    }

    fn grant(&self, request: &Message) -> Vec<u8> {
        let Some(order) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return response(400, &[], b"");
        };
        let (from, to) = (
            order.number("from") as usize,
            order.number("toVersion") as usize,
        );
        let fence = order.number("fence");
        let hold = order.text("hold_time");
        let hold_ms: u64 = hold.trim_end_matches("ms").parse().unwrap_or(0);
        let mut leases = self.leases();
        if leases.fences[from..=to].iter().any(|seen| *seen > fence) {
            return response(409, &[], b"");
        }
        let now_ms = self.record.now_ms();
        let holds = |key: usize| leases.until_ms[key] > now_ms && leases.fences[key] == fence;
        if !(from..=to).all(holds) {
            let receipt = Receipt {
                server: self.number,
                at_ms: now_ms,
                from,
                to,
                fence,
            };
            self.record.event(&format!(
                "{} receives keys {from} to {to} under fence {fence}",
                self.id
            ));
            self.seen
                .receipts
                .lock()
                .expect("no thread panics")
                .push(receipt);
        }
        for key in from..=to {
            leases.fences[key] = fence;
            leases.until_ms[key] = now_ms + hold_ms;
            leases.granted_until_ms[key] = now_ms + hold_ms;
        }
        response(200, &[], b"")
    }

    /// Stops new work on the keys at once, and answers when what ran on them has ended.
    fn release(&self, request: &Message) -> Vec<u8> {
        let Some(order) = Json::parse(&String::from_utf8_lossy(&request.body)) else {
            return response(400, &[], b"");
        };
        let (from, to) = (
            order.number("from") as usize,
            order.number("toVersion") as usize,
        );
        let fence = order.number("fence");
        let mut leases = self.leases();
        self.record.event(&format!(
            "{} is asked to release keys {from} to {to}",
            self.id
        ));
        for key in from..=to {
            leases.until_ms[key] = 0;
            leases.fences[key] = leases.fences[key].max(fence);
        }
        while leases.running.iter().any(|key| (from..=to).contains(key)) {
            leases = self
                .ended_run
                .wait(leases)
                .expect("no thread panics with the lock");
        }
        drop(leases);
        response(200, &[("Handover", "5c0e7a21d94b36f8")], b"")
    }

    fn run(&self, request: &Message) -> Vec<u8> {
        let Some(request_id) = request.field("request-id") else {
            return response(400, &[("Not-Run", "1")], b"");
        };
        let key: usize = request
            .field("shard-key")
            .and_then(|key| key.parse().ok())
            .unwrap_or(0);
        let began_ms = self.record.now_ms();
        let mut leases = self.leases();
        if leases.until_ms[key] <= began_ms {
            return response(421, &[("Request-Id", request_id), ("Not-Run", "1")], b"");
        }
        leases.running.push(key);
        let lease_ms = leases.granted_until_ms[key];
        drop(leases);
        thread::sleep(self.work);
        let ended_ms = self.record.now_ms();
        let mut leases = self.leases();
        let place = leases.running.iter().position(|running| *running == key);
        leases
            .running
            .swap_remove(place.expect("the run was added"));
        drop(leases);
        self.ended_run.notify_all();
        self.seen
            .works
            .lock()
            .expect("no thread panics")
            .push(Work {
                server: self.number,
                request_id: request_id.to_owned(),
                key,
                began_ms,
                ended_ms,
                lease_ms,
            });
        let fields = [("Request-Id", request_id), ("Server-Signature", "stand-in")];
        response(200, &fields, self.id.as_bytes())
    }
}
