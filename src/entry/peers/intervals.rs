//! Intervals of the load reports between hosts, and the age up to which a report is used.

/// Interval of reports among up to [`REPORT_HOSTS`] hosts that report to each other. With more
/// hosts the interval grows in proportion to their number, which keeps the number of datagrams per
/// host constant. Longer intervals make hosts send requests to servers that have no free capacity.
const REPORT_EVERY_MS: u64 = 100;
const REPORT_HOSTS: u64 = 40;
/// Upper bound of the report interval, for any number of hosts.
const REPORT_EVERY_MAX_MS: u64 = 1_000;
/// Number of report intervals from one full report to the next. A full report includes the run
/// times and is sent even if nothing has changed, to show that the host is alive.
pub const FULL_REPORT_EVERY: u64 = 8;
/// Interval at which the aggregator of a zone sends the summed loads to other zones.
pub const ZONE_LOADS_EVERY_MS: u64 = 250;
/// Time that is added to the interval of full reports to get the age from which a report is ignored
/// as stale.
const REPORT_AGE_SLACK_MS: u64 = 400;

/// Returns the interval, in milliseconds, at which a host reports its load when `hosts` hosts, that
/// host included, receive each other's reports.
pub fn report_every_ms(hosts: usize) -> u64 {
    let every_ms = REPORT_EVERY_MS * hosts as u64 / REPORT_HOSTS;
    every_ms.clamp(REPORT_EVERY_MS, REPORT_EVERY_MAX_MS)
}

/// Returns the age, in milliseconds, up to which a load report from another host is used when
/// `hosts` hosts receive each other's reports.
pub fn report_age_max_ms(hosts: usize) -> u64 {
    report_every_ms(hosts) * FULL_REPORT_EVERY + REPORT_AGE_SLACK_MS
}
