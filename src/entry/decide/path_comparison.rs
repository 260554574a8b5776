//! Compares attempts of this host to get a response from a server with simultaneous attempts of
//! another host, until they show whether this host has lost its path to the server. Load: servers
//! that are overloaded, slow or just starting, and networks that lose some packets, while requests
//! run at the servers.

use super::server_path::{Reach, Verdict, verdict};

/// Evidence at which a path counts as lost, as a sum of [`weight`]s.
const EVIDENCE_NEEDED: u32 = 10;
/// Shortest time for which a direct attempt waits for a response, in milliseconds.
pub const DIRECT_MS_MIN: u64 = 250;

/// Returns the weight of a direct attempt without a response while another host gets one. A server
/// that is overloaded, slow or just starting responds to one attempt and not to the next, so that
/// only attempts that were not even connected show much about the path. Each of them needs another one
/// that began after the other host had got a response.
fn weight(direct: Reach) -> u32 {
    match direct {
        Reach::Responded => 0,
        Reach::Broken => 1,
        Reach::Unanswered => 4,
        Reach::Refused | Reach::Failed | Reach::Silent => 5,
    }
}

/// A direct attempt to get a response from a server and a simultaneous attempt of another host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pair {
    /// Outcome of the direct attempt.
    pub direct: Reach,
    /// Outcome at the other host.
    pub elsewhere: Reach,
    /// True if the server has responded to this host on another connection since the first pair.
    pub has_responded: bool,
}

/// Repeated pairs of attempts from which the state of a path is concluded.
#[derive(Clone, Copy, Debug, Default)]
pub struct Comparison {
    evidence: u32,
}

impl Comparison {
    /// Adds a pair of attempts. Returns `None` if another pair is needed: the other host alone got a
    /// response, and the evidence for the loss of the path is not sufficient yet.
    pub fn add(&mut self, pair: Pair) -> Option<Verdict> {
        if pair.direct == Reach::Unanswered && pair.has_responded {
            return Some(Verdict::Usable);
        }
        let verdict = verdict(pair.direct, pair.elsewhere);
        if verdict != Verdict::PathLost {
            return Some(verdict);
        }
        self.evidence += weight(pair.direct);
        (self.evidence >= EVIDENCE_NEEDED).then_some(verdict)
    }
}

/// Returns true if the open connections to a server are lost together with the path, so that no
/// response can be expected on them. `direct` is the last direct attempt.
pub fn are_connections_lost(direct: Reach, has_responded: bool) -> bool {
    matches!(direct, Reach::Silent | Reach::Unanswered) && !has_responded
}

/// Returns the time for which a direct attempt waits for a response, in milliseconds. `elsewhere_ms`
/// is the time that the attempt of another host took, so that a slow server responds to both.
pub fn direct_timeout_ms(elsewhere_ms: u64) -> u64 {
    DIRECT_MS_MIN.max(2 * elsewhere_ms)
}
