//! The backend servers that a host knows.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use super::{
    decide::{admission, notices::Notices},
    events::Event,
    model::ServerEntry,
    server::Server,
    updates::evacuation::Evacuations,
};
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

/// Time for which notices of a server without an entry are kept. An entry that lapsed while the store was away comes
/// back within about 2 s of its return; the rest is for a server that reaches the store late.
const NOTICES_KEPT_MS: u64 = 10 * 60 * 1_000;

/// What a server without an entry has told, or still tells in answers to requests that are there.
#[derive(Clone, Debug)]
struct KeptNotices {
    notices: Arc<Mutex<Notices>>,
    until_ms: u64,
}

/// A server that is gone. It may still hold keys.
#[derive(Clone, Debug)]
pub struct Former {
    /// Incarnation.
    pub id: Arc<str>,
    /// Name that it had in the platform.
    pub name: Arc<str>,
    /// Address.
    pub address: SocketAddr,
}

/// All servers, by incarnation and by service.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    by_id: HashMap<Arc<str>, Arc<Server>>,
    by_service: HashMap<Arc<str>, Vec<Arc<Server>>>,
    /// Incarnation by name: the latest one whose entry was seen.
    incarnations: HashMap<Arc<str>, Arc<str>>,
    /// Names of servers whose entries are missing, and until when they count as present all the same.
    missing: HashMap<Arc<str>, u64>,
    /// Servers that are gone, the latest last.
    former: Vec<Former>,
    /// What servers without an entry have told, by incarnation.
    kept_notices: HashMap<Arc<str>, KeptNotices>,
    /// Zones that are evacuated, and since when this host knows.
    evacuated: HashMap<Arc<str>, u64>,
}

impl Registry {
    /// A server by its incarnation.
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
        let usable = servers.filter(|s| s.takes_new_work() && !tried.contains(&s.entry.id));
        usable.collect()
    }

    /// Servers of a service that still serve although they have said that they leave.
    pub fn usable_at_last(
        &self,
        service: &str,
        tried: &[Arc<str>],
        arrived_ms: u64,
        hold_ms: u64,
    ) -> Vec<&Arc<Server>> {
        let servers = self.of_service(service).iter();
        let usable = servers.filter(|server| {
            server.takes_work_while_leaving(arrived_ms, hold_ms)
                && !tried.contains(&server.entry.id)
        });
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

    /// A server that is gone, by its incarnation.
    pub fn former(&self, id: &str) -> Option<&Former> {
        self.former.iter().rfind(|former| *former.id == *id)
    }

    /// Notes an entry. Another entry with the same address proves nothing: the store may take in a
    /// late heartbeat of an earlier incarnation after the first one of a later incarnation. For the
    /// same reason an entry of an earlier start under the same name changes nothing.
    pub fn put(&mut self, entry: ServerEntry) {
        let event = Event::server(&entry);
        if self.take(entry) {
            event.log();
        }
    }

    /// Notes entries of which a line each would be too many.
    pub fn put_all(&mut self, entries: impl Iterator<Item = ServerEntry>) {
        let new = entries
            .filter_map(|entry| self.take(entry).then_some(()))
            .count();
        Event::Servers { new }.log();
    }

    /// Notes an entry; true if its server was not known.
    fn take(&mut self, entry: ServerEntry) -> bool {
        if let Some(known) = self.named(&entry.name) {
            if entry.started_ms < known.entry.started_ms {
                return false;
            }
            if known.matches_entry(&entry) {
                known.renew(&entry);
                self.missing.remove(&entry.name);
                return false;
            }
            self.drop_server(&entry.name);
        }
        self.missing.remove(&entry.name);
        let kept = self.kept_notices.remove(&entry.id);
        let notices = kept.map(|kept| kept.notices).unwrap_or_default();
        let server = Arc::new(Server::with_notices(entry, notices));
        let zone = &server.entry.availability_zone;
        server.set_evacuated(self.evacuated.get(zone).copied());
        let (id, name) = (server.entry.id.clone(), server.entry.name.clone());
        let service = server.entry.service.clone();
        self.incarnations.insert(name, id.clone());
        self.by_id.insert(id, server.clone());
        self.by_service.entry(service).or_default().push(server);
        true
    }

    /// Notes that the entry of a name is gone: at once, or, if the store has just come back, after the
    /// time in which live servers write theirs again.
    pub fn remove(&mut self, name: &str, store_returned_ms: u64) {
        let until_ms = store_returned_ms + RETURN_GRACE_MS;
        if clock::now_ms() < until_ms && self.incarnations.contains_key(name) {
            self.missing.entry(name.into()).or_insert(until_ms);
            return;
        }
        self.drop_server(name);
    }

    /// Notes which zones are evacuated. Servers of a zone that is taken back may have turned cold, and
    /// count as cold for as long as their service says.
    pub fn set_evacuations(&mut self, zones: &Evacuations, warmup_ms: impl Fn(&str) -> u64) {
        let now_ms = clock::now_ms();
        let known = std::mem::take(&mut self.evacuated);
        for zone in &zones.zones {
            let since_ms = known.get(zone).copied().unwrap_or(now_ms);
            self.evacuated.insert(zone.clone(), since_ms);
        }
        for server in self.by_id.values() {
            let zone = &server.entry.availability_zone;
            let since_ms = self.evacuated.get(zone).copied();
            server.set_evacuated(since_ms);
            if known.contains_key(zone) && since_ms.is_none() {
                server.set_cold_for(warmup_ms(&server.entry.service));
            }
        }
    }

    /// Changes between what this registry has, up to a version, and a whole table.
    pub fn difference(&self, whole: &Rows, after: u64) -> Rows {
        let present: HashSet<&str> = whole.rows.iter().map(|row| row.key.as_str()).collect();
        let names = self.incarnations.keys();
        let gone = names.filter(|name| !present.contains(&***name));
        let removed = gone.map(|name| Row {
            key: name.to_string(),
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

    /// Removes every server whose name is not in `present`.
    pub fn retain(&mut self, present: &HashSet<Arc<str>>, store_returned_ms: u64) {
        let names = self.incarnations.keys();
        let absent = names.filter(|name| !present.contains(*name));
        let absent: Vec<Arc<str>> = absent.cloned().collect();
        for name in absent {
            self.remove(&name, store_returned_ms);
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
            .map(|(name, _)| name.clone())
            .collect();
        for name in overdue {
            self.drop_server(&name);
        }
    }

    /// The latest incarnation of a name.
    fn named(&self, name: &str) -> Option<&Arc<Server>> {
        self.by_id.get(self.incarnations.get(name)?)
    }

    /// Removes the server of a name at once: it has ended, or nobody can read what it is.
    pub fn drop_server(&mut self, name: &str) {
        self.missing.remove(name);
        let Some(id) = self.incarnations.remove(name) else {
            return;
        };
        let Some(server) = self.by_id.remove(&id) else {
            return;
        };
        // Requests that are about to choose it see this.
        server.set_leaving(true);
        Event::server_gone(&server.entry).log();
        self.keep_notices(&server);
        if self.former.len() >= FORMER_MAX {
            self.former.remove(0);
        }
        self.former.push(Former {
            id: id.clone(),
            name: name.into(),
            address: server.entry.address,
        });
        if let Some(servers) = self.by_service.get_mut(&server.entry.service) {
            servers.retain(|other| *other.entry.id != *id);
        }
    }

    /// Keeps what a server has told: its entry may come back.
    fn keep_notices(&mut self, server: &Server) {
        let now_ms = clock::now_ms();
        self.kept_notices.retain(|_, kept| now_ms < kept.until_ms);
        let kept = KeptNotices {
            notices: server.kept_notices(),
            until_ms: now_ms + NOTICES_KEPT_MS,
        };
        self.kept_notices.insert(server.entry.id.clone(), kept);
    }
}
