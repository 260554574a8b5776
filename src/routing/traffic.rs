//! Request counts by slot, from which the planner learns the load, and the admission limit and the
//! retry budget of each service.

use std::sync::{
    Arc, RwLock,
    atomic::{AtomicU32, Ordering},
};

use super::{admission::Admission, retry::RetryBudget};
use crate::{
    id::{ServiceKey, Slot},
    peer::message::SlotLoad,
};

/// Request counts by slot, admission limit and retry budget of one service in one host.
#[derive(Debug, Default)]
pub struct ServiceTraffic {
    counts: Vec<AtomicU32>,
    /// Counter of the service's requests in flight in this host, which refuses requests above the
    /// limit of the service.
    pub admission: Admission,
    /// Budget of retries, which allows one retry per 20 requests of the service in this host.
    pub retries: RetryBudget,
}

/// Request counts, admission limits and retry budgets of all services in one host.
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

    /// Counts one request for `slot`; the leader collects the counts through [`Traffic::take`].
    pub fn count(&self, slot: Slot) {
        if let Some(count) = self.counts.get(slot.0 as usize) {
            count.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Traffic {
    /// Returns the request counts, admission limit and retry budget of `service`, which has `slots`
    /// slots, and creates them at the first call for the service or if its number of slots differs
    /// from that of earlier calls.
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

    /// Returns the number of requests by slot since the last call of this method, and resets the
    /// counts. Slots without requests are left out.
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
