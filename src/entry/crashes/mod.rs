//! Servers that end, and requests under which several have ended.
//!
//! A host whose connections to a server break off finds out whether the server has ended, and tells
//! the other hosts which of its requests were there. All tally that, by caller and for all callers. While one server has
//! ended under a request, one host at a time tries it; once enough have, it is in quarantine: the holder of the duty names it
//! in each heartbeat and keeps it in the store. So a request that comes again at any host, also after the loss
//! of all hosts, reaches no further server.

pub mod break_offs;
mod probe;
pub mod reports;
mod stored;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::{sync::Notify, time};

use self::{
    reports::{Report, Reports},
    stored::Stored,
};
use super::{
    Entry,
    decide::{
        crash_tally::CrashTally,
        path_tally::{PathTally, SharedSuspect},
        quarantine::Quarantine,
        trials::{CLAIM_WAIT_MS, Claimed, Trials},
    },
    digest::{RequestDigest, RequestDigests},
    events::Event,
    peers::message::{ENTRIES_MAX, Message, SHARED_SUSPECTS_MAX},
};
use crate::clock;

/// Interval at which an end is told again.
const TELL_EVERY_MS: u64 = 500;
/// Most requests in quarantine that a heartbeat names, the latest ones: 320 bytes. The store has all.
const TOLD_MAX: usize = 32;

/// What a host knows of servers that ended and of the requests that were there.
#[derive(Debug, Default)]
pub struct Crashes {
    tally: Mutex<CrashTally>,
    path_tally: Mutex<PathTally>,
    quarantine: Mutex<Quarantine>,
    trials: Mutex<Trials>,
    reports: Mutex<Reports>,
    stored: Mutex<Stored>,
    /// A server has ended.
    ended: Notify,
    /// A request was put in quarantine.
    quarantined: Notify,
}

impl Crashes {
    /// Time for which no server gets a request; `None` if servers may get it.
    pub fn rest_ms(&self, digests: RequestDigests) -> Option<u64> {
        let quarantine = lock(&self.quarantine);
        let rests = digests.all();
        rests
            .filter_map(|digest| quarantine.rest_ms(digest, clock::now_ms()))
            .max()
    }

    /// True if a server has ended under a request, which may end the next one too.
    pub fn is_suspect(&self, digests: RequestDigests) -> bool {
        let now_ms = clock::now_ms();
        let tally = lock(&self.tally);
        let mut of_caller = digests.iter();
        of_caller.any(|digest| tally.is_suspect(digest, now_ms))
            || lock(&self.path_tally).is_suspect(digests.content, now_ms)
    }

    /// True if a server has ended under a request for the same path, and none has run one to a good end since.
    pub fn is_path_suspect(&self, digests: RequestDigests) -> bool {
        lock(&self.path_tally).is_suspect(digests.any_path, clock::now_ms())
    }

    /// What is tried of a suspect: what any caller asks for, if that is one.
    fn tried(&self, digests: RequestDigests) -> RequestDigest {
        if lock(&self.path_tally).is_suspect(digests.content, clock::now_ms()) {
            digests.content
        } else {
            digests.path
        }
    }

    /// Requests in quarantine that a heartbeat names.
    pub fn told(&self) -> Vec<RequestDigest> {
        let mut latest = lock(&self.quarantine).latest(clock::now_ms());
        latest.truncate(TOLD_MAX);
        latest
    }

    /// Number of requests in quarantine.
    pub fn quarantined(&self) -> usize {
        lock(&self.quarantine).len()
    }
}

impl Entry {
    /// Notes that a server ended under requests, as this host or another one saw.
    pub(in crate::entry) fn note_suspects(
        &self,
        server_tag: u32,
        digests: &[RequestDigest],
        shared: &[SharedSuspect],
    ) {
        let now_ms = clock::now_ms();
        let mut tally = lock(&self.crashes.tally);
        let mut reached = tally.note(server_tag, digests, now_ms);
        let is_one_of_many = tally.are_many_at_once(now_ms);
        drop(tally);
        let mut path_tally = lock(&self.crashes.path_tally);
        reached.extend(path_tally.note(server_tag, shared, is_one_of_many, now_ms));
        drop(path_tally);
        self.put_in_quarantine(&reached, "servers ended under it");
    }

    /// Notes that a server has run a request, sent at a time, to a good end: it is not what ended others.
    pub(in crate::entry) fn note_good_end(&self, digests: RequestDigests, sent_ms: u64) {
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

    /// Forgets the evidence against a request that ended well; true if there was any. Ends are told three times:
    /// without the reports being cleared, a harmless request would be under suspicion again half a second later.
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

    /// Before a try of a request under which a server has ended: waits until no other host tries it, and no suspect is
    /// tried at its server. `Err` holds the time after which that may be so.
    pub(in crate::entry) async fn claim_trial(
        &self,
        digests: RequestDigests,
        server_tag: u32,
    ) -> Result<(), u64> {
        let own = self.settings.listen.peers;
        let claims = [
            Claimed::Request(self.crashes.tried(digests)),
            Claimed::Server(server_tag),
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
        // It was cleared meanwhile, or a host with a lower address tries it.
        self.give_back(claims);
        self.claim(claims)
    }

    /// Claims both or none.
    fn claim(&self, [request, server]: [Claimed; 2]) -> Result<(), u64> {
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

    /// Gives back those of the claims that this host has.
    fn give_back(&self, claims: [Claimed; 2]) {
        let own = self.settings.listen.peers;
        let now_ms = clock::now_ms();
        for claimed in claims {
            if lock(&self.crashes.trials).has(claimed, own, now_ms) {
                self.tell_tried(claimed);
            }
        }
    }

    /// Ends a claim here and at the other hosts.
    fn tell_tried(&self, claimed: Claimed) {
        self.note_tried(claimed);
        self.peers.send_to_all(Message::TrialPassed(claimed));
    }

    /// Notes that another host tries a suspect.
    pub(in crate::entry) fn note_trial(&self, claimed: Claimed, host: SocketAddr) {
        lock(&self.crashes.trials).note(claimed, host, clock::now_ms());
    }

    /// Notes that the server of a trial lives, so that the next suspect may be tried there.
    pub(in crate::entry) fn note_tried(&self, claimed: Claimed) {
        lock(&self.crashes.trials).end(claimed);
    }

    /// Notes that a server has answered a suspect, and tells the other hosts.
    pub(in crate::entry) fn end_trial(&self, digests: RequestDigests, server_tag: u32) {
        let claims = [
            Claimed::Request(self.crashes.tried(digests)),
            Claimed::Server(server_tag),
        ];
        for claimed in claims {
            self.tell_tried(claimed);
        }
    }

    /// Keeps requests from all servers.
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

    /// Tells the other hosts of servers that ended, and each later holder of the duty again.
    pub(in crate::entry) async fn keep_telling_crashes(self: Arc<Self>) {
        loop {
            let term = self.peers.holder_term();
            let due = lock(&self.crashes.reports).due(term);
            for report in &due {
                self.tell_crash(report);
            }
            let pause = Duration::from_millis(TELL_EVERY_MS);
            // Either way what is due is told.
            if time::timeout(pause, self.crashes.ended.notified())
                .await
                .is_ok()
            {
                log::debug!("a server has ended");
            }
        }
    }

    fn tell_crash(&self, report: &Report) {
        for digests in report.digests.chunks(ENTRIES_MAX) {
            self.tell_suspects(report, digests.to_vec(), Vec::new());
        }
        for shared in report.shared.chunks(SHARED_SUSPECTS_MAX) {
            self.tell_suspects(report, Vec::new(), shared.to_vec());
        }
    }

    fn tell_suspects(
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
        } else if self.duty.term() == 0 && !self.peers.send_to_holder(&message) {
            log::debug!("no holder hears that a server has ended");
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
