//! Why requests are refused, and when their callers should come back.

use crate::entry::{choice, hot_keys::HotKey, registry::Registry};

/// Least time after which a caller should come back.
const RETRY_MIN_MS: u64 = 100;
/// Longest time after which a caller should come back.
const RETRY_MAX_MS: u64 = 5_000;
/// Time after which a host that has just started knows what it needs.
const START_MS: u64 = 500;

/// Why a request is refused. It has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Reason, for the caller and the log.
    pub reason: &'static str,
    /// Time after which the caller should come back.
    pub retry_after_ms: u64,
}

impl Refused {
    /// Another host, or this one in a moment, may serve the request.
    pub fn soon(reason: &'static str) -> Self {
        Self {
            reason,
            retry_after_ms: RETRY_MIN_MS,
        }
    }

    /// The request can be served after a time.
    pub fn after(reason: &'static str, after_ms: u64) -> Self {
        Self {
            reason,
            retry_after_ms: after_ms.clamp(RETRY_MIN_MS, RETRY_MAX_MS),
        }
    }

    /// The host has just started.
    pub fn starting(reason: &'static str) -> Self {
        Self {
            reason,
            retry_after_ms: START_MS,
        }
    }

    /// A server of the service must finish some work first.
    pub fn after_run(reason: &'static str, registry: &Registry, service: &str) -> Self {
        let run_ms = choice::typical_run_ms(registry.of_service(service));
        Self::after(reason, run_ms as u64)
    }

    /// The key gets more requests than its server can serve: a caller's turn comes after about as
    /// many runs as there are requests for each one that is served.
    pub fn hot_key(hot: HotKey, registry: &Registry, service: &str) -> Self {
        let run_ms = choice::typical_run_ms(registry.of_service(service));
        let turn_ms = (run_ms * hot.excess()) as u64;
        Self::after(
            "the key gets more requests than its server can serve",
            turn_ms,
        )
    }
}
