//! Monotonic time of this process in milliseconds for leases and deadlines, and wall time for logs,
//! audit entries and stored records.

use std::{
    sync::LazyLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};

/// Clock for leases, deadlines and the leadership. The leader is the one entry host that assigns
/// keys to servers and grants their leases. `CLOCK_BOOTTIME` includes the time for which the
/// machine was suspended, and `CLOCK_MONOTONIC` does not. With `CLOCK_MONOTONIC`, a leader that was
/// suspended for six seconds would still consider itself the leader, although another host became
/// the leader four seconds ago.
pub const CLOCK_ID: ClockId = ClockId::CLOCK_BOOTTIME;

static START: LazyLock<Duration> = LazyLock::new(read_clock);

/// Offset in milliseconds that is added to each reading of [`now_ms`]. The offset keeps results
/// positive when a staleness or the length of a lease is subtracted from an early reading.
const ORIGIN_MS: u64 = 1_000_000;

/// Returns the monotonic time in milliseconds, counted from the first reading in this process plus
/// a fixed offset. Readings of different processes cannot be compared.
pub fn now_ms() -> u64 {
    // The start must be read before the current time, because the first access sets it.
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

/// Returns the wall time in microseconds since 1970. The samples of the load generator and the
/// records of backend servers use this time, so that records of several processes on one machine
/// can be compared.
pub fn unix_us() -> u64 {
    unix_time().as_micros() as u64
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
