//! Whom a host asks by heartbeats, so that its cost stays flat as hosts grow.
//!
//! The first hosts in key order are witnesses and ask each other. Every other host asks a few
//! parents in a tree below them; the age of the basis adds up along the way.

use crate::id::HostKey;

/// Hosts that ask each other.
pub const WITNESSES: usize = 21;
/// Children of one host below the witnesses.
const FANOUT: usize = 8;
/// Parents of one host.
const PARENTS: usize = 2;

/// True if `own` is one of the hosts that ask each other and count in the majority.
pub fn is_witness(hosts: &[HostKey], own: HostKey) -> bool {
    hosts.iter().take(WITNESSES).any(|host| *host == own)
}

/// The hosts that `own` asks; `hosts` are the registered ones in key order.
pub fn asked(hosts: &[HostKey], own: HostKey) -> Vec<HostKey> {
    let Some(position) = hosts.iter().position(|host| *host == own) else {
        return hosts.iter().copied().take(WITNESSES).collect();
    };
    if position < WITNESSES {
        let others = hosts.iter().take(WITNESSES).filter(|host| **host != own);
        return others.copied().collect();
    }
    let parent = (position - WITNESSES) / FANOUT;
    (0..PARENTS)
        .map(|offset| (parent + offset) % position)
        .map(|index| hosts[index])
        .collect()
}
