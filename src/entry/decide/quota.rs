//! Quotas of workspaces, which all hosts keep together.
//!
//! The load: the callers of a workspace ask, at any hosts, for more than its quota. Hundreds of hosts get less than
//! one request a second each of most workspaces, so parts of a quota that each host spends by itself would refuse
//! what is allowed. Every host reports what it was asked for and what it sent; the holder of the duty keeps one
//! [`Ledger`] for each workspace and tells all hosts the share of its requests that they may admit. A host that
//! hears no holder admits by what it heard last ([`HostShare`]).

use serde::{Deserialize, Serialize};

use super::{rate_meter::RateMeter, rate_parts::Bucket};

/// Requests that a workspace may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Requests a second.
    pub per_s: f64,
    /// Requests above that at once.
    pub burst: f64,
}

/// What hosts were asked for on behalf of a workspace, and what they sent to servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Use {
    /// Requests of its callers.
    pub asked: u32,
    /// Requests that went to a server.
    pub sent: u32,
}

/// Share of a workspace's requests that each host may admit.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Admitted {
    /// From 0 to 1.
    pub share: f32,
    /// Requests a second that callers of all hosts ask for.
    pub asked_per_s: f32,
}

impl Admitted {
    /// True if some requests are to be refused.
    pub fn binds(self) -> bool {
        self.share < 1.0
    }
}

/// Time constant of what is asked for. A surge must show before it has spent more than the burst.
const ASKED_MEMORY_MS: f64 = 400.0;
/// Time in which what is left in a ledger is handed out, or what was sent too much is made up for.
const SPEND_S: f64 = 1.0;
/// Share of a quota that ledgers take in: reports are lost now and then, and what they told is never heard of.
const TAKEN_IN: f64 = 0.98;
/// Seconds of a quota that a ledger may be overdrawn by. More would refuse for long what is allowed.
const OVERDRAWN_MAX_S: f64 = 2.0;

/// What is left of a workspace's quota, as the holder of the duty knows it. A new one is empty: an earlier holder may
/// just have handed out all.
#[derive(Clone, Copy, Debug)]
pub struct Ledger {
    left: f64,
    asked_weight: f64,
    began_ms: u64,
    at_ms: u64,
}

impl Ledger {
    /// An empty ledger.
    pub fn new(now_ms: u64) -> Self {
        Self {
            left: 0.0,
            asked_weight: 0.0,
            began_ms: now_ms,
            at_ms: now_ms,
        }
    }

    /// Notes what a host reported.
    pub fn note(&mut self, quota: Quota, reported: Use, now_ms: u64) {
        self.take_in(quota, now_ms);
        self.asked_weight += f64::from(reported.asked);
        let least = -OVERDRAWN_MAX_S * quota.per_s;
        self.left = (self.left - f64::from(reported.sent)).max(least);
    }

    /// What each host may admit from now on.
    pub fn admitted(&mut self, quota: Quota, now_ms: u64) -> Admitted {
        self.take_in(quota, now_ms);
        let asked_per_s = self.asked_per_s();
        let left_per_s = (quota.per_s * TAKEN_IN + self.left / SPEND_S).max(0.0);
        let share = if asked_per_s > left_per_s {
            left_per_s / asked_per_s
        } else {
            1.0
        };
        Admitted {
            share: share as f32,
            asked_per_s: asked_per_s as f32,
        }
    }

    /// True if nothing was asked for in a long time.
    pub fn is_idle(&self) -> bool {
        self.asked_weight < 1e-6
    }

    fn take_in(&mut self, quota: Quota, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        let taken_in = quota.per_s * TAKEN_IN * elapsed_ms / 1_000.0;
        self.left = (self.left + taken_in).min(quota.burst);
        self.asked_weight *= (-elapsed_ms / ASKED_MEMORY_MS).exp();
        self.at_ms = now_ms;
    }

    /// Corrected for the time before its first report, which says nothing.
    fn asked_per_s(&self) -> f64 {
        let age_ms = self.at_ms.saturating_sub(self.began_ms) as f64;
        let heard = (1.0 - (-age_ms / ASKED_MEMORY_MS).exp()).max(0.2);
        self.asked_weight * 1_000.0 / ASKED_MEMORY_MS / heard
    }
}

/// What one host knows of a workspace's quota.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostShare {
    /// The holder's word, and when it came.
    told: Option<(Admitted, u64)>,
    /// This host's part of what all hosts were asked for, when that was last told.
    part: Option<f64>,
    /// What this host may send while no holder confirms its share.
    unheard: Bucket,
    since_report: Use,
    /// What this host was asked for lately.
    own: RateMeter,
}

/// Time for which a share is kept that no holder confirms.
const SHARE_KEPT_MS: u64 = 5_000;

/// What a host goes by besides its share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sharing {
    /// Hosts that share quotas, the own one included.
    pub hosts: usize,
    /// True if the holder's word was heard lately.
    pub is_told: bool,
}

impl HostShare {
    /// True if a request that drew `point` from 0 to 1 is within the quota.
    pub fn admits(&mut self, quota: Quota, sharing: Sharing, point: f64, now_ms: u64) -> bool {
        self.since_report.asked += 1;
        self.own.note(now_ms);
        let kept = self
            .told
            .filter(|(_, at_ms)| now_ms < at_ms + SHARE_KEPT_MS);
        let share = kept.map_or(1.0, |(told, _)| f64::from(told.share));
        if sharing.is_told {
            return point < share;
        }
        // A part of next to nothing says little: the host was asked for little just then.
        let part = self
            .part
            .unwrap_or(0.0)
            .max(1.0 / sharing.hosts.max(1) as f64);
        if point >= share || !self.unheard.has_token(quota.per_s * part, now_ms) {
            return false;
        }
        self.unheard.take();
        true
    }

    /// Notes that a request has gone to a server.
    pub fn note_sent(&mut self) {
        self.since_report.sent += 1;
    }

    /// Notes what the holder has told.
    pub fn note_announced(&mut self, told: Admitted, now_ms: u64) {
        let own_per_s = self.own.per_s(now_ms);
        if told.asked_per_s > 0.0 {
            self.part = Some((own_per_s / f64::from(told.asked_per_s)).min(1.0));
        }
        self.told = Some((told, now_ms));
    }

    /// The holder's latest word.
    pub fn told(&self) -> Option<Admitted> {
        self.told.map(|(told, _)| told)
    }

    /// True if the holder's latest word lets some requests be refused.
    pub fn is_bound(&self) -> bool {
        self.told().is_some_and(Admitted::binds)
    }

    /// What has come since the last report.
    pub fn take_report(&mut self) -> Use {
        std::mem::take(&mut self.since_report)
    }
}
