//! What led to a check of the path to a server, and what the check found. Logged when a path counts as
//! lost, and counted in the metrics.

use std::time::Instant;

use super::{
    decide::server_path::{Reach, Verdict},
    events::PathEvent,
    metric_labels::PathCheckLabels,
    server::Server,
};

/// Observation for which the path to a server is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// A connection to the server broke during a request.
    BrokenConnection,
    /// No connection to the server could be opened.
    FailedConnection,
    /// Requests wait for responses of the server.
    Silence,
    /// The path to another server was lost.
    LossOfAnotherPath,
    /// The server did not answer a command.
    FailedOrder,
    /// The server refused a connection, or did not respond to a probe.
    FailedProbe,
    /// No connection to the server could be opened for a tunnel of another host.
    FailedTunnel,
}

impl Suspicion {
    /// Returns the name of the observation in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::BrokenConnection => "broken connection",
            Self::FailedConnection => "failed connection",
            Self::Silence => "silence",
            Self::LossOfAnotherPath => "loss of another path",
            Self::FailedOrder => "failed order",
            Self::FailedProbe => "failed probe",
            Self::FailedTunnel => "failed tunnel",
        }
    }
}

/// Attempt to get a response from a server.
#[derive(Clone, Copy, Debug)]
pub struct Attempt {
    /// Outcome of the attempt.
    pub reach: Reach,
    /// Time from the start of the attempt to its outcome, in milliseconds.
    pub took_ms: u64,
}

impl Attempt {
    /// Creates the record of an attempt that began at `began` and has just ended.
    pub fn since(began: Instant, reach: Reach) -> Self {
        let took_ms = began.elapsed().as_millis() as u64;
        Self { reach, took_ms }
    }
}

/// Attempts from which the state of a path was concluded.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// Observation that led to the attempts.
    pub suspicion: Suspicion,
    /// Last direct attempt; `None` if there was none.
    pub direct: Option<Attempt>,
    /// Last attempt through another host; `None` if no other host could be asked.
    pub elsewhere: Option<Attempt>,
}

impl Evidence {
    /// Returns the labels under which a check with this evidence is counted.
    pub fn labels(&self, verdict: Verdict) -> PathCheckLabels {
        PathCheckLabels {
            suspicion: self.suspicion.name(),
            direct: name_of(self.direct),
            elsewhere: name_of(self.elsewhere),
            verdict: verdict.name(),
        }
    }

    /// Returns the event for the loss of the path to `server`. `contact_age_ms` is the time since the
    /// last direct response of any server.
    pub fn loss_event(&self, server: &Server, contact_age_ms: Option<u64>) -> PathEvent {
        PathEvent::PathLost {
            server: server.entry.id.clone(),
            service: server.entry.service.clone(),
            suspicion: self.suspicion.name(),
            direct: name_of(self.direct),
            direct_ms: self.direct.map(|attempt| attempt.took_ms),
            elsewhere: name_of(self.elsewhere),
            elsewhere_ms: self.elsewhere.map(|attempt| attempt.took_ms),
            server_contact_age_ms: server.contact.age_ms(),
            contact_age_ms,
            in_flight: server.own_load(),
        }
    }
}

/// Returns the name of the outcome of an attempt, or `none` without an attempt.
fn name_of(attempt: Option<Attempt>) -> &'static str {
    attempt.map_or("none", |attempt| attempt.reach.name())
}
