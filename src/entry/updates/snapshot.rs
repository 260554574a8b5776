//! Snapshot of a host's view of servers, assigned ranges and hosts, sent to a joining host (a host
//! that starts and is not registered yet). A host that reads the tables from the store instead
//! makes one call for every few hundred rows. With a thousand hosts and ten thousand servers, that
//! would be 20,000 calls and 2.5 GB whenever all hosts start.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use super::followed::FollowedTable;
use crate::entry::{
    keys::{Assignment, KeyPartition},
    model::{ServerEntry, incarnation_id},
    recorded_assignment::AssignmentRow,
};

/// Index of a string in the string table of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StringIndex(u16);

/// String table: strings that many servers share, each stored once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StringTable(Vec<Arc<str>>);

impl StringTable {
    fn get(&self, key: StringIndex) -> Option<Arc<str>> {
        self.0.get(usize::from(key.0)).cloned()
    }
}

#[derive(Default)]
struct StringTableBuilder {
    strings: StringTable,
    places: HashMap<Arc<str>, StringIndex>,
}

impl StringTableBuilder {
    fn key(&mut self, text: &Arc<str>) -> StringIndex {
        *self.places.entry(text.clone()).or_insert_with(|| {
            self.strings.0.push(text.clone());
            StringIndex((self.strings.0.len() - 1) as u16)
        })
    }
}

/// Entry of a server in a snapshot; service and zone are indices into the string table.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SnapshotServer {
    name: Arc<str>,
    started_ms: u64,
    service: StringIndex,
    address: SocketAddr,
    availability_zone: StringIndex,
    slots: u32,
    leaving: bool,
    cold_ms: u64,
}

/// Host in a snapshot, with the properties that the sender of the snapshot knows.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotHost {
    /// Address at which the host receives datagrams (UDP) and queries (TCP) from other hosts.
    pub address: SocketAddr,
    /// Incarnation of the process on the host; `None` if it is not known.
    pub incarnation: Option<u64>,
    /// Tag of the host's availability zone: a hash of its name, the same for all hosts of the zone.
    pub zone_tag: u32,
    /// Fraction of a processor that the host may use; 1.0 is a whole processor.
    pub processor_share: f32,
}

/// Row with one key partition of a service's assigned ranges, in the encoding of the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SnapshotAssignmentRow {
    service: Arc<str>,
    part: u8,
    version: u64,
    record: Vec<u8>,
}

/// Progress of a host in following one table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableVersions {
    /// Version up to which the host has applied all changes of the table.
    pub up_to: u64,
    /// Version of the latest change of the table that the host has seen; 0 before the first change.
    pub changed: u64,
}

/// A host's view of servers, assigned ranges and hosts. If the servers are left out,
/// `servers_versions` is 0.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// Progress of the sender in following the table of servers' entries; 0 if servers are left
    /// out.
    pub servers_versions: TableVersions,
    /// Version of the latest change of a server's entry that ends new work for the server.
    pub leave_version: u64,
    /// Progress of the sender in following the entry hosts' own rows (assigned ranges and hosts).
    pub own_versions: TableVersions,
    /// Hosts that the sender knows, itself included.
    pub hosts: Vec<SnapshotHost>,
    strings: StringTable,
    servers: Vec<SnapshotServer>,
    #[serde(rename = "holdings")]
    assignment_rows: Vec<SnapshotAssignmentRow>,
}

impl Snapshot {
    /// Stores the servers' entries in the snapshot.
    pub fn set_servers(&mut self, entries: impl Iterator<Item = ServerEntry>) {
        let mut strings = StringTableBuilder::default();
        let servers = entries.map(|entry| SnapshotServer {
            service: strings.key(&entry.service),
            availability_zone: strings.key(&entry.availability_zone),
            name: entry.name,
            started_ms: entry.started_ms,
            address: entry.address,
            slots: entry.slots,
            leaving: entry.leaving,
            cold_ms: entry.cold_ms,
        });
        self.servers = servers.collect();
        self.strings = strings.strings;
    }

    /// Returns the servers' entries. An entry whose service or zone is missing from the string
    /// table is skipped.
    pub fn servers(&self) -> impl Iterator<Item = ServerEntry> {
        self.servers.iter().filter_map(|server| {
            Some(ServerEntry {
                id: incarnation_id(&server.name, server.started_ms),
                name: server.name.clone(),
                started_ms: server.started_ms,
                service: self.strings.get(server.service)?,
                address: server.address,
                availability_zone: self.strings.get(server.availability_zone)?,
                slots: server.slots,
                leaving: server.leaving,
                cold_ms: server.cold_ms,
            })
        })
    }

    /// Adds a row of assigned ranges. A row that cannot be encoded is skipped with a warning.
    pub fn add_assignment_row(
        &mut self,
        service: &Arc<str>,
        part: KeyPartition,
        row: &AssignmentRow,
    ) {
        match row.assignment.encode() {
            Ok(record) => self.assignment_rows.push(SnapshotAssignmentRow {
                service: service.clone(),
                part: part.number(),
                version: row.version,
                record,
            }),
            Err(error) => {
                log::warn!("cannot encode assigned ranges of {service} for a snapshot: {error}")
            }
        }
    }

    /// Returns the rows of assigned ranges by service. Rows that cannot be decoded are skipped with
    /// a warning.
    pub fn assignment_rows(&self) -> HashMap<Arc<str>, Vec<(KeyPartition, AssignmentRow)>> {
        let mut rows: HashMap<Arc<str>, Vec<(KeyPartition, AssignmentRow)>> = HashMap::new();
        for known in &self.assignment_rows {
            let part = KeyPartition::new(known.part);
            let assignment = Assignment::decode(&known.record).ok();
            let Some((part, assignment)) = part.zip(assignment) else {
                log::warn!(
                    "cannot decode assigned ranges of {} in a received snapshot",
                    known.service
                );
                continue;
            };
            let row = AssignmentRow {
                assignment,
                version: known.version,
            };
            rows.entry(known.service.clone())
                .or_default()
                .push((part, row));
        }
        rows
    }

    /// Returns the sender's progress in following a table; 0 for the configuration, which snapshots
    /// do not contain.
    pub fn known(&self, followed: FollowedTable) -> TableVersions {
        match followed {
            FollowedTable::Servers => self.servers_versions,
            FollowedTable::Own => self.own_versions,
            FollowedTable::Configuration => TableVersions::default(),
        }
    }
}
