//! Makes changes: decides on the present state, appends to the change log, and tells the peers.

use std::sync::Arc;

use snafu::Snafu;

use super::Host;
use crate::{
    clock,
    id::{HostKey, OperationId, Revision},
    peer::message::PeerRequest,
    state::{self, AppendOutcome, Change, LogEntry, LogError, Proposal, State},
};

/// Attempts of one change that loses against other writers.
const ATTEMPTS_MAX: usize = 50;
/// Hosts that one host passes a push on to.
const PUSH_FANOUT: usize = 16;
const PUSH_TIMEOUT_MS: u64 = 500;

/// Why a change was not made.
#[derive(Debug, Snafu)]
pub enum CommitError {
    /// It does not fit the state.
    #[snafu(display("{source}"))]
    Refused {
        /// Cause.
        source: state::Error,
    },
    /// The writer's expected revision is not the present one.
    #[snafu(display("the configuration is at revision {found}, not {expected}"))]
    Raced {
        /// Revision expected.
        expected: Revision,
        /// Revision found.
        found: Revision,
    },
    /// The change log failed.
    #[snafu(display("{source}"))]
    Log {
        /// Cause.
        source: LogError,
    },
    /// Other writers kept winning.
    #[snafu(display("other changes took precedence {ATTEMPTS_MAX} times; try again"))]
    Contention,
}

/// What a writer asks for.
#[derive(Clone, Debug)]
pub struct CommitRequest {
    /// Identifier; a change with an identifier that was accepted before is not made again.
    pub operation_id: OperationId,
    /// Who asks.
    pub actor: String,
    /// Configuration revision that the writer's decision was based on, if it insists.
    pub expect_revision: Option<Revision>,
    /// The change.
    pub change: Change,
}

impl Host {
    /// Makes a change of the system's own.
    pub(super) async fn commit_own(self: &Arc<Self>, change: Change) -> Result<(), CommitError> {
        let request = CommitRequest {
            operation_id: OperationId::random(),
            actor: format!("host {}", self.settings.name),
            expect_revision: None,
            change,
        };
        self.commit(request).await?;
        Ok(())
    }

    /// Makes a change; returns the revision that it became.
    pub async fn commit(self: &Arc<Self>, request: CommitRequest) -> Result<Revision, CommitError> {
        // One change at a time per host: they would only lose against each other.
        let _turn = self.commits.lock().await;
        for _ in 0..ATTEMPTS_MAX {
            let state = self.view.state();
            if let Some(revision) = state.operation(&request.operation_id) {
                return Ok(revision);
            }
            // An outdated view must not refuse a change, so it is brought up to date first.
            if let Err(error) = check(&state, &request) {
                if !self.read_log().await || self.view.revision() == state.revision {
                    return Err(error);
                }
                continue;
            }
            let proposal = Proposal {
                operation_id: request.operation_id.clone(),
                actor: request.actor.clone(),
                change: request.change.clone(),
            };
            let appended = self.log.append(state.revision, proposal).await;
            match appended.map_err(|source| CommitError::Log { source })? {
                AppendOutcome::Committed(entry) => {
                    let revision = entry.revision;
                    self.publish_commit(entry);
                    return Ok(revision);
                }
                AppendOutcome::Conflict => {
                    self.read_log().await;
                }
            }
        }
        Err(CommitError::Contention)
    }

    fn publish_commit(self: &Arc<Self>, entry: LogEntry) {
        log::info!(revision = entry.revision.0; "committed {:?}", entry.change);
        let entries = vec![entry];
        self.apply(&entries);
        let state = self.view.state();
        let own = self.key();
        let hosts = state.registered_hosts().map(|(key, _)| key);
        let others: Vec<HostKey> = hosts.filter(|key| Some(*key) != own).collect();
        self.push(&entries, &others);
    }

    /// Sends entries down the tree of hosts: each of the first ones gets a part of the rest.
    pub(super) fn push(self: &Arc<Self>, entries: &[LogEntry], hosts: &[HostKey]) {
        if hosts.is_empty() {
            return;
        }
        let part = hosts.len().div_ceil(PUSH_FANOUT);
        for chunk in hosts.chunks(part) {
            let Some((first, relay)) = chunk.split_first() else {
                continue;
            };
            let request = PeerRequest::Push {
                entries: entries.to_vec(),
                relay: relay.to_vec(),
            };
            let host = self.clone();
            let first = *first;
            tokio::spawn(async move { host.push_one(first, request).await });
        }
    }

    async fn push_one(&self, to: HostKey, request: PeerRequest) {
        let state = self.view.state();
        let Some(entry) = state.host(to) else { return };
        let sent_ms = clock::now_ms();
        let reply = self
            .peers
            .call(entry.peer_address, &request, PUSH_TIMEOUT_MS)
            .await;
        match reply {
            Ok(_) => self.metrics.time_ms("push", clock::now_ms() - sent_ms),
            // The host will learn of the revision by the next heartbeat.
            Err(error) => log::debug!("push to {}: {error}", entry.name),
        }
    }
}

fn check(state: &State, request: &CommitRequest) -> Result<(), CommitError> {
    if let Some(expected) = request.expect_revision
        && expected != state.configuration
    {
        return Err(CommitError::Raced {
            expected,
            found: state.configuration,
        });
    }
    let applied = state.clone().apply_dry_run(request.change.clone());
    applied.map_err(|source| CommitError::Refused { source })
}
