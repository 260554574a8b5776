//! The process of the leader is killed and starts again at once, and meanwhile a server leaves without
//! declaring it: its entry is removed. Shows whether other hosts still send it requests later than they may.

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
    json::base64,
    record::Record,
    server::Server,
    store::Store,
};

/// Bound of the users' sheet on the time from the removal of the entry.
const DRAIN_MS: u64 = 2_000;
/// Time for which the server goes on after the removal: `drain` plus a little more.
const SERVED_MS: u64 = 3_000;
const ROUNDS: usize = 9;
const SERVICE: &str = "service-a";
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
const HOSTS: usize = 5;

/// Server whose entry was removed, with the host that was killed then.
struct Removal {
    server: String,
    at_ms: u64,
    killed: String,
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
    let mut servers: Vec<(String, Server)> = (0..6).map(|_| start()).collect();
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
    thread::sleep(Duration::from_secs(4));
    let mut removals = Vec::new();
    for _ in 0..ROUNDS {
        servers.push(start());
        thread::sleep(Duration::from_millis(5_500));
        let Some(leader) = hosts.iter_mut().find(|host| leads(&store, host)) else {
            record.event("no host leads");
            return 2;
        };
        if has_trouble {
            record.event(&format!("{}, the leader, is killed", leader.name));
            leader.kill();
        }
        thread::sleep(Duration::from_millis(300));
        let (id, server) = servers.remove(0);
        store.set("servers", &id, None);
        let at_ms = record.now_ms();
        record.event(&format!("the entry of {id} is removed"));
        removals.push(Removal {
            server: id,
            at_ms,
            killed: leader.name.clone(),
        });
        thread::sleep(Duration::from_millis(200));
        if has_trouble {
            leader.restart();
            record.event(&format!("{} starts again", leader.name));
        }
        thread::sleep(Duration::from_millis(SERVED_MS - 200));
        server.end();
    }
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_200));
    if hosts.iter_mut().any(Host::has_ended) {
        record.event("a host ended by itself");
        return 2;
    }
    judge(record, &removals)
}

/// Returns true if the leadership row names the address of a host.
fn leads(store: &Store, host: &Host) -> bool {
    let Some(row) = store.get("ashroad_duty", "leases") else {
        return false;
    };
    // The address is looked for in the content's base64 at each of its three alignments.
    let address = host.peers.to_string();
    (0..3).any(|shift| {
        let padded = [&b"   "[..shift], address.as_bytes()].concat();
        let whole = base64(&padded);
        let inner = &whole[4..whole.len() - 4];
        row.contains(inner)
    })
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
        let late_ms = run.at_ms.saturating_sub(removal.at_ms);
        if late_ms > DRAIN_MS && request.host != removal.killed {
            broken += 1;
            latest_ms = late_ms.max(latest_ms);
            record.event(&format!(
                "DRAIN broken: request {} of {} reached {} {late_ms} ms after the removal of its entry",
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
