//! Requests a second, measured over the last seconds.

/// Time constant of the average. A host with three requests a second still knows its rate within a third; a
/// longer time would find out about a surge too late.
const MEMORY_MS: f64 = 2_000.0;

/// Rate of events, the latest ones counting most.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateMeter {
    /// Events, faded by their age.
    weight: f64,
    at_ms: u64,
    /// When it began to count; `None` before the first event.
    since_ms: Option<u64>,
}

impl RateMeter {
    /// Counts an event.
    pub fn note(&mut self, now_ms: u64) {
        self.weight = self.faded(now_ms) + 1.0;
        self.at_ms = now_ms;
        self.since_ms.get_or_insert(now_ms);
    }

    /// Events a second.
    pub fn per_s(&self, now_ms: u64) -> f64 {
        let Some(since_ms) = self.since_ms else {
            return 0.0;
        };
        // What was not counted yet is missing from a young average.
        let age_ms = now_ms.saturating_sub(since_ms).max(MEMORY_MS as u64 / 4) as f64;
        let complete = 1.0 - (-age_ms / MEMORY_MS).exp();
        self.faded(now_ms) * 1_000.0 / MEMORY_MS / complete
    }

    fn faded(&self, now_ms: u64) -> f64 {
        let age_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.weight * (-age_ms / MEMORY_MS).exp()
    }
}
