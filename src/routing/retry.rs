//! Budget of retries: a share of the requests of late, so that retries never become a storm.

use std::sync::atomic::{AtomicI64, Ordering};

/// Cost of a retry, in units that each request pays in one of.
const RETRY_COST: i64 = 20;
/// Most units that are saved up.
const BUDGET_UNITS_MAX: i64 = 10 * RETRY_COST;

/// Budget of one service on one host: one retry for every 20 requests, and a few at the start.
#[derive(Debug)]
pub struct RetryBudget {
    units: AtomicI64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            units: AtomicI64::new(BUDGET_UNITS_MAX),
        }
    }
}

impl RetryBudget {
    /// Pays in for a request.
    pub fn request(&self) {
        let saved = self.units.load(Ordering::Relaxed);
        if saved < BUDGET_UNITS_MAX {
            self.units.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes out a retry; false if the budget is spent.
    pub fn retry(&self) -> bool {
        let taken = self.units.fetch_sub(RETRY_COST, Ordering::Relaxed);
        if taken < RETRY_COST {
            self.units.fetch_add(RETRY_COST, Ordering::Relaxed);
            return false;
        }
        true
    }
}
