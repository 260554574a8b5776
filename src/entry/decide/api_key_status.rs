//! Decides whether a caller's API key is accepted, depending on how recently the host's
//! configuration was confirmed.
//!
//! Operators add and revoke keys while hosts are disconnected, stalled or starting. A revoked key
//! must not be accepted for longer than a bound. A valid key must never be rejected as unknown by a
//! host that has not yet received it: callers do not retry after that.

/// Margin subtracted from the revocation bound, for clock drift between hosts.
const REVOCATION_MARGIN_MS: u64 = 100;

/// Maximum ages of the last confirmation of the configuration up to which it decides about keys.
#[derive(Clone, Copy, Debug)]
pub struct ApiKeyLimits {
    /// Time after which a revoked key must not be accepted; `None` if only the bound of
    /// configurations applies.
    pub revocation_ms: Option<u64>,
    /// Age of the confirmation up to which a key that the configuration lacks counts as unknown: a
    /// new configuration must be in force within this time.
    pub configuration_ms: u64,
}

/// Result of the check of an API key against the host's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiKeyStatus {
    /// The configuration has the key. If revocations have a bound of their own, the configuration
    /// was also confirmed within it.
    Accepted,
    /// The configuration lacks the key, and was confirmed recently enough to have any key that
    /// should be in force.
    Unknown,
    /// The configuration was confirmed too long ago, or never, so this host cannot decide.
    Unverified,
}

/// Checks a key. `is_known` is true if the configuration has the key. `confirmation_age_ms` is the
/// time since the configuration was last confirmed as the latest one, `None` if it never was.
pub fn check_api_key(
    is_known: bool,
    confirmation_age_ms: Option<u64>,
    limits: ApiKeyLimits,
) -> ApiKeyStatus {
    let is_confirmed_within =
        |bound_ms| confirmation_age_ms.is_some_and(|age_ms| age_ms <= bound_ms);
    if !is_known {
        return if is_confirmed_within(limits.configuration_ms) {
            ApiKeyStatus::Unknown
        } else {
            ApiKeyStatus::Unverified
        };
    }
    match limits.revocation_ms {
        Some(bound_ms) if !is_confirmed_within(bound_ms.saturating_sub(REVOCATION_MARGIN_MS)) => {
            ApiKeyStatus::Unverified
        }
        _ => ApiKeyStatus::Accepted,
    }
}
