//! Decodes the entries that backend servers write about themselves.

use super::{
    error::{Error, Result},
    wire::WireServer,
};
use crate::entry::model::ServerEntry;

/// Table of the entries; the key is the server's incarnation.
pub const TABLE: &str = "servers";

/// Decodes an entry.
pub fn decode(id: &str, value: &[u8]) -> Result<ServerEntry> {
    let wire: WireServer = serde_json::from_slice(value).map_err(|error| Error::Document {
        what: format!("entry of server {id}"),
        message: error.to_string(),
    })?;
    Ok(ServerEntry {
        id: id.into(),
        service: wire.info.service.into(),
        address: wire.addr,
        availability_zone: wire.info.zone.into(),
        slots: wire.info.slots.max(1),
        leaving: wire.status.state == "draining",
        cold_ms: wire.status.warmup_left.unwrap_or(0),
    })
}
