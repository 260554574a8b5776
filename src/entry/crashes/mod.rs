//! Detects server crashes, and quarantines (no longer forwards) requests that crash servers.
//!
//! A host whose connections to a server break probes whether the server has crashed. If so, the
//! host reports to the other hosts which of its requests were in flight at the server: the
//! suspects. All hosts count these crashes as evidence against the suspects, both for each caller
//! and over all callers. Once a server has crashed during a request, only one host at a time may
//! run the request, in a single supervised attempt: a trial. After enough crashes the request is
//! quarantined: the leader lists it in each heartbeat and in the store. A quarantined request that
//! is retried at any host, even after the loss of all hosts, reaches no further server.

pub mod broken_connections;
mod probe;
pub mod reports;
mod stored;

use std::{
    collections::HashSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::Notify, time};

use self::{
    reports::{RefusingServers, Report, Reports},
    stored::StoredQuarantine,
};
use super::{
    Entry,
    decide::{
        crash_tally::CrashTally,
        path_tally::{PathTally, SharedSuspect},
        quarantine::Quarantine,
        trials::{CLAIM_WAIT_MS, ClaimSubject, TrialClaims},
    },
    digest::{RequestDigest, RequestDigests},
    events::Event,
    peers::message::{ENTRIES_MAX, Message, SHARED_SUSPECTS_MAX},
};
use crate::clock;

/// Interval at which crash reports are sent again, because datagrams may be lost.
const RESEND_INTERVAL_MS: u64 = 500;
/// Maximum number of quarantined requests in a heartbeat, which lists the most recent ones in 320
/// bytes. The row in the store lists all of them.
const HEARTBEAT_DIGESTS_MAX: usize = 32;

/// State by which one host detects and refuses requests that crash servers: crash reports, evidence
/// against requests, trials (single supervised attempts) and quarantine.
#[derive(Debug, Default)]
pub struct Crashes {
    /// Evidence against requests, by digests that include the caller.
    tally: Mutex<CrashTally>,
    /// Evidence against the content or path of requests, by digests that leave out the caller.
    path_tally: Mutex<PathTally>,
    /// Requests that this host refuses because servers crashed during them.
    quarantine: Mutex<Quarantine>,
    /// Claims with which hosts reserve a request or a server for a trial (single supervised
    /// attempt), as far as this host knows them. Each claim expires.
    trials: Mutex<TrialClaims>,
    /// Reports of the server crashes that this host detected, to be sent to the other hosts.
    reports: Mutex<Reports>,
    /// Servers that refused connections of this host, to be reported to the leader.
    refusing: Mutex<RefusingServers>,
    /// Tags of servers that any host has reported as refusing connections or as crashed, since this
    /// host as the leader last took them.
    reported_refusing: Mutex<HashSet<u32>>,
    /// Quarantined requests as this host last read them from the store or wrote them to the store.
    stored: Mutex<StoredQuarantine>,
    /// Notified when this host has detected a server crash, to wake the task that sends crash
    /// reports.
    crashed: Notify,
    /// Notified when a request was quarantined, to wake the task that writes the quarantine to the
    /// store.
    quarantined: Notify,
}

impl Crashes {
    /// Returns the remaining time of a request's quarantine, in milliseconds; `None` if the request
    /// is not quarantined.
    pub fn remaining_ms(&self, digests: RequestDigests) -> Option<u64> {
        let quarantine = lock(&self.quarantine);
        let all_digests = digests.all();
        all_digests
            .filter_map(|digest| quarantine.remaining_ms(digest, clock::now_ms()))
            .max()
    }

    /// Returns true if there is evidence that a server has crashed during this caller's request or
    /// during a request with the same content, so that the request may crash further servers.
    pub fn is_suspect(&self, digests: RequestDigests) -> bool {
        let now_ms = clock::now_ms();
        let tally = lock(&self.tally);
        let mut of_caller = digests.iter();
        of_caller.any(|digest| tally.is_suspect(digest, now_ms))
            || lock(&self.path_tally).is_suspect(digests.content, now_ms)
    }

    /// Returns true if a server has crashed during a request for the same path, and no server has
    /// successfully run a request for this path since.
    pub fn is_path_suspect(&self, digests: RequestDigests) -> bool {
        lock(&self.path_tally).is_suspect(digests.any_path, clock::now_ms())
    }

    /// Returns the digest for which a trial of the request is claimed: the content digest, which
    /// leaves out the caller, if the content is suspect; otherwise the digest of this caller's
    /// request without its query.
    fn trial_digest(&self, digests: RequestDigests) -> RequestDigest {
        if lock(&self.path_tally).is_suspect(digests.content, clock::now_ms()) {
            digests.content
        } else {
            digests.path
        }
    }

    /// Returns the quarantined requests that the next heartbeat lists: the most recent ones, at
    /// most [`HEARTBEAT_DIGESTS_MAX`].
    pub fn announced(&self) -> Vec<RequestDigest> {
        let mut latest = lock(&self.quarantine).latest(clock::now_ms());
        latest.truncate(HEARTBEAT_DIGESTS_MAX);
        latest
    }

    /// Returns the number of quarantined requests, including expired ones that are not yet dropped.
    pub fn quarantined(&self) -> usize {
        lock(&self.quarantine).len()
    }
}

impl Entry {
    /// Counts a crash of a server, detected by this host or another host, as evidence against the
    /// requests in flight there, and quarantines those with enough evidence.
    pub(in crate::entry) fn note_suspects(
        &self,
        server_tag: u32,
        digests: &[RequestDigest],
        shared: &[SharedSuspect],
    ) {
        let now_ms = clock::now_ms();
        let mut tally = lock(&self.crashes.tally);
        let mut crossed_threshold = tally.note(server_tag, digests, now_ms);
        let is_mass_crash = tally.has_recent_mass_crash(now_ms);
        let is_large_crash = tally.has_recent_large_crash(now_ms);
        drop(tally);
        let mut path_tally = lock(&self.crashes.path_tally);
        crossed_threshold.extend(path_tally.note(server_tag, shared, is_mass_crash, now_ms));
        if is_large_crash {
            path_tally.drop_pending();
        }
        drop(path_tally);
        self.put_in_quarantine(&crossed_threshold, "servers ended under it");
    }

    /// Records that a server has successfully answered a request sent at `sent_ms`, which shows
    /// that the request did not cause earlier crashes. If the request was suspect, announces to all
    /// hosts that the request is no longer suspect.
    pub(in crate::entry) fn note_success(&self, digests: RequestDigests, sent_ms: u64) {
        let sent_ago_ms = clock::now_ms().saturating_sub(sent_ms) as u32;
        for digest in digests.all() {
            if self.clear_suspect(digest, sent_ms) {
                self.peers.send_to_all(Message::SuspectCleared {
                    digest,
                    sent_ago_ms,
                });
            }
        }
    }

    /// Clears the evidence against a request that succeeded; returns true if there was evidence.
    /// Crash reports are sent three times: unless the reports are cleared too, a harmless request
    /// would be suspect again half a second later.
    pub(in crate::entry) fn clear_suspect(&self, digest: RequestDigest, sent_ms: u64) -> bool {
        let is_cleared = if digest.is_of_any_caller() {
            lock(&self.crashes.path_tally).clear(digest, sent_ms)
        } else {
            lock(&self.crashes.tally).clear(digest)
        };
        if is_cleared {
            lock(&self.crashes.trials).end(digest);
            lock(&self.crashes.reports).clear(digest);
        }
        is_cleared
    }

    /// Claims the trial (single supervised attempt) of a suspect request at a server, so that no
    /// other host runs the request and no other suspect runs at the server. Sends the claims to the
    /// other hosts, and waits [`CLAIM_WAIT_MS`] for competing claims from those hosts. `Err` holds
    /// the time in milliseconds after which the claim that blocks this trial expires.
    pub(in crate::entry) async fn claim_trial(
        &self,
        digests: RequestDigests,
        server_tag: u32,
    ) -> Result<(), u64> {
        let own = self.settings.listen.peers;
        let claims = [
            ClaimSubject::Request(self.crashes.trial_digest(digests)),
            ClaimSubject::Server(server_tag),
        ];
        self.claim(claims)?;
        for claimed in claims {
            self.peers.send_to_all(Message::TrialStarted(claimed));
        }
        time::sleep(Duration::from_millis(CLAIM_WAIT_MS)).await;
        let now_ms = clock::now_ms();
        let has_all = {
            let trials = lock(&self.crashes.trials);
            claims
                .iter()
                .all(|claimed| trials.has(*claimed, own, now_ms))
        };
        if has_all {
            return Ok(());
        }
        // While this host waited, the evidence against the request was cleared, which ends the
        // claim on the request, or a host with a lower address has claimed the request or the
        // server.
        self.release_own_claims(claims);
        self.claim(claims)
    }

    /// Claims both the request and the server for this host, or neither. `Err` holds the remaining
    /// time, in milliseconds, of the claim that blocks the trial.
    fn claim(&self, [request, server]: [ClaimSubject; 2]) -> Result<(), u64> {
        let own = self.settings.listen.peers;
        let now_ms = clock::now_ms();
        let mut trials = lock(&self.crashes.trials);
        trials.claim(request, own, now_ms)?;
        let claimed = trials.claim(server, own, now_ms);
        if claimed.is_err() {
            trials.end(request);
        }
        claimed
    }

    /// Releases the given claims, except those that have expired or were displaced by the claim of
    /// another host.
    fn release_own_claims(&self, claims: [ClaimSubject; 2]) {
        let own = self.settings.listen.peers;
        let now_ms = clock::now_ms();
        for claimed in claims {
            if lock(&self.crashes.trials).has(claimed, own, now_ms) {
                self.release_claim(claimed);
            }
        }
    }

    /// Ends a claim at this host, and tells the other hosts to end it as well.
    fn release_claim(&self, claimed: ClaimSubject) {
        self.note_trial_end(claimed);
        self.peers.send_to_all(Message::TrialEnded(claimed));
    }

    /// Records another host's claim, which displaces this host's claim of the same request or
    /// server if the other host has the lower address.
    pub(in crate::entry) fn note_trial(&self, claimed: ClaimSubject, host: SocketAddr) {
        lock(&self.crashes.trials).note(claimed, host, clock::now_ms());
    }

    /// Ends a claim at this host, so that the next suspect (a request that was in flight when a
    /// server crashed) may run. A claim ends when the server has answered the trial, or when the
    /// claiming host releases the claim without a trial.
    pub(in crate::entry) fn note_trial_end(&self, claimed: ClaimSubject) {
        lock(&self.crashes.trials).end(claimed);
    }

    /// Ends the trial of a suspect request after the server has answered it: releases the claims of
    /// the request and the server at all hosts.
    pub(in crate::entry) fn end_trial(&self, digests: RequestDigests, server_tag: u32) {
        let claims = [
            ClaimSubject::Request(self.crashes.trial_digest(digests)),
            ClaimSubject::Server(server_tag),
        ];
        for claimed in claims {
            self.release_claim(claimed);
        }
    }

    /// Quarantines requests, so that this host no longer forwards them. `source` says in the log
    /// event why, or from where this host learned of the quarantine.
    pub(in crate::entry) fn put_in_quarantine(
        &self,
        digests: &[RequestDigest],
        source: &'static str,
    ) {
        let mut is_changed = false;
        for digest in digests {
            if !lock(&self.crashes.quarantine).add(*digest, clock::now_ms()) {
                continue;
            }
            is_changed = true;
            Event::Quarantined {
                digest: digest.to_string(),
                source,
            }
            .log();
        }
        if is_changed {
            self.send_heartbeat();
            self.crashes.quarantined.notify_one();
        }
    }

    /// Records, as the leader, servers that refused connections of a host.
    pub(in crate::entry) fn note_refusing_servers(&self, tags: &[u32]) {
        if self.leadership.term() > 0 {
            lock(&self.crashes.reported_refusing).extend(tags);
        }
    }

    /// Takes the tags of the servers that hosts have reported as refusing connections since the
    /// last call.
    pub(in crate::entry) fn take_refusing_servers(&self) -> HashSet<u32> {
        std::mem::take(&mut *lock(&self.crashes.reported_refusing))
    }

    /// Reports to the leader the servers that refused connections of this host.
    fn report_refusing_servers(&self, term: u64) {
        let tags = lock(&self.crashes.refusing).due(term, clock::now_ms());
        if tags.is_empty() {
            return;
        }
        if self.leadership.term() > 0 {
            self.note_refusing_servers(&tags);
        } else if !self
            .peers
            .send_to_leader(&Message::RefusedConnections(tags))
        {
            log::debug!("refused connections not reported: no leader can be reached");
        }
    }

    /// Sends the crash reports of this host to the other hosts, and again to each new leader.
    pub(in crate::entry) async fn report_crashes(self: Arc<Self>) {
        loop {
            let term = self.peers.leader_term();
            let due = lock(&self.crashes.reports).due(term);
            for report in &due {
                self.send_crash_report(report);
            }
            self.report_refusing_servers(term);
            let pause = Duration::from_millis(RESEND_INTERVAL_MS);
            // The loop sends the due reports both after a crash and after the timeout.
            if time::timeout(pause, self.crashes.crashed.notified())
                .await
                .is_ok()
            {
                log::debug!("sending crash reports: a server has crashed");
            }
        }
    }

    /// Sends one crash report, split into messages of bounded size: at most [`ENTRIES_MAX`] digests
    /// or [`SHARED_SUSPECTS_MAX`] suspects each.
    fn send_crash_report(&self, report: &Report) {
        for digests in report.digests.chunks(ENTRIES_MAX) {
            self.send_suspects(report, digests.to_vec(), Vec::new());
        }
        for shared in report.shared.chunks(SHARED_SUSPECTS_MAX) {
            self.send_suspects(report, Vec::new(), shared.to_vec());
        }
    }

    /// Sends a part of a crash report to all hosts, or only to the leader if `report.to_all` is
    /// false.
    fn send_suspects(
        &self,
        report: &Report,
        digests: Vec<RequestDigest>,
        shared: Vec<SharedSuspect>,
    ) {
        let message = Message::ServerEnded {
            server_tag: report.server_tag,
            digests,
            shared,
        };
        if report.to_all {
            self.peers.send_to_all(message);
        } else if self.leadership.term() == 0 && !self.peers.send_to_leader(&message) {
            log::debug!("crash report not sent: no leader can be reached");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
