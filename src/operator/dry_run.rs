//! Computes the effects of a change by comparing the states before and after it.

use super::message::Effect;
use crate::state::{ServiceEntry, State};

/// Compares the states before and after a change. Returns the services that the change adds,
/// withdraws or modifies, and the number of slots that have to move.
pub fn effect(before: &State, after: &State) -> Effect {
    let mut effect = Effect::default();
    for (key, service) in after.active_services() {
        let name = service.spec.name.clone();
        let existing = before.service(key).filter(|existing| existing.active);
        match existing {
            None => effect.services_added.push(name),
            Some(existing) if existing.spec != service.spec => effect.services_changed.push(name),
            Some(_) => continue,
        }
        effect.slots += service.slots.len() as u64;
        effect.slots_moved += unplaced_slots(service);
    }
    for (key, service) in before.active_services() {
        if !after.service(key).is_some_and(|kept| kept.active) {
            effect.services_withdrawn.push(service.spec.name.clone());
        }
    }
    effect
}

/// Counts the slots of a service that have no owner, or whose owner is not among the declared
/// servers of the service.
fn unplaced_slots(service: &ServiceEntry) -> u64 {
    let is_placed = |owner: Option<_>| owner.is_some_and(|owner| service.targets.contains(&owner));
    let slots = service.slots.iter();
    slots.filter(|slot| !is_placed(slot.owner)).count() as u64
}
