//! Next steps of the moves of slots, derived from the state alone, so that any leader can continue
//! a move that an earlier leader began.

use std::collections::HashMap;

use super::message::SlotGrant;
use crate::{
    id::{ServerKey, ServiceKey},
    state::{CompletedMove, ServerState, ServiceEntry, State},
};

/// Slots that move together: they belong to one service and move between the same two servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MoveGroup {
    /// Service that all slots of the group belong to.
    pub service: ServiceKey,
    /// Current owner; `None` if the slots have no owner, or if the lease of their owner has
    /// expired.
    pub from: Option<ServerKey>,
    /// Next owner, to which the slots are moving.
    pub to: ServerKey,
}

/// Returns the groups of moving slots whose next step can be taken: the next owner is live, and the
/// current owner is live or the slots have no owner. Slots of a lost owner wait until the owner's
/// lease has certainly expired; the state then no longer names that server as their owner.
pub fn ready_groups(state: &State) -> HashMap<MoveGroup, Vec<CompletedMove>> {
    let mut groups: HashMap<MoveGroup, Vec<CompletedMove>> = HashMap::new();
    let services = (0..).map(ServiceKey).zip(&state.services);
    for (service, entry) in services {
        for (slot, slot_entry) in entry.slot_entries() {
            let Some(to) = slot_entry.next else { continue };
            let from = slot_entry.owner;
            if !is_live(state, to) || from.is_some_and(|from| !is_live(state, from)) {
                continue;
            }
            let group = MoveGroup { service, from, to };
            let epoch = slot_entry.epoch;
            groups
                .entry(group)
                .or_default()
                .push(CompletedMove { slot, epoch });
        }
    }
    groups
}

/// Returns true if the server is live, that is, has a lease that hosts renew.
pub fn is_live(state: &State, server: ServerKey) -> bool {
    let entry = state.server(server);
    entry.is_some_and(|entry| entry.state == ServerState::Live)
}

/// Returns the grants that the next owner of `slots` gets, each with the epoch of its move.
pub fn next_grants(service: &ServiceEntry, slots: &[CompletedMove]) -> Vec<SlotGrant> {
    let grant = |done: &CompletedMove| SlotGrant {
        service: service.spec.name.clone(),
        slot: done.slot,
        epoch: done.epoch,
    };
    slots.iter().map(grant).collect()
}
