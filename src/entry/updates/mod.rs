//! Values that hosts read from the store or send each other in place of such reads: followed
//! tables, the freshness of a host's view of them, and changes of their rows. This module opens no
//! sockets and starts no tasks: `peers` transports the values, and `watch`, `rows` and `broadcast`
//! apply them.

pub mod announcement;
pub mod assembly;
pub mod changes_pieces;
pub mod configuration_pieces;
pub mod confirmation;
pub mod evacuation;
pub mod followed;
pub mod freshness;
pub mod lag;
pub mod own_rows;
pub mod query;
pub mod report;
pub mod row_source;
pub mod server_changes;
pub mod snapshot;
pub mod unseen_removals;
pub mod versions;
