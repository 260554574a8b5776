//! Servers that end, and requests under which several have ended.
//!
//! A host whose connections to a server break off finds out whether the server has ended, and tells
//! the other hosts which of its requests were there. All tally that. While one server has ended under a
//! request, one host at a time tries it; once enough have, it is in quarantine: the holder of the duty names it
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
        quarantine::Quarantine,
        trials::{CLAIM_WAIT_MS, Trials},
    },
    digest::{RequestDigest, RequestDigests},
    events::Event,
    peers::message::{ENTRIES_MAX, Message},
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
        let rests = digests.iter();
        rests
            .filter_map(|digest| quarantine.rest_ms(digest, clock::now_ms()))
            .max()
    }

    /// True if a server has ended under a request, which may end the next one too.
    pub fn is_suspect(&self, digests: RequestDigests) -> bool {
        let now_ms = clock::now_ms();
        let tally = lock(&self.tally);
        digests
            .iter()
            .any(|digest| tally.is_suspect(digest, now_ms))
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
    pub(in crate::entry) fn note_suspects(&self, server_tag: u32, digests: &[RequestDigest]) {
        let now_ms = clock::now_ms();
        let reached = lock(&self.crashes.tally).note(server_tag, digests, now_ms);
        self.put_in_quarantine(&reached, "servers ended under it");
    }

    /// Notes that a server has run a request to a good end: it is not what ended others.
    pub(in crate::entry) fn note_good_end(&self, digests: RequestDigests) {
        for digest in digests.iter().filter(|digest| self.clear_suspect(*digest)) {
            self.peers.send_to_all(Message::Cleared(digest));
        }
    }

    /// Forgets the evidence against a request; true if there was any. Ends are told three times: without
    /// the reports being cleared, a harmless request would be under suspicion again half a second later.
    pub(in crate::entry) fn clear_suspect(&self, digest: RequestDigest) -> bool {
        if !lock(&self.crashes.tally).clear(digest) {
            return false;
        }
        lock(&self.crashes.trials).end(digest);
        lock(&self.crashes.reports).clear(digest);
        true
    }

    /// Before a try of a request under which a server has ended: waits until no other host tries it. `Err`
    /// holds the time after which that may be so.
    pub(in crate::entry) async fn claim_trial(&self, digests: RequestDigests) -> Result<(), u64> {
        let own = self.settings.listen.peers;
        let digest = digests.path;
        lock(&self.crashes.trials).claim(digest, own, clock::now_ms())?;
        self.peers.send_to_all(Message::Trying(digest));
        time::sleep(Duration::from_millis(CLAIM_WAIT_MS)).await;
        let now_ms = clock::now_ms();
        if lock(&self.crashes.trials).has(digest, own, now_ms) {
            return Ok(());
        }
        // It was cleared meanwhile, or a host with a lower address tries it.
        lock(&self.crashes.trials).claim(digest, own, now_ms)
    }

    /// Notes that another host tries a request under which a server has ended.
    pub(in crate::entry) fn note_trial(&self, digest: RequestDigest, host: SocketAddr) {
        lock(&self.crashes.trials).note(digest, host, clock::now_ms());
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
            self.show_duty();
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
            let message = Message::ServerEnded {
                server_tag: report.server_tag,
                digests: digests.to_vec(),
            };
            if report.to_all {
                self.peers.send_to_all(message);
            } else if self.duty.term() == 0 && !self.peers.send_to_holder(&message) {
                log::debug!("no holder hears that a server has ended");
            }
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
