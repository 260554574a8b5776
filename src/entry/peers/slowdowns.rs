//! Slowdowns of servers that other hosts reported to this host.

use std::sync::{MutexGuard, PoisonError};

use super::{Peers, message::ServerSlowdown};
use crate::clock;

/// Slowdown (factor by which a server currently runs slower than usual) that a server announced to
/// another host and that the other host reported to this host.
#[derive(Clone, Copy, Debug)]
pub struct ReportedSlowdown {
    /// Tag of the server.
    pub server_tag: u32,
    /// Slowdown that the server announced.
    pub slowdown: f64,
    /// Time at which the server announced the slowdown, by this host's clock.
    pub at_ms: u64,
}

impl Peers {
    pub(super) fn note_slowdowns(&self, slowdowns: &[ServerSlowdown]) {
        let now_ms = clock::now_ms();
        let announced = slowdowns.iter().map(|slowdown| ReportedSlowdown {
            server_tag: slowdown.server_tag,
            slowdown: f64::from(slowdown.percent) / 100.0,
            at_ms: now_ms.saturating_sub(u64::from(slowdown.age_ms)),
        });
        self.slowdowns().extend(announced);
    }

    /// Takes the slowdowns that other hosts reported since the last call.
    pub(super) fn take_slowdowns(&self) -> Vec<ReportedSlowdown> {
        std::mem::take(&mut *self.slowdowns())
    }

    fn slowdowns(&self) -> MutexGuard<'_, Vec<ReportedSlowdown>> {
        self.slowdowns
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
