//! Request counts by key: those of this host, which it reports to the leader, and those that were
//! reported to this host while it is the leader.

use std::{
    collections::HashMap,
    sync::{Mutex, MutexGuard, PoisonError},
};

use super::{Peers, message::KeyCount};

/// Request counts by key that wait to be reported or added up.
#[derive(Debug, Default)]
pub struct KeyCounts {
    /// Numbers of requests that this host received since its last report to the leader, by service
    /// tag and key.
    counted: Mutex<HashMap<(u32, u16), u16>>,
    /// Request counts by key of all hosts, this host included, that were reported to this host
    /// while it is the leader and that are not yet added up.
    reported: Mutex<Vec<KeyCount>>,
}

impl KeyCounts {
    fn counted(&self) -> MutexGuard<'_, HashMap<(u32, u16), u16>> {
        self.counted.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reported(&self) -> MutexGuard<'_, Vec<KeyCount>> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Peers {
    /// Counts a request that this host received for a key. The next report to the leader contains
    /// the count.
    pub fn count(&self, service_tag: u32, key: u16) {
        let mut counted = self.key_counts.counted();
        *counted.entry((service_tag, key)).or_default() += 1;
    }

    /// Takes the request counts by key that all hosts reported since the last call.
    pub fn take_reported_key_counts(&self) -> Vec<KeyCount> {
        let mut reported = self.key_counts.reported();
        std::mem::take(&mut *reported)
    }

    pub(super) fn take_key_counts(&self) -> Vec<KeyCount> {
        let mut counted = self.key_counts.counted();
        let counts = counted
            .drain()
            .map(|((service_tag, key), requests)| KeyCount {
                service_tag,
                key,
                requests,
            });
        counts.collect()
    }

    pub(super) fn add_reported_key_counts(&self, keys: &[KeyCount]) {
        let mut reported = self.key_counts.reported();
        reported.extend_from_slice(keys);
    }
}
