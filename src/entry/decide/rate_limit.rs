//! Rate limits that servers advertise in their responses: the requests per second that a server
//! accepts from all hosts together, for as long as it advertises the limit.

/// Minimum rate at which a limited server gets probe requests, so that the end of a limit of 0 is
/// noticed. The probe rate doubles after each [`PROBE_AFTER_MS`] without a new advertisement, up to
/// the maximum, which stays within the users' requirements for any limit.
const PROBE_MIN_PER_S: f64 = 0.25;
const PROBE_MAX_PER_S: f64 = 1.0;
/// Time for which hosts continue to announce that a limit has ended, so that the others learn of
/// it.
const END_ANNOUNCED_MS: u64 = 5_000;
/// Time without an advertisement after which a request that may go to the server is sent there,
/// even if another server suits it better: otherwise a server that is never chosen would keep its
/// limit forever.
const PROBE_AFTER_MS: u64 = 2_000;
/// Time without an advertisement after which the planner assumes a higher limit.
const PLAN_PROBE_AFTER_MS: u64 = 10_000;
/// Minimum relative change of a limit that is logged, so that small variations do not fill the
/// log.
const CHANGE_LOGGED: f64 = 0.1;

/// Rate limit that a server advertised in a response, with the time of the response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
    /// Requests per second from all hosts together; `None` if there is no limit.
    pub per_s: Option<f64>,
    /// Arrival time of the response, by this host's clock.
    pub at_ms: u64,
}

/// Rate limit of a server for all hosts together, as last advertised.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    /// Latest advertisement to any host.
    latest: Option<AdvertisedLimit>,
    /// Latest advertisement to this host.
    own: Option<AdvertisedLimit>,
    /// Time at which the server first advertised the end of its limit. A server that gets few
    /// requests may do so long after it last advertised the limit.
    ended_ms: Option<u64>,
    /// Limit that was last logged, with which [`CHANGE_LOGGED`] is compared.
    logged_per_s: Option<f64>,
}

impl RateLimit {
    /// Records an advertisement to this host, which this host reports to the others.
    pub fn note_own(&mut self, advertised: AdvertisedLimit) {
        self.own = Some(advertised);
        self.note(advertised);
    }

    /// Records an advertisement to any host; ignored if a later one is known.
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

    /// Returns the last advertised limit, in requests per second; `None` if there is none.
    pub fn per_s(&self) -> Option<f64> {
        self.latest?.per_s
    }

    /// Returns true if the latest advertisement is so old that a probe request is due.
    pub fn is_stale(&self, now_ms: u64) -> bool {
        let latest = self.latest;
        latest.is_some_and(|advertised| now_ms >= advertised.at_ms + PROBE_AFTER_MS)
    }

    /// Returns the rate that hosts share, in requests per second, including probes; `None` if there
    /// is no limit.
    pub fn shared_per_s(&self, now_ms: u64) -> Option<f64> {
        let latest = self.latest?;
        let silent_ms = now_ms.saturating_sub(latest.at_ms);
        let doubled = (silent_ms / PROBE_AFTER_MS) as f64;
        let probe_per_s = (PROBE_MIN_PER_S * doubled.exp2()).min(PROBE_MAX_PER_S);
        Some(latest.per_s?.max(probe_per_s))
    }

    /// Returns the limit that the planner assumes, in requests per second. A server without a
    /// recent advertisement may hold no keys whose requests would bring one, so the assumed limit
    /// doubles after each [`PLAN_PROBE_AFTER_MS`].
    pub fn planned_per_s(&self, now_ms: u64) -> Option<f64> {
        let latest = self.latest?;
        let silent_ms = now_ms.saturating_sub(latest.at_ms);
        let doubled = (silent_ms / PLAN_PROBE_AFTER_MS).min(32);
        let probe_per_s = latest.per_s?.max(PROBE_MIN_PER_S);
        Some(probe_per_s * (1u64 << doubled) as f64)
    }

    /// Returns true if other hosts should be informed: the server has a limit, or its limit ended
    /// recently.
    pub fn should_announce(&self, now_ms: u64) -> bool {
        let is_fresh = |ended_ms| now_ms < ended_ms + END_ANNOUNCED_MS;
        self.per_s().is_some() || self.ended_ms.is_some_and(is_fresh)
    }

    /// Returns the latest advertisement to any host; `None` before the first.
    pub fn latest(&self) -> Option<AdvertisedLimit> {
        self.latest
    }

    /// Returns the latest advertisement to this host, the only one that it reports to others.
    /// Reports of other hosts' advertisements would circulate among the hosts, each time with a
    /// slightly later time, and outlive the limit.
    pub fn own(&self) -> Option<AdvertisedLimit> {
        self.own
    }

    /// Returns true once for each change that is logged: the limit began, ended or changed by more
    /// than the share [`CHANGE_LOGGED`].
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
