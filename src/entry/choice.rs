//! Choice of a backend server for a request without a key, and admission for all requests.

use std::sync::Arc;

use rand::seq::SliceRandom;

use super::server::Server;

/// Run time that is assumed of a server while nothing is known of it or its like.
const RUN_DEFAULT_MS: f64 = 60.0;
/// Cost of another availability zone, as a share of the run time: bytes between zones are priced.
const ZONE_COST: f64 = 0.4;
/// Cost of opening a connection, as a share of the run time: new connections are priced.
const CONNECT_COST: f64 = 0.25;
/// Bounds of a server's run time for the planner, as shares of the typical one. Servers of a service
/// differ in speed by a factor of 2 to 3.
const RUN_LEAST: f64 = 0.6;
const RUN_MOST: f64 = 4.0;
/// A cold server is about half as fast.
const COLD_FACTOR: f64 = 2.0;
/// Cost of a server whose attempts all fail, in run times.
const FAILURE_COST: f64 = 8.0;
/// Requests at a server, as a multiple of its slots, above which it gets no more. Servers queue
/// about four times their slots and reset or shed beyond.
const LOAD_MAX_FACTOR: u32 = 4;
/// Advantage of a server of which nothing is known lately, so that servers that join, and those
/// that were avoided, are tried.
const UNKNOWN_BONUS: f64 = 0.8;
/// Servers with room that are compared for one request while up to [`FEW_HOSTS`] hosts choose among
/// them. With more hosts, what each knows of the others' requests is older, and all of them would
/// choose the same few servers: so the number falls, down to a few drawn at random.
const CANDIDATES_MAX: usize = 24;
const CANDIDATES_MIN: usize = 3;
const FEW_HOSTS: usize = 11;
/// Random part of a cost, so that hosts with the same view do not all choose the same server.
const JITTER: f64 = 0.1;

/// Numbers of hosts, the own one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCount {
    /// In the own availability zone: these prefer the same servers.
    pub near: usize,
    /// In all zones.
    pub all: usize,
}

/// Why a request is not sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No server of the service may get work.
    NoServer,
    /// All servers have as much as they can do in time.
    Overloaded,
}

/// Expected time until a server has answered a further request.
pub fn expected_ms(server: &Server, run_ms: f64) -> f64 {
    let run_ms = match server.run_ms() {
        known if known > 0.0 => known,
        _ => run_ms,
    };
    let run_ms = if server.cold() {
        run_ms * COLD_FACTOR
    } else {
        run_ms
    };
    let ahead = f64::from(server.load() + 1);
    let slots = f64::from(server.entry.slots);
    let waiting = (ahead - slots).max(0.0) / slots;
    run_ms * (1.0 + waiting)
}

/// True if a server has room for a request that must be answered within `left_ms`.
pub fn has_room(server: &Server, run_ms: f64, left_ms: u64) -> bool {
    let load_max = server.entry.slots * LOAD_MAX_FACTOR;
    server.load() < load_max && expected_ms(server, run_ms) < left_ms as f64
}

/// Requests a second that a server can serve. One of which nothing is known counts as typical, and
/// what is known counts within the bounds in which servers of a service differ: quick answers may
/// be failures, and slow ones have waited.
pub fn capacity_per_s(server: &Server, typical_ms: f64) -> f64 {
    let run_ms = match server.run_ms() {
        known if known > 0.0 => known,
        _ => typical_ms,
    };
    let run_ms = run_ms.clamp(typical_ms * RUN_LEAST, typical_ms * RUN_MOST);
    let warm = f64::from(server.entry.slots) * 1000.0 / run_ms;
    if server.cold() {
        warm / COLD_FACTOR
    } else {
        warm
    }
}

/// Average run time of a service's servers.
pub fn typical_run_ms(servers: &[Arc<Server>]) -> f64 {
    let known: Vec<f64> = servers
        .iter()
        .map(|server| server.run_ms())
        .filter(|run_ms| *run_ms > 0.0)
        .collect();
    if known.is_empty() {
        return RUN_DEFAULT_MS;
    }
    known.iter().sum::<f64>() / known.len() as f64
}

/// The server that is expected to answer first, with room for the request.
pub fn pick(
    servers: &[Arc<Server>],
    availability_zone: &str,
    tried: &[Arc<str>],
    left_ms: u64,
    hosts: HostCount,
) -> Result<Arc<Server>, Refusal> {
    let typical_ms = typical_run_ms(servers);
    let mut best: Option<(&Arc<Server>, f64)> = None;
    let mut any = false;
    let mut order: Vec<&Arc<Server>> = servers.iter().collect();
    order.shuffle(&mut rand::rng());
    let usable = order
        .into_iter()
        .filter(|server| !server.leaving() && !tried.contains(&server.entry.id))
        .inspect(|_| any = true)
        .filter(|server| !server.paused() && has_room(server, typical_ms, left_ms));
    let mut near = compared(hosts.near);
    let mut distant = compared(hosts.all).div_ceil(2);
    for server in usable {
        let is_near = *server.entry.availability_zone == *availability_zone;
        let left = if is_near { &mut near } else { &mut distant };
        if *left == 0 {
            continue;
        }
        *left -= 1;
        let cost = cost(server, availability_zone, typical_ms);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((server, cost));
        }
    }
    match best {
        Some((server, _)) => Ok(server.clone()),
        None if any => Err(Refusal::Overloaded),
        None => Err(Refusal::NoServer),
    }
}

/// Number of servers that are compared when so many hosts choose among them.
fn compared(hosts: usize) -> usize {
    (CANDIDATES_MAX * FEW_HOSTS / hosts.max(1)).clamp(CANDIDATES_MIN, CANDIDATES_MAX)
}

fn cost(server: &Server, availability_zone: &str, typical_ms: f64) -> f64 {
    let distant = *server.entry.availability_zone != *availability_zone;
    let zone = if distant { ZONE_COST } else { 0.0 };
    let connect = if server.pool.has_idle() {
        0.0
    } else {
        CONNECT_COST
    };
    let unknown = if server.run_ms() == 0.0 {
        UNKNOWN_BONUS
    } else {
        0.0
    };
    let jitter = JITTER * rand::random::<f64>();
    let base = expected_ms(server, typical_ms);
    base * (1.0 + zone + connect + jitter - unknown + FAILURE_COST * server.failures())
}
