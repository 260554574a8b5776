//! Requests a second, measured over the last seconds.

/// Time constant of the average. A host with ten requests a second knows its rate within a third; a
/// longer time would find out too late about a surge, or that keys have gone to another server.
const MEMORY_MS: f64 = 1_000.0;

/// Rate of events, the latest ones counting most.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    /// Events, faded by their age.
    weight: f64,
    at_ms: u64,
}

impl RateMeter {
    /// Counts an event.
    pub fn note(&mut self, now_ms: u64) {
        self.weight = self.faded(now_ms) + 1.0;
        self.at_ms = now_ms;
    }

    /// Events a second. Too few while it has counted for less than two seconds: a correction for that would make
    /// much of the first event of a host that has few.
    pub fn per_s(&self, now_ms: u64) -> f64 {
        self.faded(now_ms) * 1_000.0 / MEMORY_MS
    }

    fn faded(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.weight * (-age_ms / MEMORY_MS).exp()
    }
}
