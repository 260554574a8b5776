//! Decides whether a service is short of capacity. Handles a service whose servers together get more
//! requests than they can run: refused callers that retry after one run are refused again, and a
//! late response takes the place of a timely one.

use super::Policy;

/// Shortest time between two sums over the servers of a service, in milliseconds. Other hosts report
/// their loads at this interval; a sum over hundreds of servers for each request would cost a slow
/// host a notable part of its processor.
const SUM_EVERY_MS: u64 = 100;
/// Largest load of a server that is counted, as a multiple of its slots, so that a few servers with
/// hot keys do not make the whole service appear to be short. Servers queue about as many requests.
const COUNTED_LOAD_FACTOR_MAX: u32 = 4;
/// Smallest part of the time that callers honour after which they are told to retry. An earlier
/// retry would find the service still short, and callers retry only twice.
const HONOURED_SHARE_MIN: f64 = 0.5;

/// Requests and slots of the servers of a service that get new work, as one host knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceLoad {
    /// Number of requests in flight, for each server at most four times its slots.
    pub in_flight: u64,
    /// Number of slots.
    pub slots: u64,
}

impl ServiceLoad {
    /// Adds a server with `in_flight` requests of all hosts.
    pub fn add(&mut self, slots: u32, in_flight: u32) {
        self.in_flight += u64::from(in_flight.min(slots.saturating_mul(COUNTED_LOAD_FACTOR_MAX)));
        self.slots += u64::from(slots);
    }
}

/// Begin or end of a shortage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShortageChange {
    /// The requests in flight exceed `policy.shortage_begin` times the slots.
    Begin,
    /// The requests in flight are below `policy.shortage_end` times the slots, or no server gets new
    /// work.
    End,
}

/// Whether one service is short of capacity, as one host knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shortage {
    is_short: bool,
    /// Time from which the sum over the servers is due, in milliseconds.
    next_sum_ms: u64,
}

impl Shortage {
    /// Returns true if the service is short of capacity.
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// Returns true if the sum over the servers of the service is due, at most every 100 ms. The
    /// caller then passes the sum to [`Self::update`].
    pub fn take_due(&mut self, now_ms: u64) -> bool {
        if now_ms < self.next_sum_ms {
            return false;
        }
        self.next_sum_ms = now_ms + SUM_EVERY_MS;
        true
    }

    /// Applies a sum over the servers and returns the change, if any. Between the two thresholds
    /// the state stays as it is.
    pub fn update(&mut self, load: ServiceLoad, policy: &Policy) -> Option<ShortageChange> {
        let (in_flight, slots) = (load.in_flight as f64, load.slots as f64);
        let change = if self.is_short {
            let ends = load.slots == 0 || in_flight < slots * policy.shortage_end;
            ends.then_some(ShortageChange::End)
        } else {
            (in_flight > slots * policy.shortage_begin).then_some(ShortageChange::Begin)
        }?;
        self.is_short = change == ShortageChange::Begin;
        Some(change)
    }
}

/// Returns the time after which a caller should retry who is refused because of a queue while the
/// service is short, in milliseconds: between half and all of the time that the caller honours.
/// `random` is uniform from 0 to 1.
pub fn retry_after_ms(honoured_ms: u64, random: f64) -> u64 {
    let share = HONOURED_SHARE_MIN + (1.0 - HONOURED_SHARE_MIN) * random;
    (honoured_ms as f64 * share) as u64
}

/// Returns the thresholds for the admission of requests that are not urgent while the service is
/// short: a queue must leave a reserve to the objective, because the reported loads are too low
/// while the load grows, and late requests do not queue. Free slots still admit all requests.
pub fn admission_policy(policy: &Policy) -> Policy {
    Policy {
        queue_share: policy.queue_share.min(policy.shortage_queue_share),
        late_may_queue: false,
        ..*policy
    }
}
