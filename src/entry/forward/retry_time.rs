//! Retry times of requests that are refused at contended services, and the admission of retries
//! there.

use super::forwarded_request::ForwardedRequest;
use crate::{
    clock,
    entry::{
        Entry,
        contention::RequestStep,
        decide::{
            Policy, admission,
            retry_after::{BlockedBy, RETRY_AFTER_MAX_MS, Refused},
            retry_schedule::{self, RefusedCaller},
            shortage,
        },
        retry_schedules::SchedulePlace,
        server::Server,
        tag::tag_of,
    },
};

/// Server, or service if the server is not known, at which a refused caller gets a place.
struct RetryTarget {
    tag: u32,
    capacity_per_s: f64,
    /// Time until the requests that the server has are expected to have run, in milliseconds.
    queue_ms: f64,
}

impl ForwardedRequest<'_> {
    /// Returns the refusal with another retry time if the service is contended: from the schedule of
    /// the key's server, or at random if the end of the blocking cause is not known. Urgent callers
    /// that a queue blocks retry before the scheduled places. While the service is short of
    /// capacity, other callers that a queue blocks retry late in the time that they honour.
    pub(super) fn with_retry_time(&self, entry: &Entry, refused: &Refused) -> Refused {
        let policy = &entry.settings.policy;
        let now_ms = clock::now_ms();
        let left_ms = self.times.caller_deadline_ms.saturating_sub(now_ms);
        let honoured_ms = retry_schedule::honoured_ms(left_ms).min(RETRY_AFTER_MAX_MS);
        let is_urgent = self.is_urgent();
        let is_refused_by_queue = refused.blocked_by == BlockedBy::Queue && !is_urgent;
        if is_refused_by_queue && entry.is_short(&self.service) {
            let step = RequestStep::ToldToRetryInShortage;
            entry.contention.note(&self.service, is_urgent, step);
            let after_ms = shortage::retry_after_ms(honoured_ms, rand::random());
            return refused.at(after_ms, honoured_ms, policy);
        }
        let keeps_time = match refused.blocked_by {
            BlockedBy::Other => true,
            BlockedBy::Queue | BlockedBy::HotKey => {
                is_urgent && refused.retry_after_ms <= honoured_ms
            }
            BlockedBy::Move | BlockedBy::Unknown => false,
        };
        let is_scheduled = policy.schedules_retries_by_age() && self.times.age.is_exact;
        if keeps_time || !is_scheduled || !entry.is_contended(&self.service) {
            return refused.clone();
        }
        let caller = RefusedCaller {
            now_ms,
            blocked_ms: refused.retry_after_ms,
            honoured_ms,
            is_urgent,
        };
        let after_ms = match refused.blocked_by {
            BlockedBy::Unknown => {
                retry_schedule::unknown_ms(refused.retry_after_ms, honoured_ms, rand::random())
            }
            blocked_by => self.place_ms(entry, caller, blocked_by),
        };
        let step = RequestStep::ToldToRetry;
        entry.contention.note(&self.service, is_urgent, step);
        refused.at(after_ms, honoured_ms, policy)
    }

    /// Takes a place in the schedule of the key's server and returns the time until the place, in
    /// milliseconds.
    fn place_ms(&self, entry: &Entry, caller: RefusedCaller, blocked_by: BlockedBy) -> u64 {
        let target = self.retry_target(entry);
        let queue_ms = match blocked_by {
            BlockedBy::Queue | BlockedBy::HotKey => target.queue_ms as u64,
            BlockedBy::Move | BlockedBy::Unknown | BlockedBy::Other => 0,
        };
        let caller = RefusedCaller {
            blocked_ms: caller.blocked_ms.max(queue_ms),
            ..caller
        };
        let hosts = entry.sharing_hosts();
        let interval_ms = retry_schedule::interval_ms(target.capacity_per_s, hosts);
        let place = SchedulePlace {
            tag: target.tag,
            // Callers that a hot key or a queue blocks share the rate of the server.
            blocked_by: match blocked_by {
                BlockedBy::HotKey => BlockedBy::Queue,
                other => other,
            },
        };
        let schedules = &entry.retry_schedules;
        schedules.retry_after_ms(place, caller, interval_ms, rand::random())
    }

    /// Returns the thresholds for the admission of the request at its server. A retry past the
    /// objective of its caller does not queue: its run would make timely responses late. While the
    /// service is short of capacity, queues are shorter for requests that are not urgent.
    pub(super) fn admission_policy(&self, entry: &Entry) -> Policy {
        let policy = if !self.is_urgent() && entry.is_short(&self.service) {
            shortage::admission_policy(&entry.settings.policy)
        } else {
            entry.settings.policy
        };
        Policy {
            late_may_queue: policy.late_may_queue && self.times.age.age_ms == 0,
            ..policy
        }
    }

    /// Counts a step of the request if its service is contended.
    pub(super) fn note_step(&self, entry: &Entry, step: RequestStep) {
        if entry.is_contended(&self.service) {
            entry.contention.note(&self.service, self.is_urgent(), step);
        }
    }

    /// Counts a step of a retry, if the request is one by its estimated age.
    pub(super) fn note_retry(&self, entry: &Entry, step: RequestStep) {
        if self.times.age.age_ms > 0 {
            self.note_step(entry, step);
        }
    }

    /// Returns the server that gets the retry: the server chosen last, or the server that is to
    /// hold the key.
    fn retry_target(&self, entry: &Entry) -> RetryTarget {
        let registry = entry.view.registry();
        let typical_ms = registry.typical_run_ms(&self.service);
        let capacity_per_s = |server: &Server| {
            let seen = self.candidate(entry, server);
            admission::capacity_per_s(&seen, typical_ms)
        };
        let of_server = |server: &Server| {
            let capacity_per_s = capacity_per_s(server);
            RetryTarget {
                tag: server.tag,
                capacity_per_s,
                queue_ms: f64::from(server.load()) * 1000.0 / capacity_per_s,
            }
        };
        if let Some(server) = &self.last {
            return of_server(server);
        }
        let assigned = self
            .key
            .and_then(|k| entry.view.assigned_server(&self.service, k));
        if let Some(server) = assigned.as_deref().and_then(|id| registry.server(id)) {
            return of_server(server);
        }
        let servers = registry.of_service(&self.service);
        let total_per_s: f64 = servers.clone().map(|server| capacity_per_s(server)).sum();
        match assigned {
            // The entry of the server is gone; its keys go to servers of the same kind.
            Some(id) => RetryTarget {
                tag: tag_of(&id),
                capacity_per_s: total_per_s / servers.count().max(1) as f64,
                queue_ms: 0.0,
            },
            None => RetryTarget {
                tag: tag_of(&self.service),
                capacity_per_s: total_per_s,
                queue_ms: 0.0,
            },
        }
    }
}
