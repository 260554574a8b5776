//! Counts what happens to the requests for contended services, for the metrics and the log. A
//! service is contended if it is sharded, its servers have few slots and its callers wait beyond
//! the latency objective; see [`contended`].

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time;

use super::{
    Entry,
    decide::{
        contended::{self, ServiceProfile},
        retry_after::BlockedBy,
    },
    events::Event,
    tag::tag_of,
};

/// Interval of the log events with the counts of each contended service.
const LOG_EVERY_MS: u64 = 5_000;
/// Number of variants of [`RequestStep`].
const STEPS: usize = 9;

/// Step in the handling of a request for a contended service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestStep {
    /// A server answered the request.
    Answered,
    /// The request was refused because its server already has too many requests, or because its key
    /// is hot.
    RefusedByQueue,
    /// The request was refused because its key is being moved, or waits for a lease to expire.
    RefusedByMove,
    /// The request was refused because the server of its key is not known, refuses connections, or
    /// has been replaced at its address.
    RefusedWithoutServer,
    /// The request was refused for another reason.
    RefusedOther,
    /// The request is a retry of a caller whose earlier attempt did not succeed.
    Retry,
    /// A server answered a retry.
    RetryAnswered,
    /// The request was refused with a retry time from the schedule of its server, or at random if
    /// the end of the blocking cause is not known.
    ToldToRetry,
    /// The request was refused while its service was short of capacity, with a retry time from the
    /// later part of the time that its caller honours.
    ToldToRetryInShortage,
}

impl RequestStep {
    /// All steps, in the order of their counters.
    pub const ALL: [Self; STEPS] = [
        Self::Answered,
        Self::RefusedByQueue,
        Self::RefusedByMove,
        Self::RefusedWithoutServer,
        Self::RefusedOther,
        Self::Retry,
        Self::RetryAnswered,
        Self::ToldToRetry,
        Self::ToldToRetryInShortage,
    ];

    /// Returns the step of a request that was refused because of `blocked_by`.
    pub fn refused(blocked_by: BlockedBy) -> Self {
        match blocked_by {
            BlockedBy::Queue | BlockedBy::HotKey => Self::RefusedByQueue,
            BlockedBy::Move => Self::RefusedByMove,
            BlockedBy::Unknown => Self::RefusedWithoutServer,
            BlockedBy::Other => Self::RefusedOther,
        }
    }

    /// Returns the name of the step in metrics and log events.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::RefusedByQueue => "refused_by_queue",
            Self::RefusedByMove => "refused_by_move",
            Self::RefusedWithoutServer => "refused_without_server",
            Self::RefusedOther => "refused_other",
            Self::Retry => "retry",
            Self::RetryAnswered => "retry_answered",
            Self::ToldToRetry => "told_to_retry",
            Self::ToldToRetryInShortage => "told_to_retry_in_shortage",
        }
    }
}

/// Service and urgency that a count belongs to. A request is urgent if the service also gets
/// requests of a lower priority.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ContentionKey {
    /// Name of the service.
    pub service: Arc<str>,
    /// True for the counts of urgent requests.
    pub is_urgent: bool,
}

/// Counts of one service and urgency since the start of the process.
#[derive(Debug, Default)]
struct Counters([AtomicU64; STEPS]);

/// Counts of the requests for contended services, by service and urgency.
#[derive(Debug, Default)]
pub struct Contention {
    counters: Mutex<HashMap<ContentionKey, Arc<Counters>>>,
    /// Names of the services that were contended when the log last stated them.
    logged_services: Mutex<Vec<Arc<str>>>,
}

impl Contention {
    /// Counts a step of a request for a contended service.
    pub fn note(&self, service: &Arc<str>, is_urgent: bool, step: RequestStep) {
        let key = ContentionKey {
            service: service.clone(),
            is_urgent,
        };
        let counters = lock(&self.counters).entry(key).or_default().clone();
        counters.0[step as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Returns the counts since the start of the process, in the order of [`RequestStep::ALL`].
    pub fn counts(&self) -> Vec<(ContentionKey, [u64; STEPS])> {
        let counters = lock(&self.counters);
        let counts = counters.iter().map(|(key, counters)| {
            let counts = counters.0.each_ref();
            let counts = counts.map(|count| count.load(Ordering::Relaxed));
            (key.clone(), counts)
        });
        counts.collect()
    }
}

impl Entry {
    /// Returns true if a service is contended, from its configuration and its servers.
    pub(super) fn is_contended(&self, service: &str) -> bool {
        let Some(configuration) = self.view.configuration() else {
            return false;
        };
        let profile = ServiceProfile {
            is_sharded: configuration.service(service).is_some_and(|s| s.sharded),
            slots_max: self.view.registry().slots_max(service),
            timeout_factor: configuration.timeout_factor(service),
        };
        contended::is_contended(profile, &self.settings.policy)
    }

    /// Logs at intervals which services are contended, if that has changed, and the counts of the
    /// requests for these services since the previous interval.
    pub(super) async fn keep_logging_contention(self: Arc<Self>) {
        let mut logged: HashMap<ContentionKey, [u64; STEPS]> = HashMap::new();
        loop {
            time::sleep(Duration::from_millis(LOG_EVERY_MS)).await;
            self.log_contended_services();
            // Logs the end of a shortage after which no request arrives.
            self.services_short();
            for (key, counts) in self.contention.counts() {
                let before = logged.insert(key.clone(), counts).unwrap_or_default();
                if before != counts {
                    log_counts(&key, before, counts);
                }
            }
        }
    }

    fn log_contended_services(&self) {
        let Some(configuration) = self.view.configuration() else {
            return;
        };
        let services = configuration.services().map(|service| service.name.clone());
        let mut contended: Vec<Arc<str>> = services.filter(|s| self.is_contended(s)).collect();
        contended.sort_unstable_by_key(|service| tag_of(service));
        let mut logged = lock(&self.contention.logged_services);
        if *logged == contended {
            return;
        }
        logged.clone_from(&contended);
        let policy = &self.settings.policy;
        Event::ContendedServices {
            services: contended,
            slots_max: policy.contended_slots_max,
            timeout_factor: policy.contended_timeout_factor,
        }
        .log();
    }
}

/// Logs how often each step occurred from the counts `before` to `counts`. Steps that did not occur
/// are left out.
fn log_counts(key: &ContentionKey, before: [u64; STEPS], counts: [u64; STEPS]) {
    let increases = RequestStep::ALL.into_iter().zip(before.iter().zip(counts));
    let steps = increases
        .filter(|(_, (before, count))| count > before)
        .map(|(step, (before, count))| (step.name(), count - before));
    Event::Contention {
        service: key.service.clone(),
        is_urgent: key.is_urgent,
        steps: steps.collect(),
    }
    .log();
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
