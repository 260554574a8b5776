//! Measures the load of each key, which is its number of requests per second, as moving averages
//! over a long and a short time.

use crate::entry::keys::{AssignedRange, KeyRange};

/// Number of keys of every sharded service: a key is a 16-bit number.
pub const KEYS: usize = 1 << 16;

/// Loads of the keys of a service, in requests per second, averaged over time.
#[derive(Clone, Debug)]
pub struct KeyLoads {
    per_s: Vec<f32>,
    /// Effective averaging time of the loads, in seconds, from which their random variation is
    /// computed; infinite if the loads are exact.
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

/// Long-term and short-term averages of the requests for each key. The short-term averages detect
/// surges; the long-term averages vary less at random. Requests are counted in intervals, one for
/// each round of the planner.
#[derive(Clone, Debug, Default)]
pub struct KeyCounts {
    slow: KeyLoads,
    fast: KeyLoads,
}

impl KeyCounts {
    /// Fraction of the long-term average that is kept from one interval to the next. At ten
    /// intervals per second, the half-life is 2.7 s.
    const SLOW_KEPT: f32 = 0.975;
    /// Fraction of the short-term average that is kept from one interval to the next. At ten
    /// intervals per second, the half-life is 0.3 s.
    const FAST_KEPT: f32 = 0.8;
    /// Number of standard deviations by which an assigned range's short-term load must exceed its
    /// long-term load to count as a surge.
    const SURGE_DEVIATIONS: f64 = 4.0;

    /// Begins a new interval: reduces the weight of all requests of earlier intervals.
    pub fn decay(&mut self) {
        self.slow.decay(Self::SLOW_KEPT);
        self.fast.decay(Self::FAST_KEPT);
    }

    /// Adds the requests for a key that arrived in one interval; `per_s` is the number of intervals
    /// per second.
    pub fn add(&mut self, key: u16, requests: u16, per_s: f32) {
        // A request adds the fraction `1 - KEPT` of this rate in the interval of its arrival, and
        // `KEPT` times the previous fraction in each later interval. All these fractions add up to
        // 1.
        let rate = f32::from(requests) * per_s;
        self.slow.add(key, rate * (1.0 - Self::SLOW_KEPT));
        self.fast.add(key, rate * (1.0 - Self::FAST_KEPT));
    }

    /// Returns the loads on which a plan is based. These are the long-term averages, except for the
    /// keys of assigned ranges whose load has risen by more than random variation explains: for
    /// these keys, the short-term averages are returned. `per_s` is the number of intervals per
    /// second.
    pub fn loads(&self, assigned_ranges: &[AssignedRange], per_s: f64) -> KeyLoads {
        let window_s = window_s(Self::FAST_KEPT, per_s);
        let mut loads = self.slow.clone();
        loads.window_s = self::window_s(Self::SLOW_KEPT, per_s);
        for assigned_range in assigned_ranges {
            let (slow, fast) = (
                self.slow.of(assigned_range.range),
                self.fast.of(assigned_range.range),
            );
            // Standard deviation of the long-term load, in requests per second.
            let deviation = (slow.max(1.0 / window_s) / window_s).sqrt();
            if fast > slow + Self::SURGE_DEVIATIONS * deviation {
                let keys = assigned_range.range.indices();
                loads.per_s[keys.clone()].copy_from_slice(&self.fast.per_s[keys]);
            }
        }
        loads
    }
}

/// Returns the effective averaging time, in seconds, of a moving average that keeps the fraction
/// `kept` from one interval to the next; `per_s` is the number of intervals per second. The
/// variance of a load is the load divided by this time.
fn window_s(kept: f32, per_s: f64) -> f64 {
    2.0 / f64::from(1.0 - kept) / per_s
}

impl KeyLoads {
    /// Returns the standard deviation that random arrivals alone cause in a measured load of
    /// `load_per_s`, as a fraction of that load.
    pub fn relative_deviation(&self, load_per_s: f64) -> f64 {
        (1.0 / (load_per_s.max(0.1) * self.window_s)).sqrt()
    }

    /// Reduces the weight of earlier requests in all loads; `kept` is the fraction of each load
    /// that remains.
    fn decay(&mut self, kept: f32) {
        for load in &mut self.per_s {
            *load = if *load < 0.001 { 0.0 } else { *load * kept };
        }
    }

    /// Adds `per_s` requests per second to the load of a key.
    pub fn add(&mut self, key: u16, per_s: f32) {
        self.per_s[usize::from(key)] += per_s;
    }

    /// Returns the summed load of a range's keys, in requests per second.
    pub fn of(&self, range: KeyRange) -> f64 {
        let keys = &self.per_s[range.indices()];
        keys.iter().map(|load| f64::from(*load)).sum()
    }

    /// Returns the load of a key, in requests per second; 0 if the key has had no requests.
    pub fn key(&self, key: u16) -> f64 {
        f64::from(self.per_s[usize::from(key)])
    }
}
