//! The steps of a move, read from the state: any leader can carry on what another began.

use std::collections::HashMap;

use super::message::SlotGrant;
use crate::{
    id::{ServerKey, ServiceKey},
    state::{MoveDone, ServerState, ServiceEntry, State},
};

/// Slots that move together: of one service, between the same two servers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MoveGroup {
    /// Service.
    pub service: ServiceKey,
    /// Present owner; none if the slots have none, or their owner's lease has lapsed.
    pub from: Option<ServerKey>,
    /// Next owner.
    pub to: ServerKey,
}

/// Groups whose next step can be taken now. The slots of a lost owner wait until its lease has
/// lapsed for certain, when the state no longer names it as their owner.
pub fn ready_groups(state: &State) -> HashMap<MoveGroup, Vec<MoveDone>> {
    let mut groups: HashMap<MoveGroup, Vec<MoveDone>> = HashMap::new();
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
                .push(MoveDone { slot, epoch });
        }
    }
    groups
}

/// True if the server holds a lease that hosts renew.
pub fn is_live(state: &State, server: ServerKey) -> bool {
    let entry = state.server(server);
    entry.is_some_and(|entry| entry.state == ServerState::Live)
}

/// The grants that the slots' next owner gets.
pub fn next_grants(service: &ServiceEntry, slots: &[MoveDone]) -> Vec<SlotGrant> {
    let grant = |done: &MoveDone| SlotGrant {
        service: service.spec.name.clone(),
        slot: done.slot,
        epoch: done.epoch,
    };
    slots.iter().map(grant).collect()
}
