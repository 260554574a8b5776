//! Measurements of the decisions and of the cost of control.

pub mod control;
mod day;
pub mod planner;
pub mod policy;
mod process;
