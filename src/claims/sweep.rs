//! Removes claims whose retention has passed, one page of rows at a time.

use super::row::{CLAIM_PREFIX, ClaimRow};
use crate::{
    clock,
    store::{
        self, Platform,
        message::{Condition, Expect, Row, Transaction, Write},
    },
};

/// Maximum number of rows that one call of [`Sweep::step`] reads. The maximum bounds the load that
/// a sweep puts on the table service.
pub const PAGE_ROWS: usize = 200;

/// Position of a sweep. A sweep is the repeated pass over all claim rows that removes the claims
/// whose retention has passed.
#[derive(Clone, Debug, Default)]
pub struct Sweep {
    after: String,
}

impl Sweep {
    /// Reads the next page of claims and removes the claims older than `retention_ms`. After the
    /// last page, one step finds no rows, and the following step starts again with the first page.
    /// Returns the number of rows removed.
    pub async fn step(&mut self, platform: &Platform, retention_ms: u64) -> store::Result<usize> {
        let rows = platform.range(CLAIM_PREFIX, &self.after, PAGE_ROWS).await?;
        let Some(last) = rows.last() else {
            self.after.clear();
            return Ok(0);
        };
        let oldest_ms = clock::unix_ms().saturating_sub(retention_ms);
        let old: Vec<&Row> = rows.iter().filter(|row| is_old(row, oldest_ms)).collect();
        if !old.is_empty() {
            platform.transact(&removal(&old)).await?;
        }
        self.after = last.key.clone();
        Ok(old.len())
    }
}

fn is_old(row: &Row, oldest_ms: u64) -> bool {
    let claim = serde_json::from_str::<ClaimRow>(&row.value);
    claim.is_ok_and(|claim| claim.at_unix_ms < oldest_ms)
}

fn removal(rows: &[&Row]) -> Transaction {
    let condition = |row: &&Row| Condition {
        key: row.key.clone(),
        expect: Expect::Version(row.version),
    };
    let write = |row: &&Row| Write {
        key: row.key.clone(),
        value: None,
    };
    Transaction {
        conditions: rows.iter().map(condition).collect(),
        writes: rows.iter().map(write).collect(),
    }
}
