//! Schedules of this host for the retries of callers that were refused at contended services, by
//! server. The state is lost with the process; the schedules of a started host begin at random
//! times, so that no agreement between hosts is needed.

use std::{
    collections::HashMap,
    sync::{Mutex, PoisonError},
};

use super::decide::{
    retry_after::BlockedBy,
    retry_schedule::{RefusedCaller, RetrySchedule},
};

/// Number of schedules from which those without future places are dropped, and above which no
/// schedule is added. The number is that of the servers of the largest supported deployment.
const SCHEDULES_MAX: usize = 10_000;
/// Interval at which schedules without future places are dropped, in milliseconds. It exceeds the
/// longest retry time.
const PRUNE_EVERY_MS: u64 = 10_000;

/// Key of a schedule: server and cause. Causes have schedules of their own, because a lease blocks
/// some keys of a server for seconds while its queue drains in a fraction of a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct SchedulePlace {
    /// Tag of the server, or of the service if the server is not known.
    pub tag: u32,
    /// Cause that blocks the refused requests.
    pub blocked_by: BlockedBy,
}

/// Schedules by server and cause.
#[derive(Debug, Default)]
pub struct RetrySchedules(Mutex<Schedules>);

#[derive(Debug, Default)]
struct Schedules {
    by_place: HashMap<SchedulePlace, RetrySchedule>,
    pruned_ms: u64,
}

impl RetrySchedules {
    /// Returns the time after which a refused caller should retry, in milliseconds, and takes the
    /// place at the server. The random numbers are uniform from 0 to 1.
    pub fn retry_after_ms(
        &self,
        place: SchedulePlace,
        caller: RefusedCaller,
        interval_ms: f64,
        random: [f64; 2],
    ) -> u64 {
        let mut schedules = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let now_ms = caller.now_ms;
        if now_ms >= schedules.pruned_ms + PRUNE_EVERY_MS {
            schedules.by_place.retain(|_, known| !known.is_idle(now_ms));
            schedules.pruned_ms = now_ms;
        }
        let mut schedule = schedules.by_place.get(&place).copied().unwrap_or_default();
        let after_ms = schedule.retry_after_ms(caller, interval_ms, random);
        let has_space = schedules.by_place.len() < SCHEDULES_MAX;
        if !schedule.is_idle(now_ms) && (has_space || schedules.by_place.contains_key(&place)) {
            schedules.by_place.insert(place, schedule);
        }
        after_ms
    }
}
