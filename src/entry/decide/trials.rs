//! Requests under which a server has ended are tried by one host at a time. Their tries come together: while
//! their key has no server they wait or are told to come back, and would all reach the next server within
//! the 40 ms that it lives. With two tries at each of three hosts every 0.2 s, four of eight runs came later
//! than the contact time after the third one, and one of five where tries are claimed (tests/entry_crashes.rs).
//!
//! So are the tries at a server: where two suspects run at one, its end would speak against both, and the harmless one would
//! be kept from servers too.
//!
//! A host claims a try and tells the others; after [`CLAIM_WAIT_MS`] it goes on unless a host with a lower
//! address has claimed it too. That is best effort: a lost datagram costs one run more.

use std::{collections::HashMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::entry::digest::RequestDigest;

/// Time for which a host waits for the others' claims. Zones are 0.5 to 1.4 ms apart one way by the users'
/// sheets, 12 ms between regions; the rest is for a host that is busy.
pub const CLAIM_WAIT_MS: u64 = 25;
/// Time for which a claim counts, if nothing is heard of its outcome: a run, and the look whether its server
/// has ended.
pub const CLAIM_MS: u64 = 1_000;

/// What a claim keeps others from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Claimed {
    /// A try of a request.
    Request(RequestDigest),
    /// A try of any suspect at a server, by its short name.
    Server(u32),
}

impl From<RequestDigest> for Claimed {
    fn from(digest: RequestDigest) -> Self {
        Self::Request(digest)
    }
}

#[derive(Clone, Copy, Debug)]
struct Claim {
    host: SocketAddr,
    until_ms: u64,
}

/// Claims of tries.
#[derive(Debug, Default)]
pub struct TrialClaims(HashMap<Claimed, Claim>);

impl TrialClaims {
    /// Claims a try for a host. `Err` holds the rest of the time for which another try is under way.
    pub fn claim(
        &mut self,
        claimed: impl Into<Claimed>,
        own: SocketAddr,
        now_ms: u64,
    ) -> Result<(), u64> {
        let claimed = claimed.into();
        self.0.retain(|_, claim| now_ms < claim.until_ms);
        if let Some(claim) = self.0.get(&claimed) {
            return Err(claim.until_ms - now_ms);
        }
        let until_ms = now_ms + CLAIM_MS;
        self.0.insert(
            claimed,
            Claim {
                host: own,
                until_ms,
            },
        );
        Ok(())
    }

    /// Notes the claim of another host. Of two hosts that claim at once the one with the lower address has
    /// it.
    pub fn note(&mut self, claimed: impl Into<Claimed>, host: SocketAddr, now_ms: u64) {
        self.0.retain(|_, claim| now_ms < claim.until_ms);
        let until_ms = now_ms + CLAIM_MS;
        let claim = Claim { host, until_ms };
        let known = self.0.entry(claimed.into()).or_insert(claim);
        if host < known.host {
            *known = claim;
        }
    }

    /// True if a host still has the claim that it made.
    pub fn has(&self, claimed: impl Into<Claimed>, own: SocketAddr, now_ms: u64) -> bool {
        let claim = self.0.get(&claimed.into());
        claim.is_some_and(|claim| claim.host == own && now_ms < claim.until_ms)
    }

    /// Ends the claim of a try whose outcome is known.
    pub fn end(&mut self, claimed: impl Into<Claimed>) {
        self.0.remove(&claimed.into());
    }
}
