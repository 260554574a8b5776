//! Confirmations of the leadership, by writes of the leadership row, and the release of the
//! leadership, which is written in the same way.

use std::{sync::atomic::Ordering, time::Duration};

use tokio::time;

use super::{Leadership, row::LeadershipRow};
use crate::{
    clock,
    entry::{Entry, decide::lease_expiry, peers::message::Message},
};

/// Maximum age of the last successful confirmation at which the leader still sends heartbeats to
/// the other hosts. Two confirmations in a row may fail before this age is reached. A leader that
/// has lost its own connection to the store cannot record moves of keys, so another host must take
/// over the leadership soon. With a maximum age of 3 s, another host took over the leadership only
/// 5.7 s after the leader had lost the store, and the keys of a lost zone were not moved to other
/// servers for that long.
const CONFIRMED_MS: u64 = 1_900;
/// Minimum pause between two confirmations. Grants over many new connections share a confirmation.
const CONFIRM_PAUSE_MIN_MS: u64 = 50;
/// Maximum time for which a grant waits for a confirmation of the leadership. A slow store takes
/// 0.5 s for one.
const CONFIRMATION_WAIT_MS: u64 = 1_000;

impl Leadership {
    /// Returns true if this host may grant leases: this host is the leader and does not give up the
    /// leadership, and it sent its last successful confirmation of the leadership to the store less
    /// than `outage_ms` ago.
    pub fn may_lease(&self, outage_ms: u64) -> bool {
        let confirmed_ms = *self.confirmed_ms.borrow();
        let gives_up = self.giving_up.load(Ordering::Relaxed);
        self.term() > 0
            && !gives_up
            && lease_expiry::may_grant(confirmed_ms, outage_ms, clock::now_ms())
    }

    /// Returns true if this host is the leader and its last successful confirmation, or another
    /// write on condition of the leadership row, is recent enough (`CONFIRMED_MS`) for this host to
    /// send heartbeats and to write the other rows of the leader.
    pub fn is_confirmed(&self) -> bool {
        let written_ms = self.written_ms.load(Ordering::Relaxed);
        let has_recent_write = clock::now_ms() < written_ms + CONFIRMED_MS;
        self.may_lease(CONFIRMED_MS) || self.term() > 0 && has_recent_write
    }

    /// Waits until this host has sent a successful confirmation of the leadership after `since_ms`,
    /// for at most [`CONFIRMATION_WAIT_MS`]. Requests a confirmation if there is none yet. Returns
    /// false after the timeout.
    pub async fn await_confirmation_after(&self, since_ms: u64) -> bool {
        let mut confirmed_ms = self.confirmed_ms.subscribe();
        let is_later =
            |confirmed_ms: &u64| lease_expiry::is_confirmed_after(*confirmed_ms, since_ms);
        if is_later(&confirmed_ms.borrow()) {
            return true;
        }
        self.confirmation_requests.notify_one();
        let wait = Duration::from_millis(CONFIRMATION_WAIT_MS);
        matches!(
            time::timeout(wait, confirmed_ms.wait_for(is_later)).await,
            Ok(Ok(_))
        )
    }

    /// Waits until a confirmation is requested, but at least [`CONFIRM_PAUSE_MIN_MS`].
    pub(super) async fn confirmation_requested(&self) {
        time::sleep(Duration::from_millis(CONFIRM_PAUSE_MIN_MS)).await;
        self.confirmation_requests.notified().await;
    }
}

impl Entry {
    /// Confirms the leadership in the store. If the store stops answering during the call, this
    /// host abandons the call and repeats it as soon as the store answers again, so that the
    /// confirmation arrives before another host takes over the leadership.
    pub(super) async fn confirm_leadership_through_outages(&self) {
        loop {
            tokio::select! {
                () = self.confirm_leadership() => return,
                () = self.view.wait_for_outage_end() => {}
            }
        }
    }

    /// Confirms the leadership by a write of the leadership row. If the write fails, reads the row,
    /// and gives up the leadership if the row names another process or term.
    async fn confirm_leadership(&self) {
        let sent_ms = clock::now_ms();
        let mut writer = self.leadership.writer.lock().await;
        let term = self.leadership.term();
        if term == 0 {
            return;
        }
        let gives_up = self.leadership.giving_up.load(Ordering::Relaxed);
        let next = LeadershipRow {
            leader_incarnation: if gives_up { 0 } else { self.incarnation },
            term,
            confirmation: writer.confirmation + 1,
            address: Some(self.settings.listen.peers),
            earlier_leases_ms: self.leadership.earlier_leases_remaining_ms(),
        };
        if let Some(written) = self.write_leadership_row(&next, writer.row_version).await {
            writer.row_version = written.version;
            writer.confirmation += 1;
            // A successor counts from the time at which it first read the row, so a row that was in
            // the store before this attempt does not extend the time in which this host may grant.
            if !written.is_by_earlier_attempt {
                self.leadership.confirmed_ms.send_replace(sent_ms);
            }
            self.note_store_response(clock::now_ms());
            return;
        }
        // The write may have failed, or have taken effect without a response, or another host may
        // have written the row. Reading the row shows whether this host is still the leader.
        let Some((Some(row), version)) = self.read_leadership_row().await else {
            return;
        };
        if row.leader_incarnation != next.leader_incarnation || row.term != term {
            self.leadership.lose("another host has taken it");
            return;
        }
        writer.row_version = version;
        writer.confirmation = writer.confirmation.max(row.confirmation);
    }

    /// Gives up the leadership for the `reason`. The leadership row then names no leader, so another
    /// host takes over the leadership without waiting for the takeover time.
    pub(in crate::entry) async fn give_up_leadership(&self, reason: &'static str) {
        if self.leadership.term() == 0 {
            return;
        }
        self.leadership.giving_up.store(true, Ordering::Relaxed);
        let term = self.leadership.term();
        self.confirm_leadership().await;
        self.leadership.lose(reason);
        self.peers.send_to_all(Message::LeadershipReleased { term });
    }
}
