//! Servers that name a rate in their answers: the requests a second that they take from all hosts together, for as
//! long as they say so.

/// Least rate that is tried, so that the end of a rate of 0 is heard. It doubles with each [`PROBE_AFTER_MS`] without a word,
/// up to the most, which the users' bound leaves room for in any case.
const PROBE_MIN_PER_S: f64 = 0.25;
const PROBE_MAX_PER_S: f64 = 1.0;
/// Time for which the end of a limit is told.
const END_ANNOUNCED_MS: u64 = 5_000;
/// Time without a word after which a request that may go to the server does so, whichever other one would suit it better:
/// else a server that is chosen for nothing would keep its limit for good.
const PROBE_AFTER_MS: u64 = 2_000;
/// Time without a word after which the planner lets a server try more.
const PLAN_PROBE_AFTER_MS: u64 = 10_000;
/// Change of a rate that is worth a log line, as a share.
const CHANGE_LOGGED: f64 = 0.1;

/// What a server said of its rate, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdvertisedLimit {
    /// Requests a second from all hosts together; `None` if it takes any rate.
    pub per_s: Option<f64>,
    /// When its answer came, by this host's clock.
    pub at_ms: u64,
}

/// Rate that a server takes from all hosts together, by its latest word.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    /// Its latest word to any host.
    latest: Option<AdvertisedLimit>,
    /// Its latest word to this host.
    own: Option<AdvertisedLimit>,
    /// When it first took any rate again after it had named a limit. A server that gets little says so long after its last
    /// word of the limit.
    ended_ms: Option<u64>,
    /// What was logged last.
    logged_per_s: Option<f64>,
}

impl RateLimit {
    /// Takes in what the server said to this host.
    pub fn note_own(&mut self, advertised: AdvertisedLimit) {
        self.own = Some(advertised);
        self.note(advertised);
    }

    /// Takes in what the server said to any host; an earlier word than the latest one is no news.
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

    /// Requests a second that it takes; `None` if it takes any rate.
    pub fn per_s(&self) -> Option<f64> {
        self.latest?.per_s
    }

    /// True if nothing was heard of its limit for a while.
    pub fn is_stale(&self, now_ms: u64) -> bool {
        let latest = self.latest;
        latest.is_some_and(|advertised| now_ms >= advertised.at_ms + PROBE_AFTER_MS)
    }

    /// Requests a second that hosts share; `None` if it takes any rate.
    pub fn shared_per_s(&self, now_ms: u64) -> Option<f64> {
        let latest = self.latest?;
        let silent_ms = now_ms.saturating_sub(latest.at_ms);
        let doubled = (silent_ms / PROBE_AFTER_MS) as f64;
        let probe_per_s = (PROBE_MIN_PER_S * doubled.exp2()).min(PROBE_MAX_PER_S);
        Some(latest.per_s?.max(probe_per_s))
    }

    /// Requests a second that it takes, for the planner. A server without a word for long may have no keys that would bring one: what it is
    /// thought to take doubles with each further such time.
    pub fn planned_per_s(&self, now_ms: u64) -> Option<f64> {
        let latest = self.latest?;
        let silent_ms = now_ms.saturating_sub(latest.at_ms);
        let doubled = (silent_ms / PLAN_PROBE_AFTER_MS).min(32);
        let probe_per_s = latest.per_s?.max(PROBE_MIN_PER_S);
        Some(probe_per_s * (1u64 << doubled) as f64)
    }

    /// True if other hosts should hear of it: it names a limit, or has done so lately.
    pub fn should_announce(&self, now_ms: u64) -> bool {
        let is_fresh = |ended_ms| now_ms < ended_ms + END_ANNOUNCED_MS;
        self.per_s().is_some() || self.ended_ms.is_some_and(is_fresh)
    }

    /// Its latest word to any host.
    pub fn latest(&self) -> Option<AdvertisedLimit> {
        self.latest
    }

    /// Its latest word to this host, which is all that a host reports. A word that came from others would go round
    /// between the hosts, a little younger each time, and outlive the end of the limit.
    pub fn own(&self) -> Option<AdvertisedLimit> {
        self.own
    }

    /// True once for each change that is worth a log line.
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
