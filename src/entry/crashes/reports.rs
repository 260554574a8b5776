//! Ends of servers that the other hosts must hear of.

use crate::entry::{decide::path_tally::SharedSuspect, digest::RequestDigest};

/// Times that an end is told: datagrams may be lost.
const SEND_TIMES: u32 = 3;
/// Most ends that a later holder is told of, the latest ones.
const REPORTS_MAX: usize = 64;

/// Requests that were at a server when it ended.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Suspects {
    /// By caller.
    pub digests: Vec<RequestDigest>,
    /// Without their callers.
    pub shared: Vec<SharedSuspect>,
}

impl From<Vec<RequestDigest>> for Suspects {
    fn from(digests: Vec<RequestDigest>) -> Self {
        Self {
            digests,
            shared: Vec::new(),
        }
    }
}

/// End of a server as this host saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Short name of the server.
    pub server_tag: u32,
    /// Requests of this host that were there.
    pub digests: Vec<RequestDigest>,
    /// The same without their callers.
    pub shared: Vec<SharedSuspect>,
    /// True if all hosts are told, not just the holder of the duty.
    pub to_all: bool,
    /// Term of the holder that was told, and how often.
    sent_term: u64,
    sent_count: u32,
}

/// Ends of servers as this host saw them.
#[derive(Debug, Default)]
pub struct Reports(Vec<Report>);

impl Reports {
    /// Adds an end.
    pub fn add(&mut self, server_tag: u32, suspects: impl Into<Suspects>, to_all: bool) {
        let Suspects { digests, shared } = suspects.into();
        if self.0.len() >= REPORTS_MAX {
            self.0.remove(0);
        }
        self.0.push(Report {
            server_tag,
            digests,
            shared,
            to_all,
            sent_term: 0,
            sent_count: 0,
        });
    }

    /// What is to be told now, while the holder of a term is heard. A later holder is told all again: it may
    /// have started after the end, and the other hosts have heard it.
    pub fn due(&mut self, term: u64) -> Vec<Report> {
        let mut due = Vec::new();
        for report in &mut self.0 {
            if report.sent_term != term {
                report.to_all &= report.sent_term == 0;
                report.sent_term = term;
                report.sent_count = 0;
            }
            if report.sent_count < SEND_TIMES {
                report.sent_count += 1;
                due.push(report.clone());
            }
        }
        due
    }

    /// Leaves a request out that has turned out to be harmless.
    pub fn clear(&mut self, digest: RequestDigest) {
        for report in &mut self.0 {
            report.digests.retain(|suspect| *suspect != digest);
            report.shared.retain(|suspect| suspect.digest != digest);
        }
    }
}
