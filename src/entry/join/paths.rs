//! HTTP paths of the queries that hosts send to each other.

/// Path of the snapshot with servers, assigned ranges and hosts. Starting hosts fetch the snapshot,
/// and so do hosts that have missed changes that the store or the queried host no longer keeps as
/// single changes.
pub const SNAPSHOT: &str = "/snapshot";
/// Path of the snapshot with assigned ranges and hosts, without servers. Hosts that have missed
/// changes of assigned ranges or hosts fetch this snapshot.
pub const OWN: &str = "/own";
/// Path of the configuration and the evacuated zones as the queried host knows them.
pub const CONFIGURATION: &str = "/configuration";
/// Path by which a joining host requests that the queried host registers the joining host in the
/// store.
pub const REGISTER: &str = "/register";
/// Path of the list of hosts that the queried host knows, itself included.
pub const HOSTS: &str = "/hosts";
/// Prefix of the path of the changes of server entries after a version of the servers' table; the
/// version follows the prefix.
pub const CHANGES: &str = "/changes/";
