//! The host's view: the replicated state at one revision, its staleness, and the latest log entries
//! with the times at which they were applied.

use std::{
    collections::{HashMap, VecDeque},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
};

use arc_swap::{ArcSwap, Guard};
use tokio::sync::watch;

use crate::{
    clock,
    id::{HostKey, Incarnation, Revision},
    membership::{
        registry::quorum_members,
        staleness::{HeartbeatReply, HostProcess, PeerRevision, StalenessTracker},
    },
    state::{self, LogEntry, State},
};

/// Maximum number of latest log entries kept in memory for peers that request them. A peer that is
/// further behind gets a snapshot.
const ENTRIES_KEPT: usize = 1_024;

/// Log entry, with the time at which this host applied it.
#[derive(Clone, Debug)]
struct Applied {
    entry: LogEntry,
    applied_ms: u64,
}

#[derive(Debug, Default)]
struct Inner {
    /// Time in milliseconds at which the last ping of each host process was received.
    last_pings: HashMap<HostProcess, u64>,
    recent: VecDeque<Applied>,
    staleness: StalenessTracker,
    /// Revision of the snapshot that last replaced the state, and time of the replacement; `None`
    /// if no snapshot has replaced the state.
    replaced: Option<(Revision, u64)>,
}

/// The replicated state as one host has applied it. The host may act on the state only while its
/// staleness is within the maximum: while the up-to-date time, the latest time for which the state
/// is known to be complete, is recent enough (see [`crate::membership::staleness`]).
#[derive(Debug)]
pub struct View {
    state: ArcSwap<State>,
    changed: watch::Sender<Revision>,
    inner: Mutex<Inner>,
    up_to_date_ms: AtomicU64,
    max_staleness_ms: u64,
}

impl View {
    /// Returns an empty view, on which the host may act while its staleness is at most
    /// `max_staleness_ms`.
    pub fn new(max_staleness_ms: u64) -> Self {
        Self {
            state: ArcSwap::from_pointee(State::default()),
            changed: watch::channel(Revision::default()).0,
            inner: Mutex::default(),
            up_to_date_ms: AtomicU64::new(0),
            max_staleness_ms,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the state as a reference that the caller may keep across awaits or for a long time.
    pub fn state(&self) -> Arc<State> {
        self.state.load_full()
    }

    /// Returns a guard of the state, which is cheaper than [`View::state`] and should be dropped
    /// soon.
    pub fn peek(&self) -> Guard<Arc<State>> {
        self.state.load()
    }

    /// Returns the last revision that this host has applied; 0 before the first change.
    pub fn revision(&self) -> Revision {
        self.state.load().revision
    }

    /// Returns a receiver that is notified of each new revision.
    pub fn watch(&self) -> watch::Receiver<Revision> {
        self.changed.subscribe()
    }

    /// Returns true if the staleness is within the maximum, so that this host may act on the state.
    pub fn is_up_to_date(&self) -> bool {
        clock::now_ms() <= self.up_to_date_ms.load(Ordering::Acquire) + self.max_staleness_ms
    }

    /// Returns the staleness of the view in milliseconds (the time since the view was known to be
    /// complete); `None` if the view was never known to be complete.
    pub fn staleness_ms(&self) -> Option<u64> {
        let up_to_date_ms = self.up_to_date_ms.load(Ordering::Acquire);
        (up_to_date_ms > 0).then(|| clock::now_ms().saturating_sub(up_to_date_ms))
    }

    /// Applies the entries that follow the current revision. Entries applied before are skipped.
    /// Entries after a gap are ignored, and a later read of the log supplies them.
    pub fn apply(&self, entries: &[LogEntry]) -> state::Result<()> {
        let mut inner = self.lock();
        let mut state = State::clone(&self.state.load());
        let before = state.revision;
        for entry in entries {
            if entry.revision <= state.revision {
                continue;
            }
            if entry.revision != state.revision.next() {
                break;
            }
            state.apply(entry)?;
            inner.recent.push_back(Applied {
                entry: entry.clone(),
                applied_ms: clock::now_ms(),
            });
        }
        while inner.recent.len() > ENTRIES_KEPT {
            inner.recent.pop_front();
        }
        if state.revision > before {
            self.publish(state);
        }
        Ok(())
    }

    /// Replaces the state with a snapshot if the snapshot has a higher revision.
    pub fn replace(&self, state: State) {
        let mut inner = self.lock();
        if state.revision <= self.state.load().revision {
            return;
        }
        inner.recent.clear();
        inner.replaced = Some((state.revision, clock::now_ms()));
        self.publish(state);
    }

    /// Publishes a new state to readers and watchers. The caller holds the lock, so that revisions
    /// only rise.
    fn publish(&self, state: State) {
        let revision = state.revision;
        let previous = self.state.swap(Arc::new(state));
        assert!(
            previous.revision < revision,
            "invariant: a host's revision never goes back"
        );
        self.changed.send_replace(revision);
    }

    /// Returns the time in milliseconds since this host applied `revision`; `None` if this host has
    /// not applied that revision. For a revision whose log entry is no longer kept, returns the
    /// time since a snapshot last replaced the state, or 0 if no snapshot has replaced the state.
    pub fn applied_age_ms(&self, revision: Revision) -> Option<u64> {
        let inner = self.lock();
        if self.state.load().revision < revision {
            return None;
        }
        let found = inner.recent.iter().find(|a| a.entry.revision == revision);
        let applied_ms = match (found, inner.replaced) {
            (Some(applied), _) => applied.applied_ms,
            (None, Some((_, replaced_ms))) => replaced_ms,
            (None, None) => return Some(0),
        };
        Some(clock::now_ms().saturating_sub(applied_ms))
    }

    /// Returns the log entries after revision `after`; `None` if some of these entries are no
    /// longer kept.
    pub fn entries(&self, after: Revision) -> Option<Vec<LogEntry>> {
        let inner = self.lock();
        if after >= self.state.load().revision {
            return Some(Vec::new());
        }
        let first = inner.recent.front()?;
        if first.entry.revision > after.next() {
            return None;
        }
        let newer = inner.recent.iter().filter(|a| a.entry.revision > after);
        Some(newer.map(|applied| applied.entry.clone()).collect())
    }

    /// Records that a read of the change log, sent at `sent_ms`, found no further entries.
    pub fn record_log_read(&self, sent_ms: u64) {
        let mut inner = self.lock();
        inner.staleness.record_log_read(sent_ms);
        self.store_up_to_date_ms(&inner);
    }

    /// Records the reply from a peer to a heartbeat that this host sent. The reply may advance the
    /// up-to-date time.
    pub fn record_heartbeat_reply(&self, reply: HeartbeatReply, own: HostProcess) {
        let mut inner = self.lock();
        let state = self.state.load();
        let quorum_members = quorum_members(&state);
        inner
            .staleness
            .record_heartbeat_reply(reply, state.revision, own, &quorum_members);
        self.store_up_to_date_ms(&inner);
    }

    /// Advances the up-to-date time to the current time if this host is the only quorum member.
    /// Called at each heartbeat.
    pub fn on_heartbeat(&self, own: HostProcess) {
        let mut inner = self.lock();
        let quorum_members = quorum_members(&self.state.load());
        inner
            .staleness
            .advance_if_only_quorum_member(clock::now_ms(), own, &quorum_members);
        self.store_up_to_date_ms(&inner);
    }

    fn store_up_to_date_ms(&self, inner: &Inner) {
        let up_to_date_ms = inner.staleness.up_to_date_ms().unwrap_or_default();
        self.up_to_date_ms
            .fetch_max(up_to_date_ms, Ordering::AcqRel);
    }

    /// Records the current time as the time of the last ping received from the process
    /// `incarnation` of `host`.
    pub fn record_ping(&self, host: HostKey, incarnation: Incarnation) {
        let sender = HostProcess { host, incarnation };
        self.lock().last_pings.insert(sender, clock::now_ms());
    }

    /// Returns the time of the last ping received from a host process; `None` if there was no ping.
    pub fn last_ping_ms(&self, sender: HostProcess) -> Option<u64> {
        self.lock().last_pings.get(&sender).copied()
    }

    /// Removes the recorded ping times of host processes that are not registered.
    pub fn forget_unregistered(&self, registered: &[HostProcess]) {
        let mut inner = self.lock();
        inner
            .last_pings
            .retain(|sender, _| registered.contains(sender));
    }

    /// Returns the revision that `host` last reported in a reply to a heartbeat; `None` if `host`
    /// has not replied to a heartbeat yet.
    pub fn peer_revision(&self, host: HostKey) -> Option<PeerRevision> {
        self.lock().staleness.peer_revision(host)
    }

    /// Returns the time at which the last ping that `host` replied to was sent; `None` if `host`
    /// has not replied to a ping yet.
    pub fn heard_ms(&self, host: HostKey) -> Option<u64> {
        self.lock().staleness.heard_ms(host)
    }
}
