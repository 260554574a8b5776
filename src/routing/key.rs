//! From a request to its service, key and slot.

use http::{HeaderMap, Method};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    configuration::{
        ServiceSpec,
        template::{KeySource, UnrepeatableRule},
    },
    id::Slot,
};

/// A caller's path, `/workspace/service/rest`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerPath<'a> {
    /// `workspace/service`.
    pub service: &'a str,
    /// The rest, beginning with a slash, or empty.
    pub rest: &'a str,
}

/// Splits a caller's path.
pub fn split(path: &str) -> Option<CallerPath<'_>> {
    let path = path.strip_prefix('/')?;
    let workspace = path.find('/')?;
    let service = path[workspace + 1..].find('/');
    let end = service.map_or(path.len(), |length| workspace + 1 + length);
    let (service, rest) = path.split_at(end);
    Some(CallerPath { service, rest })
}

/// The key of a request.
pub fn key<'a>(source: &KeySource, rest: &'a str, headers: &'a HeaderMap) -> Option<&'a str> {
    let found = match source {
        KeySource::Path(segment) => rest.split('/').nth(segment + 1),
        KeySource::Header(name) => headers.get(name.as_str())?.to_str().ok(),
    };
    found.filter(|key| !key.is_empty())
}

/// The slot of a key. The hash is part of the agreed state: it must never change.
pub fn slot(key: &str, slots: u32) -> Slot {
    let hash = u128::from(xxh3_64(key.as_bytes()));
    Slot(((hash * u128::from(slots)) >> 64) as u32)
}

/// True if the request must run at most once.
pub fn unrepeatable(spec: &ServiceSpec, method: &Method, rest: &str) -> bool {
    let applies = |rule: &UnrepeatableRule| {
        method.as_str() == rule.method && rest.starts_with(&rule.path_prefix)
    };
    spec.unrepeatable.iter().any(applies)
}
