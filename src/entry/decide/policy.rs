//! Thresholds of the decisions. They are settings, so that each can be tuned and disabled
//! separately; docs/DECISIONS.md describes the measured effect of each.

use serde::{Deserialize, Serialize};

/// Tunable thresholds of the decisions; `Policy::default` has the defaults.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Cost of choosing a server in another availability zone, as a share of the run time: traffic
    /// between zones is billed.
    pub zone_cost: f64,
    /// Cost of opening a connection, as a share of the run time: new connections are billed.
    pub connect_cost: f64,
    /// Cost of a server whose attempts all fail, as a multiple of the run time.
    pub failure_cost: f64,
    /// Half-life of the slowdown that a server reported in a response; 0 ignores the slowdown. Slow
    /// periods last some hundred milliseconds.
    #[serde(rename = "pace_memory_ms")]
    pub slowdown_memory_ms: u64,
    /// Bonus for a server without recent samples, as a share of the run time, so that servers that
    /// joined or were avoided get requests again.
    pub unknown_bonus: f64,
    /// Random part of a server's cost, so that hosts with the same data do not all choose the same
    /// server.
    pub jitter: f64,
    /// Maximum number of requests at a server, as a multiple of its slots; at this load it gets no
    /// more. Servers queue about four times their slots, and reset or shed requests beyond that.
    pub load_max_factor: u32,
    /// Share of the time until the latency objective within which the response to a new request
    /// must be expected.
    pub queue_share: f64,
    /// True if requests that have missed their objective may queue at a server until their
    /// deadline.
    pub late_may_queue: bool,
    /// True if requests that are more urgent than others of their service may queue until their
    /// deadline: a late response to them is worth more than a timely response to the others.
    pub urgent_may_be_late: bool,
    /// True if run times are tracked by route. With one average per service, a service with
    /// invoices of 60 ms and reads of 360 ms refused a quarter of the invoices, because it expected
    /// each to run for 300 ms.
    pub runs_by_route: bool,
    /// True if a server with a free slot gets a request even if it is expected to miss the
    /// objective, as long as it is expected to end before the deadline.
    pub free_slot_admits: bool,
    /// Longest time for which a request is held while its key is being moved. Most moves between
    /// servers whose requests run for 100 ms complete within it.
    pub hold_ms: u64,
    /// Share of the latency objective for which a request is held if that is longer than `hold_ms`.
    /// A request that has waited for longer is better refused, so that its caller retries.
    pub hold_share: f64,
    /// Load of a key, as a multiple of its server's capacity, from which the key counts as hot.
    pub hot_factor: f64,
    /// Rate of requests admitted for a hot key, as a multiple of the capacity: random arrivals
    /// leave gaps, which a short queue fills.
    pub hot_admitted: f64,
    /// True if a hot key gets the fastest server to itself.
    pub hot_alone: bool,
    /// Minimum ratio of the fastest server's capacity to that of a hot key's server for which the
    /// key moves: a move costs some requests, and capacities are estimates.
    pub hot_faster: f64,
    /// Shortest time after which a refused caller should retry. An earlier retry would find nothing
    /// changed.
    pub return_min_ms: u64,
    /// Time after which a caller should retry whose request was shed by a server with free slots:
    /// that server has no queue to drain.
    pub return_shed_ms: u64,
    /// Load of a server, as a multiple of the mean, above which keys are moved away from it, after
    /// allowing for random variation.
    pub balance_excess: f64,
    /// Number of standard deviations of a server's load that are attributed to random variation.
    /// Among a hundred servers, one or two still exceed it.
    pub balance_chance: f64,
    /// Utilisation below which a server keeps its keys, even if other servers have less load: a
    /// move makes the requests for its keys wait for those that still run, and a server with free
    /// slots is no slower.
    pub balance_busy_share: f64,
    /// Target utilisation of both servers after a move for balance.
    pub balance_goal_share: f64,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            zone_cost: 0.4,
            connect_cost: 0.25,
            failure_cost: 8.0,
            slowdown_memory_ms: 140,
            unknown_bonus: 0.8,
            jitter: 0.1,
            load_max_factor: 4,
            queue_share: 1.0,
            late_may_queue: true,
            urgent_may_be_late: true,
            runs_by_route: true,
            free_slot_admits: true,
            hold_ms: 400,
            hold_share: 0.25,
            hot_factor: 1.1,
            hot_admitted: 1.15,
            hot_alone: true,
            hot_faster: 1.25,
            return_min_ms: 100,
            return_shed_ms: 100,
            balance_excess: 1.1,
            balance_chance: 2.5,
            balance_busy_share: 0.6,
            balance_goal_share: 0.45,
        }
    }
}
