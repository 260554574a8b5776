//! Crash reports that a host sends to the other hosts. Each report is sent several times, because
//! datagrams may be lost.

use crate::entry::{
    decide::path_tally::SharedSuspect, digest::RequestDigest, peers::message::ENTRIES_MAX,
};

/// Number of times that a report is sent in each term of a leader, because datagrams may be lost.
const SEND_TIMES: u32 = 3;
/// Maximum number of reports that are kept for later leaders; the oldest are dropped.
const REPORTS_MAX: usize = 64;

/// Minimum time between two reports of servers that refused connections. When many servers crash
/// together, one report names all servers that this host has met within that time.
const REFUSING_EVERY_MS: u64 = 100;
/// Maximum number of refusing servers that are kept for further reports; the oldest are dropped.
/// One report must fit into one datagram.
const REFUSING_MAX: usize = ENTRIES_MAX;

/// Suspects: requests of this host that a server may have been running when it crashed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Suspects {
    /// Digests of the requests that include the caller.
    pub digests: Vec<RequestDigest>,
    /// Digests of the same requests that leave out the caller.
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

/// Report of a server crash that this host detected, with the digests of the requests that were in
/// flight at the server, and a count of how often the report was sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Tag of the server: a hash that names it in messages.
    pub server_tag: u32,
    /// Digests, including the caller, of this host's requests that were in flight at the server.
    pub digests: Vec<RequestDigest>,
    /// Digests of the same requests that leave out the caller.
    pub shared: Vec<SharedSuspect>,
    /// True if the report is sent to all hosts, false if it is sent only to the leader.
    pub to_all: bool,
    /// Term of the leader when the report was last sent; 0 before it is first sent.
    sent_term: u64,
    /// Number of times that the report was sent in the term `sent_term`, at most [`SEND_TIMES`].
    sent_count: u32,
}

/// Crash reports of this host, the oldest first.
#[derive(Debug, Default)]
pub struct Reports(Vec<Report>);

impl Reports {
    /// Adds a report that is still to be sent. Drops the oldest report if there would be more than
    /// [`REPORTS_MAX`].
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

    /// Returns the reports that are due to be sent, and counts them as sent; `term` is the term of
    /// the current leader. Each new leader gets all reports again, because the leader may have
    /// started after the crashes. In a later term the reports go only to the leader, because the
    /// other hosts received them in an earlier term.
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

    /// Removes a request that has turned out to be harmless from all reports.
    pub fn clear(&mut self, digest: RequestDigest) {
        for report in &mut self.0 {
            report.digests.retain(|suspect| *suspect != digest);
            report.shared.retain(|suspect| suspect.digest != digest);
        }
    }
}

/// Servers that refused connections of this host while no request was in flight there, the oldest
/// first, each with the term and the number of its reports to the leader.
#[derive(Debug, Default)]
pub struct RefusingServers {
    servers: Vec<RefusingServer>,
    /// Time of the last report; 0 if there was none.
    reported_ms: u64,
}

#[derive(Clone, Copy, Debug)]
struct RefusingServer {
    server_tag: u32,
    sent_term: u64,
    sent_count: u32,
}

impl RefusingServers {
    /// Adds a server that is still to be reported. Drops the oldest if there would be more than
    /// [`REFUSING_MAX`].
    pub fn add(&mut self, server_tag: u32) {
        self.servers.retain(|known| known.server_tag != server_tag);
        if self.servers.len() >= REFUSING_MAX {
            self.servers.remove(0);
        }
        self.servers.push(RefusingServer {
            server_tag,
            sent_term: 0,
            sent_count: 0,
        });
    }

    /// Returns the tags of the servers that are due to be reported to the leader of `term`, and
    /// counts them as reported. Each server is reported [`SEND_TIMES`] times to each new leader.
    /// Returns no tags if the last report is more recent than [`REFUSING_EVERY_MS`].
    pub fn due(&mut self, term: u64, now_ms: u64) -> Vec<u32> {
        let mut due = Vec::new();
        if now_ms < self.reported_ms + REFUSING_EVERY_MS {
            return due;
        }
        for server in &mut self.servers {
            if server.sent_term != term {
                server.sent_term = term;
                server.sent_count = 0;
            }
            if server.sent_count < SEND_TIMES {
                server.sent_count += 1;
                due.push(server.server_tag);
            }
        }
        if !due.is_empty() {
            self.reported_ms = now_ms;
        }
        due
    }
}
