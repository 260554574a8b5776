//! Rate limit for cold servers. A server that has just started, or whose zone was evacuated, can
//! run few requests per second until it is warm, and fails well above that. All hosts together must
//! stay under its limit, including hosts that have lost contact with each other.
//!
//! Each host has its own recurring windows for each cold server: a short window in an interval that
//! grows with the number of hosts, from a random start. The sum over all hosts thus stays under the
//! limit for any request rate and distribution; an unused window is lost, so that windows do not
//! accumulate. The alternative, one host that alone sends to each cold server, fails while hosts
//! disagree about which of them are alive: two hosts would send.

/// Share of a cold server's rate limit that the windows of all hosts use together. The users'
/// requirements allow 1.5 times the limit and a few requests more; the remainder is headroom for
/// random variation and for hosts that are not known yet.
const SHARE_USED: f64 = 0.7;
/// Length of a window. A host with 10 requests per second for a service uses nearly all of its
/// windows, and a sudden surge at 74 hosts finds one or two of them unused.
const WINDOW_MS: u64 = 300;

/// Returns the interval, in milliseconds, between the starts of a host's windows at a cold server;
/// `per_s` is the server's limit for all hosts.
pub fn window_every_ms(per_s: f64, hosts: usize) -> u64 {
    let per_s = (per_s * SHARE_USED).max(0.001);
    (1_000.0 * hosts.max(1) as f64 / per_s) as u64
}

/// Recurring windows in which one host may send a request to one cold server.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmupWindows {
    /// Start of the next window; `None` before the first one is drawn.
    next_ms: Option<u64>,
}

impl WarmupWindows {
    /// Returns true while a request may be sent. `phase`, from 0 to 1, is the part of the interval
    /// after which the first window begins.
    pub fn is_open(&mut self, every_ms: u64, phase: f64, now_ms: u64) -> bool {
        let every_ms = every_ms.max(1);
        let first_ms = now_ms + (phase * every_ms as f64) as u64;
        let mut next_ms = *self.next_ms.get_or_insert(first_ms);
        if now_ms >= next_ms + WINDOW_MS {
            let missed = (now_ms - next_ms - WINDOW_MS) / every_ms + 1;
            next_ms += missed * every_ms;
            self.next_ms = Some(next_ms);
        }
        now_ms >= next_ms
    }

    /// Marks the current window as used, so that the next one begins `every_ms` after its start.
    pub fn take(&mut self, every_ms: u64) {
        if let Some(next_ms) = &mut self.next_ms {
            *next_ms += every_ms.max(1);
        }
    }
}
