//! HTTP paths of the queries between hosts.

/// Path of the snapshot with servers, assigned ranges and hosts.
pub const SNAPSHOT: &str = "/snapshot";
/// Path of the snapshot with assigned ranges and hosts, without servers.
pub const OWN: &str = "/own";
/// Path of the configuration and the evacuated zones as the queried host knows them.
pub const CONFIGURATION: &str = "/configuration";
/// Path by which the querying host requests its registration in the store.
pub const REGISTER: &str = "/register";
/// Path of the list of hosts that the queried host knows, itself included.
pub const HOSTS: &str = "/hosts";
/// Prefix of the path of the changes of server entries after a version; the version follows.
pub const CHANGES: &str = "/changes/";
