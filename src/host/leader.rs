//! Leader election by a lease in a row of the table service. The leader plans and carries out
//! moves. The election only avoids contention: the system stays safe if two hosts act as leader.

use std::{sync::Arc, sync::atomic::Ordering, time::Duration};

use serde::{Deserialize, Serialize};
use tokio::time;

use super::Host;
use crate::{
    clock,
    id::{HostKey, Incarnation},
    membership::{heartbeat_tree, ring::HashRing},
    store::message::{Condition, Expect, Row, Transaction, TransactionOutcome, Write},
};

/// Key of the row that holds the leader's lease and term.
const LEADER_ROW: &str = "leader";
/// Number of times that the leader renews the leader row within the length of one lease.
const RENEWALS_PER_LEASE: u64 = 4;
/// Number of the work item that stands for the leadership in the hash ring. The hosts that follow
/// this work item in the ring are the candidates for the leader.
const LEADER_RING_KEY: u32 = 0;
/// Number of hosts that watch the leader row, to take over when the lease of the leader expires.
const CANDIDATES: usize = 3;

/// Content of the leader row, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct LeaderRow {
    term: u64,
    host: String,
    incarnation: Incarnation,
}

/// Version of the leader row as a candidate last read it, and the time at which the candidate first
/// read that version. The lease has expired once the version stays the same for the length of a
/// lease, so the candidate needs no clock but its own.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedRow {
    version: u64,
    since_ms: u64,
}

impl Host {
    /// Renews the leader row while this host leads, and tries to take the row over while this host
    /// is a candidate. Runs until the process ends.
    pub(super) async fn run_leader_election(self: Arc<Self>) {
        let lease_ms = self.settings.ownership.leader_lease_ms;
        let pause = Duration::from_millis(lease_ms / RENEWALS_PER_LEASE);
        let mut observed = ObservedRow::default();
        let mut renewed_ms = 0;
        loop {
            time::sleep(pause).await;
            if self.leading() && clock::now_ms() > renewed_ms + lease_ms {
                self.leading.store(false, Ordering::Relaxed);
            }
            if !self.is_candidate() {
                continue;
            }
            let sent_ms = clock::now_ms();
            let Ok(row) = self.platform.row(LEADER_ROW).await else {
                continue;
            };
            if self.acquire_or_renew(row, &mut observed, sent_ms).await {
                renewed_ms = sent_ms;
            }
        }
    }

    /// Returns true if this host must read the leader row: this host leads, or is a top-level host
    /// and one of the first [`CANDIDATES`] hosts in the ring that were heard within the last lease.
    fn is_candidate(&self) -> bool {
        let Some(own) = self.key() else { return false };
        if self.leading() {
            return true;
        }
        let state = self.view.state();
        if !heartbeat_tree::is_top_level(&heartbeat_tree::order(&state), own) {
            return false;
        }
        let now_ms = clock::now_ms();
        let lease_ms = self.settings.ownership.leader_lease_ms;
        let heard = |key: HostKey| {
            let heard_ms = self.view.heard_ms(key);
            key == own || heard_ms.is_some_and(|heard_ms| now_ms < heard_ms + lease_ms)
        };
        let hosts = state.registered_hosts().map(|(key, _)| key);
        let ring = HashRing::new(hosts.filter(|key| heard(*key)));
        let mut candidates = ring.successors(LEADER_RING_KEY).take(CANDIDATES);
        candidates.any(|host| host == own)
    }

    /// Renews the leader row, or takes it over if the lease of its holder has expired. Returns true
    /// if this host holds the row afterwards.
    async fn acquire_or_renew(
        &self,
        row: Option<Row>,
        observed: &mut ObservedRow,
        now_ms: u64,
    ) -> bool {
        let version = row.as_ref().map_or(0, |row| row.version);
        let content = row.and_then(|row| serde_json::from_str::<LeaderRow>(&row.value).ok());
        let term = content.as_ref().map_or(0, |content| content.term);
        self.leader_term.store(term, Ordering::Relaxed);
        let own = content.is_some_and(|content| content.incarnation == self.incarnation);
        if !own && observed.version != version {
            *observed = ObservedRow {
                version,
                since_ms: now_ms,
            };
        }
        let lease_ms = self.settings.ownership.leader_lease_ms;
        let expired = version == 0 || now_ms >= observed.since_ms + lease_ms;
        if !own && !expired {
            self.leading.store(false, Ordering::Relaxed);
            return false;
        }
        let term = if own { term } else { term + 1 };
        self.write_leader(version, term).await
    }

    /// Writes the leader row if it is still at `version`. Returns true if this host holds the row
    /// afterwards.
    async fn write_leader(&self, version: u64, term: u64) -> bool {
        let row = LeaderRow {
            term,
            host: self.settings.name.clone(),
            incarnation: self.incarnation,
        };
        let expect = match version {
            0 => Expect::Absent,
            version => Expect::Version(version),
        };
        let transaction = Transaction {
            conditions: vec![Condition {
                key: LEADER_ROW.to_owned(),
                expect,
            }],
            writes: vec![Write {
                key: LEADER_ROW.to_owned(),
                value: serde_json::to_string(&row).ok(),
            }],
        };
        let outcome = self.platform.transact(&transaction).await;
        let holds = matches!(outcome, Ok(TransactionOutcome::Committed));
        if holds && !self.leading.swap(true, Ordering::Relaxed) {
            self.leader_term.store(term, Ordering::Relaxed);
            log::info!(term; "this host is now the leader");
        }
        holds
    }
}
