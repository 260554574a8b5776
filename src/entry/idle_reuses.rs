//! Bounds on the reuse of idle connections, by service. The state is lost with the process; a host
//! without recent failures reuses all idle connections within their keep-alive timeout.

use std::{
    collections::HashMap,
    sync::{Arc, PoisonError, RwLock},
};

use super::{Entry, decide::idle_reuse::IdleReuse, events::Event, server::Server};
use crate::clock;

/// Recent failures of reused connections by service; services without such failures are absent.
#[derive(Debug, Default)]
pub struct IdleReuses(RwLock<HashMap<Arc<str>, IdleReuse>>);

impl IdleReuses {
    /// Returns the idle time from which connections to servers of the service are not reused for a
    /// request; `None` if there is no bound.
    pub(super) fn bound_ms(&self, service: &str, is_repeatable: bool) -> Option<u64> {
        let services = self.0.read().unwrap_or_else(PoisonError::into_inner);
        let idle_reuse = services.get(service)?;
        idle_reuse.bound_ms(is_repeatable, clock::now_ms())
    }

    /// Removes the failures at a server that has crashed.
    pub(super) fn withdraw(&self, server: &Server) {
        let mut services = self.0.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(idle_reuse) = services.get_mut(&server.entry.service) {
            idle_reuse.withdraw(server.tag);
        }
    }

    fn note_failure(&self, server: &Server, idle_ms: u64) {
        let now_ms = clock::now_ms();
        let mut services = self.0.write().unwrap_or_else(PoisonError::into_inner);
        services.retain(|_, idle_reuse| !idle_reuse.is_outdated(now_ms));
        let idle_reuse = services.entry(server.entry.service.clone()).or_default();
        idle_reuse.note_failure(server.tag, idle_ms, now_ms);
    }
}

impl Entry {
    /// Records that a connection to the server, reused after `idle_ms`, gave no response: it was reset
    /// or closed, or [`Self::note_reuse_timed_out`] found that it had failed. Failures at a server that is known to have ended, or that takes no new work because
    /// it leaves, are ignored.
    pub(super) fn note_reuse_failed(&self, server: &Server, idle_ms: u64) {
        let registry = self.view.registry();
        let is_registered = registry.server(&server.entry.id).is_some();
        if !is_registered || server.is_known_crashed() || !server.takes_new_work() {
            return;
        }
        self.idle_reuses.note_failure(server, idle_ms);
        self.metrics.idle_connection_failed();
        let service = &server.entry.service;
        Event::IdleConnectionFailed {
            server: server.entry.id.clone(),
            service: service.clone(),
            idle_ms,
            bound_ms: self.idle_reuses.bound_ms(service, true),
        }
        .log();
    }

    /// Records that a request sent at `sent_ms`, on a connection to the server reused after
    /// `idle_ms`, got no response by its deadline. That is a failure of the connection if servers of
    /// the service have answered other requests of this host since the request was sent.
    pub(super) fn note_reuse_timed_out(&self, server: &Server, idle_ms: u64, sent_ms: u64) {
        let registry = self.view.registry();
        let mut servers = registry.of_service(&server.entry.service);
        if servers.any(|other| other.answered_ms() > sent_ms) {
            self.note_reuse_failed(server, idle_ms);
        }
    }
}
