//! Decides whether a host accepts the API key of a caller. The decision depends on the host's copy
//! of the configuration, and on how recently that copy was confirmed as the latest one.
//!
//! Operators add and revoke API keys while hosts are disconnected, stalled or starting. A revoked
//! key must not be accepted for longer than the bound [`ApiKeyLimits::revocation_ms`]. A host that
//! has not yet received a new key must never reject that key as unknown, because callers do not
//! retry after such a response.

/// Margin that is subtracted from [`ApiKeyLimits::revocation_ms`] to allow for clock drift between
/// hosts.
const REVOCATION_MARGIN_MS: u64 = 100;

/// Maximum ages of the configuration's last confirmation at which a host may still decide about API
/// keys by that configuration.
#[derive(Clone, Copy, Debug)]
pub struct ApiKeyLimits {
    /// Time after which no host may accept a revoked key, in milliseconds. `None` if the settings
    /// have no separate bound for revocations; then a known key is accepted whatever the age of the
    /// confirmation.
    pub revocation_ms: Option<u64>,
    /// Maximum age of the last confirmation, in milliseconds, at which a key that the configuration
    /// lacks is rejected as unknown. Hosts must apply a new configuration within this time.
    pub configuration_ms: u64,
}

/// Status of a caller's API key, as determined by [`check_api_key`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApiKeyStatus {
    /// The configuration contains the key. If [`ApiKeyLimits::revocation_ms`] is set, the
    /// configuration was also confirmed within that bound.
    Accepted,
    /// The configuration does not contain the key, and was confirmed so recently as the latest one
    /// that it contains every key that should be in force.
    Unknown,
    /// The configuration was confirmed as the latest one too long ago, or never, so that the host
    /// cannot decide about the key.
    Unverified,
}

/// Checks an API key against the host's configuration. `is_known` is true if the configuration
/// contains the key. `confirmation_age_ms` is the time since the configuration was last confirmed
/// as the latest one, and `None` if the configuration was never confirmed.
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
