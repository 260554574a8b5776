//! Slowdown of a server: the factor by which it currently runs slower than usual, as its current
//! run time divided by its usual one. Servers that share their machine with others run several
//! times slower for periods of some hundred milliseconds. They report their slowdown in their
//! responses, and hosts exchange these reports.

/// Weight of a new report in a server's mean slowdown: low, so that the mean follows the usual
/// slowdown and not a slow period.
const MEAN_SAMPLE_WEIGHT: f64 = 0.05;
/// Bounds of the relative slowdown, so that no report makes a server appear to cost nothing or to
/// be unusable.
const RELATIVE_SLOWDOWN_MIN: f64 = 0.3;
const RELATIVE_SLOWDOWN_MAX: f64 = 5.0;

/// Slowdown of one server, the factor by which it currently runs slower than usual: 1 is its usual
/// speed, 3 means that requests take three times as long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown {
    latest: f64,
    at_ms: u64,
    /// Moving average of all reports, the reference for `latest`.
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
    /// Records the slowdown that the server reported at `at_ms`; ignored if a later report is
    /// known.
    pub fn note(&mut self, slowdown: f64, at_ms: u64) {
        if at_ms < self.at_ms || !slowdown.is_finite() || slowdown <= 0.0 {
            return;
        }
        self.latest = slowdown;
        self.at_ms = at_ms;
        self.mean += MEAN_SAMPLE_WEIGHT * (slowdown - self.mean);
    }

    /// Returns the expected run time as a multiple of the server's mean run time. The weight of the
    /// latest report halves every `memory_ms`; 0 ignores reports.
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
