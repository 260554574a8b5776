//! Changes of assigned ranges that the leader records in the store.

use std::sync::Arc;

use crate::entry::keys::{AssignedRange, Assignment, KeyRange};

/// Change of one service's assigned ranges, which the leader records under the condition that it is
/// still the leader.
#[derive(Clone, Debug)]
pub enum Change {
    /// Assigns all keys of the service for the first time: key ranges and their servers.
    Distribute(Vec<(KeyRange, Arc<str>)>),
    /// Assigns key ranges to other servers, each under a new fence.
    Assign(Vec<Reassignment>),
    /// Gives an assigned range a fence that is `step` above the service's highest one; the server
    /// stays.
    RaiseFence {
        /// Assigned range as it is recorded now; if it has changed, nothing happens.
        assigned_range: AssignedRange,
        /// Increment above the service's highest fence.
        step: u64,
    },
    /// Marks moves as completed: clears the former server of the assigned ranges that have these
    /// fences.
    CompleteMoves(Vec<u64>),
}

/// Assignment of a key range to another server.
#[derive(Clone, Debug)]
pub struct Reassignment {
    /// Keys that change their server; both ends are included.
    pub range: KeyRange,
    /// New server. It is granted the keys only once `from` no longer holds them.
    pub server: Arc<str>,
    /// Server that holds the keys now; `None` if no server does.
    pub from: Option<Arc<str>>,
}

impl Change {
    /// Applies the change and returns the assigned ranges that it created or replaced. Returns none
    /// of them for `Distribute` and `CompleteMoves`.
    pub(super) fn apply(&self, assignment: &mut Assignment) -> Vec<AssignedRange> {
        match self {
            Self::Distribute(ranges) => {
                for (range, server) in ranges {
                    assign(assignment, *range, server, None);
                }
                Vec::new()
            }
            Self::CompleteMoves(fences) => {
                assignment.complete_moves(fences);
                Vec::new()
            }
            Self::Assign(all) => all
                .iter()
                .map(|one| assign(assignment, one.range, &one.server, one.from.clone()))
                .collect(),
            Self::RaiseFence {
                assigned_range,
                step,
            } => {
                if !assignment.assigned_ranges.contains(assigned_range) {
                    return Vec::new();
                }
                let raised = AssignedRange {
                    fence: assignment.next_fence(assignment.fence + step),
                    ..assigned_range.clone()
                };
                assignment.put(raised.clone());
                vec![raised]
            }
        }
    }
}

fn assign(
    assignment: &mut Assignment,
    range: KeyRange,
    server: &Arc<str>,
    from: Option<Arc<str>>,
) -> AssignedRange {
    let assigned_range = AssignedRange {
        range,
        server: server.clone(),
        fence: assignment.next_fence(1),
        from,
    };
    assignment.put(assigned_range.clone());
    assigned_range
}
