//! Pauses between calls to the store. Other modules derive their bounds from the longest ones.

use std::time::Duration;

use tokio::time;

/// Pause after a failed call to the store; up to half of the pause is added at random.
pub const RETRY_PAUSE_MS: u64 = 150;
/// Longest pause after a failed call of a feed whose calls keep failing, without the random
/// addition. Calls are billed, including refused ones, but the store's return must be noticed
/// within a second.
pub const RETRY_PAUSE_MAX_MS: u64 = 400;
/// Longest pause after a failed call, including the random addition.
pub const RETRY_PAUSE_LONGEST_MS: u64 = RETRY_PAUSE_MAX_MS + RETRY_PAUSE_MAX_MS / 2;
/// Maximum pause between two polls of a feed while the leader broadcasts all changes. A host that
/// has missed a change notices this by the versions in the leader's heartbeat, by a message from an
/// unknown host or under an unknown secret, or by the response from a server that no longer holds a
/// key.
pub const FOLLOWER_PAUSE_MAX_MS: u64 = 120_000;

/// Waits for the retry pause, with a random part so that hosts do not all retry at the same moment.
pub async fn pause() {
    pause_for(RETRY_PAUSE_MS).await;
}

/// Waits for `min_ms` plus a random time of up to half of `min_ms`.
pub async fn pause_for(min_ms: u64) {
    let pause_ms = min_ms + rand::random_range(0..min_ms / 2);
    time::sleep(Duration::from_millis(pause_ms)).await;
}
