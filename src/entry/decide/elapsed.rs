//! How long ago a caller made its first attempt. Callers say only how long they will still wait;
//! most of them begin with the same time, which is learnt by route. One that has less has been here,
//! or at another host, before.

use std::collections::HashMap;

/// Deadlines that are counted by route. One that a tenth of the callers name is never lost.
const COUNTERS: usize = 10;
/// Callers after which the counts are halved, so that another deadline is learnt.
const CALLERS_MAX: u32 = 2_000;
/// Callers with the same deadline before it is believed.
const CALLERS_MIN: u32 = 5;

/// Most frequent deadlines of one route's callers (Misra and Gries).
#[derive(Clone, Debug, Default)]
pub struct Deadlines {
    counts: HashMap<u64, u32>,
    callers: u32,
}

impl Deadlines {
    /// Notes a caller's deadline.
    pub fn note(&mut self, deadline_ms: u64) {
        self.callers += 1;
        if let Some(count) = self.counts.get_mut(&deadline_ms) {
            *count += 1;
        } else if self.counts.len() < COUNTERS {
            self.counts.insert(deadline_ms, 1);
        } else {
            self.thin(|count| count - 1);
        }
        if self.callers >= CALLERS_MAX {
            self.callers /= 2;
            self.thin(|count| count / 2);
        }
    }

    /// Time since the first attempt of a caller with this deadline.
    pub fn elapsed_ms(&self, deadline_ms: u64) -> u64 {
        let usual = self.counts.iter().max_by_key(|(_, count)| **count);
        let Some((usual_ms, _)) = usual.filter(|(_, count)| **count >= CALLERS_MIN) else {
            return 0;
        };
        usual_ms.saturating_sub(deadline_ms)
    }

    fn thin(&mut self, change: impl Fn(u32) -> u32) {
        self.counts.retain(|_, count| {
            *count = change(*count);
            *count > 0
        });
    }
}
