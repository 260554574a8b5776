//! Rate that a server takes from all hosts together, as one host knows it, and this host's part of it.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::decide::{
    notices::Notices,
    rate_limit::LimitWord,
    rate_meter::RateMeter,
    rate_parts::{Asked, AskedRates, Bucket, Part},
};
use crate::clock;

/// Rate of one server.
#[derive(Debug, Default)]
pub struct SharedRate {
    /// Shared with what is kept of the server while its entry is gone.
    notices: Arc<Mutex<Notices>>,
    share: Mutex<Share>,
    /// Requests that this host sent to it.
    sent: Mutex<RateMeter>,
}

/// This host's share.
#[derive(Debug, Default)]
struct Share {
    asked: Asked,
    bucket: Bucket,
}

impl SharedRate {
    /// Rate of a server that has told what is in `notices`.
    pub fn new(notices: Arc<Mutex<Notices>>) -> Self {
        Self {
            notices,
            ..Self::default()
        }
    }

    /// Takes in the rate that an answer to this host named; true if that is worth a log line.
    pub fn note_own_word(&self, word: LimitWord) -> bool {
        let mut notices = self.notices();
        notices.rate_limit.note_own(word);
        notices.rate_limit.take_change()
    }

    /// The same of an answer to another host.
    pub fn note_relay_report(&self, word: LimitWord) -> bool {
        let mut notices = self.notices();
        notices.rate_limit.note(word);
        notices.rate_limit.take_change()
    }

    /// Requests a second that it takes from all hosts together; `None` if it takes any rate.
    pub fn limit_per_s(&self) -> Option<f64> {
        self.notices().rate_limit.per_s()
    }

    /// True if nothing was heard of its limit for a while.
    pub fn is_unheard(&self) -> bool {
        self.notices().rate_limit.is_unheard(clock::now_ms())
    }

    /// Requests a second that it takes, for the planner.
    pub fn planned_per_s(&self, now_ms: u64) -> Option<f64> {
        self.notices().rate_limit.planned_per_s(now_ms)
    }

    /// True if other hosts should hear of the rate that it takes.
    pub fn is_news(&self, now_ms: u64) -> bool {
        self.notices().rate_limit.is_news(now_ms)
    }

    /// Its latest word of a rate to any host.
    pub fn latest(&self) -> Option<LimitWord> {
        self.notices().rate_limit.latest()
    }

    /// Its latest word of a rate to this host.
    pub fn own(&self) -> Option<LimitWord> {
        self.notices().rate_limit.own()
    }

    /// Counts a request that a caller of this host asks of it.
    pub fn note_asked(&self, is_urgent: bool) {
        self.share().asked.note(is_urgent, clock::now_ms());
    }

    /// What callers of this host ask of it, to be reported now.
    pub fn report_asked(&self, now_ms: u64) -> AskedRates {
        self.share().asked.report(now_ms)
    }

    /// Notes what callers of all hosts ask of it.
    pub fn note_asked_sum(&self, sum: AskedRates, now_ms: u64) {
        self.share().asked.note_sum(sum, now_ms);
    }

    /// This host's part for a request of the rate that it takes, shared with so many hosts; `None` if it takes any rate.
    pub fn part(&self, hosts: usize, is_urgent: bool) -> Option<Part> {
        let now_ms = clock::now_ms();
        let shared_per_s = self.notices().rate_limit.shared_per_s(now_ms)?;
        let share = self.share();
        Some(share.asked.part(shared_per_s, hosts, is_urgent, now_ms))
    }

    /// True if this host's part leaves room for a request now.
    pub fn has_token(&self, part: Part) -> bool {
        let bucket = &mut self.share().bucket;
        bucket.has_token(part.bucket_per_s, clock::now_ms())
    }

    /// Notes that a request is about to be sent, which uses a part of its rate if that is limited.
    pub fn take_token(&self) {
        if self.limit_per_s().is_some() {
            self.share().bucket.take();
        }
    }

    /// Requests a second that this host sends to it.
    pub fn sent_per_s(&self) -> f64 {
        self.sent().per_s(clock::now_ms())
    }

    /// Counts a request that this host sends to it.
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
