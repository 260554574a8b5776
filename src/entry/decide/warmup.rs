//! Limits the request rate of cold servers. A cold server has just started, or its zone was
//! evacuated; it can run few requests per second until it is warm, and fails at a rate well above
//! that. All hosts together must stay under its limit, including hosts that have lost contact with
//! each other.
//!
//! Each host may send requests to a cold server only in recurring windows of its own. The first
//! window begins at a random time, and the interval between windows grows with the number of hosts.
//! The sum over all hosts thus stays under the limit for any request rate and distribution. A
//! window in which the host has no request is lost, so that windows do not accumulate. The
//! alternative, that a single host sends requests to each cold server, fails while hosts disagree
//! about which hosts are alive: two hosts would send.

/// Fraction of a cold server's rate limit that the windows of all hosts use together. The users'
/// requirements allow 1.5 times the limit and a few requests more; the remainder is headroom for
/// random variation and for hosts that are not known yet.
const SHARE_USED: f64 = 0.7;
/// Length of a window, in milliseconds. A host with 10 requests per second for a service uses
/// nearly all of its windows, and when a sudden surge reaches 74 hosts, only one or two of them
/// have an open unused window.
const WINDOW_MS: u64 = 300;

/// Returns the interval, in milliseconds, between the starts of a host's windows for a cold server.
/// `per_s` is the server's limit, in requests per second, for all hosts together.
pub fn window_every_ms(per_s: f64, hosts: usize) -> u64 {
    let per_s = (per_s * SHARE_USED).max(0.001);
    (1_000.0 * hosts.max(1) as f64 / per_s) as u64
}

/// Recurring windows in which one host may send requests to one cold server, one request in each
/// window.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmupWindows {
    /// Start of the current or next window; `None` before the first call of [`Self::is_open`].
    next_ms: Option<u64>,
}

impl WarmupWindows {
    /// Returns true if a window is open, so that a request may be sent at `now_ms`. `every_ms` is
    /// the interval between the starts of windows. `phase`, from 0 to 1, is the part of the
    /// interval after which the first window begins.
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

    /// Marks the current window as used. The next window begins `every_ms` after the start of the
    /// used one.
    pub fn take(&mut self, every_ms: u64) {
        if let Some(next_ms) = &mut self.next_ms {
            *next_ms += every_ms.max(1);
        }
    }
}

/// Part of the rate limit of a service's cold servers that one host may use.
#[derive(Clone, Copy, Debug)]
pub struct WarmupLimit {
    /// Interval between the starts of a host's warm-up windows at one cold server. In each window
    /// the host may send the server one request.
    pub window_every_ms: u64,
}

impl WarmupLimit {
    /// Returns the part of each host if `hosts` hosts, including this one, share the limit of the
    /// service's cold servers, `per_s` requests per second.
    pub fn new(per_s: f64, hosts: usize) -> Self {
        Self {
            window_every_ms: window_every_ms(per_s, hosts),
        }
    }
}
