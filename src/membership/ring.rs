//! Consistent hashing, which divides work among hosts. The hash ring selects the hosts that renew a
//! server's lease, and the candidates for the leader. A host that joins or leaves changes only the
//! shares of its neighbours in the ring.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::id::HostKey;

/// Seed of the hashes of hosts. All hosts must use the same seed, so that they agree on the ring.
const HOST_SEED: u64 = 1;
/// Seed of the hashes of work items (the servers whose leases are to be renewed, and the
/// leadership). The seed differs from the seed for hosts, so that a host and a work item with the
/// same number have unrelated positions in the ring.
const WORK_SEED: u64 = 2;

/// Hash ring: hosts in the order of their hashes.
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    points: Vec<(u64, HostKey)>,
}

impl HashRing {
    /// Builds the ring by sorting `hosts` by the hashes of their keys.
    pub fn new(hosts: impl Iterator<Item = HostKey>) -> Self {
        let point = |host: HostKey| (hash(host.0, HOST_SEED), host);
        let mut points: Vec<(u64, HostKey)> = hosts.map(point).collect();
        points.sort_unstable();
        Self { points }
    }

    /// Iterates over all hosts in the order of the ring, beginning at the position of the work item
    /// with the number `work`. The caller takes as many hosts as the work item needs.
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
