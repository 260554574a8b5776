//! Monotonic time of this process in milliseconds, and wall time for records that people read.

use std::{
    sync::LazyLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};

/// Clock of leases, deadlines and the duty (assigning keys to servers and granting their leases).
/// Unlike `CLOCK_MONOTONIC` it includes the time for which the machine was suspended. Without that
/// time, a duty holder that was suspended for six seconds would still consider its duty confirmed,
/// although another host took it over four seconds ago.
pub const CLOCK_ID: ClockId = ClockId::CLOCK_BOOTTIME;

static START: LazyLock<Duration> = LazyLock::new(read_clock);

/// Offset of all readings. The offset keeps results positive when a staleness or the length of a
/// lease is subtracted from an early reading.
const ORIGIN_MS: u64 = 1_000_000;

/// Returns the monotonic time in milliseconds. Readings of different processes cannot be compared.
pub fn now_ms() -> u64 {
    // The origin must be read before the current time.
    let start = *START;
    ORIGIN_MS + read_clock().saturating_sub(start).as_millis() as u64
}

fn read_clock() -> Duration {
    let time = clock_gettime(CLOCK_ID).expect("Linux has this clock since 2.6.39");
    Duration::from(time)
}

/// Returns the wall time in milliseconds since 1970, for audit entries, logs and stored records;
/// leases and deadlines never use it.
pub fn unix_ms() -> u64 {
    unix_time().as_millis() as u64
}

/// Returns the wall time in microseconds since 1970, for comparing records of processes on one
/// machine.
pub fn unix_us() -> u64 {
    unix_time().as_micros() as u64
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
