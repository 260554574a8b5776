//! Requests counted by slot, for the planner, and each service's admission and retry budget.

use std::sync::{
    Arc, RwLock,
    atomic::{AtomicU32, Ordering},
};

use super::{admission::Admission, retry::RetryBudget};
use crate::{
    id::{ServiceKey, Slot},
    peer::message::SlotLoad,
};

/// What one host keeps for one service.
#[derive(Debug, Default)]
pub struct ServiceTraffic {
    counts: Vec<AtomicU32>,
    /// Requests in the host.
    pub admission: Admission,
    /// Budget of retries.
    pub retries: RetryBudget,
}

/// What one host keeps for every service.
#[derive(Debug, Default)]
pub struct Traffic {
    services: RwLock<Vec<Arc<ServiceTraffic>>>,
}

impl ServiceTraffic {
    fn new(slots: usize) -> Self {
        Self {
            counts: (0..slots).map(|_| AtomicU32::new(0)).collect(),
            ..Self::default()
        }
    }

    /// Counts a request.
    pub fn count(&self, slot: Slot) {
        if let Some(count) = self.counts.get(slot.0 as usize) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Traffic {
    /// What is kept for `service`, which has `slots` slots.
    pub fn of(&self, service: ServiceKey, slots: usize) -> Arc<ServiceTraffic> {
        let index = service.0 as usize;
        if let Ok(services) = self.services.read()
            && let Some(found) = services.get(index)
            && found.counts.len() == slots
        {
            return found.clone();
        }
        let Ok(mut services) = self.services.write() else {
            return Arc::new(ServiceTraffic::new(slots));
        };
        if services.len() <= index {
            services.resize_with(index + 1, Default::default);
        }
        if services[index].counts.len() != slots {
            services[index] = Arc::new(ServiceTraffic::new(slots));
        }
        services[index].clone()
    }

    /// Requests by slot since the last call.
    pub fn take(&self) -> Vec<SlotLoad> {
        let Ok(services) = self.services.read() else {
            return Vec::new();
        };
        let mut loads = Vec::new();
        for (service, traffic) in (0..).map(ServiceKey).zip(services.iter()) {
            for (slot, count) in (0..).map(Slot).zip(&traffic.counts) {
                if count.load(Ordering::Relaxed) == 0 {
                    continue;
                }
                loads.push(SlotLoad {
                    service,
                    slot,
                    requests: count.swap(0, Ordering::Relaxed),
                });
            }
        }
        loads
    }
}
