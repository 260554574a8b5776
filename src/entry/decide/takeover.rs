//! Decides when a host begins to watch the leadership row after the heartbeats from the leader have
//! stopped. Hosts that are known may be gone: many of the first in the takeover order may never
//! begin.

/// Number of hosts that begin to watch the leadership row at once. Each read of the store is
/// billed, so not all hosts begin at once.
const FIRST_WATCHERS: usize = 2;
/// Interval at which further hosts begin, each time twice as many as the time before.
const STEP_MS: u64 = 500;

/// Returns the time from the end of the heartbeats, in milliseconds, after which the host with this
/// rank in the takeover order begins. The time grows with the logarithm of the rank, so that it
/// stays short behind any number of hosts that are gone.
pub fn watch_delay_ms(rank: usize) -> u64 {
    let steps = (rank / FIRST_WATCHERS + 1).ilog2();
    u64::from(steps) * STEP_MS
}
