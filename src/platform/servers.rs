//! Decodes the entries that backend servers write to the platform's store.

use super::{
    error::{Error, Result},
    wire::{WireServer, WireServerState},
};
use crate::entry::model::{ServerEntry, incarnation_id};

/// Store table of the server entries; the row key is the server's name.
pub const TABLE: &str = "servers";

/// Maximum number of slots of a server. Sums and products of greater numbers could overflow.
const SLOTS_MAX: u32 = 1_000_000;
/// Longest cold time of a server, in milliseconds: a day.
const COLD_MS_MAX: u64 = 24 * 60 * 60 * 1_000;

/// Decodes the entry of the server `name`. Fails if a required field is missing or invalid, or has a
/// value that no server can have, because programs other than servers write entries as well. A missing
/// start time becomes 0 and a missing cold time means that the server is warm.
pub fn decode(name: &str, value: &[u8]) -> Result<ServerEntry> {
    let invalid = |message: String| Error::Document {
        what: format!("entry of server {name}"),
        message,
    };
    let wire: WireServer =
        serde_json::from_slice(value).map_err(|error| invalid(error.to_string()))?;
    check_ranges(&wire).map_err(invalid)?;
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

/// Returns the reason if a field has a value that no server can have.
fn check_ranges(wire: &WireServer) -> std::result::Result<(), String> {
    let slots = wire.info.slots;
    if slots > SLOTS_MAX {
        return Err(format!("{slots} slots, at most {SLOTS_MAX} are possible"));
    }
    let cold_ms = wire.status.warmup_left.unwrap_or(0);
    if cold_ms > COLD_MS_MAX {
        return Err(format!("cold for {cold_ms} ms, longer than a day"));
    }
    if wire.addr.port() == 0 {
        return Err("port 0".to_owned());
    }
    Ok(())
}
