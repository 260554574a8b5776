//! Shortages of the contended services, as this host knows the loads of their servers. The state is
//! lost with the process; after a restart a service counts as short once the begin threshold is
//! exceeded.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::{
    Entry,
    decide::shortage::{ServiceLoad, Shortage, ShortageChange},
    events::Event,
};
use crate::clock;

/// Shortages by service, of the contended services that got requests.
#[derive(Debug, Default)]
pub struct Shortages(Mutex<HashMap<Arc<str>, Shortage>>);

impl Shortages {
    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Shortage>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    /// Returns true if a service is contended and short of capacity. Sums up the loads of the
    /// servers if the previous sum is old.
    pub(super) fn is_short(&self, service: &Arc<str>) -> bool {
        if !self.is_contended(service) {
            return false;
        }
        // The lock is not held during the sum. Concurrent requests use the previous state.
        {
            let mut shortages = self.shortages.lock();
            let shortage = shortages.entry(service.clone()).or_default();
            if !shortage.take_due(clock::now_ms()) {
                return shortage.is_short();
            }
        }
        let load = self.service_load(service);
        let (change, is_short) = {
            let mut shortages = self.shortages.lock();
            let shortage = shortages.entry(service.clone()).or_default();
            let change = shortage.update(load, &self.settings.policy);
            (change, shortage.is_short())
        };
        if let Some(change) = change {
            log_change(service, change, load);
        }
        is_short
    }

    /// Returns the number of services that are short of capacity. Renews the states, since services
    /// without requests do not renew theirs, and forgets services that are no longer contended.
    pub(super) fn services_short(&self) -> usize {
        let services: Vec<Arc<str>> = self.shortages.lock().keys().cloned().collect();
        let (contended, others): (Vec<_>, Vec<_>) = services
            .into_iter()
            .partition(|service| self.is_contended(service));
        for service in others {
            let known = self.shortages.lock().remove(&service);
            if known.is_some_and(|shortage| shortage.is_short()) {
                log_change(&service, ShortageChange::End, self.service_load(&service));
            }
        }
        let short = contended.iter().filter(|service| self.is_short(service));
        short.count()
    }

    /// Returns the sum of the loads and slots of the servers of a service that get new work.
    fn service_load(&self, service: &str) -> ServiceLoad {
        let registry = self.view.registry();
        let mut load = ServiceLoad::default();
        for server in registry.usable(service, &[]) {
            load.add(server.entry.slots, server.load());
        }
        load
    }
}

fn log_change(service: &Arc<str>, change: ShortageChange, load: ServiceLoad) {
    Event::Shortage {
        service: service.clone(),
        begins: change == ShortageChange::Begin,
        in_flight: load.in_flight,
        slots: load.slots,
    }
    .log();
}
