//! Assigned ranges of a service as the leader has recorded them in the store, in one row for each key
//! partition.

use std::{collections::BTreeMap, sync::Arc};

use super::keys::{Assignment, KeyPartition};

/// Recorded assigned ranges of one service, as this host knows them from the rows of the store.
#[derive(Clone, Debug, Default)]
pub struct RecordedAssignment {
    /// Assigned ranges of all rows, merged. Where the assigned ranges of two rows overlap, the
    /// range with the higher fence counts.
    pub assignment: Arc<Assignment>,
    rows: BTreeMap<KeyPartition, AssignmentRow>,
}

/// Row of the store with the assigned ranges of one key partition of a service.
#[derive(Clone, Debug)]
pub struct AssignmentRow {
    /// Assigned ranges whose first key lies in the key partition of the row.
    pub assignment: Assignment,
    /// Version that the store gave the row with its last write.
    pub version: u64,
}

impl RecordedAssignment {
    /// Returns all rows that this host knows, each with its key partition.
    pub fn rows(&self) -> impl Iterator<Item = (KeyPartition, &AssignmentRow)> {
        self.rows.iter().map(|(part, row)| (*part, row))
    }

    /// Returns the version of the row of a key partition; 0 if this host knows no such row.
    pub fn version(&self, part: KeyPartition) -> u64 {
        self.rows.get(&part).map_or(0, |row| row.version)
    }

    /// Returns the key partitions whose known rows differ from the assigned ranges in `assignment`,
    /// so that their rows must be written to record `assignment`.
    pub fn changed_partitions(&self, assignment: &Assignment) -> Vec<KeyPartition> {
        let differs = |part: &KeyPartition| {
            let of_row = self
                .rows
                .get(part)
                .map_or(&[][..], |row| &row.assignment.assigned_ranges);
            assignment.part(*part).assigned_ranges != *of_row
        };
        KeyPartition::all().filter(differs).collect()
    }

    /// Adds rows, and replaces known rows by later versions of them. Returns false if no row was
    /// added or replaced.
    pub(super) fn merge(&mut self, rows: Vec<(KeyPartition, AssignmentRow)>) -> bool {
        let mut is_new = false;
        for (part, row) in rows {
            let known = self.rows.get(&part);
            if known.is_none_or(|known| known.version < row.version) {
                self.rows.insert(part, row);
                is_new = true;
            }
        }
        if is_new {
            let rows = self.rows.values().map(|row| &row.assignment);
            self.assignment = Arc::new(Assignment::join(rows));
        }
        is_new
    }
}
