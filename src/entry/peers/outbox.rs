//! Batches announcements of moves and grants to the other hosts. A plan moves dozens of ranges at a
//! time; one datagram per range and host would overload small hosts, so announcements that arrive
//! together are sent together.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time;

use super::message::Message;
use crate::{
    clock,
    entry::{Entry, keys::AssignedRange, updates::announcement::MoveAnnouncement},
};

/// Interval at which the leader sends queued announcements. The interval is short because requests
/// for moved keys wait for the announcements.
const SEND_EVERY_MS: u64 = 20;
/// Interval at which a host that is not the leader checks whether announcements are queued.
const IDLE_EVERY_MS: u64 = 200;
/// Delays after a grant at which the grant is announced to all hosts. The announcement is repeated
/// because datagrams may be lost, and a host that misses the announcement holds back the requests
/// for the granted keys.
const ANNOUNCE_GRANT_AFTER_MS: [u64; 3] = [0, 300, 1_000];
/// Maximum number of moves or grants in one datagram, of up to 40 bytes each.
const ANNOUNCEMENTS_MAX: usize = 30;

/// Move or grant that is to be announced to all hosts.
#[derive(Clone, Debug)]
enum Announcement {
    Moving(MoveAnnouncement),
    Granted(AssignedRange),
}

/// Announcement about keys of a service, with the time from which the announcement may be sent.
#[derive(Clone, Debug)]
struct QueuedAnnouncement {
    due_ms: u64,
    service_tag: u32,
    update: Announcement,
}

/// Queue of announcements that wait to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    items: Mutex<Vec<QueuedAnnouncement>>,
}

impl Outbox {
    /// Queues the announcement that keys are about to move.
    pub fn announce_move(&self, service_tag: u32, announcement: MoveAnnouncement) {
        self.items().push(QueuedAnnouncement {
            due_ms: clock::now_ms(),
            service_tag,
            update: Announcement::Moving(announcement),
        });
    }

    /// Queues announcements that a server was granted keys: one to be sent now, and repetitions
    /// after the other delays of `ANNOUNCE_GRANT_AFTER_MS`.
    pub fn announce_grant(&self, service_tag: u32, assigned_range: &AssignedRange) {
        let now_ms = clock::now_ms();
        let mut items = self.items();
        items.extend(
            ANNOUNCE_GRANT_AFTER_MS
                .iter()
                .map(|after_ms| QueuedAnnouncement {
                    due_ms: now_ms + after_ms,
                    service_tag,
                    update: Announcement::Granted(assigned_range.clone()),
                }),
        );
    }

    /// Removes all due announcements and returns them as messages; moves come before grants.
    pub fn take_due(&self, now_ms: u64) -> Vec<Message> {
        let (due, later): (Vec<QueuedAnnouncement>, Vec<QueuedAnnouncement>) = {
            let mut items = self.items();
            std::mem::take(&mut *items)
                .into_iter()
                .partition(|item| item.due_ms <= now_ms)
        };
        // Items that are not due are put back in front of items that were queued in the meantime.
        self.items().splice(0..0, later);
        let mut moving: BTreeMap<u32, Vec<MoveAnnouncement>> = BTreeMap::new();
        let mut granted: BTreeMap<u32, Vec<AssignedRange>> = BTreeMap::new();
        for item in due {
            match item.update {
                Announcement::Moving(update) => {
                    moving.entry(item.service_tag).or_default().push(update)
                }
                Announcement::Granted(update) => {
                    granted.entry(item.service_tag).or_default().push(update)
                }
            }
        }
        let moving = moving.into_iter().flat_map(|(service_tag, updates)| {
            let message = |updates: &[MoveAnnouncement]| Message::Moving {
                service_tag,
                announcements: updates.to_vec(),
            };
            updates
                .chunks(ANNOUNCEMENTS_MAX)
                .map(message)
                .collect::<Vec<_>>()
        });
        let granted = granted.into_iter().flat_map(|(service_tag, updates)| {
            let message = |updates: &[AssignedRange]| Message::Granted {
                service_tag,
                assigned_ranges: updates.to_vec(),
            };
            updates
                .chunks(ANNOUNCEMENTS_MAX)
                .map(message)
                .collect::<Vec<_>>()
        });
        moving.chain(granted).collect()
    }

    fn items(&self) -> MutexGuard<'_, Vec<QueuedAnnouncement>> {
        self.items.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    /// Sends due announcements of moves and grants to all hosts.
    pub(in crate::entry) async fn keep_announcing(self: Arc<Self>) {
        loop {
            let every_ms = match self.leadership.term() {
                0 => IDLE_EVERY_MS,
                _ => SEND_EVERY_MS,
            };
            time::sleep(Duration::from_millis(every_ms)).await;
            for message in self.peers.outbox.take_due(clock::now_ms()) {
                self.peers.send_to_all(message);
            }
        }
    }
}
