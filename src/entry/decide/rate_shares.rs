//! Shares of hosts in the rate limit that a server advertises to all of them together.
//!
//! A host's share of the limit follows the request rate of its callers, relative to that of all
//! hosts' callers, which the leader sums up. Equal shares would waste what a quiet host does not
//! use; shares lent by the leader would have to be reclaimed when it fails. While no sum is
//! received, shares are equal.
//!
//! A request must pass two checks, since neither bounds the total rate by itself. A random draw
//! with an admission probability bounds the sum over all hosts relative to the request rate, for
//! any number of hosts, but follows a surge only as fast as the sum does, a second later. A token
//! of a [`Bucket`] limits a surge at each host; but buckets are full after a quiet time, and the
//! buckets of hundreds of hosts hold more tokens than the limit.

use std::{collections::HashMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::rate_meter::RateMeter;

/// Share of the limit at which buckets are refilled: higher than that of the draws, so that random
/// variation does not empty them.
const BUCKET_SHARE: f64 = 1.1;
/// Share of the limit on which admission probabilities are based. The remainder is headroom for
/// random variation: a sum that is too low admits too many.
const ADMIT_SHARE: f64 = 0.88;
/// Capacity of a bucket: a fixed number of tokens, and the refill of [`BURST_S`] seconds.
const BURST_TOKENS: f64 = 2.0;
const BURST_S: f64 = 0.4;
/// Time for which a sum of all hosts' request rates is valid.
const SUM_KEPT_MS: u64 = 2_000;
/// Time for which a host's report counts in a sum.
const REPORT_KEPT_MS: u64 = 2_000;
/// Minimum share of a limit that is reserved for requests that are not urgent.
const NON_URGENT_SHARE_MIN: f64 = 0.25;

/// Token bucket that limits how many requests a host sends to a server at once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    tokens: f64,
    /// Time of the last refill; `None` before the first request.
    at_ms: Option<u64>,
}

impl Bucket {
    /// Refills the bucket and returns true if it has a token for [`Bucket::take`]. A new bucket is
    /// full.
    pub fn has_token(&mut self, per_s: f64, now_ms: u64) -> bool {
        let capacity = BURST_TOKENS + BURST_S * per_s;
        let refilled = match self.at_ms.replace(now_ms) {
            Some(at_ms) => per_s * now_ms.saturating_sub(at_ms) as f64 / 1_000.0,
            None => capacity,
        };
        self.tokens = (self.tokens + refilled).min(capacity);
        self.tokens >= 1.0
    }

    /// Removes a token for a request that is about to be sent; [`Bucket::has_token`] is called
    /// before.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// One host's share of a rate limit that a server advertises to all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Refill rate of the host's bucket, in tokens per second.
    pub bucket_per_s: f64,
    /// Probability with which a request is admitted. It exceeds 1 if the limit is above the request
    /// rate of callers; then the random draw excludes no request.
    pub admit_probability: f64,
}

/// Demand of callers for a server, as request rates: requests that only this server may run, or
/// that are for a service it belongs to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandRates {
    /// All requests per second, including the urgent ones.
    pub all_per_s: f64,
    /// Requests per second that are more urgent than others of the service.
    pub urgent_per_s: f64,
}

impl DemandRates {
    fn add(&mut self, other: Self) {
        self.all_per_s += other.all_per_s;
        self.urgent_per_s += other.urgent_per_s;
    }

    /// Returns the probability with which requests of one urgency are admitted at a rate; urgent
    /// ones come first.
    fn admit_probability(self, rate_per_s: f64, is_urgent: bool) -> f64 {
        let for_urgent_per_s = self
            .urgent_per_s
            .min(rate_per_s * (1.0 - NON_URGENT_SHARE_MIN));
        if is_urgent {
            // Urgent requests also use what the others leave of the rate.
            let non_urgent_per_s = self.all_per_s - self.urgent_per_s;
            let unused_per_s = (rate_per_s - for_urgent_per_s - non_urgent_per_s).max(0.0);
            return (for_urgent_per_s + unused_per_s) / self.urgent_per_s.max(f64::MIN_POSITIVE);
        }
        let non_urgent_per_s = self.all_per_s - self.urgent_per_s;
        (rate_per_s - for_urgent_per_s) / non_urgent_per_s.max(f64::MIN_POSITIVE)
    }
}

/// Request rates that callers direct at a server: of this host and, as announced by the leader, of
/// all hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerDemand {
    /// Meters of this host's callers: all requests, and the urgent ones.
    own: RateMeter,
    own_urgent: RateMeter,
    /// Rates of this host's callers in its last report.
    reported: DemandRates,
    /// Rates of the callers of all hosts, as summed by the leader, and the arrival time.
    sum: Option<(DemandRates, u64)>,
}

impl ServerDemand {
    /// Counts a request that a caller of this host directs at the server, whether it is admitted or
    /// not.
    pub fn note(&mut self, is_urgent: bool, now_ms: u64) {
        self.own.note(now_ms);
        if is_urgent {
            self.own_urgent.note(now_ms);
        }
    }

    /// Returns the rates of this host's callers and stores them as reported.
    pub fn report(&mut self, now_ms: u64) -> DemandRates {
        self.reported = self.own(now_ms);
        self.reported
    }

    /// Stores the rates of all hosts' callers as summed by the leader, valid for [`SUM_KEPT_MS`].
    pub fn note_sum(&mut self, sum: DemandRates, now_ms: u64) {
        self.sum = Some((sum, now_ms));
    }

    /// Returns the share of a host in the limit `shared_per_s`, for a request of the given urgency;
    /// `hosts` includes this host.
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

    fn own(&self, now_ms: u64) -> DemandRates {
        DemandRates {
            all_per_s: self.own.per_s(now_ms),
            urgent_per_s: self.own_urgent.per_s(now_ms),
        }
    }

    /// Returns the rates of the callers of all hosts: the latest sum, or without one, as if each
    /// host's callers had the same rate as this host's.
    fn all(&self, own: DemandRates, hosts: usize, now_ms: u64) -> DemandRates {
        let valid_sum = self.sum.filter(|(_, at_ms)| now_ms < at_ms + SUM_KEPT_MS);
        let Some((sum, _)) = valid_sum else {
            let hosts = hosts.max(1) as f64;
            return DemandRates {
                all_per_s: own.all_per_s * hosts,
                urgent_per_s: own.urgent_per_s * hosts,
            };
        };
        // A rise in this host's own rate since its report is not included in the sum yet.
        let with_rise =
            |sum: f64, own: f64, reported: f64| (sum + (own - reported).max(0.0)).max(own);
        DemandRates {
            all_per_s: with_rise(sum.all_per_s, own.all_per_s, self.reported.all_per_s),
            urgent_per_s: with_rise(
                sum.urgent_per_s,
                own.urgent_per_s,
                self.reported.urgent_per_s,
            ),
        }
    }
}

/// Returns true if a request with the random draw `point` from 0 to 1 is admitted at a server.
/// `before` is the sum of the probabilities of the servers that precede it: where all servers are
/// limited, a request is admitted at one server, as far as the limits suffice.
pub fn is_admitted(point: f64, before: f64, admit_probability: f64) -> bool {
    (point - before).rem_euclid(1.0) < admit_probability
}

/// Request rates for servers as reported by hosts, kept by the leader.
#[derive(Debug, Default)]
pub struct DemandByHost(HashMap<u32, HashMap<SocketAddr, (DemandRates, u64)>>);

impl DemandByHost {
    /// Records the rates for a server, given by its tag, that a host reported.
    pub fn note(&mut self, server_tag: u32, host: SocketAddr, demand: DemandRates, now_ms: u64) {
        let hosts = self.0.entry(server_tag).or_default();
        hosts.insert(host, (demand, now_ms));
    }

    /// Returns the sum of all hosts' rates for a server. A host that stopped reporting counts for
    /// [`REPORT_KEPT_MS`].
    pub fn sum(&mut self, server_tag: u32, now_ms: u64) -> DemandRates {
        let mut sum = DemandRates::default();
        if let Some(hosts) = self.0.get_mut(&server_tag) {
            hosts.retain(|_, (_, at_ms)| now_ms < *at_ms + REPORT_KEPT_MS);
            hosts.values().for_each(|(demand, _)| sum.add(*demand));
        }
        sum
    }

    /// Drops the rates for servers that no longer advertise a limit, by their tags.
    pub fn retain(&mut self, is_limited: impl Fn(u32) -> bool) {
        self.0.retain(|server_tag, _| is_limited(*server_tag));
    }
}
