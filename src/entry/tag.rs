//! Short tags by which messages between hosts name servers, services, availability zones and
//! workspaces.

use std::{
    collections::HashMap,
    hash::{BuildHasherDefault, Hasher},
};

use xxhash_rust::xxh3::xxh3_64;

/// Odd multiplier that spreads the bits of a tag over a hash of 64 bits (Fibonacci hashing).
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

/// Map by tag. Tags are hashes already, so the map does not hash them again with a slow function.
pub type TagMap<V> = HashMap<u32, V, BuildHasherDefault<TagHasher>>;

/// Hasher of tags.
#[derive(Clone, Copy, Debug, Default)]
pub struct TagHasher(u64);

impl Hasher for TagHasher {
    fn write(&mut self, bytes: &[u8]) {
        self.0 = xxh3_64(bytes);
    }

    fn write_u32(&mut self, tag: u32) {
        self.0 = u64::from(tag).wrapping_mul(SPREAD);
    }

    fn finish(&self) -> u64 {
        self.0
    }
}

/// Returns the tag of a name in messages between hosts: a hash in 4 bytes. Servers are tagged by
/// their incarnation id, zones and services by their name.
pub fn tag_of(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}
