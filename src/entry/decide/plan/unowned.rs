//! Assignment of keys without a usable server: their server has ended or is leaving, or they were
//! never assigned.

use super::Plan;
use crate::entry::keys::KeyRange;

impl Plan<'_> {
    /// Plans the assignment of each range that is assigned to no server of [`Inputs::servers`] to
    /// the least used servers, in pieces whose load is at most half the mean load of a server.
    pub(super) fn assign_unowned_keys(&mut self) {
        let mut unowned: Vec<KeyRange> = self.inputs.assignment.gaps();
        for assigned_range in &self.assigned_ranges {
            if !self.used.contains_key(&assigned_range.server) {
                unowned.push(assigned_range.range);
            }
        }
        let servers = self.inputs.servers.len() as f64;
        let piece_load = self.inputs.loads.of(KeyRange::ALL) / servers / 2.0;
        for range in unowned {
            if self.is_moving(range) {
                continue;
            }
            for piece in self.pieces(range, piece_load) {
                let to = self.least_used();
                self.push(piece, to, "no server");
            }
        }
    }

    /// Splits a range into contiguous pieces whose load is at most `load_max`, except for single
    /// keys with a larger load, which cannot be split.
    pub(super) fn pieces(&self, range: KeyRange, load_max: f64) -> Vec<KeyRange> {
        let mut pieces = Vec::new();
        let mut first = range.first;
        let mut sum = 0.0;
        for key in range.first..=range.last {
            let load = self.inputs.loads.key(key);
            if sum > 0.0 && sum + load > load_max && key > first {
                pieces.push(KeyRange {
                    first,
                    last: key - 1,
                });
                first = key;
                sum = 0.0;
            }
            sum += load;
        }
        pieces.push(KeyRange {
            first,
            last: range.last,
        });
        pieces
    }
}
