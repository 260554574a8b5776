//! Monotonic time of this process in milliseconds, and wall time for records that people read.

use std::{
    sync::LazyLock,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// Offset that keeps early readings positive after a freshness or lease span is taken from them.
const ORIGIN_MS: u64 = 1_000_000;

/// Monotonic time in milliseconds. Readings of different processes do not compare.
pub fn now_ms() -> u64 {
    ORIGIN_MS + START.elapsed().as_millis() as u64
}

/// Wall time in milliseconds since 1970, for audit entries and logs only.
pub fn unix_ms() -> u64 {
    unix_time().as_millis() as u64
}

/// Wall time in microseconds since 1970, for comparing records of processes on one machine.
pub fn unix_us() -> u64 {
    unix_time().as_micros() as u64
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
