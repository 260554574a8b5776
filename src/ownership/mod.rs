//! Ownership of slots by backend servers: leases, moves of slots, and the planner that proposes
//! moves.

pub mod expiry;
pub mod message;
pub mod moves;
pub mod planner;
pub mod renewal;
