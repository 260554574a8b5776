//! Estimates how long ago the caller of a request made its first attempt. A retry is a new request
//! to a host, often to another one; only its deadline is shorter than the deadline of first
//! attempts, by the time that has passed since. Handles overload in which many callers retry, so
//! that a retry is not treated as if its caller had just begun to wait.

/// Time for which a window collects deadlines, in milliseconds. The estimate is based on the
/// current window and the previous one, so that it follows a change of the callers' waiting time.
const WINDOW_MS: u64 = 5_000;
/// Largest difference between deadlines that count as equal, in milliseconds. Callers subtract
/// their elapsed time in retries only; the tolerance allows for rounding.
const TOLERANCE_MS: u64 = 5;
/// Smallest deadline of first attempts, as a fraction of the largest, where callers of a route wait
/// for different times. A request with a smaller deadline is a retry for at least the difference.
const FIRST_DEADLINE_SHARE: f64 = 0.8;
/// Number of requests from which the evidence is used. With fewer, a few retries could be taken for
/// first attempts.
const REQUESTS_MIN: u32 = 20;
/// Fraction of the requests that must have the largest deadline for it to be taken for the deadline
/// of first attempts.
const LARGEST_SHARE_MIN: f64 = 0.5;
/// Fraction of the requests that must have that deadline later. Callers retry up to twice, so that
/// first attempts are at least a third of the requests while all callers are refused.
const KNOWN_SHARE_MIN: f64 = 0.3;

/// Deadlines of a route's requests in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Window {
    number: u64,
    requests: u32,
    /// Largest deadline. A deadline that exceeds it by at most [`TOLERANCE_MS`] counts as equal, so
    /// that a slowly growing series of deadlines does not count as one value.
    largest_ms: u64,
    /// Number of requests whose deadline equals the largest one.
    with_largest: u32,
    /// Number of requests whose deadline was at least [`FIRST_DEADLINE_SHARE`] of the largest one.
    near_largest: u32,
}

impl Window {
    fn note(&mut self, left_ms: u64) {
        self.requests = self.requests.saturating_add(1);
        if left_ms > self.largest_ms.saturating_add(TOLERANCE_MS) {
            if (self.largest_ms as f64) < left_ms as f64 * FIRST_DEADLINE_SHARE {
                self.near_largest = 0;
            }
            self.largest_ms = left_ms;
            self.with_largest = 0;
        }
        if left_ms.abs_diff(self.largest_ms) <= TOLERANCE_MS {
            self.with_largest = self.with_largest.saturating_add(1);
        }
        if left_ms as f64 >= self.largest_ms as f64 * FIRST_DEADLINE_SHARE {
            self.near_largest = self.near_largest.saturating_add(1);
        }
    }
}

/// Deadlines, as durations from the arrival, that the recent requests of a route stated.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DeadlineEvidence {
    current: Window,
    previous: Window,
    /// Deadline that was taken for the deadline of first attempts last; 0 if none was.
    known_ms: u64,
}

impl DeadlineEvidence {
    /// Records the deadline that a request stated, `left_ms` after its arrival at `now_ms`, and
    /// returns the age of the request in milliseconds: the largest deadline minus its own. If most
    /// requests do not have the largest deadline but one close to it, the age is the least that the
    /// request can have. It is 0 if deadlines differ more, or if there are few requests.
    pub fn age_ms(&mut self, left_ms: u64, now_ms: u64) -> u64 {
        self.advance(now_ms);
        self.current.note(left_ms);
        let Some(largest_ms) = self.first_attempt_ms() else {
            let smallest_ms = self.smallest_first_ms().unwrap_or(0);
            return smallest_ms.saturating_sub(left_ms);
        };
        match largest_ms.saturating_sub(left_ms) {
            difference_ms if difference_ms <= TOLERANCE_MS => 0,
            age_ms => age_ms,
        }
    }

    /// Returns true if first attempts state one deadline, so that ages are exact.
    pub fn is_exact(&self) -> bool {
        self.known_ms > 0
    }

    /// Returns true if the evidence is too old to be used at `now_ms`.
    pub fn is_outdated(&self, now_ms: u64) -> bool {
        self.current.number + 1 < now_ms / WINDOW_MS
    }

    fn advance(&mut self, now_ms: u64) {
        let number = now_ms / WINDOW_MS;
        // Requests are recorded when their body has arrived, so that their arrival times may be out
        // of order.
        if number <= self.current.number {
            return;
        }
        let is_outdated = self.is_outdated(now_ms);
        self.previous = self.current;
        if is_outdated {
            *self = Self::default();
        }
        self.current = Window {
            number,
            ..Window::default()
        };
    }

    /// Returns the deadline that first attempts state; `None` if the evidence is unclear.
    fn first_attempt_ms(&mut self) -> Option<u64> {
        let windows = [self.current, self.previous];
        let largest_ms = windows.map(|window| window.largest_ms).into_iter().max()?;
        let requests: u32 = windows.iter().map(|window| window.requests).sum();
        let equal = |window: &&Window| window.largest_ms.abs_diff(largest_ms) <= TOLERANCE_MS;
        let with_largest = windows.iter().filter(equal).map(|w| w.with_largest);
        let with_largest: u32 = with_largest.sum();
        let share_min = if largest_ms.abs_diff(self.known_ms) <= TOLERANCE_MS {
            KNOWN_SHARE_MIN
        } else {
            LARGEST_SHARE_MIN
        };
        let is_clear =
            requests >= REQUESTS_MIN && f64::from(with_largest) > f64::from(requests) * share_min;
        self.known_ms = if is_clear { largest_ms } else { 0 };
        is_clear.then_some(largest_ms)
    }

    /// Returns the smallest deadline that first attempts can state, if most requests state a deadline
    /// between that and the largest one.
    fn smallest_first_ms(&self) -> Option<u64> {
        let windows = [self.current, self.previous];
        let largest_ms = windows.map(|window| window.largest_ms).into_iter().max()?;
        let smallest_ms = largest_ms as f64 * FIRST_DEADLINE_SHARE;
        let requests: u32 = windows.iter().map(|window| window.requests).sum();
        let is_near = |window: &&Window| window.largest_ms as f64 >= smallest_ms;
        let near_largest: u32 = windows.iter().filter(is_near).map(|w| w.near_largest).sum();
        let is_clear = requests >= REQUESTS_MIN
            && f64::from(near_largest) > f64::from(requests) * LARGEST_SHARE_MIN;
        is_clear.then_some(smallest_ms as u64)
    }
}
