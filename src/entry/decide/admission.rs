//! Decides whether a server may get one more request, by the expected time until the response to
//! the request. A queue longer than the latency objective delays every response without serving
//! more requests.

use super::{Candidate, Demand, Policy};

/// Run time, in milliseconds, that is assumed for a request while no server of the service has a
/// sample.
const RUN_DEFAULT_MS: f64 = 60.0;
/// Bounds of the run time from which [`capacity_per_s`] computes the capacity of a server for the
/// planner, as multiples of the typical run time of the service. Servers of a service differ in
/// speed by a factor of 2 to 3.
const RUN_SHARE_MIN: f64 = 0.6;
const RUN_SHARE_MAX: f64 = 4.0;

/// Returns the typical run time of a service: the average of the known run times of its servers, or
/// [`RUN_DEFAULT_MS`] if no run time is known. A run time of 0 stands for an unknown run time.
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

/// Returns the average run time of a server, or the typical run time of the service if the server
/// has no sample.
fn run_ms(server: &Candidate, typical_ms: f64) -> f64 {
    if server.run_ms > 0.0 {
        server.run_ms
    } else {
        typical_ms
    }
}

/// Returns the expected time, in milliseconds, until the response to one more request: the waiting
/// time of the request in the server's queue and its run time. The run time is `run_share` times
/// the server's average; both times are multiplied by the slowdown of the server.
pub fn expected_ms(server: &Candidate, typical_ms: f64, run_share: f64) -> f64 {
    let requests = f64::from(server.load + 1);
    let slots = f64::from(server.slots);
    let waiting = (requests - slots).max(0.0) / slots;
    run_ms(server, typical_ms) * server.slowdown * (run_share + waiting)
}

/// Returns true if a server has room for a request, so that the request may be sent to that server.
/// A request that has missed its latency objective is refused by a full server unless
/// [`Policy::late_may_queue`] is set, because its run would make the requests behind it in the
/// queue late as well. For an urgent request, this cost is accepted if
/// [`Policy::urgent_may_be_late`] is set.
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

/// Returns true if a server is idle and the last outcome of an attempt there is at least as old as
/// the server's estimated run time, so that one request should test the estimate. Without this
/// probe request, a single response slower than the deadline would keep all requests from an idle
/// server until the sample expires after 6 s. With the probe request, the server is avoided only
/// for as long as that response took.
fn is_due_for_probe(server: &Candidate) -> bool {
    server.load == 0 && server.since_outcome_ms as f64 >= server.run_ms
}

/// Returns the requests per second that a server can run. The typical run time is used for a server
/// without samples. A measured run time is clamped to the range in which servers of a service
/// differ: very fast responses may be failures, and slow responses include time in a queue.
pub fn capacity_per_s(server: &Candidate, typical_ms: f64) -> f64 {
    let least_ms = typical_ms * RUN_SHARE_MIN;
    let most_ms = typical_ms * RUN_SHARE_MAX;
    let run_ms = run_ms(server, typical_ms).clamp(least_ms, most_ms);
    f64::from(server.slots) * 1000.0 / run_ms
}
