//! Retry budget: limits retries to a fraction of the recent requests, which prevents retry storms.

use std::sync::atomic::{AtomicI64, Ordering};

/// Number of units that one retry takes from the retry budget. Every request adds one unit to the
/// budget, so every 20 requests allow one retry.
const RETRY_COST: i64 = 20;
/// Maximum number of units that the retry budget accumulates, enough for ten retries in a row.
const BUDGET_UNITS_MAX: i64 = 10 * RETRY_COST;

/// Retry budget of one service on one host. The budget allows one retry per 20 requests, and starts
/// with a reserve of ten retries.
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
    /// Adds one unit for a request, unless the budget is full.
    pub fn request(&self) {
        let available = self.units.load(Ordering::Relaxed);
        if available < BUDGET_UNITS_MAX {
            self.units.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Takes the units of one retry out of the budget and returns true. If the budget has too few
    /// units, takes none and returns false; the request must then not be retried.
    pub fn retry(&self) -> bool {
        let taken = self.units.fetch_sub(RETRY_COST, Ordering::Relaxed);
        if taken < RETRY_COST {
            self.units.fetch_add(RETRY_COST, Ordering::Relaxed);
            return false;
        }
        true
    }
}
