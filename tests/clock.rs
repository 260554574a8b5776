//! The clock that leases and deadlines go by.

use std::{thread, time::Duration};

use ashroad::clock::{self, CLOCK_ID};
use nix::time::ClockId;

/// No test can suspend its machine, so this one holds on to the source: of the clocks that never go back, only
/// this one counts the time of a suspension.
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
