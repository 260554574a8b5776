//! The row of one unrepeatable request.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

/// Prefix of the rows of claims.
pub const CLAIM_PREFIX: &str = "claim/";

/// Hash over what must be the same in a repeated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Fingerprint of a request.
    pub fn of(method: &str, path: &str, body: &[u8]) -> Self {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        hasher.update(method.as_bytes());
        hasher.update(b" ");
        hasher.update(path.as_bytes());
        hasher.update(b"\n");
        hasher.update(body);
        // JSON readers may hold numbers as doubles, so only 53 bits are used.
        Self(hasher.digest() >> 11)
    }
}

/// An answer kept for duplicates.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredResponse {
    /// Status.
    pub status: u16,
    /// Content type.
    pub content_type: Option<String>,
    /// Body in Base64.
    pub body_base64: String,
}

/// Stage of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request may be running.
    Pending,
    /// It was answered.
    Answered(StoredResponse),
    /// It was answered, but the answer was too long to keep.
    AnswerNotKept,
    /// It provably did not run.
    Released,
    /// It may have run.
    Unknown,
}

/// One claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRow {
    /// Random number of the arrival that made the claim.
    pub nonce: u64,
    /// What was asked.
    pub fingerprint: Fingerprint,
    /// When the claim was made.
    pub at_unix_ms: u64,
    /// Deadline of the request; a claim that is still pending then has an unknown end.
    pub until_unix_ms: u64,
    /// Stage.
    pub state: ClaimState,
}

/// Key of the row of an unrepeatable request.
pub fn claim_key(service: &str, idempotency_key: &str) -> String {
    let text = format!("{service}\n{idempotency_key}");
    format!("{CLAIM_PREFIX}{:032x}", xxh3_128(text.as_bytes()))
}
