//! Tracks the slowdown of servers. A slowdown is the factor by which a server currently runs slower
//! than usual: its current run time divided by its usual run time. Servers that share their machine
//! with others run several times slower for periods of some hundred milliseconds. Servers report
//! their slowdown in their responses, and hosts exchange these reports.

/// Weight of a new report in the average of a server's reported slowdowns. The weight is low, so
/// that the average follows the usual slowdown and not a slow period.
const MEAN_SAMPLE_WEIGHT: f64 = 0.05;
/// Bounds of the result of [`Slowdown::relative`], so that no report makes a server appear to need
/// no time or to be unusable.
const RELATIVE_SLOWDOWN_MIN: f64 = 0.3;
const RELATIVE_SLOWDOWN_MAX: f64 = 5.0;

/// Slowdown of one server, from its reports: 1 is the usual speed; 3 means that requests take three
/// times as long as usual.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown {
    latest: f64,
    at_ms: u64,
    /// Moving average of all reported slowdowns, with which `latest` is compared.
    mean: f64,
}

impl Default for Slowdown {
    fn default() -> Self {
        Self {
            latest: 1.0,
            at_ms: 0,
            mean: 1.0,
        }
    }
}

impl Slowdown {
    /// Records the slowdown that the server reported at `at_ms`. The report is ignored if a report
    /// with a later time is known, or if the slowdown is not a positive finite number.
    pub fn note(&mut self, slowdown: f64, at_ms: u64) {
        if at_ms < self.at_ms || !slowdown.is_finite() || slowdown <= 0.0 {
            return;
        }
        self.latest = slowdown;
        self.at_ms = at_ms;
        self.mean += MEAN_SAMPLE_WEIGHT * (slowdown - self.mean);
    }

    /// Returns the expected run time as a multiple of the server's mean run time. The weight of the
    /// latest report halves every `memory_ms` milliseconds. The result is 1 if `memory_ms` is 0 or
    /// if there is no report.
    pub fn relative(&self, now_ms: u64, memory_ms: u64) -> f64 {
        if self.at_ms == 0 || memory_ms == 0 {
            return 1.0;
        }
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let remembered = 0.5_f64.powf(age_ms / memory_ms as f64);
        let expected = self.mean + (self.latest - self.mean) * remembered;
        (expected / self.mean).clamp(RELATIVE_SLOWDOWN_MIN, RELATIVE_SLOWDOWN_MAX)
    }
}

/// Slowdowns that a server has reported (factors by which it currently runs slower than usual).
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowdownReports {
    /// Slowdown that the server has reported to this host or to any other host.
    pub known: Slowdown,
    /// Latest slowdown that the server reported to this host, and the time of the report.
    pub own: Option<(f64, u64)>,
}
