//! Collections whose copies share their content. A copy followed by one change costs a part of the
//! content instead of the whole, which matters with thousands of entries and several changes per
//! second.

use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// Number of shards of a map: a change copies one shard.
const SHARDS: usize = 128;
/// Maximum number of items in a chunk of a list: a change copies one chunk.
const CHUNK_ITEMS: usize = 64;

/// Hash map that is divided into shards. Copies share the shards that neither copy has changed.
#[derive(Clone, Debug)]
pub struct SharedMap<V> {
    shards: Vec<Arc<HashMap<Arc<str>, V>>>,
    len: usize,
}

impl<V> Default for SharedMap<V> {
    fn default() -> Self {
        Self {
            shards: vec![Arc::default(); SHARDS],
            len: 0,
        }
    }
}

impl<V: Clone> SharedMap<V> {
    /// Returns the value of a key.
    pub fn get(&self, key: &str) -> Option<&V> {
        self.shards[shard_of(key)].get(key)
    }

    /// Returns true if the map has a value for the key.
    pub fn contains_key(&self, key: &str) -> bool {
        self.get(key).is_some()
    }

    /// Inserts a value, and returns the value that the key had before.
    pub fn insert(&mut self, key: Arc<str>, value: V) -> Option<V> {
        let shard = Arc::make_mut(&mut self.shards[shard_of(&key)]);
        let before = shard.insert(key, value);
        if before.is_none() {
            self.len += 1;
        }
        before
    }

    /// Removes a key, and returns its value.
    pub fn remove(&mut self, key: &str) -> Option<V> {
        if !self.contains_key(key) {
            return None;
        }
        let shard = Arc::make_mut(&mut self.shards[shard_of(key)]);
        self.len -= 1;
        shard.remove(key)
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns true if the map has no keys.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Iterates over the keys, in no particular order.
    pub fn keys(&self) -> impl Iterator<Item = &Arc<str>> {
        self.shards.iter().flat_map(|shard| shard.keys())
    }
}

fn shard_of(key: &str) -> usize {
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    hasher.finish() as usize % SHARDS
}

/// List that is divided into chunks and keeps the order of insertion. Copies share the chunks that
/// neither copy has changed.
#[derive(Clone, Debug)]
pub struct SharedList<T> {
    chunks: Vec<Arc<Vec<T>>>,
}

impl<T> Default for SharedList<T> {
    fn default() -> Self {
        Self { chunks: Vec::new() }
    }
}

impl<T: Clone> SharedList<T> {
    /// Appends an item.
    pub fn push(&mut self, item: T) {
        match self.chunks.last_mut() {
            Some(chunk) if chunk.len() < CHUNK_ITEMS => Arc::make_mut(chunk).push(item),
            _ => self.chunks.push(Arc::new(vec![item])),
        }
    }

    /// Removes the first item for which `is_wanted` returns true, and returns it.
    pub fn remove(&mut self, is_wanted: impl Fn(&T) -> bool) -> Option<T> {
        let find = |(index, chunk): (usize, &Arc<Vec<T>>)| {
            let place = chunk.iter().position(&is_wanted)?;
            Some((index, place))
        };
        let (index, place) = self.chunks.iter().enumerate().find_map(find)?;
        let removed = Arc::make_mut(&mut self.chunks[index]).remove(place);
        if self.chunks[index].is_empty() {
            self.chunks.remove(index);
        }
        Some(removed)
    }

    /// Iterates over the items, in the order of insertion.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &T> + Clone {
        self.chunks.iter().flat_map(|chunk| chunk.iter())
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.chunks.iter().map(|chunk| chunk.len()).sum()
    }

    /// Returns true if the list has no items.
    pub fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }
}
