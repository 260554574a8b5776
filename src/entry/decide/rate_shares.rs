//! Divides the rate limit that a server advertises to all hosts among these hosts.
//!
//! A host's share of the limit is a fraction: the request rate of the host's callers, divided by
//! the sum of the request rates of all hosts' callers. The leader computes that sum from the hosts'
//! reports and announces the sum. Equal shares would waste the part that a host with few requests
//! does not use. Shares lent by the leader would have to be reclaimed when the leader fails. While
//! a host receives no sum, the host assumes equal request rates at all hosts, so that shares are
//! equal.
//!
//! A request must pass two checks, because neither check alone bounds the total rate. The first
//! check is a [`Pacer`](super::pacer::Pacer) with an admission probability. It bounds the total
//! rate of all hosts relative to the request rate, for any number of hosts, but follows a surge
//! only as fast as the announced sum does, a second later. The second check is a token of a
//! [`Bucket`], which limits a surge at each host. Tokens alone are not enough: buckets are full
//! after a time with few requests, and the buckets of hundreds of hosts then hold more tokens than
//! the limit allows.

use std::{collections::HashMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use super::rate_meter::RateMeter;

/// Refill rate of all hosts' buckets together, as a fraction of the limit. The rate is higher than
/// [`ADMIT_SHARE`], so that uneven arrivals do not empty the buckets. At 1.1, eight hosts together
/// admitted up to 69 requests in 4 s of a surge, where the bound is 65.
const BUCKET_SHARE: f64 = 1.0;
/// Fraction of the limit on which admission probabilities are based. The remainder is headroom for
/// random variation: if the announced sum is too low, hosts admit too many requests.
const ADMIT_SHARE: f64 = 0.86;
/// Capacity of a bucket: [`BURST_TOKENS`] tokens and the refill of [`BURST_S`] seconds.
const BURST_TOKENS: f64 = 2.0;
const BURST_S: f64 = 0.4;
/// Time for which a host uses an announced sum of all hosts' request rates, in milliseconds.
const SUM_KEPT_MS: u64 = 2_000;
/// Time for which the leader includes a host's last report in the sum, in milliseconds.
const REPORT_KEPT_MS: u64 = 2_000;
/// Minimum fraction of a limit that is reserved for requests that are not urgent, so that urgent
/// requests do not exclude all others.
const NON_URGENT_SHARE_MIN: f64 = 0.25;

/// Token bucket that limits how many requests a host sends to a server at once. Each sent request
/// takes a token, and tokens are refilled at a given rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    tokens: f64,
    /// Time of the last refill; `None` before the first request.
    at_ms: Option<u64>,
}

impl Bucket {
    /// Refills the bucket at `per_s` tokens per second, and returns true if the bucket has a token
    /// for [`Bucket::take`]. A new bucket is full.
    pub fn has_token(&mut self, per_s: f64, now_ms: u64) -> bool {
        let capacity = BURST_TOKENS + BURST_S * per_s;
        let refilled = match self.at_ms.replace(now_ms) {
            Some(at_ms) => per_s * now_ms.saturating_sub(at_ms) as f64 / 1_000.0,
            None => capacity,
        };
        self.tokens = (self.tokens + refilled).min(capacity);
        self.tokens >= 1.0
    }

    /// Removes a token for a request that is about to be sent. The caller must have checked with
    /// [`Bucket::has_token`] that the bucket has a token.
    pub fn take(&mut self) {
        self.tokens -= 1.0;
    }
}

/// Share of one host in a rate limit that a server advertises to all hosts together, as the
/// parameters of the two checks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateShare {
    /// Refill rate of the host's [`Bucket`], in tokens per second.
    pub bucket_per_s: f64,
    /// Probability with which the pacer admits a request. If the limit is above the request rate of
    /// callers, the value exceeds 1 and the pacer admits every request.
    pub admit_probability: f64,
}

/// Demand of callers for a server, as request rates. It includes the requests that only this server
/// may run, and the requests for a service to which the server belongs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct DemandRates {
    /// All requests per second, including the urgent ones.
    pub all_per_s: f64,
    /// Requests per second that are more urgent than other requests of their service.
    pub urgent_per_s: f64,
}

impl DemandRates {
    fn add(&mut self, other: Self) {
        self.all_per_s += other.all_per_s;
        self.urgent_per_s += other.urgent_per_s;
    }

    /// Returns the probability with which requests of the given urgency are admitted if the server
    /// accepts `rate_per_s`. Urgent requests come first, but the fraction [`NON_URGENT_SHARE_MIN`]
    /// of the rate is reserved for the other requests as far as those need it. The result may
    /// exceed 1.
    fn admit_probability(self, rate_per_s: f64, is_urgent: bool) -> f64 {
        let for_urgent_per_s = self
            .urgent_per_s
            .min(rate_per_s * (1.0 - NON_URGENT_SHARE_MIN));
        if is_urgent {
            // Urgent requests also use the part of the rate that the other requests leave unused.
            let non_urgent_per_s = self.all_per_s - self.urgent_per_s;
            let unused_per_s = (rate_per_s - for_urgent_per_s - non_urgent_per_s).max(0.0);
            return (for_urgent_per_s + unused_per_s) / self.urgent_per_s.max(f64::MIN_POSITIVE);
        }
        let non_urgent_per_s = self.all_per_s - self.urgent_per_s;
        (rate_per_s - for_urgent_per_s) / non_urgent_per_s.max(f64::MIN_POSITIVE)
    }
}

/// Demand for one server, as request rates: the request rates of this host's callers, and the
/// request rates of all hosts' callers as announced by the leader.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerDemand {
    /// Measured rate of all requests of this host's callers. `own_urgent` measures the urgent
    /// requests among them.
    own: RateMeter,
    own_urgent: RateMeter,
    /// Request rates of this host's callers in its last report to the leader.
    reported: DemandRates,
    /// Request rates of all hosts' callers, as summed by the leader, and the arrival time of the
    /// announcement; `None` before the first.
    sum: Option<(DemandRates, u64)>,
}

impl ServerDemand {
    /// Counts a request of a caller of this host that the server may run, whether the request is
    /// admitted or not.
    pub fn note(&mut self, is_urgent: bool, now_ms: u64) {
        self.own.note(now_ms);
        if is_urgent {
            self.own_urgent.note(now_ms);
        }
    }

    /// Returns the request rates of this host's callers for a report to the leader, and stores
    /// these rates as the last reported rates.
    pub fn report(&mut self, now_ms: u64) -> DemandRates {
        self.reported = self.own(now_ms);
        self.reported
    }

    /// Stores the request rates of all hosts' callers as summed by the leader. The sum is valid for
    /// [`SUM_KEPT_MS`].
    pub fn note_sum(&mut self, sum: DemandRates, now_ms: u64) {
        self.sum = Some((sum, now_ms));
    }

    /// Returns this host's share of the rate `shared_per_s`, which the server accepts from all
    /// hosts together, for a request of the given urgency. `hosts` is the number of hosts,
    /// including this one.
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

    /// Returns the request rates of all hosts' callers. The result is the leader's latest sum while
    /// that sum is valid; otherwise the rates of this host's callers are multiplied by the number
    /// of hosts.
    fn all(&self, own: DemandRates, hosts: usize, now_ms: u64) -> DemandRates {
        let valid_sum = self.sum.filter(|(_, at_ms)| now_ms < at_ms + SUM_KEPT_MS);
        let Some((sum, _)) = valid_sum else {
            let hosts = hosts.max(1) as f64;
            return DemandRates {
                all_per_s: own.all_per_s * hosts,
                urgent_per_s: own.urgent_per_s * hosts,
            };
        };
        // The leader's sum does not include the rise in this host's request rate since this host's
        // last report.
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

/// Demand for servers as reported by the hosts, by server tag (a hash that names the server in
/// messages) and host address, with the arrival time of each report; kept by the leader.
#[derive(Debug, Default)]
pub struct DemandByHost(HashMap<u32, HashMap<SocketAddr, (DemandRates, u64)>>);

impl DemandByHost {
    /// Records the demand for the server with this tag that a host reported; replaces the host's
    /// earlier report.
    pub fn note(&mut self, server_tag: u32, host: SocketAddr, demand: DemandRates, now_ms: u64) {
        let hosts = self.0.entry(server_tag).or_default();
        hosts.insert(host, (demand, now_ms));
    }

    /// Returns the sum of the demand that all hosts reported for a server. The last report of a
    /// host that stopped reporting is included for [`REPORT_KEPT_MS`].
    pub fn sum(&mut self, server_tag: u32, now_ms: u64) -> DemandRates {
        let mut sum = DemandRates::default();
        if let Some(hosts) = self.0.get_mut(&server_tag) {
            hosts.retain(|_, (_, at_ms)| now_ms < *at_ms + REPORT_KEPT_MS);
            hosts.values().for_each(|(demand, _)| sum.add(*demand));
        }
        sum
    }

    /// Drops the reports for servers that no longer advertise a limit. `is_limited` is called with
    /// the tag of each server.
    pub fn retain(&mut self, is_limited: impl Fn(u32) -> bool) {
        self.0.retain(|server_tag, _| is_limited(*server_tag));
    }
}
