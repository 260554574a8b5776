//! Changes of holdings that the duty's holder records.

use std::sync::Arc;

use crate::entry::keys::{Assignment, Holding, KeyRange};

/// A change of holdings.
#[derive(Clone, Debug)]
pub enum Change {
    /// All keys are distributed for the first time.
    Distribute(Vec<(KeyRange, Arc<str>)>),
    /// Keys go to other servers.
    Assign(Vec<Reassignment>),
    /// A server keeps its keys under a fence that is higher by this.
    RaiseFence {
        /// What it holds now.
        holding: Holding,
        /// Distance.
        step: u64,
    },
    /// The former servers of holdings, named by their fences, hold nothing any more.
    CompleteMoves(Vec<u64>),
}

/// Keys that go to another server.
#[derive(Clone, Debug)]
pub struct Reassignment {
    /// Keys.
    pub range: KeyRange,
    /// Server that gets them, as soon as `from` holds them no more.
    pub server: Arc<str>,
    /// Server that holds them now.
    pub from: Option<Arc<str>>,
}

impl Change {
    /// Makes the change; the holdings that came of it, unless all keys were distributed.
    pub(super) fn apply(&self, assignment: &mut Assignment) -> Vec<Holding> {
        match self {
            Self::Distribute(ranges) => {
                for (range, server) in ranges {
                    assign(assignment, *range, server, None);
                }
                Vec::new()
            }
            Self::CompleteMoves(fences) => {
                assignment.settle(fences);
                Vec::new()
            }
            Self::Assign(all) => all
                .iter()
                .map(|one| assign(assignment, one.range, &one.server, one.from.clone()))
                .collect(),
            Self::RaiseFence { holding, step } => {
                if !assignment.holdings.contains(holding) {
                    return Vec::new();
                }
                let raised = Holding {
                    fence: assignment.next_fence(assignment.fence + step),
                    ..holding.clone()
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
) -> Holding {
    let holding = Holding {
        range,
        server: server.clone(),
        fence: assignment.next_fence(1),
        from,
    };
    assignment.put(holding.clone());
    holding
}
