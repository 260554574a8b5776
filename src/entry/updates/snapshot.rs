//! What a host knows of servers, holdings and hosts, in one piece for a host that starts. Reading the tables costs each
//! host a call for some hundred rows; among a thousand hosts with ten thousand servers that is 20,000 calls and 2.5 GB
//! whenever all of them start.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use super::followed::FollowedTable;
use crate::entry::{
    keys::{Assignment, KeyPart},
    model::{ServerEntry, incarnation_id},
    owners::HeldRow,
};

/// Place of a text in a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TextIndex(u16);

/// Texts that many servers share, each once.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Texts(Vec<Arc<str>>);

impl Texts {
    fn get(&self, key: TextIndex) -> Option<Arc<str>> {
        self.0.get(usize::from(key.0)).cloned()
    }
}

#[derive(Default)]
struct TextWriter {
    texts: Texts,
    places: HashMap<Arc<str>, TextIndex>,
}

impl TextWriter {
    fn key(&mut self, text: &Arc<str>) -> TextIndex {
        *self.places.entry(text.clone()).or_insert_with(|| {
            self.texts.0.push(text.clone());
            TextIndex((self.texts.0.len() - 1) as u16)
        })
    }
}

/// A backend server.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SnapshotServer {
    name: Arc<str>,
    started_ms: u64,
    service: TextIndex,
    address: SocketAddr,
    availability_zone: TextIndex,
    slots: u32,
    leaving: bool,
    cold_ms: u64,
}

/// A host.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SnapshotHost {
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Process that runs there, if that is known.
    pub incarnation: Option<u64>,
    /// Short name of its availability zone.
    pub zone_tag: u32,
    /// Share of a processor that it has.
    pub processor_share: f32,
}

/// Row with a part of a service's holdings.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct SnapshotHoldings {
    service: Arc<str>,
    part: u8,
    version: u64,
    record: Vec<u8>,
}

/// How far a table is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableVersions {
    /// Version up to which all changes are in.
    pub up_to: u64,
    /// Version of the latest change.
    pub changed: u64,
}

/// What a host knows.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Snapshot {
    /// The servers' entries.
    pub servers_known: TableVersions,
    /// Version of the latest change by which a server was to get no new work.
    pub left: u64,
    /// The product's own rows.
    pub own_versions: TableVersions,
    /// Hosts, the sender included.
    pub hosts: Vec<SnapshotHost>,
    texts: Texts,
    servers: Vec<SnapshotServer>,
    holdings: Vec<SnapshotHoldings>,
}

impl Snapshot {
    /// Puts servers in.
    pub fn set_servers(&mut self, entries: impl Iterator<Item = ServerEntry>) {
        let mut texts = TextWriter::default();
        let servers = entries.map(|entry| SnapshotServer {
            service: texts.key(&entry.service),
            availability_zone: texts.key(&entry.availability_zone),
            name: entry.name,
            started_ms: entry.started_ms,
            address: entry.address,
            slots: entry.slots,
            leaving: entry.leaving,
            cold_ms: entry.cold_ms,
        });
        self.servers = servers.collect();
        self.texts = texts.texts;
    }

    /// The servers; one whose service or zone is missing is left out.
    pub fn servers(&self) -> impl Iterator<Item = ServerEntry> {
        self.servers.iter().filter_map(|server| {
            Some(ServerEntry {
                id: incarnation_id(&server.name, server.started_ms),
                name: server.name.clone(),
                started_ms: server.started_ms,
                service: self.texts.get(server.service)?,
                address: server.address,
                availability_zone: self.texts.get(server.availability_zone)?,
                slots: server.slots,
                leaving: server.leaving,
                cold_ms: server.cold_ms,
            })
        })
    }

    /// Puts a row with holdings in; one that cannot be encoded is left out.
    pub fn add_holdings(&mut self, service: &Arc<str>, part: KeyPart, row: &HeldRow) {
        match row.assignment.encode() {
            Ok(record) => self.holdings.push(SnapshotHoldings {
                service: service.clone(),
                part: part.number(),
                version: row.version,
                record,
            }),
            Err(error) => log::warn!("holdings of {service} are not handed on: {error}"),
        }
    }

    /// Rows with holdings, by service.
    pub fn holdings(&self) -> HashMap<Arc<str>, Vec<(KeyPart, HeldRow)>> {
        let mut rows: HashMap<Arc<str>, Vec<(KeyPart, HeldRow)>> = HashMap::new();
        for known in &self.holdings {
            let part = KeyPart::new(known.part);
            let assignment = Assignment::decode(&known.record).ok();
            let Some((part, assignment)) = part.zip(assignment) else {
                log::warn!(
                    "holdings of {} that were handed on cannot be read",
                    known.service
                );
                continue;
            };
            let row = HeldRow {
                assignment,
                version: known.version,
            };
            rows.entry(known.service.clone())
                .or_default()
                .push((part, row));
        }
        rows
    }

    /// How far a table is known.
    pub fn known(&self, followed: FollowedTable) -> TableVersions {
        match followed {
            FollowedTable::Servers => self.servers_known,
            FollowedTable::Own => self.own_versions,
            FollowedTable::Configuration => TableVersions::default(),
        }
    }
}
