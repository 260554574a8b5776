//! Membership of hosts: the registry and its quorum members (the hosts that count in majorities),
//! the heartbeat tree, the hash ring that divides work among hosts, and the staleness of a host's
//! view.

pub mod heartbeat_tree;
pub mod registry;
pub mod ring;
pub mod staleness;
