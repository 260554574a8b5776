//! Rate limits that servers advertise in their responses. A rate limit is the number of requests
//! per second that a server accepts from all hosts together, for as long as the server advertises
//! it.

/// Bounds of the rate of probe requests, in requests per second, that all hosts together may send
/// to a server with a rate limit. Probe requests are sent even if the limit is 0, so that hosts
/// notice the end of the limit. The probe rate doubles after each [`PROBE_AFTER_MS`] without a new
/// advertisement, from the minimum up to the maximum, which stays within the users' requirements
/// for any limit.
const PROBE_MIN_PER_S: f64 = 0.25;
const PROBE_MAX_PER_S: f64 = 1.0;
/// Time, in milliseconds, for which hosts announce to each other that the limit of a server has
/// ended.
const END_ANNOUNCED_MS: u64 = 5_000;
/// Time, in milliseconds, without an advertisement of a server's limit after which hosts send the
/// server a request that it can run, even if another server suits the request better. Otherwise a
/// server that is never chosen would keep its limit forever.
const PROBE_AFTER_MS: u64 = 2_000;
/// Time, in milliseconds, without an advertisement of a server's limit after which the planner
/// assumes a higher limit.
const PLAN_PROBE_AFTER_MS: u64 = 10_000;
/// Minimum change of a limit that is logged, as a fraction of the limit that was last logged.
/// Smaller variations would fill the log.
const CHANGE_LOGGED: f64 = 0.1;

/// Rate limit, or absence of a rate limit, that a server advertised in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
    /// Requests per second that the server accepts from all hosts together; `None` if the server
    /// has no limit.
    pub per_s: Option<f64>,
    /// Arrival time of the response, by the clock of the host that stores this value.
    pub at_ms: u64,
}

/// Rate limit of a server for all hosts together, as last advertised.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    /// Latest advertisement to any host; `None` before the first.
    latest: Option<AdvertisedLimit>,
    /// Latest advertisement to this host; `None` before the first.
    own: Option<AdvertisedLimit>,
    /// Time at which the server first advertised that its limit has ended. For a server that gets
    /// few requests, this may be long after the last advertisement of the limit.
    ended_ms: Option<u64>,
    /// Limit that was last logged; `None` if there was none. A later limit is logged if it differs
    /// from this limit by more than the fraction [`CHANGE_LOGGED`].
    logged_per_s: Option<f64>,
}

impl RateLimit {
    /// Records an advertisement to this host. This host reports such advertisements to the leader.
    pub fn note_own(&mut self, advertised: AdvertisedLimit) {
        self.own = Some(advertised);
        self.note(advertised);
    }

    /// Records an advertisement to any host; the advertisement is ignored if a later one is known.
    pub fn note(&mut self, advertised: AdvertisedLimit) {
        if self
            .latest
            .is_some_and(|latest| advertised.at_ms < latest.at_ms)
        {
            return;
        }
        if advertised.per_s.is_none() && self.per_s().is_some() {
            self.ended_ms = Some(advertised.at_ms);
        }
        self.latest = Some(advertised);
    }

    /// Returns the last advertised limit, in requests per second; `None` if the server has no
    /// limit.
    pub fn per_s(&self) -> Option<f64> {
        self.latest?.per_s
    }

    /// Returns true if the latest advertisement is so old that a probe request is due.
    pub fn is_stale(&self, now_ms: u64) -> bool {
        let latest = self.latest;
        latest.is_some_and(|advertised| now_ms >= advertised.at_ms + PROBE_AFTER_MS)
    }

    /// Returns the rate, in requests per second, that all hosts together may send to the server:
    /// the limit, or the rate of probe requests if that rate is higher than the limit. `None` if
    /// the server has no limit.
    pub fn shared_per_s(&self, now_ms: u64) -> Option<f64> {
        let latest = self.latest?;
        let silent_ms = now_ms.saturating_sub(latest.at_ms);
        let doubled = (silent_ms / PROBE_AFTER_MS) as f64;
        let probe_per_s = (PROBE_MIN_PER_S * doubled.exp2()).min(PROBE_MAX_PER_S);
        Some(latest.per_s?.max(probe_per_s))
    }

    /// Returns the limit that the planner assumes for the server, in requests per second; `None` if
    /// there is no limit. A server without a recent advertisement may be assigned no keys, so that
    /// it gets no requests whose responses could advertise a new limit. Therefore the assumed limit
    /// doubles after each [`PLAN_PROBE_AFTER_MS`].
    pub fn planned_per_s(&self, now_ms: u64) -> Option<f64> {
        let latest = self.latest?;
        let silent_ms = now_ms.saturating_sub(latest.at_ms);
        let doubled = (silent_ms / PLAN_PROBE_AFTER_MS).min(32);
        let probe_per_s = latest.per_s?.max(PROBE_MIN_PER_S);
        Some(probe_per_s * (1u64 << doubled) as f64)
    }

    /// Returns true if this host should report the advertisements of the server to the leader or,
    /// as the leader, announce the latest advertisement to all hosts: the server has a limit, or
    /// its limit ended less than [`END_ANNOUNCED_MS`] ago.
    pub fn should_announce(&self, now_ms: u64) -> bool {
        let is_fresh = |ended_ms| now_ms < ended_ms + END_ANNOUNCED_MS;
        self.per_s().is_some() || self.ended_ms.is_some_and(is_fresh)
    }

    /// Returns the latest advertisement to any host; `None` before the first.
    pub fn latest(&self) -> Option<AdvertisedLimit> {
        self.latest
    }

    /// Returns the latest advertisement to this host. A host reports only these advertisements to
    /// the leader: if hosts also reported advertisements that they learned from the leader, the
    /// reports would circulate among the hosts, each time with a slightly later time, and outlive
    /// the limit.
    pub fn own(&self) -> Option<AdvertisedLimit> {
        self.own
    }

    /// Returns true if the limit has begun, ended or changed by more than the fraction
    /// [`CHANGE_LOGGED`] since the last call that returned true, so that the caller logs each
    /// change once.
    pub fn take_change(&mut self) -> bool {
        let per_s = self.per_s();
        let is_new = match (self.logged_per_s, per_s) {
            (Some(logged), Some(per_s)) => (per_s - logged).abs() > logged * CHANGE_LOGGED,
            (logged, per_s) => logged != per_s,
        };
        if is_new {
            self.logged_per_s = per_s;
        }
        is_new
    }
}
