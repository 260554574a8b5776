//! Whether a caller's API key is honoured, by how recent the host's configuration is proved to be.
//!
//! The load: operators add and revoke keys while hosts are cut off, stand still or have just started. A revoked key
//! must not be honoured past a bound. A good key must never be called unknown by a host that has not heard of it:
//! callers do not come back after that.

/// Taken off the bound of revocations for clocks that run apart.
const REVOCATION_MARGIN_MS: u64 = 100;

/// Times for which a configuration is relied on.
#[derive(Clone, Copy, Debug)]
pub struct TrustLimits {
    /// Time after which a revoked key must not be honoured; `None` if only the bound of configurations holds.
    pub revocation_ms: Option<u64>,
    /// Time within which a configuration is in force.
    pub configuration_ms: u64,
}

/// What is done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyVerdict {
    /// Its key is good.
    Honoured,
    /// Its key is surely not good.
    Unknown,
    /// This host cannot tell now.
    Unverified,
}

/// Judges a key that the configuration knows or not, which is proved to have been the latest one `proof_age_ms` ago.
pub fn judge(is_known: bool, proof_age_ms: Option<u64>, limits: TrustLimits) -> KeyVerdict {
    let is_proved_within = |bound_ms| proof_age_ms.is_some_and(|age_ms| age_ms <= bound_ms);
    if !is_known {
        return if is_proved_within(limits.configuration_ms) {
            KeyVerdict::Unknown
        } else {
            KeyVerdict::Unverified
        };
    }
    match limits.revocation_ms {
        Some(bound_ms) if !is_proved_within(bound_ms.saturating_sub(REVOCATION_MARGIN_MS)) => {
            KeyVerdict::Unverified
        }
        _ => KeyVerdict::Honoured,
    }
}
