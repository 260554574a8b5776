//! The open connections of all hosts to the store go silent for good, new ones work, and the operator
//! writes a configuration just after. Shows whether a host in touch still handles requests as only
//! the configuration before allows.

use std::{
    env, fs,
    path::Path,
    process,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    caller::{self, Call},
    host::{Host, are_up},
    record::Record,
    server::Server,
    store::Store,
};

/// Bound of the users' sheet on the time from the confirmation of a configuration.
const CONFIG_MS: u64 = 2_000;
/// Time without disturbance after which a machine is in touch, from the users' sheet.
const CONTACT_MS: u64 = 3_000;
const ROUNDS: u64 = 10;
/// Shortest time from one round to the next, without the part that spreads the rounds.
const ROUND_MS: u64 = 8_200;
/// Longest time that is added to the start of a round, so that the silences meet the hosts' feeds in
/// different phases.
const SPREAD_MS: u64 = 2_400;
const SERVICES: [&str; 2] = ["service-a", "service-b"];
const ZONES: [&str; 3] = ["zone-1", "zone-2", "zone-3"];
const HOSTS: usize = 6;

/// Version of the configuration, with the time of its confirmation and the service of its route.
struct Version {
    confirmed_ms: u64,
    service: usize,
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
    let mut versions = Vec::new();
    configure(&store, &mut versions, 0, record);
    for number in 0..6 {
        let id = format!("i-{number:08x}");
        let work = Duration::from_millis(5);
        let server = Server::start(&id, SERVICES[number % 2], ZONES[number / 2], work, record);
        store.set("servers", &id, Some(&server.entry("ready")));
    }
    let start = |number: usize| {
        Host::start(
            &format!("host-{number}"),
            ZONES[number % 3],
            address,
            temporary,
            CONFIG_MS,
        )
    };
    let mut hosts: Vec<Host> = (0..HOSTS).map(start).collect();
    if !are_up(&hosts, &store) {
        record.event("the hosts did not become ready");
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    for host in &hosts {
        let call = Call {
            keys: None,
            pause: Duration::from_millis(20),
        };
        caller::call(&host.name, host.callers, call, &stop, record);
    }
    thread::sleep(Duration::from_secs(4));
    let mut silences = Vec::new();
    let began = Instant::now();
    for round in 0..ROUNDS {
        let spread_ms = SPREAD_MS * (round * 618 % 1_000) / 1_000;
        let until = Duration::from_millis(ROUND_MS * round + spread_ms);
        thread::sleep(until.saturating_sub(began.elapsed()));
        configure(&store, &mut versions, (round % 2) as usize, record);
        thread::sleep(Duration::from_millis(300));
        if has_trouble {
            record.event("the open connections to the store go silent");
            silences.push(record.now_ms());
            store.silence_open_connections();
        }
        thread::sleep(Duration::from_millis(200));
        configure(&store, &mut versions, ((round + 1) % 2) as usize, record);
    }
    thread::sleep(Duration::from_millis(7_000));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_millis(1_200));
    if hosts.iter_mut().any(Host::has_ended) {
        record.event("a host ended by itself");
        return 2;
    }
    judge(record, &versions, &silences)
}

/// Writes a configuration whose only route leads to one of the services.
fn configure(store: &Store, versions: &mut Vec<Version>, service: usize, record: &Record) {
    let number = versions.len() + 1;
    let declared = SERVICES.map(|name| {
        format!(
            "{{\"name\":\"{name}\",\"healthPath\":\"/healthz\",\"maxConns\":130,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    });
    let document = format!(
        "{{\"version\":\"{number:08x}\",\"services\":[{}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}},\
         \"hosts\":[{{\"host\":\"site.example\",\"paths\":[{{\"name\":\"r-1\",\"pathPrefix\":\
         \"/read/\",\"kind\":\"safe\",\"timeout\":\"500ms\",\"aim\":\"200ms\",\"priority\":2,\
         \"service\":\"{}\",\"maxAttempts\":2}}]}}]}}",
        declared.join(","),
        SERVICES[service]
    );
    store.set("op", "config", Some(&document));
    let confirmed_ms = record.now_ms();
    record.event(&format!(
        "version {number} is confirmed: the route leads to {}",
        SERVICES[service]
    ));
    versions.push(Version {
        confirmed_ms,
        service,
    });
}

/// Looks for requests that a host in touch handled as only an older version allows.
fn judge(record: &Record, versions: &[Version], silences: &[u64]) -> i32 {
    let runs = record.runs();
    let (mut judged, mut broken, mut latest_ms) = (0, 0, 0);
    for sent in record.sent() {
        let in_touch = silences
            .iter()
            .all(|at_ms| sent.sent_ms < *at_ms || sent.sent_ms > at_ms + CONTACT_MS);
        let Some(run) = runs.iter().find(|run| run.request_id == sent.request_id) else {
            continue;
        };
        if !in_touch {
            continue;
        }
        judged += 1;
        let is_allowed = versions.iter().enumerate().any(|(place, version)| {
            let is_superseded = versions[place + 1..]
                .iter()
                .any(|later| sent.sent_ms > later.confirmed_ms + CONFIG_MS);
            let may_be_known = version.confirmed_ms <= run.at_ms;
            may_be_known && !is_superseded && SERVICES[version.service] == run.service
        });
        if !is_allowed {
            broken += 1;
            let since = versions
                .iter()
                .filter(|v| v.confirmed_ms < sent.sent_ms)
                .next_back();
            let late_ms = since.map_or(0, |version| sent.sent_ms - version.confirmed_ms);
            latest_ms = late_ms.max(latest_ms);
            record.event(&format!(
                "CONFIG broken: request {} sent at {:.3} s to {} ran at {}, {late_ms} ms after the \
                 newest version was confirmed",
                sent.request_id,
                sent.sent_ms as f64 / 1000.0,
                sent.host,
                run.service
            ));
        }
    }
    record.event(&format!(
        "{broken} of {judged} requests in touch broke the rule; the latest {latest_ms} ms after"
    ));
    if judged < 1_000 {
        return 2;
    }
    i32::from(broken > 0)
}
