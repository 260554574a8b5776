//! Takeover of the leadership. If the previous process of a restarted host was the leader, the
//! restarted host takes over the leadership again at once. Any other host takes over the leadership
//! when the leadership row names no leader, or when the content of the row has stayed unchanged for
//! the takeover time.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time;

use super::{Writer, predecessor::Predecessor, row::LeadershipRow};
use crate::{
    clock,
    entry::{
        Entry,
        decide::lease_expiry::EarlierLeaders,
        events::LeadershipEvent,
        pauses::pause,
        rows::decode_assignment_rows,
        updates::own_rows::{HOST_PREFIX, HOSTS_PARTITION, TABLE},
    },
};

/// Interval at which a host that is not the leader checks whether it has stopped receiving
/// heartbeats from the leader.
const CHECK_EVERY_MS: u64 = 100;
/// Time after the start of a host in which the host does not watch the leadership row, because the
/// first heartbeat from the leader may not have arrived yet.
const START_GRACE_MS: u64 = 600;
/// Time after the start of a host in which the host does not watch the leadership row if the
/// deployment starts for the first time. Early hosts use a shorter time, see
/// [`SLOW_HOST_DELAY_MS`]. A host recognises the first start of a deployment by the lack of a
/// shared secret for datagrams. Hosts that start together must know each other before they watch
/// the leadership row, or all of them would watch the row at the same time. Hosts read each other's
/// host rows 2.5 s after their start.
const FIRST_START_GRACE_MS: u64 = 3_200;
/// Maximum delay, in addition to [`START_GRACE_MS`], after which an early host watches the
/// leadership row at the first start of a deployment. The delay shrinks to 0 as the processor share
/// of the host grows to 1, so that hosts with a larger share watch the row first.
const SLOW_HOST_DELAY_MS: f32 = 800.0;
/// Interval at which a host that watches the leadership row reads it.
const READ_EVERY_MS: u64 = 300;
/// Maximum random delay before a host takes over the leadership, so that hosts that watch the
/// leadership row do not all write it at the same moment.
const TAKEOVER_JITTER_MS: u64 = 120;
/// Number of hosts that begin to watch the leadership row at the same time when the heartbeats from
/// the leader stop. Each read of the store is billed, so not all hosts watch the row at once.
const WATCHERS: u64 = 2;
/// Delay after which the next [`WATCHERS`] hosts in the takeover order also begin to watch the
/// leadership row, if no heartbeat has arrived by then.
const WATCHERS_STEP_MS: u64 = 500;

impl Entry {
    /// Confirms the leadership while this host is the leader. Otherwise watches the heartbeats from
    /// the leader, and takes over the leadership once no other host confirms the leadership.
    pub(in crate::entry) async fn maintain_leadership(self: Arc<Self>) {
        let leases = self.settings.leases;
        if !self.view.hosts_known().await {
            return;
        }
        if self.view.had_former_process() {
            self.resume_leadership().await;
        }
        let started_ms = clock::now_ms();
        loop {
            if self.leadership.term() > 0 {
                let every_ms = self.limits.confirm_every_ms(leases.confirm_every_ms);
                tokio::select! {
                    () = time::sleep(Duration::from_millis(every_ms)) => {}
                    () = self.leadership.confirmation_requested() => {}
                    () = self.paths.until_cut_off() => {}
                }
                if self.paths.is_cut_off() {
                    self.give_up_leadership("this host reaches no server").await;
                } else if self.leadership.term() > 0 {
                    self.confirm_leadership_through_outages().await;
                }
                continue;
            }
            time::sleep(Duration::from_millis(CHECK_EVERY_MS)).await;
            if self.may_take_over() && self.is_leader_silent(started_ms) {
                // Each call to the store is billed, so this host does not read the leadership row
                // before the change feed of the servers' table shows that the store answers.
                self.view.wait_for_store().await;
                self.await_takeover().await;
            }
        }
    }

    /// Returns true if this host may take over the leadership. A host that reaches no server could
    /// not renew the leases.
    fn may_take_over(&self) -> bool {
        let is_ready = self.is_registered() && self.view.are_servers_known();
        is_ready && !self.stopping() && !self.paths.is_cut_off()
    }

    /// Takes over the leadership at once if the previous process of this host was the leader. That
    /// process has certainly ended, because the current process could not listen on the same
    /// address otherwise.
    async fn resume_leadership(&self) {
        while !self.view.are_servers_known() || !self.is_registered() {
            time::sleep(Duration::from_millis(CHECK_EVERY_MS)).await;
        }
        let Some((Some(row), version)) = self.read_leadership_row().await else {
            return;
        };
        let own = row.address == Some(self.settings.listen.peers);
        if own && row.leader_incarnation != 0 && row.leader_incarnation != self.incarnation {
            self.take_over_leadership(Some(row), version, clock::now_ms(), false)
                .await;
        }
    }

    /// Returns true if the leader has given up the leadership, or if this host has received no
    /// heartbeat from the leader for so long that this host should watch the leadership row. If this
    /// host has never received a heartbeat, the time counts from `started_ms`.
    fn is_leader_silent(&self, started_ms: u64) -> bool {
        let heard_ms = self.peers.leader_heard_ms();
        if heard_ms == 0 && !self.peers.seal.is_known() {
            return clock::now_ms() > started_ms + self.first_start_grace_ms();
        }
        if self.peers.is_leader_gone() {
            return clock::now_ms() > heard_ms + self.watch_delay_ms();
        }
        let silent_after_ms = if heard_ms == 0 {
            started_ms + START_GRACE_MS
        } else {
            heard_ms + self.settings.leases.takeover_ms / 2
        };
        clock::now_ms() > silent_after_ms + self.watch_delay_ms()
    }

    /// Returns the time after the start of this host, in milliseconds, in which this host does not
    /// watch the leadership row at the first start of a deployment.
    fn first_start_grace_ms(&self) -> u64 {
        let share = self.settings.processor_share.clamp(0.0, 1.0);
        if self.is_early() {
            START_GRACE_MS + (SLOW_HOST_DELAY_MS * (1.0 - share)) as u64
        } else {
            FIRST_START_GRACE_MS
        }
    }

    /// Returns the delay, in milliseconds, after which this host begins to watch the leadership row
    /// once the heartbeats from the leader have stopped. The delay grows with the rank of this host
    /// in the takeover order.
    fn watch_delay_ms(&self) -> u64 {
        let rank = {
            let settings = &self.settings;
            self.peers
                .takeover_rank(settings.listen.peers, settings.processor_share)
        };
        rank as u64 / WATCHERS * WATCHERS_STEP_MS
    }

    /// Reads the leadership row repeatedly. Takes over the leadership if the row names no leader or
    /// stays unchanged for the takeover time. Returns without a takeover if another host writes the
    /// row. Also returns without a takeover if a read of the row fails later than ten times the
    /// takeover time after the start of this call.
    async fn await_takeover(&self) {
        let takeover_ms = self.settings.leases.takeover_ms;
        let mut seen: Option<(u64, u64)> = None;
        let started_ms = clock::now_ms();
        loop {
            let Some((row, version)) = self.read_leadership_row().await else {
                // The takeover time starts again after a failed read, since the leader could not
                // confirm the leadership either while the store did not answer.
                seen = None;
                pause().await;
                self.view.wait_for_store().await;
                if clock::now_ms() > started_ms + 10 * takeover_ms {
                    return;
                }
                continue;
            };
            let now_ms = clock::now_ms();
            let is_vacant = row.as_ref().is_none_or(|row| row.leader_incarnation == 0);
            let since_ms = match seen {
                Some((seen_version, since_ms)) if seen_version == version => since_ms,
                Some(_) => return,
                None => now_ms,
            };
            seen = Some((version, since_ms));
            if !self.may_take_over() {
                return;
            }
            if is_vacant || now_ms >= since_ms + takeover_ms {
                let spread_ms = rand::random_range(0..TAKEOVER_JITTER_MS);
                time::sleep(Duration::from_millis(spread_ms)).await;
                self.take_over_leadership(row, version, since_ms, is_vacant)
                    .await;
                return;
            }
            time::sleep(Duration::from_millis(READ_EVERY_MS)).await;
        }
    }

    /// Takes over the leadership by writing the leadership row, unless another host has written it
    /// since. `row` and `version` are the content and version that this host has read. This host
    /// first read them at `seen_ms`, so the previous leader sent its last confirmation before that
    /// time. `handed_over` is true if the row names no leader, because the previous leader gave up
    /// the leadership or there was none.
    async fn take_over_leadership(
        &self,
        row: Option<LeadershipRow>,
        version: u64,
        seen_ms: u64,
        handed_over: bool,
    ) {
        let sent_ms = clock::now_ms();
        let term = row.as_ref().map_or(0, |row| row.term) + 1;
        let row_earlier_leases_ms = row.as_ref().map_or(0, |row| row.earlier_leases_ms);
        let outage_ms = self.settings.leases.outage_ms;
        let EarlierLeaders {
            before_predecessor_until_ms,
            until_ms: leases_until_ms,
        } = EarlierLeaders::new(seen_ms, row_earlier_leases_ms, outage_ms, handed_over);
        let mut writer = self.leadership.writer.lock().await;
        self.leadership.giving_up.store(false, Ordering::Relaxed);
        *writer = Writer {
            row_version: version,
            confirmation: 0,
        };
        let next = LeadershipRow {
            leader_incarnation: self.incarnation,
            term,
            confirmation: 1,
            address: Some(self.settings.listen.peers),
            earlier_leases_ms: leases_until_ms.saturating_sub(sent_ms),
        };
        let Some(written) = self.write_leadership_row(&next, version).await else {
            return;
        };
        writer.row_version = written.version;
        writer.confirmation = 1;
        drop(writer);
        // The assigned ranges are read only after the leadership row is written, because no other
        // host can change assigned ranges from then on.
        if !self.read_assignments().await {
            return;
        }
        self.leadership
            .earlier_leases_until_ms
            .store(leases_until_ms, Ordering::Relaxed);
        *self.leadership.predecessor() = row.filter(|_| !handed_over).and_then(|row| {
            Some(Predecessor {
                incarnation: row.leader_incarnation,
                term: row.term,
                address: row.address?,
                before_predecessor_until_ms,
            })
        });
        self.leadership.confirmed_ms.send_replace(sent_ms);
        self.leadership.term.store(term, Ordering::Relaxed);
        LeadershipEvent::DutyTaken { term, handed_over }.log();
        self.check_predecessor_process().await;
    }

    /// Checks whether the host of the predecessor (the previous leader) already runs another
    /// process. The predecessor may have been an earlier process of this host. Otherwise the host
    /// row of the predecessor is read from the store: the host rows that this host knows may have
    /// been written before the predecessor's process started, whereas the stored row names that
    /// process or a later one, since a process registers before it takes over the leadership.
    async fn check_predecessor_process(&self) {
        self.leadership
            .note_process(self.settings.listen.peers, self.incarnation);
        let Some(address) = self.leadership.predecessor().map(|p| p.address) else {
            return;
        };
        let key = format!("{HOST_PREFIX}{address}");
        match self.store.range(TABLE, HOSTS_PARTITION, &key, &key).await {
            Ok(rows) => self.apply_own(&rows.rows),
            // If the row cannot be read, this host waits for the expiry of all leases that the
            // predecessor may have granted.
            Err(error) => log::debug!("cannot read the row of the predecessor's host: {error}"),
        }
    }

    /// Reads all rows with assigned ranges from the store into this host's view. Returns false if
    /// the store did not answer or a row cannot be decoded.
    async fn read_assignments(&self) -> bool {
        let rows = match self.store.table(TABLE).await {
            Ok(rows) => rows.rows,
            Err(error) => {
                log::warn!("cannot read assigned ranges: {error}");
                return false;
            }
        };
        let (held, unreadable) = decode_assignment_rows(&rows);
        for (row, error) in &unreadable {
            log::error!("cannot decode assigned ranges in row {row}: {error}");
        }
        if !unreadable.is_empty() {
            return false;
        }
        for (service, rows) in held {
            self.view.put_assignment_rows(&service, rows);
        }
        true
    }
}
