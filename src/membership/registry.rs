//! The registry of hosts, and the rules by which it changes.
//!
//! Hosts are promoted and removed one at a time. The next change waits until the last one is
//! *settled*: more than half of the voters have applied it, and no other host acts on an earlier
//! registry any more. Hence the majorities of any two registries that hosts act on share a host.

use super::{heartbeat_tree, staleness::HostProcess};
use crate::{
    id::{HostKey, Revision},
    state::{Change, HostEntry, HostState, State},
};

/// Maximum time since the last heartbeat of a host that counts as heard. Only heard hosts are
/// promoted, and only heard voters count in the majority that the removal of a voter needs.
const PROMOTION_SILENCE_MS: u64 = 1_000;

/// Returns the voters: the live and leaving hosts, which count in majorities.
pub fn quorum_members(state: &State) -> Vec<HostProcess> {
    let is_quorum_member = |(_, host): &(HostKey, &HostEntry)| host.is_quorum_member();
    state
        .registered_hosts()
        .filter(is_quorum_member)
        .map(host_process)
        .collect()
}

/// Returns all registered hosts, the voters and the others.
pub fn registered(state: &State) -> Vec<HostProcess> {
    state.registered_hosts().map(host_process).collect()
}

fn host_process((host, entry): (HostKey, &HostEntry)) -> HostProcess {
    HostProcess {
        host,
        incarnation: entry.incarnation,
    }
}

/// Progress of a leader in settling the last change of the registry. It is kept in memory only, so
/// a new leader begins with none.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeTracker {
    changed: Revision,
    complete_ms: Option<u64>,
}

impl ChangeTracker {
    /// Returns true while the hosts must still be queried for the revision of the last change.
    pub fn pending(&mut self, state: &State) -> bool {
        if self.changed != state.registry.changed {
            *self = Self {
                changed: state.registry.changed,
                complete_ms: None,
            };
        }
        !state.registry.is_change_complete() && self.complete_ms.is_none()
    }

    /// Records the hosts that have reported before `now_ms` that they have applied the last change.
    /// Once they are a majority, the settlement is due at once if they are all hosts and none was
    /// removed, and otherwise after `expiry_bound_ms`, when hosts that missed the change cannot act.
    pub fn record_applied(
        &mut self,
        state: &State,
        applied: &[HostProcess],
        now_ms: u64,
        expiry_bound_ms: u64,
    ) {
        let majority = |quorum_members: &[HostProcess]| {
            let confirmed = quorum_members
                .iter()
                .filter(|host_process| applied.contains(host_process));
            quorum_members.is_empty() || confirmed.count() * 2 > quorum_members.len()
        };
        let registry = &state.registry;
        if majority(&quorum_members(state)) && majority(&registry.previous_quorum_members) {
            let all = registered(state).iter().all(|host| applied.contains(host));
            // A removed host is not queried, so it may still act on an earlier registry.
            let at_once = all && registry.removal < registry.changed;
            self.complete_ms = Some(if at_once {
                now_ms
            } else {
                now_ms + expiry_bound_ms
            });
        }
    }

    /// Returns the change that records the registry as settled; `None` until the settlement is due.
    pub fn completion(&self, state: &State, now_ms: u64) -> Option<Change> {
        let registry = state.registry.changed;
        let due = self
            .complete_ms
            .is_some_and(|complete_ms| now_ms >= complete_ms);
        let same = self.changed == registry && !state.registry.is_change_complete();
        (due && same).then_some(Change::RegistrySettled { registry })
    }
}

/// Silence of a host (the time without heartbeats from it), as one other host sees it.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Time since the last heartbeat of the host; `None` if there was none.
    pub silent_ms: Option<u64>,
    /// True if heartbeats are expected: the host has pinged this one, or this host pings it.
    pub expected: bool,
    /// Time since this host applied the entry of the host; it counts if there was no heartbeat of
    /// the host.
    pub known_ms: u64,
}

/// Limits for the silence of hosts (the time without heartbeats); beyond them a host is removed.
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// Limit for a host that has not announced its stop, in milliseconds.
    pub removal_ms: u64,
    /// Limit for a host that has announced its stop or was replaced by a later process of the same
    /// name, in milliseconds.
    pub leaving_ms: u64,
}

/// Returns the next change of the registry: the promotion of a joining root host that is heard, or
/// the removal of a silent host. `None` if neither is due.
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
        let wanted =
            entry.state == HostState::Joining && heartbeat_tree::is_top_level(&hosts, host);
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
        // Without a majority the removal of a voter would never be settled.
        let allowed = majority || !entry.is_quorum_member();
        if !is_own && silence.expected && silent_ms > limit_ms && allowed {
            return Some(Change::HostRemoved { host, incarnation });
        }
    }
    None
}

/// Returns true if more than half of the voters are heard, this host included.
fn majority_heard(
    state: &State,
    own: Option<HostKey>,
    silence: &impl Fn(HostKey, &HostEntry) -> Silence,
) -> bool {
    let quorum_members = || {
        state
            .registered_hosts()
            .filter(|(_, host)| host.is_quorum_member())
    };
    let heard = quorum_members().filter(|(key, entry)| {
        let silent_ms = silence(*key, entry).silent_ms;
        Some(*key) == own || silent_ms.is_some_and(|ms| ms <= PROMOTION_SILENCE_MS)
    });
    heard.count() * 2 > quorum_members().count()
}

/// Returns true if a later process with the same name is registered.
fn is_replaced(state: &State, entry: &HostEntry) -> bool {
    let mut hosts = state.registered_hosts();
    hosts.any(|(_, other)| other.name == entry.name && other.changed > entry.changed)
}
