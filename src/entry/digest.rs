//! Digests that identify a request across retries. A caller gives each retry a new request id, so
//! the id does not identify the request.

use std::fmt;

use http::request;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    entry::tag::tag_of,
    transport::{CallerAddress, header_text},
};

/// Number of bytes at the beginning of a body that a digest covers. Of a long body only the
/// beginning is buffered, with a length that depends on the network; without this maximum, the
/// digests of two retries could differ.
const BODY_BYTES_MAX: usize = 64 * 1024;

/// Hash of the parts of a request that its retries have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest(pub u64);

/// Bit that is set in digests that do not cover the caller and cleared in those that do. Every copy
/// of a digest thus shows whether its quarantine applies to all callers.
const ANY_CALLER_BIT: u64 = 1 << 63;

impl RequestDigest {
    /// Returns true if the digest does not cover the caller, so that its quarantine applies to all
    /// callers.
    pub fn is_of_any_caller(self) -> bool {
        self.0 & ANY_CALLER_BIT != 0
    }
}

/// Digests that identify a request when it is sent again. Each digest covers a different set of the
/// request's parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestDigests {
    /// Digest of method, host, path, caller, body and query: a single query among many may crash
    /// servers.
    pub whole: RequestDigest,
    /// Digest of method, host, path, caller and body, but not the query, which may differ at each
    /// retry.
    pub path: RequestDigest,
    /// Digest of method, host, path, body and query, but not the caller: many callers may send the
    /// same request.
    pub content: RequestDigest,
    /// Digest of method, host and path only, which is the same for all callers, queries and bodies.
    pub any_path: RequestDigest,
    /// Tag of the caller: a hash of its address.
    pub caller_tag: u32,
}

impl RequestDigests {
    /// Computes the digests of a request from its head and its body, or the beginning of a long
    /// body. The caller is identified by its address, because two callers may read the same path at
    /// the same time.
    pub fn of(head: &request::Parts, body: &[u8]) -> Self {
        let host = header_text(&head.headers, "host").unwrap_or_default();
        let caller = head.extensions.get::<CallerAddress>();
        let caller = caller.map_or(String::new(), |CallerAddress(ip)| ip.to_string());
        let query = head.uri.query();
        let body = &body[..body.len().min(BODY_BYTES_MAX)];
        let mut any_path = Xxh3::new();
        add(&mut any_path, head.method.as_str().as_bytes());
        add(&mut any_path, host.as_bytes());
        add(&mut any_path, head.uri.path().as_bytes());
        let mut path = any_path.clone();
        add(&mut path, caller.as_bytes());
        add(&mut path, body);
        let mut content = any_path.clone();
        add(&mut content, body);
        let mut whole = path.clone();
        if let Some(query) = query {
            add(&mut whole, query.as_bytes());
            add(&mut content, query.as_bytes());
        }
        Self {
            whole: of_caller(&whole),
            path: of_caller(&path),
            content: of_any_caller(&content),
            any_path: of_any_caller(&any_path),
            caller_tag: tag_of(&caller),
        }
    }

    /// Returns all digests of the request, each once: those with and those without the caller.
    pub fn all(self) -> impl Iterator<Item = RequestDigest> {
        let shared = [self.content, self.any_path];
        self.iter().chain(shared)
    }

    /// Returns the distinct digests that cover the caller: one if there is no query, else two.
    pub fn iter(self) -> impl Iterator<Item = RequestDigest> {
        let path = (self.path != self.whole).then_some(self.path);
        [Some(self.whole), path].into_iter().flatten()
    }
}

fn of_caller(hasher: &Xxh3) -> RequestDigest {
    RequestDigest(hasher.digest() & !ANY_CALLER_BIT)
}

fn of_any_caller(hasher: &Xxh3) -> RequestDigest {
    RequestDigest(hasher.digest() | ANY_CALLER_BIT)
}

/// Adds a part of a request to the hash, together with the length of the part, so that moving bytes
/// from one part to the next changes the digest.
fn add(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
