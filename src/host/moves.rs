//! Completes moves of slots: revokes the slots from the old owner, grants them to the new owner and
//! records the result. Each step depends only on the state and is idempotent, so any leader can
//! complete a move that an earlier leader began.

use std::{sync::Arc, time::Duration};

use snafu::Snafu;
use tokio::{sync::mpsc::UnboundedSender, time};

use super::{
    Host,
    commit::CommitError,
    controller::{Controller, FinishedTask},
};
use crate::{
    id::ServerKey,
    ownership::{
        message::{
            LEASE_PATH, LeaseRequest, LeaseResponse, REVOKE_PATH, RevokeRequest, RevokeResponse,
            SlotGrant,
        },
        moves::{MoveGroup, is_live, next_grants, ready_groups},
    },
    state::{Change, CompletedMove, ServerEntry, State},
    transport::{CallError, JsonClient},
};

/// Delay in milliseconds before a failed group of moves is retried.
const RETRY_MS: u64 = 50;

/// Reason why a group of moves could not be completed; the group is retried after [`RETRY_MS`].
#[derive(Debug, Snafu)]
enum MoveError {
    #[snafu(display("the old owner does not respond: {source}"))]
    Revoke { source: CallError },
    #[snafu(display("the old owner has not released the slots"))]
    NotReleased,
    #[snafu(display("the new owner does not respond: {source}"))]
    Grant { source: CallError },
    #[snafu(display("the new owner refused the grant"))]
    NotGranted,
    #[snafu(display("{source}"))]
    Commit { source: CommitError },
    #[snafu(display("the state has changed"))]
    Changed,
}

impl Host {
    /// Starts a task for each group of moving slots, unless a task for that group is already
    /// running.
    pub(super) fn start_ready_moves(
        self: &Arc<Self>,
        controller: &mut Controller,
        done: &UnboundedSender<FinishedTask>,
    ) {
        let state = self.view.state();
        for (group, slots) in ready_groups(&state) {
            if !controller.moving.insert(group) {
                continue;
            }
            let host = self.clone();
            let state = state.clone();
            let done = done.clone();
            tokio::spawn(async move {
                let moved = host.complete_group(&state, group, &slots).await;
                if let Err(error) = moved {
                    log::warn!(service = group.service.0 as u64; "cannot complete a move yet: {error}");
                    time::sleep(Duration::from_millis(RETRY_MS)).await;
                }
                let _ = done.send(FinishedTask::Moved(group));
            });
        }
    }

    /// Revokes the slots of a group from the old owner, if there is one, grants them to the new
    /// owner and commits the completed moves.
    async fn complete_group(
        self: &Arc<Self>,
        state: &State,
        group: MoveGroup,
        slots: &[CompletedMove],
    ) -> Result<(), MoveError> {
        let service = state.service(group.service).ok_or(MoveError::Changed)?;
        let grants = next_grants(service, slots);
        if let Some(from) = group.from {
            let from = state.server(from).ok_or(MoveError::Changed)?;
            self.revoke(from, &grants).await?;
        }
        let to = state.server(group.to).ok_or(MoveError::Changed)?;
        self.grant(group.to, to, grants).await?;
        let change = Change::MovesCompleted {
            service: group.service,
            done: slots.to_vec(),
        };
        let committed = self.commit_own(change).await;
        committed.map_err(|source| MoveError::Commit { source })
    }

    /// Tells the old owner to release the slots. Requests in flight on these slots may continue
    /// for the drain time of the settings.
    async fn revoke(&self, from: &ServerEntry, grants: &[SlotGrant]) -> Result<(), MoveError> {
        let drain_ms = self.settings.ownership.drain_ms;
        let order = RevokeRequest {
            incarnation: from.incarnation,
            slots: grants.to_vec(),
            drain_ms,
        };
        let client = JsonClient::new(drain_ms + super::renew::ORDER_TIMEOUT_MS);
        let response: RevokeResponse = client
            .post(from.address, REVOKE_PATH, &order)
            .await
            .map_err(|source| MoveError::Revoke { source })?;
        if !response.released {
            return Err(MoveError::NotReleased);
        }
        Ok(())
    }

    /// Sends the grants to the new owner. The command does not extend the server's lease: the
    /// epochs fence the grants, and only renewals keep the lease valid.
    async fn grant(
        &self,
        key: ServerKey,
        to: &ServerEntry,
        grants: Vec<SlotGrant>,
    ) -> Result<(), MoveError> {
        let order = LeaseRequest {
            incarnation: Some(to.incarnation),
            lease_epoch: to.lease_epoch,
            not_after_ms: 0,
            grants,
        };
        // A host with a stale view must not send commands.
        let state = self.view.state();
        if !self.view.is_up_to_date() || !is_live(&state, key) {
            return Err(MoveError::Changed);
        }
        let response: LeaseResponse = self
            .servers
            .post(to.address, LEASE_PATH, &order)
            .await
            .map_err(|source| MoveError::Grant { source })?;
        if !response.accepted {
            return Err(MoveError::NotGranted);
        }
        Ok(())
    }
}
