//! Computes the moves that the planner makes after the loss of a server.

use ashroad::{
    configuration::template::Weights,
    ownership::planner::{PlannerInput, PlannerServer, PlannerSlot, plan},
};

fn main() {
    let server = |eligible| PlannerServer {
        capacity: 4.0,
        eligible,
    };
    let servers = [server(true), server(false), server(true)];
    let slots: Vec<PlannerSlot> = (0..12)
        .map(|index| PlannerSlot {
            owner: Some(index % 3),
            load: f64::from(index + 1),
            moving: false,
        })
        .collect();
    let moves = plan(PlannerInput {
        servers: &servers,
        slots: &slots,
        weights: Weights::default(),
        balance_moves: 4,
    });
    for planned in moves {
        println!(
            "slot {} to server {}: {:?}",
            planned.slot, planned.to, planned.cause
        );
    }
}
