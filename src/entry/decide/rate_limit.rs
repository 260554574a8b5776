//! Servers that name a rate in their answers: the requests a second that they take from all hosts together, for as
//! long as they say so.
//!
//! A host's part of a rate follows what its callers ask for, as a share of what the callers of all hosts ask for,
//! which the holder of the duty adds up. Equal parts would waste what a quiet host does not use; parts lent by the holder
//! would need a way back when it is lost. While no sum is heard, parts are equal.
//!
//! A request needs two things, since neither bounds what is sent by itself. A ticket, drawn for each request, bounds the
//! sum over all hosts by what is asked for, however many they are, but follows a surge only as the sum does, a second
//! later. A token of a [`Bucket`] holds back a surge at each host; but buckets are full after a quiet time, and those
//! of hundreds of hosts hold more than the rate.

use std::{collections::HashMap, net::SocketAddr};

use super::rate_meter::RateMeter;

/// Share of a rate that buckets hand out: more than tickets are drawn for, so that chance does not empty them.
const BUCKET_SHARE: f64 = 1.1;
/// Share of a rate that tickets are drawn for. The rest is for chance: a sum that is too low draws too many.
const TICKET_SHARE: f64 = 0.85;
/// Tokens of a full bucket: this many, and what comes in within a time.
const BURST_TOKENS: f64 = 2.0;
const BURST_S: f64 = 0.4;
/// Least rate that is tried, so that the end of a rate of 0 is heard.
const TRIED_PER_S: f64 = 0.25;
/// Time for which a sum of what all callers ask for counts.
const SUM_KEPT_MS: u64 = 2_000;
/// Time for which what a host reported counts in a sum.
const REPORT_KEPT_MS: u64 = 2_000;
/// Time for which the end of a limit is told.
const END_TOLD_MS: u64 = 5_000;
/// Time without a word after which the planner lets a server try more.
const UNHEARD_MS: u64 = 10_000;
/// Change of a rate that is worth a log line, as a share.
const CHANGE_LOGGED: f64 = 0.1;

/// What a server said of its rate, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitWord {
    /// Requests a second from all hosts together; `None` if it takes any rate.
    pub per_s: Option<f64>,
    /// When its answer came, by this host's clock.
    pub at_ms: u64,
}

/// Rate that a server takes from all hosts together, by its latest word.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    latest: Option<LimitWord>,
    /// When it last named a limit.
    limited_ms: Option<u64>,
    /// What was logged last.
    logged_per_s: Option<f64>,
}

impl RateLimit {
    /// Takes in what the server said; an earlier word than the latest one is no news.
    pub fn note(&mut self, word: LimitWord) {
        if self.latest.is_some_and(|latest| word.at_ms < latest.at_ms) {
            return;
        }
        self.latest = Some(word);
        if word.per_s.is_some() {
            self.limited_ms = Some(word.at_ms);
        }
    }

    /// Requests a second that it takes; `None` if it takes any rate.
    pub fn per_s(&self) -> Option<f64> {
        self.latest?.per_s
    }

    /// The same for the planner. A server without a word for long may have no keys that would bring one: what it is
    /// thought to take doubles with each further such time.
    pub fn planned_per_s(&self, now_ms: u64) -> Option<f64> {
        let latest = self.latest?;
        let silent_ms = now_ms.saturating_sub(latest.at_ms);
        let doubled = (silent_ms / UNHEARD_MS).min(32);
        let tried_per_s = latest.per_s?.max(TRIED_PER_S);
        Some(tried_per_s * (1u64 << doubled) as f64)
    }

    /// The latest word, if other hosts should hear it: it names a limit, or the end of one.
    pub fn news(&self, now_ms: u64) -> Option<LimitWord> {
        let is_fresh = now_ms < self.limited_ms? + END_TOLD_MS;
        self.latest.filter(|word| word.per_s.is_some() || is_fresh)
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

/// Tokens for requests, which come in at a rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    tokens: f64,
    /// When tokens came in last; `None` before the first request.
    at_ms: Option<u64>,
}

impl Bucket {
    /// True if there is a token, which [`Bucket::take`] would use. A new bucket is full.
    pub fn has_token(&mut self, per_s: f64, now_ms: u64) -> bool {
        let most = BURST_TOKENS + BURST_S * per_s;
        let came_in = match self.at_ms.replace(now_ms) {
            Some(at_ms) => per_s * now_ms.saturating_sub(at_ms) as f64 / 1_000.0,
            None => most,
        };
        self.tokens = (self.tokens + came_in).min(most);
        self.tokens >= 1.0
    }

    /// Uses a token.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// A host's part of a rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Rate of its bucket.
    pub bucket_per_s: f64,
    /// Probability of a ticket.
    pub ticket: f64,
}

/// What is asked of a server: requests that only it may serve, or for a service of which it is one.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asked {
    /// By this host's callers.
    own: RateMeter,
    /// The same as it was reported last.
    reported_per_s: f64,
    /// By the callers of all hosts, as the holder of the duty summed it up, and when.
    all: Option<(f64, u64)>,
}

impl Asked {
    /// Counts a request.
    pub fn note(&mut self, now_ms: u64) {
        self.own.note(now_ms);
    }

    /// What this host's callers ask for a second, to be reported now.
    pub fn report_per_s(&mut self, now_ms: u64) -> f64 {
        self.reported_per_s = self.own.per_s(now_ms);
        self.reported_per_s
    }

    /// Notes what the callers of all hosts ask for a second.
    pub fn note_all(&mut self, per_s: f64, now_ms: u64) {
        self.all = Some((per_s, now_ms));
    }

    /// The part of a host that shares a rate with `hosts`, itself included.
    pub fn part(&self, limit_per_s: f64, hosts: usize, now_ms: u64) -> Part {
        let own_per_s = self.own.per_s(now_ms);
        let heard = self.all.filter(|(_, at_ms)| now_ms < at_ms + SUM_KEPT_MS);
        let all_per_s = match heard {
            // A rise of the own callers is not in the sum yet.
            Some((per_s, _)) => per_s + (own_per_s - self.reported_per_s).max(0.0),
            None => own_per_s * hosts.max(1) as f64,
        };
        let all_per_s = all_per_s.max(own_per_s).max(f64::MIN_POSITIVE);
        let limit_per_s = limit_per_s.max(TRIED_PER_S);
        Part {
            bucket_per_s: limit_per_s * BUCKET_SHARE * own_per_s / all_per_s,
            ticket: limit_per_s * TICKET_SHARE / all_per_s,
        }
    }
}

/// True if a request that drew `point` from 0 to 1 has a ticket of a server. `before` is what the tickets of the
/// servers before it add up to: where all servers are limited, one request has one ticket as far as they suffice.
pub fn has_ticket(point: f64, before: f64, ticket: f64) -> bool {
    (point - before).rem_euclid(1.0) < ticket
}

/// What hosts reported that their callers ask of servers, as the holder of the duty knows it.
#[derive(Debug, Default)]
pub struct AskedByHost(HashMap<u32, HashMap<SocketAddr, (f64, u64)>>);

impl AskedByHost {
    /// Notes what the callers of a host ask a second of a server, by its short name.
    pub fn note(&mut self, server_tag: u32, host: SocketAddr, per_s: f64, now_ms: u64) {
        let hosts = self.0.entry(server_tag).or_default();
        hosts.insert(host, (per_s, now_ms));
    }

    /// What the callers of all hosts ask a second of a server. A host that is not heard any more counts for a while.
    pub fn sum_per_s(&mut self, server_tag: u32, now_ms: u64) -> f64 {
        let Some(hosts) = self.0.get_mut(&server_tag) else {
            return 0.0;
        };
        hosts.retain(|_, (_, at_ms)| now_ms < *at_ms + REPORT_KEPT_MS);
        hosts.values().map(|(per_s, _)| per_s).sum()
    }

    /// Forgets servers that name no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(u32) -> bool) {
        self.0.retain(|server_tag, _| is_limited(*server_tag));
    }
}
