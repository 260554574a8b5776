//! The heartbeat tree, which selects the hosts that each host pings. Its shape keeps the number of
//! heartbeats per host constant as the number of hosts grows.
//!
//! The first 15 hosts, taken from the availability zones in turn, are the *top-level hosts*. They
//! ping each other and become quorum members. Every other host pings two parents that stand above
//! it in the tree. A host below the top level derives the staleness of its view from the replies of
//! its parents, so each level of the tree adds to the staleness.

use std::collections::HashMap;

use crate::{id::HostKey, state::State};

/// Number of top-level hosts, which all ping each other.
pub const TOP_LEVEL_HOSTS: usize = 15;
/// Number of hosts below the top level that share the same first parent (the first of the
/// [`PARENTS`] hosts that a host pings).
const FANOUT: usize = 8;
/// Number of parents that each host below the top level pings, so that the host still has a parent
/// if one of them is lost.
const PARENTS: usize = 2;

/// Returns the registered hosts in the order of the tree: the first host of each availability zone,
/// then the second of each, and so on, so that the loss of a zone leaves a majority of the
/// top-level hosts.
pub fn order(state: &State) -> Vec<HostKey> {
    let mut ranks: HashMap<&str, u32> = HashMap::new();
    let mut ranked: Vec<(u32, HostKey)> = state
        .registered_hosts()
        .map(|(key, host)| {
            let rank = ranks.entry(&host.availability_zone).or_default();
            *rank += 1;
            (*rank, key)
        })
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, key)| key).collect()
}

/// Returns true if `own` is a top-level host. `hosts` are the registered hosts in the order of the
/// tree.
pub fn is_top_level(hosts: &[HostKey], own: HostKey) -> bool {
    hosts.iter().take(TOP_LEVEL_HOSTS).any(|host| *host == own)
}

/// Returns the hosts that `own` pings. `hosts` are the registered hosts in the order of the tree. A
/// host that is not registered pings all top-level hosts.
pub fn heartbeat_targets(hosts: &[HostKey], own: HostKey) -> Vec<HostKey> {
    let Some(position) = hosts.iter().position(|host| *host == own) else {
        return hosts.iter().copied().take(TOP_LEVEL_HOSTS).collect();
    };
    if position < TOP_LEVEL_HOSTS {
        let others = hosts
            .iter()
            .take(TOP_LEVEL_HOSTS)
            .filter(|host| **host != own);
        return others.copied().collect();
    }
    let parent = (position - TOP_LEVEL_HOSTS) / FANOUT;
    (0..PARENTS)
        .map(|offset| (parent + offset) % position)
        .map(|index| hosts[index])
        .collect()
}
