//! Authentication of the datagrams and queries between hosts. A seal is a truncated HMAC tag in
//! front of a message. All hosts share the secret of the HMAC. The leader generates the secret and
//! keeps it in the store, so a sender without access to the store can neither forge nor alter a
//! message. Messages are not encrypted. A datagram can be replayed, so every message must be
//! harmless when it arrives twice.

use std::{fmt, sync::Arc};

use arc_swap::ArcSwapOption;
use base64::{Engine, prelude::BASE64_STANDARD};
use rand::Rng;
use ring::hmac;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::clock;

/// Length of the secret in bytes, equal to the output length of SHA-256, the hash function of the
/// HMAC.
const SECRET_BYTES: usize = 32;
/// Length in bytes to which the HMAC tag is truncated. A short tag is sufficient because an
/// attacker can test only one guess per datagram.
const TAG_BYTES: usize = 8;
/// Age of the secret, 24 hours, at which the leader replaces it.
const ROTATION_AGE_MS: u64 = 24 * 3_600 * 1_000;

/// Time after reading a new secret in which this host still signs with the previous secret. At the
/// end of this time all hosts have read the new secret.
const OVERLAP_MS: u64 = 20_000;

/// Reason why a stored secret is invalid.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The stored row is not valid JSON or lacks a field of [`SecretRow`].
    #[snafu(display("{source}"))]
    Json {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The secret in the stored row is not valid base64.
    #[snafu(display("{source}"))]
    Base64 {
        /// Error of the base64 decoder.
        source: base64::DecodeError,
    },
    /// The decoded secret is shorter or longer than 32 bytes.
    #[snafu(display("the secret has {length} bytes; expected 32"))]
    Length {
        /// Length of the decoded secret in bytes.
        length: usize,
    },
}

/// Shared secret of the hosts as the leader stores it, as JSON in one row of the store.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecretRow {
    /// Secret in base64. The `Debug` output omits it, so that it does not get into logs.
    secret: String,
    /// Time at which the secret was generated, in milliseconds since 1970 by the wall clock of the
    /// leader that generated it.
    made_unix_ms: u64,
}

impl fmt::Debug for SecretRow {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = formatter.debug_struct("SecretRow");
        shown.field("made_unix_ms", &self.made_unix_ms);
        shown.finish_non_exhaustive()
    }
}

impl SecretRow {
    /// Generates a new random secret. `now_unix_ms` is the current wall time in milliseconds since
    /// 1970, from which the age of the secret counts.
    pub fn generate(now_unix_ms: u64) -> Self {
        let secret: [u8; SECRET_BYTES] = rand::rng().random();
        Self {
            secret: BASE64_STANDARD.encode(secret),
            made_unix_ms: now_unix_ms,
        }
    }

    /// Returns true if the secret is older than 24 hours at `now_unix_ms`, so that the leader
    /// replaces it.
    pub fn is_due_for_rotation(&self, now_unix_ms: u64) -> bool {
        now_unix_ms > self.made_unix_ms.saturating_add(ROTATION_AGE_MS)
    }
}

/// HMAC keys of the current and the previous secret. Both are in use at the same time, since hosts
/// read a new secret at different times.
#[derive(Debug)]
struct Keys {
    row: SecretRow,
    version: u64,
    read_ms: u64,
    current: hmac::Key,
    /// Key of the previous secret. Hosts still sign with this key for [`OVERLAP_MS`] after reading
    /// a new secret, so datagrams with its tag are accepted as well.
    previous: Option<hmac::Key>,
}

impl Keys {
    /// Returns the key with which this host signs: the key of the previous secret for
    /// [`OVERLAP_MS`] after reading a new secret, then the key of the new secret.
    fn for_sending(&self) -> &hmac::Key {
        let overlap = clock::now_ms() < self.read_ms + OVERLAP_MS;
        match &self.previous {
            Some(previous) if overlap => previous,
            _ => &self.current,
        }
    }
}

/// Signs and verifies the datagrams between hosts with their shared secret.
#[derive(Debug, Default)]
pub struct Seal {
    keys: ArcSwapOption<Keys>,
}

impl Seal {
    /// Replaces the secret in use by the stored row `value`, unless the row in use has the same or
    /// a later version. Fails and keeps the secret in use if the row is invalid.
    pub fn set(&self, value: &[u8], version: u64) -> Result<(), Error> {
        let row: SecretRow = serde_json::from_slice(value).context(JsonSnafu)?;
        let secret = BASE64_STANDARD.decode(&row.secret).context(Base64Snafu)?;
        let length = secret.len();
        ensure!(length == SECRET_BYTES, LengthSnafu { length });
        let before = self.keys.load_full();
        if before.as_ref().is_some_and(|keys| keys.version >= version) {
            return Ok(());
        }
        self.keys.store(Some(Arc::new(Keys {
            row,
            version,
            read_ms: clock::now_ms(),
            current: hmac::Key::new(hmac::HMAC_SHA256, &secret),
            previous: before.map(|keys| keys.current.clone()),
        })));
        Ok(())
    }

    /// Returns true once this host knows a secret. Before that, this host can neither send nor
    /// accept datagrams.
    pub fn is_known(&self) -> bool {
        self.keys.load().is_some()
    }

    /// Returns the stored secret in use and the version of its row; `None` until a secret is known.
    pub fn row(&self) -> Option<(SecretRow, u64)> {
        let keys = self.keys.load();
        keys.as_ref().map(|keys| (keys.row.clone(), keys.version))
    }

    /// Returns the datagram of a message, which is the tag followed by the message; `None` until a
    /// secret is known.
    pub fn seal(&self, message: &[u8]) -> Option<Vec<u8>> {
        let keys = self.keys.load();
        let tag = hmac::sign(keys.as_ref()?.for_sending(), message);
        let mut datagram = Vec::with_capacity(TAG_BYTES + message.len());
        datagram.extend_from_slice(&tag.as_ref()[..TAG_BYTES]);
        datagram.extend_from_slice(message);
        Some(datagram)
    }

    /// Returns the message of a datagram if its tag was made with the key of the current or the
    /// previous secret. Otherwise returns `None`, also until a secret is known.
    pub fn open<'a>(&self, datagram: &'a [u8]) -> Option<&'a [u8]> {
        let (tag, message) = datagram.split_at_checked(TAG_BYTES)?;
        let keys = self.keys.load();
        let keys = keys.as_ref()?;
        let mut known = std::iter::once(&keys.current).chain(&keys.previous);
        known
            .any(|key| matches_tag(key, message, tag))
            .then_some(message)
    }
}

/// Compares the tag in constant time, so that the duration does not reveal how many bytes match.
fn matches_tag(key: &hmac::Key, message: &[u8], tag: &[u8]) -> bool {
    let expected = hmac::sign(key, message);
    let pairs = expected.as_ref().iter().zip(tag);
    pairs.fold(0, |differences, (one, other)| differences | (one ^ other)) == 0
}
