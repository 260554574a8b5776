//! What stays the same when a caller sends a request again: each try has an id of its own, which ties
//! nothing together.

use std::fmt;

use http::request;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{
    entry::server::tag_of,
    transport::{CallerAddress, header_text},
};

/// Bytes of a body that a digest goes by. Of long bodies only the beginning is held in memory, and how much
/// of it depends on the network.
const BODY_BYTES_MAX: usize = 64 * 1024;

/// Digest of what makes two tries the same request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestDigest(pub u64);

/// Set in digests that go without the caller, so that wherever one is kept its quarantine is known to be for all
/// callers.
const ANY_CALLER_BIT: u64 = 1 << 63;

impl RequestDigest {
    /// True if requests of all callers have it.
    pub fn is_of_any_caller(self) -> bool {
        self.0 & ANY_CALLER_BIT != 0
    }
}

/// Digests by which a request is known when it comes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestDigests {
    /// With its query: one query among many may end servers.
    pub whole: RequestDigest,
    /// Without its query, which may be another one at each try.
    pub path: RequestDigest,
    /// With its query and body, whoever sends it: many callers may ask for the same.
    pub content: RequestDigest,
    /// Its method, host and path, whoever sends it.
    pub any_path: RequestDigest,
    /// Short name of the caller.
    pub caller_tag: u32,
}

impl RequestDigests {
    /// Digests of a request with a body, or with the beginning of a long one. The caller is known by its
    /// address: two callers may read the same path at the same time.
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

    /// All of them, each once.
    pub fn all(self) -> impl Iterator<Item = RequestDigest> {
        let shared = [self.content, self.any_path];
        self.iter().chain(shared)
    }

    /// Those that tell callers apart; one if they are the same.
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

/// Adds a part with its length, so that what moves from one part to the next makes a difference.
fn add(hasher: &mut Xxh3, part: &[u8]) {
    hasher.update(&(part.len() as u64).to_le_bytes());
    hasher.update(part);
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
