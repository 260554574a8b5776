//! Commits changes: checks each one against the current state, appends it to the change log and
//! pushes the new entry to the other hosts.

use std::sync::Arc;

use snafu::Snafu;

use super::Host;
use crate::{
    clock,
    id::{HostKey, OperationId, Revision},
    peer::message::PeerRequest,
    state::{self, AppendOutcome, Change, LogEntry, LogError, Proposal, State},
};

/// Maximum number of attempts to append one change to the log. An attempt fails if another writer
/// appends its change first.
const ATTEMPTS_MAX: usize = 50;
/// Maximum number of hosts that one host pushes entries to directly. Each of these hosts relays the
/// entries to a part of the remaining hosts.
const PUSH_FANOUT: usize = 16;
/// Timeout of one push in milliseconds. A host that misses a push learns of the new revision from
/// the next heartbeat.
const PUSH_TIMEOUT_MS: u64 = 500;

/// Reason why a change was not committed.
#[derive(Debug, Snafu)]
pub enum CommitError {
    /// The change is not valid in the current state.
    #[snafu(display("{source}"))]
    Refused {
        /// Reason why the state refuses the change.
        source: state::Error,
    },
    /// The configuration is not at the revision that the writer expects.
    #[snafu(display("the configuration is at revision {found}, not {expected}"))]
    ConfigurationChanged {
        /// Configuration revision that the writer based its decision on.
        expected: Revision,
        /// Configuration revision at which the change was refused.
        found: Revision,
    },
    /// The entry could not be appended to the change log.
    #[snafu(display("{source}"))]
    Log {
        /// Cause: a failure of the store, or an entry that cannot be decoded.
        source: LogError,
    },
    /// Another writer appended its change first in each of the [`ATTEMPTS_MAX`] attempts.
    #[snafu(display("other changes took precedence {ATTEMPTS_MAX} times; try again"))]
    Contention,
}

/// Change that an operator or a host asks to be committed, with its author and conditions.
#[derive(Clone, Debug)]
pub struct CommitRequest {
    /// Identifier chosen by the writer. A change whose identifier was accepted before is not
    /// applied again, so that a writer may retry the change.
    pub operation_id: OperationId,
    /// Operator or host that requests the change, for the audit trail.
    pub actor: String,
    /// Configuration revision that the writer's decision was based on. The change is refused at
    /// any other revision; `None` accepts every revision.
    pub expect_revision: Option<Revision>,
    /// Change to append to the log, if it is valid in the state at that time.
    pub change: Change,
}

impl Host {
    /// Commits a change that this host itself has decided on. The change gets a random identifier.
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

    /// Commits a change and returns the revision at which it was appended. If a change with the
    /// same identifier was accepted before, nothing is appended and the revision of that change is
    /// returned.
    pub async fn commit(self: &Arc<Self>, request: CommitRequest) -> Result<Revision, CommitError> {
        // Each host commits one change at a time, because its concurrent changes would only
        // conflict with each other.
        let _turn = self.commits.lock().await;
        for _ in 0..ATTEMPTS_MAX {
            let state = self.view.state();
            if let Some(revision) = state.operation(&request.operation_id) {
                return Ok(revision);
            }
            // A change must not be refused because the view is stale, so the log is read before the
            // change is refused.
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

    /// Applies an entry that this host has appended, and pushes it to all other hosts.
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

    /// Pushes entries to `hosts` along a tree: up to [`PUSH_FANOUT`] hosts get the entries
    /// directly, and each of them relays the entries to a part of the remaining hosts.
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
            tokio::spawn(async move { host.push_to_host(first, request).await });
        }
    }

    async fn push_to_host(&self, to: HostKey, request: PeerRequest) {
        let state = self.view.state();
        let Some(entry) = state.host(to) else { return };
        let sent_ms = clock::now_ms();
        let reply = self
            .peers
            .call(entry.peer_address, &request, PUSH_TIMEOUT_MS)
            .await;
        match reply {
            Ok(_) => self.metrics.time_ms("push", clock::now_ms() - sent_ms),
            // The host that missed the push learns of the new revision from the next heartbeat.
            Err(error) => log::debug!("cannot push log entries to {}: {error}", entry.name),
        }
    }
}

/// Checks the expected revision of a request, and applies its change to a copy of the state.
fn check(state: &State, request: &CommitRequest) -> Result<(), CommitError> {
    if let Some(expected) = request.expect_revision
        && expected != state.configuration
    {
        return Err(CommitError::ConfigurationChanged {
            expected,
            found: state.configuration,
        });
    }
    let applied = state.clone().apply_dry_run(request.change.clone());
    applied.map_err(|source| CommitError::Refused { source })
}
