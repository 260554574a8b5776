//! Claims that let only one host at a time run a suspect, a request during which a server has
//! crashed. Attempts of a suspect tend to coincide: while its key has no server they are held or
//! asked to retry, and then would all reach the next server within the 40 ms before it crashes.
//! With two attempts at each of three hosts every 0.2 s, four of eight runs came later than the
//! contact grace period after the third run; with claims it was one of five
//! (tests/entry_crashes.rs).
//!
//! Claims also cover the server. If two suspects ran at one server, its crash would be evidence
//! against both, and the harmless one would be quarantined too.
//!
//! A host claims a trial and informs the others; after [`CLAIM_WAIT_MS`] it proceeds unless a host
//! with a lower address has claimed it too. This is best effort: a lost datagram costs one more
//! run.

use std::{collections::HashMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::entry::digest::RequestDigest;

/// Wait for competing claims of other hosts. The users specify one-way latencies of 0.5 to 1.4 ms
/// between zones and 12 ms between regions; the remainder allows for a busy host.
pub const CLAIM_WAIT_MS: u64 = 25;
/// Lifetime of a claim whose outcome is not reported: long enough for a run and for the check
/// whether the server has crashed.
pub const CLAIM_MS: u64 = 1_000;

/// Request or server that a claim reserves for the trial of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimSubject {
    /// Request with this digest: only one host runs its trial.
    Request(RequestDigest),
    /// Server with this tag: it runs no other suspect during the trial.
    Server(u32),
}

impl From<RequestDigest> for ClaimSubject {
    fn from(digest: RequestDigest) -> Self {
        Self::Request(digest)
    }
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    host: SocketAddr,
    until_ms: u64,
}

/// Claims of trials (single supervised attempts of suspects) by all hosts, as far as this host
/// knows. Each expires after [`CLAIM_MS`].
#[derive(Debug, Default)]
pub struct TrialClaims(HashMap<ClaimSubject, Claim>);

impl TrialClaims {
    /// Claims a trial for a host. `Err` holds the time left, in milliseconds, of the claim that
    /// blocks it.
    pub fn claim(
        &mut self,
        subject: impl Into<ClaimSubject>,
        own: SocketAddr,
        now_ms: u64,
    ) -> Result<(), u64> {
        let subject = subject.into();
        self.0.retain(|_, claim| now_ms < claim.until_ms);
        if let Some(claim) = self.0.get(&subject) {
            return Err(claim.until_ms - now_ms);
        }
        let until_ms = now_ms + CLAIM_MS;
        self.0.insert(
            subject,
            Claim {
                host: own,
                until_ms,
            },
        );
        Ok(())
    }

    /// Records the claim of another host. If two hosts claim the same request or server, the one
    /// with the lower address gets the claim.
    pub fn note(&mut self, subject: impl Into<ClaimSubject>, host: SocketAddr, now_ms: u64) {
        self.0.retain(|_, claim| now_ms < claim.until_ms);
        let until_ms = now_ms + CLAIM_MS;
        let claim = Claim { host, until_ms };
        let known = self.0.entry(subject.into()).or_insert(claim);
        if host < known.host {
            *known = claim;
        }
    }

    /// Returns true if the host `own` still has its claim: it has not expired, ended or been
    /// displaced by a host with a lower address.
    pub fn has(&self, subject: impl Into<ClaimSubject>, own: SocketAddr, now_ms: u64) -> bool {
        let claim = self.0.get(&subject.into());
        claim.is_some_and(|claim| claim.host == own && now_ms < claim.until_ms)
    }

    /// Ends the claim of a trial whose outcome is known, whichever host made it.
    pub fn end(&mut self, subject: impl Into<ClaimSubject>) {
        self.0.remove(&subject.into());
    }
}
