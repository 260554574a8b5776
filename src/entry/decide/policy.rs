//! Thresholds of the decisions. The thresholds are settings, so that operators can tune or disable
//! each separately; docs/DECISIONS.md describes the measured effect of each.

use serde::{Deserialize, Serialize};

/// Tunable thresholds of the decisions; `Policy::default` has the defaults.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Cost of choosing a server in another availability zone, as a fraction of the expected time
    /// until its response: traffic between zones is billed.
    pub zone_cost: f64,
    /// Cost of opening a connection to a server, as a fraction of the expected time until its
    /// response: new connections are billed.
    pub connect_cost: f64,
    /// Cost of a server at which all attempts fail, as a multiple of the expected time until its
    /// response; if only a fraction of the attempts fail, the cost is reduced in proportion.
    pub failure_cost: f64,
    /// Half-life, in milliseconds, of the slowdown that a server reported in a response; with 0,
    /// hosts ignore slowdowns. Slow periods of servers last some hundred milliseconds.
    #[serde(rename = "pace_memory_ms")]
    pub slowdown_memory_ms: u64,
    /// Bonus for a server without recent samples of its run time, as a fraction of the expected
    /// time until its response, so that servers that joined or were avoided get requests again.
    pub unknown_bonus: f64,
    /// Largest random part of a server's cost, as a fraction of the expected time until its
    /// response, so that hosts with the same data do not all choose the same server.
    pub jitter: f64,
    /// Maximum number of requests that run or queue at a server, as a multiple of its slots; at
    /// this load the server gets no more requests. Servers queue about four times as many requests
    /// as they have slots, and reset or shed requests beyond that.
    pub load_max_factor: u32,
    /// Fraction of the time until the latency objective of a request within which the response must
    /// be expected for the request to be admitted at a server.
    pub queue_share: f64,
    /// True if a request that has missed its latency objective may queue at a server as long as its
    /// response is expected before the deadline.
    pub late_may_queue: bool,
    /// True if a request that is more urgent than others of its service may queue as long as its
    /// response is expected before the deadline: a late response to an urgent request is worth more
    /// than a timely response to the others.
    pub urgent_may_be_late: bool,
    /// True if hosts track run times by route. With only one average per service, a service with
    /// invoices of 60 ms and reads of 360 ms refused a quarter of the invoices, because each
    /// invoice was expected to run for 300 ms.
    pub runs_by_route: bool,
    /// True if a server with a free slot gets a request that is expected to miss the latency
    /// objective, as long as the response is expected before the deadline.
    pub free_slot_admits: bool,
    /// Maximum time, in milliseconds, for which a request is held while its key is being moved,
    /// unless `hold_share` allows a longer time. Most moves between servers whose requests run for
    /// 100 ms complete within this time.
    pub hold_ms: u64,
    /// Maximum time for which a request is held, as a fraction of the latency objective; applies if
    /// this time is longer than `hold_ms`. After a longer wait it is better to refuse the request,
    /// so that its caller retries.
    pub hold_share: f64,
    /// Minimum load at which a key counts as hot, as a multiple of the capacity of the key's
    /// server.
    pub hot_factor: f64,
    /// Rate of requests that hosts admit for a hot key, as a multiple of the capacity of the key's
    /// server. With a value above 1, a short queue fills the gaps that random arrivals leave.
    pub hot_admitted: f64,
    /// True if the planner moves a hot key to the fastest server, and moves other keys of that
    /// server to other servers if the server is busy.
    pub hot_alone: bool,
    /// Minimum ratio of the fastest server's capacity to the capacity of a hot key's server for
    /// which the planner moves the hot key: some requests are held or refused during each move, and
    /// capacities are estimates.
    pub hot_faster: f64,
    /// Shortest time, in milliseconds, after which a refused caller is told to retry. An earlier
    /// retry would be refused as well, because the load would not have changed yet.
    pub return_min_ms: u64,
    /// Time, in milliseconds, after which a caller is told to retry if a server with free slots
    /// shed the caller's request (refused the request because of overload): such a server has no
    /// queue that must drain first.
    pub return_shed_ms: u64,
    /// Utilisation of a server, as a multiple of the mean utilisation, above which keys are moved
    /// away from the server. Random variation is allowed for in addition, by `balance_chance`.
    pub balance_excess: f64,
    /// Number of standard deviations of a server's load that are attributed to random variation, so
    /// that the planner does not react to them. Among a hundred servers, one or two still exceed
    /// this allowance by chance.
    pub balance_chance: f64,
    /// Utilisation below which a server keeps its keys, even if other servers have less load. A
    /// move makes the requests for the moved keys wait until the running requests have completed,
    /// and a server with free slots is no slower than a less used one.
    pub balance_busy_share: f64,
    /// Target utilisation of the two servers of a move for balance. If the mean utilisation is
    /// higher, the mean is the target.
    pub balance_goal_share: f64,
    /// Largest number of slots of a contended service's servers; 0 if no service counts as
    /// contended. With few slots, one long request takes a large part of a server's capacity.
    pub contended_slots_max: u32,
    /// Timeout that a route to a contended service must at least have, as a multiple of its latency
    /// objective. Callers with a shorter timeout have left before a queue has drained.
    pub contended_timeout_factor: f64,
    /// True if the age of a request for a contended service is estimated from its deadline, so that
    /// the latency objective counts from the caller's first attempt.
    pub infers_request_age: bool,
    /// True if callers that are refused at a contended service get retry times from a schedule of
    /// the server, so that they do not all return when the lease or the queue ends. Has no
    /// effect without `infers_request_age`: retries that count as new requests displace timely
    /// ones.
    pub schedules_retries: bool,
    /// Requests in flight at the servers of a contended service, as a multiple of their slots, above
    /// which the service counts as short of capacity. A large value switches the handling of
    /// shortages off. Balanced servers with two slots reach 1.45 by chance at a load of 0.8 of their
    /// capacity.
    pub shortage_begin: f64,
    /// Requests in flight, as a multiple of the slots, below which a shortage ends. It is above the
    /// mean of balanced servers at a load of 0.8 of their capacity, 1.0 to 1.15, so that a shortage
    /// does not outlast its cause.
    pub shortage_end: f64,
    /// While the service is short, a request that is not urgent may queue only if its response is
    /// expected within this fraction of the time left until its latency objective. It replaces
    /// `queue_share` if it is smaller: estimates from reported loads are too low while the load
    /// grows. With a much smaller share, slots are idle when a queue drains earlier than expected.
    pub shortage_queue_share: f64,
    /// True if failures of reused connections bound the reuse of idle connections to the servers of
    /// the service. Servers that reset connections after any request also cause such failures; hosts
    /// then open more connections, which may exceed the limits of the servers.
    pub bounds_idle_reuse: bool,
    /// Number of refused connection attempts after which a server of a contended service counts as
    /// ended. One attempt may meet a process that is just being replaced.
    pub ended_attempts: u32,
    /// Shortest time from the first to the last of these attempts, in milliseconds. Servers that
    /// shut down gracefully show for longer that they are leaving before they close their listener.
    pub ended_evidence_ms: u64,
    /// Largest age of a host's view of the store, in milliseconds, at which a refused connection is
    /// evidence. An older view may show a leaving server as ready.
    pub ended_view_age_ms: u64,
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
            contended_slots_max: 3,
            contended_timeout_factor: 3.0,
            infers_request_age: true,
            schedules_retries: true,
            shortage_begin: 1.6,
            shortage_end: 1.2,
            shortage_queue_share: 0.85,
            bounds_idle_reuse: true,
            ended_attempts: 3,
            ended_evidence_ms: 300,
            ended_view_age_ms: 1_000,
        }
    }
}

impl Policy {
    /// Returns true if retries are scheduled: schedules need the estimated ages.
    pub fn schedules_retries_by_age(&self) -> bool {
        self.schedules_retries && self.infers_request_age
    }
}
