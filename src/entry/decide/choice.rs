//! Choice of a server for a request that any server of a service may run.

use rand::{Rng, seq::SliceRandom};

use super::{Candidate, Demand, Policy, admission};

/// Maximum number of servers with room that are compared for one request, used while at most
/// [`FEW_HOSTS`] hosts choose among the same servers. With more hosts, each host's data on the load
/// by other hosts is older, and all hosts would choose the same few servers; so the number falls,
/// down to a few servers drawn at random. In a simulation at 1.25 times the capacity of 11 servers,
/// 25 hosts achieved 0.87 of the possible value with ten servers compared and 0.92 with three.
const CANDIDATES_MAX: usize = 24;
const CANDIDATES_MIN: usize = 3;
const FEW_HOSTS: usize = 3;

/// Numbers of hosts that choose among the same servers, including this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCount {
    /// Hosts in this host's availability zone, which prefer the same servers.
    pub same_zone: usize,
    /// Hosts in all availability zones.
    pub all: usize,
}

/// State of the servers, the request and the hosts on which the choice of a server is based.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Servers that may run the request; the result is an index into this slice.
    pub servers: &'a [Candidate],
    /// Average run time over the servers of the service, assumed for servers without samples.
    pub typical_ms: f64,
    /// Time limits, urgency and expected run time of the request.
    pub demand: Demand,
    /// Hosts that choose among the same servers.
    pub hosts: HostCount,
}

/// Returns the index of the server with room that is expected to answer first, weighted by cost;
/// `None` if none has room. Servers of another region get only requests for which this region
/// has no room: the network latency is high and the traffic is expensive.
pub fn pick(inputs: Inputs<'_>, policy: &Policy, rng: &mut impl Rng) -> Option<usize> {
    let mut order: Vec<usize> = (0..inputs.servers.len()).collect();
    order.shuffle(rng);
    let is_other_region = |place: &usize| inputs.servers[*place].is_other_region;
    let (other_region, own): (Vec<usize>, Vec<usize>) =
        order.into_iter().partition(is_other_region);
    pick_among(inputs, own, policy, rng).or_else(|| pick_among(inputs, other_region, policy, rng))
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
    let mut same_zone = compared(hosts.same_zone);
    let mut distant = compared(hosts.all).div_ceil(2);
    let mut best: Option<(usize, f64)> = None;
    for place in order {
        let server = &servers[place];
        if server.is_paused || !admission::has_room(server, typical_ms, demand, policy) {
            continue;
        }
        let compare_left = if server.is_same_zone {
            &mut same_zone
        } else {
            &mut distant
        };
        if *compare_left == 0 {
            continue;
        }
        *compare_left -= 1;
        let expected_ms = admission::expected_ms(server, typical_ms, demand.run_share);
        let cost = expected_ms * cost_factor(server, policy, rng.random());
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((place, cost));
        }
    }
    best.map(|(place, _)| place)
}

/// Returns the number of servers to compare when `hosts` hosts choose among them.
fn compared(hosts: usize) -> usize {
    (CANDIDATES_MAX * FEW_HOSTS / hosts.max(1)).clamp(CANDIDATES_MIN, CANDIDATES_MAX)
}

/// Returns the factor that weights a server's expected time. Another zone, a new connection,
/// failures and a random part increase it; a lack of samples reduces it.
fn cost_factor(server: &Candidate, policy: &Policy, random: f64) -> f64 {
    let added = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
    let zone = added(!server.is_same_zone, policy.zone_cost);
    let connect = added(!server.has_idle_connection, policy.connect_cost);
    let unknown = added(server.run_ms == 0.0, policy.unknown_bonus);
    let failures = policy.failure_cost * server.failures;
    1.0 + zone + connect + policy.jitter * random - unknown + failures
}
