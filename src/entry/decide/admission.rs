//! Admission of a request at a server, by the expected time of its response. A queue longer than
//! the latency objective delays every response without serving more of them.

use super::{Candidate, Demand, Policy};

/// Run time that is assumed while no server of the service has a sample.
const RUN_DEFAULT_MS: f64 = 60.0;
/// Bounds of a server's run time in the planner, as shares of the typical run time. Servers of a
/// service differ in speed by a factor of 2 to 3.
const RUN_SHARE_MIN: f64 = 0.6;
const RUN_SHARE_MAX: f64 = 4.0;

/// Returns the average of the known run times; 0 stands for an unknown one.
pub fn typical_run_ms(runs_ms: impl Iterator<Item = f64>) -> f64 {
    let (sum, known) = runs_ms
        .filter(|run_ms| *run_ms > 0.0)
        .fold((0.0, 0u32), |(sum, known), run_ms| {
            (sum + run_ms, known + 1)
        });
    if known == 0 {
        return RUN_DEFAULT_MS;
    }
    sum / f64::from(known)
}

/// Returns the expected run time at a server: the typical one if the server has no sample.
fn run_ms(server: &Candidate, typical_ms: f64) -> f64 {
    if server.run_ms > 0.0 {
        server.run_ms
    } else {
        typical_ms
    }
}

/// Returns the expected time until the response to one more request that takes `run_share` of the
/// server's average run time, including the time in its queue.
pub fn expected_ms(server: &Candidate, typical_ms: f64, run_share: f64) -> f64 {
    let requests = f64::from(server.load + 1);
    let slots = f64::from(server.slots);
    let waiting = (requests - slots).max(0.0) / slots;
    run_ms(server, typical_ms) * server.slowdown * (run_share + waiting)
}

/// Returns true if a server has room for a request. A request that has missed its objective is
/// refused if the server is full, unless [`Policy::late_may_queue`] is set: it would make the
/// requests behind it late as well. An urgent request is worth that.
pub fn has_room(server: &Candidate, typical_ms: f64, demand: Demand, policy: &Policy) -> bool {
    if server.load >= server.slots * policy.load_max_factor {
        return false;
    }
    let expected_ms = expected_ms(server, typical_ms, demand.run_share);
    let in_time = expected_ms < demand.deadline_ms as f64;
    if policy.free_slot_admits && server.load < server.slots {
        return in_time || is_due_for_probe(server);
    }
    if policy.urgent_may_be_late && demand.is_urgent {
        return in_time;
    }
    if demand.objective_ms > 0 {
        let objective_ms = demand.objective_ms.min(demand.deadline_ms) as f64;
        return expected_ms < objective_ms * policy.queue_share;
    }
    policy.late_may_queue && in_time
}

/// Returns true if an idle server has had no attempt for as long as its estimated run time, so that
/// one request tests the estimate. Otherwise one response slower than the deadline would keep all
/// requests from an idle server until the sample expires after 6 s; with the probe, this lasts only
/// as long as that response took.
fn is_due_for_probe(server: &Candidate) -> bool {
    server.load == 0 && server.since_outcome_ms as f64 >= server.run_ms
}

/// Returns the requests per second that a server can run. A server without samples counts as
/// typical, and a measured run time is clamped to the range in which servers of a service differ:
/// very fast responses may be failures, and slow ones include time in a queue.
pub fn capacity_per_s(server: &Candidate, typical_ms: f64) -> f64 {
    let least_ms = typical_ms * RUN_SHARE_MIN;
    let most_ms = typical_ms * RUN_SHARE_MAX;
    let run_ms = run_ms(server, typical_ms).clamp(least_ms, most_ms);
    f64::from(server.slots) * 1000.0 / run_ms
}
