//! Measures the rate of requests, as an average over about the last second.

/// Time constant of the average. A host with ten requests per second measures its rate to within a
/// third; a longer time would detect surges, and keys that have moved to another server, too late.
const MEMORY_MS: f64 = 1_000.0;

/// Exponentially weighted rate of events.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    /// Sum of the events, each weighted by its age at the last update.
    weight: f64,
    at_ms: u64,
}

impl RateMeter {
    /// Counts one event at `now_ms`, after reducing the weight of the earlier ones.
    pub fn note(&mut self, now_ms: u64) {
        self.weight = self.decayed_weight(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Returns the events per second. The rate is too low in the first two seconds: a correction
    /// would give too much weight to the first event of a host that has few.
    pub fn per_s(&self, now_ms: u64) -> f64 {
        self.decayed_weight(now_ms) * 1_000.0 / MEMORY_MS
    }

    fn decayed_weight(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.weight * (-age_ms / MEMORY_MS).exp()
    }
}
