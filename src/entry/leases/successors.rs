//! Protects the keys of ended servers from a later process under the same name at the same address.
//! A leader of an earlier term that does not know yet that it was replaced, because it was frozen
//! or has lost the store, may send that process a renewal of the keys. The process has seen no
//! fence and would hold keys that have moved to another server. While earlier leaders may grant
//! leases, this leader therefore sends releases under the new fences to the address until the
//! process answers; it refuses grants under lower fences from then on.

use std::sync::Arc;

use tokio::task::JoinSet;

use super::{
    Term,
    ended::{MovedRange, Suspects},
};
use crate::{
    clock,
    entry::server::Server,
    platform::{
        Link,
        orders::{self, Release, ReleaseOutcome},
    },
};

/// Maximum number of addresses to which releases are sent in one round of the leader, the least
/// recently tried ones first. It bounds the connection attempts to 80 a second.
const ADDRESSES_PER_ROUND: usize = 8;
/// Timeout of a release. A process that has just started has no request for the keys to wait for.
const TIMEOUT_MS: u64 = 300;

impl Suspects {
    /// Returns true if a server has the name and address of an ended server and has not confirmed
    /// the fences under which the keys of that server have moved.
    pub(super) fn is_unfenced_successor(&self, server: &Server) -> bool {
        let mut unfenced = self.by_id.values().filter(|s| !s.moved.is_empty());
        unfenced.any(|suspect| {
            let ended = &suspect.server.entry;
            ended.name == server.entry.name && ended.address == server.entry.address
        })
    }

    /// Returns the ended servers to whose addresses releases are due, with the ranges, and marks
    /// them as tried at `now_ms`.
    fn take_unfenced(&mut self, now_ms: u64) -> Vec<(Arc<Server>, Vec<MovedRange>)> {
        let suspects = self.by_id.values_mut();
        let mut due: Vec<_> = suspects
            .filter(|suspect| !suspect.moved.is_empty() && !suspect.is_fenced_now)
            .collect();
        due.sort_unstable_by_key(|suspect| suspect.fence_tried_ms);
        due.truncate(ADDRESSES_PER_ROUND);
        let take = due.into_iter().map(|suspect| {
            suspect.fence_tried_ms = now_ms;
            suspect.is_fenced_now = true;
            (suspect.server.clone(), suspect.moved.clone())
        });
        take.collect()
    }
}

impl Term {
    /// Returns true if a leader of an earlier term may still send grants.
    pub(super) fn may_earlier_leaders_grant(&self) -> bool {
        clock::now_ms() < self.entry.leadership.earlier_leases_until_ms()
    }

    /// Records that a range moves away from a server without a release, if the server has ended.
    /// Returns false if the server is not known to have ended.
    pub(super) fn moves_without_release(&self, id: &str, moved: MovedRange) -> bool {
        let mut state = self.state();
        let suspect = state.suspects.by_id.get_mut(id);
        let Some(suspect) = suspect.filter(|suspect| suspect.ended_ms.is_some()) else {
            return false;
        };
        suspect.moved.push(moved);
        true
    }

    /// Sends releases to the addresses of ended servers, for as long as leaders of earlier terms
    /// may send grants to processes that start there.
    pub(super) fn fence_successors(self: &Arc<Self>, tasks: &mut JoinSet<()>) {
        if !self.may_earlier_leaders_grant() {
            return;
        }
        let unfenced = self.state().suspects.take_unfenced(clock::now_ms());
        for (server, moved) in unfenced {
            let term = self.clone();
            tasks.spawn(async move {
                let fenced = release_at_address(&server, &moved).await;
                term.note_fenced(&server, &fenced);
            });
        }
    }

    /// Records the ranges whose release the process at the address of an ended server has
    /// confirmed. If the process has the id of the ended server, it may get keys from then on.
    fn note_fenced(&self, server: &Server, fenced: &[MovedRange]) {
        let id = &server.entry.id;
        let is_same_id = self.entry.view.registry().server(id).is_some();
        let mut state = self.state();
        let Some(suspect) = state.suspects.by_id.get_mut(id) else {
            return;
        };
        suspect.is_fenced_now = false;
        suspect.moved.retain(|moved| !fenced.contains(moved));
        if is_same_id && suspect.moved.is_empty() {
            state.suspects.remove(id);
        }
    }
}

/// Sends releases of `moved` to the address of an ended server. Returns the ranges whose release a
/// process with the name of the server has confirmed.
async fn release_at_address(server: &Server, moved: &[MovedRange]) -> Vec<MovedRange> {
    let link = Link::new(server.entry.address);
    let mut fenced = Vec::new();
    for range in moved {
        let order = Release {
            server: &server.entry.name,
            range: range.range,
            fence: range.fence,
        };
        match orders::release(&link, order, TIMEOUT_MS).await {
            Ok(ReleaseOutcome::Ended { .. }) => fenced.push(*range),
            Ok(ReleaseOutcome::OtherServer) => break,
            Err(error) => {
                log::debug!("no release at the address of an ended server: {error}");
                break;
            }
        }
    }
    fenced
}
