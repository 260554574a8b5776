//! HTTP paths of the queries between hosts.

/// Returns servers, holdings and hosts.
pub const SNAPSHOT: &str = "/snapshot";
/// Returns holdings and hosts, without servers.
pub const OWN: &str = "/own";
/// Returns the operators' configuration.
pub const CONFIGURATION: &str = "/configuration";
/// Registers the querying host in the store.
pub const REGISTER: &str = "/register";
/// Returns the hosts that the queried host knows, itself included.
pub const HOSTS: &str = "/hosts";
/// Returns the changes of server entries after a version, which is appended to this prefix.
pub const CHANGES: &str = "/changes/";
