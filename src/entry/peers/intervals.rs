//! How often hosts report to each other, and for how long a report counts.

/// Interval of reports among up to [`REPORT_HOSTS`] hosts of a zone; it grows in proportion to their
/// number, so that a host's datagrams do not. With older reports servers are sent requests that they have no room for.
const REPORT_EVERY_MS: u64 = 100;
const REPORT_HOSTS: u64 = 40;
/// Longest interval of reports.
const REPORT_EVERY_MAX_MS: u64 = 1_000;
/// Every so many intervals a report has the run times too and is sent even without news, to show
/// that the host lives.
pub const FULL_REPORT_EVERY: u64 = 8;
/// Interval of the sums of a zone.
pub const ZONE_LOADS_EVERY_MS: u64 = 250;
/// Age after which a report no longer counts, beyond the longest time between two of them.
const REPORT_AGE_SLACK_MS: u64 = 400;

/// Interval of reports among so many hosts that hear them, the own one included.
pub fn report_every_ms(hosts: usize) -> u64 {
    let every_ms = REPORT_EVERY_MS * hosts as u64 / REPORT_HOSTS;
    every_ms.clamp(REPORT_EVERY_MS, REPORT_EVERY_MAX_MS)
}

/// Age up to which a report counts.
pub fn report_age_max_ms(hosts: usize) -> u64 {
    report_every_ms(hosts) * FULL_REPORT_EVERY + REPORT_AGE_SLACK_MS
}
