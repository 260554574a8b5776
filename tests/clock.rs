//! Tests of the clock that leases and deadlines use.

use std::{thread, time::Duration};

use ashroad::clock::{self, CLOCK_ID};
use nix::time::ClockId;

/// Checks which clock is used, because a test cannot suspend its machine. `CLOCK_BOOTTIME` is the
/// only monotonic clock of Linux that includes the time of a suspension.
#[test]
fn suspended_time_counts() {
    assert_eq!(CLOCK_ID, ClockId::CLOCK_BOOTTIME);
}

#[test]
fn time_advances() {
    let before_ms = clock::now_ms();
    thread::sleep(Duration::from_millis(30));
    let elapsed_ms = clock::now_ms() - before_ms;
    assert!(elapsed_ms >= 29, "{elapsed_ms} ms");
}
