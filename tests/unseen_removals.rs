//! Checks that no host moves on past a removal of a server's entry that it has not applied, however
//! hosts learn of changes: from the store, from reports on the store, from snapshots, and from changes
//! that other hosts send. The hosts are models without a network, around the code that decides about
//! versions.

use std::collections::BTreeMap;

use ashroad::{
    clock,
    entry::{
        bounds::Bounds,
        limits::Timings,
        model::{ServerEntry, incarnation_id},
        updates::{
            followed::FollowedTable,
            freshness::Freshness,
            report::StoreStateReport,
            server_changes::{RecentChanges, Selection, ServerChange, ServerChanges, ServerUpdate},
        },
    },
};
use quickcheck::{Arbitrary, Gen, quickcheck};

const SERVERS: FollowedTable = FollowedTable::Servers;
const HOSTS: u8 = 4;
const NAMES: u8 = 6;

/// Step of a scenario. Hosts and entries are numbered from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// A server writes its entry.
    Write(u8),
    /// A server's entry is removed.
    Remove(u8),
    /// A host reads the changes since its version from the store.
    Follow(u8),
    /// A host reads the whole table from the store.
    ReadWhole(u8),
    /// The process of a host starts again and knows nothing.
    Restart(u8),
    /// A host sends a report on the store to another host, as the leader does.
    Report { from: u8, to: u8 },
    /// A host responds to the query of another host for the state of the store, as a relay does.
    Relay { from: u8, to: u8 },
    /// A host takes over the snapshot of another host.
    Join { from: u8, to: u8 },
    /// A host reads the whole table, since the store has dropped its history, and sends another host
    /// the difference from the table as it knew it, as the leader does.
    SendDifference { from: u8, to: u8 },
    /// A host fetches the changes that it has missed from another host.
    Fetch { from: u8, to: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let host = u8::arbitrary(generator) % HOSTS;
        let to = (host + 1 + u8::arbitrary(generator) % (HOSTS - 1)) % HOSTS;
        let name = u8::arbitrary(generator) % NAMES;
        match u8::arbitrary(generator) % 16 {
            0 | 1 => Self::Write(name),
            2 | 3 => Self::Remove(name),
            4 => Self::Follow(host),
            5 => Self::ReadWhole(host),
            6 => Self::Restart(host),
            7 | 8 => Self::Report { from: host, to },
            9 | 10 => Self::Relay { from: host, to },
            11 | 12 => Self::SendDifference { from: host, to },
            13 | 14 => Self::Fetch { from: host, to },
            _ => Self::Join { from: host, to },
        }
    }
}

/// Entries of servers by number, with the version of each row.
type Entries = BTreeMap<u8, u64>;

fn name_of(number: u8) -> String {
    format!("{number}")
}

fn number_of(name: &str) -> u8 {
    name.parse().expect("the number of an entry")
}

fn written(number: u8, version: u64) -> ServerChange {
    let name = name_of(number);
    let entry = ServerEntry {
        id: incarnation_id(&name, version),
        name: name.into(),
        started_ms: version,
        service: "service".into(),
        address: "10.0.0.1:7000".parse().expect("an address"),
        availability_zone: "zone".into(),
        slots: 4,
        leaving: false,
        cold_ms: 0,
    };
    ServerChange {
        version,
        update: ServerUpdate::Entry(entry),
    }
}

fn removed(number: u8, version: u64) -> ServerChange {
    ServerChange {
        version,
        update: ServerUpdate::Removed(name_of(number).into()),
    }
}

#[derive(Debug)]
struct ModelHost {
    freshness: Freshness,
    entries: Entries,
    recent: RecentChanges,
}

impl ModelHost {
    fn new() -> Self {
        let bounds: Bounds = serde_saphyr::from_str(
            "{stop_grace: 10s, lease_max: 4s, retry_window: 10s, \
                                     retry_ratio: 0.2, retry_allowance: 60}",
        )
        .expect("bounds");
        Self {
            freshness: Freshness::new(&Timings::new(&bounds)),
            entries: Entries::new(),
            recent: RecentChanges::default(),
        }
    }

    fn applied(&self) -> u64 {
        self.freshness.versions.applied(SERVERS)
    }

    fn has_called_store(&self) {
        drop(self.freshness.follow(SERVERS));
        drop(self.freshness.follow(FollowedTable::Configuration));
    }

    fn receive(&self, report: StoreStateReport) {
        let own_entries = self.entries.len() as u32;
        let checked = self
            .freshness
            .versions
            .check_unseen_removals(report, own_entries);
        self.freshness.note_announced(checked.report);
    }

    /// Applies changes from the store or from another host.
    fn apply(&mut self, range: ServerChanges) {
        let applied = self.applied();
        let ServerChanges {
            selection, up_to, ..
        } = range;
        let Some(changes) = range.new_after(applied) else {
            return;
        };
        for change in &changes {
            match &change.update {
                ServerUpdate::Entry(entry) => {
                    self.entries.insert(number_of(&entry.name), change.version);
                }
                ServerUpdate::Removed(name) | ServerUpdate::Unreadable(name) => {
                    self.entries.remove(&number_of(name));
                }
            }
        }
        let new = ServerChanges {
            selection,
            after: applied,
            up_to,
            changes,
        };
        self.recent.note(&new);
        self.freshness.versions.note_server_changes(&new);
    }

    /// Returns the changes that lead from the entries of this host to `whole`, the table at `version`.
    fn difference(&self, whole: &Entries, version: u64) -> ServerChanges {
        let applied = self.applied();
        let newer = whole.iter().filter(|(_, changed)| **changed > applied);
        let newer = newer.map(|(name, changed)| written(*name, *changed));
        let gone = self.entries.keys().filter(|name| !whole.contains_key(name));
        let gone = gone.map(|name| removed(*name, version));
        let mut changes: Vec<ServerChange> = newer.chain(gone).collect();
        changes.sort_by_key(|change| change.version);
        ServerChanges {
            selection: Selection::Difference,
            after: applied,
            up_to: version,
            changes,
        }
    }

    /// Returns true if the host will fetch changes that it has missed.
    fn is_behind(&self) -> bool {
        self.freshness.is_behind(SERVERS, self.applied())
    }
}

/// Store with the table of servers' entries, and the hosts that follow it.
#[derive(Debug)]
struct Model {
    /// Entries after each version, from version 0.
    versions: Vec<Entries>,
    hosts: Vec<ModelHost>,
}

impl Model {
    /// Creates a store with some entries, which no host has read.
    fn new() -> Self {
        let mut model = Self {
            versions: vec![Entries::new()],
            hosts: (0..HOSTS).map(|_| ModelHost::new()).collect(),
        };
        for name in 0..NAMES {
            model.step(Step::Write(name));
        }
        model
    }

    fn version(&self) -> u64 {
        self.versions.len() as u64 - 1
    }

    fn host(&mut self, number: u8) -> &mut ModelHost {
        &mut self.hosts[usize::from(number)]
    }

    fn change(&mut self, change: impl Fn(&mut Entries, u64)) {
        let mut entries = self.versions.last().expect("a version").clone();
        change(&mut entries, self.versions.len() as u64);
        self.versions.push(entries);
    }

    fn step(&mut self, step: Step) {
        let now_ms = clock::now_ms();
        match step {
            Step::Write(name) => self.change(|entries, version| {
                entries.insert(name, version);
            }),
            Step::Remove(name) => self.change(|entries, _| {
                entries.remove(&name);
            }),
            Step::Follow(number) => self.follow(number),
            Step::ReadWhole(number) => {
                let version = self.version();
                let entries = self.versions.last().expect("a version").clone();
                self.take_over(number, version, entries);
                self.host(number).has_called_store();
            }
            Step::Restart(number) => *self.host(number) = ModelHost::new(),
            Step::Report { from, to } => {
                let from = self.host(from);
                let entries = from.entries.len() as u32;
                let report = from.freshness.updates(now_ms, entries);
                self.host(to).receive(report);
            }
            Step::Relay { from, to } => {
                let from = self.host(from);
                let entries = from.entries.len() as u32;
                if let Some(report) = from.freshness.store_state(now_ms, entries) {
                    self.host(to).receive(report);
                }
            }
            Step::Join { from, to } => {
                let (version, changed) = {
                    let from = &self.hosts[usize::from(from)].freshness.versions;
                    (from.applied(SERVERS), from.changed(SERVERS))
                };
                let entries = self.host(from).entries.clone();
                if version > self.host(to).applied() {
                    self.host(to)
                        .freshness
                        .versions
                        .note_change(SERVERS, changed);
                    self.take_over(to, version, entries);
                }
            }
            Step::SendDifference { from, to } => {
                let version = self.version();
                let entries = self.versions.last().expect("a version").clone();
                let difference = self.host(from).difference(&entries, version);
                let had_read = self.host(from).applied() > 0;
                self.step(Step::ReadWhole(from));
                if had_read && self.host(to).applied() > 0 {
                    self.host(to).apply(difference);
                }
            }
            Step::Fetch { from, to } => {
                let applied = self.host(to).applied();
                if let Some(changes) = self.host(from).recent.after(applied)
                    && applied > 0
                {
                    self.host(to).apply(changes);
                }
            }
        }
    }

    /// Lets a host read the changes since its version, or the whole table if it has not read any.
    fn follow(&mut self, number: u8) {
        let applied = self.host(number).applied();
        if applied == 0 {
            return self.step(Step::ReadWhole(number));
        }
        let version = self.version();
        let changes = (applied + 1..=version).flat_map(|version| self.changes_at(version));
        let changes = changes.collect();
        let host = self.host(number);
        host.apply(ServerChanges {
            selection: Selection::All,
            after: applied,
            up_to: version,
            changes,
        });
        host.has_called_store();
    }

    fn changes_at(&self, version: u64) -> Vec<ServerChange> {
        let [before, after] = [version - 1, version].map(|at| &self.versions[at as usize]);
        let is_new = |(_, changed): &(&u8, &u64)| **changed == version;
        let new = after.iter().filter(is_new);
        let new = new.map(|(name, _)| written(*name, version));
        let gone = before.keys().filter(|name| !after.contains_key(name));
        new.chain(gone.map(|name| removed(*name, version)))
            .collect()
    }

    fn take_over(&mut self, number: u8, version: u64, entries: Entries) {
        let host = self.host(number);
        let changed = entries.values().max().copied().unwrap_or(0);
        host.freshness.versions.note_change(SERVERS, changed);
        host.freshness.versions.note_full_read(version);
        host.freshness.versions.note_applied(SERVERS, version);
        host.entries = entries;
    }

    /// Returns the numbers of the hosts whose entries differ from the table at their version.
    fn hosts_in_error(&self) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        let in_error = hosts.filter(|(_, host)| {
            let applied = host.applied() as usize;
            applied > 0 && host.entries != self.versions[applied]
        });
        in_error.map(|(number, _)| number).collect()
    }
}

struct Scenario {
    name: &'static str,
    steps: &'static [Step],
    /// Hosts that must fetch the changes that they have missed.
    behind: &'static [u8],
}

/// Guards against hosts that send requests to a server whose entry was removed while the host whose
/// reports or changes they rely on took over the table as a whole.
#[test]
fn a_report_does_not_hide_removals_that_its_sender_has_not_seen() {
    use Step::{
        Fetch, Follow, Join, ReadWhole, Relay, Remove, Report, Restart, SendDifference, Write,
    };
    let scenarios = [
        Scenario {
            name: "the leader starts again, and nothing was removed",
            steps: &[
                Follow(0),
                Follow(1),
                Restart(0),
                ReadWhole(0),
                Report { from: 0, to: 1 },
            ],
            behind: &[],
        },
        Scenario {
            name: "an entry is removed while the leader starts again",
            steps: &[
                Follow(0),
                Follow(1),
                Restart(0),
                Remove(2),
                ReadWhole(0),
                Report { from: 0, to: 1 },
            ],
            behind: &[1],
        },
        Scenario {
            name: "an entry is removed and another one added while the leader starts again",
            steps: &[
                Follow(0),
                Remove(5),
                Follow(1),
                Restart(0),
                Remove(2),
                Write(5),
                ReadWhole(0),
                Report { from: 0, to: 1 },
            ],
            behind: &[1],
        },
        Scenario {
            name: "an entry is removed in a gap of the history, and the broadcast is lost",
            steps: &[
                Follow(0),
                Follow(1),
                Remove(2),
                ReadWhole(0),
                Report { from: 0, to: 1 },
            ],
            behind: &[1],
        },
        Scenario {
            name: "the leader follows the store again after the gap",
            steps: &[
                Follow(0),
                Follow(1),
                Remove(2),
                ReadWhole(0),
                Write(3),
                Follow(0),
                Report { from: 0, to: 1 },
            ],
            behind: &[1],
        },
        Scenario {
            name: "a relay reads the table in place of the leader",
            steps: &[
                Follow(0),
                Follow(1),
                Remove(2),
                ReadWhole(0),
                Relay { from: 0, to: 1 },
            ],
            behind: &[1],
        },
        Scenario {
            name: "a relay passes on the leader's report",
            steps: &[
                Follow(0),
                Follow(1),
                Follow(2),
                Restart(0),
                Remove(2),
                ReadWhole(0),
                Report { from: 0, to: 2 },
                Relay { from: 2, to: 1 },
            ],
            behind: &[1, 2],
        },
        Scenario {
            name: "the reporter joined from the snapshot of a host that read the whole table",
            steps: &[
                Follow(1),
                Remove(2),
                ReadWhole(0),
                Join { from: 0, to: 2 },
                Report { from: 2, to: 1 },
            ],
            behind: &[1],
        },
        Scenario {
            name: "the reporter accepted a report past an entry that was added and removed",
            steps: &[
                Remove(5),
                Follow(0),
                Follow(1),
                Write(5),
                Follow(2),
                Remove(5),
                Restart(0),
                ReadWhole(0),
                Report { from: 0, to: 1 },
                Report { from: 1, to: 2 },
            ],
            behind: &[2],
        },
        Scenario {
            name: "a difference reaches a host that knows what the leader knew",
            steps: &[
                Follow(0),
                Follow(1),
                Remove(2),
                SendDifference { from: 0, to: 1 },
            ],
            behind: &[],
        },
        Scenario {
            name: "a difference reaches a host that knows an entry which the leader has never known",
            steps: &[
                Remove(5),
                Follow(0),
                Write(5),
                Follow(1),
                Remove(5),
                SendDifference { from: 0, to: 1 },
                Report { from: 0, to: 1 },
            ],
            behind: &[1],
        },
        Scenario {
            name: "a host fetches changes from one that has applied a difference",
            steps: &[
                Remove(5),
                Follow(0),
                Follow(1),
                Write(5),
                Follow(2),
                Remove(5),
                SendDifference { from: 0, to: 1 },
                Fetch { from: 1, to: 2 },
                Report { from: 1, to: 2 },
            ],
            behind: &[2],
        },
        Scenario {
            name: "a leader that read the whole table follows one that did not",
            steps: &[
                Follow(0),
                Follow(1),
                Follow(2),
                Report { from: 0, to: 1 },
                Restart(2),
                Remove(4),
                ReadWhole(2),
                Report { from: 2, to: 1 },
            ],
            behind: &[1],
        },
    ];
    for scenario in scenarios {
        let mut model = Model::new();
        for step in scenario.steps {
            model.step(*step);
        }
        assert_eq!(model.hosts_in_error(), [0; 0], "{}", scenario.name);
        let behind = (0..HOSTS).filter(|number| model.hosts[usize::from(*number)].is_behind());
        let behind: Vec<u8> = behind.collect();
        assert_eq!(behind, scenario.behind, "{}", scenario.name);
    }
}

quickcheck! {
    /// After any steps, each host knows the table as it was at the version that the host has applied.
    fn hosts_know_the_table_at_their_version(steps: Vec<Step>) -> bool {
        let mut model = Model::new();
        for step in steps {
            model.step(step);
        }
        model.hosts_in_error().is_empty()
    }
}
