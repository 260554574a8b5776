//! Resource usage of this process and of the machine, from `/proc`.

use std::fs;

/// Number of clock ticks per second. Linux reports processor times in clock ticks.
const TICKS_PER_S: u64 = 100;
/// Number of fields of `/proc/self/stat` between the process name and the user time. These fields
/// are skipped.
const FIELDS_BEFORE_USER_TIME: usize = 11;
/// Name of the loopback interface in `/proc/net/dev`.
const LOOPBACK: &str = "lo:";

/// Returns the processor time that this process has used so far, the sum of user and system time,
/// in milliseconds.
pub fn cpu_ms() -> u64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    // The process name in parentheses may contain spaces, so the fields after the name are counted.
    let fields = text.rsplit(')').next().unwrap_or_default();
    let mut fields = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let mut ticks = || {
        fields
            .next()
            .and_then(|f| f.parse::<u64>().ok())
            .unwrap_or(0)
    };
    (ticks() + ticks()) * 1_000 / TICKS_PER_S
}

/// Returns the resident memory of this process in bytes.
pub fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    kib.and_then(|kib| kib.parse::<u64>().ok()).unwrap_or(0) * 1024
}

/// Returns the number of bytes that all processes of the machine have sent over loopback.
pub fn loopback_sent_bytes() -> u64 {
    let text = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with(LOOPBACK));
    // Every byte sent over loopback is also received over loopback, so the first column (received
    // bytes) equals the number of sent bytes.
    let received = line.and_then(|line| line.split_whitespace().nth(1));
    received.and_then(|bytes| bytes.parse().ok()).unwrap_or(0)
}
