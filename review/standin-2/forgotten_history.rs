//! The store forgets its history while many servers leave, some of which don't declare it: their entries
//! are removed. Shows whether hosts still send such servers requests later than they may.

use std::{
    env, fs,
    path::Path,
    process,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    caller::{self, Call},
    host::{Host, are_up},
    record::Record,
    server::Server,
    store::Store,
};

/// Bound on the time for which a server may get requests after the store has confirmed its leaving.
const DRAIN_MS: u64 = 2_500;
/// Time after a disturbance from which the store counts as stable.
const CONTACT_MS: u64 = 3_000;
/// Time for which feeds hear nothing before the history is dropped.
const GAP: Duration = Duration::from_millis(1_000);
/// Time for which the servers go on after their entries were removed.
const SERVED: Duration = Duration::from_secs(12);
const ROUNDS: usize = 4;
const SERVERS: usize = 346;
/// Part of the servers that leave at a time, and of these the part that declares it.
const LEAVING_SHARE: f64 = 0.15;
const DECLARED_SHARE: f64 = 0.7;
const SERVICE: &str = "service-a";
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
const HOSTS: usize = 5;

/// Server whose entry was removed, and the time from which its leaving counts as confirmed.
struct Removal {
    server: String,
    confirmed_ms: u64,
}

pub fn run(folder: &Path, has_trouble: bool) -> i32 {
    let temporary = env::temp_dir().join(format!("ashroad-review-{}", process::id()));
    if fs::create_dir_all(&temporary).is_err() {
        return 2;
    }
    let record = Arc::new(Record::new());
    let code = play(&temporary, has_trouble, &record);
    record.write(&folder.join("record.txt"));
    let _ = fs::remove_dir_all(&temporary);
    code
}

fn play(temporary: &Path, has_trouble: bool, record: &Arc<Record>) -> i32 {
    let (store, address) = Store::start();
    store.set("op", "config", Some(&configuration()));
    let mut number = 0;
    let mut start = || {
        let id = format!("i-{number:08x}");
        let work = Duration::from_millis(20);
        let server = Server::start(&id, SERVICE, ZONES[number % 3], work, record);
        store.set("servers", &id, Some(&server.entry("ready")));
        number += 1;
        (id, server)
    };
    let mut servers: Vec<(String, Server)> = (0..SERVERS).map(|_| start()).collect();
    let host = |number: usize| {
        Host::start(
            &format!("host-{number}"),
            ZONES[number % 3],
            address,
            temporary,
            DRAIN_MS,
        )
    };
    let mut hosts: Vec<Host> = (0..HOSTS).map(host).collect();
    if !are_up(&hosts, &store) {
        record.event("the hosts did not become ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    for host in &hosts {
        for _ in 0..3 {
            let call = Call {
                keys: None,
                pause: Duration::from_millis(15),
            };
            caller::call(&host.name, host.callers, call, &stop, record);
        }
    }
    thread::sleep(Duration::from_secs(8));
    let mut removals = Vec::new();
    for _ in 0..ROUNDS {
        let count = (servers.len() as f64 * LEAVING_SHARE) as usize;
        let declared = (count as f64 * DECLARED_SHARE) as usize;
        if has_trouble {
            record.event("the feeds of the store hear nothing");
            store.deafen_feeds();
        }
        let leaving: Vec<(String, Server)> = servers.drain(..count).collect();
        for (id, server) in &leaving[..declared] {
            store.set("servers", id, Some(&server.entry("draining")));
        }
        for (id, _) in &leaving[declared..] {
            store.set("servers", id, None);
        }
        record.event(&format!(
            "{declared} of {} servers declare that they leave, and the entries of {} are removed",
            servers.len() + count,
            count - declared
        ));
        thread::sleep(GAP);
        let mut confirmed_ms = record.now_ms();
        if has_trouble {
            record.event("the store forgets its history");
            store.forget_history();
            confirmed_ms += CONTACT_MS;
        }
        for (id, _) in &leaving[declared..] {
            removals.push(Removal {
                server: id.clone(),
                confirmed_ms,
            });
        }
        thread::sleep(SERVED);
        for (id, server) in &leaving {
            server.end();
            store.set("servers", id, None);
        }
        servers.extend((0..count).map(|_| start()));
        thread::sleep(Duration::from_secs(5));
    }
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_200));
    if hosts.iter_mut().any(Host::has_ended) {
        record.event("a host ended by itself");
        return 2;
    }
    judge(record, &removals)
}

fn configuration() -> String {
    format!(
        "{{\"version\":\"00000001\",\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\
         \"/healthz\",\"maxConns\":130,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\
         \"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\
         \"idleTimeout\":\"15000ms\"}},\"hosts\":[{{\"host\":\"site.example\",\"paths\":[{{\"name\":\
         \"r-1\",\"pathPrefix\":\"/read/\",\"kind\":\"safe\",\"timeout\":\"500ms\",\"aim\":\"200ms\",\
         \"priority\":2,\"service\":\"{SERVICE}\",\"maxAttempts\":2}}]}}]}}"
    )
}

/// Looks for requests that reached a server too late after the removal of its entry.
fn judge(record: &Record, removals: &[Removal]) -> i32 {
    let runs = record.runs();
    let sent = record.sent();
    let (mut broken, mut latest_ms) = (0, 0);
    for run in &runs {
        let Some(removal) = removals.iter().find(|removal| removal.server == run.server) else {
            continue;
        };
        let Some(request) = sent.iter().find(|sent| sent.request_id == run.request_id) else {
            continue;
        };
        let late_ms = run.at_ms.saturating_sub(removal.confirmed_ms);
        if late_ms > DRAIN_MS {
            broken += 1;
            latest_ms = late_ms.max(latest_ms);
            record.event(&format!(
                "DRAIN broken: request {} of {} reached {} {late_ms} ms after its leaving was confirmed",
                request.request_id, request.host, run.server
            ));
        }
    }
    record.event(&format!(
        "{broken} of {} requests reached a server too late, the latest {latest_ms} ms after",
        runs.len()
    ));
    if runs.len() < 1_000 {
        return 2;
    }
    i32::from(broken > 0)
}
