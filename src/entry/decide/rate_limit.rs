//! Servers that name a rate in their answers: the requests a second that they take from all hosts together, for as
//! long as they say so.

/// Change of a rate that is worth a log line, as a share.
const CHANGE_LOGGED: f64 = 0.1;

/// What a server said of its rate, and when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitWord {
    /// Requests a second from all hosts together; `None` if it takes any rate.
    pub per_s: Option<f64>,
    /// When its answer came, by this host's clock.
    pub at_ms: u64,
}

/// Rate that a server takes from all hosts together, by its latest word.
#[derive(Clone, Copy, Debug, Default)]
pub struct RateLimit {
    latest: Option<LimitWord>,
    /// What was logged last.
    logged_per_s: Option<f64>,
}

impl RateLimit {
    /// Takes in what the server said; an earlier word than the latest one is no news.
    pub fn note(&mut self, word: LimitWord) {
        if self.latest.is_none_or(|latest| latest.at_ms <= word.at_ms) {
            self.latest = Some(word);
        }
    }

    /// Requests a second that it takes; `None` if it takes any rate.
    pub fn per_s(&self) -> Option<f64> {
        self.latest?.per_s
    }

    /// True once for each change that is worth a log line.
    pub fn take_change(&mut self) -> bool {
        let per_s = self.per_s();
        let is_new = match (self.logged_per_s, per_s) {
            (Some(logged), Some(per_s)) => (per_s - logged).abs() > logged * CHANGE_LOGGED,
            (logged, per_s) => logged != per_s,
        };
        if is_new {
            self.logged_per_s = per_s;
        }
        is_new
    }
}
