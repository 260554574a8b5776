//! Log events about the network paths from a host to servers.

use std::sync::Arc;

use serde::Serialize;

use crate::entry::log_writer;

/// Change of the paths from this host to servers.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum PathEvent {
    /// This host does not reach a server that another host reaches. From now on it reaches the server
    /// through tunnels of other hosts. Logged once a loss.
    PathLost {
        /// Identifier of the server's incarnation.
        server: Arc<str>,
        /// Service that the server belongs to.
        service: Arc<str>,
        /// Observation for which the path was checked.
        suspicion: &'static str,
        /// Outcome of the last direct attempt: `refused`, `broken`, `unanswered` (the connection was
        /// opened), `silent` (it was not) or `none` (there was no attempt).
        direct: &'static str,
        /// Duration of that attempt.
        direct_ms: Option<u64>,
        /// Outcome of the last attempt through another host.
        elsewhere: &'static str,
        /// Duration of that attempt.
        elsewhere_ms: Option<u64>,
        /// Time since the server's last direct response to this host; `None` if it never responded.
        server_contact_age_ms: Option<u64>,
        /// Time since the last direct response of any server to this host.
        contact_age_ms: Option<u64>,
        /// Number of this host's requests at the server.
        in_flight: u32,
    },
    /// A server whose path was lost responds directly again.
    PathUsable {
        /// Identifier of the server's incarnation.
        server: Arc<str>,
        /// Service that the server belongs to.
        service: Arc<str>,
        /// Time since the attempts began that showed the loss.
        after_ms: u64,
    },
    /// This host does not reach any server, although other hosts do. From now on it reaches servers
    /// through tunnels of other hosts.
    ServersUnreachable {
        /// Number of servers that another host reached and this host did not, since the last direct
        /// response of any server.
        lost: usize,
        /// Number of all servers.
        servers: usize,
        /// Time since the last direct response of any server.
        contact_age_ms: u64,
        /// Number of hosts that offer tunnels.
        proxies: usize,
    },
    /// This host reaches servers directly again, or no other host offers tunnels any longer.
    ServersReachable {
        /// Time since [`PathEvent::ServersUnreachable`].
        after_ms: u64,
        /// Observation that ended the state.
        reason: &'static str,
    },
}

impl PathEvent {
    /// Queues the event as one line of the log. The line is dropped if too many lines are already
    /// waiting to be written.
    pub fn log(&self) {
        log_writer::write(self);
    }
}
