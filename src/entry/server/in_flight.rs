//! Requests of this host in flight at a server.

use std::sync::{Arc, MutexGuard, PoisonError, atomic::Ordering};

use super::Server;
use crate::{
    clock,
    entry::{
        crashes::reports::Suspects, digest::RequestDigests, running_requests::RunningRequests,
    },
};

impl Server {
    /// Returns the number of this host's requests in flight at the server.
    pub fn own_load(&self) -> u32 {
        self.own_load.load(Ordering::Relaxed)
    }

    /// Counts a request as in flight at the server until the returned guard is dropped.
    pub fn begin_request(self: &Arc<Self>, digests: RequestDigests) -> InFlight {
        self.running_requests().begin(digests);
        self.in_flight(digests)
    }

    /// Counts a suspect (a request that may crash servers) as in flight at the server until the
    /// returned guard is dropped. No other suspect may run on the server at the same time.
    pub fn begin_trial_request(self: &Arc<Self>, digests: RequestDigests) -> InFlight {
        self.running_requests().begin_trial(digests);
        self.in_flight(digests)
    }

    fn in_flight(self: &Arc<Self>, digests: RequestDigests) -> InFlight {
        self.own_load.fetch_add(1, Ordering::Relaxed);
        self.engage();
        self.rate.note_sent();
        InFlight {
            server: self.clone(),
            digests,
            is_answered: false,
        }
    }

    /// Returns this host's requests that the server may have been running when the server crashed.
    pub fn suspects(&self) -> Suspects {
        let now_ms = clock::now_ms();
        let running_requests = self.running_requests();
        Suspects {
            digests: running_requests.suspects(now_ms),
            shared: running_requests.shared_suspects(now_ms),
        }
    }

    fn running_requests(&self) -> MutexGuard<'_, RunningRequests> {
        self.running_requests
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Guard of a request in flight at a server; the request counts as in flight until the guard is
/// dropped.
#[derive(Debug)]
pub struct InFlight {
    server: Arc<Server>,
    digests: RequestDigests,
    is_answered: bool,
}

impl InFlight {
    /// Records that the server has answered, or has stated that it did not run the request. Without
    /// this call the request counts as abandoned when the guard is dropped, so the server may still
    /// be running it.
    pub fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.server.own_load.fetch_sub(1, Ordering::Relaxed);
        let mut running_requests = self.server.running_requests();
        if self.is_answered {
            running_requests.answered(self.digests);
        } else {
            running_requests.abandoned(self.digests, clock::now_ms());
        }
    }
}
