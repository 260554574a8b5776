//! Bounds that operators set for a site, such as the drain time and the longest lease, and the
//! defaults of the bounds. A bound is a time or a number of retries that hosts must not exceed.

use serde::{Deserialize, Deserializer, de::Error as _};

use crate::platform::parse_ms;

/// Time bounds and retry limits from the settings.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Time from SIGTERM to SIGKILL when the platform stops a host.
    #[serde(rename = "stop_grace", deserialize_with = "duration")]
    pub stop_grace_ms: u64,
    /// Longest lease duration that a server accepts.
    #[serde(rename = "lease_max", deserialize_with = "duration")]
    pub lease_max_ms: u64,
    /// Longest time for which a server may still get requests after it has announced its leaving.
    #[serde(
        rename = "drain",
        default = "default_bound_ms",
        deserialize_with = "duration"
    )]
    pub drain_ms: u64,
    /// Longest time from the write of a new configuration until the configuration takes effect on
    /// all hosts.
    #[serde(
        rename = "configuration",
        default = "default_bound_ms",
        deserialize_with = "duration"
    )]
    pub configuration_ms: u64,
    /// Longest time for which the servers of an availability zone may still get requests after the
    /// evacuation of the zone has begun.
    #[serde(
        rename = "evacuation",
        default = "default_evacuation_ms",
        deserialize_with = "duration"
    )]
    pub evacuation_ms: u64,
    /// Longest time for which an API key may still be accepted after its revocation; `None` if only
    /// the bound of configurations applies.
    #[serde(rename = "revocation", default, deserialize_with = "optional_duration")]
    pub revocation_ms: Option<u64>,
    /// Contact grace period: time after a fault, such as an outage of the store, in which the other
    /// bounds do not apply to a host.
    #[serde(
        rename = "contact",
        default = "default_contact_ms",
        deserialize_with = "duration"
    )]
    pub contact_ms: u64,
    /// Length of the window in which retries are counted for `retry_ratio` and `retry_allowance`.
    #[serde(rename = "retry_window", deserialize_with = "duration")]
    pub retry_window_ms: u64,
    /// Maximum number of retries in a window, as a fraction of the requests in the window.
    pub retry_ratio: f64,
    /// Number of retries that all hosts together may send in a window in addition to the retries
    /// that `retry_ratio` allows.
    pub retry_allowance: f64,
}

/// Returns the fraction of a processor that a host may use if its settings or its host row state no
/// value: 1.0, a whole processor.
pub fn default_processor_share() -> f32 {
    1.0
}

/// Returns the default of the bounds on drains and on configurations: the tightest bound of the
/// known sites.
fn default_bound_ms() -> u64 {
    2_000
}

/// Returns the default bound on evacuations: the bound of the only known site that evacuates zones.
fn default_evacuation_ms() -> u64 {
    5_000
}

/// Returns the default contact grace period: the shortest of the known sites.
fn default_contact_ms() -> u64 {
    3_000
}

/// Deserialises a duration such as `2s` to `Some` milliseconds. Serde does not call this function
/// for a missing setting, whose default is `None`.
fn optional_duration<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Option<u64>, D::Error> {
    duration(deserializer).map(Some)
}

/// Deserialises a duration such as `2s` to milliseconds.
pub fn duration<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    let text = String::deserialize(deserializer)?;
    parse_ms(&text).ok_or_else(|| D::Error::custom(format!("'{text}' is not a duration like 2s")))
}
