//! Carries moves to their end. Every step is read from the state and can
//! be repeated, so any leader can finish what another began.

use std::{sync::Arc, time::Duration};

use snafu::Snafu;
use tokio::{sync::mpsc::UnboundedSender, time};

use super::{
    Host,
    commit::CommitError,
    controller::{Controller, Done},
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
    state::{Change, MoveDone, ServerEntry, State},
    transport::{CallError, JsonClient},
};

const RETRY_MS: u64 = 50;

/// Why a move did not come to its end yet.
#[derive(Debug, Snafu)]
enum MoveError {
    #[snafu(display("the old owner does not answer: {source}"))]
    Revoke { source: CallError },
    #[snafu(display("the old owner has not given the slots up"))]
    NotReleased,
    #[snafu(display("the new owner does not answer: {source}"))]
    Grant { source: CallError },
    #[snafu(display("the new owner refused"))]
    NotGranted,
    #[snafu(display("{source}"))]
    Commit { source: CommitError },
    #[snafu(display("the state has changed"))]
    Changed,
}

impl Host {
    /// Starts a task for each group of moving slots that has none.
    pub(super) fn drive_moves(
        self: &Arc<Self>,
        controller: &mut Controller,
        done: &UnboundedSender<Done>,
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
                let moved = host.carry_out(&state, group, &slots).await;
                if let Err(error) = moved {
                    log::warn!(service = group.service.0 as u64; "a move waits: {error}");
                    time::sleep(Duration::from_millis(RETRY_MS)).await;
                }
                let _ = done.send(Done::Moved(group));
            });
        }
    }

    async fn carry_out(
        self: &Arc<Self>,
        state: &State,
        group: MoveGroup,
        slots: &[MoveDone],
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

    async fn revoke(&self, from: &ServerEntry, grants: &[SlotGrant]) -> Result<(), MoveError> {
        let drain_ms = self.settings.ownership.drain_ms;
        let order = RevokeRequest {
            incarnation: from.incarnation,
            slots: grants.to_vec(),
            drain_ms,
        };
        let client = JsonClient::new(drain_ms + super::renew::ORDER_TIMEOUT_MS);
        let answer: RevokeResponse = client
            .post(from.address, REVOKE_PATH, &order)
            .await
            .map_err(|source| MoveError::Revoke { source })?;
        if !answer.released {
            return Err(MoveError::NotReleased);
        }
        Ok(())
    }

    /// Gives grants to the new owner. The grants are fenced by their epochs and the lease by its
    /// renewals, so this order extends no lease.
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
        // A host that is not fresh must not order anything.
        let state = self.view.state();
        if !self.view.fresh() || !is_live(&state, key) {
            return Err(MoveError::Changed);
        }
        let answer: LeaseResponse = self
            .servers
            .post(to.address, LEASE_PATH, &order)
            .await
            .map_err(|source| MoveError::Grant { source })?;
        if !answer.accepted {
            return Err(MoveError::NotGranted);
        }
        Ok(())
    }
}
