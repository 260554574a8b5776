//! Quotas of workspaces, which are enforced by all hosts together.
//!
//! A workspace's callers may send more requests than its quota, through any hosts. Hundreds of
//! hosts receive less than one request per second each from most workspaces, so a fixed part of the
//! quota for each host would refuse requests that are within the quota. Instead every host reports
//! the requests that it received and sent on; the leader keeps one [`Ledger`] for each workspace
//! and announces the share of its requests that hosts may admit. A host that receives no
//! announcements continues to use the last one ([`HostShare`]).

use serde::{Deserialize, Serialize};

use super::{rate_meter::RateMeter, rate_shares::Bucket};

/// Request rate and burst that a workspace is entitled to, over all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Sustained rate, in requests per second.
    pub per_s: f64,
    /// Number of requests above that rate that may be sent at once.
    pub burst: f64,
}

/// Usage of a workspace's quota: requests that hosts received from its callers and sent to servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaUsage {
    /// Requests received from the workspace's callers since the host's last report, admitted or
    /// not.
    pub asked: u32,
    /// Requests that were sent to a server since the host's last report; only these use up the
    /// quota.
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

/// Time constant of the measured request rate. A surge must be detected before it has spent more
/// than the burst.
const DEMAND_MEMORY_MS: f64 = 400.0;
/// Time over which the balance of a ledger is handed out, or an overdraft is recovered.
const SPEND_S: f64 = 1.0;
/// Share of a quota that is credited to ledgers: some reports are lost, and the usage in them is
/// never counted.
const ACCRUED_SHARE: f64 = 0.98;
/// Largest overdraft of a ledger, in seconds of the quota. A larger one would refuse requests
/// within the quota for too long.
const OVERDRAWN_MAX_S: f64 = 2.0;

/// Balance of a workspace's quota, kept by the leader. A new ledger is empty, since a previous
/// leader may just have handed out the whole quota.
#[derive(Clone, Copy, Debug)]
pub struct Ledger {
    balance: f64,
    demand_weight: f64,
    began_ms: u64,
    at_ms: u64,
}

impl Ledger {
    /// Creates a ledger with a balance of 0; the quota is credited to it from `now_ms` on.
    pub fn new(now_ms: u64) -> Self {
        Self {
            balance: 0.0,
            demand_weight: 0.0,
            began_ms: now_ms,
            at_ms: now_ms,
        }
    }

    /// Debits the requests that a host reported as sent, down to an overdraft of
    /// [`OVERDRAWN_MAX_S`], and counts all received ones in the request rate.
    pub fn note(&mut self, quota: Quota, reported: QuotaUsage, now_ms: u64) {
        self.accrue(quota, now_ms);
        self.demand_weight += f64::from(reported.asked);
        let least = -OVERDRAWN_MAX_S * quota.per_s;
        self.balance = (self.balance - f64::from(reported.sent)).max(least);
    }

    /// Returns the share of the workspace's requests that each host may admit until the next
    /// announcement.
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

    /// Returns true if the reported request rate has decayed to nearly 0.
    pub fn is_idle(&self) -> bool {
        self.demand_weight < 1e-6
    }

    fn accrue(&mut self, quota: Quota, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let accrued = quota.per_s * ACCRUED_SHARE * elapsed_ms / 1_000.0;
        self.balance = (self.balance + accrued).min(quota.burst);
        self.demand_weight *= (-elapsed_ms / DEMAND_MEMORY_MS).exp();
        self.at_ms = now_ms;
    }

    /// Returns the reported requests per second. The average of a new ledger is scaled up, since it
    /// covers only the time since the ledger was created.
    fn asked_per_s(&self) -> f64 {
        let age_ms = self.at_ms.saturating_sub(self.began_ms) as f64;
        let covered_share = (1.0 - (-age_ms / DEMAND_MEMORY_MS).exp()).max(0.2);
        self.demand_weight * 1_000.0 / DEMAND_MEMORY_MS / covered_share
    }
}

/// State of a workspace's quota at one host, which decides which requests that host admits.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostShare {
    /// Last announcement of the leader, and its arrival time.
    announced: Option<(AdmittedShare, u64)>,
    /// This host's share of the requests of all hosts, as of the last announcement.
    demand_share: Option<f64>,
    /// Limit on what this host sends while the leader does not confirm its share.
    fallback_bucket: Bucket,
    since_report: QuotaUsage,
    /// Rate of requests that this host has recently received from the workspace's callers.
    own: RateMeter,
}

/// Time for which a share stays valid without confirmation by the leader.
const SHARE_KEPT_MS: u64 = 5_000;

/// Inputs of the admission decision besides the announced share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaContext {
    /// Number of hosts that share quotas, including this one.
    pub hosts: usize,
    /// True if this host has recently received an announcement of the leader.
    pub is_confirmed: bool,
}

impl HostShare {
    /// Counts a request and returns true if it is within the quota; `point` is its random draw from
    /// 0 to 1.
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
        // A share close to 0 is not reliable, since the host may have received few requests at that
        // time; so the share is at least that of an average host.
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

    /// Replaces the announced share and updates this host's part of the total request rate.
    pub fn note_announced(&mut self, announced: AdmittedShare, now_ms: u64) {
        let own_per_s = self.own.per_s(now_ms);
        if announced.asked_per_s > 0.0 {
            self.demand_share = Some((own_per_s / f64::from(announced.asked_per_s)).min(1.0));
        }
        self.announced = Some((announced, now_ms));
    }

    /// Returns the last announcement of the leader, however old; `None` before the first.
    pub fn announced(&self) -> Option<AdmittedShare> {
        self.announced.map(|(announced, _)| announced)
    }

    /// Returns true if the last announcement requires some requests to be refused.
    pub fn is_limited(&self) -> bool {
        self.announced().is_some_and(AdmittedShare::is_limiting)
    }

    /// Returns the usage since the last report, and resets it.
    pub fn take_report(&mut self) -> QuotaUsage {
        std::mem::take(&mut self.since_report)
    }
}
