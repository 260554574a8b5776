//! Admission of a request at a server: by when it is expected to be answered there. A queue that is
//! longer than the objective makes all answers late and serves no more.

use super::{Candidate, Demand, Policy};

/// Run time that is assumed of a server while nothing is known of it or its like.
const RUN_DEFAULT_MS: f64 = 60.0;
/// Bounds of a server's run time for the planner, as shares of the typical one. Servers of a service
/// differ in speed by a factor of 2 to 3.
const RUN_LEAST: f64 = 0.6;
const RUN_MOST: f64 = 4.0;

/// Average run time of servers, of which those with 0 are unknown.
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

/// Run time that is expected of a server: one of which nothing is known is like the others.
fn run_ms(server: &Candidate, typical_ms: f64) -> f64 {
    if server.run_ms > 0.0 {
        server.run_ms
    } else {
        typical_ms
    }
}

/// Expected time until a server has answered a further request that takes `run_share` of the average
/// run time.
pub fn expected_ms(server: &Candidate, typical_ms: f64, run_share: f64) -> f64 {
    let ahead = f64::from(server.load + 1);
    let slots = f64::from(server.slots);
    let waiting = (ahead - slots).max(0.0) / slots;
    run_ms(server, typical_ms) * server.pace * (run_share + waiting)
}

/// True if a server has room for a request. One that may only be answered late is refused if its server
/// is full: it would make those behind it late as well. An urgent one is worth that.
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

/// True if an idle server was left alone for as long as its run is thought to take: one request shows
/// whether that still holds. One answer slower than the deadline would else keep all requests from an idle server
/// until the evidence is forgotten, 6 s later; with it for as long as that answer took.
fn is_due_for_probe(server: &Candidate) -> bool {
    server.load == 0 && server.since_outcome_ms as f64 >= server.run_ms
}

/// Requests a second that a server can serve. One of which nothing is known counts as typical, and
/// what is known counts within the bounds in which servers of a service differ: quick answers may
/// be failures, and slow ones have waited.
pub fn capacity_per_s(server: &Candidate, typical_ms: f64) -> f64 {
    let least_ms = typical_ms * RUN_LEAST;
    let most_ms = typical_ms * RUN_MOST;
    let run_ms = run_ms(server, typical_ms).clamp(least_ms, most_ms);
    f64::from(server.slots) * 1000.0 / run_ms
}
