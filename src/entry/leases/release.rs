//! Release of keys by their former server, before the leader grants them to another server.

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinSet, time};

use super::Term;
use crate::{
    clock,
    entry::{
        decide::{
            hold::{MoveTimeLeft, MoveWait},
            lease_expiry::{FormerServer, MoveStep},
        },
        keys::AssignedRange,
    },
    platform::{
        self, Link,
        orders::{self, Release, ReleaseOutcome},
    },
};

/// Delay after which the leader sends an unanswered release command again, while it goes on waiting
/// for the response to the first command. That response may be lost, and no server holds the keys
/// until a response arrives. A server responds once its running requests for the keys have ended,
/// and most requests end within this delay.
const RELEASE_RETRY_MS: u64 = 600;
/// Maximum number of times that the leader sends one release command, including the first. If half
/// of the responses from servers are lost, four attempts get a response from 94% of the servers.
const RELEASES_MAX: usize = 4;

impl Term {
    /// Ensures that the server `id` no longer holds a range: waits until the server confirms the
    /// release, the last lease of the server has expired, another server responds at the last known
    /// address of the server, or the process of the server is found to have ended.
    ///
    /// Returns the handover token for the new server, or `Some(None)` if the former server returned
    /// no token. Returns `None` if this host may send no commands to servers, for example because
    /// its term has ended.
    pub(super) async fn release_keys(
        &self,
        service: &Arc<str>,
        assigned_range: &AssignedRange,
        id: &Arc<str>,
    ) -> Option<Option<String>> {
        let AssignedRange { range, fence, .. } = *assigned_range;
        let registry = self.entry.view.registry();
        let server = registry.server(id).cloned();
        // A server whose entry is gone from the registry may still serve requests, so the leader
        // sends the release command to the last known address of the server on a new connection. If
        // another server responds at this address, the process of the former server has ended.
        let former = registry.former(id).cloned();
        let former_link = former.as_ref().map(|former| Link::new(former.address));
        let link = match (&server, &former, &former_link) {
            (Some(server), _, _) => Some((&server.orders, &server.entry.name)),
            (None, Some(former), Some(link)) => Some((link, &former.name)),
            _ => None,
        };
        let mut is_asked = server.is_none();
        loop {
            if !self.may_send_orders() {
                return None;
            }
            let free_ms = self.lease_end_ms(id);
            let now_ms = clock::now_ms();
            let former_server = FormerServer {
                has_ended: self.has_ended(id),
                lease_end_ms: free_ms,
                is_asked,
                has_address: link.is_some(),
            };
            is_asked |= now_ms >= free_ms;
            let timeout_ms = match former_server.next_step(now_ms) {
                MoveStep::Grant => return Some(None),
                MoveStep::Release { timeout_ms } => timeout_ms,
                MoveStep::Wait { wait_ms } => {
                    self.mark_waiting_for_lease(range);
                    self.wait_or_ended(id, wait_ms).await;
                    continue;
                }
            };
            let Some((link, name)) = link else {
                continue;
            };
            let order = Release {
                server: name,
                range,
                fence,
            };
            match release(link, order, timeout_ms).await {
                Ok(ReleaseOutcome::Ended { handover }) => {
                    self.entry.metrics.order("release", "ended");
                    self.state().suspects.note_answer(id);
                    return Some(handover);
                }
                Ok(ReleaseOutcome::OtherServer) => return Some(None),
                Err(error) => {
                    self.entry.metrics.order("release", "failed");
                    log::debug!("server {id} did not release its keys: {error}");
                    if let Some(server) = server.as_ref().filter(|_| error.is_refused()) {
                        self.suspect(server, "refused release");
                    }
                    if self.mark_waiting_for_lease(range) {
                        let time_left = MoveTimeLeft {
                            wait: MoveWait::Lease,
                            remaining_ms: self.lease_end_ms(id).saturating_sub(clock::now_ms()),
                        };
                        self.announce_time_left(service, assigned_range, fence - 1, time_left);
                    }
                    let pause_ms = 200.min(free_ms.saturating_sub(clock::now_ms()).max(1));
                    self.wait_or_ended(id, pause_ms).await;
                }
            }
        }
    }
}

/// Sends a release command, and sends it again every [`RELEASE_RETRY_MS`] while no response
/// arrives. Returns the first response. The command is idempotent, so the server may receive it
/// several times.
async fn release(
    link: &Link,
    order: Release<'_>,
    timeout_ms: u64,
) -> platform::Result<ReleaseOutcome> {
    let began_ms = clock::now_ms();
    let Release { range, fence, .. } = order;
    let first = orders::release(link, order, timeout_ms);
    tokio::pin!(first);
    let mut failed = None;
    let mut repeats = JoinSet::new();
    let mut sent = 1;
    loop {
        tokio::select! {
            answer = &mut first, if failed.is_none() => match answer {
                Ok(released) => return Ok(released),
                Err(error) => failed = Some(error),
            },
            Some(joined) = repeats.join_next() => {
                if let Ok(Ok(released)) = joined {
                    return Ok(released);
                }
            }
            () = time::sleep(Duration::from_millis(RELEASE_RETRY_MS)),
                if sent < RELEASES_MAX && failed.is_none() =>
            {
                let server = order.server.to_owned();
                let link = Link::new(link.address());
                let left_ms = timeout_ms.saturating_sub(clock::now_ms() - began_ms).max(1);
                repeats.spawn(async move {
                    let order = Release { server: &server, range, fence };
                    orders::release(&link, order, left_ms).await
                });
                sent += 1;
            }
        }
        if let Some(error) = failed.take_if(|_| repeats.is_empty()) {
            return Err(error);
        }
    }
}
