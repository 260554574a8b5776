//! Schedules the retries of refused callers. Handles a lease or a move that blocks the keys of a
//! server, and an overload: callers that are all told to retry at the end of the blocking cause
//! would overload the server again at that moment.

use super::retry_after::RETRY_AFTER_MAX_MS;

/// Part of the time that callers honour, counted from its end, in which a caller without a place
/// retries at a random time.
const LAST_SHARE: f64 = 0.25;
/// Divisor of a caller's remaining waiting time: callers honour a retry time of up to a third.
const HONOURED_DIVISOR: u64 = 3;
/// Time, in milliseconds, by which retry times are shorter than what callers honour. It covers the
/// transmission to the caller, which has less time left when it reads the response, and the
/// rounding of `Retry-After` to 10 ms.
const HONOURED_MARGIN_MS: u64 = 25;
/// Largest retry time for a cause whose end is not known, as a multiple of the smallest. Places
/// from the schedule would bring callers back so late that they displace timely requests.
const UNKNOWN_FACTOR: f64 = 5.0;

/// Returns the longest retry time, in milliseconds, that a caller honours who waits for another
/// `left_ms`.
pub fn honoured_ms(left_ms: u64) -> u64 {
    (left_ms / HONOURED_DIVISOR).saturating_sub(HONOURED_MARGIN_MS)
}

/// Returns the interval between the places that one of `hosts` hosts gives at a server that serves
/// `capacity_per_s` requests per second.
pub fn interval_ms(capacity_per_s: f64, hosts: usize) -> f64 {
    1000.0 * hosts.max(1) as f64 / capacity_per_s.max(0.001)
}

/// Returns a retry time, in milliseconds, for a cause whose end is not known: at random between
/// `least_ms` and five times that time. `random` is uniform from 0 to 1.
pub fn unknown_ms(least_ms: u64, honoured_ms: u64, random: f64) -> u64 {
    let factor = 1.0 + (UNKNOWN_FACTOR - 1.0) * random;
    ((least_ms as f64 * factor) as u64).min(honoured_ms)
}

/// Refused caller that needs a retry time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RefusedCaller {
    /// Time of the refusal, in milliseconds.
    pub now_ms: u64,
    /// Expected time until the blocking cause ends, in milliseconds.
    pub blocked_ms: u64,
    /// Longest retry time that the caller honours, in milliseconds.
    pub honoured_ms: u64,
    /// True if the request is urgent.
    pub is_urgent: bool,
}

/// Times from which one host has free places for retries at one server. Places that have passed
/// need no record, whether or not their callers returned.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetrySchedule {
    urgent_free_ms: f64,
    /// Places for other requests follow those that urgent requests have taken.
    others_free_ms: f64,
}

impl RetrySchedule {
    /// Returns the time after which the caller should retry, in milliseconds, and takes the place.
    /// Without a place within the time that the caller honours, the retry time is in the last
    /// quarter of that time. The random numbers are uniform from 0 to 1; the first selects the time
    /// of the first place, the second a time without a place.
    pub fn retry_after_ms(
        &mut self,
        caller: RefusedCaller,
        interval_ms: f64,
        [first, spread]: [f64; 2],
    ) -> u64 {
        let now_ms = caller.now_ms as f64;
        self.limit(now_ms, interval_ms);
        let honoured_ms = caller.honoured_ms as f64;
        let begin_ms = now_ms + caller.blocked_ms as f64;
        let free_ms = if caller.is_urgent {
            self.urgent_free_ms
        } else {
            self.others_free_ms
        };
        // The first place is at a random time within the interval, since all hosts expect the
        // blocking cause to end at the same moment.
        let place_ms = if free_ms < begin_ms {
            begin_ms + interval_ms * first
        } else {
            free_ms
        };
        if place_ms > now_ms + honoured_ms {
            return (honoured_ms * (1.0 - LAST_SHARE * spread)) as u64;
        }
        let next_ms = place_ms + interval_ms;
        if caller.is_urgent {
            self.urgent_free_ms = next_ms;
            self.others_free_ms = next_ms.max(self.others_free_ms + interval_ms);
        } else {
            self.others_free_ms = next_ms;
        }
        (place_ms - now_ms) as u64
    }

    /// Moves free times to at most twice the sum of the longest retry time and the interval from
    /// now. Later ones stem from a longer interval, as a host has that does not know the number of
    /// hosts yet; they would leave all callers without a place for many minutes.
    fn limit(&mut self, now_ms: f64, interval_ms: f64) {
        let latest_ms = now_ms + 2.0 * (RETRY_AFTER_MAX_MS as f64 + interval_ms);
        self.urgent_free_ms = self.urgent_free_ms.min(latest_ms);
        self.others_free_ms = self.others_free_ms.min(latest_ms);
    }

    /// Returns true if all places that were given have passed.
    pub fn is_idle(&self, now_ms: u64) -> bool {
        self.urgent_free_ms.max(self.others_free_ms) <= now_ms as f64
    }
}
