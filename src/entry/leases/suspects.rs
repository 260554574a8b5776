//! Servers whose processes may have ended, with the evidence of the leader's term.

use std::{collections::HashMap, sync::Arc};

use crate::entry::{decide::ended::Evidence, server::Server};

/// Suspected servers by incarnation id.
#[derive(Debug, Default)]
pub(super) struct Suspects {
    pub(super) by_id: HashMap<Arc<str>, Suspect>,
    /// True while a call to the store is in progress that confirms the entries of the suspects.
    pub(super) is_confirming: bool,
}

/// Server whose process may have ended, or has ended.
#[derive(Debug)]
pub(super) struct Suspect {
    pub(super) server: Arc<Server>,
    /// Observation by which the server became a suspect, for the log.
    pub(super) suspected_by: &'static str,
    pub(super) evidence: Evidence,
    /// True while a task tries connections to the server.
    pub(super) is_tried: bool,
    /// Time at which the server was found to have ended; `None` before that.
    pub(super) ended_ms: Option<u64>,
    /// Time of the last attempt at an ended server whose entry is still present.
    pub(super) rechecked_ms: u64,
}

impl Suspects {
    /// Returns true if the process of a server has certainly ended.
    pub(super) fn has_ended(&self, id: &str) -> bool {
        let suspect = self.by_id.get(id);
        suspect.is_some_and(|suspect| suspect.ended_ms.is_some())
    }

    /// Returns true if a server has ended, or if its address refused the last connection attempt.
    pub(super) fn refuses_connections(&self, id: &str) -> bool {
        let suspect = self.by_id.get(id);
        suspect.is_some_and(|s| s.ended_ms.is_some() || s.evidence.refused() > 0)
    }

    /// Ends the suspicion against a server that has answered a command, unless it has ended: then a
    /// later process at the address has answered.
    pub(super) fn note_answer(&mut self, id: &str) {
        self.remove_open(id);
    }

    /// Forgets a suspect that is not known to have ended.
    pub(super) fn remove_open(&mut self, id: &str) {
        if !self.has_ended(id) {
            self.remove(id);
        }
    }

    /// Forgets a suspect.
    pub(super) fn remove(&mut self, id: &str) {
        self.by_id.remove(id);
    }

    /// Adds a server, unless it is a suspect already. `suspected_by` names the observation.
    pub(super) fn add(&mut self, server: &Arc<Server>, suspected_by: &'static str) {
        let suspect = || Suspect {
            server: server.clone(),
            suspected_by,
            evidence: Evidence::default(),
            is_tried: false,
            ended_ms: None,
            rechecked_ms: 0,
        };
        let id = server.entry.id.clone();
        self.by_id.entry(id).or_insert_with(suspect);
    }

    /// Returns the suspects that no task tries yet and whose evidence does not suffice, and marks
    /// them as tried.
    pub(super) fn take_untried(
        &mut self,
        is_sufficient: impl Fn(&Evidence) -> bool,
    ) -> Vec<Arc<Server>> {
        let mut untried = Vec::new();
        for suspect in self.by_id.values_mut() {
            let is_open = suspect.ended_ms.is_none() && !is_sufficient(&suspect.evidence);
            if is_open && !std::mem::replace(&mut suspect.is_tried, true) {
                untried.push(suspect.server.clone());
            }
        }
        untried
    }
}
