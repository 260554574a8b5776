//! The replicated state: the result of applying the change log in the platform's table service.
//!
//! Every entry host applies the same changes in the same order, so all hosts at one revision have
//! the same state. A host keeps the state in memory only.

mod apply;
mod change;
mod entry;
mod error;
mod log;
mod snapshot;

pub use self::{
    change::{Change, CompletedMove, LogEntry, SlotMove},
    entry::{
        Document, HostEntry, HostState, RecentOperation, Registry, ServerEntry, ServerState,
        ServiceEntry, SlotEntry, State,
    },
    error::{Error, Result},
    log::{AppendOutcome, ChangeLog, LogError, Proposal},
    snapshot::{Snapshot, SnapshotPointer},
};
