//! Key ranges and the assigned ranges of one sharded service: which server holds which keys. Hosts
//! share them through the store.

use std::{collections::HashMap, sync::Arc};

use serde::{Deserialize, Serialize};
use snafu::{OptionExt, ResultExt, Snafu, ensure};

/// Range of consecutive keys of a sharded service, from `first` to `last`, both included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyRange {
    /// First key of the range; at most `last`.
    pub first: u16,
    /// Last key of the range, included in it.
    pub last: u16,
}

impl KeyRange {
    /// Returns what remains of the range without `key`: the range itself if it does not contain the
    /// key, else up to two ranges.
    pub fn without(&self, key: u16) -> Vec<Self> {
        if !self.contains(key) {
            return vec![*self];
        }
        let before = (key > self.first).then(|| Self {
            first: self.first,
            last: key - 1,
        });
        let after = (key < self.last).then(|| Self {
            first: key + 1,
            last: self.last,
        });
        before.into_iter().chain(after).collect()
    }

    /// Range of all 65,536 keys.
    pub const ALL: Self = Self {
        first: 0,
        last: u16::MAX,
    };

    /// Returns the number of keys in the range, which may be 65,536 and then exceeds a `u16`.
    pub fn len(&self) -> u32 {
        u32::from(self.last) - u32::from(self.first) + 1
    }

    /// Returns the keys as indices of a table of all keys.
    pub fn indices(&self) -> std::ops::RangeInclusive<usize> {
        usize::from(self.first)..=usize::from(self.last)
    }

    /// Returns false: a range has at least one key.
    pub fn is_empty(&self) -> bool {
        false
    }

    /// Returns true if the key is between `first` and `last`, both included.
    pub fn contains(&self, key: u16) -> bool {
        (self.first..=self.last).contains(&key)
    }

    /// Returns true if the ranges have a key in common.
    pub fn overlaps(&self, other: &Self) -> bool {
        self.first <= other.last && other.first <= self.last
    }

    /// Returns true if this range contains all keys of `other`.
    pub fn covers(&self, other: &Self) -> bool {
        self.first <= other.first && other.last <= self.last
    }
}

/// Number of keys in a partition. The assigned ranges of a partition share one row of the store,
/// and the size of a row is bounded: the at most 1,024 assigned ranges of a partition fit into a
/// row with any number of servers. A move of keys writes only the rows of the partitions that it
/// changes.
const PARTITION_KEYS: u16 = 1_024;

/// Partition of the keys: consecutive keys whose assigned ranges share one row of the store. An
/// assigned range belongs to the partition of its first key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyPartition(u8);

impl KeyPartition {
    /// Returns the key partition with the given number; `None` if the number is higher than that of
    /// the last key's partition.
    pub fn new(number: u8) -> Option<Self> {
        (u16::from(number) <= u16::MAX / PARTITION_KEYS).then_some(Self(number))
    }

    /// Returns the number of the partition, counted from 0 in the order of keys.
    pub fn number(self) -> u8 {
        self.0
    }

    /// Returns all partitions, in the order of their keys.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..=u8::MAX).map_while(Self::new)
    }
}

/// Version of the encoding of [`Assignment`] in the store, the first byte of a record.
const ENCODING: u8 = 1;

/// Reason why the assigned ranges of a row cannot be encoded or decoded.
#[derive(Debug, Snafu)]
pub enum DecodeError {
    /// The record has an unknown encoding version, or is empty.
    #[snafu(display("encoding {found:?} is unknown"))]
    Encoding {
        /// First byte of the record, which states the encoding version; `None` if the record is
        /// empty.
        found: Option<u8>,
    },
    /// The record is malformed.
    #[snafu(display("{source}"))]
    Damaged {
        /// Error of the serialisation library.
        source: postcard::Error,
    },
    /// An assigned range refers to a server that is missing from the record's list.
    #[snafu(display("server {index} is not listed"))]
    Server {
        /// Index of the server, which is too large for the record's list of servers.
        index: u16,
    },
}

/// Encoded assigned ranges of one row. Each server's id is stored only once, because the size of a
/// row is bounded.
#[derive(Serialize, Deserialize)]
struct Encoded {
    fence: u64,
    /// Ids of the servers that the assigned ranges refer to by index.
    servers: Vec<Arc<str>>,
    /// Key range, index of the server in `servers`, fence, and index of the former server, of each
    /// assigned range.
    #[serde(rename = "holdings")]
    assigned_ranges: Vec<(KeyRange, u16, u64, Option<u16>)>,
}

/// Assigned range: a key range that is assigned to one server under one fence. The fence is a
/// fencing token: it rises with each change of owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedRange {
    /// Keys that are assigned. No other assigned range of the service contains any of them.
    pub range: KeyRange,
    /// Incarnation id of the server. A restarted server gets a new id, even under the same name.
    pub server: Arc<str>,
    /// Fence that the grant of the keys carries. A later owner of any of these keys gets them under
    /// a higher fence.
    pub fence: u64,
    /// Former server that may still hold the keys; `None` once the former server no longer holds
    /// the keys. The keys may be granted to `server` only after the former server has released them
    /// or its lease has expired.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<Arc<str>>,
}

/// All assigned ranges of one sharded service. Ranges do not overlap and are in ascending order;
/// keys outside of all ranges have no server.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Assignment {
    /// Highest fence that was ever used for the service.
    pub fence: u64,
    /// Assigned ranges without overlaps, in ascending order of their keys.
    #[serde(rename = "holdings")]
    pub assigned_ranges: Vec<AssignedRange>,
}

impl Assignment {
    /// Encodes the assigned ranges as a record for the store.
    pub fn encode(&self) -> Result<Vec<u8>, DecodeError> {
        let mut servers: Vec<Arc<str>> = Vec::new();
        let mut places: HashMap<Arc<str>, u16> = HashMap::new();
        let mut index = |id: &Arc<str>| {
            *places.entry(id.clone()).or_insert_with(|| {
                servers.push(id.clone());
                (servers.len() - 1) as u16
            })
        };
        let assigned_ranges = self.assigned_ranges.iter().map(|assigned_range| {
            let server = index(&assigned_range.server);
            let from = assigned_range.from.as_ref().map(&mut index);
            (assigned_range.range, server, assigned_range.fence, from)
        });
        let assigned_ranges = assigned_ranges.collect();
        let encoded = Encoded {
            fence: self.fence,
            servers,
            assigned_ranges,
        };
        let mut bytes = vec![ENCODING];
        bytes.extend(postcard::to_stdvec(&encoded).context(DamagedSnafu)?);
        Ok(bytes)
    }

    /// Decodes a record that [`Self::encode`] made. Fails for other encoding versions.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let found = bytes.first().copied();
        ensure!(found == Some(ENCODING), EncodingSnafu { found });
        let encoded: Encoded = postcard::from_bytes(&bytes[1..]).context(DamagedSnafu)?;
        let server = |index: u16| {
            let server = encoded.servers.get(usize::from(index));
            server.cloned().context(ServerSnafu { index })
        };
        let mut assigned_ranges = Vec::with_capacity(encoded.assigned_ranges.len());
        for (range, index, fence, from) in &encoded.assigned_ranges {
            assigned_ranges.push(AssignedRange {
                range: *range,
                server: server(*index)?,
                fence: *fence,
                from: from.map(server).transpose()?,
            });
        }
        Ok(Self {
            fence: encoded.fence,
            assigned_ranges,
        })
    }

    /// Returns the assigned ranges whose first key lies in a partition, with the highest fence of
    /// the whole service.
    pub fn part(&self, part: KeyPartition) -> Self {
        let start = usize::from(part.0) * usize::from(PARTITION_KEYS);
        let end = start + usize::from(PARTITION_KEYS);
        let place = |key: usize| {
            let is_before = |assigned: &AssignedRange| usize::from(assigned.range.first) < key;
            self.assigned_ranges.partition_point(is_before)
        };
        Self {
            fence: self.fence,
            assigned_ranges: self.assigned_ranges[place(start)..place(end)].to_vec(),
        }
    }

    /// Merges the rows of all partitions. Rows may have been read at different times, or written by
    /// a version that had one row for all keys: where assigned ranges overlap, the one with the
    /// higher fence gets the keys.
    pub fn join<'a>(rows: impl Iterator<Item = &'a Self>) -> Self {
        let mut whole = Self::default();
        for row in rows {
            whole.fence = whole.fence.max(row.fence);
            whole
                .assigned_ranges
                .extend_from_slice(&row.assigned_ranges);
        }
        let in_order = |pair: &[AssignedRange]| pair[0].range.last < pair[1].range.first;
        if whole.assigned_ranges.windows(2).all(in_order) {
            return whole;
        }
        let mut assigned_ranges = std::mem::take(&mut whole.assigned_ranges);
        assigned_ranges.sort_by_key(|assigned_range| assigned_range.fence);
        assigned_ranges.dedup();
        for assigned_range in assigned_ranges {
            whole.put(assigned_range);
        }
        whole
    }

    /// Returns the assigned range that contains a key; `None` if the key is not assigned to any
    /// server.
    pub fn assigned_range(&self, key: u16) -> Option<&AssignedRange> {
        let position = self
            .assigned_ranges
            .partition_point(|assigned| assigned.range.last < key);
        let assigned_range = self.assigned_ranges.get(position)?;
        assigned_range.range.contains(key).then_some(assigned_range)
    }

    /// Removes the keys of a range from all assigned ranges; what remains of an assigned range
    /// keeps its fence.
    pub fn clear(&mut self, range: KeyRange) {
        let mut kept = Vec::with_capacity(self.assigned_ranges.len() + 1);
        for assigned_range in self.assigned_ranges.drain(..) {
            if !assigned_range.range.overlaps(&range) {
                kept.push(assigned_range);
                continue;
            }
            if assigned_range.range.first < range.first {
                let mut left = assigned_range.clone();
                left.range.last = range.first - 1;
                kept.push(left);
            }
            if assigned_range.range.last > range.last {
                let mut right = assigned_range;
                right.range.first = range.last + 1;
                kept.push(right);
            }
        }
        self.assigned_ranges = kept;
    }

    /// Returns a fence that is higher than all fences used for the service, and not lower than
    /// `least`.
    pub fn next_fence(&self, least: u64) -> u64 {
        (self.fence + 1).max(least)
    }

    /// Inserts an assigned range in key order, and cuts its range out of the assigned ranges that
    /// overlap it.
    pub fn put(&mut self, assigned_range: AssignedRange) {
        self.fence = self.fence.max(assigned_range.fence);
        self.clear(assigned_range.range);
        let first = assigned_range.range.first;
        let position = self
            .assigned_ranges
            .partition_point(|assigned| assigned.range.last < first);
        self.assigned_ranges.insert(position, assigned_range);
    }

    /// Records that the former servers of the assigned ranges with these fences no longer hold the
    /// keys.
    pub fn complete_moves(&mut self, fences: &[u64]) {
        for assigned_range in &mut self.assigned_ranges {
            if fences.contains(&assigned_range.fence) {
                assigned_range.from = None;
            }
        }
    }

    /// Returns the key ranges, in ascending order, that are not assigned to any server.
    pub fn gaps(&self) -> Vec<KeyRange> {
        let mut gaps = Vec::new();
        let mut next = 0u32;
        for assigned_range in &self.assigned_ranges {
            let first = u32::from(assigned_range.range.first);
            if first > next {
                gaps.push(KeyRange {
                    first: next as u16,
                    last: (first - 1) as u16,
                });
            }
            next = u32::from(assigned_range.range.last) + 1;
        }
        if next <= u32::from(u16::MAX) {
            gaps.push(KeyRange {
                first: next as u16,
                last: u16::MAX,
            });
        }
        gaps
    }
}
