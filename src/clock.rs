//! Monotonic time of this process in milliseconds, and wall time for records that people read.

use std::{
    sync::LazyLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use nix::time::{ClockId, clock_gettime};

/// Clock of leases, the duty and deadlines. It counts the time for which the machine was suspended. The
/// steady clock leaves that out: a holder of the duty that was suspended for six seconds would take its
/// duty for confirmed when another host has had it for four.
pub const CLOCK_ID: ClockId = ClockId::CLOCK_BOOTTIME;

static START: LazyLock<Duration> = LazyLock::new(read_clock);

/// Offset that keeps early readings positive after a freshness or lease span is taken from them.
const ORIGIN_MS: u64 = 1_000_000;

/// Monotonic time in milliseconds. Readings of different processes do not compare.
pub fn now_ms() -> u64 {
    // The first reading must not come after this one.
    let start = *START;
    ORIGIN_MS + read_clock().saturating_sub(start).as_millis() as u64
}

fn read_clock() -> Duration {
    let time = clock_gettime(CLOCK_ID).expect("Linux has this clock since 2.6.39");
    Duration::from(time)
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
