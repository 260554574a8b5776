//! Case 1: answers without a length that are reset behind a tunnel look complete.

#[path = "../standin/hosts.rs"]
#[allow(dead_code)]
mod hosts;
#[path = "../standin/http.rs"]
#[allow(dead_code)]
mod http;
#[path = "../standin/json.rs"]
#[allow(dead_code)]
mod json;
#[path = "../standin/keys.rs"]
#[allow(dead_code)]
mod keys;
#[path = "../standin/store.rs"]
#[allow(dead_code)]
mod store;

use std::{
    path::Path,
    process::exit,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

use hosts::{Host, Record, SMALL, next_address};
use http::{Answer, exchange};
use keys::{Server, Trouble, whole_body};
use store::Store;

const HOSTS: usize = 4;
const SERVERS: usize = 5;
/// Number of servers that break off answers, and one in how many answers they break off.
const BREAKING: usize = 2;
const BREAKS_EVERY: u64 = 20;
/// Time for which the first host has lost its path to the first server, and when that begins.
const CUT: Duration = Duration::from_secs(10);
const CUT_FROM: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(15);
const DEADLINE_MS: u64 = 500;

fn main() {
    let folder = std::env::args().nth(1).expect("temporary folder");
    let record_path = std::env::args().nth(2).expect("path of the record");
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let mut record = Record::create(Path::new(&record_path));
    let code = run(Path::new(&folder), has_trouble, &mut record);
    record.note(&format!("exit {code}"));
    exit(code);
}

fn configuration() -> String {
    r#"{"version":"00000001","services":[{"name":"pegel","healthPath":"/healthz","maxConns":130,"sharded":true,"warm":"3s","grants":"call"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3000ms","idleTimeout":"15000ms"},"hosts":[{"host":"board.example","paths":[{"name":"level-read","pathPrefix":"/levels/","kind":"safe","timeout":"500ms","aim":"200ms","priority":2,"service":"pegel","maxAttempts":2}]}]}"#.to_owned()
}

fn run(folder: &Path, has_trouble: bool, record: &mut Record) -> i32 {
    let store = Store::start(next_address());
    store.put("op", "config", &configuration());
    let hosts: Vec<Host> = (0..HOSTS)
        .map(|_| Host::start(folder, store.address, SMALL))
        .collect();
    let start = |number: usize| {
        let trouble = Trouble::breaking(if number < BREAKING { BREAKS_EVERY } else { 0 });
        if number == 0 {
            trouble.cut_process.store(hosts[0].pid(), Ordering::Relaxed);
        }
        let work = Duration::from_millis(20);
        Server::start_with(&format!("i-{number}"), "pegel", true, work, &store, trouble)
    };
    let servers: Vec<Server> = (0..SERVERS).map(start).collect();
    let is_ready = |host: &Host| host.is_ready_within(Duration::from_secs(15));
    let until = Instant::now() + Duration::from_secs(20);
    let are_held = || servers.iter().map(Server::keys_held).sum::<usize>() == 1 << 16;
    while !are_held() && Instant::now() < until {
        thread::sleep(Duration::from_millis(100));
    }
    if !hosts.iter().all(is_ready) || !are_held() {
        record.note("the hosts are not ready");
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    record.note(&format!(
        "{HOSTS} hosts, {SERVERS} servers; {} is the host that is cut off from i-0, trouble: {has_trouble}",
        hosts[0].name
    ));
    let began = Instant::now();
    let answers: Arc<Mutex<Vec<(String, Duration, usize, Answer)>>> = Arc::default();
    let threads: Vec<_> = (0..12usize)
        .map(|client| {
            let (place, to) = (client % HOSTS, hosts[client % HOSTS].callers);
            let answers = answers.clone();
            thread::spawn(move || {
                let mut number = 0usize;
                while began.elapsed() < LENGTH {
                    let id = format!("{client:04x}{number:012x}");
                    number += 1;
                    let key = (client * 5_461 + number * 977) % 65_536;
                    let request = format!(
                        "GET /levels/{number} HTTP/1.1\r\nHost: board.example\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\nShard-Key: {key}\r\n\r\n"
                    );
                    let at = began.elapsed();
                    let answer = exchange(to, request.as_bytes(), Duration::from_millis(DEADLINE_MS));
                    answers.lock().expect("lock").push((id, at, place, answer));
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    if has_trouble {
        thread::sleep(CUT_FROM);
        servers[0].trouble.is_cut.store(true, Ordering::Relaxed);
        record.note(&format!("{} has lost its path to i-0", hosts[0].name));
        thread::sleep(CUT);
        servers[0].trouble.is_cut.store(false, Ordering::Relaxed);
        record.note("the path is back");
    }
    for thread in threads {
        let _ = thread.join();
    }
    for server in &servers {
        for (id, how) in server.trouble.runs.lock().expect("lock").iter() {
            record.note(&format!("server {} ran request {id}: {how}", server.id));
        }
    }
    let answers = answers.lock().expect("lock");
    judge(&answers, &hosts, record)
}

/// Applies the rule to all answers.
fn judge(
    answers: &[(String, Duration, usize, Answer)],
    hosts: &[Host],
    record: &mut Record,
) -> i32 {
    let (mut whole, mut broken) = (0, 0);
    for (id, at, place, answer) in answers {
        let is_success = (200..300).contains(&answer.status) && answer.is_complete;
        let is_whole = is_success && answer.body == whole_body(id);
        whole += usize::from(is_whole);
        broken += usize::from(is_success && !is_whole);
        record.note(&format!(
            "request {id} sent to {} at {:.3} s: status {}, {} bytes, framed as complete: {}{}",
            hosts[*place].name,
            at.as_secs_f64(),
            answer.status,
            answer.body.len(),
            answer.is_complete,
            if is_success && !is_whole {
                ", A SUCCESS WITH A SHORT BODY"
            } else {
                ""
            }
        ));
    }
    record.note(&format!(
        "{} requests, {whole} successes with the whole body, {broken} successes without it",
        answers.len()
    ));
    if whole * 2 < answers.len() {
        record.note("the deployment did not serve");
        return 2;
    }
    i32::from(broken > 0)
}
