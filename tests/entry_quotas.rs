//! Simulates workspace quotas over all hosts in virtual time, with the real decision code. Admitted
//! requests must stay within the users' bound, and at least 90 % of what the quota allows must be
//! served.

use ashroad::entry::decide::quota::{
    AdmittedShare, HostShare, Ledger, Quota, QuotaContext, QuotaUsage,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// Window over which the users count requests.
const WINDOW_MS: u64 = 5_000;
/// Excess over a quota that the users allow, as a share of the quota and the burst in a window.
const OVERSHOOT: f64 = 0.1;
/// Number of requests in a window that the users allow in addition to [`OVERSHOOT`].
const SLACK: f64 = 20.0;
/// Least share of the requests within the quota that must be admitted.
const SERVED_MIN: f64 = 0.9;
/// Step of the simulated time.
const STEP_MS: u64 = 5;
/// Maximum number of refused requests that callers retry in one step.
const RETRIES_PER_STEP_MAX: usize = 15;
/// Simulated time of each case.
const SIMULATED_MS: u64 = 30_000;
/// Share of the reports and announcements whose datagrams are lost.
const DATAGRAM_LOSS: f64 = 0.02;

/// Distribution of a workspace's requests over the hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Spread {
    Even,
    OneHost,
}

struct Case {
    name: &'static str,
    hosts: usize,
    quota: Quota,
    /// Demand of callers before and after the tenth second, as a multiple of the quota.
    demand: (f64, f64),
    spread: Spread,
    /// True if callers retry refused requests at once.
    retries_at_once: bool,
    /// Period in which there is no leader, in milliseconds since the beginning.
    without_leader: std::ops::Range<u64>,
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
            demand: (0.6, 0.6),
            spread: Spread::Even,
            retries_at_once: false,
            without_leader: 0..0,
        }
    }
}

/// Result of a simulation.
#[derive(Default)]
struct Simulated {
    /// Time of each request of the workspace's callers, in milliseconds.
    demand: Vec<u64>,
    /// Time of each admitted request, in milliseconds.
    admitted: Vec<u64>,
}

impl Case {
    /// Returns the interval of reports and announcements, which is that of production.
    fn report_interval_ms(&self) -> u64 {
        150.max(self.hosts as u64)
    }

    fn demand_per_s(&self, now_ms: u64) -> f64 {
        let quotas = if now_ms < 10_000 {
            self.demand.0
        } else {
            self.demand.1
        };
        quotas * self.quota.per_s
    }

    fn host(&self, rng: &mut StdRng) -> usize {
        match self.spread {
            Spread::Even => rng.random_range(0..self.hosts),
            Spread::OneHost => 0,
        }
    }

    fn simulate(&self, seed: u64) -> Simulated {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut shares = vec![HostShare::default(); self.hosts];
        let mut announced_ms: Option<u64> = None;
        let mut ledger = Ledger::new(0);
        let mut simulated = Simulated::default();
        let every_ms = self.report_interval_ms();
        let mut retries = 0;
        for now_ms in (0..SIMULATED_MS).step_by(STEP_MS as usize) {
            let is_away = self.without_leader.contains(&now_ms);
            if now_ms == self.without_leader.end {
                ledger = Ledger::new(now_ms);
            }
            if now_ms.is_multiple_of(every_ms - every_ms % STEP_MS) && !is_away {
                self.report(&mut shares, &mut ledger, now_ms, &mut rng);
                let announced = ledger.admitted(self.quota, now_ms);
                announce(&mut shares, announced, now_ms, &mut rng);
                announced_ms = Some(now_ms);
            }
            let expected = self.demand_per_s(now_ms) * STEP_MS as f64 / 1_000.0;
            let repeated = std::mem::take(&mut retries).min(RETRIES_PER_STEP_MAX);
            let arrivals =
                repeated + expected as usize + usize::from(rng.random::<f64>() < expected.fract());
            for _ in 0..arrivals {
                let kept = announced_ms.is_some_and(|at_ms| now_ms <= at_ms + 4 * every_ms);
                let context = QuotaContext {
                    hosts: self.hosts,
                    is_confirmed: kept,
                };
                let share = &mut shares[self.host(&mut rng)];
                simulated.demand.push(now_ms);
                if share.admits(self.quota, context, rng.random(), now_ms) {
                    share.note_sent();
                    simulated.admitted.push(now_ms);
                } else if self.retries_at_once {
                    retries += 1;
                }
            }
        }
        simulated
    }

    fn report(&self, shares: &mut [HostShare], ledger: &mut Ledger, now_ms: u64, rng: &mut StdRng) {
        for share in shares {
            let used = share.take_report();
            if used != QuotaUsage::default() && rng.random::<f64>() >= DATAGRAM_LOSS {
                ledger.note(self.quota, used, now_ms);
            }
        }
    }
}

fn announce(shares: &mut [HostShare], announced: AdmittedShare, now_ms: u64, rng: &mut StdRng) {
    for share in shares {
        if rng.random::<f64>() >= DATAGRAM_LOSS {
            share.note_announced(announced, now_ms);
        }
    }
}

/// Returns the largest number of requests in one window. `times` holds the time of each request, in
/// milliseconds and in ascending order.
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

/// Returns the number of requests that the quota entitles a workspace to: those that a single token
/// bucket for all hosts would admit.
fn entitled(quota: Quota, demand: &[u64]) -> usize {
    let mut tokens = quota.burst;
    let mut at_ms = 0;
    let mut entitled = 0;
    for now_ms in demand {
        tokens =
            (tokens + quota.per_s * (now_ms - at_ms) as f64 / 1_000.0).min(quota.burst.max(1.0));
        at_ms = *now_ms;
        if tokens >= 1.0 {
            tokens -= 1.0;
            entitled += 1;
        }
    }
    entitled
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
            name: "a large workspace sends less than its quota",
            ..Case::default()
        },
        Case {
            name: "a small workspace sends less than its quota",
            quota: small(),
            ..Case::default()
        },
        Case {
            name: "a surge of a large workspace",
            demand: surge,
            ..Case::default()
        },
        Case {
            name: "a surge of a small workspace",
            quota: small(),
            demand: surge,
            ..Case::default()
        },
        Case {
            name: "a surge at one host alone",
            demand: surge,
            spread: Spread::OneHost,
            ..Case::default()
        },
        Case {
            name: "a surge of callers that retry at once",
            demand: surge,
            retries_at_once: true,
            ..Case::default()
        },
        Case {
            name: "callers of two hosts that retry at once",
            hosts: 2,
            quota: Quota {
                per_s: 20.0,
                burst: 20.0,
            },
            demand: (0.0, 7.0),
            retries_at_once: true,
            ..Case::default()
        },
        Case {
            name: "a surge among three hosts",
            hosts: 3,
            demand: surge,
            ..Case::default()
        },
        Case {
            name: "a surge among 300 hosts",
            hosts: 300,
            demand: surge,
            ..Case::default()
        },
        Case {
            name: "a quiet workspace without a leader",
            without_leader: 12_000..15_000,
            ..Case::default()
        },
        Case {
            name: "a surge without a leader",
            demand: surge,
            without_leader: 9_000..12_000,
            ..Case::default()
        },
    ]
}

#[test]
fn hosts_together_keep_a_quota_and_use_it() {
    for case in cases() {
        for seed in 0..3 {
            let simulated = case.simulate(seed);
            let Quota { per_s, burst } = case.quota;
            let window_s = WINDOW_MS as f64 / 1_000.0;
            let bound = (per_s * window_s + burst) * (1.0 + OVERSHOOT) + SLACK;
            let most = most_in_window(&simulated.admitted);
            assert!(
                most as f64 <= bound,
                "{}: {most} in a window, where {bound} are allowed, seed {seed}",
                case.name
            );
            let entitled = entitled(case.quota, &simulated.demand);
            let served = simulated.admitted.len() as f64 / entitled as f64;
            assert!(
                served >= SERVED_MIN,
                "{}: {served:.3} of what is allowed, seed {seed}",
                case.name
            );
        }
    }
}
