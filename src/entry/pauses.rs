//! Longest pauses between calls to the store, from which other modules derive their bounds.

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
