//! Word of moves and grants on its way to the other hosts. A plan moves dozens of ranges at a time;
//! one datagram for each of them and each host would keep a small host from everything else, so
//! what comes together is sent together.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use tokio::time;

use super::message::Message;
use crate::{
    clock,
    entry::{Entry, keys::Holding, updates::announcement::MoveAnnouncement},
};

/// Interval at which word is sent; requests wait for it.
const SEND_EVERY_MS: u64 = 20;
/// Interval at which a host without the duty looks whether it has any.
const IDLE_EVERY_MS: u64 = 200;
/// Times after a grant at which it is told. Datagrams may be lost, and hosts that do not hear of a
/// grant hold the keys' requests back.
const TELL_HELD_AFTER_MS: [u64; 3] = [0, 300, 1_000];
/// Most moves or grants in one datagram, of at most 40 bytes each.
const WORDS_MAX: usize = 30;

/// One word, for its service.
#[derive(Clone, Debug)]
enum Word {
    Moving(MoveAnnouncement),
    Held(Holding),
}

#[derive(Clone, Debug)]
struct Item {
    due_ms: u64,
    service_tag: u32,
    word: Word,
}

/// What waits to be sent.
#[derive(Debug, Default)]
pub struct Outbox {
    items: Mutex<Vec<Item>>,
}

impl Outbox {
    /// Tells all hosts that keys are about to move.
    pub fn announce_move(&self, service_tag: u32, announcement: MoveAnnouncement) {
        self.items().push(Item {
            due_ms: clock::now_ms(),
            service_tag,
            word: Word::Moving(announcement),
        });
    }

    /// Tells all hosts that a server has got keys.
    pub fn announce_holding(&self, service_tag: u32, holding: &Holding) {
        let now_ms = clock::now_ms();
        let mut items = self.items();
        items.extend(TELL_HELD_AFTER_MS.iter().map(|after_ms| Item {
            due_ms: now_ms + after_ms,
            service_tag,
            word: Word::Held(holding.clone()),
        }));
    }

    /// Messages with all that is due; moves come before grants.
    pub fn take_due(&self, now_ms: u64) -> Vec<Message> {
        let (due, later): (Vec<Item>, Vec<Item>) = {
            let mut items = self.items();
            std::mem::take(&mut *items)
                .into_iter()
                .partition(|item| item.due_ms <= now_ms)
        };
        // What came meanwhile follows what was there.
        self.items().splice(0..0, later);
        let mut moving: BTreeMap<u32, Vec<MoveAnnouncement>> = BTreeMap::new();
        let mut held: BTreeMap<u32, Vec<Holding>> = BTreeMap::new();
        for item in due {
            match item.word {
                Word::Moving(word) => moving.entry(item.service_tag).or_default().push(word),
                Word::Held(word) => held.entry(item.service_tag).or_default().push(word),
            }
        }
        let moving = moving.into_iter().flat_map(|(service_tag, words)| {
            let message = |words: &[MoveAnnouncement]| Message::Moving {
                service_tag,
                announcements: words.to_vec(),
            };
            words.chunks(WORDS_MAX).map(message).collect::<Vec<_>>()
        });
        let held = held.into_iter().flat_map(|(service_tag, words)| {
            let message = |words: &[Holding]| Message::Held {
                service_tag,
                holdings: words.to_vec(),
            };
            words.chunks(WORDS_MAX).map(message).collect::<Vec<_>>()
        });
        moving.chain(held).collect()
    }

    fn items(&self) -> MutexGuard<'_, Vec<Item>> {
        self.items.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Entry {
    /// Sends word of moves and grants.
    pub(in crate::entry) async fn keep_announcing(self: Arc<Self>) {
        loop {
            let every_ms = match self.duty.term() {
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
