//! Stand-in of a backend server (target) of a service without keys.

use std::{
    net::{SocketAddr, TcpListener},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{Connection, Message, response},
    record::{Record, Run},
};

/// One backend server, which runs every request at once.
pub struct Server {
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    ended: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server on a free port of the loopback address, which notes its runs in `record`.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (of, by, record) = (service.to_owned(), id.to_owned(), record.clone());
        let ended = Arc::new(AtomicBool::new(false));
        let has_ended = ended.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let (of, by, record) = (of.clone(), by.clone(), record.clone());
                let has_ended = has_ended.clone();
                thread::spawn(move || {
                    serve(Connection::new(stream), &of, &by, work, &record, &has_ended)
                });
            }
        });
        Self {
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            ended,
        }
    }

    /// Ends the server: it closes its connections and runs nothing further.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
    }

    /// Returns the content of the server's entry in the store.
    pub fn entry(&self, state: &str) -> String {
        format!(
            "{{\"addr\":\"{}\",\"info\":{{\"service\":\"{}\",\"version\":\"v1\",\"zone\":\"{}\",\
             \"slots\":16}},\"status\":{{\"state\":\"{state}\",\"seq\":1,\"warmupLeft\":\"0ms\"}}}}",
            self.address, self.service, self.zone
        )
    }
}

fn serve(
    mut connection: Connection,
    service: &str,
    id: &str,
    work: Duration,
    record: &Record,
    has_ended: &AtomicBool,
) {
    while let Ok(Some(request)) = connection.read() {
        if has_ended.load(Ordering::SeqCst) {
            return;
        }
        let answer = answer(&request, service, id, work, record);
        if connection.write(&answer).is_err() {
            return;
        }
    }
}

fn answer(request: &Message, service: &str, id: &str, work: Duration, record: &Record) -> Vec<u8> {
    let own = [("Instance-Id", id)];
    if request
        .field("expect-instance")
        .is_some_and(|expected| expected != id)
    {
        return response(421, &own, b"");
    }
    if request.word(1) == "/healthz" {
        return response(200, &own, b"");
    }
    let Some(request_id) = request.field("request-id") else {
        return response(400, &[("Not-Run", "1")], b"");
    };
    record.note_run(Run {
        request_id: request_id.to_owned(),
        at_ms: record.now_ms(),
        service: service.to_owned(),
        server: id.to_owned(),
    });
    thread::sleep(work);
    let fields = [
        ("Request-Id", request_id),
        ("Server-Signature", "stand-in"),
        ("Instance-Id", id),
    ];
    response(200, &fields, service.as_bytes())
}
