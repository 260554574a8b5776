//! Ownership of slots by backend servers: leases, moves and the planner.

pub mod lapse;
pub mod message;
pub mod moves;
pub mod planner;
pub mod renewal;
