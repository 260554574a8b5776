//! Applies rows of the followed tables to the view of this host. The followed tables are the tables
//! of the store whose changes a host reads by a change feed; the view is the state by which the
//! host routes requests.

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use tokio::time;

use super::{
    Entry,
    events::Event,
    keys::{self, Assignment, KeyPartition},
    model::Configuration,
    peers::HostProperties,
    recorded_assignment::AssignmentRow,
    tag::tag_of,
    updates::{
        evacuation::Evacuations,
        followed::FollowedTable,
        own_rows::{HOST_PREFIX, HostRow, QUARANTINE_KEY, SECRET_KEY, parse_assignment_key},
        row_source::RowSource,
        server_changes::{ServerChange, ServerUpdate},
    },
};
use crate::platform::{
    Error, config, servers,
    store::{Row, Rows},
};

impl Entry {
    /// Applies a table that was read completely. Servers whose entries are not in the table are
    /// removed, and zones that the table does not list as evacuated count as restored.
    pub(super) fn apply_table(&self, followed: FollowedTable, Rows { rows, version }: Rows) {
        if followed == FollowedTable::Configuration {
            self.view.evacuate(evacuations_in_table(&rows, version));
        }
        if followed == FollowedTable::Servers {
            let present: HashSet<Arc<str>> =
                rows.iter().map(|row| row.key.as_str().into()).collect();
            let returned_ms = self.view.store_returned_ms();
            self.view
                .update_registry(|registry| registry.retain(&present, returned_ms));
        }
        self.apply(followed, rows, RowSource::Table);
        if followed == FollowedTable::Servers {
            self.view.set_servers_known();
        }
        if followed == FollowedTable::Own {
            self.view.set_hosts_known();
        }
    }

    /// Applies rows of a table. `source` is the way by which they reached this host.
    pub(super) fn apply(&self, followed: FollowedTable, rows: Vec<Row>, source: RowSource) {
        for row in rows.iter().filter(|row| !is_evacuation(followed, row)) {
            self.freshness.versions.note_change(followed, row.version);
        }
        match followed {
            FollowedTable::Configuration => {
                self.apply_configuration(&rows, source);
                self.apply_evacuations(&rows);
            }
            FollowedTable::Servers => self.apply_servers(&rows),
            FollowedTable::Own => self.apply_own(&rows),
        }
    }

    fn apply_configuration(&self, rows: &[Row], source: RowSource) {
        let current = |row: &&Row| row.key == config::KEY && !row.removed;
        let Some(row) = rows.iter().rfind(current) else {
            return;
        };
        // The row is broadcast before it is decoded, since other hosts must know of a configuration
        // that cannot be decoded as well.
        self.broadcast.note_configuration(row);
        match config::decode(&row.value) {
            Ok(configuration) => {
                self.confirmation.set_unreadable(false);
                self.configure(configuration, row.version, source);
            }
            Err(error) => {
                self.confirmation.set_unreadable(true);
                bad_row(config::TABLE, &row.key, &error);
            }
        }
    }

    /// Puts a configuration in force if it is later than the current one, and logs its arrival.
    fn configure(&self, configuration: Configuration, row_version: u64, source: RowSource) {
        let version = configuration.version;
        let behind_ms = self.freshness.end_lag(FollowedTable::Configuration);
        let Some(before) = self.view.configure(configuration) else {
            return;
        };
        let report = self.freshness.latest_report();
        self.metrics.configuration_in_force(behind_ms.unwrap_or(0));
        Event::Configuration {
            version,
            before,
            row_version,
            source,
            behind_ms,
            reporter: report.map(|report| report.reporter),
            report_age_ms: report.map(|report| report.age_ms),
        }
        .log();
    }

    fn apply_evacuations(&self, rows: &[Row]) {
        let mut evacuations = self.view.evacuations();
        for row in rows {
            if let Some(zone) = config::evacuated_zone(&row.key) {
                evacuations.change(row.version, zone, !row.removed);
            }
        }
        self.view.evacuate(evacuations);
    }

    fn apply_servers(&self, rows: &[Row]) {
        let changes = decode_servers(rows);
        if changes.is_empty() && !self.view.registry().has_overdue() {
            return;
        }
        self.change_servers(changes);
    }

    /// Applies changes of server entries to the view, and removes servers whose entries have not
    /// returned within the grace period.
    pub(super) fn change_servers(&self, changes: Vec<ServerChange>) {
        let returned_ms = self.view.store_returned_ms();
        self.view.update_registry(|registry| {
            for change in changes {
                if change.ends_new_work() {
                    self.freshness.versions.note_leave(change.version);
                }
                match change.update {
                    ServerUpdate::Entry(entry) => registry.put(entry),
                    ServerUpdate::Removed(name) => registry.remove(&name, returned_ms),
                    ServerUpdate::Unreadable(name) => registry.drop_server(&name),
                }
            }
            registry.drop_overdue();
        });
    }

    /// Periodically removes the servers whose entries lapsed during an outage of the store and have
    /// not returned within the grace period after the outage.
    pub(super) async fn drop_overdue_servers(self: Arc<Self>) {
        loop {
            let missing = self.view.registry().has_missing();
            let check_every_ms = if missing { 20 } else { 100 };
            time::sleep(Duration::from_millis(check_every_ms)).await;
            if self.view.registry().has_overdue() {
                self.view
                    .update_registry(|registry| registry.drop_overdue());
            }
        }
    }

    pub(super) fn apply_own(&self, rows: &[Row]) {
        self.apply_assignment_rows(rows);
        for row in rows {
            if let Some(address) = row.key.strip_prefix(HOST_PREFIX) {
                self.apply_host(address, row);
            } else if row.key == SECRET_KEY {
                self.apply_secret(row);
            } else if row.key == QUARANTINE_KEY {
                self.apply_quarantine(row);
            }
        }
    }

    fn apply_host(&self, address: &str, row: &Row) {
        let Ok(address) = address.parse() else {
            log::warn!("host row {address} has no valid address in its key");
            return;
        };
        let own = address == self.settings.listen.peers;
        if row.removed {
            self.peers.remove(address);
            return;
        }
        match serde_json::from_slice::<HostRow>(&row.value) {
            Ok(host) if own && host.incarnation == self.incarnation => {}
            Ok(_) if own => self.view.note_former_process(),
            Ok(host) => {
                let facts = HostProperties {
                    incarnation: Some(host.incarnation),
                    zone_tag: tag_of(&host.availability_zone),
                    is_same_zone: host.availability_zone == self.settings.availability_zone,
                    processor_share: host.processor_share,
                };
                self.peers.add(address, facts);
                self.leadership.note_process(address, host.incarnation);
            }
            Err(error) => log::warn!("cannot decode host row {address}: {error}"),
        }
    }

    /// Applies rows with assigned ranges. The rows of one service are applied together, since one
    /// change of the leader may have written several rows.
    fn apply_assignment_rows(&self, rows: &[Row]) {
        let (held, unreadable) = decode_assignment_rows(rows);
        for (row, error) in unreadable {
            log::warn!("cannot decode assigned ranges in row {row}: {error}");
        }
        for (service, rows) in held {
            self.view.put_assignment_rows(&service, rows);
        }
    }
}

/// Decodes rows with assigned ranges, and skips all other rows. Returns the decoded rows by
/// service, and the keys of the rows that cannot be decoded with their errors.
pub(super) fn decode_assignment_rows(
    rows: &[Row],
) -> (AssignmentRowsByService, Vec<(&str, keys::DecodeError)>) {
    let mut held = AssignmentRowsByService::new();
    let mut unreadable = Vec::new();
    for row in rows.iter().filter(|row| !row.removed) {
        let Some((service, part)) = parse_assignment_key(&row.key) else {
            continue;
        };
        match Assignment::decode(&row.value) {
            Ok(assignment) => {
                let version = row.version;
                let row = AssignmentRow {
                    assignment,
                    version,
                };
                held.entry(service.into()).or_default().push((part, row));
            }
            Err(error) => unreadable.push((&*row.key, error)),
        }
    }
    (held, unreadable)
}

/// Rows with assigned ranges by service, each with the key partition of its assigned ranges.
pub(super) type AssignmentRowsByService = HashMap<Arc<str>, Vec<(KeyPartition, AssignmentRow)>>;

/// Returns true for a row by which operators evacuate or restore a zone. The version of such a row
/// does not count as a change of the table, since the leader sends the evacuated zones in each
/// heartbeat and hosts need not read the store for them.
fn is_evacuation(followed: FollowedTable, row: &Row) -> bool {
    followed == FollowedTable::Configuration && config::evacuated_zone(&row.key).is_some()
}

/// Returns the evacuated zones according to the rows of a table that was read completely at
/// `version`.
fn evacuations_in_table(rows: &[Row], version: u64) -> Evacuations {
    let present = rows.iter().filter(|row| !row.removed);
    let zones = present.filter_map(|row| config::evacuated_zone(&row.key));
    let mut zones: Vec<Arc<str>> = zones.map(Arc::from).collect();
    zones.sort_unstable();
    Evacuations { version, zones }
}

/// Decodes rows of server entries into changes. A row that cannot be decoded removes its server,
/// even if an earlier version of the row could be decoded.
pub(super) fn decode_servers(rows: &[Row]) -> Vec<ServerChange> {
    let mut changes = Vec::with_capacity(rows.len());
    for row in rows {
        let update = if row.removed {
            ServerUpdate::Removed(row.key.as_str().into())
        } else {
            match servers::decode(&row.key, &row.value) {
                Ok(entry) => ServerUpdate::Entry(entry),
                Err(error) => {
                    bad_row(servers::TABLE, &row.key, &error);
                    ServerUpdate::Unreadable(row.key.as_str().into())
                }
            }
        };
        let version = row.version;
        changes.push(ServerChange { version, update });
    }
    changes
}

fn bad_row(table: &str, key: &str, error: &Error) {
    Event::BadRow {
        row: format!("{table}/{key}"),
        problem: error.to_string(),
    }
    .log();
}
