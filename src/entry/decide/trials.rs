//! Claims by which only one host at a time runs a suspect, which is a request that was in flight
//! when a server crashed. Such a supervised run is a trial. Without claims, attempts of a suspect
//! tend to coincide: while the suspect's key has no server, hosts hold the attempts or ask callers
//! to retry, and then all attempts would reach the next server within the 40 ms before it crashes.
//! With two attempts at each of three hosts every 0.2 s, four of the suspect's eight runs came
//! after the contact grace period that follows the third run; with claims, one of five runs did
//! (tests/entry_crashes.rs).
//!
//! A host also claims the server on which it runs a trial. If two suspects ran at one server, a
//! crash of the server would be evidence against both, and the harmless suspect would be
//! quarantined too.
//!
//! A host that wants to run a trial claims the request and the server, and informs the other hosts.
//! After [`CLAIM_WAIT_MS`], the host runs the trial unless a host with a lower address has made the
//! same claim. Claims are best effort: if a datagram is lost, a suspect may be run once more.

use std::{collections::HashMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::entry::digest::RequestDigest;

/// Time, in milliseconds, for which a host waits for competing claims from other hosts before it
/// runs a trial. The users specify one-way latencies of 0.5 to 1.4 ms between zones and 12 ms
/// between regions; the remainder allows for a busy host.
pub const CLAIM_WAIT_MS: u64 = 25;
/// Time, in milliseconds, after which a claim expires if the outcome of the trial is not reported:
/// long enough for a run and for the check whether the server has crashed.
pub const CLAIM_MS: u64 = 1_000;

/// The request or server that a host claims for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimSubject {
    /// The request with this digest: only the host that has the claim runs the request.
    Request(RequestDigest),
    /// The server with this tag: the server runs no other suspect during the trial.
    Server(u32),
}

impl From<RequestDigest> for ClaimSubject {
    fn from(digest: RequestDigest) -> Self {
        Self::Request(digest)
    }
}

#[derive(Clone, Copy, Debug)]
/// Claim of a request or server by a host, valid until `until_ms`.
struct Claim {
    host: SocketAddr,
    until_ms: u64,
}

/// Claims of trials (single supervised attempts of suspects) by all hosts, as far as this host
/// knows. Each claim expires after [`CLAIM_MS`].
#[derive(Debug, Default)]
pub struct TrialClaims(HashMap<ClaimSubject, Claim>);

impl TrialClaims {
    /// Claims a request or server for a trial by the host `own`. Fails if any host has a valid
    /// claim on the request or server; the error is the time, in milliseconds, until that claim
    /// expires.
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

    /// Records a claim that another host made. If two hosts claim the same request or server, the
    /// host with the lower address gets the claim.
    pub fn note(&mut self, subject: impl Into<ClaimSubject>, host: SocketAddr, now_ms: u64) {
        self.0.retain(|_, claim| now_ms < claim.until_ms);
        let until_ms = now_ms + CLAIM_MS;
        let claim = Claim { host, until_ms };
        let known = self.0.entry(subject.into()).or_insert(claim);
        if host < known.host {
            *known = claim;
        }
    }

    /// Returns true if the host `own` still has its claim: the claim has not expired or ended, and
    /// no host with a lower address has made the same claim.
    pub fn has(&self, subject: impl Into<ClaimSubject>, own: SocketAddr, now_ms: u64) -> bool {
        let claim = self.0.get(&subject.into());
        claim.is_some_and(|claim| claim.host == own && now_ms < claim.until_ms)
    }

    /// Ends the claim on a request or server, whichever host made the claim, because the outcome of
    /// the trial is known.
    pub fn end(&mut self, subject: impl Into<ClaimSubject>) {
        self.0.remove(&subject.into());
    }
}
