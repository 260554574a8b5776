//! Availability zones that operators evacuate: their servers get no new work until the zone is taken
//! back. The holder of the duty tells the whole state in each heartbeat, so that a lost datagram costs
//! one interval.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Zones that are evacuated at a version of the operators' table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Version at which this holds; 0 if the table was not read yet.
    pub version: u64,
    /// Zones, in the order of their names.
    pub zones: Vec<Arc<str>>,
}

impl Evacuations {
    /// Notes that a zone is evacuated, or taken back, unless something later is known.
    pub fn change(&mut self, version: u64, zone: &str, evacuated: bool) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.zones.retain(|known| **known != *zone);
        if evacuated {
            self.zones.push(zone.into());
            self.zones.sort_unstable();
        }
    }

    /// True if a zone is evacuated.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.iter().any(|known| **known == *zone)
    }
}
