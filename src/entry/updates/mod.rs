//! What the store and the holder of the duty tell, as values: the tables that hosts follow, how fresh a
//! host's view of them is, and the changes that hosts tell each other. No sockets and no tasks; `peers`
//! carries these values and `watch`, `rows` and `relay` take them in.

pub mod announcement;
pub mod configuration_pieces;
pub mod evacuation;
pub mod followed;
pub mod freshness;
pub mod own_rows;
pub mod proof;
pub mod question;
pub mod server_changes;
pub mod snapshot;
