//! The product's own rows in the store: where they lie and what those of hosts hold.

use serde::{Deserialize, Serialize};

use crate::entry::{bounds::default_processor_share, keys::KeyPart};

/// Table of the product's own rows: holdings by service and part, and hosts.
pub const TABLE: &str = "ashroad";
/// Beginning of the keys of holdings; the service's name follows, and the number of the part if it is not the first.
const HOLDINGS_PREFIX: &str = "keys/";
/// Stands before the number of a part.
const PART_MARK: char = '#';
/// Part of the table where the rows of hosts lie. Hundreds of hosts that register at once must not keep the holder of
/// the duty from writing its rows.
pub const HOSTS_PART: &str = "hosts";
/// Beginning of the keys of hosts; the address follows.
pub const HOST_PREFIX: &str = "host/";
/// Key of the secret that hosts share.
pub const SECRET_KEY: &str = "secret";
/// Key of the hosts that others may ask when they start. Comes right after that of the secret, so that one call reads
/// both.
pub const GUIDES_KEY: &str = "secret-guides";
/// Key of the requests that no server gets, since several have ended under them.
pub const QUARANTINE_KEY: &str = "quarantine";

/// Key of the row with a part of a service's holdings.
pub fn holdings_key(service: &str, part: KeyPart) -> String {
    match part.number() {
        0 => format!("{HOLDINGS_PREFIX}{service}"),
        number => format!("{HOLDINGS_PREFIX}{service}{PART_MARK}{number}"),
    }
}

/// Service and part of the holdings that lie under a key; `None` if it is no key of holdings.
pub fn parse_holdings_key(key: &str) -> Option<(&str, KeyPart)> {
    let name = key.strip_prefix(HOLDINGS_PREFIX)?;
    let Some((service, number)) = name.rsplit_once(PART_MARK) else {
        return Some((name, KeyPart::new(0)?));
    };
    Some((service, KeyPart::new(number.parse().ok()?)?))
}

/// Row by which hosts find each other.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostRow {
    /// Process that runs there.
    pub incarnation: u64,
    /// Availability zone.
    #[serde(default)]
    pub availability_zone: String,
    /// Share of a processor that it has.
    #[serde(default = "default_processor_share")]
    pub processor_share: f32,
}
