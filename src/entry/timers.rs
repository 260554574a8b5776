//! Measures how late the timers of this host fire. Late timers show that the host's thread was busy
//! or got no processor time, so that all its reactions were delayed.

use std::{sync::Arc, time::Duration};

use tokio::time;

use super::{Entry, events::Event};
use crate::clock;

/// Interval at which the lateness of a timer is measured.
const MEASURE_EVERY_MS: u64 = 250;
/// Lateness from which a timer is logged: the allowance for late timers in the timeouts that are
/// derived from the bounds in the settings.
const LOGGED_MS: u64 = super::limits::LATE_MS;

impl Entry {
    /// Periodically measures the lateness of a timer, and logs timers that fire late.
    pub(super) async fn keep_measuring_timers(self: Arc<Self>) {
        loop {
            let due_ms = clock::now_ms() + MEASURE_EVERY_MS;
            time::sleep(Duration::from_millis(MEASURE_EVERY_MS)).await;
            let late_ms = clock::now_ms().saturating_sub(due_ms);
            self.metrics.timer_fired(late_ms);
            if late_ms >= LOGGED_MS {
                Event::TimerLate { late_ms }.log();
            }
        }
    }
}
