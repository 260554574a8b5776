//! Quotas of workspaces over all hosts, played in virtual time on the code that decides: never more than the users'
//! bound, and no less than what is allowed.

use ashroad::entry::decide::quota::{Admitted, HostShare, Ledger, Quota, Sharing, Use};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Window over which the users count, and what they allow on top of a quota.
const WINDOW_MS: u64 = 5_000;
const OVERSHOOT: f64 = 0.1;
const SLACK: f64 = 20.0;
/// Share of what is allowed that must be served.
const SERVED_MIN: f64 = 0.9;
const STEP_MS: u64 = 5;
/// Most requests that come again in one step.
const AGAIN_MAX: usize = 15;
const DAY_MS: u64 = 30_000;
/// Datagrams that are lost.
const LOST: f64 = 0.02;

/// Hosts that get the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Spread {
    Even,
    OneHost,
}

struct Case {
    name: &'static str,
    hosts: usize,
    quota: Quota,
    /// What callers ask for before and after the tenth second, in quotas.
    asked: (f64, f64),
    spread: Spread,
    /// True if callers that were refused ask again at once.
    asks_again: bool,
    /// Time in which no holder is heard.
    holder_away: std::ops::Range<u64>,
}

impl Default for Case {
    fn default() -> Self {
        Self {
            name: "",
            hosts: 69,
            quota: Quota {
                per_s: 285.0,
                burst: 285.0,
            },
            asked: (0.6, 0.6),
            spread: Spread::Even,
            asks_again: false,
            holder_away: 0..0,
        }
    }
}

#[derive(Default)]
struct Played {
    asked: Vec<u64>,
    admitted: Vec<u64>,
}

impl Case {
    /// Interval at which hosts and holder speak, as in service.
    fn tell_every_ms(&self) -> u64 {
        150.max(self.hosts as u64)
    }

    fn asked_per_s(&self, now_ms: u64) -> f64 {
        let quotas = if now_ms < 10_000 {
            self.asked.0
        } else {
            self.asked.1
        };
        quotas * self.quota.per_s
    }

    fn host(&self, rng: &mut StdRng) -> usize {
        match self.spread {
            Spread::Even => rng.random_range(0..self.hosts),
            Spread::OneHost => 0,
        }
    }

    fn play(&self, seed: u64) -> Played {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut shares = vec![HostShare::default(); self.hosts];
        let mut heard_ms: Option<u64> = None;
        let mut ledger = Ledger::new(0);
        let mut played = Played::default();
        let every_ms = self.tell_every_ms();
        let mut again = 0;
        for now_ms in (0..DAY_MS).step_by(STEP_MS as usize) {
            let is_away = self.holder_away.contains(&now_ms);
            if now_ms == self.holder_away.end {
                ledger = Ledger::new(now_ms);
            }
            if now_ms.is_multiple_of(every_ms - every_ms % STEP_MS) && !is_away {
                self.report(&mut shares, &mut ledger, now_ms, &mut rng);
                let told = ledger.admitted(self.quota, now_ms);
                tell(&mut shares, told, now_ms, &mut rng);
                heard_ms = Some(now_ms);
            }
            let expected = self.asked_per_s(now_ms) * STEP_MS as f64 / 1_000.0;
            let repeated = std::mem::take(&mut again).min(AGAIN_MAX);
            let arrivals =
                repeated + expected as usize + usize::from(rng.random::<f64>() < expected.fract());
            for _ in 0..arrivals {
                let kept = heard_ms.is_some_and(|at_ms| now_ms <= at_ms + 4 * every_ms);
                let sharing = Sharing {
                    hosts: self.hosts,
                    is_told: kept,
                };
                let share = &mut shares[self.host(&mut rng)];
                played.asked.push(now_ms);
                if share.admits(self.quota, sharing, rng.random(), now_ms) {
                    share.note_sent();
                    played.admitted.push(now_ms);
                } else if self.asks_again {
                    again += 1;
                }
            }
        }
        played
    }

    fn report(&self, shares: &mut [HostShare], ledger: &mut Ledger, now_ms: u64, rng: &mut StdRng) {
        for share in shares {
            let used = share.take_report();
            if used != Use::default() && rng.random::<f64>() >= LOST {
                ledger.note(self.quota, used, now_ms);
            }
        }
    }
}

fn tell(shares: &mut [HostShare], told: Admitted, now_ms: u64, rng: &mut StdRng) {
    for share in shares {
        if rng.random::<f64>() >= LOST {
            share.note_announced(told, now_ms);
        }
    }
}

/// Most of the times that lie in one window.
fn most_in_window(times: &[u64]) -> usize {
    let mut first = 0;
    let mut most = 0;
    for (last, time_ms) in times.iter().enumerate() {
        while times[first] + WINDOW_MS <= *time_ms {
            first += 1;
        }
        most = most.max(last + 1 - first);
    }
    most
}

/// What a workspace is owed: no more than its quota lets through, one bucket for all hosts.
fn owed(quota: Quota, asked: &[u64]) -> usize {
    let mut tokens = quota.burst;
    let mut at_ms = 0;
    let mut owed = 0;
    for now_ms in asked {
        tokens =
            (tokens + quota.per_s * (now_ms - at_ms) as f64 / 1_000.0).min(quota.burst.max(1.0));
        at_ms = *now_ms;
        if tokens >= 1.0 {
            tokens -= 1.0;
            owed += 1;
        }
    }
    owed
}

fn small() -> Quota {
    Quota {
        per_s: 3.0,
        burst: 3.0,
    }
}

fn cases() -> Vec<Case> {
    let surge = (0.6, 4.7);
    vec![
        Case {
            name: "a large workspace asks for less than its quota",
            ..Case::default()
        },
        Case {
            name: "a small workspace asks for less than its quota",
            quota: small(),
            ..Case::default()
        },
        Case {
            name: "a surge of a large workspace",
            asked: surge,
            ..Case::default()
        },
        Case {
            name: "a surge of a small workspace",
            quota: small(),
            asked: surge,
            ..Case::default()
        },
        Case {
            name: "a surge at one host alone",
            asked: surge,
            spread: Spread::OneHost,
            ..Case::default()
        },
        Case {
            name: "a surge of callers that ask again at once",
            asked: surge,
            asks_again: true,
            ..Case::default()
        },
        Case {
            name: "callers of two hosts that ask again at once",
            hosts: 2,
            quota: Quota {
                per_s: 20.0,
                burst: 20.0,
            },
            asked: (0.0, 7.0),
            asks_again: true,
            ..Case::default()
        },
        Case {
            name: "a surge among three hosts",
            hosts: 3,
            asked: surge,
            ..Case::default()
        },
        Case {
            name: "a surge among 300 hosts",
            hosts: 300,
            asked: surge,
            ..Case::default()
        },
        Case {
            name: "a quiet workspace while the holder is lost",
            holder_away: 12_000..15_000,
            ..Case::default()
        },
        Case {
            name: "a surge while the holder is lost",
            asked: surge,
            holder_away: 9_000..12_000,
            ..Case::default()
        },
    ]
}

#[test]
fn hosts_together_keep_a_quota_and_use_it() {
    for case in cases() {
        for seed in 0..3 {
            let played = case.play(seed);
            let Quota { per_s, burst } = case.quota;
            let window_s = WINDOW_MS as f64 / 1_000.0;
            let bound = (per_s * window_s + burst) * (1.0 + OVERSHOOT) + SLACK;
            let most = most_in_window(&played.admitted);
            assert!(
                most as f64 <= bound,
                "{}: {most} in a window, {bound} are allowed, seed {seed}",
                case.name
            );
            let owed = owed(case.quota, &played.asked);
            let served = played.admitted.len() as f64 / owed as f64;
            assert!(
                served >= SERVED_MIN,
                "{}: {served:.3} of what is allowed, seed {seed}",
                case.name
            );
        }
    }
}
