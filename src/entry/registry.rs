//! The backend servers that a host knows.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use super::{decide::admission, events::Event, model::ServerEntry, server::Server};
use crate::{
    clock,
    platform::store::{Row, Rows},
};

/// Time after the store's return was noticed in which entries that lapsed meanwhile may come back.
/// The platform promises about two seconds after the return. It may also be this host that was cut
/// off, and then servers that left meanwhile must be known 3 s after the cut; noticing takes up to
/// 0.75 s of that.
const RETURN_GRACE_MS: u64 = 1_800;
/// Servers that are gone whose addresses are remembered.
const FORMER_MAX: usize = 500;

/// All servers, by id and by service.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    by_id: HashMap<Arc<str>, Arc<Server>>,
    by_service: HashMap<Arc<str>, Vec<Arc<Server>>>,
    /// Servers whose entries are missing, and until when they count as present all the same.
    missing: HashMap<Arc<str>, u64>,
    /// Addresses of servers that are gone, the latest last: they may still hold keys.
    former: Vec<(Arc<str>, SocketAddr)>,
}

impl Registry {
    /// A server by its id.
    pub fn server(&self, id: &str) -> Option<&Arc<Server>> {
        self.by_id.get(id)
    }

    /// The servers of a service.
    pub fn of_service(&self, service: &str) -> &[Arc<Server>] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Servers of a service that may get a request which was at the `tried` ones before.
    pub fn usable(&self, service: &str, tried: &[Arc<str>]) -> Vec<&Arc<Server>> {
        let servers = self.of_service(service).iter();
        let usable = servers.filter(|s| !s.leaving() && !tried.contains(&s.entry.id));
        usable.collect()
    }

    /// Average run time of a service's servers.
    pub fn typical_run_ms(&self, service: &str) -> f64 {
        let servers = self.of_service(service).iter();
        admission::typical_run_ms(servers.map(|server| server.run_ms()))
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = &Arc<Server>> {
        self.by_id.values()
    }

    /// Address of a server that is gone.
    pub fn former_address(&self, id: &str) -> Option<SocketAddr> {
        let found = self.former.iter().rfind(|(former, _)| **former == *id);
        found.map(|(_, address)| *address)
    }

    /// Notes an entry. Another entry with the same address proves nothing: the store may take in a
    /// late heartbeat of an earlier life after the first one of a later life.
    pub fn put(&mut self, entry: ServerEntry) {
        self.missing.remove(&entry.id);
        if let Some(known) = self.by_id.get(&entry.id) {
            if known.leaving() != entry.leaving {
                known.set_leaving(entry.leaving);
                Event::server(&known.entry, known.leaving()).log();
            }
            return;
        }
        Event::server(&entry, entry.leaving).log();
        let server = Arc::new(Server::new(entry));
        let service = server.entry.service.clone();
        self.by_id.insert(server.entry.id.clone(), server.clone());
        self.by_service.entry(service).or_default().push(server);
    }

    /// Notes that an entry is gone: at once, or, if the store has just come back, after the time
    /// in which live servers write theirs again.
    pub fn remove(&mut self, id: &str, store_returned_ms: u64) {
        let until_ms = store_returned_ms + RETURN_GRACE_MS;
        if clock::now_ms() < until_ms && self.by_id.contains_key(id) {
            self.missing.entry(id.into()).or_insert(until_ms);
            return;
        }
        self.drop_server(id);
    }

    /// Changes between what this registry has, up to a version, and a whole table.
    pub fn difference(&self, whole: &Rows, after: u64) -> Rows {
        let present: HashSet<&str> = whole.rows.iter().map(|row| row.key.as_str()).collect();
        let gone = self.by_id.keys().filter(|id| !present.contains(&***id));
        let removed = gone.map(|id| Row {
            key: id.to_string(),
            value: Vec::new(),
            version: whole.version,
            removed: true,
        });
        let newer = whole.rows.iter().filter(|row| row.version > after);
        let mut rows: Vec<Row> = newer.cloned().chain(removed).collect();
        rows.sort_by_key(|row| row.version);
        Rows {
            rows,
            version: whole.version,
        }
    }

    /// Removes every server that is not in `present`.
    pub fn retain(&mut self, present: &HashSet<Arc<str>>, store_returned_ms: u64) {
        let absent: Vec<Arc<str>> = self
            .by_id
            .keys()
            .filter(|id| !present.contains(*id))
            .cloned()
            .collect();
        for id in absent {
            self.remove(&id, store_returned_ms);
        }
    }

    /// True if some missing entries have not come back in time.
    pub fn has_overdue(&self) -> bool {
        let now_ms = clock::now_ms();
        self.missing.values().any(|until_ms| *until_ms <= now_ms)
    }

    /// True if entries are missing that may still come back.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Removes the servers whose entries have not come back in time.
    pub fn drop_overdue(&mut self) {
        let now_ms = clock::now_ms();
        let overdue: Vec<Arc<str>> = self
            .missing
            .iter()
            .filter(|(_, until_ms)| **until_ms <= now_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for id in overdue {
            self.drop_server(&id);
        }
    }

    fn drop_server(&mut self, id: &str) {
        self.missing.remove(id);
        let Some(server) = self.by_id.remove(id) else {
            return;
        };
        // Requests that are about to choose it see this.
        server.set_leaving(true);
        Event::server_gone(&server.entry).log();
        if self.former.len() >= FORMER_MAX {
            self.former.remove(0);
        }
        self.former
            .push((server.entry.id.clone(), server.entry.address));
        if let Some(servers) = self.by_service.get_mut(&server.entry.service) {
            servers.retain(|other| *other.entry.id != *id);
        }
    }
}
