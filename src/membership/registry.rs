//! The registry of hosts, and the rules by which it changes.
//!
//! Live and leaving hosts are the *quorum members*: the hosts that count in majorities. Hosts are
//! promoted to quorum members and removed one at a time. The next change waits until the last one
//! is *complete*: more than half of the quorum members have applied it, and no other host acts on
//! an earlier version of the registry. Hence the majorities of any two versions of the registry
//! that hosts act on share a host.

use super::{heartbeat_tree, staleness::HostProcess};
use crate::{
    id::{HostKey, Revision},
    state::{Change, HostEntry, HostState, State},
};

/// Maximum time in milliseconds since the last heartbeat of a host for the host to count as heard.
/// Only heard hosts are promoted, and only heard quorum members count in the majority that the
/// removal of a quorum member needs.
const HEARD_WITHIN_MS: u64 = 1_000;

/// Returns the quorum members: the live and leaving hosts, which count in majorities.
pub fn quorum_members(state: &State) -> Vec<HostProcess> {
    let is_quorum_member = |(_, host): &(HostKey, &HostEntry)| host.is_quorum_member();
    state
        .registered_hosts()
        .filter(is_quorum_member)
        .map(host_process)
        .collect()
}

/// Returns the processes of all registered hosts, whether or not they are quorum members.
pub fn registered(state: &State) -> Vec<HostProcess> {
    state.registered_hosts().map(host_process).collect()
}

fn host_process((host, entry): (HostKey, &HostEntry)) -> HostProcess {
    HostProcess {
        host,
        incarnation: entry.incarnation,
    }
}

/// Progress of a leader towards the completion of the last change of the registry. The change is
/// complete when no host acts on an earlier version of the registry. The progress is kept in memory
/// only, so a new leader starts without any.
#[derive(Clone, Copy, Debug, Default)]
pub struct ChangeTracker {
    changed: Revision,
    complete_ms: Option<u64>,
}

impl ChangeTracker {
    /// Returns true while the leader must still ask the hosts whether they have applied the last
    /// change of the registry.
    pub fn pending(&mut self, state: &State) -> bool {
        if self.changed != state.registry.changed {
            *self = Self {
                changed: state.registry.changed,
                complete_ms: None,
            };
        }
        !state.registry.is_change_complete() && self.complete_ms.is_none()
    }

    /// Records that the hosts in `applied` have reported before `now_ms` that they have applied the
    /// last change of the registry. Does nothing until `applied` contains a majority of the quorum
    /// members before the change and of those after the change. The change is then complete at
    /// `now_ms` if `applied` contains all registered hosts and the change removed or replaced no
    /// host. Otherwise the change is complete `expiry_bound_ms` later, when the views of hosts that
    /// missed the change are too stale to act on.
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
            // A removed host is not queried, so it may still act on an earlier version of the
            // registry.
            let at_once = all && registry.removal < registry.changed;
            self.complete_ms = Some(if at_once {
                now_ms
            } else {
                now_ms + expiry_bound_ms
            });
        }
    }

    /// Returns the change that records the last change of the registry as complete; `None` before
    /// the time at which it is complete.
    pub fn completion(&self, state: &State, now_ms: u64) -> Option<Change> {
        let registry = state.registry.changed;
        let due = self
            .complete_ms
            .is_some_and(|complete_ms| now_ms >= complete_ms);
        let same = self.changed == registry && !state.registry.is_change_complete();
        (due && same).then_some(Change::RegistrySettled { registry })
    }
}

/// Silence of one host (the time without heartbeats from it), as seen by the host that decides on
/// its removal.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// Time in milliseconds since the last heartbeat of the silent host was received, or since the
    /// last ping that it replied to was sent; `None` if there was neither.
    pub silent_ms: Option<u64>,
    /// True if heartbeats are expected: the silent host has pinged the deciding host before, or the
    /// deciding host pings it in the heartbeat tree.
    pub expected: bool,
    /// Time in milliseconds since the deciding host applied the registry entry of the silent host.
    /// This age counts as the silence if `silent_ms` is `None`.
    pub entry_age_ms: u64,
}

/// Limits for the silence of hosts (the time without heartbeats). A host whose silence exceeds its
/// limit is removed from the registry.
#[derive(Clone, Copy, Debug)]
pub struct RegistryLimits {
    /// Limit in milliseconds for the silence of a host that has not announced its stop and was not
    /// replaced by a later process of the same name.
    pub removal_ms: u64,
    /// Limit in milliseconds for the silence of a host that has announced its stop or was replaced
    /// by a later process of the same name.
    pub leaving_ms: u64,
}

/// Returns the next change of the registry: the promotion of a joining top-level host that is
/// heard, or the removal of a silent host. Returns `None` if no host is to be promoted or removed.
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
        let heard = is_own || heard_within(HEARD_WITHIN_MS);
        let is_promotable =
            entry.state == HostState::Joining && heartbeat_tree::is_top_level(&hosts, host);
        if is_promotable && heard {
            return Some(Change::HostPromoted { host, incarnation });
        }
        let leaving = entry.state == HostState::Leaving || is_replaced(state, entry);
        let limit_ms = if leaving {
            limits.leaving_ms
        } else {
            limits.removal_ms
        };
        let silent_ms = silence.silent_ms.unwrap_or(silence.entry_age_ms);
        // Without a majority of heard quorum members, the removal of a quorum member would never be
        // complete.
        let allowed = majority || !entry.is_quorum_member();
        if !is_own && silence.expected && silent_ms > limit_ms && allowed {
            return Some(Change::HostRemoved { host, incarnation });
        }
    }
    None
}

/// Returns true if more than half of the quorum members are heard; the deciding host counts as
/// heard.
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
        Some(*key) == own || silent_ms.is_some_and(|ms| ms <= HEARD_WITHIN_MS)
    });
    heard.count() * 2 > quorum_members().count()
}

/// Returns true if a registered host has the same name as `entry` and its entry was changed later,
/// that is, if a later process has replaced the process of `entry`.
fn is_replaced(state: &State, entry: &HostEntry) -> bool {
    let mut hosts = state.registered_hosts();
    hosts.any(|(_, other)| other.name == entry.name && other.changed > entry.changed)
}
