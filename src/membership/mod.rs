//! Which hosts there are, which of them are heard, and how fresh a host's view is.

pub mod freshness;
pub mod heartbeat_tree;
pub mod registry;
pub mod ring;
