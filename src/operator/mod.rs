//! The HTTP API for operators, built with dropshot, and its client.

pub mod api;
pub mod client;
mod dry_run;
pub mod message;
