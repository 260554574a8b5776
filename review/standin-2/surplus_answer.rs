//! A server that leaves has given its answer to a grant a second time, and the second answer arrives
//! late, in the place of the answer to the release of its keys. Shows whether another server receives
//! the keys while the first one is still at work on them.

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
    keyed_server::{KEYS, KeyedServer, Seen},
    record::{Record, Run},
    store::Store,
};

const SERVICE: &str = "service-k";
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
const HOSTS: usize = 4;
const SERVERS: usize = 4;
/// Bounds `drain` and `config` of the users' sheet.
const BOUND_MS: u64 = 2_000;
const ROUNDS: usize = 10;
/// Number of callers of each host.
const CALLERS: usize = 12;
/// Time of a run, as of a listing search on the sheet of the joint classifieds platform.
const WORK: Duration = Duration::from_millis(120);
/// Time for which a server goes on after the store has accepted that it leaves.
const DRAIN: Duration = Duration::from_millis(3_000);
/// Largest share of surplus answers among the answers of a server on the users' sheets.
const SURPLUS_SHARE_MAX: f64 = 0.03;

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
    let seen = Arc::new(Seen::default());
    let mut number = 0;
    let mut start = || {
        let zone = ZONES[number % 3];
        let server = KeyedServer::start(number, SERVICE, zone, WORK, record, &seen);
        store.set("servers", &server.id, Some(&server.entry("ready")));
        number += 1;
        server
    };
    let mut servers: Vec<Arc<KeyedServer>> = (0..SERVERS).map(|_| start()).collect();
    let host = |number: usize| {
        Host::start(
            &format!("host-{number}"),
            ZONES[number % 3],
            address,
            temporary,
            BOUND_MS,
        )
    };
    let mut hosts: Vec<Host> = (0..HOSTS).map(host).collect();
    if !are_up(&hosts, &store) {
        record.event("the hosts did not become ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    for host in &hosts {
        for _ in 0..CALLERS {
            let call = Call {
                keys: Some(KEYS as u64),
                pause: Duration::from_millis(30),
            };
            caller::call(&host.name, host.callers, call, &stop, record);
        }
    }
    thread::sleep(Duration::from_secs(8));
    for round in 0..ROUNDS {
        servers.push(start());
        thread::sleep(Duration::from_millis(5_000));
        let leaving = servers.remove(0);
        record.event(&format!(
            "{} leaves; it holds {} keys",
            leaving.id,
            leaving.held()
        ));
        // Eight of all fourteen servers are faulty, one at a time.
        if has_trouble && round % 5 != 4 {
            leaving.owe_surplus();
        }
        store.set("servers", &leaving.id, Some(&leaving.entry("draining")));
        thread::sleep(DRAIN);
        store.set("servers", &leaving.id, None);
        let answers = leaving.answers.load(Ordering::SeqCst);
        let surplus = leaving.surplus.load(Ordering::SeqCst);
        if surplus as f64 > answers as f64 * SURPLUS_SHARE_MAX {
            record.event("too large a share of the answers was surplus");
            return 2;
        }
    }
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_200));
    if hosts.iter_mut().any(Host::has_ended) {
        record.event("a host ended by itself");
        return 2;
    }
    judge(record, &seen)
}

fn configuration() -> String {
    format!(
        "{{\"version\":\"00000001\",\"services\":[{{\"name\":\"{SERVICE}\",\"healthPath\":\
         \"/healthz\",\"maxConns\":130,\"protocol\":\"h1\",\"tls\":false,\"sharded\":true,\"warm\":\
         \"3s\",\"grants\":\"call\"}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\
         \"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}},\"hosts\":[{{\"host\":\
         \"site.example\",\"paths\":[{{\"name\":\"r-1\",\"pathPrefix\":\"/read/\",\"kind\":\"safe\",\
         \"timeout\":\"500ms\",\"aim\":\"200ms\",\"priority\":2,\"service\":\"{SERVICE}\",\
         \"maxAttempts\":2}}]}}]}}"
    )
}

/// Looks for keys that a server received while another one was still at work on them, before the
/// lease of the other one would have run out.
fn judge(record: &Record, seen: &Seen) -> i32 {
    let receipts = seen.receipts.lock().expect("no thread panics");
    let works = seen.works.lock().expect("no thread panics");
    for work in works.iter() {
        record.note_run(Run {
            request_id: work.request_id.clone(),
            at_ms: work.began_ms,
            service: SERVICE.to_owned(),
            server: format!("i-{:08x}", work.server),
        });
    }
    let mut broken = 0;
    for receipt in receipts.iter() {
        let concerned = works.iter().filter(|work| {
            let is_other = work.server != receipt.server;
            let is_key = (receipt.from..=receipt.to).contains(&work.key);
            let is_at_work = work.began_ms < receipt.at_ms && receipt.at_ms < work.ended_ms;
            is_other && is_key && is_at_work && receipt.at_ms < work.lease_ms
        });
        for work in concerned {
            broken += 1;
            record.event(&format!(
                "OWNER broken: i-{:08x} received key {} under fence {} at {:.3} s; i-{:08x} was at \
                 work on it from {:.3} s to {:.3} s, and its lease ran until {:.3} s",
                receipt.server,
                work.key,
                receipt.fence,
                receipt.at_ms as f64 / 1000.0,
                work.server,
                work.began_ms as f64 / 1000.0,
                work.ended_ms as f64 / 1000.0,
                work.lease_ms as f64 / 1000.0
            ));
        }
    }
    let (runs, moves) = (works.len(), receipts.len());
    record.event(&format!(
        "{broken} runs were going on at a receipt; {runs} runs, {moves} receipts"
    ));
    if runs < 1_000 || moves < 2 * ROUNDS {
        return 2;
    }
    i32::from(broken > 0)
}
