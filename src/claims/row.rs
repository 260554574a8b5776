//! Row of the table service that records the claim on one unrepeatable request, i.e. on a request
//! that must run at most once.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Prefix of the keys of all claim rows, by which [`super::Sweep`] finds the rows.
pub const CLAIM_PREFIX: &str = "claim/";

/// Hash over the parts of a request that a duplicate must share with the original.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Hashes the method, the path and the body of a request.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(method.as_bytes());
        hasher.update(b" ");
        hasher.update(path.as_bytes());
        hasher.update(b"\n");
        hasher.update(body);
        // Readers of JSON may represent numbers as doubles, which are exact up to 53 bits.
        Self(hasher.digest() >> 11)
    }
}

/// Response that duplicates of the request get instead of a second run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// HTTP status code that the server returned.
    pub status: u16,
    /// Value of the `Content-Type` header; `None` if the response had no such header.
    pub content_type: Option<String>,
    /// Body in Base64, because a row holds text.
    pub body_base64: String,
}

/// State of a claim, which decides how a duplicate of the request is answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The claim has not been ended, so the request may be running.
    Pending,
    /// A server answered the request with this response, which duplicates of the request get.
    Answered(StoredResponse),
    /// The request was answered, but the response was too long to be stored.
    AnswerNotKept,
    /// The request provably did not run, so a duplicate may claim the request again.
    Released,
    /// The request may have run, but its result is not known; duplicates are refused.
    Unknown,
}

/// Value of a claim row, stored as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Random number drawn for the request that made the claim, which distinguishes the request
    /// from its duplicates.
    pub nonce: u64,
    /// Fingerprint of the request. A request with the same idempotency key but another fingerprint
    /// is not a duplicate and is refused.
    pub fingerprint: Fingerprint,
    /// Unix time of the claim in milliseconds; the sweep removes the row once the retention has
    /// passed since this time.
    pub at_unix_ms: u64,
    /// Deadline of the request, as Unix time in milliseconds. If the claim is still pending after
    /// the deadline, the outcome of the request is unknown.
    pub until_unix_ms: u64,
    /// State of the claim; a new claim is [`ClaimState::Pending`].
    pub state: ClaimState,
}

/// Returns the row key for a service and the caller's idempotency key.
pub fn claim_key(service: &str, idempotency_key: &str) -> String {
    let text = format!("{service}\n{idempotency_key}");
    format!("{CLAIM_PREFIX}{:032x}", xxh3_128(text.as_bytes()))
}
