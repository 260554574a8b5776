//! Quotas of workspaces, which all hosts enforce together. A quota is the request rate that a
//! workspace is entitled to.
//!
//! The callers of a workspace may send more requests than its quota, to any of the hosts. Hundreds
//! of hosts receive less than one request per second each from most workspaces, so a fixed part of
//! the quota for each host would refuse requests that are within the quota. Instead, each host
//! reports to the leader the requests that it received and sent to servers. The leader keeps one
//! [`Ledger`] for each workspace, and announces the share of the workspace's requests that hosts
//! may admit. A host that receives no announcements continues to use the last announced share for
//! some time ([`HostShare`]).

use serde::{Deserialize, Serialize};

use super::{rate_meter::RateMeter, rate_shares::Bucket};

/// Request rate and burst that a workspace is entitled to, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate, in requests per second.
    pub per_s: f64,
    /// Number of requests in excess of the sustained rate that may be sent at once.
    pub burst: f64,
}

/// Usage of a workspace's quota at one host: the requests that the host received from the
/// workspace's callers, and those that it sent to servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaUsage {
    /// Number of requests that the host received from the workspace's callers since the host last
    /// reported to the leader, whether the host admitted the requests or not.
    pub asked: u32,
    /// Number of requests that the host sent to a server since the host last reported to the
    /// leader. Only these requests use up the quota.
    pub sent: u32,
}

/// Share of a workspace's requests that each host may admit, as announced by the leader.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdmittedShare {
    /// Probability with which a request is admitted, from 0 to 1.
    pub share: f32,
    /// Requests per second that the workspace's callers send to all hosts, admitted or not.
    pub asked_per_s: f32,
}

impl AdmittedShare {
    /// Returns true if the share is below 1, so that hosts refuse some requests.
    pub fn is_limiting(self) -> bool {
        self.share < 1.0
    }
}

/// Time constant, in milliseconds, of the request rate that the leader measures for a workspace. A
/// surge must be detected before its requests exceed the burst.
const DEMAND_MEMORY_MS: f64 = 400.0;
/// Time, in seconds, over which the leader lets hosts use up the balance of a ledger (the account
/// of a workspace's quota), or recovers an overdraft.
const SPEND_S: f64 = 1.0;
/// Fraction of a quota that is credited to the ledger of the workspace. The remainder allows for
/// lost reports, whose usage the ledger never counts.
const ACCRUED_SHARE: f64 = 0.98;
/// Largest overdraft of a ledger, as the number of requests that the quota allows in this many
/// seconds. With a larger overdraft, requests within the quota would be refused for too long.
const OVERDRAWN_MAX_S: f64 = 2.0;

/// Account of a workspace's quota, kept by the leader. The quota is credited to the ledger over
/// time, and the requests that hosts sent are debited. A new ledger has a balance of 0, since a
/// previous leader may just have handed out the whole quota.
#[derive(Clone, Copy, Debug)]
pub struct Ledger {
    /// Number of requests that may be sent in addition to the sustained rate; negative for an
    /// overdraft.
    balance: f64,
    /// Number of requests that hosts reported as received, each weighted by its age at `at_ms`.
    demand_weight: f64,
    began_ms: u64,
    at_ms: u64,
}

impl Ledger {
    /// Creates a ledger with a balance of 0, to which the quota is credited from `now_ms` on.
    pub fn new(now_ms: u64) -> Self {
        Self {
            balance: 0.0,
            demand_weight: 0.0,
            began_ms: now_ms,
            at_ms: now_ms,
        }
    }

    /// Records the usage that a host reported: debits the sent requests, down to an overdraft of
    /// [`OVERDRAWN_MAX_S`], and counts all received requests in the request rate.
    pub fn note(&mut self, quota: Quota, reported: QuotaUsage, now_ms: u64) {
        self.accrue(quota, now_ms);
        self.demand_weight += f64::from(reported.asked);
        let least = -OVERDRAWN_MAX_S * quota.per_s;
        self.balance = (self.balance - f64::from(reported.sent)).max(least);
    }

    /// Returns the share of the workspace's requests that each host may admit until the leader's
    /// next announcement.
    pub fn admitted(&mut self, quota: Quota, now_ms: u64) -> AdmittedShare {
        self.accrue(quota, now_ms);
        let asked_per_s = self.asked_per_s();
        let available_per_s = (quota.per_s * ACCRUED_SHARE + self.balance / SPEND_S).max(0.0);
        let share = if asked_per_s > available_per_s {
            available_per_s / asked_per_s
        } else {
            1.0
        };
        AdmittedShare {
            share: share as f32,
            asked_per_s: asked_per_s as f32,
        }
    }

    /// Returns true if the request rate that hosts reported has decayed to nearly 0, so that the
    /// ledger is no longer needed.
    pub fn is_idle(&self) -> bool {
        self.demand_weight < 1e-6
    }

    /// Credits the quota for the time since the last update, up to a balance of `quota.burst`, and
    /// reduces the weight of the earlier requests in the request rate.
    fn accrue(&mut self, quota: Quota, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let accrued = quota.per_s * ACCRUED_SHARE * elapsed_ms / 1_000.0;
        self.balance = (self.balance + accrued).min(quota.burst);
        self.demand_weight *= (-elapsed_ms / DEMAND_MEMORY_MS).exp();
        self.at_ms = now_ms;
    }

    /// Returns the request rate that hosts reported, in requests per second. The average of a new
    /// ledger is scaled up, since it covers only the time since the ledger was created.
    fn asked_per_s(&self) -> f64 {
        let age_ms = self.at_ms.saturating_sub(self.began_ms) as f64;
        let covered_share = (1.0 - (-age_ms / DEMAND_MEMORY_MS).exp()).max(0.2);
        self.demand_weight * 1_000.0 / DEMAND_MEMORY_MS / covered_share
    }
}

/// State of a workspace's quota at one host, by which the host decides which requests to admit.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostShare {
    /// Last announcement from the leader, and the time at which the announcement arrived.
    announced: Option<(AdmittedShare, u64)>,
    /// Share of the workspace's requests to all hosts that this host received, from 0 to 1, as of
    /// the last announcement; `None` before the first.
    demand_share: Option<f64>,
    /// Token bucket that limits the requests that this host admits while it receives no
    /// announcements from the leader.
    fallback_bucket: Bucket,
    since_report: QuotaUsage,
    /// Rate at which this host has recently received requests from the workspace's callers.
    own: RateMeter,
}

/// Time for which a host applies the last announced share while it receives no new announcement, in
/// milliseconds.
const SHARE_KEPT_MS: u64 = 5_000;

/// Inputs of [`HostShare::admits`] that are the same for all workspaces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaContext {
    /// Number of hosts that share the quotas, including the deciding host.
    pub hosts: usize,
    /// True if the deciding host has recently received an announcement from the leader.
    pub is_confirmed: bool,
}

impl HostShare {
    /// Counts a request as received, and returns true if the host may admit the request. `point` is
    /// the random draw for the request, from 0 to 1.
    pub fn admits(&mut self, quota: Quota, context: QuotaContext, point: f64, now_ms: u64) -> bool {
        self.since_report.asked += 1;
        self.own.note(now_ms);
        let kept = self
            .announced
            .filter(|(_, at_ms)| now_ms < at_ms + SHARE_KEPT_MS);
        let share = kept.map_or(1.0, |(announced, _)| f64::from(announced.share));
        if context.is_confirmed {
            return point < share;
        }
        // A `demand_share` close to 0 is not reliable, because the host may have received few
        // requests when `demand_share` was computed. So the host uses at least the share of an
        // average host.
        let demand_share = self
            .demand_share
            .unwrap_or(0.0)
            .max(1.0 / context.hosts.max(1) as f64);
        if point >= share
            || !self
                .fallback_bucket
                .has_token(quota.per_s * demand_share, now_ms)
        {
            return false;
        }
        self.fallback_bucket.take();
        true
    }

    /// Counts a request that was sent to a server, for the next report to the leader.
    pub fn note_sent(&mut self) {
        self.since_report.sent += 1;
    }

    /// Stores a new announcement from the leader, and updates this host's share of the requests to
    /// all hosts.
    pub fn note_announced(&mut self, announced: AdmittedShare, now_ms: u64) {
        let own_per_s = self.own.per_s(now_ms);
        if announced.asked_per_s > 0.0 {
            self.demand_share = Some((own_per_s / f64::from(announced.asked_per_s)).min(1.0));
        }
        self.announced = Some((announced, now_ms));
    }

    /// Returns the last announcement from the leader, whatever its age; `None` before the first.
    pub fn announced(&self) -> Option<AdmittedShare> {
        self.announced.map(|(announced, _)| announced)
    }

    /// Returns true if the last announcement, whatever its age, requires hosts to refuse some
    /// requests.
    pub fn is_limited(&self) -> bool {
        self.announced().is_some_and(AdmittedShare::is_limiting)
    }

    /// Returns this host's usage of the quota since its last report to the leader, and resets the
    /// counts to 0.
    pub fn take_report(&mut self) -> QuotaUsage {
        std::mem::take(&mut self.since_report)
    }
}
