//! Who takes the duty, and when: the host whose former process had it at once, others when its row has
//! stood still for long enough.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time;

use super::{DutyRow, Predecessor, Writer};
use crate::{
    clock,
    entry::{
        Entry,
        events::Event,
        rows::decode_holdings,
        updates::own_rows::{HOST_PREFIX, HOSTS_PARTITION, TABLE},
        watch::pause,
    },
};

/// Interval at which a host without the duty looks whether it must act.
const POLL_EVERY_MS: u64 = 100;
/// Time from a host's start until it looks after the duty.
const START_PATIENCE_MS: u64 = 600;
/// The same at the first start of a deployment, when there is no secret for datagrams yet: hosts that
/// start together must know each other, or all of them would watch. They read each other's rows
/// 2.5 s after their start.
const START_FIRST_MS: u64 = 3_200;
/// Longest time by which stronger ones look before weaker ones.
const WEAKNESS_DELAY_MS: f32 = 800.0;
/// Interval at which the row is read while its holder is silent.
const READ_EVERY_MS: u64 = 300;
/// Longest random delay before the duty is taken, so that not all hosts try at once.
const TAKE_SPREAD_MS: u64 = 120;
/// Hosts that watch the row of a silent holder together. Reads are priced, so that not all do.
const WATCHERS: u64 = 2;
/// Time after which the next ones watch it too.
const WATCHERS_EVERY_MS: u64 = 500;

impl Entry {
    /// Takes the duty when nobody has it, and confirms it while this host has it.
    pub(in crate::entry) async fn keep_duty(self: Arc<Self>) {
        let leases = self.settings.leases;
        if !self.view.hosts_known().await {
            return;
        }
        if self.view.had_former_process() {
            self.resume_duty().await;
        }
        let started_ms = clock::now_ms();
        loop {
            if self.duty.term() > 0 {
                let every_ms = self.limits.confirm_every_ms(leases.confirm_every_ms);
                time::sleep(Duration::from_millis(every_ms)).await;
                if self.duty.term() > 0 {
                    self.confirm_duty_through_outages().await;
                }
                continue;
            }
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
            let may_take = self.is_registered() && self.view.servers_known() && !self.stopping();
            if may_take && self.holder_is_silent(started_ms) {
                // Calls are priced; the servers' feed notices the store's return.
                self.view.store_returned().await;
                self.await_takeover().await;
            }
        }
    }

    /// Takes the duty at once if the process that ran here before this one had it: that one has
    /// certainly ended, since this one listens on its address.
    async fn resume_duty(&self) {
        while !self.view.servers_known() || !self.is_registered() {
            time::sleep(Duration::from_millis(POLL_EVERY_MS)).await;
        }
        let Some((Some(row), version)) = self.read_duty().await else {
            return;
        };
        let own = row.address == Some(self.settings.listen.peers);
        if own && row.holder != 0 && row.holder != self.incarnation {
            self.take_duty(Some(row), version, clock::now_ms(), false)
                .await;
        }
    }

    /// True if the holder has been silent for so long, or since the start of this host, that its row
    /// should be watched.
    fn holder_is_silent(&self, started_ms: u64) -> bool {
        let heard_ms = self.peers.holder_heard_ms();
        if heard_ms == 0 && !self.peers.seal.is_known() {
            return clock::now_ms() > started_ms + self.first_start_ms();
        }
        let silent_after_ms = if heard_ms == 0 {
            started_ms + START_PATIENCE_MS
        } else {
            heard_ms + self.settings.leases.takeover_ms / 2
        };
        clock::now_ms() > silent_after_ms + self.watch_delay_ms()
    }

    /// Time from the first start of a deployment until this host looks after the duty.
    fn first_start_ms(&self) -> u64 {
        let share = self.settings.processor_share.clamp(0.0, 1.0);
        if self.is_early() {
            START_PATIENCE_MS + (WEAKNESS_DELAY_MS * (1.0 - share)) as u64
        } else {
            START_FIRST_MS
        }
    }

    /// Time for which other hosts watch the row of a silent holder before this one does.
    fn watch_delay_ms(&self) -> u64 {
        let rank = {
            let settings = &self.settings;
            self.peers
                .takeover_rank(settings.listen.peers, settings.processor_share)
        };
        rank as u64 / WATCHERS * WATCHERS_EVERY_MS
    }

    /// Reads the row until it changes or has stood still for long enough to be taken.
    async fn await_takeover(&self) {
        let takeover_ms = self.settings.leases.takeover_ms;
        let mut seen: Option<(u64, u64)> = None;
        let started_ms = clock::now_ms();
        loop {
            let Some((row, version)) = self.read_duty().await else {
                // Nothing is known about time in which the store did not answer.
                seen = None;
                pause().await;
                self.view.store_returned().await;
                if clock::now_ms() > started_ms + 10 * takeover_ms {
                    return;
                }
                continue;
            };
            let now_ms = clock::now_ms();
            let free = row.as_ref().is_none_or(|row| row.holder == 0);
            let since_ms = match seen {
                Some((seen_version, since_ms)) if seen_version == version => since_ms,
                Some(_) => return,
                None => now_ms,
            };
            seen = Some((version, since_ms));
            if free || now_ms >= since_ms + takeover_ms {
                let spread_ms = rand::random_range(0..TAKE_SPREAD_MS);
                time::sleep(Duration::from_millis(spread_ms)).await;
                self.take_duty(row, version, since_ms, free).await;
                return;
            }
            time::sleep(Duration::from_millis(READ_EVERY_MS)).await;
        }
    }

    /// Takes the duty. Its row was first read with this content at `seen_ms`, so that the holder
    /// before has not confirmed it since.
    async fn take_duty(&self, row: Option<DutyRow>, version: u64, seen_ms: u64, handed_over: bool) {
        let sent_ms = clock::now_ms();
        let term = row.as_ref().map_or(0, |row| row.term) + 1;
        let earlier_until_ms = seen_ms + row.as_ref().map_or(0, |row| row.earlier_ms);
        let leases_until_ms = if handed_over {
            earlier_until_ms
        } else {
            earlier_until_ms.max(seen_ms + self.settings.leases.outage_ms)
        };
        let mut writer = self.duty.writer.lock().await;
        *writer = Writer {
            row_version: version,
            confirmation: 0,
        };
        let next = DutyRow {
            holder: self.incarnation,
            term,
            confirmation: 1,
            address: Some(self.settings.listen.peers),
            earlier_ms: leases_until_ms.saturating_sub(sent_ms),
        };
        let Some(version) = self.write_duty(&next, version).await else {
            return;
        };
        writer.row_version = version;
        writer.confirmation = 1;
        drop(writer);
        // Holdings are read after the duty is taken: nobody else can change them any more.
        if !self.read_holdings().await {
            return;
        }
        self.duty
            .predecessors_until_ms
            .store(leases_until_ms, Ordering::Relaxed);
        *self.duty.predecessor() = row.filter(|_| !handed_over).and_then(|row| {
            Some(Predecessor {
                incarnation: row.holder,
                term: row.term,
                address: row.address?,
                earlier_until_ms,
            })
        });
        self.duty.confirmed_ms.store(sent_ms, Ordering::Relaxed);
        self.duty.term.store(term, Ordering::Relaxed);
        Event::DutyTaken { term, handed_over }.log();
        self.note_predecessors_process().await;
    }

    /// The predecessor's host may run another process already, or it was this one. What this host knows of others'
    /// processes may be older than the predecessor; its row is not, since a process registers before it takes the duty.
    async fn note_predecessors_process(&self) {
        self.duty
            .note_process(self.settings.listen.peers, self.incarnation);
        let Some(address) = self.duty.predecessor().map(|p| p.address) else {
            return;
        };
        let key = format!("{HOST_PREFIX}{address}");
        match self.store.range(TABLE, HOSTS_PARTITION, &key, &key).await {
            Ok(rows) => self.apply_own(&rows.rows),
            // The leases that it may have given are waited for.
            Err(error) => log::debug!("the row of the predecessor's host cannot be read: {error}"),
        }
    }

    async fn read_holdings(&self) -> bool {
        let rows = match self.store.table(TABLE).await {
            Ok(rows) => rows.rows,
            Err(error) => {
                log::warn!("holdings cannot be read: {error}");
                return false;
            }
        };
        let (held, unreadable) = decode_holdings(&rows);
        for (row, error) in &unreadable {
            log::error!("holdings in {row} cannot be decoded: {error}");
        }
        if !unreadable.is_empty() {
            return false;
        }
        for (service, rows) in held {
            self.view.hold(&service, rows);
        }
        true
    }
}
