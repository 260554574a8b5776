//! Authentication of the datagrams between hosts. All hosts share a secret, which the holder of the
//! duty makes and keeps in the store: who cannot read the store can neither make a datagram that a
//! host takes in nor change one. Contents are not hidden, and a datagram may be repeated by a
//! stranger; no message does harm when it comes twice.

use std::{fmt, sync::Arc};

use arc_swap::ArcSwapOption;
use base64::{Engine, prelude::BASE64_STANDARD};
use rand::Rng;
use ring::hmac;
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu, ensure};

use crate::clock;

/// Length of the secret: that of the hash.
const SECRET_BYTES: usize = 32;
/// Length of the part of the hash that is sent. Strangers get one try a datagram.
const TAG_BYTES: usize = 8;
/// Age from which the holder makes another secret.
const ROTATION_AGE_MS: u64 = 24 * 3_600 * 1_000;

/// Time for which the former secret is still used after another was read: all hosts have read it
/// then.
const OVERLAP_MS: u64 = 20_000;

/// Why a stored secret cannot be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// It is not the JSON that hosts write.
    #[snafu(display("{source}"))]
    Json {
        /// Cause.
        source: serde_json::Error,
    },
    /// The secret is not base64.
    #[snafu(display("{source}"))]
    Base64 {
        /// Cause.
        source: base64::DecodeError,
    },
    /// The secret is too short or too long.
    #[snafu(display("the secret has {length} bytes; expected 32"))]
    Length {
        /// Its length.
        length: usize,
    },
}

/// The secret as it is stored.
#[derive(Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecretRow {
    /// The secret, in base64.
    secret: String,
    /// When it was made, by the wall clock of the host that made it.
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
    /// A new secret.
    pub fn generate(now_unix_ms: u64) -> Self {
        let secret: [u8; SECRET_BYTES] = rand::rng().random();
        Self {
            secret: BASE64_STANDARD.encode(secret),
            made_unix_ms: now_unix_ms,
        }
    }

    /// True if another secret should take its place.
    pub fn is_due_for_rotation(&self, now_unix_ms: u64) -> bool {
        now_unix_ms > self.made_unix_ms.saturating_add(ROTATION_AGE_MS)
    }
}

/// Keys that hosts know.
#[derive(Debug)]
struct Keys {
    row: SecretRow,
    version: u64,
    read_ms: u64,
    current: hmac::Key,
    /// The one before, with which hosts still send for a moment.
    previous: Option<hmac::Key>,
}

impl Keys {
    fn for_sending(&self) -> &hmac::Key {
        let overlap = clock::now_ms() < self.read_ms + OVERLAP_MS;
        match &self.previous {
            Some(previous) if overlap => previous,
            _ => &self.current,
        }
    }
}

/// Seals and opens datagrams.
#[derive(Debug, Default)]
pub struct Seal {
    keys: ArcSwapOption<Keys>,
}

impl Seal {
    /// Takes a stored secret into use, unless a newer version is known.
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

    /// True once a secret was read.
    pub fn is_known(&self) -> bool {
        self.keys.load().is_some()
    }

    /// The stored secret in use, with its version.
    pub fn row(&self) -> Option<(SecretRow, u64)> {
        let keys = self.keys.load();
        keys.as_ref().map(|keys| (keys.row.clone(), keys.version))
    }

    /// Puts a tag before a message; `None` while no secret is known.
    pub fn seal(&self, message: &[u8]) -> Option<Vec<u8>> {
        let keys = self.keys.load();
        let tag = hmac::sign(keys.as_ref()?.for_sending(), message);
        let mut datagram = Vec::with_capacity(TAG_BYTES + message.len());
        datagram.extend_from_slice(&tag.as_ref()[..TAG_BYTES]);
        datagram.extend_from_slice(message);
        Some(datagram)
    }

    /// The message of a datagram, if its tag was made with a known secret.
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

/// Compares without telling by its time how many bytes agree.
fn matches_tag(key: &hmac::Key, message: &[u8], tag: &[u8]) -> bool {
    let expected = hmac::sign(key, message);
    let pairs = expected.as_ref().iter().zip(tag);
    pairs.fold(0, |differences, (one, other)| differences | (one ^ other)) == 0
}
