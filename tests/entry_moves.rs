//! Requests for keys whose server leaves, sent to all hosts from the moment at which the server says
//! so. The tests guard against three kinds of refusals, by which up to three in five requests failed
//! for 1.5 s: at hosts that know that the server leaves and not yet that its keys move, at hosts
//! that have read the recorded move before the leader has begun it, and at all hosts while the leader
//! waits for the lost response to its record of the move.

mod platform_standin;

use std::time::{Duration, Instant};

use http::StatusCode;
use serde_json::Value;
use tokio::{task::JoinSet, time};

use self::platform_standin::{
    caller::{TestRequest, send_once},
    hosts::Host,
    server::Server,
    site::{Site, all_keys_held, eventually},
    store::Faults,
};

const HOSTS: usize = 3;
const DEADLINE_MS: u64 = 800;
/// Time from the leaving of the server in which requests are sent.
const SENT_FOR: Duration = Duration::from_millis(2_500);
/// Pause between two requests to a host.
const PAUSE: Duration = Duration::from_millis(10);
/// Reasons of refusals because of a move.
const MOVE_REASONS: [&str; 5] = [
    "the key's server is leaving",
    "the key's server is gone",
    "no server holds the key",
    "the key is on its way to another server",
    "the server answered 421",
];

/// Way in which a server leaves, with the faults of the store meanwhile.
struct Case {
    name: &'static str,
    /// True if the entry of the server is removed, false if it says that the server leaves.
    is_removed: bool,
    /// Interval of the store's lost responses; 0 for none.
    lose_response_every: u64,
    /// Largest share of the requests that may be refused because their key moves.
    refused_max: f64,
}

/// Returns the number of requests that a host refused because their key moves.
fn refused_for_move(host: &Host) -> usize {
    let lines = host.events("request").into_iter();
    let events = lines.filter_map(|line| serde_json::from_str::<Value>(&line).ok());
    let is_refused_for_move = |event: &Value| {
        let reason = event["reason"].as_str().unwrap_or_default();
        event["decision"] == "refused" && MOVE_REASONS.iter().any(|r| reason.starts_with(r))
    };
    events.filter(is_refused_for_move).count()
}

/// Sends a read, and returns the time until the response and its status.
async fn read(host: std::net::SocketAddr, key: u16) -> (Duration, Option<StatusCode>) {
    let id = format!("{:016x}", rand::random::<u64>());
    let sent_at = Instant::now();
    let request = TestRequest {
        method: "GET",
        path: "/keyed/level",
        id: &id,
        key: Some(key),
        deadline_ms: DEADLINE_MS,
    };
    let response = send_once(host, request).await;
    (sent_at.elapsed(), response.map(|response| response.status))
}

async fn start() -> Site {
    let mut site = Site::start_servers(3).await;
    for _ in 0..HOSTS {
        site.hosts.push(Host::start(&site.store));
    }
    eventually("all keys are held", 10_000, async || {
        all_keys_held(&site.keyed)
    })
    .await;
    // Waits until the hosts know each other.
    time::sleep(Duration::from_secs(2)).await;
    site
}

/// Lets a server leave while all hosts get requests for its keys. Returns the number of requests and
/// the number that hosts refused because the key moves.
async fn refused_requests(case: &Case) -> (usize, usize) {
    let site = start().await;
    site.store.set_faults(Faults {
        lose_response_every: case.lose_response_every,
        ..Faults::default()
    });
    let leaving = &site.keyed[0];
    let keys: Vec<u16> = (0..=u16::MAX)
        .step_by(97)
        .filter(|key| leaving.holds(*key))
        .collect();
    let before: Vec<usize> = site.hosts.iter().map(refused_for_move).collect();
    let began = Instant::now();
    if case.is_removed {
        leaving.remove_entry(&site.store);
    } else {
        leaving.write_entry(&site.store, "draining");
    }
    let mut reads = JoinSet::new();
    for key in keys.iter().cycle() {
        if began.elapsed() >= SENT_FOR {
            break;
        }
        for host in &site.hosts {
            reads.spawn(read(host.callers, *key));
        }
        time::sleep(PAUSE).await;
    }
    let sent = reads.len();
    for (took, status) in reads.join_all().await {
        assert!(status.is_some(), "{}: a read was not answered", case.name);
        let held_for = took.as_millis() as u64;
        assert!(held_for <= DEADLINE_MS, "{}: {held_for} ms", case.name);
    }
    // Hosts write their log every 0.2 s.
    time::sleep(Duration::from_millis(500)).await;
    let refused = site.hosts.iter().zip(before);
    let refused = refused.map(|(host, before)| refused_for_move(host) - before);
    assert_eq!(site.record.violations(), Vec::<String>::new());
    assert!(
        site.keyed[1..].iter().map(Server::keys_held).sum::<usize>() == 1 << 16,
        "{}: the keys have not moved",
        case.name
    );
    (sent, refused.sum())
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_for_keys_of_a_leaving_server_are_held_until_the_keys_have_moved() {
    let cases = [
        Case {
            name: "the entry says so",
            is_removed: false,
            lose_response_every: 0,
            refused_max: 0.0,
        },
        Case {
            name: "the entry is removed",
            is_removed: true,
            lose_response_every: 0,
            refused_max: 0.0,
        },
        Case {
            name: "every third response of the store is lost",
            is_removed: false,
            lose_response_every: 3,
            refused_max: 0.1,
        },
        Case {
            name: "every fifth response of the store is lost",
            is_removed: false,
            lose_response_every: 5,
            refused_max: 0.1,
        },
    ];
    let mut failed = Vec::new();
    for case in &cases {
        let (sent, refused) = refused_requests(case).await;
        println!("{}: {refused} of {sent} refused", case.name);
        if refused as f64 > case.refused_max * sent as f64 {
            failed.push(format!("{}: {refused} of {sent} refused", case.name));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
