//! Rate limit that one server advertises for all hosts together, and this host's share of it.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use super::decide::{
    notices::Notices,
    pacer::Pacer,
    rate_limit::AdvertisedLimit,
    rate_meter::RateMeter,
    rate_shares::{Bucket, DemandRates, RateShare, ServerDemand},
};
use crate::clock;

/// Rate limit of one server as this host knows it, with the rate at which this host sends.
#[derive(Debug, Default)]
pub struct SharedRate {
    /// Advertised limit and other notices of the server, shared with the registry, which keeps them
    /// if the entry of the server is removed.
    notices: Arc<Mutex<Notices>>,
    share: Mutex<Share>,
    /// Rate of the requests that this host sends to the server.
    sent: Mutex<RateMeter>,
}

/// State of this host's share of the limit: the request rates of callers, on which the share
/// depends, and the pacers and the token bucket, which enforce it.
#[derive(Debug, Default)]
struct Share {
    demand: ServerDemand,
    /// Pacers of the requests that only this server may run: the urgent ones, and all others.
    urgent_pacer: Pacer,
    pacer: Pacer,
    bucket: Bucket,
}

impl SharedRate {
    /// Creates the state for a server, with the limit in its `notices`.
    pub fn new(notices: Arc<Mutex<Notices>>) -> Self {
        Self {
            notices,
            ..Self::default()
        }
    }

    /// Records the limit that a response to this host advertised; returns true if the change should
    /// be logged.
    pub fn note_own_limit(&self, limit: AdvertisedLimit) -> bool {
        let mut notices = self.notices();
        notices.rate_limit.note_own(limit);
        notices.rate_limit.take_change()
    }

    /// Records the limit that a response to any host advertised, as another host reported or
    /// announced it; returns true if the change should be logged.
    pub fn note_limit(&self, limit: AdvertisedLimit) -> bool {
        let mut notices = self.notices();
        notices.rate_limit.note(limit);
        notices.rate_limit.take_change()
    }

    /// Returns the advertised rate limit for all hosts together, in requests per second; `None` if
    /// the server is unlimited.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.notices().rate_limit.per_s()
    }

    /// Returns true if the latest advertisement of the limit is so old that a probe request is due:
    /// a request that is sent to the server to learn whether the limit still holds.
    pub fn is_stale(&self) -> bool {
        self.notices().rate_limit.is_stale(clock::now_ms())
    }

    /// Returns the limit that the planner of key moves assumes, in requests per second; `None` if
    /// the server is unlimited. The assumed limit rises while the server does not state its limit
    /// again.
    pub fn planned_per_s(&self, now_ms: u64) -> Option<f64> {
        self.notices().rate_limit.planned_per_s(now_ms)
    }

    /// Returns true if this host must inform other hosts of the limit: the server has a limit, or
    /// its limit ended recently.
    pub fn should_announce(&self, now_ms: u64) -> bool {
        self.notices().rate_limit.should_announce(now_ms)
    }

    /// Returns the latest limit that the server advertised to any host; `None` if the server has
    /// advertised no limit yet.
    pub fn latest(&self) -> Option<AdvertisedLimit> {
        self.notices().rate_limit.latest()
    }

    /// Returns the latest limit that the server advertised to this host; `None` if the server has
    /// advertised no limit to this host yet.
    pub fn own(&self) -> Option<AdvertisedLimit> {
        self.notices().rate_limit.own()
    }

    /// Counts a request of a caller that could be sent to the server, whether or not the request is
    /// then sent there.
    pub fn note_demand(&self, is_urgent: bool) {
        self.share().demand.note(is_urgent, clock::now_ms());
    }

    /// Returns the request rates of this host's callers for a report to the leader, and remembers
    /// them as the last reported rates.
    pub fn report_demand(&self, now_ms: u64) -> DemandRates {
        self.share().demand.report(now_ms)
    }

    /// Records the request rates of the callers of all hosts, as summed by the leader.
    pub fn note_demand_sum(&self, sum: DemandRates, now_ms: u64) {
        self.share().demand.note_sum(sum, now_ms);
    }

    /// Returns this host's share of the limit for an urgent request, or for any other request if
    /// `is_urgent` is false, when `hosts` hosts share the limit; `None` if the server is unlimited.
    pub fn rate_share(&self, hosts: usize, is_urgent: bool) -> Option<RateShare> {
        let now_ms = clock::now_ms();
        let shared_per_s = self.notices().rate_limit.shared_per_s(now_ms)?;
        let share = self.share();
        Some(
            share
                .demand
                .rate_share(shared_per_s, hosts, is_urgent, now_ms),
        )
    }

    /// Returns true if the pacer of this host's share admits a request that only this server may
    /// run.
    pub fn is_admitted(&self, rate_share: RateShare, is_urgent: bool) -> bool {
        let mut share = self.share();
        let pacer = if is_urgent {
            &mut share.urgent_pacer
        } else {
            &mut share.pacer
        };
        pacer.admits(rate_share.admit_probability, rand::random())
    }

    /// Returns true if the token bucket of this host's share has a token for a request. The token
    /// is not removed; see [`Self::take_token`].
    pub fn has_token(&self, rate_share: RateShare) -> bool {
        let bucket = &mut self.share().bucket;
        bucket.has_token(rate_share.bucket_per_s, clock::now_ms())
    }

    /// Takes a token for a request that is about to be sent, if the server has a limit.
    pub fn take_token(&self) {
        if self.limit_per_s().is_some() {
            self.share().bucket.take();
        }
    }

    /// Returns the rate at which this host sends requests to the server, in requests per second.
    pub fn sent_per_s(&self) -> f64 {
        self.sent().per_s(clock::now_ms())
    }

    /// Counts a request that this host sends to the server.
    pub fn note_sent(&self) {
        self.sent().note(clock::now_ms());
    }

    fn notices(&self) -> MutexGuard<'_, Notices> {
        self.notices.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn share(&self) -> MutexGuard<'_, Share> {
        self.share.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn sent(&self) -> MutexGuard<'_, RateMeter> {
        self.sent.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Pacers of the requests that any server of a service may run, by the tag of the service and
/// whether the requests are urgent.
#[derive(Debug, Default)]
pub struct ServicePacers(Mutex<HashMap<(u32, bool), Pacer>>);

impl ServicePacers {
    /// Returns the point at which a request is admitted by the rate-limited servers of a service,
    /// for [`is_admitted`](super::decide::pacer::is_admitted); `None` if none of them admits it.
    /// `total` is the sum of the admission probabilities of these servers.
    pub fn point(&self, service_tag: u32, is_urgent: bool, total: f64) -> Option<f64> {
        let mut pacers = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let pacer = pacers.entry((service_tag, is_urgent)).or_default();
        pacer.point(total, rand::random(), rand::random())
    }
}
