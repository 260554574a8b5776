//! Log events about the leadership and about the moves of keys that the leader makes.

use std::sync::Arc;

use serde::Serialize;

use crate::entry::{keys::KeyRange, log_writer};

/// Change of the leadership, or an act of the leader.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LeadershipEvent {
    /// This host took over the leadership, which the name of the event calls `duty`.
    DutyTaken {
        /// Number of the term that begins.
        term: u64,
        /// True if the previous leader had given up the leadership.
        handed_over: bool,
    },
    /// This host has learned that the previous leader grants no more leases.
    PredecessorEnded {
        /// Number of the previous leader's term.
        term: u64,
    },
    /// This host is no longer the leader. The name of the event calls the leadership `duty`.
    DutyLost {
        /// Number of the term that ended.
        term: u64,
        /// Reason for which this host lost the leadership or gave it up.
        reason: &'static str,
    },
    /// A key range moved to another server.
    Moved {
        /// Service whose keys moved.
        service: Arc<str>,
        /// First and last key that moved.
        range: KeyRange,
        /// Server that owned the keys before the move; `None` if no server held them.
        from: Option<Arc<str>>,
        /// Server that owns the keys after the move.
        to: Arc<str>,
        /// Fencing token of the new assigned range.
        fence: u64,
        /// Reason for which the planner moved the keys.
        cause: &'static str,
        /// True if the previous owner gave a handover token, with which the new owner starts warm.
        handover: bool,
        /// Time from the decision to move the keys until the call that grants the keys to the new
        /// owner has ended.
        took_ms: u64,
    },
    /// A command to a server failed. The command grants keys to the server or tells the server to
    /// release keys.
    OrderFailed {
        /// Identifier of the server's incarnation; a restarted server gets a new identifier.
        server: Arc<str>,
        /// Kind of command: grant or release.
        order: &'static str,
        /// Error of the call, or the server's refusal.
        problem: String,
    },
}

impl LeadershipEvent {
    /// Queues the event as one line of the log. The line is dropped if too many lines are already
    /// waiting to be written.
    pub fn log(&self) {
        log_writer::write(self);
    }
}
