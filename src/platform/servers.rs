//! Decodes the entries that backend servers write about themselves.

use super::{
    error::{Error, Result},
    wire::{WireServer, WireServerState},
};
use crate::entry::model::{ServerEntry, incarnation_id};

/// Table of the entries; the key is the server's name.
pub const TABLE: &str = "servers";

/// Decodes an entry.
pub fn decode(name: &str, value: &[u8]) -> Result<ServerEntry> {
    let wire: WireServer = serde_json::from_slice(value).map_err(|error| Error::Document {
        what: format!("entry of server {name}"),
        message: error.to_string(),
    })?;
    let started_ms = wire.born.unwrap_or(0);
    Ok(ServerEntry {
        id: incarnation_id(name, started_ms),
        name: name.into(),
        started_ms,
        service: wire.info.service.into(),
        address: wire.addr,
        availability_zone: wire.info.zone.into(),
        slots: wire.info.slots.max(1),
        leaving: wire.status.state == WireServerState::Draining,
        cold_ms: wire.status.warmup_left.unwrap_or(0),
    })
}
