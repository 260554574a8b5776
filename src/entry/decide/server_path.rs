//! Decides whether a server that does not respond is lost, or whether this host has lost its network
//! path to the server. Load: hosts that are partitioned from all servers while callers, the store
//! and the other hosts still reach them.

/// Shortest time without a response after which a server can count as silent, in milliseconds.
const SILENT_MS_MIN: u64 = 300;
/// Time without a response after which a server counts as silent, as a multiple of the average run
/// time of its requests.
const SILENT_RUNS: f64 = 3.0;
/// Time without a response from any server after which two silent servers raise the suspicion of a
/// lost path, in milliseconds.
const QUIET_MS: u64 = 200;
/// Time without a response from any server after which one silent server raises the suspicion of a
/// lost path, in milliseconds.
const QUIET_ALONE_MS: u64 = 500;
/// Number of servers whose path must be lost for the host's path to all servers to count as lost,
/// unless there are fewer servers.
const LOST_SERVERS_MIN: usize = 2;
/// Time without a response from any server after which some servers with a lost path show that the
/// host has lost its path to all servers, in milliseconds.
const CUT_OFF_QUIET_MS: u64 = 100;

/// Outcome of an attempt to get any response from a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reach {
    /// The server responded.
    Responded,
    /// The server's address refused the connection.
    Refused,
    /// The connection was opened, and broke without a response.
    Broken,
    /// The connection was opened, and stayed silent.
    Unanswered,
    /// The operating system reported another error than a refusal for the connection attempt.
    Failed,
    /// The connection attempt had no outcome in time, or no host could make the attempt.
    Silent,
}

impl Reach {
    /// Returns the name of the outcome in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Responded => "responded",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Unanswered => "unanswered",
            Self::Failed => "failed",
            Self::Silent => "silent",
        }
    }
}

/// Conclusion from attempts of this host and simultaneous attempts of another host to get a response
/// from one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// This host reaches the server.
    Usable,
    /// The server responds to another host but not to this host.
    PathLost,
    /// The server refuses connections of another host too.
    ServerLost,
    /// The server responds to neither host, or no other host could be asked.
    Unknown,
}

impl Verdict {
    /// Returns the name of the conclusion in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Usable => "usable",
            Self::PathLost => "path_lost",
            Self::ServerLost => "server_lost",
            Self::Unknown => "unknown",
        }
    }
}

/// Returns what a direct attempt of this host and an attempt of another host suggest.
pub fn verdict(direct: Reach, elsewhere: Reach) -> Verdict {
    match (direct, elsewhere) {
        (Reach::Responded, _) => Verdict::Usable,
        (_, Reach::Responded) => Verdict::PathLost,
        (_, Reach::Refused) => Verdict::ServerLost,
        (_, Reach::Broken | Reach::Unanswered | Reach::Failed | Reach::Silent) => Verdict::Unknown,
    }
}

/// Returns true if a server that refused a connection of this host has crashed. `elsewhere` is the
/// outcome at other hosts; `None` if no other host carries tunnels. Other hosts without a response
/// show nothing, because they may have lost their paths as well.
pub fn has_crashed(elsewhere: Option<Reach>) -> bool {
    elsewhere.is_none_or(|reach| reach == Reach::Refused)
}

/// Request that waits longest for a response from one server over direct connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Waiting {
    /// Time since the request was sent, or since the last response of the server if that is
    /// shorter, in milliseconds.
    pub waited_ms: u64,
    /// Average run time of requests at the server, in milliseconds; 0 if unknown.
    pub run_ms: f64,
}

impl Waiting {
    /// Returns the time after which the server counts as silent, in milliseconds.
    fn silent_after_ms(&self) -> u64 {
        SILENT_MS_MIN.max((SILENT_RUNS * self.run_ms) as u64)
    }

    fn is_silent(&self) -> bool {
        self.waited_ms >= self.silent_after_ms()
    }

    /// Returns true if the server has been silent for so long that its path should be checked even
    /// if other servers respond.
    fn is_long_silent(&self) -> bool {
        self.waited_ms >= 2 * self.silent_after_ms()
    }
}

/// Returns the places of the servers in `waiting` whose path should be checked. `quiet_ms` is the
/// time since the last response of any server to this host.
pub fn suspects(waiting: &[Waiting], quiet_ms: u64) -> Vec<usize> {
    let silent = waiting.iter().filter(|server| server.is_silent()).count();
    let is_quiet = silent >= 2 && quiet_ms >= QUIET_MS || silent >= 1 && quiet_ms >= QUIET_ALONE_MS;
    let places = waiting.iter().enumerate();
    places
        .filter(|(_, server)| server.is_silent() && is_quiet || server.is_long_silent())
        .map(|(place, _)| place)
        .collect()
}

/// Returns true if the host has lost its path to all servers: it lost the path to `lost` of
/// `servers` servers since the last direct response of any server, which came `quiet_ms` ago. Half of
/// the servers suffice even if a response came just before.
pub fn is_host_cut_off(lost: usize, servers: usize, quiet_ms: u64) -> bool {
    let is_some = lost > 0 && lost >= LOST_SERVERS_MIN.min(servers);
    is_some && (quiet_ms >= CUT_OFF_QUIET_MS || 2 * lost >= servers)
}
