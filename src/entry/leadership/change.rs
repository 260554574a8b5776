//! Changes of assigned ranges (key ranges, each assigned to one server under one fence) that the
//! leader records in the store.

use std::sync::Arc;

use crate::entry::keys::{AssignedRange, Assignment, KeyRange};

/// Change of one service's assigned ranges. The store accepts the change only from the host that
/// the leadership row names as the leader.
#[derive(Clone, Debug)]
pub enum Change {
    /// Assigns all keys of a service that has no assigned ranges yet: each element is a key range
    /// and the incarnation id of the server that gets the range.
    Distribute(Vec<(KeyRange, Arc<str>)>),
    /// Moves key ranges to other servers. Each range gets a new fence, above all fences that the
    /// service has used.
    Assign(Vec<Reassignment>),
    /// Raises the fence of an assigned range above the service's highest fence. The server that
    /// holds the range stays the same.
    RaiseFence {
        /// Assigned range whose fence is raised, as the leader knows it. If the recorded assigned
        /// range differs, the fence is not raised.
        assigned_range: AssignedRange,
        /// Number of fences that are skipped above the service's highest fence, because an earlier
        /// leader may have used them without recording them.
        step: u64,
    },
    /// Marks moves of keys as completed: clears the former server of the assigned ranges that have
    /// these fences.
    CompleteMoves(Vec<u64>),
}

/// Assignment of a key range to another server.
#[derive(Clone, Debug)]
pub struct Reassignment {
    /// Keys that are assigned to another server; both ends of the range are included.
    pub range: KeyRange,
    /// Incarnation id of the new server. The leader grants the keys to the new server only once
    /// `from` no longer holds them.
    pub server: Arc<str>,
    /// Incarnation id of the server that holds the keys before the move; `None` if no server holds
    /// them.
    pub from: Option<Arc<str>>,
}

impl Change {
    /// Applies the change to `assignment`. Returns the assigned ranges that `Assign` or
    /// `RaiseFence` put into the assignment, and an empty list for `Distribute` and
    /// `CompleteMoves`.
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
