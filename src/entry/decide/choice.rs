//! Choice of a server for a request that any server of a service may run.

use rand::{Rng, seq::SliceRandom};

use super::{Candidate, Demand, Policy, admission};

/// Servers with room that are compared for one request while up to [`FEW_HOSTS`] hosts choose among
/// them. With more hosts, what each knows of the others' requests is older, and all of them would
/// choose the same few servers: so the number falls, down to a few drawn at random. Played in virtual
/// time at 1.25 times the capacity of 11 servers, 25 hosts earned 0.87 of the worth with ten compared and
/// 0.92 with three.
const CANDIDATES_MAX: usize = 24;
const CANDIDATES_MIN: usize = 3;
const FEW_HOSTS: usize = 3;

/// Numbers of hosts, the own one included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCount {
    /// In the own availability zone: these prefer the same servers.
    pub near: usize,
    /// In all zones.
    pub all: usize,
}

/// Question for a server.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Servers that may get the request.
    pub servers: &'a [Candidate],
    /// Average run time of the service's servers.
    pub typical_ms: f64,
    /// What the request needs.
    pub demand: Demand,
    /// Hosts that choose among the same servers.
    pub hosts: HostCount,
}

/// Place of the server that is expected to answer first and has room; `None` if all are overloaded. Servers of
/// another region get what those of the own one have no room for: the way there is long, and its bytes are dear.
pub fn pick(inputs: Inputs<'_>, policy: &Policy, rng: &mut impl Rng) -> Option<usize> {
    let mut order: Vec<usize> = (0..inputs.servers.len()).collect();
    order.shuffle(rng);
    let is_far = |place: &usize| inputs.servers[*place].is_far;
    let (far, own): (Vec<usize>, Vec<usize>) = order.into_iter().partition(is_far);
    pick_among(inputs, own, policy, rng).or_else(|| pick_among(inputs, far, policy, rng))
}

fn pick_among(
    inputs: Inputs<'_>,
    order: Vec<usize>,
    policy: &Policy,
    rng: &mut impl Rng,
) -> Option<usize> {
    let Inputs {
        servers,
        typical_ms,
        demand,
        hosts,
    } = inputs;
    let mut near = compared(hosts.near);
    let mut distant = compared(hosts.all).div_ceil(2);
    let mut best: Option<(usize, f64)> = None;
    for place in order {
        let server = &servers[place];
        if server.is_paused || !admission::has_room(server, typical_ms, demand, policy) {
            continue;
        }
        let room = if server.is_near {
            &mut near
        } else {
            &mut distant
        };
        if *room == 0 {
            continue;
        }
        *room -= 1;
        let expected_ms = admission::expected_ms(server, typical_ms, demand.run_share);
        let cost = expected_ms * cost_factor(server, policy, rng.random());
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((place, cost));
        }
    }
    best.map(|(place, _)| place)
}

/// Number of servers that are compared when so many hosts choose among them.
fn compared(hosts: usize) -> usize {
    (CANDIDATES_MAX * FEW_HOSTS / hosts.max(1)).clamp(CANDIDATES_MIN, CANDIDATES_MAX)
}

/// Factor of the expected time for what else speaks for or against a server.
fn cost_factor(server: &Candidate, policy: &Policy, random: f64) -> f64 {
    let added = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
    let zone = added(!server.is_near, policy.zone_cost);
    let connect = added(!server.has_idle_connection, policy.connect_cost);
    let unknown = added(server.run_ms == 0.0, policy.unknown_bonus);
    let failures = policy.failure_cost * server.failures;
    1.0 + zone + connect + policy.jitter * random - unknown + failures
}
