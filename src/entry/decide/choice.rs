//! Chooses the server for a request that any server of a service may run.

use rand::{Rng, seq::SliceRandom};

use super::{Candidate, Demand, Policy, admission};

/// Bounds of the number of servers with room that a host compares for one request. The host
/// compares up to [`CANDIDATES_MAX`] servers while at most [`FEW_HOSTS`] hosts choose among the
/// same servers. With more hosts, each host's data on the requests of the other hosts is older, and
/// all hosts would choose the same few servers. So the number of compared servers falls with the
/// number of hosts, down to [`CANDIDATES_MIN`] servers drawn at random. In a simulation at 1.25
/// times the capacity of 11 servers, 25 hosts achieved 0.87 of the possible value of responses with
/// ten servers compared and 0.92 with three; a response within the latency objective has a value of
/// 1, a late response 0.5.
const CANDIDATES_MAX: usize = 24;
const CANDIDATES_MIN: usize = 3;
const FEW_HOSTS: usize = 3;

/// Numbers of hosts that choose among the same servers, including the host that makes the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HostCount {
    /// Number of hosts in the availability zone of the choosing host. Hosts of a zone prefer the
    /// same servers.
    pub same_zone: usize,
    /// Number of hosts in all availability zones.
    pub all: usize,
}

/// State of the servers, the request and the hosts on which the choice of a server is based.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Servers that may run the request; the result is an index into this slice.
    pub servers: &'a [Candidate],
    /// Average run time over the servers of the service, assumed for servers without samples.
    pub typical_ms: f64,
    /// Latency objective, deadline, urgency and expected run time of the request.
    pub demand: Demand,
    /// Numbers of hosts that choose among the same servers. The more hosts there are, the fewer
    /// servers each host compares.
    pub hosts: HostCount,
}

/// Returns the index of the server with room for the request that is expected to answer first,
/// after weighting the expected times by cost; `None` if no server has room. A server of another
/// region gets the request only if no server of the host's own region has room, because the network
/// latency between regions is high and the traffic is expensive.
pub fn pick(inputs: Inputs<'_>, policy: &Policy, rng: &mut impl Rng) -> Option<usize> {
    let mut order: Vec<usize> = (0..inputs.servers.len()).collect();
    order.shuffle(rng);
    let is_other_region = |place: &usize| inputs.servers[*place].is_other_region;
    let (other_region, own): (Vec<usize>, Vec<usize>) =
        order.into_iter().partition(is_other_region);
    pick_among(inputs, own, policy, rng).or_else(|| pick_among(inputs, other_region, policy, rng))
}

/// Returns the index of the server with the lowest cost among the servers of `order` that have
/// room. Servers are compared in this order, up to a maximum number of servers of the host's
/// availability zone and half as many of other zones.
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

/// Returns the number of servers to compare when `hosts` hosts choose among the same servers.
fn compared(hosts: usize) -> usize {
    (CANDIDATES_MAX * FEW_HOSTS / hosts.max(1)).clamp(CANDIDATES_MIN, CANDIDATES_MAX)
}

/// Returns the factor by which a server's expected time is multiplied to compare servers. Another
/// availability zone, a new connection, failures and a random part increase the factor; a lack of
/// samples reduces the factor, so that the server gets requests that provide samples.
fn cost_factor(server: &Candidate, policy: &Policy, random: f64) -> f64 {
    let added = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
    let zone = added(!server.is_same_zone, policy.zone_cost);
    let connect = added(!server.has_idle_connection, policy.connect_cost);
    let unknown = added(server.run_ms == 0.0, policy.unknown_bonus);
    let failures = policy.failure_cost * server.failures;
    1.0 + zone + connect + policy.jitter * random - unknown + failures
}
