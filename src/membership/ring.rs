//! Consistent hashing of work over hosts: who renews which server's lease, and who watches for a
//! leader's loss. A host that comes or goes changes only its neighbours' share.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::HostKey;

const HOST_SEED: u64 = 1;
const WORK_SEED: u64 = 2;

/// Hosts in the order of their hashes.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    points: Vec<(u64, HostKey)>,
}

impl HashRing {
    /// A ring of `hosts`.
    pub fn new(hosts: impl Iterator<Item = HostKey>) -> Self {
        let point = |host: HostKey| (hash(host.0, HOST_SEED), host);
        let mut points: Vec<(u64, HostKey)> = hosts.map(point).collect();
        points.sort_unstable();
        Self { points }
    }

    /// All hosts, beginning with the one that comes first for `work`.
    pub fn successors(&self, work: u32) -> impl Iterator<Item = HostKey> {
        let position = hash(work, WORK_SEED);
        let start = self.points.partition_point(|point| point.0 < position);
        let (before, after) = self.points.split_at(start);
        after.iter().chain(before).map(|point| point.1)
    }
}

fn hash(number: u32, seed: u64) -> u64 {
    xxh3_64_with_seed(&number.to_le_bytes(), seed)
}
