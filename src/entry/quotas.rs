//! Quotas of workspaces: each host reports what it was asked for and what it sent; the holder of the duty keeps the
//! ledgers and tells all hosts what they may admit.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time;

use super::{
    Entry,
    decide::quota::{Admitted, HostShare, Ledger, Quota, Sharing, Use},
    events::Event,
    peers::message::{Message, QUOTAS_MAX, WorkspaceAdmitted, WorkspaceUse},
    workspaces::{Workspace, Workspaces},
};
use crate::clock;

/// Interval of reports and of the holder's word among few hosts. What is sent beyond a quota while a surge is not
/// known yet grows with it.
const TELL_EVERY_MS: u64 = 150;
/// The same for each host, among many: the holder hears all of them.
const TELL_EVERY_MS_BY_HOST: u64 = 1;
/// Intervals without the holder's word after which it counts as not heard.
const MISSED_WORDS: u64 = 4;
/// Every so many intervals the holder tells of workspaces that ask for less than their quota.
const TELL_ALL_EVERY: u64 = 6;

fn tell_every_ms(hosts: usize) -> u64 {
    TELL_EVERY_MS.max(TELL_EVERY_MS_BY_HOST * hosts as u64)
}

/// Quotas as one host knows them.
#[derive(Debug, Default)]
pub struct Quotas {
    known: Mutex<TableVersions>,
}

#[derive(Debug, Default)]
struct TableVersions {
    /// This host's shares, by workspace.
    shares: HashMap<u32, HostShare>,
    /// Kept while this host has the duty.
    ledgers: HashMap<u32, Ledger>,
    /// When the holder's word came last.
    heard_ms: Option<u64>,
}

impl Quotas {
    /// True if a request of a workspace is within its quota, which so many hosts share.
    pub fn admits(&self, workspace: &Workspace, hosts: usize) -> bool {
        let Some(quota) = workspace.quota else {
            return true;
        };
        let now_ms = clock::now_ms();
        let mut known = self.known();
        let kept_ms = MISSED_WORDS * tell_every_ms(hosts);
        let heard_ms = known.heard_ms;
        let sharing = Sharing {
            hosts,
            is_told: heard_ms.is_some_and(|heard_ms| now_ms <= heard_ms + kept_ms),
        };
        let share = known.shares.entry(workspace.tag).or_default();
        share.admits(quota, sharing, rand::random(), now_ms)
    }

    /// Notes that a request of a workspace goes to a server.
    pub fn note_sent(&self, workspace: &Workspace) {
        if workspace.quota.is_some() {
            let mut known = self.known();
            known.shares.entry(workspace.tag).or_default().note_sent();
        }
    }

    /// What this host was asked for and has sent since the last report.
    fn take_report(&self) -> Vec<WorkspaceUse> {
        let mut known = self.known();
        let reports = known.shares.iter_mut().map(|(tag, share)| WorkspaceUse {
            workspace_tag: *tag,
            used: share.take_report(),
        });
        reports
            .filter(|report| report.used != Use::default())
            .collect()
    }

    /// Takes in, as the holder, what a host reported.
    fn note_report(&self, workspaces: &Workspaces, reports: &[WorkspaceUse]) {
        let now_ms = clock::now_ms();
        let mut known = self.known();
        for report in reports {
            let Some(quota) = quota_of(workspaces, report.workspace_tag) else {
                continue;
            };
            let ledgers = &mut known.ledgers;
            let ledger = ledgers.entry(report.workspace_tag);
            let ledger = ledger.or_insert_with(|| Ledger::new(now_ms));
            ledger.note(quota, report.used, now_ms);
        }
    }

    /// What hosts may admit, as the holder; all of it at times, else only what binds.
    fn admitted(&self, workspaces: &Workspaces, is_for_all: bool) -> Vec<WorkspaceAdmitted> {
        let now_ms = clock::now_ms();
        let mut known = self.known();
        let TableVersions {
            shares, ledgers, ..
        } = &mut *known;
        let mut told = Vec::new();
        for (tag, ledger) in ledgers.iter_mut() {
            let Some(quota) = quota_of(workspaces, *tag) else {
                continue;
            };
            let admitted = ledger.admitted(quota, now_ms);
            let bound = shares.get(tag).is_some_and(HostShare::is_bound);
            if admitted.binds() != bound {
                log_change(workspaces, *tag, quota, admitted);
            }
            if admitted.binds() || bound || is_for_all {
                told.push(WorkspaceAdmitted {
                    workspace_tag: *tag,
                    admitted,
                });
            }
        }
        ledgers.retain(|_, ledger| !ledger.is_idle());
        told
    }

    /// Takes in the holder's word.
    pub(super) fn note_announced(&self, told: &[WorkspaceAdmitted]) {
        let now_ms = clock::now_ms();
        let mut known = self.known();
        known.heard_ms = Some(now_ms);
        for word in told {
            let share = known.shares.entry(word.workspace_tag).or_default();
            share.note_announced(word.admitted, now_ms);
        }
    }

    /// What may be admitted of a workspace's requests by the holder's latest word.
    pub fn told(&self, workspace_tag: u32) -> Option<Admitted> {
        self.known().shares.get(&workspace_tag)?.told()
    }

    fn forget_ledgers(&self) {
        self.known().ledgers.clear();
    }

    fn known(&self) -> MutexGuard<'_, TableVersions> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn quota_of(workspaces: &Workspaces, tag: u32) -> Option<Quota> {
    workspaces.by_tag(tag)?.quota
}

fn log_change(workspaces: &Workspaces, tag: u32, quota: Quota, admitted: Admitted) {
    let Some(workspace) = workspaces.by_tag(tag) else {
        return;
    };
    Event::Quota {
        workspace: workspace.name.clone(),
        per_s: quota.per_s,
        asked_per_s: admitted.asked_per_s,
        admitted: admitted.share,
    }
    .log();
}

impl Entry {
    /// Reports to the holder what workspaces have used; as the holder, tells all hosts what they may admit.
    pub(in crate::entry) async fn keep_telling_quotas(self: Arc<Self>) {
        let mut round: u64 = 0;
        loop {
            let every_ms = tell_every_ms(self.peers.hosts());
            time::sleep(Duration::from_millis(every_ms)).await;
            round += 1;
            let Some(configuration) = self.view.configuration() else {
                continue;
            };
            let Some(workspaces) = configuration.workspaces() else {
                continue;
            };
            let reports = self.quotas.take_report();
            if self.duty.term() == 0 {
                self.quotas.forget_ledgers();
                self.report_quotas(&reports);
                continue;
            }
            self.quotas.note_report(workspaces, &reports);
            let is_for_all = round.is_multiple_of(TELL_ALL_EVERY);
            let told = self.quotas.admitted(workspaces, is_for_all);
            self.tell_quotas(&told);
        }
    }

    fn report_quotas(&self, reports: &[WorkspaceUse]) {
        for reports in reports.chunks(QUOTAS_MAX) {
            if !self.peers.send_to_holder(&Message::Used(reports.to_vec())) {
                log::debug!("no holder hears what workspaces use");
            }
        }
    }

    /// Tells all hosts what they may admit. Word that names no workspace shows that the holder lives.
    fn tell_quotas(&self, told: &[WorkspaceAdmitted]) {
        self.quotas.note_announced(told);
        if told.is_empty() {
            self.peers.send_to_all(Message::Admitted(Vec::new()));
        }
        for told in told.chunks(QUOTAS_MAX) {
            self.peers.send_to_all(Message::Admitted(told.to_vec()));
        }
    }

    /// Takes in, as the holder, what a host reported of workspaces.
    pub(in crate::entry) fn take_used(&self, reports: &[WorkspaceUse]) {
        if self.duty.term() == 0 {
            return;
        }
        let configuration = self.view.configuration();
        if let Some(workspaces) = configuration.as_ref().and_then(|c| c.workspaces()) {
            self.quotas.note_report(workspaces, reports);
        }
    }
}
