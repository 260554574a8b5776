//! The operators' API, by dropshot, and its client.

pub mod api;
pub mod client;
mod dry_run;
pub mod message;
