//! Parts of hosts in a rate that a server takes from all of them together.
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

use serde::{Deserialize, Serialize};

use super::rate_meter::RateMeter;

/// Share of a rate that buckets hand out: more than tickets are drawn for, so that chance does not empty them.
const BUCKET_SHARE: f64 = 1.1;
/// Share of a rate that tickets are drawn for. The rest is for chance: a sum that is too low draws too many.
const ADMIT_SHARE: f64 = 0.88;
/// Tokens of a full bucket: this many, and what comes in within a time.
const BURST_TOKENS: f64 = 2.0;
const BURST_S: f64 = 0.4;
/// Time for which a sum of what all callers ask for counts.
const SUM_KEPT_MS: u64 = 2_000;
/// Time for which what a host reported counts in a sum.
const REPORT_KEPT_MS: u64 = 2_000;
/// Least share of a rate that is left to requests that are not urgent.
const NON_URGENT_SHARE_MIN: f64 = 0.25;

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
pub struct RateShare {
    /// Rate of its bucket.
    pub bucket_per_s: f64,
    /// Probability of a ticket.
    pub admit_probability: f64,
}

/// Requests a second that callers ask of a server: those that only it may serve, or for a service of which it is one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AskedRates {
    /// All of them.
    pub all_per_s: f64,
    /// Those that are more urgent than others of the service.
    pub urgent_per_s: f64,
}

impl AskedRates {
    fn add(&mut self, other: Self) {
        self.all_per_s += other.all_per_s;
        self.urgent_per_s += other.urgent_per_s;
    }

    /// Share of the requests of one urgency for which there are tickets of a rate: urgent ones come first.
    fn admit_probability(self, rate_per_s: f64, is_urgent: bool) -> f64 {
        let for_urgent_per_s = self
            .urgent_per_s
            .min(rate_per_s * (1.0 - NON_URGENT_SHARE_MIN));
        if is_urgent {
            // Where others do not use what is theirs, urgent ones do.
            let non_urgent_per_s = self.all_per_s - self.urgent_per_s;
            let unused_per_s = (rate_per_s - for_urgent_per_s - non_urgent_per_s).max(0.0);
            return (for_urgent_per_s + unused_per_s) / self.urgent_per_s.max(f64::MIN_POSITIVE);
        }
        let non_urgent_per_s = self.all_per_s - self.urgent_per_s;
        (rate_per_s - for_urgent_per_s) / non_urgent_per_s.max(f64::MIN_POSITIVE)
    }
}

/// What is asked of a server, as one host knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Asked {
    /// By this host's callers: all, and the urgent ones.
    own: RateMeter,
    own_urgent: RateMeter,
    /// The same as it was reported last.
    reported: AskedRates,
    /// By the callers of all hosts, as the holder of the duty summed it up, and when.
    sum: Option<(AskedRates, u64)>,
}

impl Asked {
    /// Counts a request.
    pub fn note(&mut self, is_urgent: bool, now_ms: u64) {
        self.own.note(now_ms);
        if is_urgent {
            self.own_urgent.note(now_ms);
        }
    }

    /// What this host's callers ask for, to be reported now.
    pub fn report(&mut self, now_ms: u64) -> AskedRates {
        self.reported = self.own(now_ms);
        self.reported
    }

    /// Notes what the callers of all hosts ask for.
    pub fn note_sum(&mut self, sum: AskedRates, now_ms: u64) {
        self.sum = Some((sum, now_ms));
    }

    /// The part for a request of a host that shares a rate with `hosts`, itself included.
    pub fn rate_share(
        &self,
        shared_per_s: f64,
        hosts: usize,
        is_urgent: bool,
        now_ms: u64,
    ) -> RateShare {
        let own = self.own(now_ms);
        let all = self.all(own, hosts, now_ms);
        let share = own.all_per_s / all.all_per_s.max(f64::MIN_POSITIVE);
        RateShare {
            bucket_per_s: shared_per_s * BUCKET_SHARE * share,
            admit_probability: all.admit_probability(shared_per_s * ADMIT_SHARE, is_urgent),
        }
    }

    fn own(&self, now_ms: u64) -> AskedRates {
        AskedRates {
            all_per_s: self.own.per_s(now_ms),
            urgent_per_s: self.own_urgent.per_s(now_ms),
        }
    }

    /// What the callers of all hosts ask for, by the latest sum, or as if all hosts were asked for as much.
    fn all(&self, own: AskedRates, hosts: usize, now_ms: u64) -> AskedRates {
        let heard = self.sum.filter(|(_, at_ms)| now_ms < at_ms + SUM_KEPT_MS);
        let Some((sum, _)) = heard else {
            let hosts = hosts.max(1) as f64;
            return AskedRates {
                all_per_s: own.all_per_s * hosts,
                urgent_per_s: own.urgent_per_s * hosts,
            };
        };
        // A rise of the own callers is not in the sum yet.
        let with_rise =
            |sum: f64, own: f64, reported: f64| (sum + (own - reported).max(0.0)).max(own);
        AskedRates {
            all_per_s: with_rise(sum.all_per_s, own.all_per_s, self.reported.all_per_s),
            urgent_per_s: with_rise(
                sum.urgent_per_s,
                own.urgent_per_s,
                self.reported.urgent_per_s,
            ),
        }
    }
}

/// True if a request that drew `point` from 0 to 1 has a ticket of a server. `before` is what the tickets of the
/// servers before it add up to: where all servers are limited, one request has one ticket as far as they suffice.
pub fn is_admitted(point: f64, before: f64, admit_probability: f64) -> bool {
    (point - before).rem_euclid(1.0) < admit_probability
}

/// What hosts reported that their callers ask of servers, as the holder of the duty knows it.
#[derive(Debug, Default)]
pub struct AskedByHost(HashMap<u32, HashMap<SocketAddr, (AskedRates, u64)>>);

impl AskedByHost {
    /// Notes what the callers of a host ask of a server, by its short name.
    pub fn note(&mut self, server_tag: u32, host: SocketAddr, asked: AskedRates, now_ms: u64) {
        let hosts = self.0.entry(server_tag).or_default();
        hosts.insert(host, (asked, now_ms));
    }

    /// What the callers of all hosts ask of a server. A host that is not heard any more counts for a while.
    pub fn sum(&mut self, server_tag: u32, now_ms: u64) -> AskedRates {
        let mut sum = AskedRates::default();
        if let Some(hosts) = self.0.get_mut(&server_tag) {
            hosts.retain(|_, (_, at_ms)| now_ms < *at_ms + REPORT_KEPT_MS);
            hosts.values().for_each(|(asked, _)| sum.add(*asked));
        }
        sum
    }

    /// Forgets servers that name no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(u32) -> bool) {
        self.0.retain(|server_tag, _| is_limited(*server_tag));
    }
}
