//! Membership of hosts: the registry and its voters, the heartbeat tree, the hash ring that divides
//! work among hosts, and the freshness of a host's view.

pub mod heartbeat_tree;
pub mod registry;
pub mod ring;
pub mod staleness;
