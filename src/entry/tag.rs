//! Short tags by which messages between hosts name servers, services, availability zones and
//! workspaces.

use xxhash_rust::xxh3::xxh3_64;

/// Returns the tag of a name in messages between hosts: a hash in 4 bytes. Servers are tagged by
/// their incarnation id, zones and services by their name.
pub fn tag_of(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
