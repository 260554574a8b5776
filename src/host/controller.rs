//! What the leader does: joins servers, declares lost leases lapsed, keeps the registry of hosts,
//! plans moves and stores snapshots.

use std::{collections::HashSet, sync::Arc, time::Duration};

use tokio::time;

use super::Host;
use crate::{
    claims::Sweep,
    clock,
    id::{Revision, ServerKey, ServiceKey},
    membership::registry::SettlementTracker,
    ownership::{moves::MoveGroup, planner::PlannedMove},
};

const TICK_MS: u64 = 25;
/// Rounds between two looks of a host that does not lead at the hosts that ask it.
const WATCH_EVERY_ROUNDS: u64 = 80;
/// Pause between two pages of the sweep over old claims.
const SWEEP_MS: u64 = 1_000;
/// Entries after which a new snapshot is stored.
const SNAPSHOT_EVERY: u64 = 500;

/// The leader's memory between rounds; a new leader starts with an empty one.
#[derive(Debug, Default)]
pub(super) struct Controller {
    /// Groups of moves under way in this process.
    pub(super) moving: HashSet<MoveGroup>,
    /// Lost servers whose lapse is waited for in this process.
    pub(super) lapsing: HashSet<ServerKey>,
    /// When servers without a lease were last asked.
    pub(super) joins_checked_ms: u64,
    /// When loads were last read.
    pub(super) loads_ms: u64,
    /// Smoothed loads by service and slot.
    pub(super) loads: Vec<Vec<f64>>,
    /// Revision and loads that the last plan was made for.
    pub(super) planned: Option<(Revision, u64)>,
    /// Progress of the last change of the registry.
    pub(super) registry: SettlementTracker,
    snapshot: Revision,
    sweep: Sweep,
    swept_ms: u64,
}

/// What a finished task tells the controller.
#[derive(Debug)]
pub(super) enum FinishedTask {
    /// A group of moves has ended, well or not.
    Moved(MoveGroup),
    /// The wait for a lapse has ended, well or not.
    Lapsed(ServerKey),
}

/// A plan for one service.
#[derive(Debug)]
pub(super) struct ServicePlan {
    pub(super) service: ServiceKey,
    pub(super) moves: Vec<PlannedMove>,
}

impl Host {
    /// Runs until the process ends.
    pub(super) async fn run_controller(self: Arc<Self>) {
        let mut ticks = time::interval(Duration::from_millis(TICK_MS));
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut controller = Controller::default();
        let mut rounds = 0_u64;
        let (done, mut finished) = tokio::sync::mpsc::unbounded_channel();
        loop {
            ticks.tick().await;
            while let Ok(done) = finished.try_recv() {
                controller.forget(&done);
            }
            if !self.leading() {
                rounds += 1;
                if rounds.is_multiple_of(WATCH_EVERY_ROUNDS) {
                    self.remove_silent_hosts().await;
                }
                controller = Controller {
                    moving: controller.moving,
                    lapsing: controller.lapsing,
                    ..Controller::default()
                };
                continue;
            }
            if !self.view.fresh() {
                continue;
            }
            self.wait_for_lapses(&mut controller, &done);
            self.drive_moves(&mut controller, &done);
            self.update_registry(&mut controller).await;
            self.join_servers(&mut controller).await;
            self.read_loads(&mut controller).await;
            self.plan_moves(&mut controller).await;
            self.store_snapshot_if_due(&mut controller).await;
            self.sweep_claims(&mut controller).await;
        }
    }

    /// Removes old claims, one page at a time.
    async fn sweep_claims(&self, controller: &mut Controller) {
        let now_ms = clock::now_ms();
        if now_ms < controller.swept_ms + SWEEP_MS {
            return;
        }
        controller.swept_ms = now_ms;
        let retention_ms = self.settings.claims.retention_ms;
        if let Err(error) = controller.sweep.step(&self.platform, retention_ms).await {
            log::debug!("claims were not swept: {error}");
        }
    }

    async fn store_snapshot_if_due(&self, controller: &mut Controller) {
        let state = self.view.state();
        if state.revision.0 < controller.snapshot.0 + SNAPSHOT_EVERY {
            return;
        }
        match self.log.store_snapshot(&state).await {
            Ok(()) => controller.snapshot = state.revision,
            Err(error) => log::warn!("no snapshot was stored: {error}"),
        }
    }
}

impl Controller {
    fn forget(&mut self, done: &FinishedTask) {
        match done {
            FinishedTask::Moved(group) => self.moving.remove(group),
            FinishedTask::Lapsed(server) => self.lapsing.remove(server),
        };
    }
}
