//! Decodes the entries that backend servers write to the platform's store.

use super::{
    error::{Error, Result},
    wire::{WireServer, WireServerState},
};
use crate::entry::model::{ServerEntry, incarnation_id};

/// Store table of the server entries; the row key is the server's name.
pub const TABLE: &str = "servers";

/// Decodes the entry of the server `name`. Fails if a required field is missing or invalid; a
/// missing start time becomes 0 and a missing cold time means that the server is warm.
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
