//! Quotas of workspaces across hosts. Each host reports the number of its requests to the leader.
//! The leader adds the numbers up in one ledger (account of the remaining quota) for each
//! workspace, and announces which fraction of a workspace's requests the hosts may admit.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time;

use super::{
    Entry,
    decide::quota::{AdmittedShare, HostShare, Ledger, Quota, QuotaContext, QuotaUsage},
    events::Event,
    peers::message::{Message, QUOTAS_MAX, WorkspaceAdmitted, WorkspaceUse},
    workspaces::{Workspace, Workspaces},
};
use crate::clock;

/// Interval of reports and announcements among few hosts. Until the leader has announced a lower
/// share after a surge of requests, hosts admit more than the quota; this excess grows with the
/// interval.
const REPORT_INTERVAL_MS: u64 = 150;
/// Part of the interval of reports for each host: the interval is this value multiplied by the
/// number of hosts, but at least [`REPORT_INTERVAL_MS`]. The growth bounds the number of messages
/// that the leader receives from many hosts.
const REPORT_INTERVAL_MS_PER_HOST: u64 = 1;
/// Number of intervals without an announcement after which a host no longer relies on the last
/// announcement alone: it then also limits the requests that it admits by a token bucket of its
/// own.
const MISSED_ANNOUNCEMENTS: u64 = 4;
/// Number of announcement intervals after which an announcement again includes all workspaces with
/// requests, even those whose requests are within their quota.
const FULL_ANNOUNCEMENT_EVERY: u64 = 6;

/// Returns the interval of reports and announcements in milliseconds; it grows with the number of
/// hosts.
fn report_interval_ms(hosts: usize) -> u64 {
    REPORT_INTERVAL_MS.max(REPORT_INTERVAL_MS_PER_HOST * hosts as u64)
}

/// State of the workspaces' quotas at one host: the fraction of each workspace's requests that the
/// host admits and, while the host is the leader, the ledgers of all hosts' requests.
#[derive(Debug, Default)]
pub struct Quotas {
    state: Mutex<QuotaState>,
}

#[derive(Debug, Default)]
struct QuotaState {
    /// State by which this host decides which requests of a workspace to admit, by workspace tag.
    shares: HashMap<u32, HostShare>,
    /// Ledgers of all hosts' requests, by workspace tag; kept while this host is the leader.
    ledgers: HashMap<u32, Ledger>,
    /// Time at which this host received or made the last announcement; `None` before the first.
    announced_ms: Option<u64>,
}

impl Quotas {
    /// Returns true if the quota of the workspace admits a request. The quota is shared by `hosts`
    /// hosts.
    pub fn admits(&self, workspace: &Workspace, hosts: usize) -> bool {
        let Some(quota) = workspace.quota else {
            return true;
        };
        let now_ms = clock::now_ms();
        let mut state = self.state();
        let kept_ms = MISSED_ANNOUNCEMENTS * report_interval_ms(hosts);
        let announced_ms = state.announced_ms;
        let context = QuotaContext {
            hosts,
            is_confirmed: announced_ms.is_some_and(|announced_ms| now_ms <= announced_ms + kept_ms),
        };
        let share = state.shares.entry(workspace.tag).or_default();
        share.admits(quota, context, rand::random(), now_ms)
    }

    /// Counts a request of a workspace that is sent to a server, if the workspace has a quota. Only
    /// sent requests use up the quota.
    pub fn note_sent(&self, workspace: &Workspace) {
        if workspace.quota.is_some() {
            let mut state = self.state();
            state.shares.entry(workspace.tag).or_default().note_sent();
        }
    }

    /// Returns the number of requests of each workspace that this host received and sent since its
    /// last report, and sets these numbers to 0. Workspaces without requests are left out.
    fn take_report(&self) -> Vec<WorkspaceUse> {
        let mut state = self.state();
        let reports = state.shares.iter_mut().map(|(tag, share)| WorkspaceUse {
            workspace_tag: *tag,
            used: share.take_report(),
        });
        reports
            .filter(|report| report.used != QuotaUsage::default())
            .collect()
    }

    /// Adds a host's report to the ledgers, which only the leader keeps.
    fn note_report(&self, workspaces: &Workspaces, reports: &[WorkspaceUse]) {
        let now_ms = clock::now_ms();
        let mut state = self.state();
        for report in reports {
            let Some(quota) = quota_of(workspaces, report.workspace_tag) else {
                continue;
            };
            let ledgers = &mut state.ledgers;
            let ledger = ledgers.entry(report.workspace_tag);
            let ledger = ledger.or_insert_with(|| Ledger::new(now_ms));
            ledger.note(quota, report.used, now_ms);
        }
    }

    /// Returns the fraction of each workspace's requests that hosts may admit, computed by the
    /// leader from its ledgers. If `is_for_all` is false, leaves out the workspaces within their
    /// quota for which the latest announcement did not limit the requests either.
    fn admitted(&self, workspaces: &Workspaces, is_for_all: bool) -> Vec<WorkspaceAdmitted> {
        let now_ms = clock::now_ms();
        let mut state = self.state();
        let QuotaState {
            shares, ledgers, ..
        } = &mut *state;
        let mut announced = Vec::new();
        for (tag, ledger) in ledgers.iter_mut() {
            let Some(quota) = quota_of(workspaces, *tag) else {
                continue;
            };
            let admitted = ledger.admitted(quota, now_ms);
            let was_limited = shares.get(tag).is_some_and(HostShare::is_limited);
            if admitted.is_limiting() != was_limited {
                log_change(workspaces, *tag, quota, admitted);
            }
            if admitted.is_limiting() || was_limited || is_for_all {
                announced.push(WorkspaceAdmitted {
                    workspace_tag: *tag,
                    admitted,
                });
            }
        }
        ledgers.retain(|_, ledger| !ledger.is_idle());
        announced
    }

    /// Applies the admitted shares (fractions of requests that hosts may admit) that the leader
    /// announced, and records the time at which this host received the announcement. The list of
    /// shares may be empty.
    pub(super) fn note_announced(&self, announced: &[WorkspaceAdmitted]) {
        let now_ms = clock::now_ms();
        let mut state = self.state();
        state.announced_ms = Some(now_ms);
        for announcement in announced {
            let share = state.shares.entry(announcement.workspace_tag).or_default();
            share.note_announced(announcement.admitted, now_ms);
        }
    }

    /// Returns the fraction of a workspace's requests that hosts may admit by the latest
    /// announcement; `None` if no such fraction was announced.
    pub fn announced(&self, workspace_tag: u32) -> Option<AdmittedShare> {
        self.state().shares.get(&workspace_tag)?.announced()
    }

    /// Discards the ledgers, which only the leader keeps.
    fn forget_ledgers(&self) {
        self.state().ledgers.clear();
    }

    fn state(&self) -> MutexGuard<'_, QuotaState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the quota of a workspace; `None` if the workspace has no quota or the configuration has
/// no such workspace.
fn quota_of(workspaces: &Workspaces, tag: u32) -> Option<Quota> {
    workspaces.by_tag(tag)?.quota
}

/// Logs that a workspace has exceeded its quota, so that hosts refuse some of its requests, or that
/// it is within the quota again.
fn log_change(workspaces: &Workspaces, tag: u32, quota: Quota, admitted: AdmittedShare) {
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
    /// Reports the usage of workspaces to the leader; as the leader, announces to all hosts the
    /// fractions of workspaces' requests that the hosts may admit.
    pub(in crate::entry) async fn exchange_quota_usage(self: Arc<Self>) {
        let mut round: u64 = 0;
        loop {
            let every_ms = report_interval_ms(self.peers.hosts());
            time::sleep(Duration::from_millis(every_ms)).await;
            round += 1;
            let Some(configuration) = self.view.configuration() else {
                continue;
            };
            let Some(workspaces) = configuration.workspaces() else {
                continue;
            };
            let reports = self.quotas.take_report();
            if self.leadership.term() == 0 {
                self.quotas.forget_ledgers();
                self.report_quotas(&reports);
                continue;
            }
            self.quotas.note_report(workspaces, &reports);
            let is_for_all = round.is_multiple_of(FULL_ANNOUNCEMENT_EVERY);
            let announced = self.quotas.admitted(workspaces, is_for_all);
            self.announce_quotas(&announced);
        }
    }

    /// Sends this host's usage report to the leader.
    fn report_quotas(&self, reports: &[WorkspaceUse]) {
        for reports in reports.chunks(QUOTAS_MAX) {
            if !self
                .peers
                .send_to_leader(&Message::ReportUsage(reports.to_vec()))
            {
                log::debug!("usage report not sent: no leader can be reached");
            }
        }
    }

    /// Announces to all hosts the fractions of workspaces' requests that the hosts may admit. If
    /// there are no fractions to announce, sends an empty announcement, which shows that the leader
    /// is alive.
    fn announce_quotas(&self, announced: &[WorkspaceAdmitted]) {
        self.quotas.note_announced(announced);
        if announced.is_empty() {
            self.peers.send_to_all(Message::AdmittedShare(Vec::new()));
        }
        for announced in announced.chunks(QUOTAS_MAX) {
            self.peers
                .send_to_all(Message::AdmittedShare(announced.to_vec()));
        }
    }

    /// Adds the usage report from a host to the ledgers if this host is the leader; otherwise
    /// ignores the report.
    pub(in crate::entry) fn handle_usage_report(&self, reports: &[WorkspaceUse]) {
        if self.leadership.term() == 0 {
            return;
        }
        let configuration = self.view.configuration();
        if let Some(workspaces) = configuration.as_ref().and_then(|c| c.workspaces()) {
            self.quotas.note_report(workspaces, reports);
        }
    }
}
