//! Whom a host asks by heartbeats, so that its cost stays flat as hosts grow.
//!
//! The first hosts, taken from the availability zones in turn, are witnesses and ask each other. Every other host asks a few
//! parents in a tree below them; the age of the basis adds up along the way.

use std::collections::HashMap;

use crate::{id::HostKey, state::State};

/// Hosts that ask each other.
pub const ROOT_HOSTS: usize = 15;
/// Children of one host below the witnesses.
const FANOUT: usize = 8;
/// Parents of one host.
const PARENTS: usize = 2;

/// The registered hosts in the order of the tree: the first one of each availability zone, then the
/// second ones, and so on, so that the loss of a zone leaves a majority of the witnesses.
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

/// True if `own` is one of the hosts that ask each other and count in the majority.
pub fn is_root(hosts: &[HostKey], own: HostKey) -> bool {
    hosts.iter().take(ROOT_HOSTS).any(|host| *host == own)
}

/// The hosts that `own` asks; `hosts` are the registered ones in the order of the tree.
pub fn heartbeat_targets(hosts: &[HostKey], own: HostKey) -> Vec<HostKey> {
    let Some(position) = hosts.iter().position(|host| *host == own) else {
        return hosts.iter().copied().take(ROOT_HOSTS).collect();
    };
    if position < ROOT_HOSTS {
        let others = hosts.iter().take(ROOT_HOSTS).filter(|host| **host != own);
        return others.copied().collect();
    }
    let parent = (position - ROOT_HOSTS) / FANOUT;
    (0..PARENTS)
        .map(|offset| (parent + offset) % position)
        .map(|index| hosts[index])
        .collect()
}
