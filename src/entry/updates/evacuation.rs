//! Availability zones evacuated by operators. The servers of an evacuated zone get no new work
//! until the zone is restored. Each heartbeat from the leader contains the complete list of
//! evacuated zones, so a lost datagram delays a change by one heartbeat interval only.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// List of evacuated zones at one version of the operators' table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evacuations {
    /// Version of the operators' table that the list belongs to; 0 if the table was not read yet.
    pub version: u64,
    /// Names of the evacuated zones, sorted; empty if no zone is evacuated.
    pub zones: Vec<Arc<str>>,
}

impl Evacuations {
    /// Records that a zone was evacuated or restored, unless the list already has the same or a
    /// later version.
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

    /// Returns true if the zone of this name is evacuated, so that its servers get no new work.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones.iter().any(|known| **known == *zone)
    }
}
