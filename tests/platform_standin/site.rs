//! A small deployment for tests, called a site: a store, servers of two services, entry hosts, and
//! a configuration.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use http::StatusCode;
use serde_json::{Value, json};
use tokio::time;

use super::{
    caller::{TestRequest, send_once},
    hosts::Host,
    process_delays::ProcessDelays,
    server::{Place, RunRecord, Server, ServerKind},
    server_proxy::Cuts,
    store::Store,
};

/// Time in which a host must serve all keys after its start.
const READY_WITHIN: Duration = Duration::from_secs(8);

/// Sharded service. Its route `/keyed/` has repeatable requests.
pub const KEYED: ServerKind<'static> = ServerKind {
    service: "keyed",
    zone: "a",
    sharded: true,
    work_ms: 5,
    slots: 4,
};
/// Servers of the sharded service with so few slots that the service is contended: the timeout of its
/// route is four times the objective.
pub const CONTENDED: ServerKind<'static> = ServerKind { slots: 3, ..KEYED };
/// Service without keys. Its route `/orders/` has unrepeatable requests.
pub const ORDERS: ServerKind<'static> = ServerKind {
    service: "orders",
    zone: "a",
    sharded: false,
    work_ms: 5,
    slots: 4,
};

/// Store, servers and hosts of one test.
#[derive(Debug)]
pub struct Site {
    /// Stand-in of the platform's store.
    pub store: Store,
    /// Record of all runs, for the checks of invariants.
    pub record: Arc<RunRecord>,
    /// Servers of the sharded service.
    pub keyed: Vec<Server>,
    /// Servers of the service without keys.
    pub orders: Vec<Server>,
    pub hosts: Vec<Host>,
}

impl Site {
    /// Starts a deployment and waits until all hosts are ready and all keys are served.
    pub async fn start(hosts: usize, servers: usize) -> Self {
        let mut site = Self::start_servers(servers).await;
        for _ in 0..hosts {
            site.hosts.push(Host::start(&site.store));
        }
        site.await_ready().await;
        site
    }

    /// Starts the store and the servers, but no host.
    pub async fn start_servers(servers: usize) -> Self {
        let store = Store::start().await;
        let record = Arc::new(RunRecord::default());
        let mut keyed = Vec::new();
        let mut orders = Vec::new();
        for _ in 0..servers {
            keyed.push(Server::start(&store, &record, KEYED).await);
            orders.push(Server::start(&store, &record, ORDERS).await);
        }
        store.put("op", "config", &configuration(1, &[]));
        Self {
            store,
            record,
            keyed,
            orders,
            hosts: Vec::new(),
        }
    }

    /// Starts a deployment with a host in each of `zones`, whose servers are behind proxies that can
    /// partition hosts from them, and waits until all hosts are ready and all keys are served.
    pub async fn start_behind_proxies(zones: &[&str], servers: usize) -> (Self, Cuts) {
        let mut site = Self::start_servers(servers).await;
        let cuts = Cuts::default();
        site.put_behind_proxies(&cuts).await;
        for zone in zones {
            let host = Host::start_in(zone, site.store.address, "");
            cuts.add_host(host.pid());
            site.hosts.push(host);
        }
        site.await_ready().await;
        (site, cuts)
    }

    /// Puts all servers, before hosts start, behind proxies that can partition hosts from them.
    pub async fn put_behind_proxies(&mut self, cuts: &Cuts) {
        for server in self.keyed.iter_mut().chain(&mut self.orders) {
            server.put_behind_proxy(&self.store, cuts).await;
        }
    }

    /// Starts a deployment whose sharded service is contended, with crashable servers, and waits
    /// until all hosts are ready and all keys are served. Checks from then on that no key has two
    /// owners.
    pub async fn start_contended(hosts: usize, servers: usize) -> Self {
        Self::start_contended_since(hosts, servers, None).await
    }

    /// Starts the same deployment with servers whose entries state the start time `started_ms`.
    pub async fn start_contended_since(
        hosts: usize,
        servers: usize,
        started_ms: Option<u64>,
    ) -> Self {
        let mut site = Self::start_servers(servers).await;
        site.replace_by_contended(started_ms).await;
        for _ in 0..hosts {
            site.hosts.push(Host::start(&site.store));
        }
        site.await_ready().await;
        site.record.spawn_owner_checks();
        site
    }

    /// Replaces the servers of the sharded service, before hosts start, by crashable servers with so
    /// few slots that the service is contended. Their entries state the start time `started_ms`.
    pub async fn replace_by_contended(&mut self, started_ms: Option<u64>) {
        for server in &mut self.keyed {
            server.crash(&self.store);
            let place = Place {
                started_ms,
                ..Place::new()
            };
            *server = Server::start_crashable_at(place, &self.store, &self.record, CONTENDED).await;
        }
    }

    /// Waits until every host serves requests for keys at the start, in the middle and at the end
    /// of the key range; panics after 8 s per host. Times in which the test's process was delayed do
    /// not count, since the hosts need responses of the store and the servers in this process.
    pub async fn await_ready(&self) {
        let delays = ProcessDelays::start();
        for host in &self.hosts {
            let from = Instant::now();
            while !serves_all_keys(host).await {
                assert!(
                    delays.undelayed_since(from) < READY_WITHIN,
                    "a host does not serve all keys within 8 s ({} ms with delays)",
                    from.elapsed().as_millis()
                );
                time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// Returns true if a host serves requests for keys at the start, in the middle and at the end of
/// the key range.
async fn serves_all_keys(host: &Host) -> bool {
    for key in [0, 20_000, 40_000, 65_535] {
        if get(host, key).await != Some(StatusCode::OK) {
            return false;
        }
    }
    true
}

/// Number of spans in which [`check_call_count`] counts calls at most.
const COUNTED_SPANS: usize = 3;
/// Time in milliseconds for which the threads of a host may wait for a processor in a span whose
/// calls are counted only once. Among 24 hosts it is 330 ms on a calm machine; in a span with too
/// many calls beside busy processes it was 4,000 ms. Hosts call the store themselves once the
/// leader's reports are 1.4 s old.
const PROCESSOR_WAIT_MAX_MS: u64 = 500;

/// Calls to the store that were made in a span.
#[derive(Debug)]
pub struct CountedCalls {
    /// Number of calls that the test bounds.
    pub calls: u64,
    /// Calls of all kinds by path and table.
    pub by_kind: BTreeMap<String, u64>,
    /// Longest time for which the threads of a host waited for a processor.
    pub processor_wait_ms: u64,
}

/// Fails if the hosts make more than `calls_max` calls in a span. `run_span` runs the span with the
/// given number and returns the count. A span with more calls is repeated only if hosts lacked
/// processor time in it, since hosts that hear the leader late must call the store themselves.
pub async fn check_call_count(
    site: &mut Site,
    calls_max: u64,
    mut run_span: impl AsyncFnMut(&mut Site, usize) -> u64,
) {
    let mut spans = Vec::new();
    for span in 0..COUNTED_SPANS {
        let kinds_before = site.store.calls_by_kind();
        let waits_before: Vec<u64> = site.hosts.iter().map(Host::processor_wait_ms).collect();
        let calls = run_span(site, span).await;
        let waits = site.hosts.iter().zip(waits_before);
        let waits = waits.map(|(host, before)| host.processor_wait_ms().saturating_sub(before));
        let processor_wait_ms = waits.max().unwrap_or(0);
        let mut by_kind = site.store.calls_by_kind();
        for (kind, calls) in &mut by_kind {
            *calls -= kinds_before.get(kind).copied().unwrap_or(0);
        }
        spans.push(CountedCalls {
            calls,
            by_kind,
            processor_wait_ms,
        });
        if calls <= calls_max {
            return;
        }
        if processor_wait_ms < PROCESSOR_WAIT_MAX_MS {
            break;
        }
    }
    panic!("more than {calls_max} calls in each span: {spans:#?}");
}

/// Builds a configuration with the routes `/keyed/` and `/orders/` and one more route to the
/// service `orders` for each prefix in `more_prefixes`.
pub fn configuration(version: u32, more_prefixes: &[&str]) -> Value {
    let mut paths = vec![
        json!({"name": "r-keyed", "pathPrefix": "/keyed/", "kind": "safe", "timeout": "800ms",
            "aim": "200ms", "priority": 2, "service": "keyed", "maxAttempts": 2}),
        json!({"name": "r-orders", "pathPrefix": "/orders/", "kind": "unsafe", "timeout": "800ms",
            "aim": "200ms", "priority": 1, "service": "orders", "maxAttempts": 2}),
    ];
    for prefix in more_prefixes {
        paths.push(json!({"name": prefix, "pathPrefix": prefix, "kind": "safe",
            "timeout": "800ms", "priority": 2, "maxAttempts": 2,
            "split": [{"service": "orders", "weight": 100}]}));
    }
    json!({
        "version": format!("{version:08x}"),
        "services": [
            {"name": "keyed", "healthPath": "/healthz", "maxConns": 130, "protocol": "h1",
             "tls": false, "sharded": true, "warm": "3s", "grants": "call"},
            {"name": "orders", "healthPath": "/healthz", "maxConns": 130, "protocol": "h1",
             "tls": false},
        ],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1_048_576, "headerTimeout": "3000ms",
            "idleTimeout": "15000ms"},
        "hosts": [{"host": "site.example", "paths": paths}],
    })
}

/// Builds a second version of the configuration, in which all routes have this timeout.
pub fn configuration_with_timeout(more_prefixes: &[&str], timeout_ms: u64) -> Value {
    let mut settings = configuration(2, more_prefixes);
    for path in routes(&mut settings) {
        path["timeout"] = json!(format!("{timeout_ms}ms"));
    }
    settings
}

/// Returns the routes of a configuration.
pub fn routes(settings: &mut Value) -> &mut [Value] {
    let paths = settings["hosts"][0]["paths"].as_array_mut();
    paths.expect("paths")
}

/// Sends a read of a key of the sharded service to a host and returns the status of the response;
/// `None` if no response arrives.
pub async fn get(host: &Host, key: u16) -> Option<StatusCode> {
    let id = format!("{:016x}", rand::random::<u64>());
    let ask = TestRequest {
        method: "GET",
        path: "/keyed/level",
        id: &id,
        key: Some(key),
        deadline_ms: 800,
    };
    send_once(host.callers, ask)
        .await
        .map(|response| response.status)
}

/// Returns true if each key has a valid lease at exactly one of the servers, provided that no key
/// has two owners.
pub fn all_keys_held(servers: &[Server]) -> bool {
    servers.iter().map(Server::keys_held).sum::<usize>() == 1 << 16
}

/// Waits until a condition holds; fails the test if the condition does not hold within `limit_ms`.
pub async fn eventually(what: &str, limit_ms: u64, mut condition: impl AsyncFnMut() -> bool) {
    let until = Instant::now() + Duration::from_millis(limit_ms);
    while !condition().await {
        assert!(
            Instant::now() < until,
            "condition does not hold within {limit_ms} ms: {what}"
        );
        time::sleep(Duration::from_millis(50)).await;
    }
}
