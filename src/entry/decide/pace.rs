//! How long work takes at a server at present, compared with what is usual there. Servers that share
//! their machine with others run several times slower for stretches of some hundred milliseconds, which
//! they tell in their answers; hosts tell it on to each other.

/// Share of a new word in the mean pace of a server.
const MEAN_SAMPLE_WEIGHT: f64 = 0.05;
/// Bounds of the relative pace: nothing that a server tells makes it free or useless.
const RELATIVE_LEAST: f64 = 0.3;
const RELATIVE_MOST: f64 = 5.0;

/// Pace of one server. 1 is as usual, 3 is three times slower.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pace {
    latest: f64,
    at_ms: u64,
    /// Mean of all that was told.
    mean: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            latest: 1.0,
            at_ms: 0,
            mean: 1.0,
        }
    }
}

impl Pace {
    /// Notes what the server told at a time, unless something later is known.
    pub fn note(&mut self, pace: f64, at_ms: u64) {
        if at_ms < self.at_ms || !pace.is_finite() || pace <= 0.0 {
            return;
        }
        self.latest = pace;
        self.at_ms = at_ms;
        self.mean += MEAN_SAMPLE_WEIGHT * (pace - self.mean);
    }

    /// Time that work is expected to take now, as a multiple of its mean time there: what was told
    /// counts less with age, by half in about `memory_ms`; 0 ignores it.
    pub fn relative(&self, now_ms: u64, memory_ms: u64) -> f64 {
        if self.at_ms == 0 || memory_ms == 0 {
            return 1.0;
        }
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let remembered = 0.5_f64.powf(age_ms / memory_ms as f64);
        let expected = self.mean + (self.latest - self.mean) * remembered;
        (expected / self.mean).clamp(RELATIVE_LEAST, RELATIVE_MOST)
    }
}
