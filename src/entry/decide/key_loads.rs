//! Requests by key, counted over a long and a short time.

use crate::entry::keys::{Holding, KeyRange};

/// Number of keys by service.
pub const KEYS: usize = 1 << 16;

/// Smoothed requests a second by key.
#[derive(Clone, Debug)]
pub struct KeyLoads {
    per_s: Vec<f32>,
    /// Time over which requests were counted for them.
    window_s: f64,
}

impl Default for KeyLoads {
    fn default() -> Self {
        Self {
            per_s: vec![0.0; KEYS],
            window_s: f64::INFINITY,
        }
    }
}

/// Counts of requests by key over a long and a short time.
#[derive(Clone, Debug, Default)]
pub struct KeyCounts {
    slow: KeyLoads,
    fast: KeyLoads,
}

impl KeyCounts {
    /// Share of the long-term count that is kept from one interval to the next: half is forgotten
    /// in 2.7 s at ten intervals a second.
    const SLOW_KEPT: f32 = 0.975;
    /// The same of the short-term count: half is forgotten in 0.3 s.
    const FAST_KEPT: f32 = 0.8;
    /// Standard deviations by which the short-term load of a holding must exceed the long-term one
    /// to be believed.
    const SURGE_DEVIATIONS: f64 = 4.0;

    /// Begins an interval: the past counts less.
    pub fn decay(&mut self) {
        self.slow.decay(Self::SLOW_KEPT);
        self.fast.decay(Self::FAST_KEPT);
    }

    /// Adds requests of a key that came within one of `per_s` intervals a second.
    pub fn add(&mut self, key: u16, requests: u16, per_s: f32) {
        // A request counted once stands for this rate, by the sum of the decaying series.
        let rate = f32::from(requests) * per_s;
        self.slow.add(key, rate * (1.0 - Self::SLOW_KEPT));
        self.fast.add(key, rate * (1.0 - Self::FAST_KEPT));
    }

    /// Loads for a plan: the long-term ones, but for holdings whose load has risen too much of late
    /// to be chance.
    pub fn loads(&self, holdings: &[Holding], per_s: f64) -> KeyLoads {
        let window_s = window_s(Self::FAST_KEPT, per_s);
        let mut loads = self.slow.clone();
        loads.window_s = self::window_s(Self::SLOW_KEPT, per_s);
        for holding in holdings {
            let (slow, fast) = (self.slow.of(holding.range), self.fast.of(holding.range));
            let deviation = (slow.max(1.0 / window_s) / window_s).sqrt();
            if fast > slow + Self::SURGE_DEVIATIONS * deviation {
                let keys = holding.range.indices();
                loads.per_s[keys.clone()].copy_from_slice(&self.fast.per_s[keys]);
            }
        }
        loads
    }
}

/// Time that a decaying count amounts to: the variance of a load is the load over this time.
fn window_s(kept: f32, per_s: f64) -> f64 {
    2.0 / f64::from(1.0 - kept) / per_s
}

impl KeyLoads {
    /// Standard deviation, as a share, of a load of this size by chance alone.
    pub fn deviation(&self, load_per_s: f64) -> f64 {
        (1.0 / (load_per_s.max(0.1) * self.window_s)).sqrt()
    }

    /// Lets the past count less: `kept` is the share that remains.
    fn decay(&mut self, kept: f32) {
        for load in &mut self.per_s {
            *load = if *load < 0.001 { 0.0 } else { *load * kept };
        }
    }

    /// Adds load of a key.
    pub fn add(&mut self, key: u16, per_s: f32) {
        self.per_s[usize::from(key)] += per_s;
    }

    /// Load of a range.
    pub fn of(&self, range: KeyRange) -> f64 {
        let keys = &self.per_s[range.indices()];
        keys.iter().map(|load| f64::from(*load)).sum()
    }

    /// Load of a key.
    pub fn key(&self, key: u16) -> f64 {
        f64::from(self.per_s[usize::from(key)])
    }
}
