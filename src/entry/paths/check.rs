//! Checks whether a server or this host's path to the server is lost, by health requests directly and
//! through another host.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::time;

use super::CHECK_EVERY_MS;
use crate::{
    clock,
    entry::{
        Entry,
        decide::{
            path_comparison::{Comparison, Pair, are_connections_lost, direct_timeout_ms},
            server_path::{self, Reach, Verdict},
        },
        path_evidence::{Attempt, Evidence, Suspicion},
        server::Server,
        server_path::Route,
    },
};

/// Time in which a direct response makes the attempt through another host unnecessary.
const HEAD_START_MS: u64 = 30;
/// Pause between two pairs of attempts.
const PAIR_PAUSE_MS: u64 = 10;

/// Outcome of the check of a path.
struct PathCheck {
    verdict: Verdict,
    /// Last direct attempt.
    direct: Attempt,
    /// Last attempt through another host; `None` if it was not made or no other host was known.
    elsewhere: Option<Attempt>,
    /// True if the server has responded to this host during the check.
    has_responded: bool,
}

/// Guard of a check of the path to a server, which runs until the guard is dropped.
struct RunningCheck(Arc<Server>);

impl RunningCheck {
    fn begin(server: Arc<Server>) -> Self {
        server.path.set_checked(true);
        Self(server)
    }
}

impl Drop for RunningCheck {
    fn drop(&mut self) {
        self.0.path.set_checked(false);
    }
}

impl Entry {
    /// Starts a check of the path to a server and returns true, unless a check runs or began shortly
    /// before. If the path is known to be lost, closes its idle direct connections instead; those on
    /// which requests wait in silence count as lost.
    pub(in crate::entry) fn suspect_path(
        self: &Arc<Self>,
        server: &Arc<Server>,
        suspicion: Suspicion,
    ) -> bool {
        if server.path.route() == Route::Tunnel {
            server.pool.close_direct();
            if suspicion == Suspicion::Silence {
                server.path.abandon_connections();
            }
            return false;
        }
        if server.path.is_checked() || !server.path.begin_check(CHECK_EVERY_MS) {
            return false;
        }
        let running = RunningCheck::begin(server.clone());
        let (entry, server) = (self.clone(), server.clone());
        tokio::spawn(async move {
            let began_ms = clock::now_ms();
            let check = entry.check_path(&server, began_ms).await;
            entry.note_check(&server, suspicion, began_ms, &check);
            drop(running);
        });
        true
    }

    /// Applies the outcome of a check that began at `began_ms`.
    fn note_check(
        self: &Arc<Self>,
        server: &Arc<Server>,
        suspicion: Suspicion,
        began_ms: u64,
        check: &PathCheck,
    ) {
        let evidence = Evidence {
            suspicion,
            direct: Some(check.direct),
            elsewhere: check.elsewhere,
        };
        self.metrics.path_check(&evidence.labels(check.verdict));
        if check.direct.reach == Reach::Responded {
            self.note_path_usable(server);
        }
        if check.verdict == Verdict::PathLost {
            let are_lost = are_connections_lost(check.direct.reach, check.has_responded);
            self.note_path_lost(server, &evidence, began_ms, are_lost);
        }
    }

    /// Makes pairs of attempts until they show the state of the path. The check began at `began_ms`.
    async fn check_path(&self, server: &Server, began_ms: u64) -> PathCheck {
        let mut comparison = Comparison::default();
        loop {
            let (direct, elsewhere) = self.attempt_both(server).await;
            let has_responded = server.contact.at_ms() > began_ms;
            let pair = Pair {
                direct: direct.reach,
                elsewhere: elsewhere.map_or(Reach::Silent, |attempt| attempt.reach),
                has_responded,
            };
            if let Some(verdict) = comparison.add(pair) {
                return PathCheck {
                    verdict,
                    direct,
                    elsewhere,
                    has_responded,
                };
            }
            time::sleep(Duration::from_millis(PAIR_PAUSE_MS)).await;
        }
    }

    /// Makes a direct attempt and one through another host, which is not made if the server responds
    /// directly at once.
    async fn attempt_both(&self, server: &Server) -> (Attempt, Option<Attempt>) {
        let began = Instant::now();
        let mut trying_directly = pin!(self.attempt_directly(server));
        let head_start = Duration::from_millis(HEAD_START_MS);
        match time::timeout(head_start, &mut trying_directly).await {
            Ok(direct) if direct.reach == Reach::Responded => return (direct, None),
            Ok(direct) => return (direct, self.attempt_elsewhere(server).await),
            Err(_) => {}
        }
        let mut trying_elsewhere = pin!(self.attempt_elsewhere(server));
        tokio::select! {
            direct = &mut trying_directly => match direct.reach {
                Reach::Responded => (direct, None),
                _ => (direct, trying_elsewhere.await),
            },
            elsewhere = &mut trying_elsewhere => {
                let elsewhere_ms = elsewhere.map_or(0, |attempt| attempt.took_ms);
                let timeout = Duration::from_millis(direct_timeout_ms(elsewhere_ms));
                let direct = time::timeout_at((began + timeout).into(), trying_directly).await;
                let unanswered = || Attempt::since(began, Reach::Unanswered);
                (direct.unwrap_or_else(|_| unanswered()), elsewhere)
            }
        }
    }

    /// Returns true if a server that refused a connection of this host has crashed, as far as other
    /// hosts can tell. If another host reaches the server, the path of this host is checked.
    pub(in crate::entry) async fn is_refused_elsewhere(
        self: &Arc<Self>,
        server: &Arc<Server>,
    ) -> bool {
        server_path::has_crashed(self.ask_elsewhere(server).await)
    }

    /// Returns true if a server that does not respond to this host responds to another host. Then
    /// the path of this host is checked.
    pub(in crate::entry) async fn is_reached_elsewhere(
        self: &Arc<Self>,
        server: &Arc<Server>,
    ) -> bool {
        self.ask_elsewhere(server).await == Some(Reach::Responded)
    }

    /// Sends a health request to a server that does not respond to this host through another host,
    /// and starts a check of this host's path if the server responds there. Returns `None` if no
    /// other host carries tunnels.
    async fn ask_elsewhere(self: &Arc<Self>, server: &Arc<Server>) -> Option<Reach> {
        let elsewhere = self.attempt_elsewhere(server).await?;
        if elsewhere.reach == Reach::Responded {
            self.suspect_path(server, Suspicion::FailedProbe);
        }
        Some(elsewhere.reach)
    }
}
