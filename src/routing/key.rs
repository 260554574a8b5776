//! Maps a request to its service, key and slot (the hash bucket of the key, which one server owns).

use http::{HeaderMap, Method};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    configuration::{
        ServiceSpec,
        template::{KeySource, UnrepeatableRule},
    },
    id::Slot,
};

/// Path of a caller's request, `/workspace/service/rest`, split into service and rest.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerPath<'a> {
    /// Full name of the service, `workspace/service`.
    pub service: &'a str,
    /// Part of the path after the service, which begins with a slash or is empty.
    pub rest: &'a str,
}

/// Splits a caller's path into the service and the rest; `None` if the path names no service.
pub fn split(path: &str) -> Option<CallerPath<'_>> {
    let path = path.strip_prefix('/')?;
    let workspace = path.find('/')?;
    let service = path[workspace + 1..].find('/');
    let end = service.map_or(path.len(), |length| workspace + 1 + length);
    let (service, rest) = path.split_at(end);
    Some(CallerPath { service, rest })
}

/// Extracts the key of a request from the path or from a header, as configured in `source`; `None`
/// if the key is missing or empty. `rest` is the path after the service.
pub fn key<'a>(source: &KeySource, rest: &'a str, headers: &'a HeaderMap) -> Option<&'a str> {
    let found = match source {
        KeySource::Path(segment) => rest.split('/').nth(segment + 1),
        KeySource::Header(name) => headers.get(name.as_str())?.to_str().ok(),
    };
    found.filter(|key| !key.is_empty())
}

/// Returns the slot of a key, for a service with `slots` slots. All hosts must compute the same
/// slot for the same key, so the hash function must never change.
pub fn slot(key: &str, slots: u32) -> Slot {
    let hash = u128::from(xxh3_64(key.as_bytes()));
    Slot(((hash * u128::from(slots)) >> 64) as u32)
}

/// Returns true if a rule of the service marks the request as unrepeatable, i.e. as a request that
/// must run at most once. `rest` is the path after the service.
pub fn unrepeatable(spec: &ServiceSpec, method: &Method, rest: &str) -> bool {
    let applies = |rule: &UnrepeatableRule| {
        method.as_str() == rule.method && rest.starts_with(&rule.path_prefix)
    };
    spec.unrepeatable.iter().any(applies)
}
