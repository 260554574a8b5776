//! Measures the rate of requests as an exponentially weighted average over about the last second.

/// Time constant of the average, in milliseconds. A host that receives ten requests per second
/// measures this rate to within a third. With a longer time constant, hosts would detect surges,
/// and moves of keys to other servers, too late.
const MEMORY_MS: f64 = 1_000.0;

/// Exponentially weighted rate of events.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    /// Number of events, each weighted by its age at `at_ms`, the time of the last event.
    weight: f64,
    at_ms: u64,
}

impl RateMeter {
    /// Counts one event at `now_ms`, after reducing the weight of the earlier events.
    pub fn note(&mut self, now_ms: u64) {
        self.weight = self.decayed_weight(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Returns the average number of events per second. The result is too low in the first two
    /// seconds: a correction would give too much weight to the first event of a host that has few
    /// events.
    pub fn per_s(&self, now_ms: u64) -> f64 {
        self.decayed_weight(now_ms) * 1_000.0 / MEMORY_MS
    }

    /// Returns the sum of the events, each weighted by its age at `now_ms`.
    fn decayed_weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.weight * (-age_ms / MEMORY_MS).exp()
    }
}
