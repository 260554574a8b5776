//! The control loop of the leader: joins servers, records when the leases of lost servers have
//! expired, updates the registry of hosts, plans moves and stores snapshots.

use std::{collections::HashSet, sync::Arc, time::Duration};

use tokio::time;

use super::Host;
use crate::{
    claims::Sweep,
    clock,
    id::{Revision, ServerKey, ServiceKey},
    membership::registry::ChangeTracker,
    ownership::{moves::MoveGroup, planner::PlannedMove},
};

/// Minimum time in milliseconds between the starts of two rounds of the control loop.
const TICK_MS: u64 = 25;
/// Number of rounds of the control loop between two checks for silent hosts, on a host that is not
/// the leader.
const WATCH_EVERY_ROUNDS: u64 = 80;
/// Pause in milliseconds between two pages of the sweep, which deletes claims (records of
/// unrepeatable requests) whose retention time has passed.
const SWEEP_MS: u64 = 1_000;
/// Number of log entries after which the leader stores the next snapshot of the state.
const SNAPSHOT_EVERY: u64 = 500;

/// State of the control loop between rounds. The state is kept in memory only. A host that is not
/// the leader resets the state, except for the tasks that may still be running.
#[derive(Debug, Default)]
pub(super) struct Controller {
    /// Groups of moves that a task of this process is carrying out.
    pub(super) moving: HashSet<MoveGroup>,
    /// Lost servers for which a task of this process is waiting until the server's lease has
    /// expired.
    pub(super) expiring: HashSet<ServerKey>,
    /// Time at which the servers without a lease were last queried.
    pub(super) joins_checked_ms: u64,
    /// Time at which the loads (numbers of requests by slot) were last read from the hosts.
    pub(super) loads_ms: u64,
    /// Exponentially smoothed number of requests between two readings of the loads, by service and
    /// slot.
    pub(super) loads: Vec<Vec<f64>>,
    /// Revision of the state and time of the loads from which the last plan was made.
    pub(super) planned: Option<(Revision, u64)>,
    /// Progress towards completing the last change of the registry of hosts, that is, until no host
    /// acts on an earlier version of the registry.
    pub(super) registry: ChangeTracker,
    snapshot: Revision,
    sweep: Sweep,
    swept_ms: u64,
}

/// Message by which a task of the leader tells the control loop that the task has ended.
#[derive(Debug)]
pub(super) enum FinishedTask {
    /// The task of a group of moves has ended, with success or failure.
    Moved(MoveGroup),
    /// The task that waits for the expiry of a server's lease has ended, with success or failure.
    Expired(ServerKey),
}

/// Moves that the planner proposes for one service, not committed yet.
#[derive(Debug)]
pub(super) struct ServicePlan {
    pub(super) service: ServiceKey,
    pub(super) moves: Vec<PlannedMove>,
}

impl Host {
    /// Runs the control loop until the process ends. The loop acts only while this host leads and
    /// the staleness of its view is within the maximum.
    pub(super) async fn run_controller(self: Arc<Self>) {
        let mut ticks = time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut controller = Controller::default();
        let mut rounds = 0_u64;
        let (done, mut finished) = tokio::sync::mpsc::unbounded_channel();
        loop {
            ticks.tick().await;
            while let Ok(done) = finished.try_recv() {
                controller.remove_finished(&done);
            }
            if !self.leading() {
                rounds += 1;
                if rounds.is_multiple_of(WATCH_EVERY_ROUNDS) {
                    self.remove_silent_hosts().await;
                }
                controller = Controller {
                    moving: controller.moving,
                    expiring: controller.expiring,
                    ..Controller::default()
                };
                continue;
            }
            if !self.view.is_up_to_date() {
                continue;
            }
            self.wait_for_expiries(&mut controller, &done);
            self.start_ready_moves(&mut controller, &done);
            self.update_registry(&mut controller).await;
            self.join_servers(&mut controller).await;
            self.read_loads(&mut controller).await;
            self.plan_moves(&mut controller).await;
            self.store_snapshot_if_due(&mut controller).await;
            self.sweep_claims(&mut controller).await;
        }
    }

    /// Deletes claims past their retention time, one page per [`SWEEP_MS`].
    async fn sweep_claims(&self, controller: &mut Controller) {
        let now_ms = clock::now_ms();
        if now_ms < controller.swept_ms + SWEEP_MS {
            return;
        }
        controller.swept_ms = now_ms;
        let retention_ms = self.settings.claims.retention_ms;
        if let Err(error) = controller.sweep.step(&self.platform, retention_ms).await {
            log::debug!("cannot delete old claims: {error}");
        }
    }

    /// Stores a snapshot of the state when the log has grown by [`SNAPSHOT_EVERY`] entries since
    /// the last snapshot that this leader stored.
    async fn store_snapshot_if_due(&self, controller: &mut Controller) {
        let state = self.view.state();
        if state.revision.0 < controller.snapshot.0 + SNAPSHOT_EVERY {
            return;
        }
        match self.log.store_snapshot(&state).await {
            Ok(()) => controller.snapshot = state.revision,
            Err(error) => log::warn!("cannot store a snapshot: {error}"),
        }
    }
}

impl Controller {
    fn remove_finished(&mut self, done: &FinishedTask) {
        match done {
            FinishedTask::Moved(group) => self.moving.remove(group),
            FinishedTask::Expired(server) => self.expiring.remove(server),
        };
    }
}
