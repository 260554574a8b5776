//! The registry of hosts, and the rule by which it changes.
//!
//! Promotions and removals follow each other one at a time. The next one waits until the last one
//! has been applied by more than half of the counted hosts and the rest has stopped acting on
//! earlier registries. So the majorities of any two registries that hosts act on share a host.

use super::{freshness::Voter, heartbeat_tree};
use crate::{
    id::{HostKey, Revision},
    state::{Change, HostEntry, HostState, State},
};

/// Silence of a joining host within which it is promoted.
const PROMOTION_SILENCE_MS: u64 = 1_000;

/// Hosts that count in the majority.
pub fn voters(state: &State) -> Vec<Voter> {
    let is_voter = |(_, host): &(HostKey, &HostEntry)| host.is_voter();
    state
        .registered_hosts()
        .filter(is_voter)
        .map(voter)
        .collect()
}

/// Every registered host.
pub fn registered(state: &State) -> Vec<Voter> {
    state.registered_hosts().map(voter).collect()
}

fn voter((host, entry): (HostKey, &HostEntry)) -> Voter {
    Voter {
        host,
        incarnation: entry.incarnation,
    }
}

/// One leader's watch over the settlement of the registry's last change.
#[derive(Clone, Copy, Debug, Default)]
pub struct SettlementTracker {
    changed: Revision,
    settled_ms: Option<u64>,
}

impl SettlementTracker {
    /// True while the hosts must be asked whether they have applied the last change.
    pub fn pending(&mut self, state: &State) -> bool {
        if self.changed != state.registry.changed {
            *self = Self {
                changed: state.registry.changed,
                settled_ms: None,
            };
        }
        !state.registry.is_settled() && self.settled_ms.is_none()
    }

    /// Takes the hosts that have applied the last change, as they said before `now_ms`.
    pub fn record_applied(&mut self, state: &State, applied: &[Voter], now_ms: u64, lapse_ms: u64) {
        let majority = |voters: &[Voter]| {
            let confirmed = voters.iter().filter(|voter| applied.contains(voter));
            voters.is_empty() || confirmed.count() * 2 > voters.len()
        };
        let registry = &state.registry;
        if majority(&voters(state)) && majority(&registry.previous_voters) {
            let all = registered(state).iter().all(|host| applied.contains(host));
            // A removed host is not asked, so its silence proves nothing.
            let at_once = all && registry.removal < registry.changed;
            self.settled_ms = Some(if at_once { now_ms } else { now_ms + lapse_ms });
        }
    }

    /// The settlement, once it is due.
    pub fn settlement(&self, state: &State, now_ms: u64) -> Option<Change> {
        let registry = state.registry.changed;
        let due = self
            .settled_ms
            .is_some_and(|settled_ms| now_ms >= settled_ms);
        let same = self.changed == registry && !state.registry.is_settled();
        (due && same).then_some(Change::RegistrySettled { registry })
    }
}

/// How long a host has been silent.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Time since it was last heard; none if it never was.
    pub silent_ms: Option<u64>,
    /// True if it should be heard here: it asks this host, or this host asks it.
    pub expected: bool,
    /// Time since its present entry is known here.
    pub known_ms: u64,
}

/// Silence after which hosts are removed.
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// For a host that should be there.
    pub removal_ms: u64,
    /// For a host that has announced its stop, or has a successor of the same name.
    pub leaving_ms: u64,
}

/// The next change of the registry, if one is wanted.
pub fn next_change(
    state: &State,
    own: Option<HostKey>,
    limits: RegistryLimits,
    silence: impl Fn(HostKey, &HostEntry) -> Silence,
) -> Option<Change> {
    let majority = majority_heard(state, own, &silence);
    let hosts = heartbeat_tree::order(state);
    for (host, entry) in state.registered_hosts() {
        let incarnation = entry.incarnation;
        let is_own = Some(host) == own;
        let silence = silence(host, entry);
        let heard_within = |span_ms| silence.silent_ms.is_some_and(|ms| ms <= span_ms);
        let heard = is_own || heard_within(PROMOTION_SILENCE_MS);
        let wanted = entry.state == HostState::Joining && heartbeat_tree::is_root(&hosts, host);
        if wanted && heard {
            return Some(Change::HostPromoted { host, incarnation });
        }
        let leaving = entry.state == HostState::Leaving || is_replaced(state, entry);
        let limit_ms = if leaving {
            limits.leaving_ms
        } else {
            limits.removal_ms
        };
        let silent_ms = silence.silent_ms.unwrap_or(silence.known_ms);
        // Without a majority the removal of a counted host would never be settled.
        let allowed = majority || !entry.is_voter();
        if !is_own && silence.expected && silent_ms > limit_ms && allowed {
            return Some(Change::HostRemoved { host, incarnation });
        }
    }
    None
}

/// True if more than half of the counted hosts are heard.
fn majority_heard(
    state: &State,
    own: Option<HostKey>,
    silence: &impl Fn(HostKey, &HostEntry) -> Silence,
) -> bool {
    let voters = || state.registered_hosts().filter(|(_, host)| host.is_voter());
    let heard = voters().filter(|(key, entry)| {
        let silent_ms = silence(*key, entry).silent_ms;
        Some(*key) == own || silent_ms.is_some_and(|ms| ms <= PROMOTION_SILENCE_MS)
    });
    heard.count() * 2 > voters().count()
}

/// True if a later process runs under the same name.
fn is_replaced(state: &State, entry: &HostEntry) -> bool {
    let mut hosts = state.registered_hosts();
    hosts.any(|(_, other)| other.name == entry.name && other.changed > entry.changed)
}
