//! Requests for cold servers. A server that has just started, or whose zone was evacuated, bears few
//! requests a second until it is warm, and well above that it falls over: all hosts together must
//! stay under its bound, also those that have not heard of each other for a while.
//!
//! Each host takes turns of its own at each cold server: a short turn, once in a time that grows with
//! the number of hosts, from a random moment on. So the sum over all hosts stays under the bound
//! whatever callers ask for and however their requests are spread; a turn that is not used is lost, so
//! that turns do not pile up. Chosen over a host that feeds each server alone, which two hosts believe
//! to be while they disagree on who lives.

/// Share of what a cold server bears that turns hand out. The bound lies at 1.5 times of what it
/// bears, with some requests on top; the rest is for chance and for hosts that are not known yet.
const SHARE_USED: f64 = 0.7;
/// Length of a turn. A host with 10 requests a second for a service uses nearly all of its turns, and
/// what a sudden demand can find unused of 74 hosts is one or two turns.
const WINDOW_MS: u64 = 300;

/// Time from one turn of a host at a cold server to the next.
pub fn window_every_ms(per_s: f64, hosts: usize) -> u64 {
    let per_s = (per_s * SHARE_USED).max(0.001);
    (1_000.0 * hosts.max(1) as f64 / per_s) as u64
}

/// Turns of one host at one cold server.
#[derive(Clone, Copy, Debug, Default)]
pub struct WarmupWindows {
    /// When the next turn begins; `None` before the first is drawn.
    next_ms: Option<u64>,
}

impl WarmupWindows {
    /// True while a request may be sent. `phase` from 0 to 1 is the part of the interval after which
    /// the first turn begins.
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

    /// Uses a turn.
    pub fn take(&mut self, every_ms: u64) {
        if let Some(next_ms) = &mut self.next_ms {
            *next_ms += every_ms.max(1);
        }
    }
}
