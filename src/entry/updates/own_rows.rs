//! Layout of the entry hosts' own rows in the store: table names, keys, and the content of host
//! rows.

use serde::{Deserialize, Serialize};

use crate::entry::{bounds::default_processor_share, keys::KeyPartition};

/// Table of the entry hosts' own rows: assigned ranges by service and key partition, and hosts.
pub const TABLE: &str = "ashroad";
/// Prefix of the keys of assigned ranges. The name of the service follows, then the number of the
/// key partition unless that is 0.
const ASSIGNMENT_PREFIX: &str = "keys/";
/// Separator between the name of the service and the number of the key partition.
const PARTITION_SEPARATOR: char = '#';
/// Partition of the table with the rows of hosts. This partition is separate so that hundreds of
/// hosts that register at once do not delay the leader's writes.
pub const HOSTS_PARTITION: &str = "hosts";
/// Prefix of the keys of host rows; the host's address follows.
pub const HOST_PREFIX: &str = "host/";
/// Key of the row with the secret that the hosts share.
pub const SECRET_KEY: &str = "secret";
/// Key of the row with the seed hosts, from which starting hosts fetch a snapshot. The key sorts
/// right after [`SECRET_KEY`], so that one call reads both rows.
pub const SEED_HOSTS_KEY: &str = "secret-guides";
/// Key of the row with the quarantined requests. Hosts send a quarantined request to no server,
/// since several servers have crashed while running the request.
pub const QUARANTINE_KEY: &str = "quarantine";

/// Returns the key of the row with one key partition of a service's assigned ranges.
pub fn assignment_key(service: &str, part: KeyPartition) -> String {
    match part.number() {
        0 => format!("{ASSIGNMENT_PREFIX}{service}"),
        number => format!("{ASSIGNMENT_PREFIX}{service}{PARTITION_SEPARATOR}{number}"),
    }
}

/// Parses the key of an assignment row into service and key partition. Returns `None` if `key` is
/// not the key of an assignment row.
pub fn parse_assignment_key(key: &str) -> Option<(&str, KeyPartition)> {
    let name = key.strip_prefix(ASSIGNMENT_PREFIX)?;
    let Some((service, number)) = name.rsplit_once(PARTITION_SEPARATOR) else {
        return Some((name, KeyPartition::new(0)?));
    };
    Some((service, KeyPartition::new(number.parse().ok()?)?))
}

/// Row by which a host registers, so that other hosts find it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostRow {
    /// Incarnation of the process that runs on the host: a random number, different for each start.
    pub incarnation: u64,
    /// Availability zone of the host; empty in rows that lack the field.
    #[serde(default)]
    pub availability_zone: String,
    /// Fraction of a processor that the host may use; 1.0 is a whole processor.
    #[serde(default = "default_processor_share")]
    pub processor_share: f32,
}
