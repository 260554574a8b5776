//! Benchmarks of the planner and of the cost of coordination between hosts.

pub mod control;
mod day;
pub mod planner;
pub mod policy;
mod process;
